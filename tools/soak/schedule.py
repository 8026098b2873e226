"""Generates fault schedules from a seed."""

import random
import typing

QUIET_START_S = 1.5
SERIES_GAP_S = 0.6


class Fault(typing.NamedTuple):
    """A fault; ``subject`` is what it affects, or empty: an instance, for example."""

    at_s: float
    kind: str
    subject: str
    for_s: float

    def __str__(self) -> str:
        subject = f" {self.subject}" if self.subject else ""
        return f"{self.at_s:5.1f} s {self.kind}{subject} for {self.for_s:.1f} s"


EDGE_KINDS = ("kill", "pause", "term", "reload", "store-silent", "store-deaf")
EDGE_KINDS += ("store-reset", "store-slow", "cut")
STORE_KINDS = ("outage", "slow", "lose-answers", "compact", "restore")
ENGINE_KINDS = ("crash", "dark", "errors", "lost", "garbled", "drain", "cold")
ENGINE_KINDS += ("late-orders", "link-silent", "link-reset", "forged")
ENGINE_KINDS += ("leave", "rest")
OPERATOR_KINDS = ("revoke", "route", "version", "evacuate")
WEIGHTS = ((EDGE_KINDS, 4), (STORE_KINDS, 2), (ENGINE_KINDS, 4), (OPERATOR_KINDS, 3))
# Each group is drawn after all others, so that seeds from before it existed keep their
# faults.
LATER_GROUPS = (
    ("poison", "limit"),
    ("late-version", "repeat"),
    ("withdraw", "damage", "refuse-again"),
    ("limits", "late-body", "odd-rest", "cut-heads"),
    ("refuse-first",),
    ("kill-all", "kill", "pause"),
    ("shed", "shed", "kill"),
    ("empty-store", "damage"),
    ("rename", "late-copies"),
    ("reset-ends",),
)
KINDS = frozenset(
    kind
    for group in (*(group for group, _ in WEIGHTS), *LATER_GROUPS)
    for kind in group
)
LATER_PERIOD_S = 8.0
REPEATED_KINDS = ("once", "read", "stream", "resume")  # of requests
# Faults that consist of others.
COMBINED_KINDS = ("late-version", "kill-all")


def draw(
    source: random.Random,
    seconds: float,
    edges: typing.Sequence[str],
    engines: typing.Sequence[str],
    zones: typing.Sequence[str],
) -> list[Fault]:
    """Return a schedule of overlapping faults, some of them repeated after a gap."""
    subjects = {EDGE_KINDS: edges, ENGINE_KINDS: engines}
    faults: list[Fault] = []
    groups = [group for group, _ in WEIGHTS]
    weights = [weight for _, weight in WEIGHTS]
    while len(faults) < seconds:
        group = source.choices(groups, weights)[0]
        kind = source.choice(group)
        subject = source.choice(subjects.get(group, ("",)))
        if kind == "evacuate":
            subject = source.choice(zones)
        at_s = source.uniform(QUIET_START_S, seconds)
        for_s = source.choice((0.4, 1.0, 2.5, 6.0))
        fault = Fault(round(at_s, 1), kind, subject, for_s)
        faults.append(fault)
        if source.random() < 0.25 and group is not OPERATOR_KINDS:
            later_s = round(at_s + for_s + SERIES_GAP_S, 1)
            others = subjects.get(group, ("",))
            faults.append(fault._replace(at_s=later_s, subject=source.choice(others)))
    later_subjects = {"limit": engines, "late-version": edges}
    later_subjects["repeat"] = REPEATED_KINDS
    later_subjects["withdraw"] = later_subjects["refuse-again"] = engines
    later_subjects["odd-rest"] = later_subjects["cut-heads"] = engines
    later_subjects["late-body"] = edges
    later_subjects["kill"] = later_subjects["pause"] = edges
    later_subjects["refuse-first"] = later_subjects["shed"] = engines
    later_subjects["rename"] = later_subjects["late-copies"] = engines
    later_subjects["reset-ends"] = engines
    for group in LATER_GROUPS:
        for _ in range(round(seconds / LATER_PERIOD_S)):
            kind = source.choice(group)
            subjects_of_kind = later_subjects.get(kind)
            subject = source.choice(subjects_of_kind) if subjects_of_kind else ""
            at_s = round(source.uniform(QUIET_START_S, seconds), 1)
            faults.append(Fault(at_s, kind, subject, 1.0))
    return sorted(faults)


def shorter_schedules(faults: typing.Sequence[Fault]) -> typing.Iterator[list[Fault]]:
    """Yield both halves of a schedule, then the schedule without each single fault."""
    half = len(faults) // 2
    if half:
        yield list(faults[:half])
        yield list(faults[half:])
    for index in range(len(faults)):
        yield [*faults[:index], *faults[index + 1 :]]
