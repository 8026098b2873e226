"""TLS contexts that reload their certificate, key and CA files when these change.

A context is reloaded in place: new handshakes use the new files, while established
connections continue::

    files = tls.Files("cert.pem", "key.pem", "")
    reloadable = tls.ReloadableContext(files, server=True)
    await server.start(host, port, handle, tls=reloadable.context)
    clock.every(5_000, reloadable.reload_if_changed)
"""

import os
import ssl
import typing

from cornelreach.util import errors, events

RELOADED = events.define(1011, "INFO", "Reloaded {files}.", "Nothing.")
NOT_RELOADED = events.define(
    1012,
    "ERROR",
    "Cannot reload {files}: {error}; the previous certificate stays in use.",
    "Install a certificate and the key that belongs to it.",
)


class Files(typing.NamedTuple):
    """Paths of a certificate chain, its key and a CA certificate; empty if unset."""

    certificate: str
    key: str
    authority: str

    @property
    def description(self) -> str:
        """Return the paths as text for messages."""
        return ", ".join(path for path in self if path)


class ReloadableContext:
    """A TLS context and the files from which it is loaded."""

    def __init__(self, files: Files, server: bool) -> None:
        self.files = files
        purpose = ssl.Purpose.CLIENT_AUTH if server else ssl.Purpose.SERVER_AUTH
        self.context = ssl.create_default_context(purpose)
        self.context.minimum_version = ssl.TLSVersion.TLSv1_2
        self._loaded_stamps = self._stamps()
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
                f"cannot load TLS files {files.description}: {error}",
                "specify a PEM certificate and the key that belongs to it",
            ) from None

    def _stamps(self) -> tuple[tuple[int, int], ...]:
        found = (os.stat(path) for path in self.files if path)
        return tuple((status.st_mtime_ns, status.st_ino) for status in found)

    def reload_if_changed(self) -> None:
        """Reload the files if they have changed; invalid files have no effect."""
        try:
            stamps = self._stamps()
            if stamps == self._loaded_stamps:
                return
            ReloadableContext(self.files, server=True)
            self._load()
        except (OSError, errors.UserError) as error:
            events.emit(NOT_RELOADED, files=self.files.description, error=error)
            return
        self._loaded_stamps = stamps
        events.emit(RELOADED, files=self.files.description)
