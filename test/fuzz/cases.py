"""One case for each decoder or parser: what it is given, and what must not happen.

A case passes if the code under test accepts the input or refuses it in its typed way;
any other exception is a fault. ``tools.fuzz`` runs the cases longer than the suite.
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

HERE = client.Address("127.0.0.1", 1)
TARGET = items.Target("one", "store", "north", "127.0.0.1:1")
SENDER = wire.Sender("one", "north", "b1", 7)
BOOTS = strategies.sampled_from(["b1", "b2", ""])
HEX = strategies.sampled_from(["a" * 32, "b" * 32, "", "zz", "_1", "-1"])


class Answers:
    """An HTTP client whose every answer is the same."""

    def __init__(self, body: bytes, boot: bytes = b"b1") -> None:
        self.body = body
        self.boot = boot

    async def call(self, *_: object, **__: object) -> tuple:
        """Answer a call."""
        return 200, self.body, ((b"x-boot-id", self.boot),)


class Reports:
    """Takes the reports of a prober."""

    owned_pools: typing.ClassVar[dict] = {}

    def report(self, pool: str, report: permits.Report, version: str) -> None:
        """Check that a report has its types."""
        msgspec.convert(tuple(report), permits.Report)
        msgspec.convert(version, str)


def engine_state(given: tuple[bytes, bytes]) -> None:
    """Give a prober an answer of a target."""

    async def run() -> None:
        clock = timers.VirtualTimers()
        made = prober.Prober(Answers(*given), clock, Reports(), dict)
        await made._probe("p", TARGET, 0.0)

    asyncio.run(run())


def cache_answers(body: bytes) -> None:
    """Give a follower the same answer to each of its questions."""

    async def run() -> None:
        held = directory.Directory()
        made = follower.Follower(
            Answers(body),
            timers.VirtualTimers(),
            held,
            documents.KeyIndex(),
            random.Random(1),
        )
        for step in (made._fetch_state, made._fetch_listing, made._poll, made._poll):
            with contextlib.suppress(*follower.FAILURES):
                await step(TARGET)
        for state_held in made.store_states.values():
            follower.used_share(state_held)
        held.lookup(["a" * 32])

    asyncio.run(run())


def transfer_answers(body: bytes) -> None:
    """Give a transfer client the same answer to each of its calls."""

    async def run() -> None:
        made = transferclient.TransferClient(Answers(body))
        exported = await made.export_blocks(HERE, HERE, ["a" * 32], 1_000)
        assert set(exported) <= {"a" * 32}, exported
        outcome = await made.import_blocks(HERE, HERE, ["a" * 32], 1_000)
        assert set(outcome.keys) <= {"a" * 32}, outcome

    asyncio.run(run())


def engine_stream(data: bytes) -> None:
    """Read an engine's stream in two parts, and the same in one."""
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
    """Parse a caller's chat."""
    parsed = chat.parse("a", body, None, None)
    assert isinstance(parsed, result.Result)


def stream_identifier(text: str) -> None:
    """Read a stream identifier that a caller made up."""
    ring = streams.KeyRing([b"k"])
    assert ring.verify(text, "a") is None


