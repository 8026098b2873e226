"""Checks of instances that reach no engine, while other instances do."""

from tools.soak import callers, checkcontext, environment as environment_module

KIND = "engines-cut"
SERVED_SHARE = 2 / 3
FAILED_COUNT, FAILED_SHARE = 10, 1 / 50


def cut_off_instances(
    context: checkcontext.CheckContext,
) -> checkcontext.Violations:
    """First tries at an instance that reaches no engine are served as elsewhere.

    Counted from some time after the cut on, at instances without other disturbance.
    """
    environment = context.environment
    revoked = {one.subject for one in environment.changes if one.kind == "revoke"}
    for cut in [one for one in environment.disturbances if one.kind == KIND]:
        here: list[bool] = []
        elsewhere: list[bool] = []
        for request in environment.requests:
            found = _cuts_of_calm_instance(context, request, cut)
            if found is None or request.key in revoked:
                continue
            served = request.status == 200 and request.complete
            if request.edge == cut.subject:
                here.append(served)
            elif not found:
                elsewhere.append(served)
        if not here or not elsewhere:
            continue
        failed = here.count(False)
        share, others = 1 - failed / len(here), sum(elsewhere) / len(elsewhere)
        if share < SERVED_SHARE * others and failed > (
            FAILED_COUNT + FAILED_SHARE * len(here)
        ):
            text = f"{cut.subject}: {share:.2f} of {len(here)}, elsewhere {others:.2f}"
            yield checkcontext.Violation("reached", "", text)


def _cuts_of_calm_instance(
    context: checkcontext.CheckContext,
    request: callers.SentRequest,
    cut: environment_module.Disturbance,
) -> list[environment_module.Disturbance] | None:
    """Return the cuts of a request's instance; None if it does not count."""
    starts_s = cut.start_s + checkcontext.CONTACT_S
    repeated = request.resumes or request.name or request.poisoned
    if repeated or request.status == -1 or not starts_s <= request.sent_s < cut.end_s:
        return None
    since_s = request.sent_s - checkcontext.CONTACT_S
    if request.kind.model and not context.has_loaded(since_s):
        return None  # prompts are refused everywhere
    found = [
        one
        for subject in (request.edge, "store")
        for one in context.disturbances_of(subject, since_s, request.ended_s)
    ]
    if any(one.kind != KIND for one in found):
        return None
    return found
