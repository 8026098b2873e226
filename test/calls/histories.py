"""Histories of at-most-once calls, and the rules that they must keep."""

import collections
import typing


class Executed(typing.NamedTuple):
    """A target executed the call of one request."""

    key: str
    request: int
    body: bytes
    answer: bytes


class Returned(typing.NamedTuple):
    """A caller was told the outcome of its request: ``answer``, ``not_run``,
    ``unknown``, ``ran``, or ``gone`` if the instance crashed."""

    key: str
    request: int
    body: bytes
    outcome: str
    answer: bytes = b""


def violations(history):
    """Return one message for each violation of a rule in a history."""
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
            found += _check_return(event, executions[event.key], executed)
    return found


def _check_return(event, runs, executed):
    if event.outcome == "not_run" and event.request in executed:
        return [f"request {event.request} was reported as not run, but was executed"]
    if event.outcome != "answer":
        return []
    if not runs:
        return [f"request {event.request} got an answer without an execution"]
    if event.answer != runs[0].answer:
        return [f"request {event.request} got another answer than the first"]
    if event.body != runs[0].body:
        return [f"request {event.request} got the answer to another body"]
    return []
