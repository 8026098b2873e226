"""Measures the CPU time of one placement decision at the intended fleet size.

The directory holds one node's share of the prompts: a pool of 12 engines and two
stores, with 530,000 prompts over 1,000 pools. A decision includes its accounting: the
plan, its dispatch, the first token and the end of the run.

Usage:
  bench_placement [--engines=<n>] [--prompts=<n>] [--pieces=<n>] [--rounds=<n>]

Options:
  --engines=<n>  Candidate engines of each decision [default: 12].
  --prompts=<n>  Prompts with pieces in the directory [default: 530].
  --pieces=<n>   Pieces of 1,000 tokens in each prompt [default: 40].
  --rounds=<n>   Number of decisions [default: 20000].
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
    """Sizes of the benchmark."""

    engines: int
    prompts: int
    pieces: int
    rounds: int


def fill(
    sizes: Sizes, rng: random.Random
) -> tuple[placement.Placement, list[pieces.PromptPieces]]:
    """Return a placement whose directory holds all prompts, and the prompts."""
    engines = [f"engine-{number}" for number in range(sizes.engines)]
    prompts = [_prompt(sizes.pieces, rng) for _ in range(sizes.prompts)]
    content: dict[str, list[str]] = {name: [] for name in [*engines, *STORES]}
    for prompt in prompts:
        copies = 2 if rng.random() < SECOND_HOLDER_SHARE else 1
        for name in rng.sample(engines, copies) + [rng.choice(STORES)]:
            content[name].extend(prompt.keys)
    piece_directory = directory.Directory()
    for name, keys in content.items():
        piece_directory.apply_listing(name, "boot", 0, keys)
    return placement.Placement(piece_directory, links.Links()), prompts


def _prompt(count: int, rng: random.Random) -> pieces.PromptPieces:
    keys = tuple(f"{rng.getrandbits(128):032x}" for _ in range(count))
    return pieces.PromptPieces(keys, (pieces.PIECE_TOKENS,) * count, keys[0])


def measure(sizes: Sizes) -> tuple[list[float], int]:
    """Return the sorted CPU times of all decisions in ms, and the number of pieces."""
    rng = random.Random(1)
    placer, prompts = fill(sizes, rng)
    engines = [f"engine-{number}" for number in range(sizes.engines)]
    times_ms = []
    for number in range(sizes.rounds):
        prompt = rng.choice(prompts)
        candidates = [
            placement.Candidate(name, PREFILL_TOKENS_PER_S, rng.randrange(20_000))
            for name in engines
        ]
        start_ns = time.process_time_ns()
        now_ms = number * ROUND_MS
        plan = placer.choose(prompt, candidates, BYTES_PER_TOKEN, now_ms).unwrap()
        placer.record_dispatch(f"run-{number}", prompt, plan, now_ms)
        placer.record_transfer_end(f"run-{number - 1}", True, now_ms)
        placer.record_first_token(f"run-{number - IN_FLIGHT}", now_ms)
        placer.record_run_end(f"run-{number - IN_FLIGHT}", now_ms)
        times_ms.append((time.process_time_ns() - start_ns) / 1e6)
    return sorted(times_ms), len(placer.directory)


def main() -> int:
    """Print the results; returns 1 if the mean is above the limit."""
    arguments = docopt.docopt(__doc__)
    sizes = Sizes(*(int(arguments[f"--{name}"]) for name in Sizes._fields))
    times_ms, piece_count = measure(sizes)
    mean_ms = sum(times_ms) / len(times_ms)
    print(
        f"{sizes.engines} candidates, {sizes.prompts} prompts of {sizes.pieces} pieces,"
        f" {piece_count} pieces in the directory, {sizes.rounds} decisions"
    )
    for name, share in (("p50", 0.5), ("p95", 0.95), ("p99", 0.99)):
        print(f"{name} {times_ms[int(share * (len(times_ms) - 1))]:.3f} ms")
    print(f"mean {mean_ms:.3f} ms of one core (limit {LIMIT_MS} ms)")
    return 0 if mean_ms <= LIMIT_MS else 1


if __name__ == "__main__":
    sys.exit(main())
