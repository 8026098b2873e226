"""Instances in front of engines, with links between them that fail."""

import asyncio
import unittest

from cornelreach.gateway import catalogue
from test.gateway import harness as harness_module
from tools.soak import proxy

Kind = catalogue.Kind
Link = proxy.Link

CONNECT_MS = 100
RUN_S = 0.02


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


class Case(unittest.IsolatedAsyncioTestCase):
    """Two engines and some instances; the first ones reach engines through links."""

    async def start(self, script=answer_or_stream, linked=1, direct=1, born_ms=1):
        """Start engines, links and instances that know each other."""
        self.engines = [
            harness_module.Engine(f"e{number}", script) for number in range(2)
        ]
        self.links = []
        for engine in self.engines:
            await engine.start()
            self.links.append(proxy.Proxy(engine.address))
            await self.links[-1].start("127.0.0.1")
            self.addCleanup(self.links[-1].close)
        self.instances = []
        members = {}
        for number in range(linked + direct):
            one = harness_module.Harness(
                self.catalogue(), self.engines, "s", f"edge-{number}", CONNECT_MS
            )
            members.update(await one.join(members))
            await one.start()
            self.addAsyncCleanup(one.stop)
            self.instances.append(one)
        for one in self.instances:
            one.gossip.members.update(members)
            one.gossip.broadcast()
        for one in self.instances[:linked]:
            for engine, link in zip(self.engines, self.links, strict=True):
                one.register(engine, "s", address=link.address)
        self.cut, self.sound = self.instances[0], self.instances[-1]
        await asyncio.sleep(RUN_S)  # the first reports

    def catalogue(self, version=1):
        """Return a configuration with a route of each kind."""
        return harness_module.make_catalogue(
            [
                harness_module.route("/safe/", "s", Kind.IDEMPOTENT),
                harness_module.route("/once/", "s", Kind.AT_MOST_ONCE),
                harness_module.route("/stream/", "s", Kind.STREAM),
                harness_module.route("/resume/", "s", Kind.STREAM, resumable=True),
            ],
            [harness_module.plain_service("s")],
            version,
        )

    def set_links(self, link):
        """Set the fault of all links to engines."""
        for one in self.links:
            one.set_link(link)

    def lose(self, instance):
        """Let an instance know that it reaches no engine."""
        for engine in self.engines:
            instance.mirror.registry.eject(
                engine.name, "lost", instance.clock.now_ms(), unreached=True
            )

    def requests(self):
        """Return the requests that reached engines, without probes."""
        return [
            head
            for engine in self.engines
            for head, _ in engine.requests
            if not head[""].startswith("GET ")
        ]
