"""Digests and rendezvous order, over blake3."""

import typing

import blake3

DIGEST_BYTES = 16


def digest(*parts: bytes) -> bytes:
    """Return a 16-byte digest of length-prefixed parts, so that no split collides."""
    hasher = blake3.blake3()
    for part in parts:
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return hasher.digest(DIGEST_BYTES)


def score(key: bytes, member: str) -> int:
    """Return the rendezvous weight of a member for a key."""
    return int.from_bytes(digest(key, member.encode())[:8], "big")


def rendezvous(key: bytes, members: typing.Iterable[str]) -> list[str]:
    """Return members in falling preference for a key; the same on every instance."""
    return sorted(members, key=lambda member: (-score(key, member), member))
