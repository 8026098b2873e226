"""Measures the latency that one instance adds to streams, and its CPU and memory use.

Streams run on warm stand-in engines, first directly and then through one instance, with
calls of the same form. The added time to first token is the difference of the medians;
the CPU time of the instance is read from the kernel.

Usage:
  bench_edge [--streams=<n>] [--tokens=<n>] [--open=<n>]

Options:
  --streams=<n>  Number of concurrent streams [default: 200].
  --tokens=<n>   Tokens in each stream [default: 100].
  --open=<n>     Streams kept open while memory is measured [default: 1000].
"""

import asyncio
import itertools
import os
import pathlib
import statistics
import sys
import tempfile
import time
import typing

import docopt
import msgspec

from cornelreach.calls import chat
from cornelreach.http import client
from cornelreach.prompts import pieces
from cornelreach.settings import items
from standins import site as site_module

ENGINES = 2
MAX_SEQUENCES = 1_024
BATCH_STREAMS = 10
BATCH_PAUSE_S = 0.1
PREFILL_TOKENS_PER_S = 1_000_000
STARTUP_S = 12.0
CALL_NUMBERS = itertools.count(1)


class Stream(typing.NamedTuple):
    """Times of one stream, measured by its caller."""

    first_ms: float
    gaps_ms: list[float]


class Cost(typing.NamedTuple):
    """CPU time and resident memory of a process."""

    cpu_ms: float
    memory_mb: float


def process_cost(pid: int) -> Cost:
    """Return the resource use of a process as the kernel reports it."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    memory_mb = pages * os.sysconf("SC_PAGE_SIZE") / 1_048_576
    return Cost(ticks * 1_000 / os.sysconf("SC_CLK_TCK"), memory_mb)


class Bench(site_module.Site):
    """A site of one instance and warm engines."""

    def __init__(self, folder: pathlib.Path) -> None:
        super().__init__(folder)
        self.instances = self.instances[:1]

    def _fixed_items(self) -> typing.Iterator[tuple[str, dict[str, typing.Any]]]:
        yield from super()._fixed_items()
        model = items.Model("drafter", prefill_tokens_per_s=PREFILL_TOKENS_PER_S)
        yield items.key_of("model", model.name), items.encode(model)

    def _targets(self) -> typing.Iterator[typing.Awaitable[items.Target]]:
        for number in range(ENGINES):
            yield self._warm_engine(f"drafter-{number}")

    async def _warm_engine(self, name: str) -> items.Target:
        flags = (f"--name={name}", "--model=drafter", "--warm", "--cold-ms=1")
        flags += (
            f"--max-sequences={MAX_SEQUENCES}",
            f"--prefill-rate={PREFILL_TOKENS_PER_S}",
        )
        address = await self.spawn(name, "standins.engine", *flags)
        data_centre = self.instances[0].data_centre
        return items.Target(
            name,
            "engine",
            data_centre,
            address,
            "drafter",
            max_sequences=MAX_SEQUENCES,
            max_tokens=10_000_000,
            cold_ms=1,
        )

    def engines(self) -> list[str]:
        """Return the addresses of the engines."""
        names = [one for one in self.processes if one.name.startswith("drafter")]
        return [one.address for one in names]


def call_body(number: int, tokens: int) -> bytes:
    """Return the body of a caller's call, with a prompt of its own for each number."""
    message = {"role": "user", "content": f"notice {number} " * 40}
    fields = {"model": "drafter", "messages": [message], "stream": True}
    return msgspec.json.encode({**fields, "max_tokens": tokens})


def engine_body(number: int, tokens: int) -> bytes:
    """Return the body that an instance sends to an engine for the same call."""
    call = chat.parse("tirnica", call_body(number, tokens), None, None).unwrap()
    messages = [message._asdict() for message in call.messages]
    prompt = pieces.split("tirnica", "drafter", "1", messages)
    described = [
        {"key": key, "tokens": size}
        for key, size in zip(prompt.keys, prompt.tokens, strict=True)
    ]
    return chat.engine_body(call, f"run-{number}", "1", described, tokens, 0)


