"""Exit codes of the operator's tool, and the errors that lead to them."""

import enum

from cornelreach.util import errors


class Exit(enum.IntEnum):
    """Exit codes; docs/reference-commands.md lists them."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    UNKNOWN = 4
    BEHIND = 5
    ALERT = 6


MEANINGS = {
    Exit.OK: "done, or nothing to do",
    Exit.REFUSED: "refused: a broken rule, a conflict, or no such item",
    Exit.USAGE: "wrong arguments or environment",
    Exit.UNREACHABLE: "the platform or an instance did not answer; not done",
    Exit.UNKNOWN: "the change may have taken effect; run the command again",
    Exit.BEHIND: "changed, but not yet in force on every instance asked",
    Exit.ALERT: "`burn --check` found an alert to page for",
}


class Failed(errors.UserError):
    """A command that ends with an exit code of its own."""

    def __init__(self, code: Exit, message: str, remedy: str) -> None:
        super().__init__(message, remedy)
        self.code = code
