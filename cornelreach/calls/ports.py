"""What a call needs from the rest of an instance, as interfaces."""

import typing

from returns import result

from cornelreach.prompts import pieces
from cornelreach.settings import items
from cornelreach.targets import permits
from cornelreach.util import errors


class Ticket(typing.NamedTuple):
    """A placed request: the permit, the target and when the permit was asked for.

    ``request`` is the question that the owner answered with the permit.
    """

    permit: permits.Permit
    target: items.Target
    asked_ms: float
    request: permits.PermitRequest


class Need(typing.NamedTuple):
    """What one request needs of a pool.

    ``serves`` names the model or service; ``prompt`` is None for a plain service.
    ``version`` is the weight version that the target must have loaded.
    """

    account: str
    serves: str
    priority: int
    prompt: pieces.PromptPieces | None
    answer_tokens: int
    wait_ms: int
    avoid: tuple[str, ...] = ()
    version: str = ""


class Placer(typing.Protocol):
    """Chooses a pool and asks its owner; hands permits back."""

    async def place(
        self, need: Need, *others: Need
    ) -> result.Result[Ticket, errors.Refusal]:
        """Return leave to send, or a refusal that is true: nothing was run.

        ``others`` are second choices for where nothing can admit the first.
        """

    async def renew(self, ticket: Ticket) -> Ticket:
        """Return a ticket with a fresh expiry where its own is near, or the same."""

    def release(self, release: permits.Release, pool: str) -> None:
        """Hand a permit back to the pool's owner; never blocks."""
