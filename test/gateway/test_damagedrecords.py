"""Records that another writer has damaged, through the real client and watchers.

The store's answers are text, so a damage may be anything that stands in a body.
"""

import json
import unittest
import urllib.parse

import hypothesis
from hypothesis import strategies

from cornelreach.gateway import catalogue, edge as edge_module, requeststate, selection
from cornelreach.http import messages
from cornelreach.platform import headers, records
from test.gateway import harness, test_outages

ENTRY = test_outages.SERVER
CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "r",
            "hostname": harness.HOST,
            "path_prefix": "/",
            "route_type": "idempotent",
            "timeout_ms": 1_000,
            "service": "s",
            "allow_anonymous": True,
        }
    ],
    "services": [{"name": "s"}],
    "limits": {
        "max_header_bytes": 16_384,
        "max_body_bytes": 65_536,
        "header_timeout_ms": 1_000,
        "idle_timeout_ms": 1_000,
    },
}
LEASE = {"holder": "x", "boot": "y", "fence": 1, "term_ms": 9_000, "attempt": "z"}
INSTANCE = {"data_centre": "x", "peer_address": "10.0.0.8:1", "state": "live"}
# One good value of each kind of record, and the name under which it is damaged.
KINDS = {
    "servers": ("x", ENTRY),
    "config": ("main", {**CONFIG, "version": 2}),
    "evacuations": ("x", {"reason": "x"}),
    "versions": ("m", {"model": "m", "version": 2}),
    "software": ("s", {"versions": ["v1"]}),
    "instances": ("x", {**INSTANCE, "power": 1.5}),
    "leases": ("rollout", LEASE),
    "quarantines": ("part", {"trials": 1}),
}
DEEP = b"[" * 100_000 + b"]" * 100_000
DAMAGES = {
    "null": b"null",
    "text": b'"x"',
    "empty text": b'""',
    "list": b"[]",
    "object": b'{"a": 1}',
    "deep": DEEP,
    "fairly deep": b'{"a":' * 800 + b"1" + b"}" * 800,
    "negative": b"-1",
    "beyond 64 bits": b"1" + b"0" * 30,
    "very many digits": b"1" * 5_000,
    "no float": b"1e999",
    "small float": b"1e-999",
    "not a number": b"NaN",
    "infinite": b"Infinity",
    "no text": b'"\xff\xfe\x00"',
    "half a character": b'"\\ud800"',
    "control characters": b'"\\u0000\\u0007"',
    "very long": b'"' + b"x" * 200_000 + b'"',
    "true": b"true",
}
ADDRESSES = (
    "10.0.0.1",
    "10.0.0.1:",
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:99999999999999999999",
    "10.0.0.1:-1",
    "10.0.0.256:80",
    "some-name:80",
    ":80",
    "[::1:80",
    "http://10.0.0.1:80",
    "10.0.0.1:80 ",
    "\u0663.0.0.1:80",
)


def damaged_values(value):
    """Yield a value with each field missing, or damaged in each way."""
    for damage in DAMAGES.values():
        yield damage
    for name in value:
        others = {key: one for key, one in value.items() if key != name}
        yield json.dumps(others).encode()
        start = json.dumps(others)[:-1] + (", " if others else "")
        for damage in DAMAGES.values():
            yield f"{start}{json.dumps(name)}: ".encode() + damage + b"}"
        doubled = json.dumps(value)[:-1]
        yield f"{doubled}, {json.dumps(name)}: []}}".encode()


class Store:
    """The store as an HTTP client; values are raw text."""

    def __init__(self):
        self.revision = 1
        self.changes = []

    def write(self, key, value):
        """Write a value, or delete the object with None; bytes are written as is."""
        self.revision += 1
        if value is not None and not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.changes.append((key, self.revision, value))

    async def call(self, address, method, path, body, fields, wait_ms):
        """Answer a list or watch; nothing may be written."""
        if method != "GET":
            return 503, b"", ()
        url = urllib.parse.urlsplit(path)
        kind = url.path.rpartition("/")[2]
        query = dict(urllib.parse.parse_qsl(url.query))
        since = int(query.get("watch", 0))
        found = [
            one
            for one in self.changes
            if one[1] > since and one[0].startswith(f"{kind}/")
        ]
        if "watch" in query:
            text = b"[" + b",".join(self._event(*one) for one in found) + b"]"
            text = b'{"events":' + text
        else:
            newest = {key: (key, *rest) for key, *rest in found}
            items = (self._object(*one) for one in newest.values() if one[2])
            text = b'{"items":[' + b",".join(items) + b'],"more_pages":false'
        return 200, text + b',"store_revision":%d}' % self.revision, ()

    def _object(self, key, revision, value):
        metadata = {"name": key.partition("/")[2], "revision": revision}
        head = b'{"metadata":' + json.dumps(metadata).encode()
        return head + b',"spec":' + (value or b"null") + b"}"

    def _event(self, key, revision, value):
        head = b'{"object":' + self._object(key, revision, value)
        return head + b',"deleted":' + (b"false" if value else b"true") + b"}"


