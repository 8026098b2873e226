"""Fuzz cases: one for each decoder or parser, with its input and its checks.

A case passes if the code under test accepts the input or rejects it with an expected
error; any other exception is a failure. ``tools.fuzz`` runs the cases for longer than
the test suite does.
"""

import asyncio
import contextlib
import random
import typing

import msgspec
from hypothesis import strategies
from returns import result

from cornelreach.calls import chat, sse, streams
from cornelreach.fleet import noderunner, notes, peermessages
from cornelreach.http import client, messages, server
from cornelreach.peers import wire
from cornelreach.pools import methods, ownerships, pooldirectory, prober
from cornelreach.prompts import directory, documents, follower, plans, transferclient
from cornelreach.settings import document, items, state, view
from cornelreach.targets import permits
from cornelreach.ui import options
from cornelreach.util import decoding, errors, timers
from test.fuzz import shapes

ADDRESS = client.Address("127.0.0.1", 1)
TARGET = items.Target("one", "store", "north", "127.0.0.1:1")
SENDER = wire.Sender("one", "north", "b1", 7)
BOOTS = strategies.sampled_from(["b1", "b2", ""])
HEX = strategies.sampled_from(["a" * 32, "b" * 32, "", "zz", "_1", "-1"])


class FixedResponses:
    """An HTTP client that returns the same response to every call."""

    def __init__(self, body: bytes, boot: bytes = b"b1") -> None:
        self.body = body
        self.boot = boot

    async def call(self, *_: object, **__: object) -> tuple:
        """Return the response."""
        return 200, self.body, ((b"x-boot-id", self.boot),)


class ReportChecker:
    """Receives the reports of a prober and checks them."""

    owned_pools: typing.ClassVar[dict] = {}

    def report(self, pool: str, report: permits.Report, version: str) -> None:
        """Check that the fields of a report have the declared types."""
        msgspec.convert(tuple(report), permits.Report)
        msgspec.convert(version, str)


def engine_state(given: tuple[bytes, bytes]) -> None:
    """Give a prober one response of a target."""

    async def run() -> None:
        clock = timers.VirtualTimers()
        subject = prober.Prober(FixedResponses(*given), clock, ReportChecker(), dict)
        await subject._probe("p", TARGET, 0.0)

    asyncio.run(run())


def cache_answers(body: bytes) -> None:
    """Give a follower the same response to each of its calls."""

    async def run() -> None:
        known = directory.Directory()
        subject = follower.Follower(
            FixedResponses(body),
            timers.VirtualTimers(),
            known,
            documents.KeyIndex(),
            random.Random(1),
        )
        for step in (
            subject._fetch_state,
            subject._fetch_listing,
            subject._poll,
            subject._poll,
        ):
            with contextlib.suppress(*follower.FAILURES):
                await step(TARGET)
        for state_held in subject.store_states.values():
            follower.used_share(state_held)
        known.lookup(["a" * 32])

    asyncio.run(run())


def transfer_answers(body: bytes) -> None:
    """Give a transfer client the same response to each of its calls."""

    async def run() -> None:
        subject = transferclient.TransferClient(FixedResponses(body))
        exported = await subject.export_blocks(ADDRESS, ADDRESS, ["a" * 32], 1_000)
        assert set(exported) <= {"a" * 32}, exported
        outcome = await subject.import_blocks(ADDRESS, ADDRESS, ["a" * 32], 1_000)
        assert set(outcome.keys) <= {"a" * 32}, outcome

    asyncio.run(run())


