"""Stand-in for the platform's object API, as an HTTP server process.

Usage:
  platform [--host HOST] [--port PORT] [--load FILE]
  platform --help

Options:
  --host HOST  Address to listen on [default: 127.0.0.1].
  --port PORT  Port to listen on, 0 for a free one [default: 0].
  --load FILE  Seed the objects from a JSON file of key to value.
  --help       Print this text.

Prints one line ``listening <host>:<port>`` once it serves. ``POST /control/faults``
accepts the fields of ``platformmodel.Faults``; ``POST /control/instances`` accepts the
complete list of instances.
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
from cornelreach.platform import headers
from standins import platformmodel

OBJECTS = "/api/objects/"
INSTANCES = "instances/"
STATUS = "/status"
MAX_WATCH_MS = 30_000
DEFAULT_PAGE_ITEMS = 500


def object_fields(
    stored: platformmodel.Object | platformmodel.Change,
) -> dict[str, typing.Any]:
    """Return an object or change as the fields of a JSON response."""
    name = stored.key.partition("/")[2]
    metadata = {
        "name": name,
        "revision": stored.version,
        "created": stored.created,
        "finalizers": [],
        "deleting": False,
    }
    spec = None if stored.value is None else msgspec.Raw(stored.value)
    status = None if stored.status is None else msgspec.Raw(stored.status)
    return {"metadata": metadata, "spec": spec, "status": status}


def retry_response(status: int, code: str, retry_after_ms: int) -> messages.Response:
    """Return an error response with a retry-after header."""
    seconds = str(-(-retry_after_ms // 1_000)).encode()
    body = {"error": code, "retry_after_ms": retry_after_ms}
    return messages.json_response(status, body, ((b"retry-after", seconds),))


@functools.singledispatch
def respond(answer: object) -> messages.Response:
    """Return the HTTP response for a result of the model."""
    raise TypeError(f"no response is defined for {answer!r}")


@respond.register
def _(answer: platformmodel.Object) -> messages.Response:
    return messages.json_response(200, object_fields(answer))


@respond.register
def _(answer: platformmodel.Page) -> messages.Response:
    items = [object_fields(item) for item in answer.items]
    more = answer.next is not None
    body = {"items": items, "more_pages": more, "store_revision": answer.revision}
    return messages.json_response(200, body)


@respond.register
def _(answer: platformmodel.Changes) -> messages.Response:
    changes = [
        {"object": object_fields(change), "deleted": change.value is None}
        for change in answer.changes
    ]
    body = {"events": changes, "store_revision": answer.revision}
    return messages.json_response(200, body)


@respond.register
def _(answer: platformmodel.Compacted) -> messages.Response:
    return messages.json_response(410, {"oldest": answer.oldest})


@respond.register
def _(answer: platformmodel.Missing) -> messages.Response:
    return messages.json_response(404, {"error": "not_found", "key": answer.key})


@respond.register
def _(answer: platformmodel.TooLarge) -> messages.Response:
    return messages.json_response(413, {"limit_bytes": answer.limit_bytes})


@respond.register
def _(answer: platformmodel.Throttled) -> messages.Response:
    return retry_response(429, "throttled", answer.retry_after_ms)


@respond.register
def _(answer: platformmodel.Outage) -> messages.Response:
    return retry_response(503, "outage", answer.retry_after_ms)


@respond.register
def _(answer: platformmodel.AnswerLost) -> messages.Response:
    raise server.ClientDisconnected


class Metadata(msgspec.Struct):
    """The metadata in a write; a creation has no revision."""

    name: str
    revision: int = platformmodel.ABSENT


class WriteBody(msgspec.Struct):
    """The body of a write."""

    metadata: Metadata
    spec: msgspec.Raw


class StatusBody(msgspec.Struct):
    """The body of the write of a status."""

    metadata: Metadata
    status: msgspec.Raw


class Platform:
    """Serves the model, and wakes the watches that wait for changes."""

    def __init__(self, model: platformmodel.Model | None = None) -> None:
        self.model = model or platformmodel.Model()
        self._changed = asyncio.Event()

    def now_ms(self) -> float:
        """Return the monotonic time that is passed to the model."""
        return time.monotonic() * 1_000

    async def handle(self, request: messages.Request) -> messages.Response:
        """Handle one request; half of the ``slow_ms`` delay comes before its effect."""
        if request.path.startswith("/control/"):
            return self._control(request)
        response = await self._handle_call(request)
        era = ((headers.STORE_ERA, str(self.model.era).encode()),)
        return response._replace(headers=response.headers + era)

    async def _handle_call(self, request: messages.Request) -> messages.Response:
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
        if not request.path.startswith(OBJECTS):
            return messages.json_response(404, {"error": "no such path"})
        key = request.path.removeprefix(OBJECTS)
        if "/" in key:
            return self._object(request, key)
        if request.method == "POST":
            return self._create(request, key)
        if "watch" in request.query:
            return await self._watch(request, f"{key}/")
        return self._list(request, f"{key}/")

    def _object(self, request: messages.Request, key: str) -> messages.Response:
        now_ms = self.now_ms()
        if request.method == "PUT" and key.endswith(STATUS):
            return self._put_status(request, key.removesuffix(STATUS))
        if request.method == "GET":
            return respond(self.model.get(key, now_ms))
        if request.method == "PUT":
            body = msgspec.json.decode(request.body, type=WriteBody)
            answer = self.model.put(key, body.spec, body.metadata.revision, now_ms)
        elif request.method == "DELETE":
            version = int(request.query["revision"])
            answer = self.model.delete(key, version, now_ms)
        else:
            return messages.json_response(405, {"error": "use GET, PUT or DELETE"})
        return self._write_response(key, answer, body.spec if request.body else None)

    def _put_status(self, request: messages.Request, key: str) -> messages.Response:
        found = msgspec.json.decode(request.body, type=StatusBody)
        version = found.metadata.revision
        answer = self.model.put_status(key, found.status, version, self.now_ms())
        if isinstance(answer, platformmodel.Written | platformmodel.AnswerLost):
            self.notify_watches()
        if isinstance(answer, platformmodel.Written):
            return messages.json_response(200, object_fields(self.model.stored(key)))
        if isinstance(answer, platformmodel.Mismatch):
            return self._mismatch(key, answer)
        return respond(answer)

    def _create(self, request: messages.Request, kind: str) -> messages.Response:
        body = msgspec.json.decode(request.body, type=WriteBody)
        key = f"{kind}/{body.metadata.name}"
        answer = self.model.put(key, body.spec, platformmodel.ABSENT, self.now_ms())
        return self._write_response(key, answer, body.spec)

    def _write_response(
        self, key: str, answer: object, value: bytes | None
    ) -> messages.Response:
        if isinstance(answer, platformmodel.Written | platformmodel.AnswerLost):
            self.notify_watches()
        if isinstance(answer, platformmodel.Written):
            written = platformmodel.Change(key, answer.version, value)
            return messages.json_response(200, object_fields(written))
        if isinstance(answer, platformmodel.Mismatch):
            return self._mismatch(key, answer)
        return respond(answer)

    def _mismatch(self, key: str, answer: platformmodel.Mismatch) -> messages.Response:
        if answer.version == platformmodel.ABSENT:
            return respond(platformmodel.Missing(key))
        return messages.json_response(409, object_fields(self.model.stored(key)))

    def _list(self, request: messages.Request, prefix: str) -> messages.Response:
        if prefix == INSTANCES and self.model.has_instance_list():
            return self._instances()
        after = request.query.get("after", "")
        start = prefix + after if after else ""
        page = self.model.page(prefix, start, DEFAULT_PAGE_ITEMS, self.now_ms())
        return respond(page)

    def _instances(self) -> messages.Response:
        listed = self.model.instances(self.now_ms())
        if not isinstance(listed, list):
            return respond(listed)
        items = [
            platformmodel.Object(INSTANCES + one.name, 1, instance_value(one))
            for one in listed
        ]
        return respond(platformmodel.Page(self.model.revision, items, None))

    async def _watch(self, request: messages.Request, prefix: str) -> messages.Response:
        since = int(request.query.get("watch", 0))
        wait_ms = min(float(request.query.get("wait_ms", 0)), MAX_WATCH_MS)
        due_ms = self.now_ms() + wait_ms
        answer = self.model.watch(prefix, since, self.now_ms())
        while isinstance(answer, platformmodel.Changes) and not answer.changes:
            left_ms = due_ms - self.now_ms()
            if left_ms <= 0:
                break
            await self._wait_for_change(left_ms)
            answer = self.model.changes(prefix, since)
        return respond(answer)

    async def _wait_for_change(self, wait_ms: float) -> None:
        try:
            async with asyncio.timeout(wait_ms / 1_000):
                await self._changed.wait()
        except TimeoutError:
            pass

    def notify_watches(self) -> None:
        """Wake the watches that wait for a change."""
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
                listed = msgspec.convert([instance_of(row) for row in rows], kind)
                self.model.set_instances(listed, self.now_ms())
            else:
                return messages.json_response(404, {"error": "no such path"})
        except (ValueError, TypeError) as error:
            return messages.json_response(400, {"error": str(error)})
        return messages.json_response(200, {})


def instance_value(instance: platformmodel.Instance) -> bytes:
    """Return the value of an instance's entry in the list."""
    fields = instance._asdict()
    del fields["name"]
    return msgspec.json.encode(fields)


def instance_of(row: dict[str, str]) -> platformmodel.Instance:
    """Return an instance made from the fields of a JSON object."""
    return platformmodel.Instance(**row)


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
