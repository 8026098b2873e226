"""Runs an instance with a planted bug, to show that the soak test finds it.

Usage:
  planted NAME
"""

import os
import sys
import typing

from cornelreach.gateway import (
    continuations,
    crashes,
    detours,
    edge as edge_module,
    eventstream,
    forwarding,
    mirror,
    outages,
    promptindex,
    quarantine,
    quotas,
    recordhandlers,
    refusals,
    registry,
    releasecomparison,
    requeststate,
    rollouts,
    stops,
    storedorigins,
    streamorigins,
    streamrelay,
    targetlimits,
    watching,
)
from cornelreach.http import client, clientconnection, memory, server, turns
from cornelreach.platform import headers, promptstores, site
from cornelreach.ui import edge
from cornelreach.util import decoding

LONG_READ_BYTES = 1_048_576  # several turns of the engines that write without end


def _repeats() -> None:
    """Sends a request again after its connection was lost, though it may have run."""
    requeststate.RequestState.may_attempt = lambda self, now_s: len(self.tries) < 3
    forwarding.Forwarder._is_still_repeatable = lambda self, request_state: True


def _refuses_after_run() -> None:
    """Returns 503 where the outcome is unknown."""
    requeststate.RequestState.refusal = lambda self, now_s: refusals.no_target()


def _trusts_keys() -> None:
    """Accepts keys however old the proof of the configuration is."""
    mirror.Mirror.may_use_keys = lambda self, now_ms: True


def _ignores_draining() -> None:
    """Sends requests to draining targets."""
    original = registry.TargetRegistry.put

    def put(self: typing.Any, target: typing.Any, *rest: typing.Any) -> None:
        original(self, target._replace(draining=False), *rest)

    registry.TargetRegistry.put = put


def _ignores_cold() -> None:
    """Ignores the request rate of cold targets."""
    quotas.SendWindow.admits = lambda self, share, now_ms, own=0: True


async def _no_orders(self: typing.Any) -> None:
    """Send no orders to engines."""


def _stays_on_old() -> None:
    """Never updates engines, and sends requests to old versions without a limit."""
    rollouts.Rollouts.run = _no_orders
    original = mirror.Mirror.set_version

    def set_version(
        self: typing.Any, model: str, version: int, now_ms: float, _: float
    ):
        return original(self, model, version, now_ms, float("inf"))

    mirror.Mirror.set_version = set_version


def _counts_from_reading() -> None:
    """Counts the time for older weights from when the newer version was read."""

    def old_until_ms(self: typing.Any) -> float:
        return self.clock.now_ms() + self.version_ms * recordhandlers.OLD_SHARE

    recordhandlers.VersionHandler._old_until_ms = old_until_ms


def _joins_streams() -> None:
    """Resumes a broken stream from its start instead of its last event."""
    original = streamrelay.StreamRelay._resume

    async def resume(self: typing.Any, request_state: typing.Any, *rest: typing.Any):
        splitter = rest[1]
        splitter.last_id = None
        return await original(self, request_state, *rest)

    streamrelay.StreamRelay._resume = resume


def _trusts_framing() -> None:
    """Takes the end of a target's answer for the end of its stream."""
    eventstream.EventSplitter.remainder = lambda self: b""


def _ignores_software() -> None:
    """Lets a stream go on at any version of the targets' software."""
    continuations.Continuations.bind = lambda self, request_state, software: None

    async def admit(self: typing.Any, request_state: typing.Any) -> bool:
        return True

    continuations.Continuations.admit = admit


def _forgets_origins() -> None:
    """Keeps the origin of a stream only at the instance that began it."""
    _stores_no_origins()
    streamorigins.Holders.find = lambda self, key, more=0: []


def _stores_no_origins() -> None:
    """Keeps the origins of streams in the memory of instances alone."""
    storedorigins.StoredOrigins.record = lambda self, *origin: None


def _forgets_retries() -> None:
    """Gives each process its whole share of the retry budget at once."""
    quotas.START_SHARE = float("inf")


