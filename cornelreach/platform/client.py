"""Client of the platform's object API over HTTP.

A lost answer to a read is an ordinary failure; a lost answer to a write is
``OutcomeUnknown``, since the write may have taken effect. So is any 5xx answer to a
write: a gateway can give it after the store has carried the write out::

    objects = client.Client(http_client.Client(), address)
    outcome = await objects.get("settings/account/tirnica")
"""

import typing
import urllib.parse

import msgspec
from returns import result

from cornelreach.http import client as http_client, messages
from cornelreach.platform import results
from cornelreach.util import decoding

CALL_WAIT_MS = 2_000
WATCH_MARGIN_MS = 1_000
PAGE_RECORDS = 500
DEFAULT_RETRY_MS = 1_000

Gate = typing.Callable[[str], typing.Awaitable[None]]


class _Written(typing.TypedDict):
    version: int


class _Record(typing.TypedDict):
    key: str
    version: int
    value: typing.Any


class _Page(typing.TypedDict):
    revision: int
    items: list[_Record]
    next: str | None


class _Changes(typing.TypedDict):
    revision: int
    changes: list[_Record]


class _Instance(typing.TypedDict):
    name: str
    data_centre: str
    peer_address: str
    state: str


class _Instances(typing.TypedDict):
    instances: list[_Instance]


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
        return answer.bind(lambda found: _decode_read(found, _Record, key)).map(_record)

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
        if if_absent or if_version == 0:
            condition = (b"if-none-match", b"*")
        else:
            condition = (b"if-match", str(if_version).encode())
        body = msgspec.json.encode(value)
        return await self._write("PUT", key, condition, body)

    async def delete(
        self, key: str, if_version: int
    ) -> result.Result[int, results.WriteError]:
        """Delete an object only at ``if_version``."""
        condition = (b"if-match", str(if_version).encode())
        return await self._write("DELETE", key, condition, b"")

    async def list(
        self, prefix: str, after: str = ""
    ) -> result.Result[results.Listing, results.ReadError]:
        """Return all objects under a prefix whose keys sort behind ``after``.

        Pages are read one after the other, so the revision of the first page holds
        for all: a watch from there repeats whatever changed between the pages.
        """
        records: list[results.Record] = []
        revision: int | None = None
        while after is not None:
            query = {"prefix": prefix, "after": after, "limit": PAGE_RECORDS}
            path = "/v1/objects?" + urllib.parse.urlencode(query)
            answer = await self._read("read", path, self.call_wait_ms)
            page = answer.bind(lambda found: _decode_read(found, _Page, prefix))
            if isinstance(page, result.Failure):
                return page
            found = page.unwrap()
            records.extend(map(_record, found["items"]))
            revision = found["revision"] if revision is None else revision
            after = found["next"]
        return result.Success(results.Listing(revision, tuple(records)))

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
        query = {"prefix": prefix, "since": since, "wait_ms": wait_ms}
        path = "/v1/watch?" + urllib.parse.urlencode(query)
        answer = await self._read("watch", path, wait_ms + margin_ms)
        if isinstance(answer, result.Success) and answer.unwrap().status == 410:
            return result.Failure(results.Compacted(since))
        decoded = answer.bind(lambda found: _decode_read(found, _Changes, prefix))
        return decoded.map(
            lambda found: results.Changes(
                found["revision"], tuple(map(_record, found["changes"]))
            )
        )

    async def instances(
        self,
    ) -> result.Result[tuple[results.Instance, ...], results.ReadError]:
        """Return the platform's lagging list of instances."""
        answer = await self._read("read", "/v1/instances", self.call_wait_ms)
        decoded = answer.bind(
            lambda found: _decode_read(found, _Instances, "instances")
        )
        return decoded.map(
            lambda found: tuple(
                results.Instance(**entry) for entry in found["instances"]
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
        self, method: str, key: str, condition: tuple[bytes, bytes], body: bytes
    ) -> result.Result[int, results.WriteError]:
        await self.gate("write")
        headers = (condition, (b"content-type", b"application/json"))
        path = _object_path(key)
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


def _record(fields: _Record) -> results.Record:
    return results.Record(**fields)


def _object_path(key: str) -> str:
    return "/v1/objects/" + urllib.parse.quote(key, safe="/")


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
    if answer.status == 429:
        return result.Failure(_unavailable(answer))
    if answer.status == 404:
        return result.Failure(results.NotFound(key))
    if answer.status >= 500 or answer.status not in (200, 412):
        return result.Failure(_failed_write(answer, key))
    try:
        version = msgspec.json.decode(answer.body, type=_Written)["version"]
    except decoding.UNREADABLE as error:
        text = f"malformed answer to a write: {error}"
        return result.Failure(results.OutcomeUnknown(key, text))
    if answer.status == 412:
        return result.Failure(results.Conflict(key, version))
    return result.Success(version)


def _failed_write(
    answer: _Answer, key: str
) -> results.OutcomeUnknown | results.Rejected:
    text = f"the platform answered {answer.status} to the write of {key}"
    if answer.status >= 500:
        return results.OutcomeUnknown(key, text)
    return results.Rejected(text)
