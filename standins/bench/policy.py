"""The routing policy of cornelreach: instances, pool owners, permits and plans."""

import itertools
import typing

from returns import result

from cornelreach.prompts import affinity, pieces, plans
from cornelreach.targets import permits
from cornelreach.util import errors, hashing
from standins import load, profiles
from standins.bench import blocktransfers, owner as owner_module, site as site_module

HEARTBEAT_MS = 1_000.0
INSTANCES = 8
MAX_TRIES = 3
OUTCOMES = {
    "done": permits.Outcome.DONE,
    "deadline": permits.Outcome.CANCELLED,
    "failed": permits.Outcome.CONNECTION_LOST,
}


class _Attempt(typing.NamedTuple):
    """One attempt of a call at one pool."""

    record: site_module.Record
    prompt: pieces.PromptPieces
    pool_affinity: affinity.Affinity
    owner: owner_module.Owner
    permit: permits.Permit
    asked_ms: float


class Cornelreach:
    """Eight instances; their pool summaries are as old as the last heartbeat."""

    name = "cornelreach"
    shares_cache = False

    def start(self, site: site_module.Site) -> None:
        """Create the instances, and an owner for each data centre and model."""
        self.site = site
        self.affinities = [affinity.Affinity() for _ in range(INSTANCES)]
        self.owners: dict[str, owner_module.Owner] = {}
        self._attempts: dict[str, _Attempt] = {}
        self._numbers = itertools.count()
        groups: dict[str, list[str]] = {}
        for name, engine in site.engines.items():
            pool = f"{site.data_centres[name]}/{engine.settings.model}"
            groups.setdefault(pool, []).append(name)
        for pool, targets in groups.items():
            self.owners[pool] = owner_module.Owner(site, pool, targets)
        self._summaries: dict[str, affinity.PoolSummary] = {}
        self._refreshed_ms = 0.0
        self._revision = 0
        site.timers.every(HEARTBEAT_MS, self._refresh_summaries)
        self._refresh_summaries()

    def _refresh_summaries(self) -> None:
        self._revision += 1
        self._refreshed_ms = self.site.timers.now_ms()
        for name, owner in self.owners.items():
            self._summaries[name] = owner.summary(self._revision)

    def on_data_centres_changed(self) -> None:
        """Reconfigure the owners, which then copy to other stores and pools."""
        for owner in self.owners.values():
            owner.copy_runner.configure()

    def offer(self, record: site_module.Record) -> None:
        """Request a permit from the owners of the best pools, one after another."""
        call = record.call
        keys = (*call.keys, hashing.digest(call.name.encode()).hex())
        tokens = (profiles.PIECE_TOKENS,) * len(call.keys)
        prompt = pieces.PromptPieces(keys, (*tokens, call.tail_tokens), call.keys[0])
        number = hashing.score(call.name.encode(), "edge") % INSTANCES
        pool_affinity = self.affinities[number]
        self._request_permit(
            record, prompt, pool_affinity, self._rank_pools(call, prompt, pool_affinity)
        )

    def _rank_pools(
        self,
        call: load.ScheduledCall,
        prompt: pieces.PromptPieces,
        pool_affinity: affinity.Affinity,
    ) -> list[str]:
        now_ms = self.site.timers.now_ms()
        usable = [
            summary._replace(age_ms=now_ms - self._refreshed_ms)
            for name, summary in self._summaries.items()
            if name.endswith(f"/{call.model}")
            and summary.data_centre not in self.site.taken_out
        ]
        move_ms = prompt.total_tokens * 1_000 / profiles.PREFILL_TOKENS_PER_S
        return pool_affinity.rank_pools(prompt.root, usable, move_ms, now_ms).pools

    def _request_permit(
        self,
        record: site_module.Record,
        prompt: pieces.PromptPieces,
        pool_affinity: affinity.Affinity,
        pools: list[str],
    ) -> None:
        call = record.call
        left_ms = call.at_ms + call.deadline_ms - self.site.timers.now_ms()
        if left_ms <= 0:
            self.site.refuse(record, errors.Code.DEADLINE.value)
            return
        if not pools:
            self.site.refuse(record, errors.Code.UNAVAILABLE.value)
            return
        owner = self.owners[pools[0]]
        request = self._permit_request(call, owner, prompt, left_ms)

        def on_decided(
            answer: result.Result[permits.Permit, errors.Refusal], asked_ms: float
        ) -> None:
            if isinstance(answer, result.Success):
                attempt = _Attempt(
                    record, prompt, pool_affinity, owner, answer.unwrap(), asked_ms
                )
                self._dispatch(attempt)
            elif len(pools) > 1:
                self._request_permit(record, prompt, pool_affinity, pools[1:])
            else:
                self.site.refuse(record, answer.failure().code.value)

        owner.request_permit(request, prompt, on_decided)

    def _permit_request(
        self,
        call: load.ScheduledCall,
        owner: owner_module.Owner,
        prompt: pieces.PromptPieces,
        left_ms: float,
    ) -> permits.PermitRequest:
        return permits.PermitRequest(
            request=f"{call.name}/{next(self._numbers)}",
            instance="edge",
            instance_boot="boot",
            pool=owner.name,
            account=call.account,
            prompt_tokens=call.prompt_tokens,
            answer_tokens=call.answer_tokens,
            deadline_in_ms=left_ms,
            piece_keys=prompt.keys,
            piece_tokens=prompt.tokens,
        )

    def _dispatch(self, attempt: _Attempt) -> None:
        now_ms = self.site.timers.now_ms()
        owner, permit = attempt.owner, attempt.permit
        attempt.record.priority = permit.target_priority
        cost = owner.plans[permit.permit].cost
        summary = self._summaries[owner.name]
        attempt.pool_affinity.record_sent(
            attempt.prompt.root, summary, cost.prefill_ms, now_ms
        )
        self._attempts[attempt.record.call.name] = attempt
        steps = plans.decode(permit.plan)
        if steps.source:
            self._import_blocks(attempt, steps)
        elif steps.after:
            owner.call_after_run(
                steps.after, steps.after_limit_ms, lambda: self._send(attempt)
            )
        else:
            self._send(attempt)

    def _import_blocks(self, attempt: _Attempt, steps: plans.Steps) -> None:
        """Import the plan's pieces; send the call once they are there or late."""
        finished = False

        def finish(done: bool) -> None:
            nonlocal finished
            if not finished:
                finished = True
                now_ms = self.site.timers.now_ms()
                run = attempt.permit.permit
                attempt.owner.placement.record_transfer_end(run, done, now_ms)
                self._send(attempt)

        keys = attempt.prompt.keys[steps.start : steps.end]
        target = attempt.permit.target
        blocktransfers.import_blocks(
            self.site,
            steps.source,
            target,
            keys,
            lambda imported: finish(len(imported) >= len(keys)),
        )
        self.site.timers.after(steps.limit_ms, lambda: finish(False))

    def _send(self, attempt: _Attempt) -> None:
        permit, now_ms = attempt.permit, self.site.timers.now_ms()
        checked = permits.check(permit, attempt.asked_ms, now_ms, permit.boot)
        if isinstance(checked, result.Failure):
            del self._attempts[attempt.record.call.name]
            attempt.owner.release(permit, permits.Outcome.UNUSED)
            self.offer(attempt.record)
            return
        self.site.send(self, attempt.record, permit.target, permit.boot)

    def on_first_token(self, record: site_module.Record, target: str) -> None:
        """Tell the owner, which adjusts its prefill estimates."""
        attempt = self._attempts[record.call.name]
        attempt.owner.record_first_token(attempt.permit.permit)

    def on_ended(self, record: site_module.Record, target: str) -> None:
        """Release the permit; retry a call that failed before its first token."""
        attempt = self._attempts.pop(record.call.name)
        outcome = OUTCOMES[record.outcome]
        answered = outcome is not permits.Outcome.CONNECTION_LOST
        boot = self.site.engines[target].boot_id if answered else ""
        attempt.owner.release(attempt.permit, outcome, boot)
        if not answered and record.first_ms is None:
            self._retry(record)

    def on_rejected(self, record: site_module.Record, target: str, kind: str) -> None:
        """Release the permit and retry: the target has not run the call."""
        attempt = self._attempts.pop(record.call.name)
        boot = self.site.engines[target].boot_id
        attempt.owner.release(attempt.permit, permits.Outcome.REJECTED, boot)
        record.outcome = kind
        self._retry(record)

    def _retry(self, record: site_module.Record) -> None:
        if record.tries < MAX_TRIES:
            record.outcome, record.ended_ms = "", None
            self.offer(record)
