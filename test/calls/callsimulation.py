"""Simulation of at-most-once calls: instances, platform, service, callers and faults.

It runs in virtual time. Messages can be slow or lost, instances can crash or pause at
any await, and links between data centres and to the platform can fail. ``run(seed)``
returns the history of one run.
"""

import asyncio
import random

import msgspec
from returns import result

from cornelreach.calls import (
    atmostonce,
    callmessages,
    claims,
    ledger,
    localattempts,
    refusals,
)
from cornelreach.peers import wire
from cornelreach.platform import results
from cornelreach.util import errors
from standins import platformmodel
from test import virtualloop
from test.calls import histories

NAMES = ("north", "south", "kranj")
CALL_WAIT_MS = 2_000
PLATFORM = "platform"


class Node:
    """One boot of an instance."""

    def __init__(self, simulation, name, boot):
        self.simulation = simulation
        self.name = name
        self.boot = boot
        self.resumed = asyncio.Event()
        self.resumed.set()
        self.tasks = set()
        clock = virtualloop.Clock(simulation.loop, simulation.random.uniform(-500, 500))
        attempts = localattempts.LocalAttempts(name, boot)
        claim_log = simulation.make_claim_log(
            name, Objects(self), Peers(self), self.members, clock, lambda: 3_600_000.0
        )
        self.runner = simulation.make_runner(attempts, claim_log, Service(self), clock)

    def members(self):
        """Return the instances that seem alive from here; changes show late."""
        return {
            name: name
            for name in NAMES
            if name == self.name or self.simulation.seems_alive(self.name, name)
        }

    async def step(self):
        """Wait while the instance is paused."""
        await self.resumed.wait()

    def spawn(self, coroutine):
        """Run a coroutine that is cancelled when the instance crashes."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def crash(self):
        """Crash the instance: cancel all of its tasks."""
        for task in list(self.tasks):
            task.cancel()
        await self.runner.close()
        await self.runner.claim_log.close()


class Objects:
    """The platform's model behind the network; implements results.ObjectStore."""

    def __init__(self, node):
        self.node = node

    async def _call(self, operate):
        await self.node.step()
        simulation = self.node.simulation
        answer = await simulation.exchange(
            self.node.name, PLATFORM, operate, CALL_WAIT_MS
        )
        await self.node.step()
        return answer

    async def get(self, key):
        """Return one object."""
        simulation = self.node.simulation
        found = await self._call(lambda: simulation.model.get(key, simulation.now_ms()))
        if isinstance(found, platformmodel.Object):
            value = msgspec.json.decode(found.value)
            return result.Success(results.Record(key, found.version, value))
        if isinstance(found, platformmodel.Missing):
            return result.Failure(results.NotFound(key))
        return result.Failure(results.Unavailable("unavailable"))

    async def list(self, prefix, after=""):
        """Return the objects after a key in one page."""
        simulation = self.node.simulation
        found = await self._call(
            lambda: simulation.model.page(prefix, after, 1_000, simulation.now_ms())
        )
        if not isinstance(found, platformmodel.Page):
            return result.Failure(results.Unavailable("unavailable"))
        records = tuple(
            results.Record(item.key, item.version, msgspec.json.decode(item.value))
            for item in found.items
        )
        return result.Success(results.Listing(found.revision, records))

    async def put(self, key, value, if_version=None, if_absent=False):
        """Write one object; a slow write may take effect after its caller timed out."""
        simulation, body = self.node.simulation, msgspec.json.encode(value)
        expected = 0 if if_absent else if_version
        return await self._write(
            key, lambda: simulation.model.put(key, body, expected, simulation.now_ms())
        )

    async def delete(self, key, if_version):
        """Delete one object."""
        simulation = self.node.simulation
        return await self._write(
            key, lambda: simulation.model.delete(key, if_version, simulation.now_ms())
        )

    async def _write(self, key, operate):
        found = await self._call(operate)
        if isinstance(found, platformmodel.Written):
            return result.Success(found.version)
        if isinstance(found, platformmodel.Mismatch):
            return result.Failure(results.Conflict(key, found.version))
        if isinstance(found, platformmodel.Missing):
            return result.Failure(results.NotFound(key))
        if isinstance(found, platformmodel.Throttled):
            return result.Failure(results.Unavailable("throttled"))
        return result.Failure(results.OutcomeUnknown(key, "lost"))


