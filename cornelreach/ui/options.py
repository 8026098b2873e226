"""Settings of the daemon from flags, environment variables and defaults.

A flag overrides its environment variable, which overrides the default. The usage text,
the environment variables, validation and docs/reference-daemon.md are all derived from
``SPECS``.
"""

import os
import re
import typing

import docopt

from cornelreach.util import errors

ENVIRONMENT_PREFIX = "CORNELREACH_"


class Spec(typing.NamedTuple):
    """A setting with its flag (without dashes), kind, default and help text.

    The kinds are ``name``, ``address`` (host:port), ``url``, ``file``, ``count``,
    ``ms`` and ``choice:a|b``. A setting whose default is None is required; an empty
    default leaves the setting unset.
    """

    flag: str
    kind: str
    default: str | None
    help: str

    @property
    def field(self) -> str:
        """Return the field name of the setting in ``Options``."""
        return self.flag.replace("-", "_")

    @property
    def variable(self) -> str:
        """Return the environment variable of the setting."""
        return ENVIRONMENT_PREFIX + self.field.upper()


SPECS = (
    Spec("name", "name", None, "Name of this instance, unique within the fleet."),
    Spec("data-centre", "name", None, "Data centre in which the instance runs."),
    Spec("region", "name", "default", "Region of the data centre."),
    Spec("listen", "address", "127.0.0.1:8080", "Listen address for callers."),
    Spec(
        "admin-listen",
        "address",
        "127.0.0.1:8081",
        "Listen address for health checks, metrics and operators.",
    ),
    Spec("peer-listen", "address", "127.0.0.1:8082", "Listen address for peers."),
    Spec("peer-address", "address", "", "Address at which peers reach this instance."),
    Spec("platform", "url", None, "Address of the platform's object API."),
    Spec(
        "secret-file",
        "file",
        "",
        "File with the keys that sign stream identifiers, newest first.",
    ),
    Spec(
        "operator-key-file",
        "file",
        "",
        "File with the operators' bearer key; without it, operators have no access.",
    ),
    Spec("tls-cert", "file", "", "Certificate chain presented to callers."),
    Spec("tls-key", "file", "", "Private key of the certificate for callers."),
    Spec("peer-cert", "file", "", "Certificate presented to peers."),
    Spec("peer-key", "file", "", "Private key of the certificate for peers."),
    Spec("peer-ca", "file", "", "CA certificate that verifies peer certificates."),
    Spec("target-ca", "file", "", "CA certificate that verifies targets over https."),
    Spec("header-bytes", "count", "32768", "Maximum request header size in bytes."),
    Spec("body-bytes", "count", "8388608", "Maximum request body size in bytes."),
    Spec("header-wait-ms", "ms", "10000", "Timeout for receiving a request header."),
    Spec("body-wait-ms", "ms", "30000", "Timeout for receiving a request body."),
    Spec("idle-ms", "ms", "75000", "Timeout of idle connections."),
    Spec("connections", "count", "4096", "Maximum number of caller connections."),
    Spec("drain-ms", "ms", "30000", "Timeout of a graceful shutdown."),
    Spec("log-level", "choice:DEBUG|INFO|WARNING|ERROR", "INFO", "Minimum log level."),
    Spec("log-form", "choice:json|text", "json", "Log format."),
)

REQUIRED_TOGETHER = (
    ("tls-cert", "tls-key"),
    ("peer-cert", "peer-key"),
    ("peer-cert", "peer-ca"),
)


class Options(typing.NamedTuple):
    """The validated settings of a daemon; unset paths are empty."""

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
        "Run an instance of cornelreach.",
        "",
        "Usage:",
        "  cornelreachd [options]",
        "  cornelreachd --help | --version",
        "",
        "Options:",
        "  --check  Validate the settings and exit.",
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
    """Return the validated options and whether ``--check`` was given.

    Raises errors.UserError with the invalid setting, its value and a remedy.
    """
    try:
        flags = docopt.docopt(usage(), arguments, version=version)
    except docopt.DocoptExit as error:
        first_line = str(error).splitlines()[0] if str(error) else "invalid arguments"
        raise errors.UserError(first_line, "see cornelreachd --help") from None
    reject_unknown_variables(environment)
    values = {spec.field: read_option(spec, flags, environment) for spec in SPECS}
    options = Options(**values)
    check_pairs(options)
    return options, bool(flags["--check"])


