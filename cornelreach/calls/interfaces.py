"""Interfaces to the parts of an instance that calls depend on."""

import typing

from returns import result

from cornelreach.prompts import pieces
from cornelreach.settings import items
from cornelreach.targets import permits
from cornelreach.util import errors


class PlacedRequest(typing.NamedTuple):
    """A placed request: its permit, its target and when the permit was requested.

    ``request`` is the permit request that the owner granted.
    """

    permit: permits.Permit
    target: items.Target
    asked_ms: float
    request: permits.PermitRequest


class PlacementRequest(typing.NamedTuple):
    """What one request requires of a pool.

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
    """Chooses a pool, requests a permit from its owner and releases permits."""

    async def place(
        self, placement: PlacementRequest, *others: PlacementRequest
    ) -> result.Result[PlacedRequest, errors.Refusal]:
        """Return the placed request; after a refusal, nothing has been run.

        ``others`` are fallbacks, tried if no pool can admit ``placement``.
        """

    async def renew(self, placed: PlacedRequest) -> PlacedRequest:
        """Return a request with a later expiry if its own is near, else the same."""

    def release(self, release: permits.Release, pool: str) -> None:
        """Release a permit to the pool's owner, without blocking."""