def raw_http(data: bytes) -> None:
    """Send raw bytes to the server; it answers in HTTP or closes, and serves on."""

    async def echo(request: messages.Request) -> messages.Response:
        return messages.Response(200, request.body)

    async def run() -> None:
        faults = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: faults.append(context))
        served = await server.start("127.0.0.1", 0, echo)
        for sent in (data, b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"):
            reader, writer = await asyncio.open_connection("127.0.0.1", served.port)
            writer.write(sent)
            writer.write_eof()
            answer = await asyncio.wait_for(reader.read(), 5)
            assert not answer or answer.startswith(b"HTTP/1.1 "), answer
            writer.close()
        assert answer.startswith(b"HTTP/1.1 200"), answer
        served.stop_listening()
        served.abort()
        assert not faults, faults

    asyncio.run(run())


def peer_message(data: bytes) -> None:
    """Decode a peer's envelope of every method; what is taken is used."""
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
    """Hold a value that someone wrote to the platform; what is held is typed."""
    kind, value = given
    held = state.State()
    shown = view.View(held)
    for version, body in enumerate((value, value, None), start=1):
        entry = state.Entry(items.key_of(kind, "one"), version, body)
        held.apply(state.Delta(version - 1, version, (entry,)))
        for item in shown._items[kind].values():
            assert isinstance(item, items.KINDS[kind]), item
        shown.active("deadline_ms", "account:a", 0.0)
        shown.in_service()


def ownership_record(value: object) -> None:
    """Decode a record that someone wrote to the platform."""
    with contextlib.suppress(msgspec.ValidationError):
        ownerships.encode(ownerships.decode(value))


def settings_document(text: str) -> None:
    """Read an operator's document."""
    assert isinstance(document.read(text), result.Result)


def pool_note(body: bytes) -> None:
    """Hold a note and decode it as an edge does."""
    held = notes.NoteTable()
    held.merge((peermessages.Note("pool/p", (1, 1), body, 0),), 0.0)
    body = held.body("pool/p", 0.0)
    with contextlib.suppress(*decoding.DECODE_ERRORS):
        pooldirectory.DECODER.decode(body)


def plan_text(text: str) -> None:
    """Read the plan in a permit."""
    assert isinstance(plans.decode(text), plans.Steps)


def daemon_setting(given: tuple[str, str]) -> None:
    """Check one setting of the daemon."""
    flag, text = given
    spec = next(one for one in options.SPECS if one.flag == flag)
    with contextlib.suppress(errors.UserError):
        options.read_option(spec, {f"--{flag}": text}, {})


class Case(typing.NamedTuple):
    """A check and the inputs that it is given."""

    check: typing.Callable[[typing.Any], None]
    inputs: strategies.SearchStrategy


EVENTS = strategies.lists(
    shapes.fields(
        seq=shapes.NUMBERS, op=strategies.sampled_from(["stored", "removed"]), key=HEX
    ),
    max_size=3,
)
CACHE = shapes.fields(
    boot_id=BOOTS,
    events=EVENTS,
    next=shapes.NUMBERS,
    seq=shapes.NUMBERS,
    keys=strategies.lists(HEX, max_size=3),
    **dict.fromkeys(
        follower.StoreState.__annotations__.keys() - {"boot_id"}, shapes.NUMBERS
    ),
)
GOOD_CACHE = {
    "boot_id": "b1",
    "events": [{"seq": 1, "op": "stored", "key": "a" * 32}],
    "next": 1,
    "seq": 0,
    "keys": ["a" * 32],
}
BLOCK = {"key": "a" * 32, "generation": 1, "checksum": "c", "committed": True}
GOOD_MOVE = {
    "blocks": [{**BLOCK, "bytes": 1, "tier": "memory"}],
    "import": "i",
    "staged": [BLOCK],
    "failed": [],
    "committed": ["a" * 32],
    "exported": ["a" * 32],
}
GOOD_STATE = {"boot_id": "b1", "cold": False, "running": 1, "queued": 0}
GOOD_CHUNK = {
    "id": "r",
    "choices": [{"index": 0, "delta": {"content": "x"}, "finish_reason": None}],
    "usage": {"prompt_tokens": 1, "completion_tokens": 1, "cached_tokens": 1},
}
GOOD_CHAT = {
    "model": "m",
    "messages": [{"role": "user", "content": "x"}],
    "stream": True,
    "max_tokens": 4,
}
GOOD_STREAM = (
    b"id: 1\ndata: " + msgspec.json.encode(GOOD_CHUNK) + b"\n\ndata: [DONE]\n\n"
)
GOOD_HTTP = (
    b"POST /v1/x?y=1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
    b"GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"1\r\na\r\n0\r\n\r\n"
)
GOOD_ASK = msgspec.msgpack.encode(
    (SENDER, permits.PermitRequest("r", "i", "b", "p", "a", 5, piece_keys=("a",)))
)
GOOD_BEAT = msgspec.msgpack.encode(
    (
        SENDER,
        peermessages.Heartbeat(
            peermessages.Member(peermessages.Identity("a", "b", 1, "c", "d"))
        ),
    )
)
GOOD_STATUS = msgspec.msgpack.encode(pooldirectory.PoolStatus("a", 1, 2, 3, 4, 5, 6))
GOOD_DOCUMENT = """format: 1
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
ITEM_VALUE = shapes.fields(
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


def _near_text(good: str) -> strategies.SearchStrategy[str]:
    return shapes.near(good.encode()).map(lambda data: data.decode(errors="replace"))


CASES = {
    "engine state": Case(
        engine_state,
        strategies.tuples(
            shapes.json_of(shapes.fields(boot_id=BOOTS), GOOD_STATE),
            strategies.sampled_from([b"b1", b"", b"\xff\xfe"]),
        ),
    ),
    "cache answers": Case(cache_answers, shapes.json_of(CACHE, GOOD_CACHE)),
    "transfer answers": Case(
        transfer_answers, shapes.json_of(shapes.OBJECTS, GOOD_MOVE)
    ),
    "engine stream": Case(
        engine_stream,
        strategies.one_of(
            shapes.near(GOOD_STREAM),
            shapes.NOISE,
            shapes.json_of(shapes.OBJECTS, GOOD_CHUNK).map(
                lambda data: b"id: 1\ndata: " + data + b"\n\n"
            ),
            strategies.just(b"id: " + b"9" * 5_000 + b"\ndata: x\n\n"),
        ),
    ),
    "caller body": Case(caller_body, shapes.json_of(shapes.OBJECTS, GOOD_CHAT)),
    "stream identifier": Case(
        stream_identifier,
        strategies.one_of(
            strategies.text(max_size=20),
            strategies.text("abcAB12-_=", max_size=60).map(
                lambda t: streams.PREFIX + t
            ),
        ),
    ),
    "raw HTTP": Case(raw_http, strategies.one_of(shapes.near(GOOD_HTTP), shapes.NOISE)),
    "peer message": Case(
        peer_message,
        strategies.one_of(
            shapes.near(GOOD_ASK),
            shapes.near(GOOD_BEAT),
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
            shapes.fields(
                **{name: strategies.just(one) for name, one in RECORD.items()}
            ),
        ),
    ),
    "settings document": Case(
        settings_document,
        strategies.one_of(
            _near_text(GOOD_DOCUMENT),
            YAML_NOISE,
            YAML_NOISE.map(lambda text: f"format: 1\n{text}"),
            shapes.OBJECTS.map(lambda value: msgspec.json.encode(value).decode()),
        ),
    ),
    "pool note": Case(
        pool_note,
        strategies.one_of(shapes.near(GOOD_STATUS), shapes.DEEP, shapes.NOISE),
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
