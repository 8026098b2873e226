"""Follows the cache contents of a pool's engines and of the stores it can reach.

One task for each target lists the cache and then polls for events. It lists the cache
again after a gap, a new boot identity or an error. A failing target is retried with
back-off and jitter, and is not used as a source of transfers meanwhile::

    follower = follower.Follower(http, clock, directory, key_index, random.Random(boot))
    follower.start()
    follower.update_targets({"engine-1": target, "store-1": store})
    follower.unreachable       # sources whose last call failed
    await follower.stop()
"""

import asyncio
import random
import typing

import msgspec

from cornelreach.http import client as client_module
from cornelreach.platform import backoff
from cornelreach.prompts import directory as directory_module, documents
from cornelreach.settings import items
from cornelreach.util import decoding, events, timers

LONG_POLL_MS = 5_000
CALL_WAIT_MS = 10_000
POLL_INTERVAL_MS = 1_000
MAX_CONCURRENT_LISTINGS = 4
STORE_STATE_INTERVAL_MS = 2_000
MAX_LISTED_KEYS = 400_000

LISTED = events.define(
    1502, "DEBUG", "Listed the cache of {target}: {pieces} pieces.", "Nothing."
)
UNREACHABLE = events.define(
    1503,
    "WARNING",
    "Cannot follow the cache of {target}: {error}.",
    "Check the target; until it answers, prompts that only it holds are recomputed.",
)


class _Event(typing.TypedDict):
    seq: int
    op: str
    key: str
    tier: typing.NotRequired[str]


class _Events(typing.TypedDict):
    boot_id: str
    events: list[_Event]
    next: int


class _Listing(typing.TypedDict):
    boot_id: str
    seq: int
    keys: list[str]


class StoreState(typing.TypedDict):
    """A store's response to ``GET /v1/state``."""

    boot_id: str
    memory_bytes: int
    memory_used: int
    disk_bytes: int
    disk_used: int
    link_bytes_per_s: int
    link_backlog_bytes: int


def used_share(state: StoreState) -> float:
    """Return the used share of a store's memory and disk, between 0 and 1."""
    capacity = state["memory_bytes"] + state["disk_bytes"]
    return (state["memory_used"] + state["disk_used"]) / max(1, capacity)


class BadStatus(Exception):
    """A target answered with a status other than 200."""


FAILURES = (
    client_module.RequestNotSent,
    client_module.ResponseLost,
    *decoding.DECODE_ERRORS,
    OSError,
    BadStatus,
)


class Follower:
    """Keeps the directory of one pool up to date.

    ``on_restart`` is called with the name of each target whose boot identity changed.
    """

    def __init__(
        self,
        http: client_module.Client,
        clock: timers.Timers,
        directory: directory_module.Directory,
        key_index: documents.KeyIndex,
        random_source: random.Random,
        on_restart: typing.Callable[[str], None] = lambda name: None,
    ) -> None:
        self.http = http
        self.clock = clock
        self.directory = directory
        self.key_index = key_index
        self.random = random_source
        self.on_restart = on_restart
        self.store_states: dict[str, StoreState] = {}
        self.failing: set[str] = set()
        self._targets: dict[str, items.Target] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._listings = asyncio.Semaphore(MAX_CONCURRENT_LISTINGS)
        self._running = False

    @property
    def unreachable(self) -> frozenset[str]:
        """Return the sources whose last call failed."""
        return frozenset(self.failing)

    def start(self) -> None:
        """Start following the targets."""
        self._running = True
        self.update_targets(self._targets)

    async def stop(self) -> None:
        """Cancel all tasks."""
        self._running = False
        tasks = list(self._tasks.values())
        self._tasks.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def update_targets(self, targets: typing.Mapping[str, items.Target]) -> None:
        """Set the engines and stores to follow; tasks of all others are cancelled."""
        for name in set(self._tasks) - set(targets):
            self._unfollow(name)
        for name, target in targets.items():
            known = self._targets.get(name)
            if known is not None and known.address != target.address:
                self._unfollow(name)
        self._targets = dict(targets)
        if not self._running:
            return
        for name, target in self._targets.items():
            if name not in self._tasks:
                self._tasks[name] = asyncio.ensure_future(self._follow(target))

    def _unfollow(self, name: str) -> None:
        task = self._tasks.pop(name, None)
        if task is not None:
            task.cancel()
        self.directory.remove_source(name)
        self.store_states.pop(name, None)
        self.failing.discard(name)

    async def _follow(self, target: items.Target) -> None:
        retry_delays = backoff.Backoff(self.random)
        last_state_ms = float("-inf")
        while True:
            try:
                if self.clock.now_ms() - last_state_ms >= STORE_STATE_INTERVAL_MS:
                    last_state_ms = self.clock.now_ms()
                    await self._fetch_state(target)
                await self._poll(target)
            except FAILURES as error:
                self._record_failure(target.name, error)
                await asyncio.sleep(retry_delays.next_ms() / 1_000)
                continue
            retry_delays.reset()
            self.failing.discard(target.name)
            await asyncio.sleep(
                POLL_INTERVAL_MS * self.random.uniform(0.8, 1.2) / 1_000
            )

    async def _poll(self, target: items.Target) -> None:
        """List the cache of a stale target, or fetch the next events of any other."""
        if self.directory.stale(target.name):
            await self._fetch_listing(target)
            return
        _, seq = self.directory.position(target.name)
        path = f"/v1/cache/events?since={seq}&wait_ms={LONG_POLL_MS}"
        response = msgspec.json.decode(await self._get(target, path), type=_Events)
        batch = [
            directory_module.CacheEvent(
                event["seq"], event["op"], event["key"], event.get("tier", "memory")
            )
            for event in response["events"]
        ]
        self.key_index.add(event.key for event in batch if event.op == "stored")
        applied = self.directory.apply_events(
            target.name, response["boot_id"], batch, response["next"]
        )
        if applied is directory_module.ApplyResult.NEW_BOOT:
            self.on_restart(target.name)
        if applied is not directory_module.ApplyResult.APPLIED:
            await self._fetch_listing(target)

    async def _fetch_listing(self, target: items.Target) -> None:
        async with self._listings:
            body = await self._get(target, "/v1/cache")
        listing = msgspec.json.decode(body, type=_Listing)
        keys = listing["keys"][:MAX_LISTED_KEYS]
        self.key_index.add(keys)
        boot, _ = self.directory.position(target.name)
        self.directory.apply_listing(
            target.name, listing["boot_id"], listing["seq"], keys
        )
        if boot not in ("", listing["boot_id"]):
            self.on_restart(target.name)
        events.emit(LISTED, target=target.name, pieces=len(keys))

    async def _fetch_state(self, target: items.Target) -> None:
        if target.kind == "store":
            body = await self._get(target, "/v1/state")
            state = msgspec.json.decode(body, type=StoreState)
            self.store_states[target.name] = state

    async def _get(self, target: items.Target, path: str) -> bytes:
        address = client_module.parse_address(target.address)
        status, body, _ = await self.http.call(
            address, "GET", path, wait_ms=CALL_WAIT_MS
        )
        if status != 200:
            raise BadStatus(f"{path} answered {status}")
        return body

    def _record_failure(self, name: str, error: Exception) -> None:
        self.directory.mark_stale(name)
        if name not in self.failing:
            self.failing.add(name)
            events.emit(UNREACHABLE, target=name, error=error)
