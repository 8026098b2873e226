"""The datagrams that instances exchange, and their wire format.

Each is a tag byte followed by a msgpack array. A table of loads that does not fit into
one datagram is split into parts; the receiver applies it once it has all of them::

    for part in datagrams.split(digest):
        data = datagrams.encode(part)
    part = datagrams.decode(data)
"""

import math
import typing

import msgspec

MAX_BYTES = 1_400  # fits with all headers into the usual MTU of 1,500
LOADS_PER_DATAGRAM = 36  # about 22 bytes for each target, plus the lists of names
REPORTS_PER_DATAGRAM = 20
PARTS_PER_DATAGRAM = 20


class TargetLoad(typing.NamedTuple):
    """Requests at one target: their number, tokens still to prefill, and context."""

    requests: int = 0
    prefill_tokens: int = 0
    context_tokens: int = 0


NO_LOAD = TargetLoad()


class LoadReport(typing.NamedTuple):
    """The load that one instance has put on each target.

    ``sequence`` increases within one boot of the sender. ``closed`` names the
    targets that the sender has closed for a rollout order, ``suspected`` those that do
    not answer it. ``hub`` is the hub whose digests it uses.
    """

    name: str
    boot: str
    sequence: int
    loads: dict[str, TargetLoad]
    closed: tuple[str, ...] = ()
    suspected: tuple[str, ...] = ()
    hub: str = ""


class Digest(typing.NamedTuple):
    """One part of the aggregated loads that a hub sends.

    With a ``zone`` it is the sum over that data centre, for the hubs of the others;
    without one it is the sum over all instances. ``members`` is the number of instances
    that use the hub's digests. ``acknowledged`` is the receiver's report that the sum
    contains; it is sent outside of the body, which is the same for all receivers.
    """

    hub: str
    boot: str
    sequence: int
    zone: str
    members: int
    part: int
    parts: int
    loads: dict[str, TargetLoad]
    closed: tuple[str, ...] = ()
    suspected: tuple[str, ...] = ()
    acknowledged: int = 0


class DigestUpdate(typing.NamedTuple):
    """The loads that have changed since a hub's previous digest or update.

    Fields are those of ``Digest``. Each load is the new sum, and no load if the target
    has none any more, so an update that is lost leaves only its own targets outdated
    until the next digest.
    """

    hub: str
    boot: str
    sequence: int
    zone: str
    members: int
    loads: dict[str, TargetLoad]
    closed: tuple[str, ...] = ()
    suspected: tuple[str, ...] = ()
    acknowledged: int = 0


class VersionReport(typing.NamedTuple):
    """Model versions that targets reported recently, by target and model."""

    name: str
    versions: dict[str, dict[str, int]]


class LeavingReport(typing.NamedTuple):
    """Targets that said that they leave, with the start of their lifetimes."""

    name: str
    targets: dict[str, int]


class LostPrompt(typing.NamedTuple):
    """A prompt or plain call whose answer was lost in a crash, before its first event.

    ``prompt`` is a hash of the whole prompt, ``begun`` whether the target had begun to
    answer. ``parts`` holds the prompt's shared parts and the request, each with the
    time since an answer to it was whole, or None if none is known.
    """

    prompt: int
    begun: bool
    parts: dict[str, float | None]


class CrashReport(typing.NamedTuple):
    """A lifetime of a target that ended ``age_ms`` ago, and prompts lost with it."""

    name: str
    target: str
    born_ms: int
    age_ms: float
    prompts: tuple[LostPrompt, ...]


class SoundQuery(typing.NamedTuple):
    """Asks who got whole answers to prompt parts, less than this many ms ago."""

    name: str
    parts: dict[str, float]


class SoundReport(typing.NamedTuple):
    """How long ago the sender got a whole answer to each prompt part."""

    name: str
    parts: dict[str, float]


