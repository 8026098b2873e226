"""Notices between instances that need no answer."""

import typing


class Resumed(typing.NamedTuple):
    """Tells the instance of a run that its caller took it up again elsewhere."""

    instance: str
    run: str


class Nothing(typing.NamedTuple):
    """An empty reply."""
