"""The command-line tool ``cornelreach`` for operators.

The usage text, command dispatch, the completion script and docs/reference-commands.md
are all derived from ``COMMANDS``.
"""

import asyncio
import functools
import signal
import sys
import typing

import docopt
import msgspec

import cornelreach
from cornelreach.ui import context as context_module, exits
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

CommandFunction = typing.Callable[
    [context_module.CommandContext, context_module.Arguments],
    typing.Awaitable[context_module.Output],
]


class Command(typing.NamedTuple):
    """A command with its usage pattern, its implementation and its help text."""

    usage: str
    run: CommandFunction
    help: str

    @property
    def words(self) -> tuple[str, ...]:
        """Return the literal words of the usage, which identify the command."""
        words = self.usage.split()
        return tuple(word for word in words if word.replace("-", "").islower())


def _item_commands(kind: str) -> list[Command]:
    def run(function: typing.Callable) -> CommandFunction:
        return functools.partial(function, kind=kind)

    return [
        Command(f"{kind} list", run(item.list_items), f"List all {kind} items."),
        Command(f"{kind} show NAME", run(item.show), "Show all fields of an item."),
        Command(
            f"{kind} set NAME FIELD=VALUE...",
            run(item.set_fields),
            "Create an item or change its fields; values are YAML, "
            "and null restores a default.",
        ),
        Command(f"{kind} delete NAME", run(item.delete), "Delete an item."),
    ]


COMMANDS = (
    *_item_commands("account"),
    Command(
        "account new-key NAME",
        account.new_key,
        "Create a bearer key, which is shown only once.",
    ),
    Command("account drop-key NAME DIGEST", account.drop_key, "Delete a bearer key."),
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
        "List exceptions, oldest first, and mark those that have ended or "
        "equal the default.",
    ),
    Command(
        "exception add NAME --scope=SCOPE --setting=SETTING --value=VALUE "
        "--reason=TEXT --ends=TIME",
        exception.add,
        "Override a setting for account:NAME or model:NAME until a given time.",
    ),
    Command(
        "exception delete NAME",
        functools.partial(item.delete, kind="exception"),
        "Delete an exception.",
    ),
    Command("apply FILE", config.apply, "Apply a YAML file; - reads standard input."),
    Command("get [KIND [NAME]]", config.get, "Print items in the format of `apply`."),
    Command(
        "history [KIND [NAME]]",
        config.history,
        "Print the changes that the platform retains.",
    ),
    Command("schema", config.schema, "Print the JSON schema of the file for `apply`."),
    Command(
        "status",
        fleet.status,
        "Show the instances, how many revisions each is behind, and the pools.",
    ),
    Command("drain ADDRESS", fleet.drain, "Shut down an instance gracefully."),
    Command(
        "take-out NAME --reason=TEXT [--via=ADDRESS]",
        fleet.take_out,
        "Stop sending new work to a data centre.",
    ),
    Command(
        "bring-back NAME [--reason=TEXT] [--via=ADDRESS]",
        fleet.bring_back,
        "Resume sending work to a data centre.",
    ),
    Command("burn", burn.burn, "Report the burn rates of service-level objectives."),
    Command("completion", completion.completion, "Print a bash completion script."),
)

OPTIONS = (
    ("--platform=URL", "Address of the platform (CORNELREACH_PLATFORM)."),
    (
        "--instances=LIST",
        "Comma-separated admin addresses of instances (CORNELREACH_INSTANCES).",
    ),
    (
        "--operator-key-file=FILE",
        "File with the operators' bearer key (CORNELREACH_OPERATOR_KEY_FILE).",
    ),
    ("--json", "Print JSON instead of text."),
    ("--dry-run", "Show the changes without making them."),
    ("--prune", "Delete items missing from the file if it lists items of their kind."),
    ("--wait", "Wait until the change is in force on the instances."),
    ("--wait-ms=MS", "Maximum time to wait in milliseconds (7000)."),
    ("--scope=SCOPE", "Scope of the exception: account:NAME or model:NAME."),
    ("--setting=SETTING", "The default to override."),
    ("--value=VALUE", "The value within the scope."),
    ("--reason=TEXT", "The reason, which is stored with the item."),
    ("--ends=TIME", "The end of the exception, such as 2027-01-31T12:00:00+00:00."),
    ("--via=ADDRESS", "Send the request to this admin address, not to the platform."),
    ("--png=FILE", "Also write a plot to a PNG file."),
    ("--check", "Exit with status 6 if there is an alert of severity page."),
    ("--help", "Show this text."),
    ("--version", "Show the version."),
)

