"""Settings of the daemon: flags over environment variables over defaults.

Every setting stands once in ``SPECS``; the usage text, the environment variables, the
checks and docs/reference-daemon.md follow from it.
"""

import os
import re
import typing

import docopt

from cornelreach.util import errors

ENVIRONMENT_PREFIX = "CORNELREACH_"


class Spec(typing.NamedTuple):
    """One setting: its flag without dashes, kind, default and help.

    Kinds: ``name``, ``address`` (host:port), ``url``, ``file``, ``count``, ``ms``,
    ``choice:a|b``. A default of None makes the setting required; an empty default
    leaves it unset.
    """

    flag: str
    kind: str
    default: str | None
    help: str

    @property
    def field(self) -> str:
        """Return the attribute name of the setting."""
        return self.flag.replace("-", "_")

    @property
    def variable(self) -> str:
        """Return the environment variable of the setting."""
        return ENVIRONMENT_PREFIX + self.field.upper()


SPECS = (
    Spec("name", "name", None, "Name of this instance, unique in the fleet."),
    Spec("data-centre", "name", None, "Data centre that the instance runs in."),
    Spec("region", "name", "default", "Region of the data centre."),
    Spec("listen", "address", "127.0.0.1:8080", "Address for callers."),
    Spec("admin-listen", "address", "127.0.0.1:8081", "Health, metrics, operators."),
    Spec("peer-listen", "address", "127.0.0.1:8082", "Address for other instances."),
    Spec("peer-address", "address", "", "Peer address as others reach it."),
    Spec("platform", "url", None, "Address of the platform's object API."),
    Spec("secret-file", "file", "", "Keys that sign stream identifiers, newest first."),
    Spec("operator-key-file", "file", "", "Bearer key of operators; none: no access."),
    Spec("tls-cert", "file", "", "Certificate chain shown to callers."),
    Spec("tls-key", "file", "", "Key of the callers' certificate."),
    Spec("peer-cert", "file", "", "Certificate shown to other instances."),
    Spec("peer-key", "file", "", "Key of the peers' certificate."),
    Spec("peer-ca", "file", "", "Authority that must have signed peers' certificates."),
    Spec("target-ca", "file", "", "Authority of targets reached over https."),
    Spec("header-bytes", "count", "32768", "Largest request header in bytes."),
    Spec("body-bytes", "count", "8388608", "Largest request body in bytes."),
    Spec("header-wait-ms", "ms", "10000", "Time for a caller to send a header."),
    Spec("body-wait-ms", "ms", "30000", "Time for a caller to send a body."),
    Spec("idle-ms", "ms", "75000", "Time that an idle connection is kept."),
    Spec("connections", "count", "4096", "Most connections of callers at once."),
    Spec("drain-ms", "ms", "30000", "Longest graceful stop before the exit."),
    Spec("log-level", "choice:DEBUG|INFO|WARNING|ERROR", "INFO", "Least log level."),
    Spec("log-form", "choice:json|text", "json", "Form of log lines."),
)

PAIRS = (("tls-cert", "tls-key"), ("peer-cert", "peer-key"), ("peer-cert", "peer-ca"))


class Options(typing.NamedTuple):
    """The checked settings of one daemon; paths are empty where unset."""

    name: str
    data_centre: str
    region: str
    listen: str
    admin_listen: str
    peer_listen: str
    peer_address: str
    platform: str
    secret_file: str
    operator_key_file: str
    tls_cert: str
    tls_key: str
    peer_cert: str
    peer_key: str
    peer_ca: str
    target_ca: str
    header_bytes: int
    body_bytes: int
    header_wait_ms: int
    body_wait_ms: int
    idle_ms: int
    connections: int
    drain_ms: int
    log_level: str
    log_form: str


def usage() -> str:
    """Return the usage text that docopt parses."""
    lines = [
        "Serve prompts of callers as one instance of cornelreach.",
        "",
        "Usage:",
        "  cornelreachd [options]",
        "  cornelreachd --help | --version",
        "",
        "Options:",
        "  --check  Check the settings and exit.",
    ]
    for spec in SPECS:
        required = (
            "Required." if spec.default is None else f"Default: {spec.default!r}."
        )
        lines.append(
            f"  --{spec.flag} VALUE  {spec.help} {required} Variable {spec.variable}."
        )
    lines += ["  --help  Show this text.", "  --version  Show the version."]
    return "\n".join(lines) + "\n"


