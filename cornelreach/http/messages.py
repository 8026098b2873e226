"""HTTP request and response types, and helpers for headers and JSON."""

import typing
import urllib.parse

import msgspec

Headers = tuple[tuple[bytes, bytes], ...]


def find_header(headers: Headers, name: str) -> str | None:
    """Return the value of the first header with this lower-case name, or None."""
    wanted = name.encode()
    for key, value in headers:
        if key == wanted:
            return value.decode("latin-1")
    return None


class Request(typing.NamedTuple):
    """A complete request as received by a server.

    ``target`` is the request target as sent. ``received_s`` is the event loop's time
    when the headers were complete.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: Headers
    body: bytes
    target: bytes = b""
    received_s: float = 0.0

    def header(self, name: str) -> str | None:
        """Return the value of a header by its lower-case name, or None."""
        return find_header(self.headers, name)


class Response(typing.NamedTuple):
    """A response; if ``stream`` is set, its parts are sent in place of ``body``.

    A stream is sent with chunked encoding unless its ``length`` in bytes is given.
    """

    status: int
    body: bytes = b""
    headers: Headers = ()
    stream: typing.AsyncIterator[bytes] | None = None
    close: bool = False
    length: int | None = None


def split_target(target: bytes) -> tuple[str, dict[str, str]]:
    """Split a request target into its decoded path and its query parameters."""
    parts = urllib.parse.urlsplit(target.decode("latin-1"))
    query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
    return urllib.parse.unquote(parts.path), query


def json_response(
    status: int, value: object, headers: Headers = (), close: bool = False
) -> Response:
    """Return a response with a JSON body."""
    content_type = ((b"content-type", b"application/json"),)
    body = msgspec.json.encode(value)
    return Response(status, body, content_type + headers, close=close)
