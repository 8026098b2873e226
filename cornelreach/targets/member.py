"""One target as a member of its pool: admission, pace and breaker together."""

from cornelreach.targets import admission, choice, pace, permits, sharing


class PoolMember:
    """What a pool's owner keeps for a target."""

    def __init__(self, name: str, limits: admission.Limits) -> None:
        self.name = name
        self.admission = admission.TargetAdmission(name, limits)
        self.pace = pace.Pace()
        self._paced_boot = ""

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
        backlog_ms = self.pace.backlog_ms(now_ms)
        return choice.Candidate(
            target=self.name,
            boot=self.admission.boot,
            cold=self.is_cold(),
            fits=room.holds(load) and backlog_ms <= use.most_backlog_ms,
            room=room,
            out=self.admission.out_load,
            limits=self.admission.limits,
            backlog_ms=backlog_ms,
        )

    def grant(
        self, request: permits.PermitRequest, prefill_tokens: int, now_ms: float
    ) -> None:
        """Count a granted call."""
        self._follow_boot()
        load = admission.Load(request.sequences, request.prompt_tokens)
        self.admission.grant(request.request, load, request.deadline_in_ms, now_ms)
        tokens_per_s = self.admission.limits.prefill_tokens_per_s
        self.pace.sent(prefill_tokens, tokens_per_s, now_ms)

    def release(
        self,
        release: permits.Release,
        standing: admission.Standing,
        now_ms: float,
    ) -> None:
        """Take a permit back."""
        self.admission.release(release, standing, now_ms)

    def _follow_boot(self) -> None:
        if self.admission.boot != self._paced_boot:
            self._paced_boot = self.admission.boot
            self.pace.reset()
