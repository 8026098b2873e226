"""The owner of one pool in virtual time: carries events in and decisions out.

All decisions are those of ``cornelreach.targets`` and ``cornelreach.prompts``.
"""

import typing

from returns import result

from cornelreach.prompts import (
    affinity,
    directory as directory_module,
    links,
    pieces,
    placement,
    plans,
)
from cornelreach.targets import admission, choice, permits, pool as pool_module
from cornelreach.util import timers
from standins import kvcache, profiles, storemodel
from standins.bench import keeper, moves, site as site_module

REPORT_MS = 500.0
EVENTS_MS = 100.0
TICK_MS = 20.0
Decided = typing.Callable[[result.Result[permits.Permit, typing.Any], float], None]
Holder = kvcache.Cache | storemodel.Store


class Owner:
    """One pool's aggregates and the events that feed them."""

    def __init__(self, site: site_module.Site, name: str, targets: list[str]) -> None:
        self.site = site
        self.name = name
        self.targets = targets
        limits = {target: self._limits(target) for target in targets}
        self.admission = pool_module.PoolOwner(name, limits, self._choose)
        self.admission.set_admission_right(admission.AdmissionRight(1, True, 0.0))
        self.directory = directory_module.Directory()
        self.links = links.Links()
        self.placement = placement.Placement(self.directory, self.links)
        self.keeper = keeper.Keeper(site, name, targets, self.directory, self.links)
        self.plans: dict[str, plans.Plan] = {}
        self.prompts: dict[str, pieces.PromptPieces] = {}
        self.queued_tokens = dict.fromkeys(targets, 0)
        self._waiting: dict[str, Decided] = {}
        self._asked_ms: dict[str, float] = {}
        self._after: dict[str, list[timers.Callback]] = {}
        clock = site.timers
        clock.every(REPORT_MS, self._report_all)
        clock.every(EVENTS_MS, self._follow_all)
        clock.every(TICK_MS, self._tick)
        self._report_all()
        self._follow_all()

    def _limits(self, target: str) -> admission.Limits:
        settings = self.site.engines[target].settings
        return admission.Limits(
            max_sequences=settings.max_sequences,
            max_tokens=settings.max_tokens,
            cold_sequences=settings.cold_sequences,
            cold_ms=settings.cold_ms,
        )

    def _report_all(self) -> None:
        for target in self.targets:
            self._report(target)
        now_ms = self.site.timers.now_ms()
        for name, store in self.site.stores.items():
            backlog_bytes = store.state()["link_backlog_bytes"]
            self.links.report_backlog(name, backlog_bytes, now_ms)

    def _report(self, target: str) -> None:
        engine = self.site.engines[target]
        state = engine.state()
        now_ms = self.site.timers.now_ms()
        report = permits.Report(
            target=target,
            asked_ms=now_ms,
            boot=engine.boot_id,
            load_boot=state["boot_id"],
            cold=state["cold"],
            running=state["running"],
            queued=state["queued"],
            queued_tokens=state["queued_tokens"],
        )
        if state["boot_id"] == engine.boot_id:
            self.queued_tokens[target] = state["queued_tokens"]
        self.admission.report(report, now_ms)

    @property
    def sources(self) -> list[str]:
        """Return the engines of the model in service, and all stores."""
        model = self.name.rpartition("/")[2]
        return [*self.site.serving(model), *self.site.stores]

    def _follow_all(self) -> None:
        for name in self.sources:
            self._follow(name)

    def _follow(self, name: str) -> None:
        engine = self.site.engines.get(name)
        holder = engine.cache if engine else self.site.stores[name]
        boot = engine.boot_id if engine else self.site.stores[name].boot_id
        known, seq = self.directory.position(name)
        if (known, seq) == (boot, holder.events.seq) and not self.directory.stale(name):
            return
        seen, after = holder.events.after(seq)
        batch = [directory_module.CacheEvent(e.seq, e.op, e.key) for e in seen]
        applied = self.directory.apply_events(name, boot, batch, after)
        if applied is directory_module.ApplyResult.NEW_BOOT and name in self.targets:
            self.placement.forget_target(name)
            self.keeper.restarted(name)
        if applied is not directory_module.ApplyResult.APPLIED or self.directory.stale(
            name
        ):
            keys = [block.key for block in holder.blocks.values() if block.committed]
            self.directory.apply_listing(name, boot, holder.events.seq, keys)

    def _choose(
        self,
        request: permits.PermitRequest,
        candidates: typing.Sequence[choice.Candidate],
        now_ms: float,
    ) -> choice.Choice:
        fitting = [
            placement.Candidate(
                one.target,
                profiles.PREFILL_TOKENS_PER_S,
                self.queued_tokens[one.target],
            )
            for one in candidates
            if one.fits
        ]
        prompt = self.prompts[request.request]
        chosen = self.placement.choose(prompt, fitting, moves.BYTES_PER_TOKEN, now_ms)
        if not isinstance(chosen, result.Success):
            return choice.NO_TARGET
        plan = chosen.unwrap()
        self.plans[request.request] = plan
        tokens = plan.cost.recompute_tokens
        return choice.Choice(plan.target, plans.encode(plan), tokens)

    def ask(
        self,
        request: permits.PermitRequest,
        prompt: pieces.PromptPieces,
        decided: Decided,
    ) -> None:
        """Ask for a permit; ``decided`` is called now or later, once.

        It gets the answer and when the question was last asked.
        """
        self.prompts[request.request] = prompt
        now_ms = self.site.timers.now_ms()
        answer = self.admission.request(request, now_ms)
        given = answer.value_or(None)
        if isinstance(given, permits.Queued):
            self._waiting[request.request] = decided
            self._asked_ms[request.request] = now_ms
            self._attend(request, now_ms + request.deadline_in_ms)
            return
        self._decide(request.request, answer, decided, now_ms)

    def _attend(self, request: permits.PermitRequest, until_ms: float) -> None:
        """Repeat a question that waits, as its sender does."""

        def again() -> None:
            now_ms = self.site.timers.now_ms()
            if request.request not in self._waiting or now_ms >= until_ms:
                return
            left = request._replace(deadline_in_ms=until_ms - now_ms)
            self._asked_ms[request.request] = now_ms
            answer = self.admission.request(left, now_ms)
            if not isinstance(answer.value_or(None), permits.Queued):
                decided = self._waiting.pop(request.request)
                self._decide(request.request, answer, decided, now_ms)
                return
            self.site.timers.after(permits.POLL_MS * 0.9, again)

        self.site.timers.after(permits.POLL_MS * 0.9, again)

    def _decide(
        self,
        request: str,
        answer: result.Result[permits.Permit, typing.Any],
        decided: Decided,
        asked_ms: float,
    ) -> None:
        self._asked_ms.pop(request, None)
        if isinstance(answer, result.Success):
            now_ms = self.site.timers.now_ms()
            plan = self.plans[request]
            self.placement.record_dispatch(request, self.prompts[request], plan, now_ms)
            self.keeper.placed(self.prompts[request])
        decided(answer, asked_ms)

    def _tick(self) -> None:
        now_ms = self.site.timers.now_ms()
        for target in self.admission.probes():
            self._report(target)
        for decision in self.admission.advance(now_ms):
            decided = self._waiting.pop(decision.request, None)
            if decided is not None:
                asked_ms = self._asked_ms[decision.request]
                self._decide(decision.request, decision.answer, decided, asked_ms)

    def release(
        self, permit: permits.Permit, outcome: permits.Outcome, boot: str = ""
    ) -> None:
        """Hand a permit back and forget the run."""
        now_ms = self.site.timers.now_ms()
        self.placement.record_run_end(permit.permit, now_ms)
        self.admission.release(
            permits.Release(permit.permit, permit.target, outcome, boot), now_ms
        )
        for callback in self._after.pop(permit.permit, ()):
            callback()
        prompt = self.prompts.pop(permit.permit)
        if outcome is permits.Outcome.DONE:
            self.keeper.computed(prompt)
        self.plans.pop(permit.permit, None)

    def first_token(self, run: str) -> None:
        """Note a first token, for which other runs may wait."""
        self.placement.record_first_token(run, self.site.timers.now_ms())
        for callback in self._after.pop(run, ()):
            callback()

    def after(self, run: str, limit_ms: float, callback: timers.Callback) -> None:
        """Call back once, at the first token or end of a run or after a limit."""
        called = False

        def once() -> None:
            nonlocal called
            if not called:
                called = True
                callback()

        if run in self.plans:
            self._after.setdefault(run, []).append(once)
        else:
            once()
        self.site.timers.after(limit_ms, once)

    def summary(self, revision: int) -> affinity.PoolSummary:
        """Return the pool in short, as a heartbeat carries it."""
        now_ms = self.site.timers.now_ms()
        in_flight = self.placement.in_flight
        summary = self.admission.summary(now_ms)
        queued_ms = summary.queued_tokens * 1_000 / profiles.PREFILL_TOKENS_PER_S
        wait_ms = min(in_flight.wait_ms(one, now_ms) for one in self.targets)
        return affinity.PoolSummary(
            pool=self.name,
            data_centre=self.name.partition("/")[0],
            owner="owner",
            wait_ms=wait_ms + queued_ms / max(1, summary.targets),
            room=summary.room_sequences,
            targets=summary.targets,
            cold_targets=summary.cold_targets,
            revision=revision,
        )
