"""Measures the cost of gossip through hubs for fleets of several sizes.

Usage:
  measure_hubs [--seconds S]
  measure_hubs --help

Options:
  --seconds S  Measured period in virtual seconds [default: 4].
  --help       Print this text.

Every instance sends two prompts a second, and a fleet has 0.5 engines per instance. The
rates count payload bytes and datagrams in virtual time. CPU time is that of this
process for all instances, including the simulated network.
"""

import random
import sys
import time

import docopt
import loguru

from tools import hub_fleet

SIZES = ((30, 3), (63, 3), (100, 3), (300, 3))
PROMPTS_PER_S = 2.0
PROMPT_MS = 400.0


def start_load(fleet, name, source, targets):
    """Let an instance send prompts until the end of the run."""
    instance = fleet.parts[name]

    def send_prompt():
        state = instance.registry.state(f"t{source.randrange(targets)}")
        state.in_flight += 1
        state.prefill_tokens += 2_000
        instance.announce()
        fleet.call_after(PROMPT_MS, lambda: end_prompt(state))
        fleet.call_after(source.expovariate(PROMPTS_PER_S / 1_000), send_prompt)

    def end_prompt(state):
        state.in_flight -= 1
        state.prefill_tokens -= 2_000

    fleet.call_after(source.uniform(0, 500), send_prompt)


def measure(size, zones, seconds):
    """Return the table row for one fleet size."""
    names = tuple(f"z{number}" for number in range(zones))
    targets = size // 2
    fleet = hub_fleet.Fleet(size, targets, zones=names)
    source = random.Random(1)
    for name in fleet.parts:
        start_load(fleet, name, source, targets)
    fleet.run(2_000)
    ports = [one._transport for one in fleet.parts.values()]
    before = [(one.sent_count, one.sent_bytes, one.received_bytes) for one in ports]
    start_s = time.process_time()
    fleet.run(seconds * 1_000)
    spent_s = time.process_time() - start_s
    rows = sorted(
        (one.sent_count - old[0], one.sent_bytes - old[1], one.received_bytes - old[2])
        for one, old in zip(ports, before, strict=True)
    )
    median, highest = rows[len(rows) // 2], rows[-1]
    received = sorted(row[2] for row in rows)[len(rows) // 2]
    cells = (
        f"{size}, {zones}",
        f"{median[0] / seconds:.0f}",
        f"{median[1] / seconds / 1_000:.1f}",
        f"{received / seconds / 1_000:.1f}",
        f"{highest[0] / seconds:.0f}",
        f"{highest[1] / seconds / 1_000:.0f}",
        f"{spent_s / seconds / size * 1_000:.2f}",
    )
    return f"| {' | '.join(cells)} |"


def main(argv=None):
    """Print the table."""
    arguments = docopt.docopt(__doc__, argv)
    loguru.logger.remove()
    print(
        "| instances, data centres | sent a second | KB/s sent | KB/s received",
        end="",
    )
    print(" | hub: sent a second | KB/s sent | CPU ms per second and instance |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for size, zones in SIZES:
        print(measure(size, zones, float(arguments["--seconds"])), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
