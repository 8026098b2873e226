"""Code that the HTTP servers of the stand-ins share: clock, routes and serving."""

import asyncio
import re
import signal
import typing

import msgspec

from cornelreach.http import messages, server
from cornelreach.util import timers as timers_module

Handler = typing.Callable[..., typing.Awaitable[messages.Response]]


class ScaledTimers(timers_module.LoopTimers):
    """Event loop timers that run ``speed`` times as fast as the clock."""

    def __init__(self, speed: float) -> None:
        self.speed = speed

    def now_ms(self) -> float:
        return super().now_ms() * self.speed

    def _schedule(self, subscription: timers_module.Subscription, delay_ms: float):
        super()._schedule(subscription, delay_ms / self.speed)

    async def sleep(self, delay_ms: float) -> None:
        """Wait for a delay in the scaled time of these timers."""
        await asyncio.sleep(max(0.0, delay_ms) / self.speed / 1_000)


class Routes:
    """Handlers by method and path pattern; regex groups become arguments."""

    def __init__(self, headers: typing.Callable[[], messages.Headers]) -> None:
        self._routes: list[tuple[str, re.Pattern[str], Handler]] = []
        self._headers = headers

    def add(self, method: str, pattern: str, handler: Handler) -> None:
        """Serve a method on paths that match a whole pattern."""
        self._routes.append((method, re.compile(pattern), handler))

    async def handle(self, request: messages.Request) -> messages.Response:
        """Handle one request; 404 without a route, 400 for a body that is not JSON."""
        response = await self._dispatch(request)
        return response._replace(headers=response.headers + self._headers())

    async def _dispatch(self, request: messages.Request) -> messages.Response:
        for method, pattern, handler in self._routes:
            match = pattern.fullmatch(request.path)
            if match and method == request.method:
                try:
                    return await handler(request, *match.groups())
                except (msgspec.DecodeError, KeyError, ValueError) as error:
                    return failure(400, "bad_request", repr(error))
        return failure(404, "not_found", request.path)


def failure(status: int, code: str, message: str = "") -> messages.Response:
    """Return an error response."""
    value = {"error": {"code": code, "message": message}}
    return messages.json_response(status, value)


def body(request: messages.Request) -> dict[str, typing.Any]:
    """Return the decoded JSON object of a request; empty without a body."""
    return msgspec.json.decode(request.body) if request.body else {}


async def serve(port: int, handler: server.Handler, name: str) -> None:
    """Serve on loopback until SIGTERM or SIGINT; prints the address once."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    running = await server.start("127.0.0.1", port, handler)
    print(f"{name} on http://127.0.0.1:{running.port}", flush=True)
    await stop.wait()
    running.stop_listening()
    running.abort()
