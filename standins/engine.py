"""A stand-in model engine over HTTP.

Usage:
  engine --name=NAME [options]

Options:
  --name=NAME               Name of the engine.
  --port=PORT               Port on loopback; 0 takes a free one. [default: 0]
  --model=MODEL             Model served; one with "draft" in it writes notices.
                            [default: reader]
  --version=VERSION         Weight version loaded at the start. [default: 1]
  --max-sequences=N         Sequences that run together. [default: 16]
  --prefill-rate=N          Prefill, in tokens a second. [default: 8000]
  --cache-tokens=N          Memory of the prefix cache. [default: 200000]
  --bytes-per-token=N       KV bytes of one token. [default: 1000]
  --link-rate=N             Link, in bytes a second. [default: 50000000]
  --cold-sequences=N        Sequences accepted while cold. [default: 1]
  --cold-ms=MS              Service time until it is warm. [default: 5000]
  --warm                    Start warm.
  --boot-lag=MS             Wait before serving. [default: 0]
  --report-ms=MS            Lag of the load report. [default: 500]
  --event-lag-ms=MS         Lag of cache events. [default: 200]
  --event-gaps=SHARE        Share of cache events lost. [default: 0]
  --event-repeats=SHARE     Share of cache events repeated. [default: 0]
  --checks-fence            Refuse an order with an older fence.
  --ignores-boot            Ignore If-Match.
  --speed=FACTOR            Run faster than real time. [default: 1]
  --seed=SEED               Seed of the event faults. [default: 0]
"""

import asyncio
import os
import typing

import docopt
import msgspec

from cornelreach.http import client as client_module, messages
from standins import answers, cachehttp, enginemodel, httpcommon, kvhttp, linkmodel

CHARACTERS_PER_TOKEN = 4
DEFAULT_ANSWER_TOKENS = 64
STATUS = {
    enginemodel.Rejection.FULL: 429,
    enginemodel.Rejection.BOOT: 412,
    enginemodel.Rejection.VERSION: 409,
    enginemodel.Rejection.DUPLICATE: 409,
    enginemodel.Rejection.STALE_FENCE: 409,
}


class Engine:
    """The HTTP API of one engine, see docs/ARCHITECTURE.md."""

    def __init__(
        self,
        settings: enginemodel.Settings,
        timers: httpcommon.ScaledTimers,
        link: linkmodel.Link,
    ) -> None:
        boot = f"{settings.name}-{os.urandom(4).hex()}"
        self.model = enginemodel.Engine(settings, timers, boot)
        self.timers = timers
        self.answers: dict[str, list[str]] = {}
        self.routes = httpcommon.Routes(self._headers)
        self.blocks = kvhttp.BlockApi(self, link, client_module.Client())
        self._add_routes()

    def _headers(self) -> messages.Headers:
        return ((b"x-boot-id", self.model.boot_id.encode()),)

    def _add_routes(self) -> None:
        add = self.routes.add
        add("POST", "/v1/chat/completions", self.complete)
        add("GET", "/v1/runs/([^/]+)/events", self.resume)
        add("POST", "/v1/runs/([^/]+)/cancel", self.cancel)
        add("GET", "/v1/state", self.state)
        add("GET", "/v1/cache/events", self.cache_events)
        add("GET", "/v1/cache", self.cache)
        add("POST", "/v1/orders", self.order)
        add("POST", "/control/faults", self.set_faults)
        self.blocks.add_routes(self.routes)

    async def complete(self, request: messages.Request) -> messages.Response:
        """Run one chat completion; respond with one JSON object or an event stream."""
        call = httpcommon.body(request)
        run_request, words = self._run_request(call)
        try:
            run = self.model.submit(run_request, request.header("if-match"))
        except enginemodel.Rejected as rejected:
            return httpcommon.failure(STATUS[rejected.kind], rejected.kind)
        self.answers[run_request.run] = words
        if call.get("stream"):
            return self._stream_response(run, 0)
        await self._wait_ended(run)
        if run.outcome != "stop":
            return httpcommon.failure(500, run.outcome)
        message = {"role": "assistant", "content": " ".join(words)}
        choice = {"index": 0, "message": message, "finish_reason": run.outcome}
        value = {"id": run_request.run, "choices": [choice], "usage": _usage(run)}
        return messages.json_response(200, value)

    def _run_request(
        self, call: dict[str, typing.Any]
    ) -> tuple[enginemodel.RunRequest, list[str]]:
        message = call["messages"][-1]["content"]
        run = call.get("run") or os.urandom(8).hex()
        length = call.get("max_tokens") or DEFAULT_ANSWER_TOKENS
        words = answers.words(self.model.settings.model, run, message, length)
        pieces = tuple(
            enginemodel.Piece(piece["key"], piece["tokens"])
            for piece in call.get("pieces") or ()
        )
        characters = sum(len(each["content"]) for each in call["messages"])
        tail = characters // CHARACTERS_PER_TOKEN - sum(p.tokens for p in pieces)
        version = call.get("version") or self.model.version
        priority = call.get("priority") or 0
        run_request = enginemodel.RunRequest(
            run, pieces, max(0, tail), len(words), priority, version
        )
        return run_request, words

    async def _wait_ended(self, run: enginemodel.Run) -> None:
        done = asyncio.Event()
        run.watch(lambda: run.outcome and done.set())
        if run.outcome is None:
            await done.wait()

    def _stream_response(self, run: enginemodel.Run, after: int) -> messages.Response:
        headers = ((b"content-type", b"text/event-stream"),)
        return messages.Response(200, headers=headers, stream=self._events(run, after))

    async def _events(
        self, run: enginemodel.Run, after: int
    ) -> typing.AsyncIterator[bytes]:
        progress = asyncio.Event()
        run.watch(progress.set)
        words = self.answers[run.request.run]
        sent = after
        try:
            while True:
                progress.clear()
                while sent < run.emitted:
                    sent += 1
                    yield _event(sent, run, {"content": words[sent - 1] + " "})
                if run.outcome is not None:
                    break
                await progress.wait()
        finally:
            run.unwatch(progress.set)
        if run.outcome == "failed":
            raise ConnectionResetError("the engine crashed or restarted")
        yield _event(run.emitted + 1, run, {}, run.outcome)
        yield b"data: [DONE]\n\n"

    async def resume(self, request: messages.Request, name: str) -> messages.Response:
        """Stream the events of a run after the event number ``from``."""
        run = self.model.runs.get(name)
        if run is None or run.outcome == "failed":
            return httpcommon.failure(404, "not_found", name)
        return self._stream_response(run, int(request.query.get("from", "0")))

    async def cancel(self, request: messages.Request, name: str) -> messages.Response:
        """Cancel a run; idempotent."""
        return messages.json_response(200, {"cancelled": self.model.cancel(name)})

    async def state(self, request: messages.Request) -> messages.Response:
        """Return the load report, which lags."""
        return messages.json_response(200, self.model.state())

    async def cache_events(self, request: messages.Request) -> messages.Response:
        """Return the cache events after ``since``, waiting up to ``wait_ms``."""
        events = self.model.cache.events
        value = await cachehttp.poll_events(request, events, self.timers)
        value = {"boot_id": self.model.boot_id, **value}
        return messages.json_response(200, value)

    async def cache(self, request: messages.Request) -> messages.Response:
        """Return the keys of all readable blocks."""
        cache = self.model.cache
        keys = [block.key for block in cache.blocks.values() if block.committed]
        value = {"boot_id": self.model.boot_id, "seq": cache.events.seq, "keys": keys}
        return messages.json_response(200, value)

    async def order(self, request: messages.Request) -> messages.Response:
        """Accept an order; a load's progress is read from the state afterwards."""
        order = httpcommon.body(request)
        if order["order"] == "load":
            loads = order.get("concurrent_loads", 1)
            try:
                self.model.order(order["version"], order.get("fence"), loads)
            except enginemodel.Rejected as rejected:
                return httpcommon.failure(STATUS[rejected.kind], rejected.kind)
        return messages.json_response(202, {"version": self.model.version})

    async def set_faults(self, request: messages.Request) -> messages.Response:
        """Set faults, see docs/ARCHITECTURE.md."""
        changes = httpcommon.body(request)
        model = self.model
        if changes.get("turn_cold"):
            model.turn_cold()
        if changes.get("die"):
            os._exit(1)
        model.frozen = changes.get("freeze_reports", model.frozen)
        events = model.cache.events
        events.faults = cachehttp.update_faults(events.faults, changes)
        self.blocks.link.stall(changes.get("stall_link_ms", 0.0))
        self.blocks.partial_writes = changes.get(
            "partial_writes", self.blocks.partial_writes
        )
        return messages.json_response(200, {})


