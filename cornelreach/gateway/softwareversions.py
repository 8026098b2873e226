"""Which software versions may have begun the streams of each service.

Those in sight, those that left lately, and those that the platform's store keeps: an
instance that has just started cannot know otherwise what has left while all of them
were down. A few instances, by rendezvous, keep the entries up to date::

    versions = SoftwareVersions(mirror, objects, clock)
    versions.check()  # called periodically
    versions.possible("llm-pool", now_ms)
"""

import asyncio
import typing

from returns import result

from cornelreach.gateway import mirror as mirror_module
from cornelreach.platform import results, software
from cornelreach.util import events, hashing, timers

CHECK_MS = 250.0
IDLE_CHECK_MS = 2_000.0  # if nothing has changed
WRITERS = 5  # instances that write an entry, each later than the one before
STAGGER_MS = 400.0
RETRY_MS = 1_000.0
MARGIN_MS = 2_000.0  # a caller's last attempt may end after its stream's deadline

KEPT = events.define(
    2212,
    "INFO",
    "Streams of {service} may be of the versions {versions}.",
    "Nothing; of several versions, callers that name no attempt cannot go on.",
)


async def _trust_entries() -> bool:
    """Take the entries that were read for those of now."""
    return True


class _Held(typing.NamedTuple):
    """A service's entry; ``revision`` is None if it has to be written again."""

    versions: frozenset[str]
    revision: int | None


class SoftwareVersions:
    """Follows and writes the entries of the services whose streams may be resumed."""

    def __init__(
        self,
        mirror: mirror_module.Mirror,
        objects: results.ObjectStore,
        clock: timers.Timers,
    ) -> None:
        self.mirror = mirror
        self.objects = objects
        self.clock = clock
        # Reads what has changed until now; returns whether that could be done.
        self.read_now: typing.Callable[[], typing.Awaitable[bool]] = _trust_entries
        self._held: dict[str, _Held] = {}
        self._due_ms: dict[str, float] = {}
        self._checked_changes = -1
        self._next_check_ms = 0.0
        self._writing: dict[str, asyncio.Task[None]] = {}
        self._several: dict[str, tuple[float, bool]] = {}

    def possible(self, service: str, now_ms: float) -> frozenset[str]:
        """Return the versions that may have begun a stream that goes on now."""
        span_ms = self._span_ms(service)
        seen = self.mirror.registry.software_versions(service, span_ms, now_ms)
        held = self._held.get(service)
        return frozenset(seen) if held is None else held.versions | seen

    def are_several(self, service: str) -> bool:
        """Return whether streams of a service may be of several versions.

        That is asked for each stream, so the answer may be ``CHECK_MS`` old.
        """
        now_ms = self.clock.now_ms()
        until_ms, found = self._several.get(service, (0.0, False))
        if until_ms < now_ms:
            found = len(self.possible(service, now_ms)) > 1
            self._several[service] = now_ms + CHECK_MS, found
        return found

    def is_kept(self, service: str) -> bool:
        """Return whether the store's entry of a service is known."""
        return service in self._held

    def _span_ms(self, service: str) -> float:
        """Return how long streams of a service may go on, 0 if they may not."""
        config = self.mirror.catalogue
        longest_ms = 0.0 if config is None else config.resumable_ms.get(service, 0.0)
        return longest_ms + MARGIN_MS if longest_ms else 0.0

    # The store.

    def apply_entry(
        self, service: str, versions: frozenset[str], revision: int
    ) -> None:
        """Apply an entry, from the watch or from a write of this instance."""
        held = self._held.get(service)
        if held is None or held.versions != versions:
            events.emit(KEPT, service=service, versions=",".join(sorted(versions)))
        self._held[service] = _Held(versions, revision)
        self._next_check_ms = 0.0

    def remove_entry(self, service: str) -> None:
        """Apply the removal of an entry; what it said is written again."""
        if (held := self._held.get(service)) is not None:
            self._held[service] = held._replace(revision=None)
            self._next_check_ms = 0.0

    def forget_revisions(self) -> None:
        """Write entries again that an older copy of the store may lack."""
        for service in list(self._held):
            self.remove_entry(service)

    def check(self) -> None:
        """Write the entries that differ from what this instance knows."""
        if self.mirror.catalogue is None or not self.mirror.is_synced():
            return
        now_ms, changes = self.clock.now_ms(), self.mirror.registry.changes
        if now_ms < self._next_check_ms and changes == self._checked_changes:
            return
        self._checked_changes = changes
        for service in self.mirror.catalogue.resumable_ms:
            wanted = self._wanted(service, now_ms)
            held = self._held.get(service)
            kept = held is not None and held.revision is not None
            if not any(wanted) or (kept and held.versions == wanted):
                self._due_ms.pop(service, None)
            elif now_ms >= self._due_ms.setdefault(
                service, self._first_ms(service, now_ms)
            ):
                self._due_ms[service] = now_ms + RETRY_MS
                self._write(service, wanted)
        self._next_check_ms = 0.0 if self._due_ms else now_ms + IDLE_CHECK_MS

    def _wanted(self, service: str, now_ms: float) -> frozenset[str]:
        """Return the versions to keep: all, until this instance has seen enough."""
        span_ms = self._span_ms(service)
        registry = self.mirror.registry
        if not registry.is_listed_for(span_ms, now_ms):
            return self.possible(service, now_ms)
        return frozenset(registry.software_versions(service, span_ms, now_ms))

    def _first_ms(self, service: str, now_ms: float) -> float:
        fleet = self.mirror.fleet
        names = {*fleet.names, fleet.name}
        rank = hashing.rendezvous(service.encode(), names).index(fleet.name)
        if rank >= WRITERS:
            return float("inf")
        return now_ms + rank * STAGGER_MS

    def _write(self, service: str, versions: frozenset[str]) -> None:
        task = self._writing.get(service)
        if task is None or task.done():
            self._writing[service] = asyncio.ensure_future(self._put(service, versions))

    async def _put(self, service: str, versions: frozenset[str]) -> None:
        held = self._held.get(service)
        revision = None if held is None else held.revision
        outcome = await self.objects.put(
            software.key(service),
            software.value(versions),
            if_version=revision,
            if_absent=revision is None,
        )
        if isinstance(outcome, result.Success):
            self.apply_entry(service, versions, outcome.unwrap())
            self._due_ms.pop(service, None)

    def close(self) -> None:
        """End all calls to the store."""
        for task in self._writing.values():
            task.cancel()
