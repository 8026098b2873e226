"""Requests with and without keys on routes that may be used without one."""

import unittest

import msgspec

from cornelreach.gateway import catalogue, detours
from test.gateway import harness as harness_module, links

Kind = catalogue.Kind
ENGINE = catalogue.Engine(48, 60_000, ("m",))
TENANT, SALT = "x-cornelreach-tenant", "x-cornelreach-cache-salt"
PROMPT = {
    "x_cornelreach_model": "m",
    "x_cornelreach_token_counts": "410,20",
    "x_cornelreach_prompt_prefix": "aa:400,bb:10",
}
ACCOUNTS = {
    "key-bank": catalogue.Account("bank", True, 0, frozenset({"north"})),
    "key-shop": catalogue.Account("shop", False, None, frozenset()),
}


def make_catalogue(version, is_open, accounts=ACCOUNTS):
    """Return a configuration with a route that may be used without a key or not."""
    return harness_module.make_catalogue(
        [
            harness_module.route("/x/", "s", Kind.IDEMPOTENT, anonymous=is_open),
            harness_module.route("/prompt/", "m", Kind.IDEMPOTENT, anonymous=is_open),
        ],
        [
            harness_module.plain_service("s"),
            harness_module.plain_service("m", engine=ENGINE),
        ],
        version,
        accounts,
    )


class OpenRoutes(unittest.IsolatedAsyncioTestCase):
    """An instance whose routes are opened while clients go on to send keys."""

    async def asyncSetUp(self):
        self.engine = harness_module.Engine("e", harness_module.answer_ok)
        await self.engine.start()
        self.harness = harness_module.Harness(
            make_catalogue(1, False), [self.engine], "s"
        )
        prompts = harness_module.Engine("p", harness_module.answer_ok)
        await prompts.start()
        self.harness.engines.append(prompts)
        self.harness.register(prompts, "m", versions={"m": 1})
        self.harness.selector.regions = {"lj": "north"}
        await self.harness.start()
        self.addAsyncCleanup(self.harness.stop)

    async def head(self, key, path="/x/1", **fields):
        """Return the header that an engine gets of a request that is served."""
        for engine in self.harness.engines:
            engine.requests.clear()
        status, _ = await self.harness.send(path, x_api_key=key, **fields)
        self.assertEqual(status, 200)
        (found,) = [one for e in self.harness.engines for one, _ in e.requests]
        return found

    async def status(self, key):
        """Return the status of a request."""
        return (await self.harness.send("/x/1", x_api_key=key))[0]

    # Guards against requests with a key that run for no account once their route may be
    # used without one, or is closed again.
    async def test_a_key_names_its_account_on_a_route_that_is_opened(self):
        for version, is_open in ((1, False), (2, True), (3, False)):
            self.harness.mirror.apply_catalogue(make_catalogue(version, is_open))
            for key, account in ACCOUNTS.items():
                head = await self.head(key, x_cornelreach_tenant="forged")
                self.assertEqual(head[TENANT], account.name)
                self.assertNotIn("x-api-key", head)

    # Guards against an isolated account's prompts being shared on such a route, and
    # its priority and regions being left out of account.
    async def test_the_account_keeps_its_isolation_priority_and_regions(self):
        self.harness.mirror.apply_catalogue(make_catalogue(2, True))
        bank = await self.head("key-bank", "/prompt/1", **PROMPT)
        shop = await self.head("key-shop", "/prompt/1", **PROMPT)
        nobody = await self.head(None, "/prompt/1", **PROMPT)
        self.assertEqual(shop[SALT], nobody[SALT])
        self.assertNotEqual(bank[SALT], shop[SALT])
        priority = "x-cornelreach-request-priority"
        self.assertLess(int(bank[priority]), int(shop[priority]))
        self.harness.selector.regions = {"lj": "south"}
        self.assertEqual(await self.status("key-bank"), 503)
        self.assertEqual(await self.status("key-shop"), 200)

    # Guards against requests without a key being refused on such a route, or running
    # for an account that they only name.
    async def test_requests_without_a_key_run_for_no_account(self):
        self.harness.mirror.apply_catalogue(make_catalogue(2, True))
        for key in (None, ""):
            head = await self.head(key, x_cornelreach_tenant="bank")
            self.assertNotIn(TENANT, head)

    # Guards against requests running whose key no account holds, or holds no longer.
    async def test_unknown_and_revoked_keys_are_refused(self):
        self.harness.mirror.apply_catalogue(make_catalogue(2, True))
        self.assertEqual(await self.status("key-none"), 401)
        self.assertEqual(await self.status("key-shop"), 200)
        kept = {"key-bank": ACCOUNTS["key-bank"]}
        self.harness.mirror.apply_catalogue(make_catalogue(3, True, kept))
        self.assertEqual(await self.status("key-shop"), 401)

    # Guards against an instance that cannot know whether a key was revoked using it,
    # or running its request for nobody.
    async def test_keys_are_not_used_without_a_fresh_configuration(self):
        self.harness.mirror.apply_catalogue(make_catalogue(2, True))
        self.harness.mirror.proof_ms = self.harness.clock.now_ms() - 5_000
        self.assertEqual(await self.status("key-shop"), 503)
        self.assertEqual(await self.status(None), 200)


class Detours(links.Case):
    """Requests on an open route that pass through another instance."""

    async def start(self, *arguments, **changes):
        await super().start(*arguments, **changes)
        self.lose(self.cut)

    def catalogue(self, version=1):
        """Return a configuration whose route is open."""
        return make_catalogue(version, True)

    # Guards against a request with a key that runs for nobody at another instance.
    async def test_the_account_is_kept_on_the_way_through_another_instance(self):
        await self.start()
        status, _ = await self.cut.send("/x/1", x_api_key="key-shop")
        self.assertEqual(status, 200)
        status, _ = await self.cut.send("/x/1", x_api_key=None)
        self.assertEqual(status, 200)
        found = [one.get(TENANT) for one in self.requests()]
        self.assertEqual(found, ["shop", None])

    # Guards against the same at an instance of an earlier release, which cannot read an
    # order with an account, and so declines; it reads those of other requests.
    async def test_an_earlier_release_gets_no_key_that_it_would_not_use(self):
        orders = []

        async def note(engine, head, body, writer):
            orders.append(msgspec.json.decode(head["cornelreach-detour"]))
            report = 'cornelreach-detour: [true,"",""]\r\n'
            writer.write(engine.answer(head, 503, b"", False, report))

        await self.start(linked=2, direct=0)
        for one in self.instances:
            self.lose(one)
        peer = harness_module.Engine("peer", note)
        await peer.start()
        self.addCleanup(peer.server.close)
        host, _, port = peer.address.partition(":")
        members = self.cut.gossip.members
        members["edge-1"] = members["edge-1"]._replace(host=host, port=int(port))
        await self.cut.send("/x/1", x_api_key="key-shop")
        self.cut.forwarder.dependencies.detours._declined.clear()
        await self.cut.send("/x/1", x_api_key=None)
        earlier_length = len(detours.Order._fields) - 1
        self.assertEqual(
            [len(one) for one in orders], [earlier_length + 1, earlier_length]
        )
        self.assertEqual(orders[0][-1], "shop")
