"""Applies changes to settings: writes or shows a plan, and waits until it applies."""

import asyncio
import functools
import random
import time
import typing

import yaml
from returns import result

from cornelreach.settings import apply, document, plan as plan_module, rules
from cornelreach.ui import context as context_module, exits

DEFAULT_WAIT_MS = 7_000
POLL_MS = 100
SECTIONS = {kind: section for section, kind in document.SECTIONS.items()}
DIFF_MARKS = {"create": "+", "update": "~", "delete": "-"}

Planned = result.Result[plan_module.Plan, tuple[rules.Problem, ...]]


def item_document(kind: str, fields: dict[str, typing.Any]) -> document.Document:
    """Return a document that contains a single item."""
    section = SECTIONS[kind]
    content = fields if kind == "defaults" else [fields]
    text = yaml.safe_dump({"format": document.FORMAT, section: content})
    return parse_document(text)


def parse_document(text: str) -> document.Document:
    """Parse a document; raises exits.CommandError with all problems found."""
    return unwrap(document.read(text))


def unwrap(outcome: result.Result) -> typing.Any:
    """Return the value of a result; raises exits.CommandError with all problems."""
    if isinstance(outcome, result.Failure):
        problems = outcome.failure()
        raise exits.CommandError(
            exits.ExitCode.REFUSED,
            "\n  ".join(["nothing was changed:", *map(str, problems)]),
            "correct the problems and run the command again",
        )
    return outcome.unwrap()


async def apply_document(
    context: context_module.CommandContext,
    arguments: context_module.Arguments,
    desired: document.Document,
) -> context_module.Output:
    """Apply the items of a document."""
    listing = await context.listing()
    prune = bool(arguments["--prune"])
    planned = plan_module.make(desired, listing, context.wall_ms(), prune)
    return await execute_plan(context, arguments, unwrap(planned))


async def delete_item(
    context: context_module.CommandContext,
    arguments: context_module.Arguments,
    key: str,
) -> context_module.Output:
    """Delete the item with a platform key."""
    listing = await context.listing()
    planned = plan_module.delete([key], listing, context.wall_ms())
    return await execute_plan(context, arguments, unwrap(planned))


async def execute_plan(
    context: context_module.CommandContext,
    arguments: context_module.Arguments,
    plan: plan_module.Plan,
) -> context_module.Output:
    """Write a plan, or only show it with --dry-run; wait for it with --wait."""
    diff = "\n".join(map(describe, plan.changes)) or "Nothing to change."
    value: dict[str, typing.Any] = {
        "changes": [change_value(change) for change in plan.changes],
        "written": False,
    }
    if arguments["--dry-run"] or not plan.changes:
        return context_module.Output(value, diff)
    report = await apply.Applier(context.platform, random.Random()).run(plan)
    value |= {"written": report.complete, "endings": outcome_values(report)}
    value["revision"] = report.revision
    if not report.complete:
        text = "\n".join(filter(None, map(outcome_text, report.outcomes)))
        return context_module.Output(value, text, exit_code(report))
    text = f"{diff}\nWritten at revision {report.revision}."
    written = context_module.Output(value, text)
    if not arguments["--wait"]:
        return written
    return await wait_until_applied(context, arguments, report.revision, written)


async def wait_until_applied(
    context: context_module.CommandContext,
    arguments: context_module.Arguments,
    revision: int,
    written: context_module.Output,
) -> context_module.Output:
    """Wait until all instances in --instances have a revision; list the outdated."""
    wait_ms = float(arguments["--wait-ms"] or DEFAULT_WAIT_MS)
    started_s = time.monotonic()
    while True:
        replies = await context.request_all("/admin/status")
        outdated = [reply for reply in replies if not has_revision(reply, revision)]
        elapsed_ms = (time.monotonic() - started_s) * 1_000
        if not outdated or elapsed_ms >= wait_ms:
            break
        await asyncio.sleep(POLL_MS / 1_000)
    names = [
        f"{reply.address} ({reply.error or reply.value['revision']})"
        for reply in outdated
    ]
    value = written.value | {"behind": names, "waited_ms": round(elapsed_ms)}
    if not outdated:
        text = f"In force on {len(replies)} instances after {elapsed_ms:.0f} ms."
        return context_module.Output(value, f"{written.text}\n{text}")
    text = f"Not in force after {elapsed_ms:.0f} ms on: {', '.join(names)}."
    return context_module.Output(
        value, f"{written.text}\n{text}", exits.ExitCode.NOT_IN_FORCE
    )


def has_revision(reply: context_module.InstanceReply, revision: int) -> bool:
    """Return whether an instance has a revision or a later one."""
    return not reply.error and reply.value["revision"] >= revision


def describe(change: plan_module.Change) -> str:
    """Format a change as a diff."""
    name = change.key.removeprefix("settings/")
    lines = [f"{DIFF_MARKS[change.kind]} {name}"]
    if change.after is not None:
        lines += [f"    {difference}" for difference in change.differences]
    return "\n".join(lines)


def change_value(change: plan_module.Change) -> dict[str, typing.Any]:
    """Return the JSON representation of a change."""
    differences = [difference._asdict() for difference in change.differences]
    return {"key": change.key, "kind": change.kind, "differences": differences}


def outcome_values(report: apply.Report) -> list[dict[str, typing.Any]]:
    """Return the JSON representation of a report's outcomes."""
    return [
        {"ending": type(outcome).__name__, **context_module.to_builtins(outcome)}
        for outcome in report.outcomes
    ]


def exit_code(report: apply.Report) -> exits.ExitCode:
    """Return the exit code for an incomplete report."""
    first = next(
        outcome for outcome in report.outcomes if not isinstance(outcome, apply.Applied)
    )
    codes = {apply.Unknown: exits.ExitCode.UNKNOWN, apply.Clash: exits.ExitCode.REFUSED}
    return codes.get(type(first), exits.ExitCode.UNREACHABLE)


@functools.singledispatch
def outcome_text(outcome: apply.ChangeOutcome) -> str:
    """Format the outcome of a change for operators."""
    raise TypeError(f"cannot format the outcome {outcome!r}")


@outcome_text.register
def _(outcome: apply.Applied) -> str:
    return f"written: {outcome.key} at revision {outcome.version}"


@outcome_text.register
def _(outcome: apply.Clash) -> str:
    differences = "".join(f"\n    {difference}" for difference in outcome.differences)
    return (
        f"conflict: {outcome.key} was changed concurrently:{differences}"
        f"\n  {outcome.remedy}"
    )


@outcome_text.register
def _(outcome: apply.NotWritten) -> str:
    return f"not written: {outcome.key}: {outcome.message}; {outcome.remedy}"


@outcome_text.register
def _(outcome: apply.Unknown) -> str:
    return f"unknown: {outcome.key}: {outcome.message}; {outcome.remedy}"
