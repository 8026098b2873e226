"""What telling through hubs costs an instance, over fleets of several sizes.

Usage:
  measure_hubs [--seconds S]
  measure_hubs --help

Options:
  --seconds S  Virtual seconds that are measured [default: 4].
  --help       Print this text.

Every instance sends two prompts a second; a fleet has 0.5 engines for each instance.
Rates are of payload and of datagrams in virtual time; processor time is this machine's,
of all instances together, the model of the network included.
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


def load(fleet, name, source, targets):
    """Let an instance send prompts until the end."""
    part = fleet.parts[name]

    def send():
        state = part.registry.state(f"t{source.randrange(targets)}")
        state.in_flight += 1
        state.prefill_tokens += 2_000
        part.announce()
        fleet.at(PROMPT_MS, lambda: end(state))
        fleet.at(source.expovariate(PROMPTS_PER_S / 1_000), send)

    def end(state):
        state.in_flight -= 1
        state.prefill_tokens -= 2_000

    fleet.at(source.uniform(0, 500), send)


def measure(size, zones, seconds):
    """Return the row of one size."""
    names = tuple(f"z{number}" for number in range(zones))
    targets = size // 2
    fleet = hub_fleet.Fleet(size, targets, zones=names)
    source = random.Random(1)
    for name in fleet.parts:
        load(fleet, name, source, targets)
    fleet.run(2_000)
    ports = [one._transport for one in fleet.parts.values()]
    before = [(one.count, one.sent_bytes, one.received_bytes) for one in ports]
    start_s = time.process_time()
    fleet.run(seconds * 1_000)
    spent_s = time.process_time() - start_s
    rows = sorted(
        (one.count - old[0], one.sent_bytes - old[1], one.received_bytes - old[2])
        for one, old in zip(ports, before, strict=True)
    )
    usual, most = rows[len(rows) // 2], rows[-1]
    received = sorted(row[2] for row in rows)[len(rows) // 2]
    cells = (
        f"{size}, {zones}",
        f"{usual[0] / seconds:.0f}",
        f"{usual[1] / seconds / 1_000:.1f}",
        f"{received / seconds / 1_000:.1f}",
        f"{most[0] / seconds:.0f}",
        f"{most[1] / seconds / 1_000:.0f}",
        f"{spent_s / seconds / size * 1_000:.2f}",
    )
    return f"| {' | '.join(cells)} |"


def main(argv=None):
    """Print the table."""
    arguments = docopt.docopt(__doc__, argv)
    loguru.logger.remove()
    print(
        "| instances, data centres | sent a second | KB/s sent | KB/s received", end=""
    )
    print(" | hub: sent a second | KB/s sent | ms of processor a second and instance |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for size, zones in SIZES:
        print(measure(size, zones, float(arguments["--seconds"])), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