NAMES = ("NAME", "KIND", "FIELD=VALUE")


def usage(commands: typing.Iterable[Command] = COMMANDS) -> str:
    """Return the usage text of commands in the format that docopt parses."""
    lines = ["Operate a fleet of cornelreach.", "", "Usage:"]
    lines += [f"  cornelreach {command.usage} [options]" for command in commands]
    lines += ["  cornelreach --help | --version", "", "Options:"]
    lines += [f"  {flag:<26} {help}" for flag, help in OPTIONS]
    return "\n".join(lines) + "\n"


def find_command(argv: list[str]) -> Command | None:
    """Return the command that the arguments start with, ignoring flags."""
    given = [word for word in argv if not word.startswith("-")]
    for command in COMMANDS:
        if tuple(given[: len(command.words)]) == command.words:
            return command
    return None


def parse(argv: list[str]) -> context_module.Arguments:
    """Parse the arguments; raises exits.CommandError if they match no command."""
    if "--help" in argv:
        return {"--help": True}
    command = find_command(argv)
    text = usage((command,) if command else ())
    version = cornelreach.__version__
    try:
        given = dict(docopt.docopt(text, argv, default_help=False, version=version))
    except docopt.DocoptExit:
        message = "unknown command"
        remedy = "see `cornelreach --help`"
        if command:
            message = f"invalid arguments for `{command.words[0]}`"
            remedy = f"usage: cornelreach {command.usage}"
        raise exits.CommandError(exits.ExitCode.USAGE, message, remedy) from None
    return dict.fromkeys(NAMES) | given | {"run": command and command.run}


async def run(arguments: context_module.Arguments) -> context_module.Output:
    """Run the selected command, or show the usage."""
    if arguments["--help"]:
        return context_module.Output({"usage": usage()}, usage().rstrip())
    arguments["usages"] = [command.usage for command in COMMANDS]
    arguments["options"] = [flag.split("=")[0] for flag, _ in OPTIONS]
    context = context_module.CommandContext(arguments)
    try:
        return await arguments["run"](context, arguments)
    finally:
        await context.close()


def show_error(error: errors.UserError, as_json: bool) -> exits.ExitCode:
    """Print an error without a traceback and return its exit code."""
    code = (
        error.code if isinstance(error, exits.CommandError) else exits.ExitCode.REFUSED
    )
    value = {"error": {"message": error.message, "remedy": error.remedy}}
    text = msgspec.json.encode(value).decode() if as_json else f"cornelreach: {error}"
    print(text, file=sys.stderr)
    return code


def execute(argv: list[str]) -> int:
    """Run the tool, print its output and return the exit code."""
    as_json = "--json" in argv
    try:
        output = asyncio.run(run(parse(argv)))
    except errors.UserError as error:
        return show_error(error, as_json)
    except KeyboardInterrupt:
        return exits.ExitCode.UNKNOWN
    print(render(output, as_json))
    return output.code


def render(output: context_module.Output, as_json: bool) -> str:
    """Format a command's output."""
    if not as_json:
        return output.text
    return msgspec.json.encode(context_module.to_builtins(output.value)).decode()


def main() -> None:
    """Run the tool with the process's command-line arguments."""
    signal.signal(signal.SIGPIPE, signal.SIG_DFL)
    sys.exit(int(execute(sys.argv[1:])))


def reference_markdown() -> str:
    """Return the content of docs/reference-commands.md."""
    commands = [f"| `{one.usage}` | {one.help} |" for one in COMMANDS]
    options = [f"| `{flag}` | {help} |" for flag, help in OPTIONS]
    codes = [f"| {code.value} | {text} |" for code, text in exits.MEANINGS.items()]
    parts = [
        "# Commands of cornelreach",
        "",
        "Generated by `make docs`. A flag overrides its environment variable. All",
        "commands accept `--json`; those with changes accept `--dry-run`, `--wait` and",
        "`--wait-ms`.",
        "",
        "| command | description |",
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
