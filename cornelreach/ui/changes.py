"""Carries a plan of changes out for a command: shows, writes, waits until in force."""

import asyncio
import functools
import random
import time
import typing

import yaml
from returns import result

from cornelreach.settings import apply, document, plan as plan_module, rules
from cornelreach.ui import exits, tool as tool_module

DEFAULT_WAIT_MS = 7_000
POLL_MS = 100
SECTION_OF = {kind: section for section, kind in document.SECTIONS.items()}
MARKS = {"create": "+", "update": "~", "delete": "-"}

Planned = result.Result[plan_module.Plan, tuple[rules.Problem, ...]]


def stated(kind: str, fields: dict[str, typing.Any]) -> document.Document:
    """Return the document that states one item."""
    section = SECTION_OF[kind]
    content = fields if kind == "defaults" else [fields]
    text = yaml.safe_dump({"format": document.FORMAT, section: content})
    return read(text)


def read(text: str) -> document.Document:
    """Return the document in a text; fails with all its problems."""
    return accepted(document.read(text))


def accepted(outcome: result.Result) -> typing.Any:
    """Return what a check accepted; fails with all the problems it found."""
    if isinstance(outcome, result.Failure):
        found = outcome.failure()
        raise exits.Failed(
            exits.Exit.REFUSED,
            "\n  ".join(["nothing was changed:", *map(str, found)]),
            "correct this and run the command again",
        )
    return outcome.unwrap()


async def state(
    tool: tool_module.Tool,
    arguments: tool_module.Arguments,
    wanted: document.Document,
) -> tool_module.Output:
    """Bring a document's items into force."""
    listing = await tool.listing()
    prune = bool(arguments["--prune"])
    planned = plan_module.make(wanted, listing, tool.wall_ms(), prune)
    return await carry_out(tool, arguments, accepted(planned))


async def delete(
    tool: tool_module.Tool, arguments: tool_module.Arguments, key: str
) -> tool_module.Output:
    """Delete an item by its platform key."""
    listing = await tool.listing()
    planned = plan_module.delete([key], listing, tool.wall_ms())
    return await carry_out(tool, arguments, accepted(planned))


async def carry_out(
    tool: tool_module.Tool,
    arguments: tool_module.Arguments,
    plan: plan_module.Plan,
) -> tool_module.Output:
    """Show a plan with --dry-run, or write it, and wait for it with --wait."""
    shown = "\n".join(map(describe, plan.changes)) or "Nothing to change."
    value: dict[str, typing.Any] = {
        "changes": [summary(change) for change in plan.changes],
        "written": False,
    }
    if arguments["--dry-run"] or not plan.changes:
        return tool_module.Output(value, shown)
    report = await apply.Applier(tool.platform, random.Random()).run(plan)
    value |= {"written": report.complete, "endings": endings(report)}
    value["revision"] = report.revision
    if not report.complete:
        text = "\n".join(filter(None, map(told, report.outcomes)))
        return tool_module.Output(value, text, code_of(report))
    text = f"{shown}\nWritten at revision {report.revision}."
    written = tool_module.Output(value, text)
    if not arguments["--wait"]:
        return written
    return await wait(tool, arguments, report.revision, written)


async def wait(
    tool: tool_module.Tool,
    arguments: tool_module.Arguments,
    revision: int,
    written: tool_module.Output,
) -> tool_module.Output:
    """Wait until a revision is in force on every named instance; name who is behind."""
    wait_ms = float(arguments["--wait-ms"] or DEFAULT_WAIT_MS)
    begun_s = time.monotonic()
    while True:
        answers = await tool.ask_all("/admin/status")
        behind = [answer for answer in answers if not in_force(answer, revision)]
        passed_ms = (time.monotonic() - begun_s) * 1_000
        if not behind or passed_ms >= wait_ms:
            break
        await asyncio.sleep(POLL_MS / 1_000)
    names = [
        f"{answer.address} ({answer.error or answer.value['revision']})"
        for answer in behind
    ]
    value = written.value | {"behind": names, "waited_ms": round(passed_ms)}
    if not behind:
        text = f"In force on {len(answers)} instances after {passed_ms:.0f} ms."
        return tool_module.Output(value, f"{written.text}\n{text}")
    text = f"Not in force after {passed_ms:.0f} ms on: {', '.join(names)}."
    return tool_module.Output(value, f"{written.text}\n{text}", exits.Exit.BEHIND)


def in_force(answer: tool_module.Answer, revision: int) -> bool:
    """Tell whether an instance has a revision or a higher one."""
    return not answer.error and answer.value["revision"] >= revision


def describe(change: plan_module.Change) -> str:
    """Return a change as lines of a diff."""
    name = change.key.removeprefix("settings/")
    lines = [f"{MARKS[change.kind]} {name}"]
    if change.after is not None:
        lines += [f"    {difference}" for difference in change.differences]
    return "\n".join(lines)


def summary(change: plan_module.Change) -> dict[str, typing.Any]:
    """Return a change for --json."""
    differences = [difference._asdict() for difference in change.differences]
    return {"key": change.key, "kind": change.kind, "differences": differences}


def endings(report: apply.Report) -> list[dict[str, typing.Any]]:
    """Return the endings of a report for --json."""
    return [
        {"ending": type(ending).__name__, **tool_module.plain(ending)}
        for ending in report.outcomes
    ]


def code_of(report: apply.Report) -> exits.Exit:
    """Return the exit code for a report that is not complete."""
    first = next(end for end in report.outcomes if not isinstance(end, apply.Applied))
    codes = {apply.Unknown: exits.Exit.UNKNOWN, apply.Clash: exits.Exit.REFUSED}
    return codes.get(type(first), exits.Exit.UNREACHABLE)


@functools.singledispatch
def told(ending: apply.Outcome) -> str:
    """Return what an operator is told about the ending of one change."""
    raise TypeError(f"no text is defined for {ending!r}")


@told.register
def _(ending: apply.Applied) -> str:
    return f"written: {ending.key} at revision {ending.version}"


@told.register
def _(ending: apply.Clash) -> str:
    differences = "".join(f"\n    {found}" for found in ending.differences)
    return (
        f"conflict: {ending.key} was changed meanwhile:{differences}\n  {ending.remedy}"
    )


@told.register
def _(ending: apply.NotWritten) -> str:
    return f"not written: {ending.key}: {ending.message}; {ending.remedy}"


@told.register
def _(ending: apply.Unknown) -> str:
    return f"unknown: {ending.key}: {ending.message}; {ending.remedy}"
