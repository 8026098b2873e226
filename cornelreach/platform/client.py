"""Client for the platform's object API over HTTP.

If the response to a read is lost, the result is ``Unavailable``; for a write it is
``OutcomeUnknown``, since the write may have taken effect. A 5xx response other than 503
to a write is ``OutcomeUnknown`` too: a proxy can send it after the store has applied
the write::

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
    "Cannot decode entry {key} of the instance list: {error}.",
    "Correct or delete the object.",
)

BeforeCall = typing.Callable[[str], typing.Awaitable[None]]


class _Metadata(typing.TypedDict):
    name: str
    revision: int


class _Object(typing.TypedDict):
    """One object; ``metadata.revision`` is the revision of its last change."""

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


class _Response(typing.NamedTuple):
    status: int
    body: bytes
    retry_after_ms: int


OnResponse = typing.Callable[[str, int], None]


def _ignore_response(kind: str, status: int) -> None:
    """Ignore a response."""


async def _proceed(kind: str) -> None:
    """Let each call proceed at once."""


class Client:
    """Object API client for one platform address.

    ``before_call`` is awaited before each call with its kind: ``read``, ``write`` or
    ``watch``. ``on_response`` is called after it with the kind and the response status,
    or 0 if no response came. Both serve to limit the rate of calls.
    """

    def __init__(
        self,
        http: http_client.Client,
        address: http_client.Address,
        before_call: BeforeCall = _proceed,
        call_wait_ms: int = CALL_WAIT_MS,
        on_response: OnResponse = _ignore_response,
    ) -> None:
        self.http = http
        self.address = address
        self.before_call = before_call
        self.call_wait_ms = call_wait_ms
        self.on_response = on_response

    async def get(self, key: str) -> result.Result[results.Record, results.ReadError]:
        """Return one object, or NotFound."""
        response = await self._read("read", _object_path(key), self.call_wait_ms)
        kind, _ = split_key(key)
        decoded = response.bind(lambda found: _decode_read(found, _Object, key))
        return decoded.map(lambda found: _record(kind, found))

    async def put(
        self,
        key: str,
        value: typing.Any,
        if_version: int | None = None,
        if_absent: bool = False,
    ) -> result.Result[int, results.WriteError]:
        """Write an object if its version is ``if_version``, or if it does not exist."""
        if (if_version is None) != if_absent:
            raise ValueError("pass either if_version or if_absent")
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
        """Delete an object if its version is ``if_version``."""
        path = f"{_object_path(key)}?revision={if_version}"
        return await self._write("DELETE", path, key, b"")

    async def list(
        self, prefix: str, after: str = ""
    ) -> result.Result[results.Listing, results.ReadError]:
        """Return all objects under a prefix whose keys sort after ``after``.

        The revision of the listing is that of its first page: a watch from there
        delivers again whatever changed while the later pages were read.
        """
        kind, start = split_key(prefix)
        name = split_key(after)[1] if after else start
        records: list[results.Record] = []
        revision: int | None = None
        while True:
            query = "?" + urllib.parse.urlencode({"after": name}) if name else ""
            path = _kind_path(kind) + query
            response = await self._read("read", path, self.call_wait_ms)
            page = response.bind(lambda found: _decode_read(found, _Page, prefix))
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
            passed_prefix = bool(names) and not names[-1].startswith(start)
            if not found["more_pages"] or not names or passed_prefix:
                return result.Success(results.Listing(revision, tuple(records)))
            name = names[-1]

    async def watch(
        self,
        prefix: str,
        since: int,
        wait_ms: int,
        margin_ms: int = WATCH_MARGIN_MS,
    ) -> result.Result[results.Changes, results.WatchError]:
        """Return the changes after ``since``; none if ``wait_ms`` passes first.

        The call fails as Unavailable if no response arrives within ``wait_ms`` plus
        ``margin_ms``.
        """
        kind, start = split_key(prefix)
        query = urllib.parse.urlencode({"watch": since, "wait_ms": wait_ms})
        path = f"{_kind_path(kind)}?{query}"
        response = await self._read("watch", path, wait_ms + margin_ms)
        if isinstance(response, result.Success) and response.unwrap().status == 410:
            return result.Failure(results.Compacted(since))
        decoded = response.bind(lambda found: _decode_read(found, _Changes, prefix))
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
        """Return the list of instances, which is kept as objects and may lag."""
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
    ) -> result.Result[_Response, results.Unavailable]:
        await self.before_call(kind)
        try:
            response = await self._send(kind, "GET", path, b"", (), wait_ms)
        except (http_client.RequestNotSent, http_client.ResponseLost) as error:
            return result.Failure(results.Unavailable(str(error)))
        if response.status == 429 or response.status >= 500:
            return result.Failure(_unavailable(response))
        return result.Success(response)

    async def _write(
        self, method: str, path: str, key: str, body: bytes
    ) -> result.Result[int, results.WriteError]:
        await self.before_call("write")
        headers = ((b"content-type", b"application/json"),) if body else ()
        try:
            response = await self._send(
                "write", method, path, body, headers, self.call_wait_ms
            )
        except http_client.RequestNotSent as error:
            return result.Failure(results.Unavailable(str(error)))
        except http_client.ResponseLost as error:
            return result.Failure(results.OutcomeUnknown(key, str(error)))
        return _decode_write(response, key)

    async def _send(
        self,
        kind: str,
        method: str,
        path: str,
        body: bytes,
        headers: messages.Headers,
        wait_ms: float,
    ) -> _Response:
        try:
            status, found, fields = await self.http.call(
                self.address, method, path, body, headers, wait_ms
            )
        except (http_client.RequestNotSent, http_client.ResponseLost):
            self.on_response(kind, 0)
            raise
        self.on_response(kind, status)
        return _Response(status, found, _retry_after_ms(fields))


def split_key(key: str) -> tuple[str, str]:
    """Split a key, ``kind/name``, into kind and name; the name may be empty."""
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
    """Return the instance in a list entry, or None if it cannot be decoded."""
    try:
        fields = msgspec.convert(record.value, _Instance)
    except decoding.DECODE_ERRORS as error:
        events.emit(BAD_INSTANCE, key=record.key, error=error)
        return None
    return results.Instance(split_key(record.key)[1], **fields)


def _retry_after_ms(headers: messages.Headers) -> int:
    for name, value in headers:
        if name == b"retry-after" and value.isdigit():
            return int(value) * 1_000
    return DEFAULT_RETRY_MS


def _unavailable(response: _Response) -> results.Unavailable:
    text = f"the platform returned HTTP status {response.status}"
    return results.Unavailable(text, response.retry_after_ms)


def _decode_read(
    response: _Response, kind: type, key: str
) -> result.Result[typing.Any, results.ReadError]:
    if response.status == 404:
        return result.Failure(results.NotFound(key))
    if response.status != 200:
        return result.Failure(
            results.Rejected(f"read of {key}: HTTP status {response.status}")
        )
    try:
        return result.Success(msgspec.json.decode(response.body, type=kind))
    except decoding.DECODE_ERRORS as error:
        text = f"malformed response to the read of {key}: {error}"
        return result.Failure(results.Unavailable(text))


def _decode_write(
    response: _Response, key: str
) -> result.Result[int, results.WriteError]:
    if response.status in (429, 503):
        return result.Failure(_unavailable(response))
    if response.status == 404:
        return result.Failure(results.NotFound(key))
    if response.status not in (200, 201, 409):
        return result.Failure(_write_error(response, key))
    try:
        found = msgspec.json.decode(response.body, type=_Object)
    except decoding.DECODE_ERRORS as error:
        text = f"malformed response to a write: {error}"
        return result.Failure(results.OutcomeUnknown(key, text))
    version = found["metadata"]["revision"]
    if response.status == 409:
        return result.Failure(results.Conflict(key, version))
    return result.Success(version)


def _write_error(
    response: _Response, key: str
) -> results.OutcomeUnknown | results.Rejected:
    text = f"HTTP status {response.status} in response to the write of {key}"
    if response.status >= 500:
        return results.OutcomeUnknown(key, text)
    return results.Rejected(text)
