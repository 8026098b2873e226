"""Client for the platform's object API over HTTP.

If the response to a read is lost, the result is ``Unavailable``; for a write it is
``OutcomeUnknown``, since the write may have taken effect. A 5xx response other than 503
to a write is ``OutcomeUnknown`` too: a proxy can send it after the store has applied
the write.

The store may come back from a copy some seconds old, in a new era. Late answers of an
earlier era are dropped; a watch from a revision of an earlier era has to list again; a
write whose condition is of an earlier era is not sent, or its outcome is unknown::

    objects = client.Client(http_client.Client(), address)
    outcome = await objects.get("settings/account/tirnica")
"""

import typing
import urllib.parse

import msgspec
from returns import result

from cornelreach.http import client as http_client, messages
from cornelreach.platform import headers as header_codec, pages, results
from cornelreach.util import decoding, events

CALL_WAIT_MS = 2_000
WATCH_MARGIN_MS = 1_000
DEFAULT_RETRY_MS = 1_000
MAX_RETRY_AFTER_MS = 60_000
OBJECTS = "/api/objects/"
INSTANCES = "instances/"
MAX_POWER = 1_024  # processors

BAD_INSTANCE = events.define(
    1203,
    "WARNING",
    "Cannot decode entry {key} of the instance list: {error}.",
    "Correct or delete the object.",
)

RESTORED = events.define(
    1204,
    "WARNING",
    "The platform's store came back from a copy: era {before} became {era}.",
    "Nothing; records are read again. If it repeats: ask the platform's operators.",
)

_OBJECT = msgspec.json.Decoder(pages.Object)

BeforeCall = typing.Callable[[str], typing.Awaitable[None]]


class _Instance(typing.TypedDict):
    data_centre: str
    peer_address: str
    state: str
    power: typing.NotRequired[typing.Annotated[float, msgspec.Meta(gt=0, le=MAX_POWER)]]


class _Response(typing.NamedTuple):
    status: int
    body: bytes
    retry_after_ms: int
    era: int = 0


OnResponse = typing.Callable[[str, int], None]


def _ignore_response(kind: str, status: int) -> None:
    """Ignore a response."""


def _ignore_restore(era: int) -> None:
    """Ignore that the store came back from a copy."""


async def _proceed(kind: str) -> None:
    """Let each call proceed at once."""


