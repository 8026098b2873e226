"""What an instance believes of the platform's records, and how old the proof is.

Ages are by a clock that goes on while the machine is suspended, so a process that
thaws sees at once how old its beliefs are. Nothing goes back within one process: a
catalogue or model version lower than the one held is not taken over.
"""

import typing

from cornelreach.gateway import allowances, catalogue, roster as roster_module
from cornelreach.util import events

CATALOGUE, TARGETS, EVACUATIONS, VERSIONS = "catalogue", "targets", "zones", "models"
NEEDED = {CATALOGUE, TARGETS, EVACUATIONS, VERSIONS}
PROOF_MARGIN_MS = 200  # covers the check's distance from the first byte at the target

CATALOGUE_APPLIED = events.define(
    2101, "INFO", "Configuration version {version} is in force.", "Nothing."
)
VERSION_NAMED = events.define(
    2102, "INFO", "Model {model} is to have weights version {version}.", "Nothing."
)
EVACUATED = events.define(2103, "INFO", "Evacuated data centres: {zones}.", "Nothing.")


class Named(typing.NamedTuple):
    """A version of weights and when this instance learnt of it.

    Until ``old_until_ms`` requests may still go to engines that have an older one.
    """

    version: int
    learnt_ms: float
    old_until_ms: float


class Beliefs:
    """The records that decisions are taken from."""

    def __init__(self, name: str, revoke_ms: float, revoke_strict: bool) -> None:
        self.name = name
        self.revoke_ms = revoke_ms
        self.revoke_strict = revoke_strict
        self.catalogue: catalogue.Catalogue | None = None
        self.roster = roster_module.Roster()
        self.versions: dict[str, Named] = {}
        self.fleet = allowances.Fleet(name, (name,))
        self.synced: set[str] = set()
        self.proof_ms: float | None = None

    def is_synced(self) -> bool:
        """Return whether every kind of record that sending depends on was read."""
        return self.synced >= NEEDED

    def apply_catalogue(self, found: catalogue.Catalogue) -> bool:
        """Take over a configuration unless a newer one is held."""
        if self.catalogue is not None and found.version <= self.catalogue.version:
            return False
        self.catalogue = found
        events.emit(CATALOGUE_APPLIED, version=found.version)
        return True

    def name_version(
        self, model: str, version: int, now_ms: float, old_until_ms: float
    ) -> bool:
        """Take over the version of a model's weights unless a newer one is held."""
        held = self.versions.get(model)
        if held is not None and version <= held.version:
            return False
        self.versions[model] = Named(version, now_ms, old_until_ms)
        events.emit(VERSION_NAMED, model=model, version=version)
        return True

    def evacuate(self, zones: typing.Iterable[str]) -> None:
        """Replace the set of evacuated data centres."""
        found = frozenset(zones)
        if found != self.roster.evacuated:
            self.roster.evacuated = found
            events.emit(EVACUATED, zones=",".join(sorted(found)) or "none")

    def prove(self, at_ms: float) -> None:
        """Note that the configuration held was the newest one at a time."""
        if self.proof_ms is None or at_ms > self.proof_ms:
            self.proof_ms = at_ms

    def proof_age_ms(self, now_ms: float) -> float:
        """Return for how long the configuration has not been proved the newest."""
        return float("inf") if self.proof_ms is None else now_ms - self.proof_ms

    def may_use_keys(self, now_ms: float) -> bool:
        """Return whether a key may be taken as not revoked."""
        if not self.revoke_strict:
            return True
        return self.proof_age_ms(now_ms) <= self.revoke_ms - PROOF_MARGIN_MS
