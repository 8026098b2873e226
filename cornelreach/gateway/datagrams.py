"""The datagrams that instances send each other, and their form on the wire.

Each is one tagged msgpack array. A table of loads that does not fit into one datagram
goes out in parts; the receiver takes it over once all of them are there::

    for data in datagrams.encode_all(datagrams.split(digest)): ...
    found = datagrams.decode(data)
"""

import math
import typing

import msgspec

MOST_BYTES = 1_400  # below the usual 1,500 of a link, headers off
LOADS_A_DATAGRAM = 36  # about 22 bytes for each target, and the names beside them
REPORTS_A_DATAGRAM = 20
PARTS_A_DATAGRAM = 20


class Underway(typing.NamedTuple):
    """Requests at one target: their count, tokens not yet read, and memory."""

    requests: int = 0
    unread_tokens: int = 0
    context_tokens: int = 0


NOTHING = Underway()


class Told(typing.NamedTuple):
    """What one instance tells; ``number`` rises within the sender's boot.

    ``closed`` names the targets that are being given an order, ``suspected`` those that
    do not answer the sender. ``follows`` is the hub that it listens to.
    """

    name: str
    boot: str
    number: int
    loads: dict[str, Underway]
    closed: tuple[str, ...] = ()
    suspected: tuple[str, ...] = ()
    follows: str = ""


class Digest(typing.NamedTuple):
    """A part of what a hub passes on.

    With a ``zone`` it is the sum over that data centre, for the hubs of others; without
    one it is the sum over all instances but the receiver. ``members`` counts those that
    listen to the hub.
    """

    hub: str
    boot: str
    number: int
    zone: str
    members: int
    part: int
    parts: int
    loads: dict[str, Underway]
    closed: tuple[str, ...] = ()
    suspected: tuple[str, ...] = ()


class Reports(typing.NamedTuple):
    """Model versions that targets lately reported, by target and model."""

    name: str
    versions: dict[str, dict[str, int]]


class ShelfNews(typing.NamedTuple):
    """What has changed in a prompt store, from a hub that follows it.

    ``position`` is where to go on following; ``age_ms`` is how long ago the store
    answered the hub; the parts are (salt, identifier, tokens).
    """

    store: str
    epoch: int
    position: int
    age_ms: float
    parts: tuple[tuple[str, str, int], ...]


class Ask(typing.NamedTuple):
    """Asks a hub how fresh its records of the platform are."""

    name: str
    number: int


class Answer(typing.NamedTuple):
    """A hub's answer to a question.

    Each row is by the prefix of the records' keys: how far the hub has read, a revision
    at or after their last change, and the age of its proof in milliseconds.
    ``regained_ago_ms`` is how long ago it lost and regained the platform, if it did.
    """

    hub: str
    number: int
    rows: dict[str, tuple[int, int, float]]
    regained_ago_ms: float | None = None


class Changes(typing.NamedTuple):
    """Records that changed between two revisions; each row is (key, version, value)."""

    hub: str
    prefix: str
    before: int
    after: int
    rows: tuple[tuple[str, int, typing.Any], ...]


class Bundle(typing.NamedTuple):
    """News of several stores."""

    hub: str
    news: tuple[ShelfNews, ...]


Datagram = Told | Digest | Reports | Bundle | Ask | Answer | Changes
TAGS: dict[type, bytes] = {
    Told: b"t",
    Digest: b"d",
    Reports: b"v",
    Bundle: b"b",
    Ask: b"q",
    Answer: b"a",
    Changes: b"c",
}
DECODERS = {tag: msgspec.msgpack.Decoder(kind) for kind, tag in TAGS.items()}


def encode(datagram: Datagram) -> bytes:
    """Return the bytes of a datagram."""
    return TAGS[type(datagram)] + msgspec.msgpack.encode(datagram)


def decode(data: bytes) -> Datagram:
    """Return the datagram in bytes; raises msgspec.DecodeError."""
    decoder = DECODERS.get(data[:1])
    if decoder is None:
        raise msgspec.DecodeError("no kind of datagram begins like that")
    return decoder.decode(data[1:])


def parts_of(loads: int) -> int:
    """Return how many datagrams a table of loads takes."""
    return max(1, math.ceil(loads / LOADS_A_DATAGRAM))


def split(digest: Digest) -> list[Digest]:
    """Return a digest in parts that each fit into a datagram."""
    names = list(digest.loads)
    if len(names) <= LOADS_A_DATAGRAM:
        return [digest]
    chunks = [
        names[start : start + LOADS_A_DATAGRAM]
        for start in range(0, len(names), LOADS_A_DATAGRAM)
    ]
    first, *rest = [{name: digest.loads[name] for name in chunk} for chunk in chunks]
    head = digest._replace(parts=len(chunks), loads=first)
    bare = head._replace(closed=(), suspected=())
    return [head] + [
        bare._replace(part=number, loads=loads) for number, loads in enumerate(rest, 1)
    ]


def reports(name: str, versions: dict[str, dict[str, int]]) -> list[Reports]:
    """Return the datagrams that tell model versions."""
    rows = list(versions.items())
    return [
        Reports(name, dict(rows[start : start + REPORTS_A_DATAGRAM]))
        for start in range(0, len(rows), REPORTS_A_DATAGRAM)
    ]


def shelf_news(
    store: str,
    epoch: int,
    position: int,
    age_ms: float,
    parts: typing.Mapping[tuple[str, str], int],
) -> list[ShelfNews]:
    """Return the news of a store, at least one, each with a bounded number of parts."""
    rows = [(salt, key, tokens) for (salt, key), tokens in parts.items()]
    return [
        ShelfNews(
            store,
            epoch,
            position,
            age_ms,
            tuple(rows[start : start + PARTS_A_DATAGRAM]),
        )
        for start in range(0, max(1, len(rows)), PARTS_A_DATAGRAM)
    ]


def bundles(hub: str, news: typing.Iterable[ShelfNews]) -> list[Bundle]:
    """Return the datagrams that carry news, each with a bounded number of parts."""
    found: list[Bundle] = []
    held: list[ShelfNews] = []
    count = 0
    for one in news:
        size = 1 + len(one.parts)
        if held and count + size > PARTS_A_DATAGRAM:
            found.append(Bundle(hub, tuple(held)))
            held, count = [], 0
        held.append(one)
        count += size
    if held:
        found.append(Bundle(hub, tuple(held)))
    return found
