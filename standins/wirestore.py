"""A store of prompt parts as the users' platform speaks to it, listening on loopback.

It checks nothing: a part that is still being written can be fetched, which is recorded
in the request log. After a restart it is empty and in another epoch::

    store = WireStore(request_log)
    await store.start("127.0.0.1")
    store.save(("salt", "5c1e07a2"), 800)
    store.fetch("9c41d07be2a35f68", ("salt", "5c1e07a2"))
"""

import asyncio
import time
import typing

from cornelreach.http import messages, server
from cornelreach.platform import promptstores
from standins import requestlog

SAVE_S = 0.4
POLL_S = 0.02

PartKey = tuple[str, str]  # salt and identifier


class WireStore:
    """One prompt store; ``parts`` has its parts, with 0 tokens while one is written."""

    def __init__(self, request_log: requestlog.RequestLog, model: str) -> None:
        self.request_log = request_log
        self.model = model
        self.address = ""
        self.epoch = 0
        self.parts: dict[PartKey, int] = {}
        self._events: list[tuple[typing.Any, ...]] = []
        self._server: server.Server | None = None
        self._saving: set[asyncio.Task[None]] = set()

    async def start(self, host: str) -> None:
        """Start or restart at the same address, empty and in a new epoch."""
        port = int(self.address.rpartition(":")[2]) if self.address else 0
        self._server = await server.start(host, port, self._handle)
        self.address = f"{host}:{self._server.port}"
        self.epoch += 1
        self.parts.clear()
        self._events.clear()

    def crash(self) -> None:
        """Crash: abort all connections and saves."""
        self._server.abort()
        for task in self._saving:
            task.cancel()

    def save(self, key: PartKey, tokens: int) -> None:
        """Reserve space for a part, and hold it as complete some time later."""
        if key not in self.parts:
            self.parts[key] = 0
            task = asyncio.ensure_future(self._complete(key, tokens))
            self._saving.add(task)
            task.add_done_callback(self._saving.discard)

    async def _complete(self, key: PartKey, tokens: int) -> None:
        await asyncio.sleep(SAVE_S)
        self.parts[key] = tokens
        number = len(self._events) + 1
        self._events.append((number, "+", *key, tokens, self.model))

    def fetch(self, request_id: str, key: PartKey) -> None:
        """Fetch a part for a request; one that is not present is a miss."""
        if self.parts.get(key) == 0:
            self.request_log.partial_fetches.append(
                requestlog.PartialFetch(
                    request_id, key[1], self.epoch, time.monotonic()
                )
            )

    async def _handle(self, request: messages.Request) -> messages.Response:
        if request.path == promptstores.LISTING:
            held = [
                (*key, size, self.model) for key, size in self.parts.items() if size
            ]
            return self._reply(held=held)
        since = int(request.query.get("since", "0"))
        wait_ms = request.header(promptstores.WAIT_HEADER.decode()) or "0"
        end_s = time.monotonic() + int(wait_ms) / 1_000
        while len(self._events) <= since and time.monotonic() < end_s:
            await asyncio.sleep(POLL_S)
        return self._reply(events=self._events[since:], lost=since > len(self._events))

    def _reply(self, **fields: typing.Any) -> messages.Response:
        position = {"epoch": self.epoch, "next": len(self._events)}
        return messages.json_response(200, {**position, **fields})