async def run_stream(http: client.Client, address: str, body: bytes) -> Stream:
    """Run one stream and measure the times of its events."""
    headers = ((b"authorization", b"Bearer " + site_module.ACCOUNT_KEY.encode()),)
    started = time.perf_counter()
    target = client.parse_address(address)
    answer = await http.send(target, "POST", "/v1/chat/completions", body, headers)
    times = [time.perf_counter() async for _ in answer.parts()]
    if answer.status != 200:
        raise ValueError(f"{address} answered {answer.status}")
    gaps = [(b - a) * 1_000 for a, b in zip(times, times[1:], strict=False)]
    return Stream((times[0] - started) * 1_000, gaps)


async def run_streams(
    http: client.Client,
    addresses: list[str],
    streams: int,
    tokens: int,
    body_of: typing.Callable[[int, int], bytes] = call_body,
) -> list[Stream]:
    """Run streams that start in batches, so that they do not queue behind a burst."""
    tasks = []
    for number in range(streams):
        if number % BATCH_STREAMS == 0:
            await asyncio.sleep(BATCH_PAUSE_S)
        address = addresses[number % len(addresses)]
        work = run_stream(http, address, body_of(next(CALL_NUMBERS), tokens))
        tasks.append(asyncio.ensure_future(work))
    return await asyncio.gather(*tasks)


def print_medians(name: str, streams: list[Stream]) -> tuple[float, float]:
    """Print the median times of streams and return them."""
    first_ms = statistics.median(one.first_ms for one in streams)
    gap_ms = statistics.median(gap for one in streams for gap in one.gaps_ms)
    print(f"{name}: first token {first_ms:.1f} ms, between tokens {gap_ms:.2f} ms")
    return first_ms, gap_ms


async def measure(bench: Bench, streams: int, tokens: int, open_count: int) -> None:
    """Run streams directly and through the instance, and print the differences."""
    member = bench.instances[0]
    process = next(one for one in bench.processes if one.name == member.name)
    pid = process.handle.pid
    await asyncio.sleep(STARTUP_S)
    idle = process_cost(pid)
    print(f"idle: {idle.memory_mb:.0f} MB")
    await run_streams(bench.http, [member.callers], 20, 5)
    straight = await run_streams(
        bench.http, bench.engines(), streams, tokens, engine_body
    )
    direct = print_medians("direct", straight)
    before = process_cost(pid)
    through = print_medians(
        "through", await run_streams(bench.http, [member.callers], streams, tokens)
    )
    used_ms = process_cost(pid).cpu_ms - before.cpu_ms
    print(f"added: first token {through[0] - direct[0]:.1f} ms")
    print(f"added: between tokens {through[1] - direct[1]:.2f} ms")
    short = process_cost(pid).cpu_ms
    await run_streams(bench.http, [member.callers], streams, 1)
    request_ms = (process_cost(pid).cpu_ms - short) / streams
    token_ms = (used_ms - request_ms * streams) / (streams * (tokens - 1))
    print(f"instance: {request_ms:.2f} ms CPU a request, {token_ms:.3f} ms a token")
    waiting = asyncio.ensure_future(
        run_streams(bench.http, [member.callers], open_count, 100)
    )
    await asyncio.sleep(open_count / BATCH_STREAMS * BATCH_PAUSE_S + 2)
    print(f"{open_count} streams: {process_cost(pid).memory_mb:.0f} MB")
    await waiting


async def main(flags: dict[str, str]) -> None:
    """Start the processes, measure, and stop them."""
    with tempfile.TemporaryDirectory(prefix="cornelreach-") as folder:
        bench = Bench(pathlib.Path(folder))
        try:
            await bench.start()
            counts = (int(flags[f"--{one}"]) for one in ("streams", "tokens", "open"))
            await measure(bench, *counts)
        finally:
            await bench.stop()


if __name__ == "__main__":
    sys.exit(asyncio.run(main(docopt.docopt(__doc__))))
