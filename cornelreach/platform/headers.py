"""Conversion between the platform's HTTP headers and the gateway's types."""

import typing

from cornelreach.gateway import calls
from cornelreach.http import messages
from cornelreach.util import decoding

REQUEST_ID = b"x-cornelreach-request-id"
DEADLINE = b"x-cornelreach-deadline-ms"
API_KEY = b"x-api-key"
MODEL = b"x-cornelreach-model"
TOKEN_COUNTS = b"x-cornelreach-token-counts"
PROMPT_PREFIX = b"x-cornelreach-prompt-prefix"
LAST_EVENT = b"last-event-id"
RESUMES = b"resumes"
SIGNATURE = b"x-cornelreach-response-signature"
NOT_EXECUTED = b"x-cornelreach-not-executed"
SERVER_LOAD = b"x-cornelreach-server-load"
COLD_REMAINING = b"x-cornelreach-cold-remaining-ms"
TENANT = b"x-cornelreach-tenant"
TARGET = b"x-cornelreach-target-instance"
PRIORITY = b"x-cornelreach-request-priority"
CACHE_SALT = b"x-cornelreach-cache-salt"
EXPECTED_VERSION = b"x-cornelreach-expected-version"
KV_SOURCE = b"x-cornelreach-kv-source"
KV_TARGET = b"x-cornelreach-kv-target"
SERVER_LEAVING = b"server-leaving"
SERVER_LIMIT = b"server-limit"
SERVER_BRITTLE = b"server-brittle"
RETRY_AFTER = b"retry-after"
STORE_ERA = b"store-era"
DETOUR = b"cornelreach-detour"  # between instances

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
# Dropped from requests: headers that only the gateway may set, and headers meant
# for the gateway itself.
RESERVED = frozenset(
    (
        DEADLINE,
        API_KEY,
        TENANT,
        TARGET,
        PRIORITY,
        CACHE_SALT,
        EXPECTED_VERSION,
        KV_SOURCE,
        KV_TARGET,
        LAST_EVENT,
        DETOUR,
        b"x-cornelreach-pin-ms",
        b"x-cornelreach-kv-hold",
        b"x-cornelreach-kv-backup",
        b"x-cornelreach-kv-until",
        b"kv-from",
    )
)
# Dropped from responses: what a target tells this system about itself.
INTERNAL = frozenset(
    (SERVER_LOAD, SERVER_LEAVING, SERVER_LIMIT, SERVER_BRITTLE, DETOUR)
)
MAX_TOKENS = 2**31 - 1  # of a request or part; sums of many fit into a datagram
LOAD_COUNTS = 3  # of a load report: running, waiting, slots; the pace follows
MIN_PACE, MAX_PACE = 0.1, 20.0
MISDIRECTED = 421
UNAVAILABLE = 503


def read_call(headers: messages.Headers) -> calls.Call:
    """Decode the headers of a caller's request; malformed ones count as absent."""
    found = dict(reversed(headers))
    prompt, _, output = _text(found, TOKEN_COUNTS).partition(",")
    deadline = _text(found, DEADLINE)
    return calls.Call(
        request_id=_text(found, REQUEST_ID),
        deadline_ms=_number(deadline),
        api_key=found[API_KEY].decode("latin-1") if API_KEY in found else None,
        model=_text(found, MODEL),
        prompt_tokens=_tokens(prompt),
        output_tokens=_tokens(output),
        parts=_parts(_text(found, PROMPT_PREFIX)),
        last_event=_text(found, LAST_EVENT) or None,
        resumes=_text(found, RESUMES),
    )


def _text(found: typing.Mapping[bytes, bytes], name: bytes) -> str:
    return found.get(name, b"").decode("latin-1").strip()


def _number(text: str) -> float | None:
    return float(text) if decoding.is_number(text.strip()) else None


def _tokens(text: str) -> int:
    return min(MAX_TOKENS, int(_number(text) or 0))


def _parts(text: str) -> tuple[calls.Part, ...]:
    parts = []
    for field in text.split(",") if text else ():
        key, _, tokens = field.strip().partition(":")
        parts.append(calls.Part(key, _tokens(tokens)))
    return tuple(parts)


def request_host(headers: messages.Headers) -> str:
    """Return the host of a request in lower case and without the port."""
    host = messages.find_header(headers, "host") or ""
    return host.rpartition(":")[0].lower() if ":" in host else host.lower()


def request_headers(
    headers: messages.Headers, metadata: calls.RequestMetadata
) -> messages.Headers:
    """Return the headers to send to a target with a caller's request."""
    dropped = _connection_options(headers)
    forwarded = [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP and name not in RESERVED and name not in dropped
    ]
    forwarded.append((TARGET, metadata.target.encode()))
    forwarded.append((DEADLINE, str(max(1, int(metadata.deadline_ms))).encode()))
    from_metadata = (
        (TENANT, metadata.account),
        (PRIORITY, metadata.priority),
        (CACHE_SALT, metadata.salt),
        (EXPECTED_VERSION, metadata.version),
        (KV_SOURCE, _by_part(metadata.fetch_from)),
        (KV_TARGET, _by_part(metadata.save_to)),
        (LAST_EVENT, metadata.last_event),
    )
    forwarded.extend(
        (name, str(value).encode())
        for name, value in from_metadata
        if value is not None
    )
    return tuple(forwarded)