def reject_unknown_variables(environment: typing.Mapping[str, str]) -> None:
    """Raise UserError for a CORNELREACH_ variable that matches no setting."""
    known = {spec.variable for spec in SPECS}
    for name in environment:
        if name.startswith(ENVIRONMENT_PREFIX) and name not in known:
            raise errors.UserError(
                f"unknown environment variable {name}",
                "correct the name or unset the variable",
            )


def read_option(
    spec: Spec,
    flags: typing.Mapping[str, str | None],
    environment: typing.Mapping[str, str],
) -> str | int:
    """Return the validated value of a setting."""
    text = flags[f"--{spec.flag}"]
    if text is None:
        text = environment.get(spec.variable, spec.default)
    if text is None:
        raise errors.UserError(
            f"setting --{spec.flag} is missing",
            f"pass the flag or set {spec.variable}",
        )
    if text == "" and spec.default == "":
        return ""
    kind, _, choices = spec.kind.partition(":")
    return CHECKS[kind](spec, text, choices)


def reject(spec: Spec, text: str, remedy: str) -> typing.NoReturn:
    """Raise UserError for an invalid value of a setting."""
    raise errors.UserError(f"--{spec.flag} has the invalid value {text!r}", remedy)


def check_name(spec: Spec, text: str, _: str) -> str:
    """Accept lower-case letters, digits, dots and dashes."""
    if not re.fullmatch(r"[a-z0-9][a-z0-9.-]{0,62}", text):
        reject(spec, text, "use at most 63 of a-z, 0-9, '.' and '-'")
    return text


def check_address(spec: Spec, text: str, _: str) -> str:
    """Accept host:port."""
    host, _, port = text.rpartition(":")
    if not host or not re.fullmatch(r"[0-9]{1,5}", port) or int(port) > 65_535:
        reject(spec, text, "write host:port, such as 127.0.0.1:8080")
    return text


def check_url(spec: Spec, text: str, _: str) -> str:
    """Accept http://host:port or https://host:port."""
    if not re.fullmatch(r"https?://[^/\s]+:\d+/?", text):
        reject(spec, text, "write http://host:port or https://host:port")
    return text


def check_file(spec: Spec, text: str, _: str) -> str:
    """Accept the path of a readable file."""
    if not os.path.isfile(text) or not os.access(text, os.R_OK):
        reject(spec, text, "specify a readable file")
    return text


def check_count(spec: Spec, text: str, _: str) -> int:
    """Accept a whole number above zero."""
    if not re.fullmatch(r"[0-9]{1,15}", text) or int(text) == 0:
        reject(spec, text, "write a whole number above 0")
    return int(text)


def check_choice(spec: Spec, text: str, choices: str) -> str:
    """Accept one of the choices."""
    if text not in choices.split("|"):
        reject(spec, text, f"choose one of {choices.replace('|', ', ')}")
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
    """Raise UserError if only one of two settings that need each other is set."""
    for first, second in REQUIRED_TOGETHER:
        values = [getattr(options, flag.replace("-", "_")) for flag in (first, second)]
        if bool(values[0]) != bool(values[1]):
            missing = second if values[0] else first
            raise errors.UserError(
                f"--{first} and --{second} must be set together",
                f"also set --{missing}",
            )


def reference_markdown() -> str:
    """Return the content of docs/reference-daemon.md."""
    rows = [
        f"| `--{spec.flag}` | `{spec.variable}` | {spec.kind.replace('|', ', ')} "
        f"| {'required' if spec.default is None else f'`{spec.default}`'} "
        f"| {spec.help} |"
        for spec in SPECS
    ]
    head = [
        "# Settings of cornelreachd",
        "",
        "Generated by `make docs`. A flag overrides its variable, which overrides the",
        "default. `cornelreachd --check` validates them (exit code 0 valid, 2 not).",
        "",
        "| flag | variable | kind | default | description |",
        "| --- | --- | --- | --- | --- |",
    ]
    return "\n".join(head + rows) + "\n"
