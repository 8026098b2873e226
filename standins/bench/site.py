"""A fleet in virtual time: engines, stores, faults, and the outcome of each call.

A policy gets each call through ``offer`` and calls ``send`` or ``refuse``::

    site = site.Site(profiles.TIRNICA, calls, script)
    site.run(policy, end_ms=300_000)
"""

import typing

from cornelreach.util import timers as timers_module
from standins import enginemodel, linkmodel, load, profiles, storemodel
from standins.bench import faults

HOP_MS = 1.0
LATE_MS = 3_000.0
LINK_BYTES_PER_S = 50_000_000
ADVANCE_MS = 1_000.0
OUTCOMES = {"stop": "done", "cancelled": "deadline"}


class Fault(typing.NamedTuple):
    """A fault by its name in ``faults.FAULTS``, in virtual time."""

    at_ms: float
    name: str


class Script(typing.NamedTuple):
    """Events of a run in virtual time; None if an event doesn't occur."""

    cold_at_ms: float | None = None
    out_at_ms: float | None = None
    back_at_ms: float | None = None
    faults: tuple[Fault, ...] = ()


class Record:
    """One call and its outcome."""

    __slots__ = (
        "call",
        "target",
        "first_ms",
        "ended_ms",
        "outcome",
        "cached",
        "tries",
        "priority",
    )

    def __init__(self, call: load.ScheduledCall) -> None:
        self.call = call
        self.target = ""
        self.first_ms: float | None = None
        self.ended_ms: float | None = None
        self.outcome = ""
        self.cached = 0
        self.tries = 0
        self.priority = 0

    @property
    def first_token_ms(self) -> float | None:
        """Return the time to the first token, or None without one."""
        return None if self.first_ms is None else self.first_ms - self.call.at_ms


class Policy(typing.Protocol):
    """Decides where calls go; ``shares_cache``: one unlimited cache for all engines."""

    name: str
    shares_cache: bool

    def start(self, site: "Site") -> None:
        """Initialise the policy for a site, before the first call."""

    def offer(self, record: Record) -> None:
        """Accept a call, and send or refuse it, immediately or later."""

    def on_first_token(self, record: Record, target: str) -> None:
        """Called when the first token of a call has arrived."""

    def on_ended(self, record: Record, target: str) -> None:
        """Called when a call has ended at a target, whatever its outcome."""

    def on_rejected(self, record: Record, target: str, kind: str) -> None:
        """Called when a target has rejected a call without running it."""

    def on_data_centres_changed(self) -> None:
        """Called when a data centre was taken out or brought back."""


class _SharedCache(enginemodel.kvcache.Cache):
    """A cache without limit that survives restarts, for the bound on all policies."""

    def clear(self) -> None:
        pass


