"""One request on its way: what the caller said, what a target is told, its reply."""

import typing


class Part(typing.NamedTuple):
    """A part of a prompt, in order; parts are shared between requests."""

    key: str
    tokens: int


class Call(typing.NamedTuple):
    """What a caller's headers say; absent ones are None or empty."""

    request_id: str
    deadline_ms: float | None
    api_key: str | None
    model: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[Part, ...]
    last_event: str | None

    @property
    def context_tokens(self) -> int:
        """Return the memory that the request fills by its end."""
        return self.prompt_tokens + self.output_tokens


class Directions(typing.NamedTuple):
    """What the system tells a target beside the caller's own request.

    ``fetch_from`` and ``save_to`` name a prompt store, or none, for each part.
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
    """What a target reports of itself in an answer."""

    running: int
    waiting: int
    slots: int


class Reply(typing.NamedTuple):
    """The head of a target's answer.

    ``not_run`` is the target's own word that it did not run the request; ``moved``
    says that another target, or another model version, is at that address.
    """

    status: int
    request_id: str | None
    signed: bool
    not_run: bool
    moved: bool
    load: Load | None
    cold_ms: float | None
