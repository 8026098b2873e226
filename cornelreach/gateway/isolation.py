"""Compartments of KV cache, so that isolated accounts share no prompts with others.

Engines and prompt stores keep what a request has read under its cache salt, and a later
request finds it only under the same one. Nothing there says which account made a part,
so what an account made before it became isolated can be told apart only by its salt.
The compartment of the accounts that are not isolated is therefore named after those
that are: once an account becomes isolated, nobody looks up what it has shared before::

    compartment(Account("bank", isolated=True, ...), frozenset({"bank"}))  # ".bank"
    compartment(None, frozenset({"bank"}))  # "/" and a digest of {"bank"}
    compartment(None, frozenset())  # "."

The name follows from one configuration alone, so instances that read the same one use
the same compartment, also after a restart. One that still has an older configuration
uses the older compartment, together with others like it.
"""

import functools

from cornelreach.gateway import catalogue
from cornelreach.util import hashing

CACHED_SETS = 16


def compartment(account: catalogue.Account | None, isolated: frozenset[str]) -> str:
    """Return the end of the cache salt of an account's requests.

    ``isolated`` names the accounts that are isolated by the configuration in force. The
    request may have been admitted by an older one, so its account is looked up there.
    """
    if account is not None and (account.isolated or account.name in isolated):
        return f".{account.name}"
    return _shared_compartment(isolated)


@functools.lru_cache(maxsize=CACHED_SETS)
def _shared_compartment(isolated: frozenset[str]) -> str:
    if not isolated:
        return "."
    return f"/{hashing.digest(*(one.encode() for one in sorted(isolated))).hex()}"
