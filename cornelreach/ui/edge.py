"""Serve callers on the platform.

Usage:
  edge [--log-level LEVEL]
  edge --check
  edge --help

Options:
  --log-level LEVEL  Minimum log level [default: INFO].
  --check            Validate the settings file and exit.
  --help             Show this text.

The environment variable CORNELREACH_CONFIG holds the path of the settings file.
"""

import asyncio
import gc
import os
import signal
import sys

import docopt

from cornelreach.gateway import edge as edge_module
from cornelreach.platform import site as site_module
from cornelreach.util import allocator, errors, log, logsink

EXIT_USAGE = 2
FLUSH_PERIOD_MS = 200
GC_ALLOCATIONS = 20_000


async def serve(site: site_module.Site, path: str, sink: logsink.LogSink) -> None:
    """Run the edge until SIGTERM or SIGINT; SIGHUP reloads the settings file."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    edge = edge_module.Edge(site, path)
    loop.add_signal_handler(signal.SIGHUP, edge.reload)
    edge.metrics.gauge("log_lines_dropped", lambda: sink.dropped)
    await edge.start()
    edge.clock.every(FLUSH_PERIOD_MS, sink.flush)
    await stop.wait()
    await edge.stop()
    sink.flush()


def main(argv: list[str] | None = None) -> int:
    """Run the edge; returns 2 if the settings are invalid."""
    arguments = docopt.docopt(__doc__, argv)
    path = os.environ.get(site_module.PATH_VARIABLE, "")
    try:
        site = site_module.load(path)
    except errors.UserError as error:
        print(f"edge: {error}", file=sys.stderr)
        return EXIT_USAGE
    if arguments["--check"]:
        print("edge: the settings file is valid")
        return 0
    sink = logsink.LogSink(sys.stdout.fileno())
    log.configure(arguments["--log-level"], "json", sink)
    allocator.return_large_blocks()
    gc.freeze()
    gc.set_threshold(GC_ALLOCATIONS, 20, 50)
    asyncio.run(serve(site, path, sink))
    return 0


if __name__ == "__main__":
    sys.exit(main())