class NamedLimit(typing.NamedTuple):
    """The requests a second that a lifetime of a target named ``ago_ms`` ago.

    ``per_s`` is None if its last answer named none.
    """

    born_ms: int
    per_s: float | None
    ago_ms: float


class LimitReport(typing.NamedTuple):
    """The limits that targets named in answers to the sender or to others."""

    name: str
    targets: dict[str, NamedLimit]


class PromptStoreUpdate(typing.NamedTuple):
    """Changes in a prompt store, from a hub that watches it.

    ``position`` is where in the store's events to continue; ``age_ms`` is how long ago
    the store answered the hub; the parts are (salt, identifier, tokens).
    """

    store: str
    epoch: int
    position: int
    age_ms: float
    parts: tuple[tuple[str, str, int], ...]


class FreshnessQuery(typing.NamedTuple):
    """Asks a hub how fresh its copy of the platform's records is."""

    name: str
    number: int


class FreshnessReply(typing.NamedTuple):
    """A hub's answer to a ``FreshnessQuery``.

    Rows are keyed by the prefix of the records' keys and hold the revision up to which
    the hub has read, a revision at or after their last change, and the age of the hub's
    freshness proof in milliseconds. ``regained_ago_ms`` is the time since the hub
    reconnected to the platform after an outage, if there was one.
    """

    hub: str
    number: int
    rows: dict[str, tuple[int, int, float]]
    regained_ago_ms: float | None = None


class RecordChanges(typing.NamedTuple):
    """Records that changed between two revisions; each row is (key, version, value)."""

    hub: str
    prefix: str
    before: int
    after: int
    rows: tuple[tuple[str, int, typing.Any], ...]


class StreamOrigin(typing.NamedTuple):
    """The service and software version that began a stream, by its attempt's hash.

    The receiver keeps it for ``keep_ms``.
    """

    key: int
    service: str
    software: str
    keep_ms: int


class OriginQuery(typing.NamedTuple):
    """Asks an instance for the origin of a stream; ``name`` gets the reply."""

    name: str
    number: int
    key: int


class OriginReply(typing.NamedTuple):
    """The answer to an ``OriginQuery``; without values if the origin is not known."""

    number: int
    service: str | None
    software: str | None


class ReleaseOrder(typing.NamedTuple):
    """An order of a software rollout; all but the duration tells it from others."""

    service: str
    target: str
    created: str
    duration_ms: float


class RouteCounts(typing.NamedTuple):
    """The responses of one version on one route, and their times by bucket.

    The buckets end with the last one that is not empty.
    """

    responses: int
    failures: int
    times: tuple[int, ...] = ()


class ReleaseReport(typing.NamedTuple):
    """What an instance has counted for an order, for those that judge the version.

    Counts are cumulative, by route and then by version, the old one first. ``phase`` is
    a number that grows; ``age_ms`` is the time since the order, or None if that is not
    known. ``old_in_flight`` counts the requests under way at targets of other versions.
    """

    name: str
    boot: str
    sequence: int
    order: ReleaseOrder
    phase: int
    age_ms: float | None
    old_in_flight: int
    counts: dict[str, tuple[RouteCounts, RouteCounts]]


class ReleaseDirective(typing.NamedTuple):
    """What the sender has decided for an order, from the reports of all instances.

    ``share`` of the requests may go to the new version for a short time; with None, the
    sender cannot tell. ``is_complete`` is set once no instance needs the old version.
    """

    name: str
    boot: str
    sequence: int
    order: ReleaseOrder
    phase: int
    age_ms: float | None
    share: float | None
    is_complete: bool = False
    reason: str = ""


class Bundle(typing.NamedTuple):
    """Updates of several stores."""

    hub: str
    updates: tuple[PromptStoreUpdate, ...]