def engine_stream(data: bytes) -> None:
    """Parse an engine's stream from one chunk and from two."""
    found = []
    for parts in ([data], [data[: len(data) // 2], data[len(data) // 2 :]]):
        reader = sse.EventParser()
        with contextlib.suppress(sse.MalformedStream):
            found.append([event for part in parts for event in reader.feed(part)])
    for event in found[0] if found else ():
        with contextlib.suppress(sse.MalformedStream):
            chunk = sse.decode(event.data)
            sse.delta_text(chunk), sse.is_final(chunk)
            usage = chunk.get("usage") or {}
            usage.get("cached_tokens", 0)


def caller_body(body: bytes) -> None:
    """Parse the body of a caller's chat request."""
    parsed = chat.parse("a", body, None, None)
    assert isinstance(parsed, result.Result)


def stream_identifier(text: str) -> None:
    """Verify an invalid stream identifier."""
    ring = streams.KeyRing([b"k"])
    assert ring.verify(text, "a") is None


def raw_http(data: bytes) -> None:
    """Send raw bytes to the server; it responds or closes, and continues to serve."""

    async def echo(request: messages.Request) -> messages.Response:
        return messages.Response(200, request.body)

    async def run() -> None:
        faults = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: faults.append(context))
        http_server = await server.start("127.0.0.1", 0, echo)
        for sent in (data, b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", http_server.port
            )
            writer.write(sent)
            writer.write_eof()
            answer = await asyncio.wait_for(reader.read(), 5)
            assert not answer or answer.startswith(b"HTTP/1.1 "), answer
            writer.close()
        assert answer.startswith(b"HTTP/1.1 200"), answer
        http_server.stop_listening()
        http_server.abort()
        assert not faults, faults

    asyncio.run(run())


def peer_message(data: bytes) -> None:
    """Decode a peer's message as a request and a reply of each method."""
    for method in (
        methods.ASK,
        methods.RELEASE,
        noderunner.HEARTBEAT,
        ownerships.OWNER_HEARTBEAT,
    ):
        for decoder in (method.request_decoder, method.reply_decoder):
            with contextlib.suppress(*decoding.DECODE_ERRORS):
                decoder.decode(data)


def settings_item(given: tuple[str, object]) -> None:
    """Apply a settings value from the platform; accepted items have the right type."""
    kind, value = given
    known = state.State()
    settings_view = view.View(known)
    for version, body in enumerate((value, value, None), start=1):
        entry = state.Entry(items.key_of(kind, "one"), version, body)
        known.apply(state.Delta(version - 1, version, (entry,)))
        for item in settings_view._items[kind].values():
            assert isinstance(item, items.KINDS[kind]), item
        settings_view.active("deadline_ms", "account:a", 0.0)
        settings_view.in_service()


def ownership_record(value: object) -> None:
    """Decode an ownership record from the platform."""
    with contextlib.suppress(msgspec.ValidationError):
        ownerships.encode(ownerships.decode(value))


def settings_document(text: str) -> None:
    """Parse an operator's settings document."""
    assert isinstance(document.read(text), result.Result)


def pool_note(body: bytes) -> None:
    """Store a note and decode it as an edge does."""
    known = notes.NoteTable()
    known.merge((peermessages.Note("pool/p", (1, 1), body, 0),), 0.0)
    body = known.body("pool/p", 0.0)
    with contextlib.suppress(*decoding.DECODE_ERRORS):
        pooldirectory.DECODER.decode(body)


def plan_text(text: str) -> None:
    """Decode the plan in a permit."""
    assert isinstance(plans.decode(text), plans.Steps)


def daemon_setting(given: tuple[str, str]) -> None:
    """Parse one setting of the daemon."""
    flag, text = given
    spec = next(one for one in options.SPECS if one.flag == flag)
    with contextlib.suppress(errors.UserError):
        options.read_option(spec, {f"--{flag}": text}, {})


class Case(typing.NamedTuple):
    """A check and the strategy for its input."""

    check: typing.Callable[[typing.Any], None]
    inputs: strategies.SearchStrategy


EVENTS = strategies.lists(
    shapes.partial_objects(
        seq=shapes.NUMBERS, op=strategies.sampled_from(["stored", "removed"]), key=HEX
    ),
    max_size=3,
)
CACHE = shapes.partial_objects(
    boot_id=BOOTS,
    events=EVENTS,
    next=shapes.NUMBERS,
    seq=shapes.NUMBERS,
    keys=strategies.lists(HEX, max_size=3),
    **dict.fromkeys(
        follower.StoreState.__annotations__.keys() - {"boot_id"}, shapes.NUMBERS
    ),
)
VALID_CACHE = {
    "boot_id": "b1",
    "events": [{"seq": 1, "op": "stored", "key": "a" * 32}],
    "next": 1,
    "seq": 0,
    "keys": ["a" * 32],
}
BLOCK = {"key": "a" * 32, "generation": 1, "checksum": "c", "committed": True}
VALID_TRANSFER = {
    "blocks": [{**BLOCK, "bytes": 1, "tier": "memory"}],
    "import": "i",
    "staged": [BLOCK],
    "failed": [],
    "committed": ["a" * 32],
    "exported": ["a" * 32],
}
VALID_STATE = {"boot_id": "b1", "cold": False, "running": 1, "queued": 0}
VALID_CHUNK = {
    "id": "r",
    "choices": [{"index": 0, "delta": {"content": "x"}, "finish_reason": None}],
    "usage": {"prompt_tokens": 1, "completion_tokens": 1, "cached_tokens": 1},
}
VALID_CHAT = {
    "model": "m",
    "messages": [{"role": "user", "content": "x"}],
    "stream": True,
    "max_tokens": 4,
}
VALID_STREAM = (
    b"id: 1\ndata: " + msgspec.json.encode(VALID_CHUNK) + b"\n\ndata: [DONE]\n\n"
)
VALID_HTTP = (
    b"POST /v1/x?y=1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
    b"GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"1\r\na\r\n0\r\n\r\n"
)
VALID_PERMIT_REQUEST = msgspec.msgpack.encode(
    (SENDER, permits.PermitRequest("r", "i", "b", "p", "a", 5, piece_keys=("a",)))
)
VALID_HEARTBEAT = msgspec.msgpack.encode(
    (
        SENDER,
        peermessages.Heartbeat(
            peermessages.Member(peermessages.Identity("a", "b", 1, "c", "d"))
        ),
    )
)
VALID_STATUS = msgspec.msgpack.encode(pooldirectory.PoolStatus("a", 1, 2, 3, 4, 5, 6))
VALID_DOCUMENT = """format: 1
defaults: {deadline_ms: 30000}
accounts: [{name: tirnica, weight: 2}]
exceptions:
  - {name: e, scope: "account:tirnica", setting: deadline_ms, value: 1, reason: r,
     ends: 2027-01-01}
"""
YAML_NOISE = strategies.sampled_from(
    ["[" * 1_500, "a: 2024-99-99", "!!int x", "!!timestamp x", "? [a]\n: b", "&a [*a]"]
)
ITEM_KINDS = strategies.sampled_from(sorted(items.KINDS))
ITEM_VALUE = shapes.partial_objects(
    name=strategies.sampled_from(["one", "two"]),
    kind=strategies.sampled_from(["engine", "store"]),
    data_centre=strategies.just("north"),
    address=strategies.just("h:1"),
    scope=strategies.just("account:a"),
    setting=strategies.just("deadline_ms"),
    value=shapes.NUMBERS,
    reason=strategies.just("r"),
    ends=strategies.sampled_from(["2027-01-01", "soon", ""]),
)
RECORD = {"epoch": 1, "owner": {"name": "a", "boot": "b"}, "successor": None}
SETTING_TEXT = strategies.one_of(
    strategies.text(max_size=12),
    strategies.sampled_from(
        ["\u00b2", "\u0661", "9" * 5_000, "a:\u00b2", "\0", "::1:2"]
    ),
)


def _damaged_text(valid: str) -> strategies.SearchStrategy[str]:
    return shapes.damaged(valid.encode()).map(
        lambda data: data.decode(errors="replace")
    )


CASES = {
    "engine state": Case(
        engine_state,
        strategies.tuples(
            shapes.json_of(shapes.partial_objects(boot_id=BOOTS), VALID_STATE),
            strategies.sampled_from([b"b1", b"", b"\xff\xfe"]),
        ),
    ),
    "cache answers": Case(cache_answers, shapes.json_of(CACHE, VALID_CACHE)),
    "transfer answers": Case(
        transfer_answers, shapes.json_of(shapes.OBJECTS, VALID_TRANSFER)
    ),
    "engine stream": Case(
        engine_stream,
        strategies.one_of(
            shapes.damaged(VALID_STREAM),
            shapes.NOISE,
            shapes.json_of(shapes.OBJECTS, VALID_CHUNK).map(
                lambda data: b"id: 1\ndata: " + data + b"\n\n"
            ),
            strategies.just(b"id: " + b"9" * 5_000 + b"\ndata: x\n\n"),
        ),
    ),
    "caller body": Case(caller_body, shapes.json_of(shapes.OBJECTS, VALID_CHAT)),
    "stream identifier": Case(
        stream_identifier,
        strategies.one_of(
            strategies.text(max_size=20),
            strategies.text("abcAB12-_=", max_size=60).map(
                lambda t: streams.PREFIX + t
            ),
        ),
    ),
    "raw HTTP": Case(
        raw_http, strategies.one_of(shapes.damaged(VALID_HTTP), shapes.NOISE)
    ),
    "peer message": Case(
        peer_message,
        strategies.one_of(
            shapes.damaged(VALID_PERMIT_REQUEST),
            shapes.damaged(VALID_HEARTBEAT),
            shapes.VALUES.map(msgspec.msgpack.encode),
            shapes.DEEP,
            shapes.NOISE,
        ),
    ),
    "settings item": Case(
        settings_item,
        strategies.tuples(ITEM_KINDS, strategies.one_of(ITEM_VALUE, shapes.OBJECTS)),
    ),
    "ownership record": Case(
        ownership_record,
        strategies.one_of(
            shapes.VALUES,
            shapes.partial_objects(
                **{name: strategies.just(one) for name, one in RECORD.items()}
            ),
        ),
    ),
    "settings document": Case(
        settings_document,
        strategies.one_of(
            _damaged_text(VALID_DOCUMENT),
            YAML_NOISE,
            YAML_NOISE.map(lambda text: f"format: 1\n{text}"),
            shapes.OBJECTS.map(lambda value: msgspec.json.encode(value).decode()),
        ),
    ),
    "pool note": Case(
        pool_note,
        strategies.one_of(shapes.damaged(VALID_STATUS), shapes.DEEP, shapes.NOISE),
    ),
    "plan text": Case(
        plan_text,
        strategies.one_of(
            strategies.text(max_size=20),
            shapes.OBJECTS.map(lambda value: msgspec.json.encode(value).decode()),
            strategies.just("[" * 2_000),
        ),
    ),
    "daemon setting": Case(
        daemon_setting,
        strategies.tuples(
            strategies.sampled_from([spec.flag for spec in options.SPECS]), SETTING_TEXT
        ),
    ),
}
