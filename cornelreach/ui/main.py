"""The operator's tool ``cornelreach``: every command, flag and exit code.

The table ``COMMANDS`` is the one source of the usage text, of the dispatch, of the
completion file and of docs/reference-commands.md.
"""

import asyncio
import functools
import signal
import sys
import typing

import docopt
import msgspec

import cornelreach
from cornelreach.ui import exits, tool as tool_module
from cornelreach.ui.commands import (
    account,
    burn,
    completion,
    config,
    exception,
    fleet,
    item,
)
from cornelreach.util import errors

Run = typing.Callable[
    [tool_module.Tool, tool_module.Arguments], typing.Awaitable[tool_module.Output]
]


class Command(typing.NamedTuple):
    """One command: its usage, what runs it, and what it does."""

    usage: str
    run: Run
    help: str

    @property
    def words(self) -> tuple[str, ...]:
        """Return the words that choose the command."""
        words = self.usage.split()
        return tuple(word for word in words if word.replace("-", "").islower())


def _item_commands(kind: str) -> list[Command]:
    def run(function: typing.Callable) -> Run:
        return functools.partial(function, kind=kind)

    return [
        Command(f"{kind} list", run(item.list_items), f"List the {kind} items."),
        Command(f"{kind} show NAME", run(item.show), "Show every field of one."),
        Command(
            f"{kind} set NAME FIELD=VALUE...",
            run(item.set_fields),
            "Create one or change fields; values are YAML, null is the default.",
        ),
        Command(f"{kind} delete NAME", run(item.delete), "Delete one."),
    ]


COMMANDS = (
    *_item_commands("account"),
    Command("account new-key NAME", account.new_key, "Make a bearer key, shown once."),
    Command("account drop-key NAME DIGEST", account.drop_key, "Remove a bearer key."),
    *_item_commands("model"),
    *_item_commands("target"),
    *_item_commands("data-centre"),
    Command(
        "defaults show",
        functools.partial(item.show, kind="defaults"),
        "Show the fleet-wide defaults.",
    ),
    Command(
        "defaults set FIELD=VALUE...",
        functools.partial(item.set_fields, kind="defaults"),
        "Change fleet-wide defaults.",
    ),
    Command(
        "exceptions",
        exception.list_exceptions,
        "List exceptions, oldest first; flags those ended or equal to the default.",
    ),
    Command(
        "exception add NAME --scope=SCOPE --setting=SETTING --value=VALUE "
        "--reason=TEXT --ends=TIME",
        exception.add,
        "Let a setting differ for account:NAME or model:NAME until a time.",
    ),
    Command(
        "exception delete NAME",
        functools.partial(item.delete, kind="exception"),
        "End an exception now.",
    ),
    Command("apply FILE", config.apply, "Bring a YAML file into force; - is stdin."),
    Command("get [KIND [NAME]]", config.get, "Print the items as `apply` reads them."),
    Command("history [KIND [NAME]]", config.history, "Print the changes still held."),
    Command("schema", config.schema, "Print the JSON schema of the file."),
    Command("status", fleet.status, "Show instances, who is behind, and pools."),
    Command("drain ADDRESS", fleet.drain, "Stop one instance gracefully."),
    Command(
        "take-out NAME --reason=TEXT [--via=ADDRESS]",
        fleet.take_out,
        "Give a data centre no new work.",
    ),
    Command(
        "bring-back NAME [--reason=TEXT] [--via=ADDRESS]",
        fleet.bring_back,
        "Give a data centre work again.",
    ),
    Command("burn", burn.burn, "Report the burn of service-level objectives."),
    Command("completion", completion.completion, "Print a completion file for bash."),
)

OPTIONS = (
    ("--platform=URL", "The platform's address (CORNELREACH_PLATFORM)."),
    (
        "--instances=LIST",
        "Admin addresses of instances, by comma (CORNELREACH_INSTANCES).",
    ),
    (
        "--operator-key-file=FILE",
        "File of the operators' key (CORNELREACH_OPERATOR_KEY_FILE).",
    ),
    ("--json", "Print JSON in place of text."),
    ("--dry-run", "Show what would change, and change nothing."),
    ("--prune", "Delete items of the stated kinds that the file does not name."),
    ("--wait", "Wait until the change is in force on the instances."),
    ("--wait-ms=MS", "Longest wait in milliseconds (7000)."),
    ("--scope=SCOPE", "account:NAME or model:NAME."),
    ("--setting=SETTING", "The default that differs."),
    ("--value=VALUE", "Its value for the scope."),
    ("--reason=TEXT", "Why; kept with the item."),
    ("--ends=TIME", "When it ends, such as 2027-01-31T12:00:00+00:00."),
    ("--via=ADDRESS", "Hand it to an instance's admin address, not the platform."),
    ("--png=FILE", "Also write a plot."),
    ("--check", "Exit with 6 if there is an alert to page for."),
    ("--help", "Show this text."),
    ("--version", "Show the version."),
)

