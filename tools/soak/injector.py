"""Injects the faults of a schedule into the environment of a soak run."""

import asyncio
import contextlib
import itertools
import signal
import time
import typing

import msgspec

from standins import wireengine
from tools.soak import (
    callers,
    crowd,
    edges as edges_module,
    environment as environment_module,
    operator,
    proxy,
    releases,
    schedule,
)

LEFT, LEFT_CALLERS = "left", 20  # of streams that outlive all instances
SHED_SHARE = 0.8
STORE_RESTARTS, STORE_AWAY_S, STORE_SERVES_S = 2, 0.2, 4.0
STREAM_CALLERS = 6
COLD_S = 3.0
COPY_AGE_S = 1.2  # how much the store loses when it comes back from a copy
RESTORE_AWAY_S = 0.4
REWRITE_S = 0.3  # until operator and engines have written again
RESTART_S = 0.3
ENGINES_CUT_S = 7.0  # past the time in which an instance may find out
CUT_S = 8.0  # longer than the bound on revoked keys
VERSION_S = 9.0  # longer than the bound on old model versions
LATE_S = 4.5  # from naming a version until one instance can learn of it
HELD_S = 10.0  # past the bound on old model versions
LEAVE_EXIT_S = 4.0  # long enough for arrivals after the bound on leaving engines
REST_S = 1.5
POISON_S = 12.0  # past both bounds on requests that crash engines
POISON_PERIOD_S = 0.25
SOUND_CALLERS = 6
SOUND_PERIOD_S = 0.05
LIMIT_S = 9.0  # past the bound on limits, and for a window more
LIMIT_PER_S = 0.25
WATCHES_CUT_S = 0.3
OLD_SOFTWARE, NEW_SOFTWARE = "1.0", "2.0"
ONE_VERSION_S = 7.0  # until streams of other versions have ended, and are forgotten
OUT_OF_STEP_S = 4.0  # less than the bound on revoked keys
UNSEEN_START_S = 2.0  # records count as outdated later
SMALL_LIMIT_S = 1.5
LIMIT_APPLY_S = 2.5  # past the bound on configurations
LATE_HEAD_S, LATE_REST_S = 2.6, (0.7, 0.9, 1.1)  # after SIGTERM, before the end
LATE_WORK_S = 0.6  # past the end of the grace period
READY_GAP_S = 0.05
RENAME_PERIOD_S, RENAME_LAG_S = 0.3, 1.0  # until an old entry goes
DRAIN_EXIT_S = 4.0  # a draining engine serves for longer than the bound


