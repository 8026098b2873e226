"""Client of the platform's object API over HTTP.

A lost answer to a read is an ordinary failure; a lost answer to a write is
``OutcomeUnknown``, since the write may have taken effect. So is a 5xx answer other than
503 to a write: a gateway can give it after the store has carried the write out::

    objects = client.Client(http_client.Client(), address)
    outcome = await objects.get("settings/account/tirnica")
"""

import typing
import urllib.parse

import msgspec
from returns import result

from cornelreach.http import client as http_client, messages
from cornelreach.platform import results
from cornelreach.util import decoding, events

CALL_WAIT_MS = 2_000
WATCH_MARGIN_MS = 1_000
DEFAULT_RETRY_MS = 1_000
OBJECTS = "/api/objects/"
INSTANCES = "instances/"

BAD_INSTANCE = events.define(
    1203,
    "WARNING",
    "Entry {key} of the list of instances is unreadable: {error}.",
    "Correct or delete the object.",
)

Gate = typing.Callable[[str], typing.Awaitable[None]]


class _Metadata(typing.TypedDict):
    name: str
    revision: int


class _Object(typing.TypedDict):
    """One object; its ``metadata.revision`` is the version of its last change."""

    metadata: _Metadata
    spec: typing.Any


class _Page(typing.TypedDict):
    items: list[_Object]
    more_pages: bool
    store_revision: int


class _Event(typing.TypedDict):
    object: _Object
    deleted: bool


class _Changes(typing.TypedDict):
    events: list[_Event]
    store_revision: int


class _Instance(typing.TypedDict):
    data_centre: str
    peer_address: str
    state: str
    power: typing.NotRequired[float]


class _Answer(typing.NamedTuple):
    status: int
    body: bytes
    retry_after_ms: int


Told = typing.Callable[[str, int], None]


def _ignore(kind: str, status: int) -> None:
    """Take no notice of an answer."""


async def _open_gate(kind: str) -> None:
    """Let every call pass at once."""


class Client:
    """The object API of one platform address.

    ``gate`` is awaited before each call with its kind: ``read``, ``write`` or
    ``watch``; ``told`` takes the kind and the status of each answer, 0 for none. A rate
    budget fits there.
    """

    def __init__(
        self,
        http: http_client.Client,
        address: http_client.Address,
        gate: Gate = _open_gate,
        call_wait_ms: int = CALL_WAIT_MS,
        told: Told = _ignore,
    ) -> None:
        self.http = http
        self.address = address
        self.gate = gate
        self.call_wait_ms = call_wait_ms
        self.told = told

    async def get(self, key: str) -> result.Result[results.Record, results.ReadError]:
        """Return one object, or NotFound."""
        answer = await self._read("read", _object_path(key), self.call_wait_ms)
        kind, _ = split_key(key)
        decoded = answer.bind(lambda found: _decode_read(found, _Object, key))
        return decoded.map(lambda found: _record(kind, found))

    async def put(
        self,
        key: str,
        value: typing.Any,
        if_version: int | None = None,
        if_absent: bool = False,
    ) -> result.Result[int, results.WriteError]:
        """Write an object only at ``if_version``, or only if it does not exist."""
        if (if_version is None) != if_absent:
            raise ValueError("give either if_version or if_absent")
        kind, name = split_key(key)
        if if_absent or if_version == 0:
            body = msgspec.json.encode({"metadata": {"name": name}, "spec": value})
            return await self._write("POST", _kind_path(kind), key, body)
        fields = {"name": name, "revision": if_version, "finalizers": []}
        body = msgspec.json.encode({"metadata": fields, "spec": value})
        return await self._write("PUT", _object_path(key), key, body)

    async def delete(
        self, key: str, if_version: int
    ) -> result.Result[int, results.WriteError]:
        """Delete an object only at ``if_version``."""
        path = f"{_object_path(key)}?revision={if_version}"
        return await self._write("DELETE", path, key, b"")

    async def list(
        self, prefix: str, after: str = ""
    ) -> result.Result[results.Listing, results.ReadError]:
        """Return all objects under a prefix whose keys sort behind ``after``.

        Pages are read one after the other, so the revision of the first page holds
        for all: a watch from there repeats whatever changed between the pages.
        """
        kind, start = split_key(prefix)
        name = split_key(after)[1] if after else start
        records: list[results.Record] = []
        revision: int | None = None
        while True:
            query = "?" + urllib.parse.urlencode({"after": name}) if name else ""
            path = _kind_path(kind) + query
            answer = await self._read("read", path, self.call_wait_ms)
            page = answer.bind(lambda found: _decode_read(found, _Page, prefix))
            if isinstance(page, result.Failure):
                return page
            found = page.unwrap()
            names = [item["metadata"]["name"] for item in found["items"]]
            records.extend(
                _record(kind, item)
                for item in found["items"]
                if item["metadata"]["name"].startswith(start)
            )
            revision = found["store_revision"] if revision is None else revision
            past = bool(names) and not names[-1].startswith(start)
            if not found["more_pages"] or not names or past:
                return result.Success(results.Listing(revision, tuple(records)))
            name = names[-1]

    async def watch(
        self,
        prefix: str,
        since: int,
        wait_ms: int,
        margin_ms: int = WATCH_MARGIN_MS,
    ) -> result.Result[results.Changes, results.WatchError]:
        """Return the changes after ``since`` once there are some, or none in time.

        Without an answer ``margin_ms`` after ``wait_ms`` the call is Unavailable.
        """
        kind, start = split_key(prefix)
        query = urllib.parse.urlencode({"watch": since, "wait_ms": wait_ms})
        path = f"{_kind_path(kind)}?{query}"
        answer = await self._read("watch", path, wait_ms + margin_ms)
        if isinstance(answer, result.Success) and answer.unwrap().status == 410:
            return result.Failure(results.Compacted(since))
        decoded = answer.bind(lambda found: _decode_read(found, _Changes, prefix))
        return decoded.map(
            lambda found: results.Changes(
                found["store_revision"],
                tuple(
                    _change(kind, event)
                    for event in found["events"]
                    if event["object"]["metadata"]["name"].startswith(start)
                ),
            )
        )

    async def instances(
        self,
    ) -> result.Result[tuple[results.Instance, ...], results.ReadError]:
        """Return the lagging list of instances, which is kept as objects."""
        listing = await self.list(INSTANCES)
        return listing.map(
            lambda found: tuple(
                instance
                for record in found.records
                if (instance := read_instance(record)) is not None
            )
        )

    async def _read(
        self, kind: str, path: str, wait_ms: float
    ) -> result.Result[_Answer, results.Unavailable]:
        await self.gate(kind)
        try:
            answer = await self._send(kind, "GET", path, b"", (), wait_ms)
        except (http_client.RequestNotSent, http_client.AnswerLost) as error:
            return result.Failure(results.Unavailable(str(error)))
        if answer.status == 429 or answer.status >= 500:
            return result.Failure(_unavailable(answer))
        return result.Success(answer)

    async def _write(
        self, method: str, path: str, key: str, body: bytes
    ) -> result.Result[int, results.WriteError]:
        await self.gate("write")
        headers = ((b"content-type", b"application/json"),) if body else ()
        try:
            answer = await self._send(
                "write", method, path, body, headers, self.call_wait_ms
            )
        except http_client.RequestNotSent as error:
            return result.Failure(results.Unavailable(str(error)))
        except http_client.AnswerLost as error:
            return result.Failure(results.OutcomeUnknown(key, str(error)))
        return _decode_write(answer, key)

    async def _send(
        self,
        kind: str,
        method: str,
        path: str,
        body: bytes,
        headers: messages.Headers,
        wait_ms: float,
    ) -> _Answer:
        try:
            status, found, fields = await self.http.call(
                self.address, method, path, body, headers, wait_ms
            )
        except (http_client.RequestNotSent, http_client.AnswerLost):
            self.told(kind, 0)
            raise
        self.told(kind, status)
        return _Answer(status, found, _retry_after_ms(fields))


