"""Decoded headers of a request: the caller's, those sent to a target, the reply's."""

import typing


class Part(typing.NamedTuple):
    """A segment of a prompt, in order; requests may share their leading parts."""

    key: str
    tokens: int


class Call(typing.NamedTuple):
    """The headers of a caller's request; absent ones are None or empty.

    A caller that continues a stream names in ``resumes`` the attempt that brought the
    stream's first event, and in ``last_event`` the last event it received.
    """

    request_id: str
    deadline_ms: float | None
    api_key: str | None
    model: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[Part, ...]
    last_event: str | None
    resumes: str = ""

    @property
    def context_tokens(self) -> int:
        """Return the tokens of context that the request occupies when it ends."""
        return self.prompt_tokens + self.output_tokens


class RequestMetadata(typing.NamedTuple):
    """The headers that are added to the caller's request for the target.

    ``fetch_from`` and ``save_to`` name a prompt store or None for each prompt part.
    """

    target: str
    deadline_ms: float
    account: str | None = None
    priority: int | None = None
    salt: str | None = None
    version: int | None = None
    fetch_from: tuple[str | None, ...] = ()
    save_to: tuple[str | None, ...] = ()
    last_event: str | None = None


class Load(typing.NamedTuple):
    """The load that a target reports in its reply.

    ``pace`` is how long work takes there now, compared with 1.0 as usual.
    """

    running: int
    waiting: int
    slots: int
    pace: float = 1.0


class Reply(typing.NamedTuple):
    """The status and headers of a target's reply.

    ``not_run`` is set if the target states that it did not execute the request,
    ``moved`` if another target or model version now has that address. ``leaving`` is
    set if the target says that it is about to stop; ``rest_ms`` is how long it asks
    this instance to send it nothing, ``limit_per_s`` how many requests a second it
    takes from all instances together, ``bears`` how many requests a second it can turn
    away without falling over, if it is brittle.
    """

    status: int
    request_id: str | None
    signed: bool
    not_run: bool
    moved: bool
    load: Load | None
    cold_ms: float | None
    leaving: bool = False
    rest_ms: float | None = None
    limit_per_s: float | None = None
    bears: int | None = None
