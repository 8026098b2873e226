"""Follows the caches of a pool's engines and of the stores that it reaches.

Each target has one task: it lists the cache, then asks for events, and lists again
after a gap, a new boot identity or an error. Failing targets are asked again after a
back-off with jitter, and are no source of transfers meanwhile::

    follower = follower.Follower(http, clock, directory, names, random.Random(boot))
    follower.start()
    follower.update_targets({"engine-1": target, "store-1": store})
    follower.unusable          # sources that did not answer lately
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

POLL_WAIT_MS = 5_000
CALL_WAIT_MS = 10_000
PACE_MS = 1_000
LISTINGS_AT_ONCE = 4
STORE_STATE_MS = 2_000
MAX_LISTED_KEYS = 400_000

LISTED = events.define(
    1502, "DEBUG", "Listed the cache of {target}: {pieces} pieces.", "Nothing."
)
UNREACHABLE = events.define(
    1503,
    "WARNING",
    "The cache of {target} cannot be followed: {error}.",
    "Check the target; prompts that only it holds are computed again meanwhile.",
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
    """A store's answer to ``GET /v1/state``."""

    boot_id: str
    memory_bytes: int
    memory_used: int
    disk_bytes: int
    disk_used: int
    link_bytes_per_s: int
    link_backlog_bytes: int


def used_share(state: StoreState) -> float:
    """Return how full a store is, between 0 and 1."""
    room = state["memory_bytes"] + state["disk_bytes"]
    return (state["memory_used"] + state["disk_used"]) / max(1, room)


class Failed(Exception):
    """A target answered with an error status."""


FAILURES = (
    client_module.RequestNotSent,
    client_module.AnswerLost,
    *decoding.UNREADABLE,
    OSError,
    Failed,
)


class Follower:
    """Keeps one pool's directory up to date.

    ``restarted`` is called with the name of a target that has a new boot identity.
    """

    def __init__(
        self,
        http: client_module.Client,
        clock: timers.Timers,
        directory: directory_module.Directory,
        names: documents.Names,
        random_source: random.Random,
        restarted: typing.Callable[[str], None] = lambda name: None,
    ) -> None:
        self.http = http
        self.clock = clock
        self.directory = directory
        self.names = names
        self.random = random_source
        self.restarted = restarted
        self.store_states: dict[str, StoreState] = {}
        self.failing: set[str] = set()
        self._targets: dict[str, items.Target] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._listings = asyncio.Semaphore(LISTINGS_AT_ONCE)
        self._running = False

    @property
    def unusable(self) -> frozenset[str]:
        """Return the sources that did not answer when they were last asked."""
        return frozenset(self.failing)

    def start(self) -> None:
        """Begin to follow the targets."""
        self._running = True
        self.update_targets(self._targets)

    async def stop(self) -> None:
        """End every task."""
        self._running = False
        tasks = list(self._tasks.values())
        self._tasks.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def update_targets(self, targets: typing.Mapping[str, items.Target]) -> None:
        """Follow exactly these engines and stores from now on."""
        for name in set(self._tasks) - set(targets):
            self._forget(name)
        for name, target in targets.items():
            known = self._targets.get(name)
            if known is not None and known.address != target.address:
                self._forget(name)
        self._targets = dict(targets)
        if not self._running:
            return
        for name, target in self._targets.items():
            if name not in self._tasks:
                self._tasks[name] = asyncio.ensure_future(self._follow(target))

    def _forget(self, name: str) -> None:
        task = self._tasks.pop(name, None)
        if task is not None:
            task.cancel()
        self.directory.remove_source(name)
        self.store_states.pop(name, None)
        self.failing.discard(name)

    async def _follow(self, target: items.Target) -> None:
        waits = backoff.Backoff(self.random)
        asked_state_ms = float("-inf")
        while True:
            try:
                if self.clock.now_ms() - asked_state_ms >= STORE_STATE_MS:
                    asked_state_ms = self.clock.now_ms()
                    await self._ask_state(target)
                await self._step(target)
            except FAILURES as error:
                self._failed(target.name, error)
                await asyncio.sleep(waits.next_ms() / 1_000)
                continue
            waits.reset()
            self.failing.discard(target.name)
            await asyncio.sleep(PACE_MS * self.random.uniform(0.8, 1.2) / 1_000)

    async def _step(self, target: items.Target) -> None:
        """List a target that is not trusted; else take its next events."""
        if self.directory.stale(target.name):
            await self._list(target)
            return
        _, seq = self.directory.position(target.name)
        path = f"/v1/cache/events?since={seq}&wait_ms={POLL_WAIT_MS}"
        answer = msgspec.json.decode(await self._get(target, path), type=_Events)
        batch = [
            directory_module.CacheEvent(
                one["seq"], one["op"], one["key"], one.get("tier", "memory")
            )
            for one in answer["events"]
        ]
        self.names.add(one.key for one in batch if one.op == "stored")
        applied = self.directory.events(
            target.name, answer["boot_id"], batch, answer["next"]
        )
        if applied is directory_module.Applied.NEW_BOOT:
            self.restarted(target.name)
        if applied is not directory_module.Applied.APPLIED:
            await self._list(target)

    async def _list(self, target: items.Target) -> None:
        async with self._listings:
            body = await self._get(target, "/v1/cache")
        listing = msgspec.json.decode(body, type=_Listing)
        keys = listing["keys"][:MAX_LISTED_KEYS]
        self.names.add(keys)
        boot, _ = self.directory.position(target.name)
        self.directory.listing(target.name, listing["boot_id"], listing["seq"], keys)
        if boot not in ("", listing["boot_id"]):
            self.restarted(target.name)
        events.emit(LISTED, target=target.name, pieces=len(keys))

    async def _ask_state(self, target: items.Target) -> None:
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
            raise Failed(f"{path} answered {status}")
        return body

    def _failed(self, name: str, error: Exception) -> None:
        self.directory.mark_stale(name)
        if name not in self.failing:
            self.failing.add(name)
            events.emit(UNREACHABLE, target=name, error=error)
