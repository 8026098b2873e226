"""An instance that reaches no engine, while callers and other instances reach it."""

import asyncio

from test.gateway import links

Link = links.Link

PATHS = ("/safe/x", "/once/x", "/stream/x", "/resume/x")
LEARN_S = 1.0  # contact_ms of the settings is three times as long
PAUSE_S = 0.05
SERVED_SHARE = 2 / 3


class CutOff(links.Case):
    """Two engines; one instance reaches them through links that fail, one directly."""

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
        await self.check_cut(link)

    async def check_cut(self, link):
        """Cut the links, and check that callers are served a moment later."""
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

    # Guards against the same where one engine has named a limit: nothing is sent to it,
    # so that it does not show that it is out of reach as well.
    async def test_callers_are_served_beside_an_engine_at_its_limit(self):
        await self.start()
        self.assertEqual(set(await self.ask("before", 2)), {200})
        registry = self.cut.mirror.registry
        born_ms = registry.targets["e1"].born_ms
        registry.set_limit("e1", born_ms, 0.01, self.cut.clock.now_ms())
        await self.check_cut(Link.RESET)

    # Guards against each engine that starts again being tried at once by an instance
    # that reaches none: the connections of these tries are reset as well.
    async def test_callers_are_served_while_engines_start_again(self):
        await self.start()
        self.assertEqual(set(await self.ask("before", 2)), {200})
        self.set_links(Link.RESET)
        await self.ask("learning", 2)
        await asyncio.sleep(LEARN_S)
        statuses = []
        for born_ms in range(2, 8):
            for engine, link in zip(self.engines, self.links, strict=True):
                self.cut.register(engine, "s", address=link.address, born_ms=born_ms)
                self.sound.register(engine, "s", born_ms=born_ms)
            statuses += await self.ask(f"cut-{born_ms}", 1, 2)
        served = statuses.count(200) / len(statuses)
        self.assertGreaterEqual(served, SERVED_SHARE, statuses)
