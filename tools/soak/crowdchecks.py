"""Checks of instances whose clients send ahead and read nothing."""

from tools.soak import checkcontext

KIND = "crowd"
MAX_RESIDENT_MB = 150.0  # with [limits] memory_mb = 300
MIN_REQUESTS, MIN_ANSWERED_SHARE = 12, 0.5


def resident_memory(context: checkcontext.CheckContext) -> checkcontext.Violations:
    """No instance holds more memory than its share of the settings' bound."""
    for edge, most_mb in context.environment.most_resident_mb.items():
        if most_mb > MAX_RESIDENT_MB:
            text = f"{edge} held {most_mb:.0f} MB, allowed {MAX_RESIDENT_MB:.0f}"
            yield checkcontext.Violation("memory", "", text)


def answered_beside_crowd(
    context: checkcontext.CheckContext,
) -> checkcontext.Violations:
    """Ordinary callers get responses while a crowd reads none at their instance."""
    environment = context.environment
    for crowd in [one for one in environment.disturbances if one.kind == KIND]:
        others = [
            one
            for one in context.disturbances_of(
                crowd.subject, crowd.start_s - checkcontext.CONTACT_S, crowd.end_s
            )
            if one.kind != KIND
        ]
        answered = [
            request.complete
            for request in environment.requests
            if request.edge == crowd.subject
            and crowd.start_s <= request.sent_s
            and request.ended_s <= crowd.end_s
        ]
        if others or len(answered) < MIN_REQUESTS:
            continue
        share = sum(answered) / len(answered)
        if share < MIN_ANSWERED_SHARE:
            text = f"{crowd.subject}: {share:.2f} of {len(answered)} requests answered"
            yield checkcontext.Violation("beside a crowd", "", text)