class Client:
    """Object API client for one platform address.

    ``before_call`` is awaited before each call with its kind: ``read``, ``write`` or
    ``watch``. ``on_response`` is called after it with the kind and the response status,
    or 0 if no response came. Both serve to limit the rate of calls. ``on_restore`` is
    called with the new era when the store has come back from a copy.
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
        self.on_restore: typing.Callable[[int], None] = _ignore_restore
        self.era: int | None = None

    async def get(self, key: str) -> result.Result[results.Record, results.ReadError]:
        """Return one object, or NotFound."""
        response = await self._read("read", _object_path(key), self.call_wait_ms)
        kind, _ = split_key(key)
        decoded = response.bind(
            lambda found: _decode_read(
                found, lambda body: _decode_named(body, key), key
            )
        )
        era = _era_of(response)
        return decoded.map(lambda found: _record(kind, found, era))

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
        era = results.era_of(if_version) if if_version else self.era
        revision = results.revision_of(if_version or 0)
        if not revision:
            body = msgspec.json.encode({"metadata": {"name": name}, "spec": value})
            return await self._write("POST", _kind_path(kind), key, body, era)
        fields = {"name": name, "revision": revision, "finalizers": []}
        body = msgspec.json.encode({"metadata": fields, "spec": value})
        return await self._write("PUT", _object_path(key), key, body, era)

    async def put_status(
        self, key: str, status: typing.Any, if_version: int
    ) -> result.Result[int, results.WriteError]:
        """Write the status of an object if its version is ``if_version``.

        A write that changes nothing succeeds with the same version.
        """
        fields = {
            "name": split_key(key)[1],
            "revision": results.revision_of(if_version),
            "finalizers": [],
        }
        body = msgspec.json.encode({"metadata": fields, "status": status})
        path = f"{_object_path(key)}/status"
        return await self._write("PUT", path, key, body, results.era_of(if_version))

    async def delete(
        self, key: str, if_version: int
    ) -> result.Result[int, results.WriteError]:
        """Delete an object if its version is ``if_version``."""
        path = f"{_object_path(key)}?revision={results.revision_of(if_version)}"
        return await self._write("DELETE", path, key, b"", results.era_of(if_version))

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
            page = response.bind(
                lambda found: _decode_read(found, pages.decode_page, prefix)
            )
            if isinstance(page, result.Failure):
                return page
            found = page.unwrap()
            era = _era_of(response)
            names = [item["metadata"]["name"] for item in found["items"]]
            records.extend(
                _record(kind, item, era)
                for item in found["items"]
                if item["metadata"]["name"].startswith(start)
            )
            if revision is None:
                revision = results.make_version(era, found["store_revision"])
            elif results.era_of(revision) != era:
                text = "the store came back from a copy during the list"
                return result.Failure(results.Unavailable(text, 0))
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
        if self._has_passed(results.era_of(since)):
            return result.Failure(results.Compacted(since))
        kind, start = split_key(prefix)
        revision = results.revision_of(since)
        query = urllib.parse.urlencode({"watch": revision, "wait_ms": wait_ms})
        path = f"{_kind_path(kind)}?{query}"
        response = await self._read("watch", path, wait_ms + margin_ms)
        era = _era_of(response)
        if isinstance(response, result.Success) and (
            response.unwrap().status == 410 or era != results.era_of(since)
        ):
            return result.Failure(results.Compacted(since))
        decoded = response.bind(
            lambda found: _decode_read(found, pages.decode_changes, prefix)
        )
        return decoded.map(
            lambda found: results.Changes(
                results.make_version(era, found["store_revision"]),
                tuple(
                    _change(kind, event, era)
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
        except http_client.RequestNotSent as error:
            return result.Failure(results.Unavailable(str(error)))
        except http_client.ResponseLost as error:
            silent = not isinstance(error, http_client.ConnectionClosed)
            return result.Failure(results.Unavailable(str(error), silent=silent))
        if response.status == 429 or response.status >= 500:
            return result.Failure(_unavailable(response))
        return result.Success(response)

    def _has_passed(self, era: int) -> bool:
        """Return whether the store is known to be in a later era."""
        return self.era is not None and era < self.era

    async def _write(
        self,
        method: str,
        path: str,
        key: str,
        body: bytes,
        era: int | None,
    ) -> result.Result[int, results.WriteError]:
        """Write on a condition that was read in an era, unless that has passed."""
        await self.before_call("write")
        if era is not None and self._has_passed(era):
            return result.Failure(results.Conflict(key, 0))
        headers = ((b"content-type", b"application/json"),) if body else ()
        try:
            response = await self._send(
                "write", method, path, body, headers, self.call_wait_ms
            )
        except http_client.RequestNotSent as error:
            return result.Failure(results.Unavailable(str(error)))
        except http_client.ResponseLost as error:
            return result.Failure(results.OutcomeUnknown(key, str(error)))
        if era is not None and response.era != era:
            text = "the store came back from a copy before the write"
            return result.Failure(results.OutcomeUnknown(key, text))
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
        era = self._observe_era(fields)
        return _Response(status, found, _retry_after_ms(fields), era)

    def _observe_era(self, fields: messages.Headers) -> int:
        """Return the era of an answer; raises ResponseLost if it is an earlier one."""
        era, before = header_codec.store_era(fields), self.era
        if era is None:
            return before or 0
        if before is not None and era < before:
            raise http_client.ResponseLost("the answer is older than the store's copy")
        self.era = era
        if before is not None and era > before:
            events.emit(RESTORED, before=before, era=era)
            self.on_restore(era)
        return era


def split_key(key: str) -> tuple[str, str]:
    """Split a key, ``kind/name``, into kind and name; the name may be empty."""
    kind, _, name = key.partition("/")
    return kind, name


def _kind_path(kind: str) -> str:
    return OBJECTS + urllib.parse.quote(kind, safe="")


def _object_path(key: str) -> str:
    kind, name = split_key(key)
    return f"{_kind_path(kind)}/{urllib.parse.quote(name, safe='')}"


def _era_of(response: result.Result[_Response, typing.Any]) -> int:
    return response.unwrap().era if isinstance(response, result.Success) else 0


def _record(kind: str, fields: pages.Object, era: int) -> results.Record:
    metadata = fields["metadata"]
    key = f"{kind}/{metadata['name']}"
    version = results.make_version(era, metadata["revision"])
    return results.Record(
        key,
        version,
        fields["spec"],
        created=metadata.get("created"),
        status=fields.get("status"),
    )


def _change(kind: str, event: pages.Event, era: int) -> results.Record:
    record = _record(kind, event["object"], era)
    return record._replace(value=None) if event["deleted"] else record


def read_instance(record: results.Record) -> results.Instance | None:
    """Return the instance in a list entry, or None if it cannot be decoded."""
    try:
        fields = msgspec.convert(record.value, _Instance)
        decoding.check_port(fields["peer_address"])
    except (ValueError, *decoding.DECODE_ERRORS) as error:
        events.emit(BAD_INSTANCE, key=record.key, error=error)
        return None
    return results.Instance(split_key(record.key)[1], **fields)


def _retry_after_ms(headers: messages.Headers) -> int:
    asked_ms = header_codec.retry_after_ms(headers)
    if asked_ms is None:
        return DEFAULT_RETRY_MS
    return round(min(asked_ms, MAX_RETRY_AFTER_MS))


def _unavailable(response: _Response) -> results.Unavailable:
    text = f"the platform returned HTTP status {response.status}"
    return results.Unavailable(text, response.retry_after_ms)


def _decode_named(body: bytes, key: str) -> pages.Object:
    """Return the object of a key; raises ValueError if the body holds another one."""
    found = _OBJECT.decode(body)
    name = found["metadata"]["name"]
    if name != split_key(key)[1]:
        raise ValueError(f"it holds the object {name!r}")
    return found


def _decode_read(
    response: _Response, decode: typing.Callable[[bytes], typing.Any], key: str
) -> result.Result[typing.Any, results.ReadError]:
    if response.status == 404:
        return result.Failure(results.NotFound(key, era=response.era))
    if response.status != 200:
        return result.Failure(
            results.Rejected(f"read of {key}: HTTP status {response.status}")
        )
    try:
        return result.Success(decode(response.body))
    except (ValueError, *decoding.DECODE_ERRORS) as error:
        text = f"malformed response to the read of {key}: {error}"
        return result.Failure(results.Unavailable(text))


def _decode_write(
    response: _Response, key: str
) -> result.Result[int, results.WriteError]:
    if response.status in (429, 503):
        return result.Failure(_unavailable(response))
    if response.status == 404:
        return result.Failure(results.NotFound(key, era=response.era))
    if response.status not in (200, 201, 409):
        return result.Failure(_write_error(response, key))
    try:
        found = _decode_named(response.body, key)
    except (ValueError, *decoding.DECODE_ERRORS) as error:
        text = f"malformed response to a write: {error}"
        return result.Failure(results.OutcomeUnknown(key, text))
    version = results.make_version(response.era, found["metadata"]["revision"])
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