NAMES = ("NAME", "KIND", "FIELD=VALUE")


def usage(commands: typing.Iterable[Command] = COMMANDS) -> str:
    """Return the usage text of some commands, as docopt parses it."""
    lines = ["Operate a fleet of cornelreach.", "", "Usage:"]
    lines += [f"  cornelreach {command.usage} [options]" for command in commands]
    lines += ["  cornelreach --help | --version", "", "Options:"]
    lines += [f"  {flag:<26} {help}" for flag, help in OPTIONS]
    return "\n".join(lines) + "\n"


def find(argv: list[str]) -> Command | None:
    """Return the command whose words the arguments begin with, flags left out."""
    given = [word for word in argv if not word.startswith("-")]
    for command in COMMANDS:
        if tuple(given[: len(command.words)]) == command.words:
            return command
    return None


def parse(argv: list[str]) -> tool_module.Arguments:
    """Return the arguments as docopt reads them; fails if they fit no command."""
    if "--help" in argv:
        return {"--help": True}
    command = find(argv)
    text = usage((command,) if command else ())
    version = cornelreach.__version__
    try:
        given = dict(docopt.docopt(text, argv, default_help=False, version=version))
    except docopt.DocoptExit:
        message = "the arguments fit no command"
        remedy = "see `cornelreach --help`"
        if command:
            message = f"the arguments do not fit `{command.words[0]}`"
            remedy = f"use: cornelreach {command.usage}"
        raise exits.Failed(exits.Exit.USAGE, message, remedy) from None
    return dict.fromkeys(NAMES) | given | {"run": command and command.run}


async def run(arguments: tool_module.Arguments) -> tool_module.Output:
    """Run the command that the arguments chose, or show the usage."""
    if arguments["--help"]:
        return tool_module.Output({"usage": usage()}, usage().rstrip())
    arguments["usages"] = [command.usage for command in COMMANDS]
    arguments["options"] = [flag.split("=")[0] for flag, _ in OPTIONS]
    tool = tool_module.Tool(arguments)
    try:
        return await arguments["run"](tool, arguments)
    finally:
        await tool.close()


def show_error(error: errors.UserError, as_json: bool) -> exits.Exit:
    """Print an error without a traceback and return its exit code."""
    code = error.code if isinstance(error, exits.Failed) else exits.Exit.REFUSED
    value = {"error": {"message": error.message, "remedy": error.remedy}}
    text = msgspec.json.encode(value).decode() if as_json else f"cornelreach: {error}"
    print(text, file=sys.stderr)
    return code


def execute(argv: list[str]) -> int:
    """Run the tool with arguments, print its output and return the exit code."""
    as_json = "--json" in argv
    try:
        output = asyncio.run(run(parse(argv)))
    except errors.UserError as error:
        return show_error(error, as_json)
    except KeyboardInterrupt:
        return exits.Exit.UNKNOWN
    print(as_text(output, as_json))
    return output.code


def as_text(output: tool_module.Output, as_json: bool) -> str:
    """Return what a command prints."""
    if not as_json:
        return output.text
    return msgspec.json.encode(tool_module.plain(output.value)).decode()


def main() -> None:
    """Run the tool with the arguments of the process."""
    signal.signal(signal.SIGPIPE, signal.SIG_DFL)
    sys.exit(int(execute(sys.argv[1:])))


def reference_markdown() -> str:
    """Return the text of docs/reference-commands.md."""
    commands = [f"| `{one.usage}` | {one.help} |" for one in COMMANDS]
    options = [f"| `{flag}` | {help} |" for flag, help in OPTIONS]
    codes = [f"| {code.value} | {text} |" for code, text in exits.MEANINGS.items()]
    parts = [
        "# Commands of cornelreach",
        "",
        "A test compares this page with the tool. A flag goes before its variable.",
        "Every command takes `--json`; every change takes `--dry-run`, `--wait` and",
        "`--wait-ms`.",
        "",
        "| command | what it does |",
        "| --- | --- |",
        *commands,
        "",
        "| flag | meaning |",
        "| --- | --- |",
        *options,
        "",
        "| exit code | meaning |",
        "| --- | --- |",
        *codes,
    ]
    return "\n".join(parts) + "\n"


if __name__ == "__main__":
    main()
