"""Measures the claim log: added latency, writes, CPU time and memory.

Usage:
  claimrates [--seconds N] [--write-ms MS]
  claimrates --help

Options:
  --seconds N    Duration of each rate [default: 4].
  --write-ms MS  Response time of the platform [default: 3].
  --help         Print this text.

One process acts as the owner of every shard; the platform is the in-memory model with a
fixed response time. Prints one JSON line for each rate.
"""

import asyncio
import sys
import time
import tracemalloc

import docopt
import msgspec
from returns import result

from cornelreach.calls import claims, ledger
from cornelreach.platform import results
from cornelreach.util import hashing, timers
from standins import platformmodel

RATES_PER_S = (50, 400, 1_600)
RETENTION_MS = 86_400_000.0
MEMORY_CLAIMS = 20_000


class DelayedObjectStore:
    """The platform model behind a fixed response time."""

    def __init__(self, write_ms):
        self.answer_s = write_ms / 1_000
        self.model = platformmodel.Model(platformmodel.Faults(writes_per_s=500))
        self.written_bytes = 0

    def _now_ms(self):
        return time.monotonic() * 1_000

    async def get(self, key):
        """Return one object."""
        await asyncio.sleep(self.answer_s)
        found = self.model.get(key, self._now_ms())
        if isinstance(found, platformmodel.Object):
            value = msgspec.json.decode(found.value)
            return result.Success(results.Record(key, found.version, value))
        if isinstance(found, platformmodel.Missing):
            return result.Failure(results.NotFound(key))
        return result.Failure(results.Unavailable("throttled"))

    async def put(self, key, value, if_version=None, if_absent=False):
        """Write one object."""
        body = msgspec.json.encode(value)
        await asyncio.sleep(self.answer_s)
        expected = 0 if if_absent else if_version
        written = self.model.put(key, body, expected, self._now_ms())
        if isinstance(written, platformmodel.Written):
            self.written_bytes += len(body)
            return result.Success(written.version)
        if isinstance(written, platformmodel.Mismatch):
            return result.Failure(results.Conflict(key, written.version))
        return result.Failure(results.Unavailable("throttled"))

    async def delete(self, key, if_version):
        """Delete one object."""
        await asyncio.sleep(self.answer_s)
        self.model.delete(key, if_version, self._now_ms())
        return result.Success(0)


def entry(number, kind=ledger.EntryKind.CLAIM, answer=None):
    """Return the log entry of one call."""
    key = hashing.digest(str(number).encode())
    attempt = ledger.AttemptId("lj-north-1", "0123456789abcdef", number)
    now_ms = int(time.time() * 1_000)
    digest = b"" if answer else hashing.digest(b"body")
    return ledger.LogEntry(kind, key, attempt, now_ms, digest, answer)


async def claim_and_record(log, number, waits_ms):
    """Claim one call and record its outcome."""
    started = time.perf_counter()
    decision = await log.submit(entry(number), 5_000)
    if isinstance(decision, ledger.Held):
        waits_ms.append((time.perf_counter() - started) * 1_000)
        answer = ledger.Answer(200, "application/json", b"x" * 200)
        await log.submit(entry(number, ledger.EntryKind.OUTCOME, answer), 5_000)


async def measure(rate_per_s, seconds, write_ms):
    """Return the measurements at one rate."""
    objects = DelayedObjectStore(write_ms)
    clock = timers.LoopTimers()
    log = claims.ClaimLog("one", objects, None, dict, clock, lambda: RETENTION_MS)
    waits_ms = []
    started, started_cpu = time.perf_counter(), time.process_time()
    tasks = []
    for number in range(int(rate_per_s * seconds)):
        due_s = started + number / rate_per_s - time.perf_counter()
        if due_s > 0:
            await asyncio.sleep(due_s)
        tasks.append(asyncio.ensure_future(claim_and_record(log, number, waits_ms)))
    await asyncio.gather(*tasks)
    elapsed_s = time.perf_counter() - started
    cpu_s = time.process_time() - started_cpu
    await log.close()
    waits_ms.sort()
    return {
        "claims_per_s": rate_per_s,
        "held": len(waits_ms),
        "of": len(tasks),
        "added_ms_p50": round(waits_ms[len(waits_ms) // 2], 1),
        "added_ms_p99": round(waits_ms[int(len(waits_ms) * 0.99)], 1),
        "platform_writes_per_s": round(objects.model.writes / elapsed_s, 1),
        "written_bytes_per_claim": round(objects.written_bytes / len(waits_ms)),
        "cpu_us_per_claim": round(cpu_s * 1e6 / len(waits_ms)),
    }


def memory():
    """Return the memory in bytes that one recorded claim takes."""
    tracemalloc.start()
    claim_ledger = ledger.Ledger()
    before, _ = tracemalloc.get_traced_memory()
    answer = ledger.Answer(200, "application/json", b"x" * 200)
    for number in range(MEMORY_CLAIMS):
        pair = [entry(number), entry(number, ledger.EntryKind.OUTCOME, answer)]
        decoded = msgspec.json.decode(msgspec.json.encode(pair))
        claim_ledger.apply_entries(
            claim_ledger.applied, msgspec.convert(decoded, list[ledger.LogEntry])
        )
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {"memory_bytes_per_claim": round((after - before) / MEMORY_CLAIMS)}


def main(argv=None):
    """Print the measurements at each rate."""
    arguments = docopt.docopt(__doc__, argv)
    seconds, write_ms = float(arguments["--seconds"]), float(arguments["--write-ms"])
    for rate_per_s in RATES_PER_S:
        figures = asyncio.run(measure(rate_per_s, seconds, write_ms))
        print(msgspec.json.encode(figures).decode(), flush=True)
    print(msgspec.json.encode(memory()).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
