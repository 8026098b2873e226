"""Runs the owner of one pool in virtual time.

It passes load reports and cache events to ``cornelreach.targets`` and
``cornelreach.prompts``, which make all decisions, and carries these out.
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
from standins.bench import blocktransfers, copyrunner, site as site_module

REPORT_INTERVAL_MS = 500.0
EVENT_POLL_MS = 100.0
TICK_MS = 20.0
PermitCallback = typing.Callable[
    [result.Result[permits.Permit, typing.Any], float], None
]
BlockHolder = kvcache.Cache | storemodel.Store


class Owner:
    """The admission, directory and placement state of one pool."""

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
        self.copy_runner = copyrunner.CopyRunner(
            site, name, targets, self.directory, self.links
        )
        self.plans: dict[str, plans.Plan] = {}
        self.prompts: dict[str, pieces.PromptPieces] = {}
        self.queued_tokens = dict.fromkeys(targets, 0)
        self._waiting: dict[str, PermitCallback] = {}
        self._requested_ms: dict[str, float] = {}
        self._run_callbacks: dict[str, list[timers.Callback]] = {}
        clock = site.timers
        clock.every(REPORT_INTERVAL_MS, self._report_all)
        clock.every(EVENT_POLL_MS, self._poll_all_events)
        clock.every(TICK_MS, self._tick)
        self._report_all()
        self._poll_all_events()

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
        """Return the model's engines that are in service, and all stores."""
        model = self.name.rpartition("/")[2]
        return [*self.site.serving(model), *self.site.stores]

    def _poll_all_events(self) -> None:
        for name in self.sources:
            self._poll_events(name)

    def _poll_events(self, name: str) -> None:
        engine = self.site.engines.get(name)
        holder = engine.cache if engine else self.site.stores[name]
        boot = engine.boot_id if engine else self.site.stores[name].boot_id
        known, seq = self.directory.position(name)
        if (known, seq) == (boot, holder.events.seq) and not self.directory.stale(name):
            return
        new_events, after = holder.events.after(seq)
        batch = [directory_module.CacheEvent(e.seq, e.op, e.key) for e in new_events]
        applied = self.directory.apply_events(name, boot, batch, after)
        if applied is directory_module.ApplyResult.NEW_BOOT and name in self.targets:
            self.placement.forget_target(name)
            self.copy_runner.record_restart(name)
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
        chosen = self.placement.choose(
            prompt, fitting, blocktransfers.BYTES_PER_TOKEN, now_ms
        )
        if not isinstance(chosen, result.Success):
            return choice.NO_TARGET
        plan = chosen.unwrap()
        self.plans[request.request] = plan
        tokens = plan.cost.recompute_tokens
        return choice.Choice(plan.target, plans.encode(plan), tokens)

    def request_permit(
        self,
        request: permits.PermitRequest,
        prompt: pieces.PromptPieces,
        on_decided: PermitCallback,
    ) -> None:
        """Request a permit; ``on_decided`` is called once, immediately or later.

        It gets the decision and the time at which the request was last sent.
        """
        self.prompts[request.request] = prompt
        now_ms = self.site.timers.now_ms()
        answer = self.admission.request(request, now_ms)
        reply = answer.value_or(None)
        if isinstance(reply, permits.Queued):
            self._waiting[request.request] = on_decided
            self._requested_ms[request.request] = now_ms
            self._poll_while_queued(request, now_ms + request.deadline_in_ms)
            return
        self._decide(request.request, answer, on_decided, now_ms)

    def _poll_while_queued(
        self, request: permits.PermitRequest, until_ms: float
    ) -> None:
        """Repeat a queued request until it is decided, as an instance does."""

        def poll() -> None:
            now_ms = self.site.timers.now_ms()
            if request.request not in self._waiting or now_ms >= until_ms:
                return
            left = request._replace(deadline_in_ms=until_ms - now_ms)
            self._requested_ms[request.request] = now_ms
            answer = self.admission.request(left, now_ms)
            if not isinstance(answer.value_or(None), permits.Queued):
                on_decided = self._waiting.pop(request.request)
                self._decide(request.request, answer, on_decided, now_ms)
                return
            self.site.timers.after(permits.POLL_MS * 0.9, poll)

        self.site.timers.after(permits.POLL_MS * 0.9, poll)

    def _decide(
        self,
        request: str,
        answer: result.Result[permits.Permit, typing.Any],
        on_decided: PermitCallback,
        asked_ms: float,
    ) -> None:
        self._requested_ms.pop(request, None)
        if isinstance(answer, result.Success):
            now_ms = self.site.timers.now_ms()
            plan = self.plans[request]
            self.placement.record_dispatch(request, self.prompts[request], plan, now_ms)
            self.copy_runner.record_placement(self.prompts[request])
        on_decided(answer, asked_ms)

    def _tick(self) -> None:
        now_ms = self.site.timers.now_ms()
        for target in self.admission.probes():
            self._report(target)
        for decision in self.admission.advance(now_ms):
            on_decided = self._waiting.pop(decision.request, None)
            if on_decided is not None:
                asked_ms = self._requested_ms[decision.request]
                self._decide(decision.request, decision.answer, on_decided, asked_ms)

    def release(
        self, permit: permits.Permit, outcome: permits.Outcome, boot: str = ""
    ) -> None:
        """Release a permit and forget the run."""
        now_ms = self.site.timers.now_ms()
        self.placement.record_run_end(permit.permit, now_ms)
        self.admission.release(
            permits.Release(permit.permit, permit.target, outcome, boot), now_ms
        )
        for callback in self._run_callbacks.pop(permit.permit, ()):
            callback()
        prompt = self.prompts.pop(permit.permit)
        if outcome is permits.Outcome.DONE:
            self.copy_runner.record_completion(prompt)
        self.plans.pop(permit.permit, None)

    def record_first_token(self, run: str) -> None:
        """Record a first token and call back the runs that wait for it."""
        self.placement.record_first_token(run, self.site.timers.now_ms())
        for callback in self._run_callbacks.pop(run, ()):
            callback()

    def call_after_run(
        self, run: str, limit_ms: float, callback: timers.Callback
    ) -> None:
        """Call back once: at the run's first token, at its end or after a limit."""
        called = False

        def once() -> None:
            nonlocal called
            if not called:
                called = True
                callback()

        if run in self.plans:
            self._run_callbacks.setdefault(run, []).append(once)
        else:
            once()
        self.site.timers.after(limit_ms, once)

    def summary(self, revision: int) -> affinity.PoolSummary:
        """Return the summary of the pool that a heartbeat carries."""
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
