"""Stand-in for the platform's object API, as a process over HTTP.

Usage:
  platform [--host HOST] [--port PORT] [--load FILE]
  platform --help

Options:
  --host HOST  Address to listen on [default: 127.0.0.1].
  --port PORT  Port to listen on, 0 for a free one [default: 0].
  --load FILE  Seed the objects from a JSON file of key to value.
  --help       Print this text.

Prints one line ``listening <host>:<port>`` once it serves. ``POST /control/faults``
takes the fields of ``platformmodel.Faults``; ``POST /control/instances`` takes the
whole list of instances.
"""

import asyncio
import functools
import pathlib
import signal
import sys
import time
import typing

import docopt
import msgspec

from cornelreach.http import messages, server
from standins import platformmodel

MAX_WATCH_MS = 60_000
DEFAULT_PAGE_ITEMS = 500


def raw(value: bytes | None) -> msgspec.Raw | None:
    """Return stored bytes as a part of a JSON answer."""
    return None if value is None else msgspec.Raw(value)


def fields(held: platformmodel.Object | platformmodel.Change) -> dict[str, typing.Any]:
    """Return an object or change as the fields of a JSON answer."""
    return {"key": held.key, "version": held.version, "value": raw(held.value)}


def refusal(status: int, code: str, retry_after_ms: int) -> messages.Response:
    """Return an answer that asks the client to come back later."""
    seconds = str(-(-retry_after_ms // 1_000)).encode()
    body = {"error": code, "retry_after_ms": retry_after_ms}
    return messages.json_response(status, body, ((b"retry-after", seconds),))


@functools.singledispatch
def respond(answer: object) -> messages.Response:
    """Return the HTTP response for an answer of the model."""
    raise TypeError(f"no response is defined for {answer!r}")


@respond.register
def _(answer: platformmodel.Object) -> messages.Response:
    return messages.json_response(200, fields(answer))


@respond.register
def _(answer: platformmodel.Page) -> messages.Response:
    items = [fields(item) for item in answer.items]
    body = {"revision": answer.revision, "items": items, "next": answer.next}
    return messages.json_response(200, body)


@respond.register
def _(answer: platformmodel.Changes) -> messages.Response:
    changes = [fields(change) for change in answer.changes]
    body = {"revision": answer.revision, "changes": changes}
    return messages.json_response(200, body)


@respond.register
def _(answer: platformmodel.Compacted) -> messages.Response:
    return messages.json_response(410, {"oldest": answer.oldest})


@respond.register
def _(answer: platformmodel.Written) -> messages.Response:
    return messages.json_response(200, {"version": answer.version})


@respond.register
def _(answer: platformmodel.Mismatch) -> messages.Response:
    return messages.json_response(412, {"version": answer.version})


@respond.register
def _(answer: platformmodel.Missing) -> messages.Response:
    return messages.json_response(404, {"error": "not_found", "key": answer.key})


@respond.register
def _(answer: platformmodel.TooLarge) -> messages.Response:
    return messages.json_response(413, {"limit_bytes": answer.limit_bytes})


@respond.register
def _(answer: platformmodel.Throttled) -> messages.Response:
    return refusal(429, "throttled", answer.retry_after_ms)


@respond.register
def _(answer: platformmodel.Away) -> messages.Response:
    return refusal(503, "outage", answer.retry_after_ms)


@respond.register
def _(answer: platformmodel.AnswerLost) -> messages.Response:
    raise server.PeerGone


@respond.register
def _(answer: list) -> messages.Response:
    listed = [instance._asdict() for instance in answer]
    return messages.json_response(200, {"instances": listed})


class Platform:
    """The model, and the watches that wait on it."""

    def __init__(self, model: platformmodel.Model | None = None) -> None:
        self.model = model or platformmodel.Model()
        self._changed = asyncio.Event()

    def now_ms(self) -> float:
        """Return the time that the model counts by."""
        return time.monotonic() * 1_000

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answer one request; half of a slow answer's delay precedes its effect."""
        if request.path.startswith("/control/"):
            return self._control(request)
        half_s = self.model.faults.slow_ms / 2_000
        if half_s:
            await asyncio.sleep(half_s)
        try:
            response = await self._route(request)
        except ValueError as error:
            return messages.json_response(400, {"error": str(error)})
        if half_s:
            await asyncio.sleep(half_s)
        return response

    async def _route(self, request: messages.Request) -> messages.Response:
        if request.path.startswith("/v1/objects/"):
            return self._object(request, request.path.removeprefix("/v1/objects/"))
        if request.path == "/v1/objects" and request.method == "GET":
            return self._list(request)
        if request.path == "/v1/watch" and request.method == "GET":
            return await self._watch(request)
        if request.path == "/v1/instances" and request.method == "GET":
            return respond(self.model.instances(self.now_ms()))
        return messages.json_response(404, {"error": "no such path"})

    def _object(self, request: messages.Request, key: str) -> messages.Response:
        if request.method == "GET":
            return respond(self.model.get(key, self.now_ms()))
        if request.method not in ("PUT", "DELETE"):
            return messages.json_response(405, {"error": "use GET, PUT or DELETE"})
        version = precondition(request)
        if version is None:
            return messages.json_response(428, {"error": "send If-Match"})
        if request.method == "PUT":
            msgspec.json.decode(request.body)
            answer = self.model.put(key, request.body, version, self.now_ms())
        else:
            answer = self.model.delete(key, version, self.now_ms())
        if isinstance(answer, platformmodel.Written | platformmodel.AnswerLost):
            self._wake()
        return respond(answer)

    def _list(self, request: messages.Request) -> messages.Response:
        query = request.query
        limit = int(query.get("limit", DEFAULT_PAGE_ITEMS))
        prefix, after = query.get("prefix", ""), query.get("after", "")
        return respond(self.model.page(prefix, after, limit, self.now_ms()))

    async def _watch(self, request: messages.Request) -> messages.Response:
        prefix = request.query.get("prefix", "")
        since = int(request.query.get("since", 0))
        wait_ms = min(float(request.query.get("wait_ms", 0)), MAX_WATCH_MS)
        due_ms = self.now_ms() + wait_ms
        answer = self.model.watch(prefix, since, self.now_ms())
        while isinstance(answer, platformmodel.Changes) and not answer.changes:
            left_ms = due_ms - self.now_ms()
            if left_ms <= 0:
                break
            await self._change_within(left_ms)
            answer = self.model.changes(prefix, since)
        return respond(answer)

    async def _change_within(self, wait_ms: float) -> None:
        try:
            async with asyncio.timeout(wait_ms / 1_000):
                await self._changed.wait()
        except TimeoutError:
            pass

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _control(self, request: messages.Request) -> messages.Response:
        try:
            if request.path == "/control/faults":
                changed = msgspec.json.decode(request.body, type=dict[str, float])
                self.model.set_faults(changed, self.now_ms())
            elif request.path == "/control/instances":
                kind = list[platformmodel.Instance]
                rows = msgspec.json.decode(request.body, type=list[dict[str, str]])
                listed = msgspec.convert([tuple_of(row) for row in rows], kind)
                self.model.set_instances(listed, self.now_ms())
            else:
                return messages.json_response(404, {"error": "no such path"})
        except (ValueError, TypeError) as error:
            return messages.json_response(400, {"error": str(error)})
        return messages.json_response(200, {})


def tuple_of(row: dict[str, str]) -> platformmodel.Instance:
    """Return an instance from the fields of a JSON object."""
    return platformmodel.Instance(**row)


def precondition(request: messages.Request) -> int | None:
    """Return the version that a write requires, 0 for absence, None if unstated."""
    if request.header("if-none-match") == "*":
        return platformmodel.ABSENT
    text = request.header("if-match")
    return None if text is None else int(text.strip('"'))


def load(model: platformmodel.Model, path: str) -> None:
    """Seed a model from a JSON file of key to value."""
    content = msgspec.json.decode(pathlib.Path(path).read_bytes(), type=dict)
    for key, value in content.items():
        model.seed(key, msgspec.json.encode(value))


async def serve(host: str, port: int, model: platformmodel.Model) -> None:
    """Serve a model until SIGTERM or SIGINT."""
    platform = Platform(model)
    running = await server.start(host, port, platform.handle)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    print(f"listening {host}:{running.port}", flush=True)
    await stop.wait()
    running.stop_listening()
    running.abort()


def main(argv: list[str] | None = None) -> int:
    """Run the stand-in with command-line arguments."""
    arguments = docopt.docopt(__doc__, argv)
    model = platformmodel.Model()
    if arguments["--load"]:
        load(model, arguments["--load"])
    asyncio.run(serve(arguments["--host"], int(arguments["--port"]), model))
    return 0


if __name__ == "__main__":
    sys.exit(main())
