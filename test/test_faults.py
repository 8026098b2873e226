"""Tests of the whole path over real processes that fail.

A site takes seconds to start, so each test provokes several failures in turn.
"""

import asyncio
import signal
import unittest

from cornelreach.http import client
from standins import turns
from test import sites

TOKENS = 120


async def collect(answer, count=None):
    """Read the parts of a stream, at most a count of bytes."""
    text = bytearray()
    parts = answer.parts()
    try:
        async for part in parts:
            text += part
            if count is not None and len(text) >= count:
                break
    except client.ResponseLost:
        pass
    finally:
        await parts.aclose()
    return text


class Streams(unittest.IsolatedAsyncioTestCase):
    """Streams whose instance stops, or whose engine or instance dies."""

    async def asyncSetUp(self):
        self.site = await sites.start(self)

    async def open(self, member, content="a notice"):
        """Start a long stream at an instance."""
        return await sites.open_stream(self.site, member, content, max_tokens=TOKENS)

    async def resume(self, member, run, after, headers=sites.HEADERS):
        """Resume a run at an instance; returns the answer."""
        return await self.site.http.send(
            client.parse_address(member.callers),
            "GET",
            f"/v1/streams/{run}?from={after}",
            headers=headers,
        )

    async def test_every_stream_is_whole(self):
        first, second, third = self.site.instances
        with self.subTest("an engine dies in mid stream"):
            await self.engine_dies(first)
        with self.subTest("another account and a forged identifier"):
            await self.strangers(first, second)
        with self.subTest("a graceful stop under load"):
            await self.graceful_stop(third)
        with self.subTest("the instance is killed and the stream resumed elsewhere"):
            await self.resumed_elsewhere(first, second)

    async def engine_dies(self, member):
        answer = await self.open(member)
        parts = answer.parts()
        text = bytearray(await anext(parts))
        for one in self.site.instances:
            engine = sites.process(self.site, f"drafter-{one.data_centre}")
            address = client.parse_address(engine.address)
            _, state, _ = await self.site.http.call(address, "GET", "/v1/state")
            if b'"running":1' in state:
                sites.kill(self.site, engine.name)
        async for part in parts:
            text += part
        numbers, found, done = sites.words(text)
        self.assertTrue(done)
        self.assertEqual(numbers, sorted(set(numbers)))
        self.assertEqual(len(found), TOKENS)

    async def strangers(self, first, second):
        answer = await self.open(first)
        run = answer.header("x-stream-id")
        wrong = ((b"authorization", b"Bearer nobody"),)
        refused = await self.resume(second, run, 0, wrong)
        self.assertEqual(refused.status, 401)
        forged = await self.resume(second, run[:-4] + "AAAA", 0)
        self.assertEqual(forged.status, 404)
        await collect(answer)

    async def graceful_stop(self, member):
        contents = [f"notice {number}" for number in range(3)]
        answers = await asyncio.gather(*(self.open(member, one) for one in contents))
        handle = sites.process(self.site, member.name).handle
        handle.send_signal(signal.SIGTERM)
        texts = await asyncio.gather(*(collect(answer) for answer in answers))
        for answer, text in zip(answers, texts, strict=True):
            _, found, done = sites.words(text)
            self.assertTrue(done)
            self.assertEqual(len(found), TOKENS)
            self.assertIn(answer.header("x-stream-id"), found)
        self.assertEqual(await handle.wait(), 0)

    async def resumed_elsewhere(self, first, second):
        answer = await self.open(first)
        run = answer.header("x-stream-id")
        head = await collect(answer, 600)
        sites.kill(self.site, first.name)
        numbers, before, _ = sites.words(head[: head.rfind(b"\n\n")])
        rest = await collect(await self.resume(second, run, numbers[-1]))
        later, after, done = sites.words(rest)
        self.assertTrue(done)
        self.assertEqual(later[0], numbers[-1] + 1)
        self.assertEqual(len(before) + len(after), TOKENS)
        self.assertIn(run, before + after)