class Site:
    """The engines and stores of one fleet under one policy."""

    def __init__(
        self,
        profile: profiles.Profile,
        calls: list[load.ScheduledCall],
        script: Script,
        seed: int = 0,
    ) -> None:
        self.profile = profile
        self.script = script
        self.timers = timers_module.VirtualTimers()
        self.records = [Record(call) for call in calls]
        self.taken_out: set[str] = set()
        self.late_work = 0
        self.data_centres: dict[str, str] = {}
        self.engines: dict[str, enginemodel.Engine] = {}
        self.stores: dict[str, storemodel.Store] = {}
        self.links: dict[str, linkmodel.Link] = {}
        self.sent_before: dict[str, int] = {}
        self.prefilled_before: dict[str, int] = {}
        self._add_engines(load.READER, profile.readers, seed)
        self._add_engines(load.DRAFTER, profile.drafters, seed)
        for number, data_centre in enumerate(profile.stores):
            name = f"store-{number}"
            self.data_centres[name] = data_centre
            settings = storemodel.Settings(name, seed=seed)
            self.stores[name] = storemodel.Store(settings, self.timers, name)
            self.links[name] = self.stores[name].link

    def _add_engines(
        self, model: str, data_centres: tuple[str, ...], seed: int
    ) -> None:
        for number, data_centre in enumerate(data_centres):
            name = f"{model}-{number}"
            settings = enginemodel.Settings(
                name,
                model=model,
                cache_tokens=self.profile.cache_tokens,
                prefill_tokens_per_s=profiles.PREFILL_TOKENS_PER_S,
                starts_cold=False,
                seed=seed,
            )
            self.data_centres[name] = data_centre
            self.engines[name] = enginemodel.Engine(settings, self.timers, name)
            self.links[name] = linkmodel.Link(LINK_BYTES_PER_S, self.timers)

    def serving(self, model: str) -> list[str]:
        """Return the engines of a model in data centres that are in service."""
        return [
            name
            for name, engine in self.engines.items()
            if engine.settings.model == model
            and self.data_centres[name] not in self.taken_out
        ]

    def run(self, policy: Policy, end_ms: float, from_ms: float) -> None:
        """Run the schedule; measuring starts at ``from_ms``."""
        if policy.shares_cache:
            self._share_caches()
        policy.start(self)
        self.timers.after(from_ms, self._start_counting)
        self._schedule_script(policy)
        for record in self.records:
            call = record.call
            self.timers.after(call.at_ms, _with_record(policy.offer, record))
            late_ms = call.at_ms + call.deadline_ms
            self.timers.after(late_ms, _with_record(self._give_up, record))
        while self.timers.now_ms() < end_ms:
            self.timers.advance(ADVANCE_MS)

    def _share_caches(self) -> None:
        shared = {
            model: _SharedCache(10**12, self.timers)
            for model in (load.READER, load.DRAFTER)
        }
        for engine in self.engines.values():
            engine.cache = shared[engine.settings.model]

    def _start_counting(self) -> None:
        for name, engine in self.engines.items():
            self.prefilled_before[name] = engine.prefilled_tokens
            engine.steps.clear()
        for name, link in self.links.items():
            self.sent_before[name] = link.sent_bytes

    def _schedule_script(self, policy: Policy) -> None:
        script = self.script
        if script.cold_at_ms is not None:
            self.timers.after(script.cold_at_ms, self._turn_cold)
        if script.out_at_ms is not None:
            self.timers.after(script.out_at_ms, lambda: self._take_out(policy))
        for fault in script.faults:
            apply_fault = faults.FAULTS[fault.name]
            self.timers.after(
                fault.at_ms, lambda apply_fault=apply_fault: apply_fault(self)
            )
        if script.back_at_ms is not None:
            self.timers.after(script.back_at_ms, lambda: self._bring_back(policy))

    @property
    def outgoing(self) -> str:
        """Return the data centre that the script takes out."""
        return self.profile.data_centres[1]

    def _turn_cold(self) -> None:
        self.engines[f"{load.READER}-0"].turn_cold()

    def _take_out(self, policy: Policy) -> None:
        self.taken_out.add(self.outgoing)
        policy.on_data_centres_changed()

    def _bring_back(self, policy: Policy) -> None:
        for name, engine in self.engines.items():
            if self.data_centres[name] == self.outgoing:
                engine.turn_cold()
        self.taken_out.discard(self.outgoing)
        policy.on_data_centres_changed()

    def send(
        self, policy: Policy, record: Record, target: str, boot: str | None = None
    ) -> None:
        """Send a call to an engine; it arrives after ``HOP_MS``."""
        record.target = target
        record.tries += 1
        self.timers.after(HOP_MS, lambda: self._arrive(policy, record, target, boot))

    def _arrive(
        self, policy: Policy, record: Record, target: str, boot: str | None
    ) -> None:
        call = record.call
        self._count_late_work(target)
        request = enginemodel.RunRequest(
            f"{call.name}-{record.tries}",
            tuple(enginemodel.Piece(key, profiles.PIECE_TOKENS) for key in call.keys),
            call.tail_tokens,
            call.answer_tokens,
            record.priority,
        )
        try:
            run = self.engines[target].submit(request, boot)
        except enginemodel.Rejected as rejected:
            policy.on_rejected(record, target, rejected.kind.value)
            return
        run.watch(lambda: self._on_progress(policy, record, run, target))
        if run.outcome is not None:
            self._on_progress(policy, record, run, target)

    def _count_late_work(self, target: str) -> None:
        out = self.data_centres[target] in self.taken_out
        if out and self.timers.now_ms() > self.script.out_at_ms + LATE_MS:
            self.late_work += 1

    def _on_progress(
        self, policy: Policy, record: Record, run: enginemodel.Run, target: str
    ) -> None:
        now_ms = self.timers.now_ms() + HOP_MS
        if record.first_ms is None and run.emitted:
            record.first_ms = now_ms
            record.cached = run.cached_tokens
            policy.on_first_token(record, target)
        if run.outcome is not None:
            record.ended_ms = now_ms
            record.outcome = OUTCOMES.get(run.outcome, run.outcome)
            policy.on_ended(record, target)

    def _give_up(self, record: Record) -> None:
        """Cancel a call that has no token at its deadline, as its caller does."""
        if record.first_ms is None and not record.outcome and record.target:
            self.engines[record.target].cancel(f"{record.call.name}-{record.tries}")

    def refuse(self, record: Record, kind: str) -> None:
        """End a call with a refusal of this kind."""
        record.outcome = kind
        record.ended_ms = self.timers.now_ms()


def _with_record(
    method: typing.Callable[[Record], None], record: Record
) -> timers_module.Callback:
    return lambda: method(record)
