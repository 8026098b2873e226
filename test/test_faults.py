"""End-to-end tests with real processes that are killed, paused or stopped.

A site takes seconds to start, so each test causes several failures in turn.
"""

import asyncio
import signal
import unittest

from cornelreach.http import client
from standins import turns
from test import sites

TOKENS = 120


async def collect(answer, count=None):
    """Read a stream to its end, or until at least ``count`` bytes have arrived."""
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


class StreamFaultsTest(unittest.IsolatedAsyncioTestCase):
    """Streams continue when their instance stops, or an engine or instance dies."""

    async def asyncSetUp(self):
        self.site = await sites.start(self)

    async def open(self, member, content="a notice"):
        """Start a long stream at an instance."""
        return await sites.open_stream(self.site, member, content, max_tokens=TOKENS)

    async def resume(self, member, run, after, headers=sites.HEADERS):
        """Resume a run at an instance; returns the response."""
        return await self.site.http.send(
            client.parse_address(member.callers),
            "GET",
            f"/v1/streams/{run}?from={after}",
            headers=headers,
        )

    async def test_streams_complete(self):
        first, second, third = self.site.instances
        with self.subTest("an engine dies during a stream"):
            await self.check_engine_crash(first)
        with self.subTest("another account and a forged identifier"):
            await self.check_access(first, second)
        with self.subTest("a graceful stop under load"):
            await self.check_graceful_stop(third)
        with self.subTest(
            "the instance is killed and the stream is resumed at another"
        ):
            await self.check_resume_elsewhere(first, second)

    async def check_engine_crash(self, member):
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
        event_ids, words, done = sites.words(text)
        self.assertTrue(done)
        self.assertEqual(event_ids, sorted(set(event_ids)))
        self.assertEqual(len(words), TOKENS)

    async def check_access(self, first, second):
        answer = await self.open(first)
        run = answer.header("x-stream-id")
        wrong_key = ((b"authorization", b"Bearer nobody"),)
        refused = await self.resume(second, run, 0, wrong_key)
        self.assertEqual(refused.status, 401)
        forged = await self.resume(second, run[:-4] + "AAAA", 0)
        self.assertEqual(forged.status, 404)
        await collect(answer)

    async def check_graceful_stop(self, member):
        contents = [f"notice {number}" for number in range(3)]
        answers = await asyncio.gather(*(self.open(member, one) for one in contents))
        handle = sites.process(self.site, member.name).handle
        handle.send_signal(signal.SIGTERM)
        texts = await asyncio.gather(*(collect(answer) for answer in answers))
        for answer, text in zip(answers, texts, strict=True):
            _, words, done = sites.words(text)
            self.assertTrue(done)
            self.assertEqual(len(words), TOKENS)
            self.assertIn(answer.header("x-stream-id"), words)
        self.assertEqual(await handle.wait(), 0)

    async def check_resume_elsewhere(self, first, second):
        answer = await self.open(first)
        run = answer.header("x-stream-id")
        received = await collect(answer, 600)
        sites.kill(self.site, first.name)
        event_ids, before, _ = sites.words(received[: received.rfind(b"\n\n")])
        remainder = await collect(await self.resume(second, run, event_ids[-1]))
        later_ids, after, done = sites.words(remainder)
        self.assertTrue(done)
        self.assertEqual(later_ids[0], event_ids[-1] + 1)
        self.assertEqual(len(before) + len(after), TOKENS)
        self.assertIn(run, before + after)


class FleetFaultsTest(unittest.IsolatedAsyncioTestCase):
    """A paused instance, a dead pool owner, a platform outage and a direct take-out."""

    async def test_service_continues(self):
        self.site = await sites.start(self, instances=2)
        with self.subTest("a paused instance books once"):
            await self.check_paused_booking()
        with self.subTest("the tool waits until its changes are in force"):
            await self.check_tool_waits()
        with self.subTest(
            "an owner dies and its successor admits calls to the cold target"
        ):
            await self.check_owner_crash()
        with self.subTest("the platform is unavailable"):
            await self.check_platform_outage()
        with self.subTest("a data centre is taken out by a direct directive"):
            await self.check_direct_take_out()

    def member(self, data_centre, number=1):
        """Return an instance by its data centre and number."""
        name = f"{data_centre}-{number}"
        return next(one for one in self.site.instances if one.name == name)

    async def check_paused_booking(self):
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

    async def check_tool_waits(self):
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

    async def check_owner_crash(self):
        pair = [self.member("lj-north", 1), self.member("lj-north", 2)]
        owned = [await self.pools_of(one) for one in pair]
        owner_index = 0 if "lj-north/drafter" in owned[0] else 1
        sites.kill(self.site, pair[owner_index].name)
        self.survivor = pair[1 - owner_index]

        async def admits():
            pools = await self.pools_of(self.survivor)
            return pools.get("lj-north/drafter", {}).get("room_sequences")

        await sites.until(admits)

    async def check_platform_outage(self):
        sites.kill(self.site, "platform")
        status, _ = await sites.chat(self.site, self.survivor, "a notice")
        self.assertEqual(status, 200)
        status, refused = await sites.book(self.site, self.survivor, "key-2")
        self.assertEqual((status, refused["error"]["ran"]), (503, "not_run"))

    async def check_direct_take_out(self):
        directive = {"state": "taken_out", "reason": "fire", "operator": "ana"}
        member = self.member("kranj")
        path = "/admin/data-centres/kranj"
        self.assertEqual(await sites.order(self.site, member, path, directive), 202)

        async def avoided():
            before = await self.cache_listing("kranj")
            calls = [
                sites.chat(self.site, self.survivor, f"notice {number}", max_tokens=1)
                for number in range(9)
            ]
            answers = await asyncio.gather(*calls)
            self.assertEqual({status for status, _ in answers}, {200})
            return await self.cache_listing("kranj") == before

        await sites.until(avoided)

    async def cache_listing(self, data_centre):
        """Return the cache listing of a data centre's drafter."""
        engine = sites.process(self.site, f"drafter-{data_centre}")
        address = client.parse_address(engine.address)
        _, body, _ = await self.site.http.call(address, "GET", "/v1/cache")
        return body