def _keeps_old_parts() -> None:
    """Lets one instance offer the parts that a store held before it restarted."""
    promptindex.SETTLE_MS = 0.0
    if not os.environ[site.PATH_VARIABLE].endswith("edge1.toml"):
        return
    apply_events = promptindex.PromptStoreContents.apply_events

    def apply_to_all(
        self: typing.Any, batch: promptstores.Batch, now_ms: float
    ) -> bool:
        self.epoch = batch.epoch
        return apply_events(self, batch._replace(gap=False), now_ms)

    promptindex.PromptStoreContents.apply_events = apply_to_all
    promptindex.PromptStoreContents.clear = lambda self: None


def _forgets_crashes() -> None:
    """Sends prompts however many engines have crashed on them."""
    quarantine.Quarantine.record_loss = lambda self, *loss, **more: None


def _keep_all_refusals() -> None:
    """Release nothing because something else explains its crashes."""
    quarantine.Quarantine._judge_again = lambda self, earlier: None


def _blames_all_parts() -> None:
    """Refuses all parts of a prompt on which an engine crashed, and keeps to that."""
    _keep_all_refusals()
    crashes.CrashLog.is_guilty = lambda self, part, quarantined=(): True
    quarantine.Quarantine.record_answer = lambda self, parts: None


def _forgets_requests() -> None:
    """Sends a request however many engines it has crashed, but not guilty parts."""
    original = crashes.CrashLog.is_guilty

    def is_guilty(
        self: typing.Any, name: str, quarantined: typing.Container[str] = ()
    ) -> bool:
        return not crashes.is_request(name) and original(self, name, quarantined)

    crashes.CrashLog.is_guilty = is_guilty


def _blames_all_requests() -> None:
    """Refuses all requests that were lost with an engine, also those served since."""
    _keep_all_refusals()
    is_guilty = crashes.CrashLog.is_guilty
    record_answer = quarantine.Quarantine.record_answer
    crashes.CrashLog.is_guilty = lambda self, name, quarantined=(): (
        crashes.is_request(name) or is_guilty(self, name, quarantined)
    )
    quarantine.Quarantine.record_answer = lambda self, names: record_answer(
        self, tuple(one for one in names if not crashes.is_request(one))
    )


def _ignores_leaving() -> None:
    """Sends requests to engines that said they leave."""
    registry.TargetRegistry.mark_leaving = lambda self, target_id, born_ms: False


def _ignores_rest() -> None:
    """Sends requests to engines that asked for a rest."""
    registry.TargetRegistry.rest = lambda self, target_id, rest_ms, now_ms: None


def _ignores_limits() -> None:
    """Sends requests however few an engine takes."""
    targetlimits.TargetLimits.record_reply = lambda self, *reply, **more: None


def _passes_nothing_on() -> None:
    """Refuses requests for which no engine is reached, though others reach some."""
    detours.Detours.choose = lambda self, request_state: None


def _keeps_what_left() -> None:
    """Takes each failed watch for an outage in which entries may have lapsed."""

    def record_return(self: typing.Any, outage: watching.Outage) -> None:
        self.registry.record_reconnect(outage.returned_ms)

    outages.Outages.record_return = record_return


def _trusts_addresses() -> None:
    """Takes any text for the address of a target."""
    decoding.check_address = lambda text: None


def _trusts_refusals() -> None:
    """Takes any answer without an identifier for that to the request that waits."""
    headers.named_matcher = headers.response_matcher


def _reuses_connections() -> None:
    """Writes a request to a connection that carried it before."""
    acquire = client.Client._acquire

    async def acquire_any(self: typing.Any, address: typing.Any, _: str) -> typing.Any:
        return await acquire(self, address, "")

    client.Client._acquire = acquire_any


async def _read_nothing(self: typing.Any) -> bool:
    return True


async def _take_no_turn(self: typing.Any, length: int = 0) -> None:
    """Go on without a turn of the event loop."""


def _takes_no_turns() -> None:
    """Reads whatever has come, and much at a time, before anything else goes on."""
    turns.Pieces.next = _take_no_turn
    clientconnection.PAUSE_READING_BYTES = LONG_READ_BYTES
    clientconnection.READ_BYTES = LONG_READ_BYTES


