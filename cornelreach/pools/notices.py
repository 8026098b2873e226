"""Notifications between instances, with an empty reply."""

import typing


class Resumed(typing.NamedTuple):
    """Notifies a run's instance that the caller resumed the run elsewhere."""

    instance: str
    run: str


class Empty(typing.NamedTuple):
    """An empty reply."""
