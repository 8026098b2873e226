"""Which requests go to the new version of a service while its rollout is observed.

Every instance limits what it sends to the new version by a token bucket, and all of
them choose the same few targets at the same times without exchanging anything::

    exposure = Exposure(order, bounds.exposure_share)
    lane = exposure.lane(now_ms, age_ms, phase, True, False, False, False, draw)
    targets = exposure.canary_targets(age_ms, targets, is_cold)
"""

import enum
import typing

from cornelreach.gateway import registry as registry_module, releaseanalysis


class Lane(enum.Enum):
    """The version that a request goes to."""

    OLD = "old"
    NEW = "new"


class Exposure:
    """The share of one instance's requests that go to the new version of an order.

    ``target_count`` is how many targets of the new version are open. The owner sets it
    when the listing changes; ``canary_targets`` sets it as well.
    """

    def __init__(self, order: releaseanalysis.Order, exposure_share: float) -> None:
        self.order = order
        self.exposure_share = exposure_share
        self.target_count = 0

    def lane(
        self,
        now_ms: float,
        age_ms: float,
        phase: releaseanalysis.Phase,
        is_granted: bool,
        is_at_most_once: bool,
        is_only_kind: bool,
        is_retry: bool,
        draw: float,
    ) -> Lane:
        """Return the version that a request goes to, and account for it.

        It is called once for each attempt for which both versions have an open target.
        ``is_granted`` tells whether a directive allows the new version at present;
        ``is_only_kind`` whether the service has no route besides those that may run
        only once; ``draw`` is a random number from 0 to 1.
        """
        raise NotImplementedError

    def refund(self, now_ms: float) -> None:
        """Return the token of an attempt at the new version that was not sent."""
        raise NotImplementedError

    def canary_targets(
        self,
        age_ms: float,
        targets: typing.Sequence[registry_module.Target],
        is_cold: typing.Callable[[registry_module.Target], bool],
    ) -> list[registry_module.Target]:
        """Return the targets that get the granted share, of the new version's open ones.

        It applies while the phase is ``OBSERVING``; later all of them are used.
        """
        raise NotImplementedError