def _usage(run: enginemodel.Run) -> dict[str, int]:
    return {
        "prompt_tokens": run.prompt_tokens,
        "completion_tokens": run.emitted,
        "cached_tokens": run.cached_tokens,
    }


def _event(
    number: int,
    run: enginemodel.Run,
    delta: dict[str, str],
    finish: str | None = None,
) -> bytes:
    choice = {"index": 0, "delta": delta, "finish_reason": finish}
    chunk: dict[str, typing.Any] = {"id": run.request.run, "choices": [choice]}
    if finish is not None:
        chunk["usage"] = _usage(run)
    return b"id: %d\ndata: %s\n\n" % (number, msgspec.json.encode(chunk))


def settings_from_flags(flags: dict[str, typing.Any]) -> enginemodel.Settings:
    """Return the engine's settings from its flags."""
    return enginemodel.Settings(
        name=flags["--name"],
        model=flags["--model"],
        version=flags["--version"],
        max_sequences=int(flags["--max-sequences"]),
        prefill_tokens_per_s=int(flags["--prefill-rate"]),
        cache_tokens=int(flags["--cache-tokens"]),
        bytes_per_token=int(flags["--bytes-per-token"]),
        cold_sequences=int(flags["--cold-sequences"]),
        cold_ms=float(flags["--cold-ms"]),
        starts_cold=not flags["--warm"],
        report_ms=float(flags["--report-ms"]),
        checks_fence=flags["--checks-fence"],
        checks_boot=not flags["--ignores-boot"],
        events=cachehttp.faults_from_flags(flags),
        seed=int(flags["--seed"]),
    )


async def _run(flags: dict[str, typing.Any]) -> None:
    timers = httpcommon.ScaledTimers(float(flags["--speed"]))
    await timers.sleep(float(flags["--boot-lag"]))
    link = linkmodel.Link(float(flags["--link-rate"]), timers)
    engine = Engine(settings_from_flags(flags), timers, link)
    await httpcommon.serve(int(flags["--port"]), engine.routes.handle, flags["--name"])


def main() -> None:
    """Run one engine until a signal."""
    asyncio.run(_run(docopt.docopt(__doc__)))


if __name__ == "__main__":
    main()
