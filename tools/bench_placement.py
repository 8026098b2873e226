"""Processor time of one placement decision at the target size.

The directory holds one node's share of the prompts: a pool of 12 engines and two
stores, with 530,000 prompts over 1,000 pools. A decision is the choice with its
accounting: the plan, its dispatch, its first token and its end.

Usage:
  bench_placement [--engines=<n>] [--prompts=<n>] [--pieces=<n>] [--rounds=<n>]

Options:
  --engines=<n>  Candidates of each decision [default: 12].
  --prompts=<n>  Prompts whose pieces the directory holds [default: 530].
  --pieces=<n>   Pieces of 1,000 tokens in each prompt [default: 40].
  --rounds=<n>   Decisions [default: 20000].
"""

import random
import sys
import time
import typing

import docopt

from cornelreach.prompts import directory, links, pieces, placement

STORES = ("store-1", "store-2")
SECOND_HOLDER_SHARE = 0.3
BYTES_PER_TOKEN = 1_000
PREFILL_TOKENS_PER_S = 8_000
LIMIT_MS = 0.3
IN_FLIGHT = 48
ROUND_MS = 69.0


class Sizes(typing.NamedTuple):
    """What the bench builds."""

    engines: int
    prompts: int
    pieces: int
    rounds: int


def fill(
    sizes: Sizes, chooser: random.Random
) -> tuple[placement.Placement, list[pieces.PromptPieces]]:
    """Return a placement whose directory holds all prompts, and the prompts."""
    engines = [f"engine-{number}" for number in range(sizes.engines)]
    prompts = [_prompt(sizes.pieces, chooser) for _ in range(sizes.prompts)]
    content: dict[str, list[str]] = {name: [] for name in [*engines, *STORES]}
    for prompt in prompts:
        copies = 2 if chooser.random() < SECOND_HOLDER_SHARE else 1
        for name in chooser.sample(engines, copies) + [chooser.choice(STORES)]:
            content[name].extend(prompt.keys)
    known = directory.Directory()
    for name, keys in content.items():
        known.apply_listing(name, "boot", 0, keys)
    return placement.Placement(known, links.Links()), prompts


def _prompt(count: int, chooser: random.Random) -> pieces.PromptPieces:
    keys = tuple(f"{chooser.getrandbits(128):032x}" for _ in range(count))
    return pieces.PromptPieces(keys, (pieces.PIECE_TOKENS,) * count, keys[0])


def measure(sizes: Sizes) -> tuple[list[float], int]:
    """Return the processor time of each decision in ms, and the directory's pieces."""
    chooser = random.Random(1)
    placer, prompts = fill(sizes, chooser)
    engines = [f"engine-{number}" for number in range(sizes.engines)]
    spent_ms = []
    for number in range(sizes.rounds):
        prompt = chooser.choice(prompts)
        candidates = [
            placement.Candidate(name, PREFILL_TOKENS_PER_S, chooser.randrange(20_000))
            for name in engines
        ]
        start_ns = time.process_time_ns()
        now_ms = number * ROUND_MS
        plan = placer.choose(prompt, candidates, BYTES_PER_TOKEN, now_ms).unwrap()
        placer.record_dispatch(f"run-{number}", prompt, plan, now_ms)
        placer.record_transfer_end(f"run-{number - 1}", True, now_ms)
        placer.record_first_token(f"run-{number - IN_FLIGHT}", now_ms)
        placer.record_run_end(f"run-{number - IN_FLIGHT}", now_ms)
        spent_ms.append((time.process_time_ns() - start_ns) / 1e6)
    return sorted(spent_ms), len(placer.directory)


def main() -> int:
    """Print the figures; returns 1 where the mean is above the limit."""
    given = docopt.docopt(__doc__)
    sizes = Sizes(*(int(given[f"--{name}"]) for name in Sizes._fields))
    spent_ms, held = measure(sizes)
    mean_ms = sum(spent_ms) / len(spent_ms)
    print(
        f"{sizes.engines} candidates, {sizes.prompts} prompts of {sizes.pieces} pieces,"
        f" {held} pieces in the directory, {sizes.rounds} decisions"
    )
    for name, share in (("p50", 0.5), ("p95", 0.95), ("p99", 0.99)):
        print(f"{name} {spent_ms[int(share * (len(spent_ms) - 1))]:.3f} ms")
    print(f"mean {mean_ms:.3f} ms of one core (limit {LIMIT_MS} ms)")
    return 0 if mean_ms <= LIMIT_MS else 1


if __name__ == "__main__":
    sys.exit(main())
