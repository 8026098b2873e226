"""A stand-in for an ordinary service, such as booking or ordering, over HTTP.

Usage:
  service --name=NAME [--port=PORT]

Options:
  --name=NAME   Name of the service.
  --port=PORT   Port on loopback; 0 takes a free one. [default: 0]

Every POST received is executed and recorded, also a repeated one: the service does not
deduplicate.
"""

import asyncio
import os
import typing

import docopt

from cornelreach.http import messages
from standins import httpcommon


class Faults(typing.NamedTuple):
    """Counts of the next calls that fail, by kind; ``delay_ms`` applies to all."""

    delay_ms: float = 0.0
    lose_answers: int = 0
    fail_before: int = 0


class Service:
    """Executes and records calls."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.boot_id = f"{name}-{os.urandom(4).hex()}"
        self.executions: list[dict[str, typing.Any]] = []
        self.faults = Faults()
        self.routes = httpcommon.Routes(
            lambda: ((b"x-boot-id", self.boot_id.encode()),)
        )
        self.running = 0
        self.routes.add("GET", "/v1/state", self.state)
        self.routes.add("GET", "/executions", self.list_executions)
        self.routes.add("POST", "/control/faults", self.set_faults)
        self.routes.add("POST", "(/.*)", self.execute)

    async def list_executions(self, request: messages.Request) -> messages.Response:
        """Return all executions in order."""
        return messages.json_response(200, {"executions": self.executions})

    async def state(self, request: messages.Request) -> messages.Response:
        """Return the load report."""
        value = {"boot_id": self.boot_id, "cold": False, "running": self.running}
        return messages.json_response(200, value)

    async def set_faults(self, request: messages.Request) -> messages.Response:
        """Set ``delay_ms``, ``lose_answers`` and ``fail_before``."""
        body = httpcommon.body(request)
        changes = {name: body[name] for name in Faults._fields if name in body}
        self.faults = self.faults._replace(**changes)
        return messages.json_response(200, self.faults._asdict())

    async def execute(self, request: messages.Request, path: str) -> messages.Response:
        """Execute one call, unless ``fail_before`` is set."""
        boot = request.header("if-match")
        if boot is not None and boot != self.boot_id:
            return httpcommon.failure(412, "boot")
        if self.faults.fail_before:
            left = self.faults.fail_before - 1
            self.faults = self.faults._replace(fail_before=left)
            return httpcommon.failure(503, "failed", "failed before executing")
        number = len(self.executions) + 1
        self.executions.append(
            {
                "number": number,
                "path": path,
                "key": request.header("idempotency-key"),
                "body": request.body.decode("utf-8", "replace"),
            }
        )
        lose_answer = self.faults.lose_answers > 0
        if lose_answer:
            left = self.faults.lose_answers - 1
            self.faults = self.faults._replace(lose_answers=left)
        await asyncio.sleep(self.faults.delay_ms / 1_000)
        if lose_answer:
            return messages.Response(200, stream=_lost_response())
        value = {"service": self.name, "execution": number, "path": path}
        return messages.json_response(201, value)


async def _lost_response() -> typing.AsyncIterator[bytes]:
    raise ConnectionResetError("the answer is lost")
    yield b""


async def _run(flags: dict[str, typing.Any]) -> None:
    service = Service(flags["--name"])
    await httpcommon.serve(int(flags["--port"]), service.routes.handle, service.name)


def main() -> None:
    """Run one service until a signal."""
    asyncio.run(_run(docopt.docopt(__doc__)))


if __name__ == "__main__":
    main()
