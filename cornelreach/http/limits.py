"""Bounds on what one HTTP connection may send and how long it may take."""

import typing


class Limits(typing.NamedTuple):
    """Limits of a server; a breach is answered with a typed refusal."""

    header_bytes: int = 32_768
    body_bytes: int = 8_388_608
    header_wait_ms: int = 10_000
    body_wait_ms: int = 30_000
    idle_ms: int = 75_000
    write_wait_ms: int = 30_000
    connections: int = 4_096