class Injector:
    """Carries out faults; the name of a kind is that of its method."""

    def __init__(self, environment: environment_module.Environment) -> None:
        self.environment = environment
        self.operator = environment.operator
        self._left_count = itertools.count()
        self._late_count = itertools.count()
        self._rename_count = itertools.count(1)
        self._crowd_kinds = itertools.cycle(crowd.KINDS)
        self._renamed: set[str] = set()
        self._prompt_store_lock = asyncio.Lock()

    async def run_schedule(self, faults: typing.Sequence[schedule.Fault]) -> None:
        """Inject the faults of a schedule; returns when the last one has ended."""
        start_s = time.monotonic()
        running = []
        for fault in faults:
            await asyncio.sleep(max(0.0, start_s + fault.at_s - time.monotonic()))
            running.append(asyncio.ensure_future(self._inject(fault)))
        await asyncio.gather(*running)

    async def _inject(self, fault: schedule.Fault) -> None:
        handler = getattr(self, "_do_" + fault.kind.replace("-", "_"))
        subject = fault.subject
        if fault.kind in schedule.STORE_KINDS:
            subject = "store"
        elif fault.kind in schedule.COMBINED_KINDS:
            subject = ""  # its parts are recorded by themselves
        with self._disturb(subject, fault.kind):
            await handler(fault)

    @contextlib.contextmanager
    def _disturb(self, subject: str, kind: str) -> typing.Iterator[None]:
        """Record how long a subject is disturbed."""
        disturbances = self.environment.disturbances
        one = environment_module.Disturbance(
            subject, kind, time.monotonic(), float("inf")
        )
        disturbances.append(one)
        try:
            yield
        finally:
            disturbances.remove(one)
            disturbances.append(one._replace(end_s=time.monotonic()))

    async def _do_kill(self, fault: schedule.Fault) -> None:
        edge = self.environment.edges[fault.subject]
        await self._stop_and_restart(edge, signal.SIGKILL)

    async def _do_kill_all(self, fault: schedule.Fault) -> None:
        # Streams break off, and all instances are killed before their callers return.
        environment = self.environment
        kind = next(one for one in callers.REQUEST_KINDS if one.name == "resume")
        found = [
            environment.make_caller(
                f"{edge.name}-{LEFT}{next(self._left_count)}", edge, environment.any_key
            )
            for edge in environment.edges.values()
            for _ in range(LEFT_CALLERS // len(environment.edges) + 1)
        ]
        pool = [one for one in environment.engines.values() if one.model]
        with contextlib.ExitStack() as stack:
            for engine in pool:
                engine.faults.garbled = 1.0
                stack.enter_context(self._disturb(engine.name, "garbled"))
            broken = await asyncio.gather(
                *(one.send_request(kind, one.keys()) for one in found)
            )
        for engine in pool:
            engine.faults.garbled = 0.0
        kills = [schedule.Fault(0.0, "kill", name, 0.0) for name in environment.edges]
        await asyncio.gather(*map(self._inject, kills))
        await asyncio.gather(
            *(
                caller.take_up(request)
                for caller, request in zip(found, broken, strict=True)
                if request.events and not request.complete
            )
        )

    async def _do_term(self, fault: schedule.Fault) -> None:
        await self._stop_and_restart(
            self.environment.edges[fault.subject], signal.SIGTERM
        )

    async def _stop_and_restart(
        self, edge: edges_module.Edge, number: signal.Signals
    ) -> None:
        process = edge.process
        await edge.stop(number)
        await asyncio.sleep(RESTART_S)
        await edge.restart(process)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(environment_module.READY_WAIT_S):
                while not await edge.is_ready():
                    await asyncio.sleep(0.05)

    async def _do_pause(self, fault: schedule.Fault) -> None:
        edge = self.environment.edges[fault.subject]
        edge.send_signal(signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        edge.send_signal(signal.SIGCONT)

    async def _do_reload(self, fault: schedule.Fault) -> None:
        self.environment.edges[fault.subject].send_signal(signal.SIGHUP)

    async def _with_link_fault(self, fault: schedule.Fault, state: proxy.Link) -> None:
        link = self.environment.links[fault.subject]
        link.set_link(state)
        await asyncio.sleep(fault.for_s)
        link.set_link(proxy.Link.GOOD)

    async def _do_store_silent(self, fault: schedule.Fault) -> None:
        await self._with_link_fault(fault, proxy.Link.SILENT)

    async def _do_store_deaf(self, fault: schedule.Fault) -> None:
        await self._with_link_fault(fault, proxy.Link.DEAF)

    async def _do_store_reset(self, fault: schedule.Fault) -> None:
        await self._with_link_fault(fault, proxy.Link.RESET)

    async def _do_store_slow(self, fault: schedule.Fault) -> None:
        await self._with_link_fault(fault, proxy.Link.SLOW)

    async def _do_cut(self, fault: schedule.Fault) -> None:
        # Revokes a key while the instance is cut off for longer than the bound.
        self.environment.links[fault.subject].set_link(proxy.Link.SILENT)
        self._revoke(self.environment.edges[fault.subject])
        await asyncio.sleep(CUT_S)
        self.environment.links[fault.subject].set_link(proxy.Link.GOOD)

    async def _do_engines_cut(self, fault: schedule.Fault) -> None:
        cut_off = self.environment.cut_off
        cut_off[fault.subject] += 1
        for name in self.environment.engines:
            self.environment.links[name].reset_cut()
        await asyncio.sleep(ENGINES_CUT_S)
        cut_off[fault.subject] -= 1

    async def _do_link_silent(self, fault: schedule.Fault) -> None:
        await self._with_link_fault(fault, proxy.Link.SILENT)

    async def _do_link_reset(self, fault: schedule.Fault) -> None:
        await self._with_link_fault(fault, proxy.Link.RESET)

    def _set_store_faults(self, **faults: float) -> None:
        self.environment.store.model.set_faults(faults, self.environment.store.now_ms())

    async def _do_outage(self, fault: schedule.Fault) -> None:
        self._set_store_faults(outage_ms=fault.for_s * 1_000)
        await asyncio.sleep(fault.for_s)

    async def _do_slow(self, fault: schedule.Fault) -> None:
        self._set_store_faults(slow_ms=200.0)
        await asyncio.sleep(fault.for_s)
        self._set_store_faults(slow_ms=0.0)

    async def _do_lose_answers(self, fault: schedule.Fault) -> None:
        self._set_store_faults(lose_answers=3)
        await asyncio.sleep(fault.for_s)
        self._set_store_faults(lose_answers=0)

    async def _do_compact(self, fault: schedule.Fault) -> None:
        self.environment.store.model.compact()

    async def _do_restore(self, fault: schedule.Fault) -> None:
        # Operator and engines write again what the copy lacks; instances do the same.
        model = self.environment.store.model
        copy = model.copy()
        # The copy is older than the entry of one instance, which has to write it again.
        copy.objects.pop(
            f"instances/{self.environment.random.choice(list(self.environment.edges))}",
            None,
        )
        await asyncio.sleep(COPY_AGE_S)
        self._set_store_faults(outage_ms=RESTORE_AWAY_S * 1_000)
        await asyncio.sleep(RESTORE_AWAY_S)
        if copy.era == model.era:
            model.restore(copy)
            self.environment.store.notify_watches()
        await asyncio.sleep(REWRITE_S)
        self.operator.write_again()

    async def _do_leave(self, fault: schedule.Fault) -> None:
        # The engine says that it leaves only in its answers, and serves until it ends.
        engine = self.environment.engines[fault.subject]
        engine.faults.leaving = True
        await asyncio.sleep(LEAVE_EXIT_S)
        engine.crash()
        engine.faults.leaving = False
        self.operator.write(f"servers/{fault.subject}", None)
        await asyncio.sleep(0.5)
        await self.environment.restart_engine(fault.subject)

    async def _do_rest(self, fault: schedule.Fault) -> None:
        await self._with_engine_fault(fault, "rest_s", REST_S, 0.0)

    async def _do_limit(self, fault: schedule.Fault) -> None:
        engine = self.environment.engines[fault.subject]
        self.environment.record_change("limit", fault.subject, engine.born)
        engine.faults.limit_per_s = LIMIT_PER_S
        await asyncio.sleep(LIMIT_S)
        engine.faults.limit_per_s = None
        self.environment.record_change("limit-end", fault.subject)

    async def _do_crash(self, fault: schedule.Fault) -> None:
        engine = self.environment.engines[fault.subject]
        engine.crash()
        await asyncio.sleep(fault.for_s)
        await self.environment.restart_engine(fault.subject)

    async def _do_empty_store(self, fault: schedule.Fault) -> None:
        # The prompt store restarts empty, several times in a row.
        environment = self.environment
        for _ in range(STORE_RESTARTS):
            async with self._prompt_store_lock:
                environment.prompt_store.crash()
                await asyncio.sleep(STORE_AWAY_S)
                await environment.prompt_store.start(environment.shared_host)
            await asyncio.sleep(STORE_SERVES_S)

    async def _do_poison(self, fault: schedule.Fault) -> None:
        part = f"bad{len(self.environment.ledger.poisoned_parts)}"
        self.environment.ledger.poisoned_parts.add(part)
        self.environment.record_change("poison", part)
        caller = self.environment.make_caller(
            part, next(iter(self.environment.edges.values())), self.environment.any_key
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(POISON_S):
                await caller.run_poisoned(part, POISON_PERIOD_S)
        self.environment.record_change("poison-end", part)

    async def _do_repeat(self, fault: schedule.Fault) -> None:
        # One request crashes each engine that runs it and comes again unchanged, beside
        # sound ones that are often lost with it.
        kind = next(one for one in callers.REQUEST_KINDS if one.name == fault.subject)
        ledger = self.environment.ledger
        number = len(ledger.poisoned_requests)
        guilty = callers.named_content(kind, f"again{number}")
        sound = [
            callers.named_content(kind, f"sound{number}-{one}")
            for one in range(SOUND_CALLERS)
        ]
        ledger.poisoned_requests[guilty.target, guilty.body] = guilty.name
        ledger.slow_requests.update((one.target, one.body) for one in sound)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(POISON_S):
                await asyncio.gather(
                    self._repeat(kind, guilty, POISON_PERIOD_S),
                    *(self._repeat(kind, one, SOUND_PERIOD_S) for one in sound),
                )
        self.environment.record_change("repeat-end", guilty.name)

    async def _repeat(
        self, kind: callers.RequestKind, content: callers.Content, period_s: float
    ) -> None:
        key = self.environment.any_key()
        edge = next(iter(self.environment.edges.values()))
        caller = self.environment.make_caller(content.name, edge, lambda: key)
        await caller.run_repeated(kind, content, period_s)

    async def _do_cold(self, fault: schedule.Fault) -> None:
        # A cold engine registers as cold before it accepts requests.
        engine = self.environment.engines[fault.subject]
        engine.crash()
        self.operator.write(f"servers/{fault.subject}", None)
        await asyncio.sleep(0.5)
        await self.environment.restart_engine(fault.subject, COLD_S)
        await asyncio.sleep(COLD_S)

    async def _do_dark(self, fault: schedule.Fault) -> None:
        await self._with_engine_fault(fault, "dark", True, False)

    async def _do_errors(self, fault: schedule.Fault) -> None:
        await self._with_engine_fault(fault, "errors", 0.5, 0.0)

    async def _do_shed(self, fault: schedule.Fault) -> None:
        await self._with_engine_fault(fault, "shed", SHED_SHARE, 0.0)

    async def _do_lost(self, fault: schedule.Fault) -> None:
        await self._with_engine_fault(fault, "lost", 0.3, 0.0)

    async def _do_garbled(self, fault: schedule.Fault) -> None:
        await self._with_engine_fault(fault, "garbled", 0.3, 0.0)

    async def _do_late_orders(self, fault: schedule.Fault) -> None:
        await self._with_engine_fault(fault, "late_orders", 0.6, 0.0)

    async def _with_engine_fault(
        self, fault: schedule.Fault, field: str, value: typing.Any, normal: typing.Any
    ) -> None:
        faults = self.environment.engines[fault.subject].faults
        setattr(faults, field, value)
        await asyncio.sleep(fault.for_s)
        setattr(faults, field, normal)

    async def _do_drain(self, fault: schedule.Fault) -> None:
        engine = self.environment.engines[fault.subject]
        engine.draining = True
        self.environment.write_entry(fault.subject)
        self.environment.record_change("drain", fault.subject, engine.born)
        await asyncio.sleep(DRAIN_EXIT_S)
        engine.crash()
        self.operator.write(f"servers/{fault.subject}", None)
        await asyncio.sleep(fault.for_s)
        await self.environment.restart_engine(fault.subject)

    async def _do_withdraw(self, fault: schedule.Fault) -> None:
        # An engine leaves without a report, as the watches of all instances are cut.
        engine = self.environment.engines[fault.subject]
        links = [self.environment.links[name] for name in self.environment.edges]
        for link in links:
            link.set_link(proxy.Link.RESET)
        self.environment.withdrawn.add(fault.subject)
        self.operator.write(f"servers/{fault.subject}", None)
        self.environment.record_change("drain", fault.subject, engine.born)
        await asyncio.sleep(WATCHES_CUT_S)
        for link in links:
            link.set_link(proxy.Link.GOOD)
        await asyncio.sleep(DRAIN_EXIT_S - WATCHES_CUT_S)
        engine.crash()
        self.environment.withdrawn.discard(fault.subject)
        await asyncio.sleep(fault.for_s)
        await self.environment.restart_engine(fault.subject)

    async def _do_damage(self, fault: schedule.Fault) -> None:
        entry = self.environment.engines["e0"].entry("north", "10.0.0.1:80")
        damaged = {
            "deep": b"[" * 50_000 + b"]" * 50_000,
            "number": b'{"service": "s", "slots": 1' + b"0" * 400 + b"}",
            "port": {**entry, "address": "127.0.0.1:99999"},
            "address": {**entry, "address": "nowhere"},
        }
        for name, value in damaged.items():
            self.operator.write(f"servers/{name}", value)
        self.environment.record_change("damage", "")
        await asyncio.sleep(fault.for_s)
        self.environment.record_change("damage-end", "")
        for name in damaged:
            self.operator.write(f"servers/{name}", None)

    async def _do_refuse_again(self, fault: schedule.Fault) -> None:
        await self._with_engine_fault(fault, "refuse_again", 0.5, 0.0)

    async def _do_refuse_first(self, fault: schedule.Fault) -> None:
        await self._with_engine_fault(fault, "refuse_first", 0.5, 0.0)

    async def _do_late_copies(self, fault: schedule.Fault) -> None:
        await self._with_engine_fault(fault, "late_copies", 0.5, 0.0)

    async def _do_rename(self, fault: schedule.Fault) -> None:
        # An engine starts again and again at its address under a new identifier, while
        # its old entry is still listed, and writes refusals of the old one again.
        if fault.subject in self._renamed:
            return
        self._renamed.add(fault.subject)
        engine = self.environment.engines[fault.subject]
        engine.faults.late_copies = 1.0
        end_s = time.monotonic() + fault.for_s
        while time.monotonic() < end_s:
            await self._rename(engine, f"{engine.name}.{next(self._rename_count)}")
        engine.faults.late_copies = 0.0
        await self._rename(engine, engine.name)
        self._renamed.discard(fault.subject)

    async def _rename(self, engine: wireengine.WireEngine, name: str) -> None:
        old, engine.id = engine.id, name
        engine.crash()
        await self.environment.restart_engine(engine.name)
        await asyncio.sleep(self.environment.random.uniform(0.0, RENAME_LAG_S))
        self.operator.write(f"servers/{old}", None)
        await asyncio.sleep(RENAME_PERIOD_S)

    async def _do_odd_rest(self, fault: schedule.Fault) -> None:
        await self._with_engine_fault(fault, "odd_rest", 0.7, 0.0)

    async def _do_reset_ends(self, fault: schedule.Fault) -> None:
        await self._with_engine_fault(fault, "reset_ends", 0.3, 0.0)

    async def _do_crowd(self, fault: schedule.Fault) -> None:
        # Clients that send ahead and read nothing, of one kind at a time.
        host = self.environment.edges[fault.subject].host
        await crowd.Crowd(host, next(self._crowd_kinds)).run(fault.for_s)

    async def _do_rollout(self, fault: schedule.Fault) -> None:
        # The subject says what the new version is like: good or bad.
        await releases.roll_out(
            self.environment, fault.subject == releases.BAD, fault.for_s
        )

    async def _do_cut_heads(self, fault: schedule.Fault) -> None:
        await self._with_engine_fault(fault, "cut_heads", 0.3, 0.0)

    async def _do_limits(self, fault: schedule.Fault) -> None:
        # Longer bodies are allowed, and sent on connections that are kept from before.
        if self.operator.is_changing_limits:
            return
        self.operator.is_changing_limits = True
        self.operator.write_body_limit(operator.SMALL_BODY_BYTES)
        await asyncio.sleep(SMALL_LIMIT_S)
        self.operator.write_body_limit(operator.LARGE_BODY_BYTES)
        await asyncio.sleep(LIMIT_APPLY_S)
        self.operator.padding = b"x" * operator.LONG_BODY_BYTES
        await asyncio.sleep(2.0 + fault.for_s)
        self.operator.padding = b""
        await asyncio.sleep(0.5)
        self.operator.is_changing_limits = False

    async def _do_late_body(self, fault: schedule.Fault) -> None:
        # Requests reach a stopping instance whole only shortly before it ends.
        environment = self.environment
        edge = environment.edges[fault.subject]
        plain = [one for one in environment.engines.values() if not one.model]
        stop = asyncio.ensure_future(self._stop_and_restart(edge, signal.SIGTERM))
        await asyncio.sleep(LATE_HEAD_S)
        for engine in plain:
            engine.faults.work_s = LATE_WORK_S
        name = f"late{next(self._late_count)}"
        caller = environment.make_caller(name, edge, environment.any_key)
        kinds = [one for one in callers.REQUEST_KINDS if not one.model]
        await asyncio.gather(
            *(
                caller.send_in_parts(kind, rest_s)
                for kind in kinds
                for rest_s in LATE_REST_S
            )
        )
        for engine in plain:
            engine.faults.work_s = 0.0
        await stop

    async def _do_endless(self, fault: schedule.Fault) -> None:
        # Meanwhile each instance is asked whether it is ready, which takes a turn each.
        environment = self.environment
        engine = environment.engines[fault.subject]
        engine.faults.endless = 0.5
        end_s = time.monotonic() + fault.for_s

        async def ask(edge: edges_module.Edge) -> None:
            while time.monotonic() < end_s:
                begin_s = time.monotonic()
                await edge.is_ready()
                wait_s = time.monotonic() - begin_s
                environment.readiness_waits.append((edge.name, begin_s, wait_s))
                await asyncio.sleep(READY_GAP_S)

        await asyncio.gather(*map(ask, environment.edges.values()))
        engine.faults.endless = 0.0

    async def _do_out_of_step(self, fault: schedule.Fault) -> None:
        others = [one for one in self.environment.edges if one != fault.subject]
        await self._renew_unread(fault.subject, others, OUT_OF_STEP_S)

    async def _do_unseen_start(self, fault: schedule.Fault) -> None:
        # No connection to the engines is left that would tell of their new start.
        engines = self.environment.engines.values()
        for one in engines:
            one.faults.closing = True
        await self._renew_unread(fault.subject, [fault.subject], UNSEEN_START_S)
        for one in engines:
            one.faults.closing = False

    async def _renew_unread(
        self, subject: str, callers_at: typing.Iterable[str], for_s: float
    ) -> None:
        """Let new software join while an instance reaches neither store nor others."""
        environment = self.environment
        pool = [name for name, one in environment.engines.items() if one.model]
        for name in pool:
            await self._renew(name, OLD_SOFTWARE)
        await asyncio.sleep(ONE_VERSION_S)
        key = f"instances/{subject}"
        entry = msgspec.json.decode(environment.store.model.copy().objects[key].value)
        nowhere = f"{environment.shared_host}:1"
        self.operator.write(key, {**entry, "peer_address": nowhere})
        environment.links[subject].set_link(proxy.Link.SILENT)
        renewed = pool[: len(pool) // 2]
        for name in renewed:
            await self._renew(name, NEW_SOFTWARE)
            environment.engines[name].faults.garbled = 0.9
        await self._take_up_streams(callers_at, for_s)
        for name in renewed:
            environment.engines[name].faults.garbled = 0.0
        environment.links[subject].set_link(proxy.Link.GOOD)
        self.operator.write(key, entry)

    async def _take_up_streams(
        self, callers_at: typing.Iterable[str], for_s: float
    ) -> None:
        """Let callers of some instances begin streams and take them up."""
        environment = self.environment
        kinds = [one for one in callers.REQUEST_KINDS if one.name == "resume"]
        found = [
            environment.make_caller(
                f"{name}-s{number}", environment.edges[name], environment.any_key
            )
            for name in callers_at
            for number in range(STREAM_CALLERS)
        ]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(for_s):
                await asyncio.gather(*(one.run(kinds) for one in found))

    async def _renew(self, name: str, software: str) -> None:
        """Start an engine again with other software."""
        engine = self.environment.engines[name]
        engine.crash()
        engine.software = software
        await engine.start(self.environment.shared_host)
        self.environment.write_entry(name)

    async def _do_forged(self, fault: schedule.Fault) -> None:
        self.operator.write("servers/forged", {"service": 7, "address": "nowhere"})
        await asyncio.sleep(fault.for_s)
        self.operator.write("servers/forged", None)

    async def _do_revoke(self, fault: schedule.Fault) -> None:
        self._revoke(
            self.environment.random.choice(list(self.environment.edges.values()))
        )

    def _revoke(self, edge: edges_module.Edge) -> None:
        """Revoke a key, and start a caller that continues to use it at an instance."""
        if len(self.operator.keys) <= 2:
            return
        key = self.operator.keys.pop(
            self.environment.random.randrange(len(self.operator.keys))
        )
        self.operator.config_version += self.environment.random.randrange(1, 4)
        self.operator.write_config()
        self.environment.record_change("revoke", key)
        self.environment.start_caller(f"{edge.name}-{key}", edge, lambda: key)

    async def _do_route(self, fault: schedule.Fault) -> None:
        self.operator.extra_routes.append(f"/extra{len(self.operator.extra_routes)}/")
        self.operator.config_version += self.environment.random.randrange(1, 4)
        self.operator.write_config()

    async def _do_version(self, fault: schedule.Fault) -> None:
        self.operator.model_version += 1
        self.operator.write_version()
        self.environment.record_change(
            "version", operator.MODEL, self.operator.model_version
        )
        await asyncio.sleep(VERSION_S)

    async def _do_late_version(self, fault: schedule.Fault) -> None:
        # One instance learns late of new weights, which no engine loads meanwhile.
        parts = [
            fault._replace(kind="pause", for_s=LATE_S),
            fault._replace(kind="version", subject=""),
        ]
        parts += [
            fault._replace(kind="held-orders", subject=one.name, for_s=HELD_S)
            for one in self.environment.engines.values()
            if one.model
        ]
        await asyncio.gather(*map(self._inject, parts))

    async def _do_held_orders(self, fault: schedule.Fault) -> None:
        await self._with_engine_fault(fault, "held_orders", True, False)

    async def _do_evacuate(self, fault: schedule.Fault) -> None:
        self.operator.write(f"evacuations/{fault.subject}", {})
        self.environment.record_change("evacuate", fault.subject)
        await asyncio.sleep(fault.for_s + 6.0)
        self.environment.record_change("return", fault.subject)
        self.operator.write(f"evacuations/{fault.subject}", None)
