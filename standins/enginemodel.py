"""A model engine without I/O: batching, prefix cache, cold start, orders, KV blocks.

Runs share steps: each step decodes one token for every run past its prefill and spends
at most ``chunk_tokens`` on prefill, in order of priority (lower first) and arrival::

    engine = enginemodel.Engine(enginemodel.Settings("e1"), timers)
    run = engine.submit(enginemodel.Work("r1", (enginemodel.Piece("k", 1_000),)))
    run.watch(lambda: print(run.emitted, run.outcome))
"""

import collections
import enum
import itertools
import typing

from cornelreach.util import timers as timers_module
from standins import cacheevents, kvcache

FREE_LOADS = 2

STAGED_MS = 30_000.0


class Piece(typing.NamedTuple):
    """One piece of a prompt by its chained key."""

    key: str
    tokens: int


class Work(typing.NamedTuple):
    """One request; ``tail_tokens`` are those of the prompt outside every piece."""

    run: str
    pieces: tuple[Piece, ...] = ()
    tail_tokens: int = 0
    answer_tokens: int = 1
    priority: int = 0
    version: str = "1"


class Settings(typing.NamedTuple):
    """Size, speed and faults of one engine."""

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
    """Why a request was not run."""

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
    """One request inside the engine and how far it has come."""

    def __init__(self, work: Work, arrival: int, epoch: int) -> None:
        self.work = work
        self.epoch = epoch
        self.order = (work.priority, arrival)
        self.piece_tokens = sum(piece.tokens for piece in work.pieces)
        self.prompt_tokens = max(1, self.piece_tokens + work.tail_tokens)
        self.cached_tokens = 0
        self.done_tokens = 0
        self.stored = 0
        self.emitted = 0
        self.outcome: str | None = None
        self.blocks: list[kvcache.Block] = []
        self._watchers: list[timers_module.Callback] = []

    def watch(self, callback: timers_module.Callback) -> None:
        """Call back after each token and at the end."""
        self._watchers.append(callback)

    def unwatch(self, callback: timers_module.Callback) -> None:
        """Stop calling back."""
        if callback in self._watchers:
            self._watchers.remove(callback)

    def notify(self) -> None:
        """Tell every watcher that the run has moved."""
        for callback in tuple(self._watchers):
            callback()


