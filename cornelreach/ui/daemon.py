"""The daemon ``cornelreachd``, which runs one instance until it receives a signal."""

import asyncio
import os
import pathlib
import secrets
import signal
import sys
import typing

import cornelreach
from cornelreach import instance as instance_module
from cornelreach.calls import streams
from cornelreach.http import limits, server, tls
from cornelreach.peers import credentials
from cornelreach.ui import admin, options as options_module
from cornelreach.util import errors, log

EXIT_OK = 0
EXIT_USAGE = 2


def instance_settings(options: options_module.Options) -> instance_module.Settings:
    """Return the instance settings from the daemon's options."""
    return instance_module.Settings(
        options.name,
        options.data_centre,
        options.region,
        options.listen,
        options.peer_listen,
        options.peer_address or options.peer_listen,
        options.platform,
        options.drain_ms,
        limits.Limits(
            header_bytes=options.header_bytes,
            body_bytes=options.body_bytes,
            header_wait_ms=options.header_wait_ms,
            body_wait_ms=options.body_wait_ms,
            idle_ms=options.idle_ms,
            connections=options.connections,
        ),
    )


def tls_settings(options: options_module.Options) -> instance_module.TlsSettings:
    """Load the configured TLS files; raises errors.UserError if that fails."""
    callers = targets = peers = None
    if options.tls_cert:
        files = tls.Files(options.tls_cert, options.tls_key, "")
        callers = tls.ReloadableContext(files, server=True)
    if options.target_ca:
        files = tls.Files("", "", options.target_ca)
        targets = tls.ReloadableContext(files, server=False)
    if options.peer_cert:
        peers = credentials.Files(options.peer_cert, options.peer_key, options.peer_ca)
        credentials.ReloadableCredentials(peers)
    return instance_module.TlsSettings(callers, targets, peers)


def load_key_ring(
    options: options_module.Options,
) -> typing.Callable[[], streams.KeyRing]:
    """Return a function that returns the keys for signing stream identifiers.

    The keys come from the secret file; without one, a random key is generated.
    """
    if not options.secret_file:
        ring = streams.KeyRing([secrets.token_bytes(32)])
        return lambda: ring
    text = pathlib.Path(options.secret_file).read_text()
    keys = [line.strip().encode() for line in text.splitlines() if line.strip()]
    if not keys:
        raise errors.UserError(
            f"the file {options.secret_file!r} of --secret-file contains no keys",
            "write one key per line, newest first",
        )
    ring = streams.KeyRing(keys)
    return lambda: ring


def read_operator_key(options: options_module.Options) -> str:
    """Return the operators' bearer key, or an empty string if none is configured."""
    if not options.operator_key_file:
        return ""
    return pathlib.Path(options.operator_key_file).read_text().strip()


async def serve(options: options_module.Options) -> None:
    """Run until SIGTERM, SIGINT, a drain request or a newer boot of this instance."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    ring = load_key_ring(options)
    tls_config = tls_settings(options)
    instance = instance_module.Instance(instance_settings(options), ring, tls_config)
    key = read_operator_key(options)
    admin_api = admin.AdminApi(instance, lambda: key, stop.set)
    host, _, port = options.admin_listen.rpartition(":")
    await instance.start()
    admin_server = await server.start(
        host, int(port), admin_api.handle, account=instance.account
    )
    superseded = asyncio.ensure_future(instance.superseded.wait())
    stop_requested = asyncio.ensure_future(stop.wait())
    await asyncio.wait(
        {superseded, stop_requested}, return_when=asyncio.FIRST_COMPLETED
    )
    await instance.stop()
    admin_server.stop_listening()
    admin_server.abort()


def main() -> None:
    """Run the daemon; exits with status 2 if the settings are invalid."""
    version = cornelreach.__version__
    try:
        options, check = options_module.parse(sys.argv[1:], os.environ, version)
        load_key_ring(options)
        tls_settings(options)
    except errors.UserError as error:
        print(f"cornelreachd: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    if check:
        print("cornelreachd: the settings are valid")
        sys.exit(EXIT_OK)
    log.configure(options.log_level, options.log_form)
    asyncio.run(serve(options))


if __name__ == "__main__":
    main()