class Peers:
    """The network between instances; implements claims.Peers."""

    def __init__(self, node):
        self.node = node

    async def call(self, address, method, request, wait_ms):
        """Run the handler of a peer; its reply may be lost."""
        await self.node.step()
        simulation = self.node.simulation
        sent = msgspec.msgpack.encode((self.node.name, request))

        def operate():
            peer = simulation.nodes.get(address)
            if peer is None:
                return None
            decoder = msgspec.msgpack.Decoder(tuple[str, type(request)])
            return peer.spawn(self._handle(peer, method, decoder.decode(sent)[1]))

        reply = await simulation.exchange(self.node.name, address, operate, wait_ms)
        await self.node.step()
        if reply is None:
            return result.Failure(wire.PeerUnreachable(address, "no reply"))
        return result.Success(reply)

    async def _handle(self, peer, method, request):
        await peer.step()
        handlers = {
            "SubmitClaim": peer.runner.claim_log.handle_submit,
            "AskAttempt": peer.runner.handle_attempt_query,
            "ForwardTicket": peer.runner.handle_forward,
        }
        reply = await handlers[method.name](None, request)
        await peer.step()
        return reply


class Service:
    """A service that records every execution; implements atmostonce.ServiceSender."""

    def __init__(self, node):
        self.node = node

    async def send(self, call, begin):
        """Send one call; the answer, or the call itself, may be lost."""
        simulation = self.node.simulation
        await self.node.step()
        if simulation.chance(0.05):
            return atmostonce.NotSent(refusals.not_run("no connection", 100))
        await asyncio.sleep(simulation.latency_s())
        await self.node.step()
        try:
            begin()
        except localattempts.AttemptClosed:
            return atmostonce.NotSent(refusals.not_run("too late", 100))
        answer = await simulation.exchange(
            self.node.name, "service", lambda: simulation.execute(call), 4_000
        )
        await self.node.step()
        return (
            atmostonce.Lost("no answer")
            if answer is None
            else atmostonce.Answered(answer)
        )


class Exchange:
    """A request message, the operation that it triggers, and its reply."""

    def __init__(self, simulation, link, operate):
        self.simulation = simulation
        self.link = link
        self.operate = operate
        self.answered = simulation.loop.create_future()

    def arrive(self):
        """Carry out the operation unless the request is lost."""
        if self.simulation.loses(self.link):
            return
        found = self.operate()
        if isinstance(found, asyncio.Task):
            found.add_done_callback(self.reply_from)
        else:
            self.reply(found)

    def reply_from(self, task):
        """Reply with the result of an operation that ran as a task."""
        if not task.cancelled():
            self.reply(task.result())

    def reply(self, answer):
        """Send the reply unless it is lost."""
        if not self.simulation.loses(self.link[::-1]):
            self.simulation.loop.call_later(
                self.simulation.latency_s(), self.deliver, answer
            )

    def deliver(self, answer):
        """Pass the reply to the sender if it still waits."""
        if not self.answered.done():
            self.answered.set_result(answer)


