"""TLS contexts whose certificate, key and authority files are read anew on change.

A context is loaded again in place, so that new handshakes use the new files while
connections in progress go on::

    watched = tls.Watched(tls.Files("cert.pem", "key.pem", ""), server=True)
    await server.start(host, port, handle, tls=watched.context)
    clock.every(5_000, watched.refresh)
"""

import os
import ssl
import typing

from cornelreach.util import errors, events

RELOADED = events.define(1011, "INFO", "Read {files} anew.", "Nothing.")
NOT_RELOADED = events.define(
    1012,
    "ERROR",
    "Cannot read {files} anew: {error}; the former certificate stays in use.",
    "Write a matching certificate and key.",
)


class Files(typing.NamedTuple):
    """Paths of a certificate chain, its key and an authority; empty where unset."""

    certificate: str
    key: str
    authority: str

    @property
    def named(self) -> str:
        """Return the paths for a message."""
        return ", ".join(path for path in self if path)


class Watched:
    """A context and the files that it was made from."""

    def __init__(self, files: Files, server: bool) -> None:
        self.files = files
        purpose = ssl.Purpose.CLIENT_AUTH if server else ssl.Purpose.SERVER_AUTH
        self.context = ssl.create_default_context(purpose)
        self.context.minimum_version = ssl.TLSVersion.TLSv1_2
        self._seen = self._stamps()
        self._load()

    def _load(self) -> None:
        files = self.files
        try:
            if files.certificate:
                self.context.load_cert_chain(files.certificate, files.key)
            if files.authority:
                self.context.load_verify_locations(files.authority)
        except (OSError, ssl.SSLError) as error:
            raise errors.UserError(
                f"TLS files {files.named} cannot be used: {error}",
                "name a PEM certificate and the key that belongs to it",
            ) from None

    def _stamps(self) -> tuple[tuple[int, int], ...]:
        found = (os.stat(path) for path in self.files if path)
        return tuple((one.st_mtime_ns, one.st_ino) for one in found)

    def refresh(self) -> None:
        """Load the files again if they have changed; a bad pair changes nothing."""
        try:
            stamps = self._stamps()
            if stamps == self._seen:
                return
            Watched(self.files, server=True)
            self._load()
        except (OSError, errors.UserError) as error:
            events.emit(NOT_RELOADED, files=self.files.named, error=error)
            return
        self._seen = stamps
        events.emit(RELOADED, files=self.files.named)
