"""Measures how much one account's bursts delay another account's first tokens.

Usage:
  measure_fairness [--seeds=<n>] [--seconds=<n>] [--json=<path>]

Options:
  --seeds=<n>    Number of seeds, starting at 0 [default: 3].
  --seconds=<n>  Length of each run in virtual seconds [default: 120].
  --json=<path>  Also write the rows to a JSON file.

Four simulated engines prefill prompts at 8,000 tokens a second, in chunks of 1,000
tokens by priority, and decode in batches of up to 16. Account ``small`` calls steadily.
Account ``large`` is quiet in one run; in the next, it bursts for 5 s of every 20 s.
``load`` is the load of both accounts during a burst, as a share of the engines' prefill
rate; an ``at once`` burst sends all its calls at its start. The calls of ``small`` are
the same in both runs. The policy is compared with a single first-come, first-served
queue.
"""

import heapq
import random
import sys
import typing

import docopt
import msgspec

from cornelreach.targets import admission, choice, fairness, permits, pool
from cornelreach.util import timers

ENGINES = 4
CHUNK_TOKENS = 1_000
PREFILL_TOKENS_PER_S = 8_000
STEP_MS = 20.0
STEP_MS_PER_SEQUENCE = 1.0
SMALL_SHARE = 0.2
BURST_EVERY_S = 20
BURST_S = 5
SCHEDULES = ((0.6, False), (0.9, False), (0.9, True), (2.0, False))
POLL_EVERY_MS = 20
WARM_UP_MS = 5_000
MEAN_PROMPT_TOKENS = 3_350
LIMITS = admission.Limits(prefill_tokens_per_s=PREFILL_TOKENS_PER_S)
UNLIMITED_QUOTA = fairness.Quota(1e12, 1e12, 100_000)


class Call(typing.NamedTuple):
    """A scheduled call."""

    name: str
    account: str
    at_ms: float
    prompt_tokens: int
    answer_tokens: int


class Row(typing.NamedTuple):
    """Results of account ``small`` for one policy and load."""

    policy: str
    load: float
    at_once: bool
    seed: int
    calls: int
    quiet_p95_ms: float
    burst_p95_ms: float
    moved: float
    refused: int


class Engine:
    """Simulates an engine that prefills chunks by priority and decodes in a batch."""

    def __init__(self, clock: timers.VirtualTimers) -> None:
        self.clock = clock
        self.is_prefilling = False
        self.decoding = 0
        self._queue: list[tuple[int, int, int, typing.Callable[[], None]]] = []
        self._count = 0

    def prefill(
        self, priority: int, tokens: int, done: typing.Callable[[], None]
    ) -> None:
        """Queue a prompt; ``done`` is called after its prefill."""
        self._count += 1
        heapq.heappush(self._queue, (priority, self._count, tokens, done))
        if not self.is_prefilling:
            self._next()

    def _next(self) -> None:
        self.is_prefilling = bool(self._queue)
        if not self.is_prefilling:
            return
        priority, count, tokens, done = heapq.heappop(self._queue)
        chunk = min(CHUNK_TOKENS, tokens)

        def finish_chunk() -> None:
            left = tokens - chunk
            if left:
                heapq.heappush(self._queue, (priority, count, left, done))
            else:
                done()
            self._next()

        self.clock.after(chunk / PREFILL_TOKENS_PER_S * 1_000, finish_chunk)

    def step_ms(self) -> float:
        """Return the duration of one decoding step."""
        return STEP_MS + STEP_MS_PER_SEQUENCE * self.decoding


