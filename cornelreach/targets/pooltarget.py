"""One target of a pool: its admission state and prefill backlog."""

from cornelreach.targets import (
    admission,
    breakers,
    choice,
    permits,
    prefillbacklog,
    sharing,
)

FAILURES = frozenset(
    {
        permits.Outcome.FAILED,
        permits.Outcome.CONNECTION_LOST,
        permits.Outcome.TIMED_OUT,
    }
)
# A prefill of this size counts as long, which gives the lower of the two priorities.
VERY_LONG_PROMPT_TOKENS = 1_000_000_000


class PoolTarget:
    """The state that a pool's owner keeps for one target."""

    def __init__(self, name: str, limits: admission.Limits) -> None:
        self.name = name
        self.admission = admission.TargetAdmission(name, limits)
        self.backlog = prefillbacklog.PrefillBacklog()
        self._backlog_boot = ""
        self._expected_ms: dict[str, float] = {}

    def is_cold(self) -> bool:
        """Return whether the target is limited to its cold limits."""
        return self.admission.warmup_state is not admission.WarmupState.WARM

    def candidate(
        self,
        request: permits.PermitRequest,
        access: sharing.PoolAccess,
        admission_right: admission.AdmissionRight,
        now_ms: float,
    ) -> choice.Candidate:
        """Return the target as a candidate for one request."""
        self._reset_after_restart()
        load = admission.Load(request.sequences, request.prompt_tokens)
        available = self.admission.available(admission_right, now_ms)
        backlog_ms = self.backlog.backlog_ms(access.priority(0), now_ms)
        return choice.Candidate(
            target=self.name,
            boot=self.admission.boot,
            cold=self.is_cold(),
            fits=available.covers(load) and backlog_ms <= prefillbacklog.MAX_BACKLOG_MS,
            available=available,
            outstanding=self.admission.outstanding_load,
            limits=self.admission.limits,
            backlog_ms=backlog_ms,
            long_backlog_ms=self.backlog.backlog_ms(
                access.priority(VERY_LONG_PROMPT_TOKENS), now_ms
            ),
        )

    def starts_prefill_soon(
        self, access: sharing.PoolAccess, prefill_tokens: int, now_ms: float
    ) -> bool:
        """Return whether the target would start such a prefill soon."""
        priority = access.priority(prefill_tokens)
        return (
            self.backlog.backlog_ms(priority, now_ms) <= prefillbacklog.MAX_BACKLOG_MS
        )

    def grant(
        self,
        request: permits.PermitRequest,
        access: sharing.PoolAccess,
        prefill_tokens: int,
        now_ms: float,
    ) -> None:
        """Record a granted call."""
        self._reset_after_restart()
        load = admission.Load(request.sequences, request.prompt_tokens)
        self.admission.grant(request.request, load, request.deadline_in_ms, now_ms)
        tokens_per_s = self.admission.limits.prefill_tokens_per_s
        prefill_ms = prefill_tokens / tokens_per_s * 1_000
        priority = access.priority(prefill_tokens)
        backlog_ms = self.backlog.backlog_ms(priority, now_ms)
        self._expected_ms[request.request] = backlog_ms + prefill_ms
        self.backlog.add(prefill_ms, priority, now_ms)

    def sample(self, release: permits.Release) -> breakers.Sample | None:
        """Return the breaker's sample for a release, None if it shows nothing."""
        expected_ms = self._expected_ms.get(release.permit, 0.0)
        if release.outcome is permits.Outcome.DONE:
            return breakers.Sample(True, release.first_token_ms, expected_ms)
        if release.outcome in FAILURES:
            return breakers.Sample(False)
        return None

    def release(
        self,
        release: permits.Release,
        admission_right: admission.AdmissionRight,
        now_ms: float,
    ) -> None:
        """Release a permit."""
        self._expected_ms.pop(release.permit, None)
        self.admission.release(release, admission_right, now_ms)

    def forget(self, permit: str) -> None:
        """Drop the estimate of a permit that ended without a release."""
        self._expected_ms.pop(permit, None)

    def _reset_after_restart(self) -> None:
        if self.admission.boot != self._backlog_boot:
            self._backlog_boot = self.admission.boot
            self._expected_ms.clear()
            self.backlog.reset()
