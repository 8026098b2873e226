"""Cache event handling that the HTTP servers of engines and stores share."""

import typing

from cornelreach.http import messages
from standins import cacheevents, httpcommon

POLL_MS = 20.0


async def events(
    request: messages.Request, log: cacheevents.Log, timers: httpcommon.ScaledTimers
) -> dict[str, typing.Any]:
    """Return the events after ``since``, waiting up to ``wait_ms`` for one."""
    since = int(request.query.get("since", "0"))
    until_ms = timers.now_ms() + float(request.query.get("wait_ms", "0"))
    seen, after = log.after(since)
    while not seen and timers.now_ms() < until_ms:
        await timers.sleep(POLL_MS)
        seen, after = log.after(since)
    listed = [{"seq": each.seq, "op": each.op, "key": each.key} for each in seen]
    return {"events": listed, "next": after}


def faults(
    before: cacheevents.Faults, given: dict[str, typing.Any]
) -> cacheevents.Faults:
    """Return the faults of cache events after a control call."""
    return cacheevents.Faults(
        given.get("event_lag_ms", before.lag_ms),
        given.get("event_gaps", before.gap_share),
        given.get("event_repeats", before.repeat_share),
    )


def faults_of(flags: dict[str, typing.Any]) -> cacheevents.Faults:
    """Return the faults of cache events from flags."""
    return cacheevents.Faults(
        float(flags["--event-lag-ms"]),
        float(flags["--event-gaps"]),
        float(flags["--event-repeats"]),
    )