def parse(
    arguments: list[str], environment: typing.Mapping[str, str], version: str = ""
) -> tuple[Options, bool]:
    """Return the checked options and whether only a check was asked for.

    Raises errors.UserError that names the setting, its value and the remedy.
    """
    try:
        given = docopt.docopt(usage(), arguments, version=version)
    except docopt.DocoptExit as error:
        first = str(error).splitlines()[0] if str(error) else "wrong arguments"
        raise errors.UserError(first, "see cornelreachd --help") from None
    refuse_unknown_variables(environment)
    values = {spec.field: read(spec, given, environment) for spec in SPECS}
    options = Options(**values)
    check_pairs(options)
    return options, bool(given["--check"])


def refuse_unknown_variables(environment: typing.Mapping[str, str]) -> None:
    """Raise UserError for a CORNELREACH_ variable that names no setting."""
    known = {spec.variable for spec in SPECS}
    for name in environment:
        if name.startswith(ENVIRONMENT_PREFIX) and name not in known:
            raise errors.UserError(
                f"environment variable {name} names no setting",
                "correct its name or unset it",
            )


def read(
    spec: Spec,
    given: typing.Mapping[str, str | None],
    environment: typing.Mapping[str, str],
) -> str | int:
    """Return the checked value of one setting."""
    text = given[f"--{spec.flag}"]
    if text is None:
        text = environment.get(spec.variable, spec.default)
    if text is None:
        raise errors.UserError(
            f"setting --{spec.flag} is missing",
            f"give the flag or set {spec.variable}",
        )
    if text == "" and spec.default == "":
        return ""
    kind, _, choices = spec.kind.partition(":")
    return CHECKS[kind](spec, text, choices)


def refuse(spec: Spec, text: str, remedy: str) -> typing.NoReturn:
    """Raise UserError for a value that does not fit its setting."""
    raise errors.UserError(f"setting --{spec.flag} has the value {text!r}", remedy)


def check_name(spec: Spec, text: str, _: str) -> str:
    """Accept lower-case letters, digits, dots and dashes."""
    if not re.fullmatch(r"[a-z0-9][a-z0-9.-]{0,62}", text):
        refuse(spec, text, "use at most 63 of a-z, 0-9, '.' and '-'")
    return text


def check_address(spec: Spec, text: str, _: str) -> str:
    """Accept host:port."""
    host, _, port = text.rpartition(":")
    if not host or not re.fullmatch(r"[0-9]{1,5}", port) or int(port) > 65_535:
        refuse(spec, text, "write host:port, such as 127.0.0.1:8080")
    return text


def check_url(spec: Spec, text: str, _: str) -> str:
    """Accept http://host:port or https://host:port."""
    if not re.fullmatch(r"https?://[^/\s]+:\d+/?", text):
        refuse(spec, text, "write http://host:port or https://host:port")
    return text


def check_file(spec: Spec, text: str, _: str) -> str:
    """Accept the path of a readable file."""
    if not os.path.isfile(text) or not os.access(text, os.R_OK):
        refuse(spec, text, "name a file that exists and can be read")
    return text


def check_count(spec: Spec, text: str, _: str) -> int:
    """Accept a whole number above zero."""
    if not re.fullmatch(r"[0-9]{1,15}", text) or int(text) == 0:
        refuse(spec, text, "write a whole number above 0")
    return int(text)


def check_choice(spec: Spec, text: str, choices: str) -> str:
    """Accept one of the choices."""
    if text not in choices.split("|"):
        refuse(spec, text, f"choose one of {choices.replace('|', ', ')}")
    return text


CHECKS: dict[str, typing.Callable[[Spec, str, str], str | int]] = {
    "name": check_name,
    "address": check_address,
    "url": check_url,
    "file": check_file,
    "count": check_count,
    "ms": check_count,
    "choice": check_choice,
}


def check_pairs(options: Options) -> None:
    """Raise UserError where one file of a pair is set without the other."""
    for first, second in PAIRS:
        values = [getattr(options, flag.replace("-", "_")) for flag in (first, second)]
        if bool(values[0]) != bool(values[1]):
            missing = second if values[0] else first
            raise errors.UserError(
                f"settings --{first} and --{second} go together",
                f"set --{missing} too",
            )


def reference_markdown() -> str:
    """Return the text of docs/reference-daemon.md."""
    rows = [
        f"| `--{spec.flag}` | `{spec.variable}` | {spec.kind.replace('|', ', ')} "
        f"| {'required' if spec.default is None else f'`{spec.default}`'} "
        f"| {spec.help} |"
        for spec in SPECS
    ]
    head = [
        "# Settings of cornelreachd",
        "",
        "Written by `make docs`. A flag goes before its variable, a variable before",
        "the default. `cornelreachd --check` checks them and exits (0 good, 2 not).",
        "",
        "| flag | variable | kind | default | meaning |",
        "| --- | --- | --- | --- | --- |",
    ]
    return "\n".join(head + rows) + "\n"
