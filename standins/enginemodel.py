"""A model engine without I/O: batching, prefix cache, cold start, orders, KV blocks.

Runs are batched in steps: each step decodes one token for every run whose prefill is
complete and prefills at most ``chunk_tokens``, ordered by priority (lower first) and
arrival::

    engine = enginemodel.Engine(enginemodel.Settings("e1"), timers)
    pieces = (enginemodel.Piece("k", 1_000),)
    run = engine.submit(enginemodel.RunRequest("r1", pieces))
    run.watch(lambda: print(run.emitted, run.outcome))
"""

import collections
import enum
import itertools
import typing

from cornelreach.util import timers as timers_module
from standins import cacheevents, kvcache

FULL_SPEED_LOADS = 2

STAGING_TIMEOUT_MS = 30_000.0


class Piece(typing.NamedTuple):
    """One piece of a prompt, identified by its chained key."""

    key: str
    tokens: int


class RunRequest(typing.NamedTuple):
    """One request; ``tail_tokens`` counts the prompt tokens outside all pieces."""

    run: str
    pieces: tuple[Piece, ...] = ()
    tail_tokens: int = 0
    answer_tokens: int = 1
    priority: int = 0
    version: str = "1"


class Settings(typing.NamedTuple):
    """Limits, speed and faults of one engine."""

    name: str
    model: str = "reader"
    version: str = "1"
    max_sequences: int = 16
    max_tokens: int = 200_000
    max_queued: int = 64
    prefill_tokens_per_s: int = 8_000
    chunk_tokens: int = 256
    step_ms: float = 12.0
    sequence_step_ms: float = 0.4
    cache_tokens: int = 200_000
    bytes_per_token: int = 1_000
    cold_sequences: int = 1
    cold_ms: float = 5_000.0
    starts_cold: bool = True
    load_ms: float = 500.0
    report_ms: float = 500.0
    keep_ms: float = 60_000.0
    checks_fence: bool = False
    checks_boot: bool = True
    events: cacheevents.Faults = cacheevents.Faults()
    seed: int = 0


class Rejection(enum.StrEnum):
    """The reason why a request was not run."""

    FULL = "full"
    BOOT = "boot"
    VERSION = "version"
    DUPLICATE = "duplicate"
    STALE_FENCE = "stale_fence"


class Rejected(Exception):
    """The engine did not run the request."""

    def __init__(self, kind: Rejection) -> None:
        super().__init__(kind.value)
        self.kind = kind


class Run:
    """One accepted request and its progress."""

    def __init__(self, request: RunRequest, arrival: int, epoch: int) -> None:
        self.request = request
        self.epoch = epoch
        self.sort_key = (request.priority, arrival)
        self.piece_tokens = sum(piece.tokens for piece in request.pieces)
        self.prompt_tokens = max(1, self.piece_tokens + request.tail_tokens)
        self.cached_tokens = 0
        self.done_tokens = 0
        self.stored = 0
        self.emitted = 0
        self.outcome: str | None = None
        self.blocks: list[kvcache.Block] = []
        self._watchers: list[timers_module.Callback] = []

    def watch(self, callback: timers_module.Callback) -> None:
        """Call ``callback`` after each token and at the end of the run."""
        self._watchers.append(callback)

    def unwatch(self, callback: timers_module.Callback) -> None:
        """Remove a callback."""
        if callback in self._watchers:
            self._watchers.remove(callback)

    def notify(self) -> None:
        """Call every watcher."""
        for callback in tuple(self._watchers):
            callback()


