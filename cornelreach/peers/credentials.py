"""Mutual TLS between instances: files in, gRPC credentials out.

A peer without a certificate of the shared authority is turned away in the handshake.
The server reads changed files at the next handshake, the client at the next channel.
"""

import pathlib
import typing

import grpc

from cornelreach.util import errors, events

SERVER_NAME = "cornelreach-peer"

UNREADABLE = events.define(
    1702,
    "ERROR",
    "The peers' TLS files cannot be read anew: {error}.",
    "Write the files back; the former certificate stays in use.",
)


class Files(typing.NamedTuple):
    """Paths of this instance's certificate and key, and of the shared authority.

    Every peer's certificate names ``SERVER_NAME``, as instances are alike and their
    addresses change.
    """

    certificate: str
    key: str
    authority: str


def _read(files: Files) -> tuple[bytes, bytes, bytes]:
    try:
        certificate, key, authority = (
            pathlib.Path(path).read_bytes() for path in files
        )
    except OSError as error:
        raise errors.UserError(
            f"TLS files of the peers cannot be read: {error}",
            "check --peer-cert, --peer-key and --peer-ca",
        ) from None
    return certificate, key, authority


def server(files: Files) -> grpc.ServerCredentials:
    """Return credentials that require and check the client's certificate."""
    held = _read(files)

    def configuration(
        known: tuple[bytes, bytes, bytes],
    ) -> grpc.ServerCertificateConfiguration:
        certificate, key, authority = known
        return grpc.ssl_server_certificate_configuration(
            [(key, certificate)], root_certificates=authority
        )

    def changed() -> grpc.ServerCertificateConfiguration | None:
        nonlocal held
        try:
            found = _read(files)
        except errors.UserError as error:
            events.emit(UNREADABLE, error=error)
            return None
        if found == held:
            return None
        held = found
        return configuration(found)

    return grpc.dynamic_ssl_server_credentials(
        configuration(held), changed, require_client_authentication=True
    )


class Watched:
    """A client's credentials, made anew when their files have changed."""

    def __init__(self, files: Files) -> None:
        self.files = files
        self._held = _read(files)

    def credentials(self) -> grpc.ChannelCredentials:
        """Return credentials of the files as they were last read."""
        certificate, key, authority = self._held
        return grpc.ssl_channel_credentials(authority, key, certificate)

    def changed(self) -> bool:
        """Read the files again and return whether they have changed."""
        try:
            found = _read(self.files)
        except errors.UserError as error:
            events.emit(UNREADABLE, error=error)
            return False
        before, self._held = self._held, found
        return found != before
