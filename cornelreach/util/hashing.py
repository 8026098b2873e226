"""Digests and rendezvous hashing, based on BLAKE3."""

import functools
import typing

import blake3

DIGEST_BYTES = 16
CACHED_NAMES = 16_384


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


@functools.lru_cache(maxsize=CACHED_NAMES)
def name_hash(name: str) -> int:
    """Return a 64-bit hash of a name, from a cache."""
    return int.from_bytes(digest(name.encode())[:8], "big")


def pair_score(key_hash: int, member_hash: int) -> int:
    """Return a cheap rendezvous score of two hashes, from 0 to 2**64 - 1.

    Integers hash alike in every process of one Python version. Where instances run
    different versions they may disagree, so only preferences may depend on it.
    """
    # Two items alone are not mixed enough for scores to be uniform.
    mixed = hash((key_hash, member_hash, key_hash ^ member_hash))
    return mixed & 0xFFFF_FFFF_FFFF_FFFF


def preferred(key: bytes, members: typing.Iterable[str]) -> str:
    """Return the member with the highest cheap rendezvous score for a key."""
    key_hash = int.from_bytes(digest(key)[:8], "big")
    return max(members, key=lambda member: pair_score(key_hash, name_hash(member)))