Datagram = (
    LoadReport
    | Digest
    | DigestUpdate
    | VersionReport
    | LeavingReport
    | Bundle
    | FreshnessQuery
    | FreshnessReply
    | RecordChanges
    | StreamOrigin
    | OriginQuery
    | OriginReply
    | CrashReport
    | SoundQuery
    | SoundReport
    | LimitReport
    | ReleaseReport
    | ReleaseDirective
)
TAGS: dict[type, bytes] = {
    LoadReport: b"t",
    Digest: b"D",
    DigestUpdate: b"u",
    VersionReport: b"v",
    LeavingReport: b"l",
    Bundle: b"b",
    FreshnessQuery: b"q",
    FreshnessReply: b"a",
    RecordChanges: b"c",
    StreamOrigin: b"o",
    OriginQuery: b"s",
    OriginReply: b"r",
    CrashReport: b"x",
    SoundQuery: b"k",
    SoundReport: b"y",
    LimitReport: b"m",
    ReleaseReport: b"e",
    ReleaseDirective: b"f",
}
DECODERS = {tag: msgspec.msgpack.Decoder(kind) for kind, tag in TAGS.items()}


ADDRESSED = (TAGS[Digest], TAGS[DigestUpdate])
ACKNOWLEDGED_BYTES = 4


def encode(datagram: Datagram) -> bytes:
    """Encode a datagram."""
    tag = TAGS[type(datagram)]
    body = msgspec.msgpack.encode(datagram)
    return address(tag, body, 0) if tag in ADDRESSED else tag + body


def address(tag: bytes, body: bytes, acknowledged: int) -> bytes:
    """Return an encoded digest or update for one receiver."""
    number = acknowledged & 0xFFFF_FFFF
    return tag + number.to_bytes(ACKNOWLEDGED_BYTES, "big") + body


def decode(data: bytes) -> Datagram:
    """Decode a datagram; raises msgspec.DecodeError if it is malformed."""
    tag = data[:1]
    decoder = DECODERS.get(tag)
    if decoder is None:
        raise msgspec.DecodeError("unknown datagram tag")
    if tag not in ADDRESSED:
        return decoder.decode(data[1:])
    start = 1 + ACKNOWLEDGED_BYTES
    acknowledged = int.from_bytes(data[1:start], "big")
    return decoder.decode(data[start:])._replace(acknowledged=acknowledged)


def count_parts(loads: int) -> int:
    """Return how many datagrams a table of loads needs."""
    return max(1, math.ceil(loads / LOADS_PER_DATAGRAM))


def split(digest: Digest) -> list[Digest]:
    """Split a digest into parts that each fit into a datagram."""
    names = list(digest.loads)
    if len(names) <= LOADS_PER_DATAGRAM:
        return [digest]
    chunks = [
        names[start : start + LOADS_PER_DATAGRAM]
        for start in range(0, len(names), LOADS_PER_DATAGRAM)
    ]
    first, *rest = [{name: digest.loads[name] for name in chunk} for chunk in chunks]
    head = digest._replace(parts=len(chunks), loads=first)
    tail = head._replace(closed=(), suspected=())
    return [head] + [
        tail._replace(part=number, loads=loads) for number, loads in enumerate(rest, 1)
    ]


def split_update(update: DigestUpdate) -> list[DigestUpdate]:
    """Split an update into parts that each fit into a datagram, at least one."""
    rows = list(update.loads.items())
    return [
        update._replace(loads=dict(rows[start : start + LOADS_PER_DATAGRAM]))
        for start in range(0, max(1, len(rows)), LOADS_PER_DATAGRAM)
    ]


def version_reports(
    name: str, versions: dict[str, dict[str, int]]
) -> list[VersionReport]:
    """Return the datagrams that report model versions."""
    rows = list(versions.items())
    return [
        VersionReport(name, dict(rows[start : start + REPORTS_PER_DATAGRAM]))
        for start in range(0, len(rows), REPORTS_PER_DATAGRAM)
    ]