def _keeps_limits() -> None:
    """Holds a connection to the limits under which it was accepted."""
    server.Connection._apply_limits = lambda self: None


def _takes_late_requests() -> None:
    """Passes requests on in a stop however late they come."""
    stops.Stops.begin = lambda self, late_s, due_s: None


def _joins_errors() -> None:
    """Takes any signed success for the rest of a stream."""
    kind = streamrelay.Kind(200, "")
    streamrelay._kind_of = lambda answer: kind
    eventstream.EventSplitter._check_continued = lambda self, complete: None


def _trusts_heads() -> None:
    """Takes an answer that ends right behind its head for whole."""
    forwarding.Forwarder._may_lack_body = lambda self, request_state, answer: False


def _trusts_ends() -> None:
    """Takes a reset for the end of a response without a length."""
    original = clientconnection.ClientConnection.connection_lost

    def connection_lost(self: typing.Any, error: Exception | None) -> None:
        self._end()
        original(self, error)

    clientconnection.ClientConnection.connection_lost = connection_lost


def _keeps_unread() -> None:
    """Reads and keeps all that clients have sent ahead, and counts none of it."""
    original = server.Connection._handle

    async def handle(self: typing.Any, request: typing.Any) -> None:
        while data := await self._received_data():
            self.h11.receive_data(data)
        await original(self, request)

    server.Connection._handle = handle
    memory.Account.update = lambda self, holder: None


def _guesses_origins() -> None:
    """Guesses the software that began a stream from what it read before."""
    edge_module.Edge._read_software = _read_nothing


def _trusts_connections() -> None:
    """Takes each new connection to lead to the target of the entry that was read."""
    registry.State.confirmed_connections = property(
        lambda state: float("inf"), lambda state, number: None
    )


def _keeps_bad_versions() -> None:
    """Moves the traffic to a new version however many of its answers are bad."""
    releasecomparison.Finding.is_bad = lambda self: False


def _forgets_registration() -> None:
    """Does not register again when the store comes back from a copy."""
    edge_module.Edge._register_again = lambda self: None


PLANTED_BUGS = {
    "keeps-what-left": _keeps_what_left,
    "trusts-addresses": _trusts_addresses,
    "trusts-refusals": _trusts_refusals,
    "trusts-first-answers": _trusts_refusals,
    "reuses-connections": _reuses_connections,
    "guesses-origins": _guesses_origins,
    "trusts-connections": _trusts_connections,
    "takes-no-turns": _takes_no_turns,
    "keeps-limits": _keeps_limits,
    "takes-late-requests": _takes_late_requests,
    "joins-errors": _joins_errors,
    "trusts-heads": _trusts_heads,
    "trusts-ends": _trusts_ends,
    "keeps-unread": _keeps_unread,
    "ignores-leaving": _ignores_leaving,
    "ignores-rest": _ignores_rest,
    "ignores-limits": _ignores_limits,
    "passes-nothing-on": _passes_nothing_on,
    "forgets-registration": _forgets_registration,
    "keeps-bad-versions": _keeps_bad_versions,
    "repeats": _repeats,
    "refuses-after-run": _refuses_after_run,
    "trusts-keys": _trusts_keys,
    "ignores-draining": _ignores_draining,
    "ignores-cold": _ignores_cold,
    "counts-from-reading": _counts_from_reading,
    "stays-on-old": _stays_on_old,
    "joins-streams": _joins_streams,
    "trusts-framing": _trusts_framing,
    "ignores-software": _ignores_software,
    "forgets-origins": _forgets_origins,
    "forgets-retries": _forgets_retries,
    "keeps-old-parts": _keeps_old_parts,
    "stores-no-origins": _stores_no_origins,
    "forgets-crashes": _forgets_crashes,
    "blames-all-parts": _blames_all_parts,
    "forgets-requests": _forgets_requests,
    "blames-all-requests": _blames_all_requests,
}


def program(name: str) -> tuple[str, ...]:
    """Return the interpreter's arguments that run an instance with a planted bug."""
    return ("-m", "tools.soak.planted", name)


if __name__ == "__main__":
    PLANTED_BUGS[sys.argv[1]]()
    sys.exit(edge.main([]))