class Engine:
    """One engine; its cache is empty after every change of ``boot_id``."""

    def __init__(
        self, settings: Settings, timers: timers_module.Timers, boot: str = "boot"
    ) -> None:
        self.settings = settings
        self.timers = timers
        self.cache = kvcache.Cache(
            settings.cache_tokens, timers, settings.events, settings.seed
        )
        self.runs: dict[str, Run] = {}
        self.running: list[Run] = []
        self.queue: list[Run] = []
        self.version = settings.version
        self.loading = False
        self.fence = 0
        self.frozen = False
        self.steps: collections.Counter[float] = collections.Counter()
        self.prefilled_tokens = 0
        self.worst_overload = 0
        self.crashes = 0
        self._boot = boot
        self._epoch = 0
        self._arrivals = itertools.count()
        self._imports = itertools.count(1)
        self._staged: dict[str, dict[str, int]] = {}
        self._pinned: dict[str, list[kvcache.Block]] = {}
        self._busy = False
        self.served_ms = 0.0 if settings.starts_cold else settings.cold_ms
        self._report = self._state()
        timers.every(settings.report_ms, self._update_report)

    @property
    def boot_id(self) -> str:
        """Return the boot identity, which changes with every restart."""
        return f"{self._boot}-{self._epoch}"

    @property
    def cold(self) -> bool:
        """Return whether the engine is cold and crashes above ``cold_sequences``."""
        return self.served_ms < self.settings.cold_ms

    def state(self) -> dict[str, typing.Any]:
        """Return the last load report, up to ``report_ms`` old."""
        return self._report

    def _state(self) -> dict[str, typing.Any]:
        waiting = [run.prompt_tokens - run.done_tokens for run in self.queue]
        prefill = [run.prompt_tokens - run.done_tokens for run in self.running]
        return {
            "boot_id": self.boot_id,
            "model": self.settings.model,
            "version": self.version,
            "cold": self.cold,
            "max_sequences": self.settings.max_sequences,
            "max_tokens": self.settings.max_tokens,
            "running": len(self.running),
            "queued": len(self.queue),
            "queued_tokens": sum(waiting) + sum(prefill),
            "cached_pieces": len(self.cache.blocks),
        }

    def _update_report(self) -> None:
        if not self.frozen:
            self._report = self._state()

    def submit(self, request: RunRequest, boot: str | None = None) -> Run:
        """Accept a request; raises Rejected if it is not run.

        A cold engine that gets more than ``cold_sequences`` crashes: the returned run
        has failed, and so have all others.
        """
        if boot is not None and self.settings.checks_boot and boot != self.boot_id:
            raise Rejected(Rejection.BOOT)
        if self.loading or request.version != self.version:
            raise Rejected(Rejection.VERSION)
        if request.run in self.runs:
            raise Rejected(Rejection.DUPLICATE)
        limit = self.settings.max_sequences + self.settings.max_queued
        if len(self.running) + len(self.queue) >= limit:
            raise Rejected(Rejection.FULL)
        run = Run(request, next(self._arrivals), self._epoch)
        self.runs[request.run] = run
        self.queue.append(run)
        self.queue.sort(key=_sort_key)
        if self.cold and self._is_overloaded():
            self.crash()
        else:
            self._schedule_step()
        return run

    def _is_overloaded(self) -> bool:
        since = sum(run.epoch == self._epoch for run in self.running + self.queue)
        over = since - self.settings.cold_sequences
        self.worst_overload = max(self.worst_overload, over)
        return over > 0

    def crash(self) -> None:
        """Count a crash and restart."""
        self.crashes += 1
        self.turn_cold()

    def turn_cold(self) -> None:
        """Restart: all runs fail, the cache is lost, the boot identity changes."""
        failed = self.running + self.queue
        self.running, self.queue = [], []
        self._reset()
        for run in failed:
            self._end(run, "failed")

    def _reset(self) -> None:
        self._epoch += 1
        self.served_ms = 0.0
        self.cache.clear()
        self._staged.clear()
        self._pinned.clear()

    def cancel(self, run_id: str) -> bool:
        """Stop a run; returns whether it was still queued or running."""
        run = self.runs.get(run_id)
        if run is None or run.outcome is not None:
            return False
        group = self.running if run in self.running else self.queue
        group.remove(run)
        self._end(run, "cancelled")
        return True

    def order(
        self, version: str, fence: int | None = None, concurrent_loads: int = 1
    ) -> None:
        """Load the weights of a version; active runs continue on the old ones.

        With more than ``FULL_SPEED_LOADS`` (two) engines loading at once, the load time
        grows in proportion.
        """
        if fence is not None and self.settings.checks_fence and fence < self.fence:
            raise Rejected(Rejection.STALE_FENCE)
        self.fence = max(self.fence, fence or 0)
        if version == self.version and not self.loading:
            return
        self.loading = True
        factor = max(1.0, concurrent_loads / FULL_SPEED_LOADS)
        self.timers.after(
            self.settings.load_ms * factor, lambda: self._finish_load(version)
        )

    def _finish_load(self, version: str) -> None:
        self.version = version
        self.loading = False
        self._reset()

    def _schedule_step(self) -> None:
        if not self._busy and (self.running or self.queue):
            self._busy = True
            self._begin_step()

    def _begin_step(self) -> None:
        self._start_queued()
        decoding = [run for run in self.running if run.done_tokens >= run.prompt_tokens]
        prefill = self._plan_prefill()
        tokens = sum(amount for _, amount in prefill)
        duration_ms = tokens * 1_000 / self.settings.prefill_tokens_per_s
        if decoding:
            duration_ms += self.settings.step_ms
            duration_ms += self.settings.sequence_step_ms * len(decoding)
            self.steps[round(duration_ms, 1)] += len(decoding)
        epoch = self._epoch
        self.timers.after(
            duration_ms, lambda: self._end_step(epoch, duration_ms, decoding, prefill)
        )

    def _start_queued(self) -> None:
        while self.queue and len(self.running) < self.settings.max_sequences:
            run = self.queue.pop(0)
            keys = [piece.key for piece in run.request.pieces]
            cached = self.cache.prefix(keys)
            run.blocks = self.cache.pin(keys[:cached])
            run.stored = cached
            run.cached_tokens = sum(block.tokens for block in run.blocks)
            # The last prompt token is always computed: the first answer token needs it.
            run.done_tokens = min(run.cached_tokens, run.prompt_tokens - 1)
            self.running.append(run)

    def _plan_prefill(self) -> list[tuple[Run, int]]:
        room = self.settings.chunk_tokens
        parts = []
        waiting = [run for run in self.running if run.done_tokens < run.prompt_tokens]
        for run in sorted(waiting, key=_sort_key):
            amount = min(room, run.prompt_tokens - run.done_tokens)
            if amount <= 0:
                break
            parts.append((run, amount))
            room -= amount
        return parts

    def _end_step(
        self,
        epoch: int,
        duration_ms: float,
        decoding: list[Run],
        prefill: list[tuple[Run, int]],
    ) -> None:
        self._busy = False
        if epoch == self._epoch:
            self.served_ms += duration_ms
        for run, amount in prefill:
            if run.outcome is None:
                self._record_prefill(run, amount)
        for run in decoding:
            if run.outcome is None:
                self._emit(run)
        self._schedule_step()

    def _record_prefill(self, run: Run, amount: int) -> None:
        run.done_tokens += amount
        self.prefilled_tokens += amount
        self._store_pieces(run)
        if run.done_tokens >= run.prompt_tokens:
            self._emit(run)

    def _store_pieces(self, run: Run) -> None:
        # A run from before a reload has blocks of other weights; these are not stored.
        end_tokens = sum(piece.tokens for piece in run.request.pieces[: run.stored])
        while run.epoch == self._epoch and run.stored < len(run.request.pieces):
            piece = run.request.pieces[run.stored]
            end_tokens += piece.tokens
            if end_tokens > run.done_tokens:
                return
            block = self.cache.store(piece.key, piece.tokens)
            if block is None:
                return
            block.pins += 1
            run.blocks.append(block)
            run.stored += 1

    def _emit(self, run: Run) -> None:
        run.emitted += 1
        if run.emitted >= run.request.answer_tokens:
            self.running.remove(run)
            self._end(run, "stop")
        else:
            run.notify()

    def _end(self, run: Run, outcome: str) -> None:
        run.outcome = outcome
        self.cache.release(run.blocks)
        run.blocks = []
        run.notify()
        self.timers.after(self.settings.keep_ms, lambda: self._forget(run))

    def _forget(self, run: Run) -> None:
        if self.runs.get(run.request.run) is run:
            del self.runs[run.request.run]

    def pin_prefix(self, keys: typing.Sequence[str]) -> list[kvcache.Block]:
        """Pin the leading readable blocks, so that they stay during an import."""
        return self.cache.pin(keys[: self.cache.prefix(keys)])

    def unpin(self, blocks: typing.Iterable[kvcache.Block]) -> None:
        """Release blocks that ``pin_prefix`` returned."""
        for block in blocks:
            block.pins -= 1

    def stage(
        self, blocks: dict[str, int], pinned: list[kvcache.Block] | None = None
    ) -> str:
        """Keep imported blocks (key to tokens) unreadable until their commit.

        ``pinned`` blocks are released at the commit or after ``STAGING_TIMEOUT_MS``.
        """
        name = f"import-{self._epoch}-{next(self._imports)}"
        self._staged[name] = blocks
        self._pinned[name] = pinned or []
        self.timers.after(STAGING_TIMEOUT_MS, lambda: self.commit(name, ()))
        return name

    def commit(self, name: str, keys: typing.Iterable[str]) -> list[str]:
        """Make the staged blocks of ``keys`` readable; drop the rest of the import."""
        staged = self._staged.pop(name, {})
        wanted = [key for key in keys if key in staged]
        stored = [key for key in reversed(wanted) if self.cache.store(key, staged[key])]
        self.unpin(self._pinned.pop(name, ()))
        return stored[::-1]


def _sort_key(run: Run) -> tuple[int, int]:
    return run.sort_key
