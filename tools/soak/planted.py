"""The serving program with a fault planted in it, to show that the soak finds it.

Usage:
  planted NAME
"""

import sys
import typing

from cornelreach.gateway import (
    forwarding,
    mirror,
    quotas,
    refusals,
    registry,
    requeststate,
    rollouts,
)
from cornelreach.ui import edge


def _repeats() -> None:
    """Sends a lost request to another target though it may have run."""
    requeststate.RequestState.may_attempt = lambda self, now_s: len(self.tries) < 3


def _refuses_after_run() -> None:
    """Answers 503 where the outcome is unknown."""
    requeststate.RequestState.refusal = lambda self, now_s: refusals.no_target()


def _trusts_keys() -> None:
    """Uses keys however old the proof is."""
    mirror.Mirror.may_use_keys = lambda self, now_ms: True


def _ignores_draining() -> None:
    """Sends to targets that leave."""
    held = registry.TargetRegistry.put

    def put(self: typing.Any, target: typing.Any, *rest: typing.Any) -> None:
        held(self, target._replace(draining=False), *rest)

    registry.TargetRegistry.put = put


def _ignores_cold() -> None:
    """Sends to a cold target as to a warm one."""
    quotas.admits_cold = lambda sent_ms, share, now_ms: True


async def _no_orders(self: typing.Any) -> None:
    """Give no orders."""


def _stays_on_old() -> None:
    """Brings no engine to new weights and sends to old ones without an end."""
    rollouts.Rollouts.run = _no_orders
    held = mirror.Mirror.set_version

    def name(self: typing.Any, model: str, version: int, now_ms: float, _: float):
        return held(self, model, version, now_ms, float("inf"))

    mirror.Mirror.set_version = name


def _joins_streams() -> None:
    """Goes on with a broken stream from its start."""
    held = forwarding.Forwarder._resume

    async def resume(self: typing.Any, request_state: typing.Any, *rest: typing.Any):
        splitter = rest[1]
        splitter.last_id = None
        return await held(self, request_state, *rest)

    forwarding.Forwarder._resume = resume


PLANTED = {
    "repeats": _repeats,
    "refuses-after-run": _refuses_after_run,
    "trusts-keys": _trusts_keys,
    "ignores-draining": _ignores_draining,
    "ignores-cold": _ignores_cold,
    "stays-on-old": _stays_on_old,
    "joins-streams": _joins_streams,
}


def program(name: str) -> tuple[str, ...]:
    """Return the arguments of the interpreter that run a planted program."""
    return ("-m", "tools.soak.planted", name)


if __name__ == "__main__":
    PLANTED[sys.argv[1]]()
    sys.exit(edge.main([]))