def limit_reports(name: str, targets: dict[str, NamedLimit]) -> list[LimitReport]:
    """Return the datagrams that report limits."""
    rows = list(targets.items())
    return [
        LimitReport(name, dict(rows[start : start + REPORTS_PER_DATAGRAM]))
        for start in range(0, len(rows), REPORTS_PER_DATAGRAM)
    ]


def leaving_reports(name: str, targets: dict[str, int]) -> list[LeavingReport]:
    """Return the datagrams that report targets that leave."""
    rows = list(targets.items())
    return [
        LeavingReport(name, dict(rows[start : start + REPORTS_PER_DATAGRAM]))
        for start in range(0, len(rows), REPORTS_PER_DATAGRAM)
    ]


def crash_reports(report: CrashReport) -> list[CrashReport]:
    """Split a report into datagrams, each with a bounded size."""
    found, batch = [], report._replace(prompts=())
    for prompt in report.prompts:
        longer = batch._replace(prompts=(*batch.prompts, prompt))
        if batch.prompts and len(encode(longer)) > MAX_BYTES:
            found.append(batch)
            longer = batch._replace(prompts=(prompt,))
        batch = longer
    return [*found, batch]


def release_reports(report: ReleaseReport) -> list[ReleaseReport]:
    """Split a report by route into datagrams, each with a bounded size, at least one.

    A route whose name alone is too long is left out.
    """
    found, batch = [], report._replace(counts={})
    empty = batch
    for route, numbers in report.counts.items():
        longer = batch._replace(counts={**batch.counts, route: numbers})
        if len(encode(longer)) > MAX_BYTES:
            if batch.counts:
                found.append(batch)
            longer = empty._replace(counts={route: numbers})
            if len(encode(longer)) > MAX_BYTES:
                longer = empty
        batch = longer
    return [*found, batch] if batch.counts or not found else found


def prompt_store_updates(
    store: str,
    epoch: int,
    position: int,
    age_ms: float,
    parts: typing.Mapping[tuple[str, str], int],
) -> list[PromptStoreUpdate]:
    """Return the updates of a store, at least one, each with a bounded size."""
    rows = [(salt, key, tokens) for (salt, key), tokens in parts.items()]
    return [
        PromptStoreUpdate(
            store,
            epoch,
            position,
            age_ms,
            tuple(rows[start : start + PARTS_PER_DATAGRAM]),
        )
        for start in range(0, max(1, len(rows)), PARTS_PER_DATAGRAM)
    ]


def record_changes(
    hub: str,
    prefix: str,
    before: int,
    after: int,
    rows: typing.Sequence[tuple[str, int, typing.Any]],
) -> list[RecordChanges]:
    """Return the datagrams that report changed records, in order of their versions.

    Each begins at the version at which the one before ends. A record that fits into no
    datagram ends the list: receivers read it and all later ones from the platform.
    """
    found: list[RecordChanges] = []
    batch = RecordChanges(hub, prefix, before, before, ())
    for row in sorted(rows, key=lambda one: one[1]):
        longer = batch._replace(after=row[1], rows=(*batch.rows, row))
        if len(encode(longer)) <= MAX_BYTES:
            batch = longer
            continue
        if batch.rows:
            found.append(batch)
        batch = RecordChanges(hub, prefix, batch.after, row[1], (row,))
        if len(encode(batch)) > MAX_BYTES:
            return found
    return [*found, batch._replace(after=after)] if batch.rows else found


def bundles(hub: str, updates: typing.Iterable[PromptStoreUpdate]) -> list[Bundle]:
    """Group updates into datagrams, each with a bounded number of parts."""
    found: list[Bundle] = []
    batch: list[PromptStoreUpdate] = []
    count = 0
    for one in updates:
        size = 1 + len(one.parts)
        if batch and count + size > PARTS_PER_DATAGRAM:
            found.append(Bundle(hub, tuple(batch)))
            batch, count = [], 0
        batch.append(one)
        count += size
    if batch:
        found.append(Bundle(hub, tuple(batch)))
    return found
