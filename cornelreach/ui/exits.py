"""Exit codes of the command-line tool and the exception that carries them."""

import enum

from cornelreach.util import errors


class ExitCode(enum.IntEnum):
    """Exit codes, documented in docs/reference-commands.md."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    UNKNOWN = 4
    NOT_IN_FORCE = 5
    ALERT = 6


MEANINGS = {
    ExitCode.OK: "success, or nothing to change",
    ExitCode.REFUSED: "refused: an invalid change, a conflict or an unknown item",
    ExitCode.USAGE: "invalid arguments or environment variables",
    ExitCode.UNREACHABLE: "the platform or an instance did not respond; not done",
    ExitCode.UNKNOWN: "the change may have taken effect; run the command again",
    ExitCode.NOT_IN_FORCE: "written, but not yet in force on every queried instance",
    ExitCode.ALERT: "`burn --check` found an alert of severity page",
}


class CommandError(errors.UserError):
    """An error that ends a command with a specific exit code."""

    def __init__(self, code: ExitCode, message: str, remedy: str) -> None:
        super().__init__(message, remedy)
        self.code = code
