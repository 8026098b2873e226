"""Targets that fall silent while a request waits for its answer.

A sound target may be silent for a second, so the kernel gives a connection up much
later than callers wait. In the meantime a new connection tells whether the target can
be reached: if not, new requests go elsewhere, and those that may be repeated leave it
once a sound one would have gone on::

    with silence.watch(chosen, give_up):
        answer = await send()

Under heavy load a target is checked as soon as an answer is overdue, and streams that
may go on elsewhere leave a lost target midway, too.
"""

import asyncio
import collections
import contextlib
import typing

from cornelreach.gateway import registry as registry_module
from cornelreach.http import client as http_client
from cornelreach.util import timers

CHECK_MS = 600.0  # without a sign of the target
GIVE_UP_MS = 1_600.0  # longer than a sound target is silent
GIVE_UP_CHECKS = 2  # in a row; the packet that opens a connection may be lost

GiveUp = typing.Callable[[], None]
MayGiveUp = typing.Callable[[], bool]


class Silence:
    """Checks silent targets by a new connection, one at a time for each."""

    def __init__(
        self,
        registry: registry_module.TargetRegistry,
        http: http_client.Client,
        clock: timers.Timers,
    ) -> None:
        self.registry = registry
        self.http = http
        self.clock = clock
        self.is_midway = False  # whether streams that have begun are watched
        self._checks: dict[str, asyncio.Task[None]] = {}
        self._failures: collections.Counter[str] = collections.Counter()

    @contextlib.contextmanager
    def watch(
        self,
        target: registry_module.Target,
        give_up: GiveUp | None = None,
        may_give_up: MayGiveUp = lambda: True,
        check_ms: float | None = None,
    ) -> typing.Iterator[None]:
        """Watch a target while an answer is awaited; call ``give_up`` if it is lost.

        The target is first checked after ``check_ms`` without a sign of it, if that is
        earlier than usual.
        """
        watch = _Watch(self, target, give_up, may_give_up, check_ms or CHECK_MS)
        try:
            yield
        finally:
            watch.close()

    def check(self, target: registry_module.Target) -> None:
        """Open a connection to a target, unless that is being done."""
        task = self._checks.get(target.id)
        if task is None or task.done():
            self._checks[target.id] = asyncio.ensure_future(self._check(target))

    def is_lost(self, target_id: str) -> bool:
        """Return whether connections to a target failed to open again and again."""
        state = self.registry.states.get(target_id)
        failures = self._failures[target_id]
        return bool(state and state.unreached) and failures >= GIVE_UP_CHECKS

    def has_other(self, target: registry_module.Target, software: str | None) -> bool:
        """Return whether a service has another target that seems to be in reach."""
        now_ms = self.clock.now_ms()
        return any(
            one.id != target.id and not self.registry.state(one.id).unreached
            for one in self.registry.usable(target.service, now_ms, software)
        )

    async def _check(self, target: registry_module.Target) -> None:
        try:
            await self.http.open_idle(http_client.parse_address(target.address))
        except http_client.RequestNotSent as error:
            self._record_failure(target, f"silent, and {error}")
        else:
            del self._failures[target.id]
            self.registry.record_connected(target.id)
        finally:
            self._checks.pop(target.id, None)

    def _record_failure(self, target: registry_module.Target, reason: str) -> None:
        if target.id not in self.registry.targets:
            return
        if not self.registry.state(target.id).unreached:
            del self._failures[target.id]  # there was a sign of it since
        self._failures[target.id] += 1
        self.registry.eject(target.id, reason, self.clock.now_ms(), unreached=True)


class _Watch:
    """The wait of one request; a timer checks the target each time it is silent."""

    def __init__(
        self,
        silence: Silence,
        target: registry_module.Target,
        give_up: GiveUp | None,
        may_give_up: MayGiveUp,
        check_ms: float,
    ) -> None:
        self.silence = silence
        self.target = target
        self.give_up = give_up
        self.may_give_up = may_give_up
        self.check_ms = min(CHECK_MS, check_ms)
        self.start_ms = silence.clock.now_ms()
        self._timer = silence.clock.after(self.check_ms, self._on_timer)

    def _on_timer(self) -> None:
        registry, clock = self.silence.registry, self.silence.clock
        state = registry.states.get(self.target.id)
        if state is None:
            return  # the target has gone
        silent_ms = clock.now_ms() - max(self.start_ms, state.heard_ms)
        wait_ms = CHECK_MS
        if silent_ms < self.check_ms:
            wait_ms = self.check_ms - silent_ms
        elif silent_ms < GIVE_UP_MS:
            self.silence.check(self.target)
            wait_ms = min(CHECK_MS, GIVE_UP_MS - silent_ms)
        elif self._is_to_leave():
            self.give_up()
            return
        else:
            self.silence.check(self.target)
        self._timer = clock.after(wait_ms, self._on_timer)

    def _is_to_leave(self) -> bool:
        is_lost = self.silence.is_lost(self.target.id)
        return self.give_up is not None and is_lost and self.may_give_up()

    def close(self) -> None:
        """Stop watching."""
        self._timer.cancel()
