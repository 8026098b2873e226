"""Digests and rendezvous hashing, based on BLAKE3."""

import typing

import blake3

DIGEST_BYTES = 16


def digest(*parts: bytes) -> bytes:
    """Return a 16-byte digest of the parts.

    Each part is prefixed with its length, so that the same bytes divided into other
    parts have another digest.
    """
    hasher = blake3.blake3()
    for part in parts:
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return hasher.digest(DIGEST_BYTES)


def score(key: bytes, member: str) -> int:
    """Return the rendezvous hashing score of a member for a key."""
    return int.from_bytes(digest(key, member.encode())[:8], "big")


def rendezvous(key: bytes, members: typing.Iterable[str]) -> list[str]:
    """Return the members by descending score for a key; equal on every instance."""
    return sorted(members, key=lambda member: (-score(key, member), member))
