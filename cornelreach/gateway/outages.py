"""Outages of the platform's store, told apart from the loss of an own link to it.

Entries of targets lapse while the store is away for everybody, since targets cannot
write, and are back soon after its return. Until then what is missing is kept. But what
goes while only this instance is without the store, or as a watch is cut off, has left.
The own calls fail alike, so the other instances are asked whether they have read the
store in that time::

    watcher.on_outage = outages.record_return
"""

from cornelreach.gateway import (
    datagrams,
    gossip as gossip_module,
    proofs as proofs_module,
    registry as registry_module,
    watching,
)
from cornelreach.util import events, timers

# A target writes every report interval, and its entry lapses after three without one.
# The outage is shorter by the time since its last report, and by the spread of these.
LAPSE_INTERVALS = 1.6
SILENCE_MS = 2_500.0  # by then a connection that died silently has failed
MIN_FAILING_MS = 400.0  # if the first retry succeeds, only a connection had died
ASK_MS = 200.0
MARGIN_MS = 300.0  # between two instances that see the same outage begin

OWN_LINK = events.define(
    2210,
    "INFO",
    "The platform's store was not away: {peer} has read it meanwhile; {lapsed} entries "
    "that were kept are gone.",
    "Check the links between this instance and the platform.",
)


class Outages:
    """Decides after each outage whether entries may have lapsed in it."""

    def __init__(
        self,
        gossip: gossip_module.Gossip,
        proofs: proofs_module.Proofs,
        registry: registry_module.TargetRegistry,
        clock: timers.Timers,
        report_ms: float,
    ) -> None:
        self.gossip = gossip
        self.proofs = proofs
        self.registry = registry
        self.clock = clock
        self.lapse_ms = report_ms * LAPSE_INTERVALS
        self._lost_ms: float | None = None  # of the outage that is in doubt
        self._until_ms = 0.0
        self._hub_return_ms = float("-inf")
        self._next_question: timers.Subscription | None = None
        proofs.on_reconnect = self.record_hub_return

    def record_return(self, outage: watching.Outage) -> None:
        """Keep entries that go now, if they can have lapsed in an outage."""
        failing_ms = outage.returned_ms - outage.lost_ms
        away_ms = failing_ms + (SILENCE_MS if outage.silent else 0.0)
        if away_ms < self.lapse_ms:
            return
        self.proofs.reconnected_ms = outage.returned_ms
        if failing_ms >= MIN_FAILING_MS:
            self._begin(outage.lost_ms, outage.returned_ms)

    def record_hub_return(self, at_ms: float) -> None:
        """Keep entries that go, as the hub that this instance follows does."""
        if at_ms - self._hub_return_ms < self.lapse_ms:
            return  # known from an earlier answer
        self._hub_return_ms = at_ms
        self._begin(at_ms - self.lapse_ms, at_ms)

    def _begin(self, lost_ms: float, returned_ms: float) -> None:
        self._lost_ms = lost_ms
        self._until_ms = returned_ms + registry_module.LAPSE_GRACE_MS
        self.registry.record_reconnect(returned_ms)
        if self._next_question is not None:
            self._next_question.cancel()
        self._ask()

    def _ask(self) -> None:
        """Ask the others until one has read the store or the grace period is over."""
        if self._lost_ms is None or self.clock.now_ms() >= self._until_ms:
            self._lost_ms = self._next_question = None
            return
        self.proofs.ask(self._witnesses(), self._apply_answer)
        self._next_question = self.clock.after(ASK_MS, self._ask)

    def _witnesses(self) -> list[str]:
        """Return the other instances that read the store by themselves."""
        hubs = self.gossip.hubs
        names = hubs.foremost() if hubs.is_needed() else self.gossip.members
        return [one for one in names if one != self.gossip.name]

    def _apply_answer(self, reply: datagrams.FreshnessReply, sent_ms: float) -> None:
        """Treat what went as gone if another instance was in contact all the time.

        Only the calls of its anchor tell that it was away itself.
        """
        row = reply.rows.get(self.proofs.anchor.handler.prefix)
        if self._lost_ms is None or row is None:
            return
        if sent_ms - row[2] < self._lost_ms + MARGIN_MS:
            return
        ago_ms = reply.regained_ago_ms
        if ago_ms is not None and sent_ms - ago_ms >= self._lost_ms - SILENCE_MS:
            return
        self._lost_ms = None
        lapsed = self.registry.end_outage(self.clock.now_ms())
        events.emit(OWN_LINK, peer=reply.hub, lapsed=lapsed)
