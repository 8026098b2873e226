"""Cache event handling that the HTTP servers of engines and stores share."""

import typing

from cornelreach.http import messages
from standins import cacheevents, httpcommon

POLL_INTERVAL_MS = 20.0


async def poll_events(
    request: messages.Request, log: cacheevents.Log, timers: httpcommon.ScaledTimers
) -> dict[str, typing.Any]:
    """Return the events after ``since``, waiting up to ``wait_ms`` for one."""
    since = int(request.query.get("since", "0"))
    until_ms = timers.now_ms() + float(request.query.get("wait_ms", "0"))
    visible, after = log.after(since)
    while not visible and timers.now_ms() < until_ms:
        await timers.sleep(POLL_INTERVAL_MS)
        visible, after = log.after(since)
    listed = [{"seq": each.seq, "op": each.op, "key": each.key} for each in visible]
    return {"events": listed, "next": after}


def update_faults(
    current: cacheevents.Faults, changes: dict[str, typing.Any]
) -> cacheevents.Faults:
    """Return the faults of cache events as changed by a control call."""
    return cacheevents.Faults(
        changes.get("event_lag_ms", current.lag_ms),
        changes.get("event_gaps", current.gap_share),
        changes.get("event_repeats", current.repeat_share),
    )


def faults_from_flags(flags: dict[str, typing.Any]) -> cacheevents.Faults:
    """Return the faults of cache events that the flags set."""
    return cacheevents.Faults(
        float(flags["--event-lag-ms"]),
        float(flags["--event-gaps"]),
        float(flags["--event-repeats"]),
    )
