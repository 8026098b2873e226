"""The local copy of the platform's records, and how recently it was confirmed.

A freshness proof is a time at which the copy is known to have been up to date. Ages are
measured with a clock that also runs while the machine is suspended, so a process that
is resumed sees at once how stale its copy is. Versions never go back within one
process: a configuration or model version lower than the current one is ignored.
"""

import typing

from cornelreach.gateway import catalogue, quotas, registry as registry_module
from cornelreach.util import events

CATALOGUE, TARGETS, EVACUATIONS, VERSIONS = "catalogue", "targets", "zones", "models"
FLEET = "fleet"  # the fleet's limits are divided by it
SOFTWARE = "software"
REQUIRED = {CATALOGUE, TARGETS, EVACUATIONS, VERSIONS, FLEET, SOFTWARE}
PROOF_MARGIN_MS = 200  # time from the check until the first byte reaches the target

CATALOGUE_APPLIED = events.define(
    2101, "INFO", "Configuration version {version} is in force.", "Nothing."
)
VERSION_SET = events.define(
    2102,
    "INFO",
    "Desired weights version of model {model} is now {version}.",
    "Nothing.",
)
EVACUATED = events.define(2103, "INFO", "Evacuated data centres: {zones}.", "Nothing.")


STEP_SHARE = 0.5  # of the bound on revoked keys; they are confirmed more often


class NamedVersion(typing.NamedTuple):
    """The version of weights that a model should have, and when it was learned.

    Until ``old_until_ms`` requests may still go to engines with an older version, but
    to none that ``earlier``, the version before, has ruled out or rules out meanwhile.
    """

    version: int
    learned_ms: float
    old_until_ms: float
    earlier: "NamedVersion | None" = None

    def oldest(self, now_ms: float) -> int:
        """Return the oldest version on which requests may still begin."""
        if now_ms >= self.old_until_ms:
            return self.version
        return 0 if self.earlier is None else self.earlier.oldest(now_ms)

    def without_ruled_out(self, now_ms: float) -> "NamedVersion":
        """Return this without the versions on which no request may begin any more."""
        if self.earlier is None:
            return self
        if now_ms >= self.old_until_ms:
            return self._replace(earlier=None)
        return self._replace(earlier=self.earlier.without_ruled_out(now_ms))


class Mirror:
    """The records that routing decisions are based on."""

    def __init__(self, name: str, revoke_ms: float, revoke_strict: bool) -> None:
        self.name = name
        self.revoke_ms = revoke_ms
        self.revoke_strict = revoke_strict
        self.catalogue: catalogue.Catalogue | None = None
        self.registry = registry_module.TargetRegistry()
        self.versions: dict[str, NamedVersion] = {}
        self.fleet = quotas.Fleet(name, (name,))
        self.on_version: typing.Callable[[], None] = lambda: None
        self.synced: set[str] = set()
        self.required = set(REQUIRED)  # kinds of records that forwarding needs
        self.proof_ms: float | None = None

    def is_synced(self) -> bool:
        """Return whether all kinds of records that forwarding needs have been read."""
        return self.synced >= self.required

    def apply_catalogue(self, found: catalogue.Catalogue) -> bool:
        """Apply a configuration unless the current one is at least as new.

        Returns whether it was applied.
        """
        if self.catalogue is not None and found.version <= self.catalogue.version:
            return False
        self.catalogue = found
        events.emit(CATALOGUE_APPLIED, version=found.version)
        return True

    def set_version(
        self, model: str, version: int, now_ms: float, old_until_ms: float
    ) -> bool:
        """Set the desired version of a model's weights, if it is newer than before.

        Returns whether it was set.
        """
        current = self.versions.get(model)
        if current is not None and version <= current.version:
            return False
        earlier = None if current is None else current.without_ruled_out(now_ms)
        self.versions[model] = NamedVersion(version, now_ms, old_until_ms, earlier)
        events.emit(VERSION_SET, model=model, version=version)
        self.on_version()
        return True

    def set_evacuated(self, zones: typing.Iterable[str]) -> None:
        """Replace the set of evacuated data centres."""
        found = frozenset(zones)
        if found != self.registry.evacuated:
            self.registry.evacuated = found
            events.emit(EVACUATED, zones=",".join(sorted(found)) or "none")

    def record_proof(self, at_ms: float) -> None:
        """Record that the configuration was confirmed as the newest at a time."""
        if self.proof_ms is None or at_ms > self.proof_ms:
            self.proof_ms = at_ms

    def proof_age_ms(self, now_ms: float) -> float:
        """Return the time since the configuration was last confirmed as the newest."""
        return float("inf") if self.proof_ms is None else now_ms - self.proof_ms

    def is_out_of_step(self, now_ms: float) -> bool:
        """Return whether the records were not confirmed when they should have been."""
        return self.proof_age_ms(now_ms) > self.revoke_ms * STEP_SHARE

    def may_use_keys(self, now_ms: float) -> bool:
        """Return whether the configuration is fresh enough to accept API keys.

        With strict revocation a key must not be accepted longer than ``revoke_ms``
        after it was revoked.
        """
        if not self.revoke_strict:
            return True
        return self.proof_age_ms(now_ms) <= self.revoke_ms - PROOF_MARGIN_MS
