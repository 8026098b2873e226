"""Writes a plan to the platform item by item and determines what took effect.

Each written value carries the ID of its change. If the response to a write is lost, a
read shows whether the write took effect, even if another change followed it. A write
is retried only with the same version condition, so it takes effect at most once::

    report = await apply.Applier(objects, rng).run(plan)
"""

import asyncio
import random
import typing
import uuid

from returns import result

from cornelreach.platform import backoff as backoff_module, results
from cornelreach.settings import items, plan as plan_module
from cornelreach.util import timers

MAX_TRIES = 8
INITIAL_DELAY_MS = 100
MAX_DELAY_MS = 2_000


class Applied(typing.NamedTuple):
    """A change that took effect; ``replaced`` if a later change has overwritten it."""

    key: str
    version: int
    replaced: bool = False


class Clash(typing.NamedTuple):
    """A change that did not take effect because another change was written first.

    ``differences`` lists what the other change altered since the plan was made.
    """

    key: str
    version: int
    differences: tuple[plan_module.Difference, ...]
    remedy: str = "review the difference, update the document and apply it again"


class NotWritten(typing.NamedTuple):
    """A change that did not take effect."""

    key: str
    message: str
    remedy: str = "apply the document again; changes already made are skipped"


class Unknown(typing.NamedTuple):
    """A change whose outcome could not be confirmed by reading the item back."""

    key: str
    message: str
    remedy: str = "apply the document again when the platform is available"


ChangeOutcome = Applied | Clash | NotWritten | Unknown


class Report(typing.NamedTuple):
    """The outcome of each change, in order; changes after a failure are not tried."""

    outcomes: tuple[ChangeOutcome, ...]

    @property
    def complete(self) -> bool:
        """Return whether every change took effect."""
        return all(isinstance(outcome, Applied) for outcome in self.outcomes)

    @property
    def revision(self) -> int:
        """Return the revision as of which every change that took effect is in force."""
        return max(
            (e.version for e in self.outcomes if isinstance(e, Applied)), default=0
        )


class Applier:
    """Applies plans through the platform's object API."""

    def __init__(
        self,
        objects: results.ObjectStore,
        rng: random.Random,
        tries: int = MAX_TRIES,
        clock: timers.Timers | None = None,
    ) -> None:
        self.objects = objects
        self.rng = rng
        self.tries = tries
        self.clock = clock or timers.LoopTimers()

    async def listing(self) -> result.Result[results.Listing, results.ReadError]:
        """List the items in the platform, as the base of a plan."""
        return await self.objects.list(items.PREFIX)

    async def run(self, plan: plan_module.Plan) -> Report:
        """Write the changes in order; stop at the first that does not take effect."""
        outcomes: list[ChangeOutcome] = []
        for change in plan.changes:
            if outcomes and not isinstance(outcomes[-1], Applied):
                message = "an earlier change failed"
                outcomes.append(NotWritten(change.key, message))
                continue
            outcomes.append(await self._write(change))
        return Report(tuple(outcomes))

    async def _write(self, change: plan_module.Change) -> ChangeOutcome:
        change_id = uuid.uuid4().hex[:16]
        backoff = backoff_module.Backoff(self.rng, INITIAL_DELAY_MS, MAX_DELAY_MS)
        uncertain_message = ""
        failure_message = ""
        for _ in range(self.tries):
            response = await self._send(change, change_id)
            if isinstance(response, result.Success):
                return Applied(change.key, response.unwrap())
            error = response.failure()
            if isinstance(error, results.Rejected):
                return NotWritten(change.key, error.message, error.remedy)
            if isinstance(error, results.OutcomeUnknown):
                uncertain_message = error.message
            if not isinstance(error, results.Unavailable):
                outcome = await self._read_back(
                    change, change_id, bool(uncertain_message)
                )
                if outcome is not None:
                    return outcome
            failure_message = error.message
            wait_ms = backoff.next_ms(getattr(error, "retry_after_ms", 0))
            await asyncio.sleep(wait_ms / 1_000)
        if uncertain_message:
            return Unknown(change.key, uncertain_message)
        return NotWritten(change.key, failure_message)

    async def _send(
        self, change: plan_module.Change, change_id: str
    ) -> result.Result[int, results.WriteError]:
        if change.after is None:
            return await self.objects.delete(change.key, change.if_version)
        value = plan_module.value_to_write(change, change_id, self.clock.wall_ms())
        if change.if_version:
            return await self.objects.put(
                change.key, value, if_version=change.if_version
            )
        return await self.objects.put(change.key, value, if_absent=True)

    async def _read_back(
        self, change: plan_module.Change, change_id: str, uncertain: bool
    ) -> ChangeOutcome | None:
        """Read the item and return how the change ended, or None to retry the write.

        ``uncertain`` is True if an earlier write may have taken effect.
        """
        response = await self.objects.get(change.key)
        if isinstance(response, result.Success):
            return _outcome_from_record(change, change_id, response.unwrap(), uncertain)
        if not isinstance(response.failure(), results.NotFound):
            return None
        if change.after is None:
            return Applied(change.key, change.if_version)
        if change.if_version == 0:
            return None
        if uncertain:
            return Unknown(change.key, "the item has since been deleted")
        return Clash(change.key, 0, plan_module.differences(change.before, None))


def _outcome_from_record(
    change: plan_module.Change, change_id: str, record: results.Record, uncertain: bool
) -> ChangeOutcome | None:
    fields = record.value if isinstance(record.value, dict) else {}
    change_ids = fields.get(plan_module.CHANGES_FIELD, [])
    if change_id in change_ids:
        return Applied(change.key, record.version, replaced=change_ids[-1] != change_id)
    if record.version <= change.if_version:
        return None
    if uncertain and change.after is None:
        return Unknown(change.key, "the item has since been written again")
    differences = plan_module.differences(change.before, fields)
    return Clash(change.key, record.version, differences)
