"""An instance that reaches no engine, while callers and other instances reach it."""

import asyncio
import unittest

from cornelreach.gateway import catalogue
from test.gateway import harness as harness_module
from tools.soak import proxy

Kind = catalogue.Kind
Link = proxy.Link

PATHS = ("/safe/x", "/once/x", "/stream/x", "/resume/x")
CONNECT_MS = 100
LEARN_S = 1.0  # contact_ms of the settings is three times as long
PAUSE_S = 0.05
RUN_S = 0.02
SERVED_SHARE = 2 / 3


async def answer_or_stream(engine, head, body, writer):
    """Answer with a success, as a stream where its route is one."""
    await asyncio.sleep(RUN_S)
    path = head[""].split(" ")[1]
    if not path.startswith(("/stream/", "/resume/")):
        writer.write(engine.answer(head))
        return
    writer.write(engine.stream_head(head))
    for number in range(3):
        writer.write(harness_module.chunk(harness_module.event(number)))
    writer.write(b"0\r\n\r\n")


class CutOff(unittest.IsolatedAsyncioTestCase):
    """Two engines; one instance reaches them through links that fail, one directly."""

    async def start(self):
        """Start engines, links and the instances."""
        self.engines = [
            harness_module.Engine(f"e{number}", answer_or_stream) for number in range(2)
        ]
        self.links = []
        for engine in self.engines:
            await engine.start()
            self.links.append(proxy.Proxy(engine.address))
            await self.links[-1].start("127.0.0.1")
        found = harness_module.make_catalogue(
            [
                harness_module.route("/safe/", "s", Kind.IDEMPOTENT),
                harness_module.route("/once/", "s", Kind.AT_MOST_ONCE),
                harness_module.route("/stream/", "s", Kind.STREAM),
                harness_module.route("/resume/", "s", Kind.STREAM, resumable=True),
            ],
            [harness_module.plain_service("s")],
        )
        self.cut, self.sound = (
            harness_module.Harness(found, self.engines, "s", name, CONNECT_MS)
            for name in ("edge-1", "edge-2")
        )
        for engine, link in zip(self.engines, self.links, strict=True):
            self.cut.register(engine, "s", address=link.address)
        members = {}
        for one in (self.cut, self.sound):
            members.update(await one.join(members))
            await one.start()
            self.addAsyncCleanup(one.stop)
        for one in (self.cut, self.sound):
            one.gossip.members.update(members)
        for link in self.links:
            self.addCleanup(link.close)

    def set_links(self, link):
        """Set the fault of all links to engines."""
        for one in self.links:
            one.set_link(link)

    async def ask(self, prefix, rounds, at_once=1):
        """Send requests of each kind, some at once; return their statuses."""
        statuses = []
        for number in range(rounds):
            answers = await asyncio.gather(
                *(
                    self.cut.send(
                        path, x_cornelreach_request_id=f"{prefix}-{number}-{index}"
                    )
                    for index, path in enumerate(PATHS * at_once)
                )
            )
            statuses += [status for status, _ in answers]
            await asyncio.sleep(PAUSE_S)
        return statuses

    async def check(self, link):
        """Cut the links, and check that callers are served soon after."""
        await self.start()
        self.assertEqual(set(await self.ask("before", 2)), {200})
        self.set_links(link)
        learning = [
            asyncio.ensure_future(self.cut.send(path, x_cornelreach_request_id=path))
            for path in PATHS * 2
        ]
        await asyncio.sleep(LEARN_S)
        statuses = await self.ask("cut", 3, 4)
        served = statuses.count(200) / len(statuses)
        self.assertGreaterEqual(served, SERVED_SHARE, statuses)
        await asyncio.gather(*learning, return_exceptions=True)

    # Guards against callers being refused by an instance whose connections to engines
    # hang, while other instances reach them.
    async def test_callers_are_served_while_connections_hang(self):
        await self.check(Link.HUNG)

    # Guards against the same where connections are reset.
    async def test_callers_are_served_while_connections_are_reset(self):
        await self.check(Link.RESET)

    # Guards against the same where only new connections are refused.
    async def test_callers_are_served_while_new_connections_are_refused(self):
        await self.check(Link.REFUSED)