def split_key(key: str) -> tuple[str, str]:
    """Return the kind and the name in a key, ``kind/name``; the name may be empty."""
    kind, _, name = key.partition("/")
    return kind, name


def _kind_path(kind: str) -> str:
    return OBJECTS + urllib.parse.quote(kind, safe="")


def _object_path(key: str) -> str:
    kind, name = split_key(key)
    return f"{_kind_path(kind)}/{urllib.parse.quote(name, safe='')}"


def _record(kind: str, fields: _Object) -> results.Record:
    metadata = fields["metadata"]
    key = f"{kind}/{metadata['name']}"
    return results.Record(key, metadata["revision"], fields["spec"])


def _change(kind: str, event: _Event) -> results.Record:
    record = _record(kind, event["object"])
    return record._replace(value=None) if event["deleted"] else record


def read_instance(record: results.Record) -> results.Instance | None:
    """Return the instance in an entry of the list; None if it is unreadable."""
    try:
        fields = msgspec.convert(record.value, _Instance)
    except decoding.UNREADABLE as error:
        events.emit(BAD_INSTANCE, key=record.key, error=error)
        return None
    return results.Instance(split_key(record.key)[1], **fields)


def _retry_after_ms(headers: messages.Headers) -> int:
    for name, value in headers:
        if name == b"retry-after" and value.isdigit():
            return int(value) * 1_000
    return DEFAULT_RETRY_MS


def _unavailable(answer: _Answer) -> results.Unavailable:
    text = f"the platform answered {answer.status}"
    return results.Unavailable(text, answer.retry_after_ms)


def _decode_read(
    answer: _Answer, kind: type, key: str
) -> result.Result[typing.Any, results.ReadError]:
    if answer.status == 404:
        return result.Failure(results.NotFound(key))
    if answer.status != 200:
        return result.Failure(results.Rejected(f"read of {key}: {answer.status}"))
    try:
        return result.Success(msgspec.json.decode(answer.body, type=kind))
    except decoding.UNREADABLE as error:
        text = f"malformed answer for {key}: {error}"
        return result.Failure(results.Unavailable(text))


def _decode_write(answer: _Answer, key: str) -> result.Result[int, results.WriteError]:
    if answer.status in (429, 503):
        return result.Failure(_unavailable(answer))
    if answer.status == 404:
        return result.Failure(results.NotFound(key))
    if answer.status not in (200, 201, 409):
        return result.Failure(_failed_write(answer, key))
    try:
        found = msgspec.json.decode(answer.body, type=_Object)
    except decoding.UNREADABLE as error:
        text = f"malformed answer to a write: {error}"
        return result.Failure(results.OutcomeUnknown(key, text))
    version = found["metadata"]["revision"]
    if answer.status == 409:
        return result.Failure(results.Conflict(key, version))
    return result.Success(version)


def _failed_write(
    answer: _Answer, key: str
) -> results.OutcomeUnknown | results.Rejected:
    text = f"the platform answered {answer.status} to the write of {key}"
    if answer.status >= 500:
        return results.OutcomeUnknown(key, text)
    return results.Rejected(text)