class Engine:
    """One engine; every change of ``boot_id`` empties its cache."""

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
        self.fallen = 0
        self._boot = boot
        self._epoch = 0
        self._arrivals = itertools.count()
        self._imports = itertools.count(1)
        self._staged: dict[str, dict[str, int]] = {}
        self._held: dict[str, list[kvcache.Block]] = {}
        self._busy = False
        self.served_ms = 0.0 if settings.starts_cold else settings.cold_ms
        self._report = self._state()
        timers.every(settings.report_ms, self._take_report)

    @property
    def boot_id(self) -> str:
        """Return the identity that changes with every start."""
        return f"{self._boot}-{self._epoch}"

    @property
    def cold(self) -> bool:
        """Return whether the engine bears only ``cold_sequences``."""
        return self.served_ms < self.settings.cold_ms

    def state(self) -> dict[str, typing.Any]:
        """Return the last load report, which lags."""
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

    def _take_report(self) -> None:
        if not self.frozen:
            self._report = self._state()

    def submit(self, work: Work, boot: str | None = None) -> Run:
        """Accept a request; raises Rejected where it is not run.

        A cold engine that is given more than it bears falls over: the run returned
        has failed, as has every other.
        """
        if boot is not None and self.settings.checks_boot and boot != self.boot_id:
            raise Rejected(Rejection.BOOT)
        if self.loading or work.version != self.version:
            raise Rejected(Rejection.VERSION)
        if work.run in self.runs:
            raise Rejected(Rejection.DUPLICATE)
        limit = self.settings.max_sequences + self.settings.max_queued
        if len(self.running) + len(self.queue) >= limit:
            raise Rejected(Rejection.FULL)
        run = Run(work, next(self._arrivals), self._epoch)
        self.runs[work.run] = run
        self.queue.append(run)
        self.queue.sort(key=_order)
        if self.cold and self._overloaded():
            self.fall_over()
        else:
            self._wake()
        return run

    def _overloaded(self) -> bool:
        since = sum(run.epoch == self._epoch for run in self.running + self.queue)
        over = since - self.settings.cold_sequences
        self.worst_overload = max(self.worst_overload, over)
        return over > 0

    def fall_over(self) -> None:
        """Fail every run and start anew, cold."""
        self.fallen += 1
        self.turn_cold()

    def turn_cold(self) -> None:
        """Restart: every run fails, memory is lost, the boot identity changes."""
        failed = self.running + self.queue
        self.running, self.queue = [], []
        self._start_anew()
        for run in failed:
            self._end(run, "failed")

    def _start_anew(self) -> None:
        self._epoch += 1
        self.served_ms = 0.0
        self.cache.clear()
        self._staged.clear()
        self._held.clear()

    def cancel(self, run_id: str) -> bool:
        """Stop a run; returns whether it was still going."""
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
        """Load the weights of a version; runs going on keep their own.

        The load takes longer in proportion once more than two engines load at once.
        """
        if fence is not None and self.settings.checks_fence and fence < self.fence:
            raise Rejected(Rejection.STALE_FENCE)
        self.fence = max(self.fence, fence or 0)
        if version == self.version and not self.loading:
            return
        self.loading = True
        factor = max(1.0, concurrent_loads / FREE_LOADS)
        self.timers.after(self.settings.load_ms * factor, lambda: self._loaded(version))

    def _loaded(self, version: str) -> None:
        self.version = version
        self.loading = False
        self._start_anew()

    def _wake(self) -> None:
        if not self._busy and (self.running or self.queue):
            self._busy = True
            self._begin_step()

    def _begin_step(self) -> None:
        self._start_queued()
        decoding = [run for run in self.running if run.done_tokens >= run.prompt_tokens]
        prefill = self._prefill_parts()
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
            keys = [piece.key for piece in run.work.pieces]
            held = self.cache.prefix(keys)
            run.blocks = self.cache.pin(keys[:held])
            run.stored = held
            run.cached_tokens = sum(block.tokens for block in run.blocks)
            # The last token is always computed: it gives the first one of the answer.
            run.done_tokens = min(run.cached_tokens, run.prompt_tokens - 1)
            self.running.append(run)

    def _prefill_parts(self) -> list[tuple[Run, int]]:
        room = self.settings.chunk_tokens
        parts = []
        waiting = [run for run in self.running if run.done_tokens < run.prompt_tokens]
        for run in sorted(waiting, key=_order):
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
                self._prefilled(run, amount)
        for run in decoding:
            if run.outcome is None:
                self._emit(run)
        self._wake()

    def _prefilled(self, run: Run, amount: int) -> None:
        run.done_tokens += amount
        self.prefilled_tokens += amount
        self._store_pieces(run)
        if run.done_tokens >= run.prompt_tokens:
            self._emit(run)

    def _store_pieces(self, run: Run) -> None:
        # A run from before a reload holds blocks of other weights: none is stored.
        ends = sum(piece.tokens for piece in run.work.pieces[: run.stored])
        while run.epoch == self._epoch and run.stored < len(run.work.pieces):
            piece = run.work.pieces[run.stored]
            ends += piece.tokens
            if ends > run.done_tokens:
                return
            block = self.cache.store(piece.key, piece.tokens)
            if block is None:
                return
            block.pins += 1
            run.blocks.append(block)
            run.stored += 1

    def _emit(self, run: Run) -> None:
        run.emitted += 1
        if run.emitted >= run.work.answer_tokens:
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
        if self.runs.get(run.work.run) is run:
            del self.runs[run.work.run]

    def hold(self, keys: typing.Sequence[str]) -> list[kvcache.Block]:
        """Keep the leading blocks that are readable here while others are read."""
        return self.cache.pin(keys[: self.cache.prefix(keys)])

    def let_go(self, held: typing.Iterable[kvcache.Block]) -> None:
        """End the hold of blocks."""
        for block in held:
            block.pins -= 1

    def stage(
        self, blocks: dict[str, int], held: list[kvcache.Block] | None = None
    ) -> str:
        """Keep imported blocks (key to tokens) unreadable until their commit.

        Blocks ``held`` meanwhile are let go at the commit or after ``STAGED_MS``.
        """
        name = f"import-{self._epoch}-{next(self._imports)}"
        self._staged[name] = blocks
        self._held[name] = held or []
        self.timers.after(STAGED_MS, lambda: self.commit(name, ()))
        return name

    def commit(self, name: str, keys: typing.Iterable[str]) -> list[str]:
        """Make staged blocks readable; the others of that import are dropped."""
        staged = self._staged.pop(name, {})
        wanted = [key for key in keys if key in staged]
        stored = [key for key in reversed(wanted) if self.cache.store(key, staged[key])]
        self.let_go(self._held.pop(name, ()))
        return stored[::-1]


def _order(run: Run) -> tuple[int, int]:
    return run.order
