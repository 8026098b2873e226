"""gRPC credentials for mutual TLS between instances, loaded from files.

The handshake fails for a peer without a certificate of the shared CA. The server loads
changed files at the next handshake, the client for the next channel.
"""

import pathlib
import typing

import grpc

from cornelreach.util import errors, events

SERVER_NAME = "cornelreach-peer"

UNREADABLE = events.define(
    1702,
    "ERROR",
    "Cannot reload the TLS files for peers: {error}.",
    "Restore the files; the previous certificate stays in use.",
)


class Files(typing.NamedTuple):
    """Paths of this instance's certificate and key, and of the shared CA certificate.

    Every peer's certificate is issued for ``SERVER_NAME``, since instances are
    interchangeable and their addresses change.
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
            f"cannot read the TLS files for peers: {error}",
            "check --peer-cert, --peer-key and --peer-ca",
        ) from None
    return certificate, key, authority


def server(files: Files) -> grpc.ServerCredentials:
    """Return credentials that require and verify the client's certificate."""
    loaded = _read(files)

    def configuration(
        contents: tuple[bytes, bytes, bytes],
    ) -> grpc.ServerCertificateConfiguration:
        certificate, key, authority = contents
        return grpc.ssl_server_certificate_configuration(
            [(key, certificate)], root_certificates=authority
        )

    def fetch_configuration() -> grpc.ServerCertificateConfiguration | None:
        nonlocal loaded
        try:
            found = _read(files)
        except errors.UserError as error:
            events.emit(UNREADABLE, error=error)
            return None
        if found == loaded:
            return None
        loaded = found
        return configuration(found)

    return grpc.dynamic_ssl_server_credentials(
        configuration(loaded), fetch_configuration, require_client_authentication=True
    )


class ReloadableCredentials:
    """Client credentials that can be reloaded when their files change."""

    def __init__(self, files: Files) -> None:
        self.files = files
        self._loaded = _read(files)

    def credentials(self) -> grpc.ChannelCredentials:
        """Return credentials from the files as last read."""
        certificate, key, authority = self._loaded
        return grpc.ssl_channel_credentials(authority, key, certificate)

    def reload_if_changed(self) -> bool:
        """Reload the files and return whether they have changed."""
        try:
            found = _read(self.files)
        except errors.UserError as error:
            events.emit(UNREADABLE, error=error)
            return False
        before, self._loaded = self._loaded, found
        return found != before