class CallSimulation:
    """The simulation run of one seed."""

    def __init__(
        self,
        seed,
        loop,
        make_claim_log=claims.ClaimLog,
        make_runner=atmostonce.AtMostOnceRunner,
    ):
        self.random = random.Random(seed)
        self.loop = loop
        self.make_claim_log = make_claim_log
        self.make_runner = make_runner
        self.model = platformmodel.Model()
        self.history = []
        self.cut_links = set()
        self.nodes = {}
        self.crashed_ms = {}
        self.requests = 0
        self.lossy = self.random.choice((0.0, 0.02, 0.1))
        for name in NAMES:
            self.nodes[name] = Node(self, name, f"{name}-0")

    def now_ms(self):
        """Return the virtual time."""
        return self.loop.time() * 1_000

    def chance(self, share):
        """Return True with probability ``share``, but False in runs without faults."""
        return self.lossy > 0 and self.random.random() < share

    def loses(self, link):
        """Tell whether a message on a link is lost."""
        return link in self.cut_links or self.chance(self.lossy)

    def latency_s(self):
        """Return the latency of one message, occasionally of seconds."""
        if self.chance(0.02):
            return self.random.uniform(0.5, 4.0)
        return self.random.uniform(0.000_5, 0.01)

    def seems_alive(self, viewer, name):
        """Tell whether membership reports an instance as alive.

        A crash shows after 300 ms; a cut link shows in most cases.
        """
        crashed_ms = self.crashed_ms.get(name)
        if crashed_ms is not None and self.now_ms() - crashed_ms > 300:
            return False
        return (viewer, name) not in self.cut_links or self.random.random() < 0.3

    async def exchange(self, source, destination, operate, wait_ms):
        """Carry out an operation at another place; None if no reply arrives.

        An operation that was sent continues if its sender times out or crashes.
        """
        message = Exchange(self, (source, destination), operate)
        self.loop.call_later(self.latency_s(), message.arrive)
        try:
            async with asyncio.timeout(wait_ms / 1_000):
                return await message.answered
        except TimeoutError:
            return None

    def execute(self, call):
        """Run a call in the service."""
        body = f"{call.key}:{len(self.history)}".encode()
        request = int(call.content_type)
        key = call.key or f"unkeyed-{request}"
        self.history.append(histories.Executed(key, request, call.body, body))
        return ledger.Answer(200, "text/plain", body)

    async def request(self, name, key, body=b"book"):
        """Send a caller's request to an instance and record the outcome."""
        self.requests += 1
        number = self.requests
        wait_ms = self.random.choice((1_000, 3_000, 8_000))
        call = callmessages.ServiceCall(
            "a", "booking", "/", key, body, str(number), wait_ms
        )
        node = self.nodes.get(name)
        outcome, answer = "gone", b""
        if node is not None:
            task = node.spawn(node.runner.run(call))
            await asyncio.wait({task})
            if not task.cancelled():
                outcome, answer = _outcome(task.result())
        key = key or f"unkeyed-{number}"
        self.history.append(histories.Returned(key, number, body, outcome, answer))
        return outcome

    async def caller(self, key):
        """Repeat a call at random instances until it is answered."""
        await asyncio.sleep(self.random.uniform(0, 1.0))
        for _ in range(self.random.randint(1, 3)):
            body = b"other" if self.random.random() < 0.05 else b"book"
            outcome = await self.request(self.random.choice(NAMES), key, body)
            if outcome == "answer":
                return
            await asyncio.sleep(self.random.uniform(0, 0.3))

    def keys(self):
        """Return the keys of the run: two of callers, one ticket and an empty one."""
        issuer = self.nodes[self.random.choice(NAMES)]
        return ["k1", "k2", issuer.runner.issue_ticket(), ""]

    async def fault(self):
        """Inject one fault at a random time, and end it."""
        await asyncio.sleep(self.random.uniform(0, 2.0))
        kind = self.random.choice(
            (self.outage, self.lose_answers, self.crash, self.pause)
        )
        await self.random.choice((kind, kind, self.cut))()

    async def outage(self):
        """Make the platform unavailable."""
        outage_ms = self.random.uniform(100, 3_000)
        self.model.set_faults({"outage_ms": outage_ms}, self.now_ms())

    async def lose_answers(self):
        """Lose the answers of some writes that take effect."""
        count = self.random.randint(1, 4)
        self.model.set_faults({"lose_answers": count}, self.now_ms())

    async def crash(self):
        """Crash an instance and replace it by a new boot."""
        name = self.random.choice(NAMES)
        node = self.nodes.pop(name, None)
        if node is None:
            return
        self.crashed_ms[name] = self.now_ms()
        await node.crash()
        await asyncio.sleep(self.random.uniform(0.05, 2.0))
        del self.crashed_ms[name]
        self.nodes[name] = Node(self, name, f"{name}-{self.now_ms()}")

    async def pause(self):
        """Pause an instance for a while."""
        node = self.nodes.get(self.random.choice(NAMES))
        if node is not None:
            node.resumed.clear()
            await asyncio.sleep(self.random.uniform(0.1, 6.0))
            node.resumed.set()

    async def cut(self):
        """Cut a link of an instance, in one direction or both."""
        name = self.random.choice(NAMES)
        others = [other for other in (*NAMES, PLATFORM) if other != name]
        other = self.random.choice(others)
        links = self.random.choice(({(name, other)}, {(name, other), (other, name)}))
        self.cut_links |= links
        await asyncio.sleep(self.random.uniform(0.5, 4.0))
        self.cut_links -= links

    async def play(self):
        """Run callers and faults, then one last repeat of each key."""
        keys = self.keys()
        faults = self.random.randint(1, 4) if self.lossy else 0
        callers = [self.caller(key) for key in keys for _ in range(2)]
        await asyncio.gather(*callers, *(self.fault() for _ in range(faults)))
        self.lossy = 0.0
        await asyncio.sleep(5.0)
        for key in keys[:-1]:
            await self.request(self.random.choice(NAMES), key)
        for node in self.nodes.values():
            await node.crash()
        return self.history


def _outcome(call_result):
    if isinstance(call_result, result.Success):
        return "answer", call_result.unwrap().body
    ran = call_result.failure().ran
    outcomes = {
        errors.ExecutionStatus.NOT_RUN: "not_run",
        errors.ExecutionStatus.UNKNOWN: "unknown",
    }
    return outcomes.get(ran, "ran"), b""


def run(seed, loop, **factories):
    """Return the history of one seeded run."""

    async def play():
        return await CallSimulation(seed, loop, **factories).play()

    return virtualloop.run(play(), loop)