class DamagedRecords(unittest.IsolatedAsyncioTestCase):
    """One instance that follows the store while another writer damages records."""

    async def asyncSetUp(self):
        self.store = Store()
        self.store.write("config/main", CONFIG)
        self.store.write("servers/t1", ENTRY)
        self.edge = await self.start_edge()

    async def start_edge(self):
        """Start an instance that has read everything once."""
        edge = edge_module.Edge(test_outages.make_site("a"), "no-file")
        edge.objects.http = self.store
        edge.prompt_store_watcher.configure = lambda catalogue: None
        edge._apply_catalogue = lambda: None
        edge.watchers[0].handler.applied = lambda: None
        for watcher in edge.watchers:
            watcher.timing = watcher.timing._replace(batch_ms=0.0)
        await self.read(edge)
        return edge

    async def read(self, edge):
        """Let each watcher make one call."""
        for watcher in edge.watchers:
            await watcher.poll()
            self.assertIsNone(watcher.lost_ms, watcher.handler.prefix)

    def check(self, edge, targets=("t1",)):
        """Check that requests are sent, and to sound targets only."""
        config = edge.mirror.catalogue
        route = config.match(harness.HOST, "/x")
        request = messages.Request("GET", "/x", {}, (), b"", b"/x", 0.0)
        call = headers.read_call(())
        for _ in range(3):
            state = requeststate.RequestState(request, call, route, None, "s", 0.015)
            chosen = edge.selector.choose(state)
            self.assertIsInstance(chosen, selection.Choice)
            self.assertIn(chosen.target.id, targets)
        edge.gossip.broadcast()
        edge.software_versions.check()

    async def play(self, kind, value, edge=None):
        """Write a damaged value, read it, and check; then the same from a list."""
        edge = edge or self.edge
        name, good = KINDS[kind]
        self.store.write(f"{kind}/{name}", value)
        await self.read(edge)
        self.check(edge, ("t1", name))

    async def play_alone(self, kind, value, edge):
        """Play a damaged value, and leave nothing of it to the next one."""
        await self.play(kind, value, edge)
        self.store.write(f"{kind}/{KINDS[kind][0]}", None)
        await self.read(edge)

    # Guards against the loss of all service because of one entry of another writer.
    async def test_every_kind_of_record_damaged_in_every_way(self):
        for kind, (name, good) in KINDS.items():
            for value in damaged_values(good):
                with self.subTest(kind=kind, value=value[:120]):
                    await self.play(kind, value)
            self.store.write(f"{kind}/{name}", None)
            await self.read(self.edge)

    # Guards against the same at an instance that starts while such an entry lies there.
    async def test_lists_with_damaged_records_are_read(self):
        for kind, (name, _) in KINDS.items():
            if kind == "config":
                continue
            for number, damage in enumerate(DAMAGES.values()):
                self.store.write(f"{kind}/{name}-{number}", damage)
        edge = await self.start_edge()
        self.check(edge)
        self.store.write("servers/t1", None)
        self.store.write("servers/t2", ENTRY)
        await self.read(edge)
        self.check(edge, ("t2",))

    # Guards against requests that all fail because one address cannot be read.
    async def test_an_entry_whose_address_cannot_be_read_names_no_target(self):
        for address in ADDRESSES:
            with self.subTest(address=address):
                self.store.write("servers/x", {**ENTRY, "address": address})
                await self.read(self.edge)
                self.assertNotIn("x", self.edge.mirror.registry.targets)
                self.check(self.edge)

    # Guards against the use of a target whose entry has become unreadable.
    async def test_a_good_entry_that_becomes_unreadable_names_no_target(self):
        for damage in (DEEP, b"null", json.dumps({**ENTRY, "slots": -1}).encode()):
            self.store.write("servers/x", ENTRY)
            await self.read(self.edge)
            self.assertIn("x", self.edge.mirror.registry.targets)
            self.store.write("servers/x", damage)
            await self.read(self.edge)
            self.assertNotIn("x", self.edge.mirror.registry.targets)
            self.check(self.edge)

    def test_any_value_in_any_field(self):
        texts = strategies.text(max_size=20)
        numbers = strategies.integers() | strategies.floats()
        leaves = strategies.none() | strategies.booleans() | numbers | texts
        values = strategies.recursive(
            leaves,
            lambda inner: (
                strategies.lists(inner, max_size=3)
                | strategies.dictionaries(texts, inner, max_size=3)
            ),
            max_leaves=6,
        )
        # Not the configuration: a valid one may name no service.
        fields = [
            (kind, name)
            for kind, (_, good) in KINDS.items()
            for name in good
            if kind != "config"
        ]
        edge = self.edge

        @hypothesis.settings(max_examples=200, deadline=None)
        @hypothesis.given(strategies.sampled_from(fields), values)
        def play(field, value):
            kind, name = field
            good = KINDS[kind][1]
            text = json.dumps({**good, name: value}).encode()
            self._asyncioRunner.run(self.play_alone(kind, text, edge))

        play()


class Kinds(unittest.TestCase):
    """The table of kinds above is that of the watchers."""

    def test_every_watched_kind_is_damaged(self):
        edge = edge_module.Edge(test_outages.make_site("a"), "no-file")
        watched = {one.handler.prefix for one in edge.watchers}
        self.assertEqual(watched, {f"{kind}/" for kind in KINDS})
        self.assertIn(records.TARGETS, watched)
        self.assertIs(records.ROUTE_KINDS["idempotent"], catalogue.Kind.IDEMPOTENT)