def passed_on_headers(
    headers: messages.Headers, deadline_ms: float, field: tuple[bytes, bytes]
) -> messages.Headers:
    """Return the headers with which another instance gets a caller's request."""
    dropped = _connection_options(headers) | HOP_BY_HOP | {DEADLINE, field[0]}
    kept = tuple((name, value) for name, value in headers if name not in dropped)
    return (*kept, (DEADLINE, str(max(1, int(deadline_ms))).encode()), field)


def _by_part(stores: tuple[str | None, ...]) -> str | None:
    if not any(stores):
        return None
    return ",".join(store or "-" for store in stores)


def response_headers(headers: messages.Headers) -> messages.Headers:
    """Return the headers of a target's response that are passed to the caller."""
    dropped = _connection_options(headers)
    return tuple(
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP and name not in dropped and name not in INTERNAL
    )


def _connection_options(headers: messages.Headers) -> set[bytes]:
    named = set()
    for name, value in headers:
        if name == b"connection":
            named.update(token.strip().lower() for token in value.split(b","))
    return named - {REQUEST_ID, SIGNATURE, b"host"}


def read_reply(status: int, headers: messages.Headers) -> calls.Reply:
    """Decode the status and headers of a target's response."""
    found = dict(reversed(headers))
    not_run = NOT_EXECUTED in found or status == MISDIRECTED
    cold_ms = _number(_text(found, COLD_REMAINING))
    bears = _number(_text(found, SERVER_BRITTLE))
    return calls.Reply(
        status=status,
        request_id=_text(found, REQUEST_ID) or None,
        signed=SIGNATURE in found,
        not_run=not_run,
        moved=status == MISDIRECTED,
        load=_load(_text(found, SERVER_LOAD)),
        cold_ms=cold_ms,
        leaving=_text(found, SERVER_LEAVING) == "1",
        rest_ms=retry_after_ms(headers) if status == UNAVAILABLE else None,
        limit_per_s=decoding.parse_decimal(_text(found, SERVER_LIMIT)),
        bears=None if bears is None else int(bears),
    )


def response_matcher(request_id: str) -> typing.Callable[[messages.Headers], bool]:
    """Return a predicate that tells whether response headers name no other request.

    A response without an identifier matches, since those to control calls carry none.
    """
    wanted = request_id.encode("latin-1")

    def matches(headers: messages.Headers) -> bool:
        return all(value == wanted for name, value in headers if name == REQUEST_ID)

    return matches


def named_matcher(request_id: str) -> typing.Callable[[messages.Headers], bool]:
    """Return a predicate that tells whether response headers name a request."""
    wanted = request_id.encode("latin-1")

    def matches(headers: messages.Headers) -> bool:
        return [value for name, value in headers if name == REQUEST_ID] == [wanted]

    return matches


def is_unnamed_report(headers: messages.Headers) -> bool:
    """Return whether another instance's response reports, and names no request."""
    names = {name for name, _ in headers}
    return DETOUR in names and REQUEST_ID not in names


# For calls without an identifier, whose answers bear none either.
control_matcher = response_matcher("")


def _load(text: str) -> calls.Load | None:
    """Decode a load report as far as it is known; later fields are ignored."""
    fields = text.split(",")
    numbers = [_number(value) for value in fields[:LOAD_COUNTS]]
    if len(numbers) != LOAD_COUNTS or None in numbers:
        return None
    pace = _pace(fields[LOAD_COUNTS]) if len(fields) > LOAD_COUNTS else 1.0
    return calls.Load(*(int(value) for value in numbers), pace)


def _pace(text: str) -> float:
    """Return how long work takes compared with usual; 1.0 if that is not stated."""
    percent = decoding.parse_decimal(text.strip())
    if not percent:  # no work takes no time
        return 1.0
    return min(MAX_PACE, max(MIN_PACE, percent / 100))


def retry_after(wait_ms: float) -> messages.Headers:
    """Return a Retry-After header; callers accept fractions of a second."""
    return ((RETRY_AFTER, f"{wait_ms / 1_000:.2f}".encode()),)


def retry_after_ms(headers: messages.Headers) -> float | None:
    """Return the wait that a Retry-After header in seconds asks for, or None."""
    found = messages.find_header(headers, RETRY_AFTER.decode())
    seconds = decoding.parse_decimal(found.strip()) if found else None
    return None if seconds is None else seconds * 1_000


def store_era(headers: messages.Headers) -> int | None:
    """Return how often the platform's store came back from a copy, or None."""
    found = (messages.find_header(headers, STORE_ERA.decode()) or "").strip()
    return int(found) if decoding.is_number(found) else None
