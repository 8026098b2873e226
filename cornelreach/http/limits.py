"""Size and time limits of HTTP connections."""

import typing


class Limits(typing.NamedTuple):
    """Limits of a server; exceeding one is answered with a typed refusal."""

    header_bytes: int = 32_768
    body_bytes: int = 8_388_608
    header_wait_ms: int = 10_000
    body_wait_ms: int = 30_000
    idle_ms: int = 75_000
    write_wait_ms: int = 30_000
    connections: int = 4_096
