"""Numbered log events.

Each package defines its events at import, within its own range of numbers::

    APPLIED = events.define(1101, "INFO", "Applied revision {revision}.", "Nothing.")
    events.emit(APPLIED, revision=7)

docs/EVENTS.md lists them all; a test compares the two.
"""

import typing

import loguru


class Event(typing.NamedTuple):
    """One kind of log line; ``action`` says what an operator does about it."""

    number: int
    level: str
    template: str
    action: str


CATALOGUE: dict[int, Event] = {}


def define(number: int, level: str, template: str, action: str) -> Event:
    """Add an event to the catalogue; a number can be defined only once."""
    if number in CATALOGUE:
        raise ValueError(f"event {number} is already defined; choose a free number")
    event = Event(number, level, template, action)
    CATALOGUE[number] = event
    return event


def emit(event: Event, **fields: object) -> None:
    """Log one event with its fields, which become text only if the level is logged."""
    bound = loguru.logger.bind(event=event.number, **fields)
    lazy = bound.opt(depth=1, lazy=True)
    lazy.log(event.level, "{}", lambda: event.template.format(**fields))


def catalogue_markdown() -> str:
    """Return the whole catalogue as the text of docs/EVENTS.md."""
    rows = [
        f"| {event.number} | {event.level} | {event.template} | {event.action} |"
        for _, event in sorted(CATALOGUE.items())
    ]
    head = [
        "# Log events",
        "",
        "Written by `make docs`; a test compares this page with the code.",
        "",
        "| number | level | message | what to do |",
        "| --- | --- | --- | --- |",
    ]
    return "\n".join(head + rows) + "\n"
