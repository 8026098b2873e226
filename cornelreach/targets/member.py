"""One target as a member of its pool: admission, pace and breaker together."""

from cornelreach.targets import (
    admission,
    breakers,
    choice,
    pace,
    permits,
    sharing,
)

FAILURES = frozenset(
    {
        permits.Outcome.FAILED,
        permits.Outcome.CONNECTION_LOST,
        permits.Outcome.TIMED_OUT,
    }
)
MANY_TOKENS = 1_000_000_000


class PoolMember:
    """What a pool's owner keeps for a target."""

    def __init__(self, name: str, limits: admission.Limits) -> None:
        self.name = name
        self.admission = admission.TargetAdmission(name, limits)
        self.pace = pace.Pace()
        self._paced_boot = ""
        self._expected_ms: dict[str, float] = {}

    def is_cold(self) -> bool:
        """Return whether the target takes only its cold limit."""
        return self.admission.heat is not admission.Heat.WARM

    def candidate(
        self,
        request: permits.PermitRequest,
        use: sharing.Use,
        standing: admission.Standing,
        now_ms: float,
    ) -> choice.Candidate:
        """Return the target as the chooser sees it for one request."""
        self._follow_boot()
        load = admission.Load(request.sequences, request.prompt_tokens)
        room = self.admission.room(standing, now_ms)
        backlog_ms = self.pace.backlog_ms(use.priority(0), now_ms)
        return choice.Candidate(
            target=self.name,
            boot=self.admission.boot,
            cold=self.is_cold(),
            fits=room.holds(load) and backlog_ms <= pace.AHEAD_MS,
            room=room,
            out=self.admission.out_load,
            limits=self.admission.limits,
            backlog_ms=backlog_ms,
            long_backlog_ms=self.pace.backlog_ms(use.priority(MANY_TOKENS), now_ms),
        )

    def reads_soon(self, use: sharing.Use, prefill_tokens: int, now_ms: float) -> bool:
        """Return whether the target starts to read such a prompt soon."""
        priority = use.priority(prefill_tokens)
        return self.pace.backlog_ms(priority, now_ms) <= pace.AHEAD_MS

    def grant(
        self,
        request: permits.PermitRequest,
        use: sharing.Use,
        prefill_tokens: int,
        now_ms: float,
    ) -> None:
        """Count a granted call."""
        self._follow_boot()
        load = admission.Load(request.sequences, request.prompt_tokens)
        self.admission.grant(request.request, load, request.deadline_in_ms, now_ms)
        tokens_per_s = self.admission.limits.prefill_tokens_per_s
        prefill_ms = prefill_tokens / tokens_per_s * 1_000
        priority = use.priority(prefill_tokens)
        backlog_ms = self.pace.backlog_ms(priority, now_ms)
        self._expected_ms[request.request] = backlog_ms + prefill_ms
        self.pace.sent(prefill_ms, priority, now_ms)

    def sample(self, release: permits.Release) -> breakers.Sample | None:
        """Return what the end of a call says about the target, None if nothing."""
        expected_ms = self._expected_ms.get(release.permit, 0.0)
        if release.outcome is permits.Outcome.DONE:
            return breakers.Sample(True, release.first_token_ms, expected_ms)
        if release.outcome in FAILURES:
            return breakers.Sample(False)
        return None

    def release(
        self,
        release: permits.Release,
        standing: admission.Standing,
        now_ms: float,
    ) -> None:
        """Take a permit back."""
        self._expected_ms.pop(release.permit, None)
        self.admission.release(release, standing, now_ms)

    def forget(self, permit: str) -> None:
        """Drop what is kept for a permit that ended without a release."""
        self._expected_ms.pop(permit, None)

    def _follow_boot(self) -> None:
        if self.admission.boot != self._paced_boot:
            self._paced_boot = self.admission.boot
            self._expected_ms.clear()
            self.pace.reset()