class Fleet(unittest.IsolatedAsyncioTestCase):
    """Owners that die, a paused instance, the platform away, a direct take-out."""

    async def test_service_goes_on(self):
        self.site = await sites.start(self, instances=2)
        with self.subTest("a paused instance books once"):
            await self.paused_booking()
        with self.subTest("the tool sees its changes in force"):
            await self.tool_waits()
        with self.subTest("an owner dies and another admits to its cold target"):
            await self.owner_dies()
        with self.subTest("the platform is away"):
            await self.platform_away()
        with self.subTest("a data centre is taken out by a direct order"):
            await self.direct_take_out()

    def member(self, data_centre, number=1):
        """Return an instance by its place."""
        name = f"{data_centre}-{number}"
        return next(one for one in self.site.instances if one.name == name)

    async def paused_booking(self):
        first, second = self.member("kranj"), self.member("lj-south")
        call = asyncio.ensure_future(sites.book(self.site, first, "key-1"))
        await asyncio.sleep(0)
        handle = sites.process(self.site, first.name).handle
        handle.send_signal(signal.SIGSTOP)
        await asyncio.sleep(0.5)
        repeat = asyncio.ensure_future(sites.book(self.site, second, "key-1"))
        await asyncio.sleep(1)
        handle.send_signal(signal.SIGCONT)
        await asyncio.gather(call, repeat)

        async def recorded():
            status, _ = await sites.book(self.site, second, "key-1")
            return status == 201

        await sites.until(recorded)
        executed = await turns.executions(self.site.http, self.site.services)
        self.assertEqual([one["key"] for one in executed], ["key-1"])

    async def tool_waits(self):
        for change in (
            ("take-out", "lj-south", "--reason=works", "--wait"),
            ("bring-back", "lj-south", "--wait"),
        ):
            status, output = await sites.tool(self.site, *change)
            self.assertEqual(status, 0, output)

    async def pools_of(self, member):
        """Return the pools that an instance owns, by name."""
        status = await self.site.status(member)
        return {pool["pool"]: pool for pool in status["pools"]}

    async def owner_dies(self):
        pair = [self.member("lj-north", 1), self.member("lj-north", 2)]
        owned = [await self.pools_of(one) for one in pair]
        dead = 0 if "lj-north/drafter" in owned[0] else 1
        sites.kill(self.site, pair[dead].name)
        self.survivor = pair[1 - dead]

        async def admits():
            pools = await self.pools_of(self.survivor)
            return pools.get("lj-north/drafter", {}).get("room_sequences")

        await sites.until(admits)

    async def platform_away(self):
        sites.kill(self.site, "platform")
        status, _ = await sites.chat(self.site, self.survivor, "a notice")
        self.assertEqual(status, 200)
        status, refused = await sites.book(self.site, self.survivor, "key-2")
        self.assertEqual((status, refused["error"]["ran"]), (503, "not_run"))

    async def direct_take_out(self):
        directive = {"state": "taken_out", "reason": "fire", "operator": "ana"}
        member = self.member("kranj")
        path = "/admin/data-centres/kranj"
        self.assertEqual(await sites.order(self.site, member, path, directive), 202)

        async def avoided():
            before = await self.cached("kranj")
            calls = [
                sites.chat(self.site, self.survivor, f"notice {number}", max_tokens=1)
                for number in range(9)
            ]
            answers = await asyncio.gather(*calls)
            self.assertEqual({status for status, _ in answers}, {200})
            return await self.cached("kranj") == before

        await sites.until(avoided)

    async def cached(self, data_centre):
        """Return the cache listing of a data centre's drafter."""
        engine = sites.process(self.site, f"drafter-{data_centre}")
        address = client.parse_address(engine.address)
        _, body, _ = await self.site.http.call(address, "GET", "/v1/cache")
        return body
