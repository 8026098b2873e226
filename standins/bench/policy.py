"""The policy of cornelreach itself: edges, owners of pools, permits and plans."""

import itertools
import typing

from returns import result

from cornelreach.prompts import affinity, pieces, plans
from cornelreach.targets import permits
from cornelreach.util import errors, hashing
from standins import load, profiles
from standins.bench import moves, owner as owner_module, site as site_module

BEAT_MS = 1_000.0
EDGES = 8
MAX_TRIES = 3
OUTCOMES = {
    "done": permits.Outcome.DONE,
    "deadline": permits.Outcome.CANCELLED,
    "failed": permits.Outcome.CONNECTION_LOST,
}


class _Try(typing.NamedTuple):
    """One attempt of a call at one pool."""

    record: site_module.Record
    prompt: pieces.PromptPieces
    edge: affinity.Affinity
    owner: owner_module.Owner
    permit: permits.Permit
    asked_ms: float


class Cornelreach:
    """Eight edges, whose view of the pools is as old as a heartbeat."""

    name = "cornelreach"
    shares_cache = False

    def start(self, site: site_module.Site) -> None:
        """Make the edges, and an owner for each data centre's pool of a model."""
        self.site = site
        self.edges = [affinity.Affinity() for _ in range(EDGES)]
        self.owners: dict[str, owner_module.Owner] = {}
        self._tries: dict[str, _Try] = {}
        self._numbers = itertools.count()
        groups: dict[str, list[str]] = {}
        for name, engine in site.engines.items():
            pool = f"{site.data_centres[name]}/{engine.settings.model}"
            groups.setdefault(pool, []).append(name)
        for pool, targets in groups.items():
            self.owners[pool] = owner_module.Owner(site, pool, targets)
        self._summaries: dict[str, affinity.PoolSummary] = {}
        self._beaten_ms = 0.0
        self._revision = 0
        site.timers.every(BEAT_MS, self._beat)
        self._beat()

    def _beat(self) -> None:
        self._revision += 1
        self._beaten_ms = self.site.timers.now_ms()
        for name, owner in self.owners.items():
            self._summaries[name] = owner.summary(self._revision)

    def changed(self) -> None:
        """Tell the owners, whose copies go elsewhere from now on."""
        for owner in self.owners.values():
            owner.keeper.configure()

    def offer(self, record: site_module.Record) -> None:
        """Ask the owners of the best pools in turn for a permit."""
        call = record.call
        keys = (*call.keys, hashing.digest(call.name.encode()).hex())
        tokens = (profiles.PIECE_TOKENS,) * len(call.keys)
        prompt = pieces.PromptPieces(keys, (*tokens, call.tail_tokens), call.keys[0])
        number = hashing.score(call.name.encode(), "edge") % EDGES
        edge = self.edges[number]
        self._ask(record, prompt, edge, self._order(call, prompt, edge))

    def _order(
        self, call: load.Call, prompt: pieces.PromptPieces, edge: affinity.Affinity
    ) -> list[str]:
        now_ms = self.site.timers.now_ms()
        usable = [
            summary._replace(age_ms=now_ms - self._beaten_ms)
            for name, summary in self._summaries.items()
            if name.endswith(f"/{call.model}")
            and summary.data_centre not in self.site.taken_out
        ]
        move_ms = prompt.total_tokens * 1_000 / profiles.PREFILL_TOKENS_PER_S
        return edge.rank_pools(prompt.root, usable, move_ms, now_ms).pools

    def _ask(
        self,
        record: site_module.Record,
        prompt: pieces.PromptPieces,
        edge: affinity.Affinity,
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
        request = self._request(call, owner, prompt, left_ms)

        def decided(
            answer: result.Result[permits.Permit, errors.Refusal], asked_ms: float
        ) -> None:
            if isinstance(answer, result.Success):
                tried = _Try(record, prompt, edge, owner, answer.unwrap(), asked_ms)
                self._permitted(tried)
            elif len(pools) > 1:
                self._ask(record, prompt, edge, pools[1:])
            else:
                self.site.refuse(record, answer.failure().code.value)

        owner.ask(request, prompt, decided)

    def _request(
        self,
        call: load.Call,
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

    def _permitted(self, tried: _Try) -> None:
        now_ms = self.site.timers.now_ms()
        owner, permit = tried.owner, tried.permit
        tried.record.priority = permit.target_priority
        cost = owner.plans[permit.permit].cost
        summary = self._summaries[owner.name]
        tried.edge.record_sent(tried.prompt.root, summary, cost.prefill_ms, now_ms)
        self._tries[tried.record.call.name] = tried
        steps = plans.decode(permit.plan)
        if steps.source:
            self._bring(tried, steps)
        elif steps.after:
            owner.after(steps.after, steps.after_limit_ms, lambda: self._send(tried))
        else:
            self._send(tried)

    def _bring(self, tried: _Try, steps: plans.Steps) -> None:
        """Import the pieces of a plan, and send when they are there or late."""
        ended = False

        def end(done: bool) -> None:
            nonlocal ended
            if not ended:
                ended = True
                now_ms = self.site.timers.now_ms()
                run = tried.permit.permit
                tried.owner.placement.record_transfer_end(run, done, now_ms)
                self._send(tried)

        keys = tried.prompt.keys[steps.start : steps.end]
        target = tried.permit.target
        moves.pull(
            self.site,
            steps.source,
            target,
            keys,
            lambda got: end(len(got) >= len(keys)),
        )
        self.site.timers.after(steps.limit_ms, lambda: end(False))

    def _send(self, tried: _Try) -> None:
        permit, now_ms = tried.permit, self.site.timers.now_ms()
        checked = permits.check(permit, tried.asked_ms, now_ms, permit.boot)
        if isinstance(checked, result.Failure):
            del self._tries[tried.record.call.name]
            tried.owner.release(permit, permits.Outcome.UNUSED)
            self.offer(tried.record)
            return
        self.site.send(self, tried.record, permit.target, permit.boot)

    def first_token(self, record: site_module.Record, target: str) -> None:
        """Tell the owner, whose estimates learn from it."""
        tried = self._tries[record.call.name]
        tried.owner.first_token(tried.permit.permit)

    def ended(self, record: site_module.Record, target: str) -> None:
        """Hand the permit back; a call that failed without a token is tried again."""
        tried = self._tries.pop(record.call.name)
        outcome = OUTCOMES[record.outcome]
        answered = outcome is not permits.Outcome.CONNECTION_LOST
        boot = self.site.engines[target].boot_id if answered else ""
        tried.owner.release(tried.permit, outcome, boot)
        if not answered and record.first_ms is None:
            self._again(record)

    def rejected(self, record: site_module.Record, target: str, kind: str) -> None:
        """Hand the permit back and try again: the target has not run the call."""
        tried = self._tries.pop(record.call.name)
        boot = self.site.engines[target].boot_id
        tried.owner.release(tried.permit, permits.Outcome.REJECTED, boot)
        record.outcome = kind
        self._again(record)

    def _again(self, record: site_module.Record) -> None:
        if record.tries < MAX_TRIES:
            record.outcome, record.ended_ms = "", None
            self.offer(record)