class Bench:
    """Simulates one pool with a policy and a schedule of calls."""

    def __init__(self, fair: bool, calls: list[Call]) -> None:
        self.clock = timers.VirtualTimers()
        self.fair = fair
        self.calls = {call.name: call for call in calls}
        self.engines = {f"e{number}": Engine(self.clock) for number in range(ENGINES)}
        quota = fairness.default_quota if fair else _unlimited_quota
        limits = dict.fromkeys(self.engines, LIMITS)
        self.owner = pool.PoolOwner("p", limits, choice.least_load, quota)
        self.first_token_ms: dict[str, float] = {}
        self.refused: dict[str, int] = {}

    def run(self, seconds: int) -> "Bench":
        """Run the whole schedule."""
        for name in self.engines:
            warm = permits.Report(name, 0.0, "b", "b", False, 0, 0)
            self.owner.report(warm, 0.0)
        for call in self.calls.values():
            self.clock.after(call.at_ms, lambda one=call: self.request_permit(one))
        self.clock.every(POLL_EVERY_MS, self.advance)
        self.clock.advance(seconds * 1_000 + 60_000)
        return self

    def request_permit(self, call: Call) -> None:
        """Request a permit, and poll for it while the call is queued."""
        request = permits.PermitRequest(
            request=call.name,
            instance="n",
            instance_boot="nb",
            pool="p",
            account=call.account if self.fair else "all",
            prompt_tokens=call.prompt_tokens,
            answer_tokens=call.answer_tokens,
            deadline_in_ms=call.at_ms + 60_000 - self.clock.now_ms(),
        )
        answer = self.owner.request(request, self.clock.now_ms())
        reply = answer.value_or(None)
        if reply is None:
            self.count_refusal(call)
        elif isinstance(reply, permits.Permit):
            self.start(call, reply)
        else:
            self.clock.after(permits.POLL_MS, lambda: self.poll_permit(call))

    def poll_permit(self, call: Call) -> None:
        """Repeat the request of a call that is still queued."""
        if call.name in self.owner.queue:
            self.request_permit(call)

    def advance(self) -> None:
        """Apply the owner's decisions."""
        for decision in self.owner.advance(self.clock.now_ms()):
            permit = decision.answer.value_or(None)
            call = self.calls[decision.request]
            if permit is None:
                self.count_refusal(call)
            else:
                self.start(call, permit)

    def count_refusal(self, call: Call) -> None:
        """Count a refusal."""
        self.refused[call.account] = self.refused.get(call.account, 0) + 1

    def start(self, call: Call, permit: permits.Permit) -> None:
        """Send a call to its engine."""
        engine = self.engines[permit.target]

        def start_decoding() -> None:
            engine.decoding += 1
            step_ms = engine.step_ms()
            at_ms = self.clock.now_ms() + step_ms
            self.first_token_ms[call.name] = at_ms - call.at_ms
            self.clock.after(step_ms * call.answer_tokens, end)

        def end() -> None:
            engine.decoding -= 1
            done = permits.Release(
                permit.permit, permit.target, permits.Outcome.DONE, "b"
            )
            self.owner.release(done, self.clock.now_ms())
            self.advance()

        engine.prefill(permit.target_priority, call.prompt_tokens, start_decoding)

    def times_ms(self, account: str) -> list[float]:
        """Return the times to first token of an account."""
        return [
            time_ms
            for name, time_ms in self.first_token_ms.items()
            if self.calls[name].account == account
            and self.calls[name].at_ms >= WARM_UP_MS
        ]


def _unlimited_quota(account: str) -> fairness.Quota:
    return UNLIMITED_QUOTA


def arrivals(
    account: str, share: float, seconds: int, seed: int, bursts: bool, at_once: bool
) -> list[Call]:
    """Return Poisson arrivals with a load given as a share of the prefill rate."""
    period_ms = BURST_EVERY_S * 1_000
    rng = random.Random(f"{account}/{seed}")
    per_ms = share * ENGINES * PREFILL_TOKENS_PER_S / MEAN_PROMPT_TOKENS / 1_000
    calls = []
    at_ms = 0.0
    while (at_ms := at_ms + rng.expovariate(per_ms)) < seconds * 1_000:
        tokens = rng.choice((1_000, 2_000, 2_500, 4_000, 4_600, 6_000))
        answer = rng.choice((8, 16, 64))
        elapsed_ms = at_ms % period_ms
        if bursts and elapsed_ms >= BURST_S * 1_000:
            continue
        sent_ms = at_ms - elapsed_ms if at_once else at_ms
        calls.append(Call(f"{account}{len(calls)}", account, sent_ms, tokens, answer))
    return calls


def p95(values: list[float]) -> float:
    """Return the 95th percentile."""
    return sorted(values)[int(0.95 * (len(values) - 1))]


def measure(policy: str, load: float, at_once: bool, seed: int, seconds: int) -> Row:
    """Return the results of ``small`` without and with the bursts of ``large``."""
    fair = policy == "fair"
    small = arrivals("small", SMALL_SHARE, seconds, seed, False, False)
    large = arrivals("large", load - SMALL_SHARE, seconds, seed, True, at_once)
    quiet = Bench(fair, small).run(seconds)
    burst = Bench(fair, small + large).run(seconds)
    quiet_ms = p95(quiet.times_ms("small"))
    burst_ms = p95(burst.times_ms("small"))
    return Row(
        policy,
        load,
        at_once,
        seed,
        len(small),
        round(quiet_ms, 1),
        round(burst_ms, 1),
        round(burst_ms / quiet_ms - 1, 3),
        burst.refused.get("small", 0),
    )


def main() -> None:
    """Print the table, and write it as JSON if requested."""
    options = docopt.docopt(__doc__)
    seconds = int(options["--seconds"])
    rows = [
        measure(policy, load, at_once, seed, seconds)
        for load, at_once in SCHEDULES
        for policy in ("fair", "first-come")
        for seed in range(int(options["--seeds"]))
    ]
    print(
        "policy      load at once seed calls quiet p95 ms burst p95 ms  moved refused"
    )
    for row in rows:
        print(
            f"{row.policy:<11} {row.load:4.1f} {row.at_once!s:>7} "
            f"{row.seed:4d} {row.calls:5d} "
            f"{row.quiet_p95_ms:12.1f} {row.burst_p95_ms:12.1f} "
            f"{row.moved:+6.1%} {row.refused:7d}"
        )
    if options["--json"]:
        with open(options["--json"], "wb") as file:
            file.write(msgspec.json.encode([row._asdict() for row in rows]))


if __name__ == "__main__":
    sys.exit(main())
