"""Histories of calls that may not be repeated, and what must hold of them."""

import collections
import typing


class Executed(typing.NamedTuple):
    """A target ran a call on behalf of one request."""

    key: str
    request: int
    body: bytes
    answer: bytes


class Returned(typing.NamedTuple):
    """A caller was told the end of its request: ``answer``, ``not_run``, ``unknown``,
    ``ran``, or ``gone`` where the instance died."""

    key: str
    request: int
    body: bytes
    end: str
    answer: bytes = b""


def violations(history):
    """Return a line for each rule that a history breaks."""
    executions = collections.defaultdict(list)
    for event in history:
        if isinstance(event, Executed):
            executions[event.key].append(event)
    found = [
        f"{key} was executed {len(runs)} times"
        for key, runs in executions.items()
        if len(runs) > 1
    ]
    executed = {event.request for runs in executions.values() for event in runs}
    for event in history:
        if isinstance(event, Returned):
            found += _of_return(event, executions[event.key], executed)
    return found


def _of_return(event, runs, executed):
    if event.end == "not_run" and event.request in executed:
        return [f"request {event.request} was told not run, and was executed"]
    if event.end != "answer":
        return []
    if not runs:
        return [f"request {event.request} got an answer of no execution"]
    if event.answer != runs[0].answer:
        return [f"request {event.request} got another answer than the first"]
    if event.body != runs[0].body:
        return [f"request {event.request} got the answer to another body"]
    return []
