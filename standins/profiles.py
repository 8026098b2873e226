"""Load profiles of the two existing fleets.

The nominal load follows from the fleet's capacity: with all readers up and half of the
prompt tokens computed, prefill takes half of the readers' time. The fleet can then
carry it with one of three data centres out.
"""

import typing

NOMINAL_UTILIZATION = 0.5
NOMINAL_COMPUTED_SHARE = 0.5
PREFILL_TOKENS_PER_S = 8_000
PIECE_TOKENS = 1_000
TURNS = (1, 2, 3)
QUESTION_TOKENS = (100, 300)
THINK_MS = (3_000, 9_000)
ANSWER_TOKENS = 2
DRAFT_AFTER_MS = 2_000
DRAFT_TAIL_TOKENS = (400, 800)
TEMPLATE_PIECES = 2
NOTICE_TOKENS = (50, 110)


class Profile(typing.NamedTuple):
    """One fleet and the behaviour of its callers.

    ``readers`` and ``drafters`` name the data centre of each engine. A document has
    ``document_tokens`` (minimum, maximum) and grows by ``growth_tokens`` at each visit.
    Gaps between visits are log-normal with mean ``gap_s``. ``new_document_share`` is
    the share of visits to a document that has not been read before.
    """

    name: str
    data_centres: tuple[str, ...]
    readers: tuple[str, ...]
    drafters: tuple[str, ...]
    stores: tuple[str, ...]
    services: tuple[str, ...]
    document_tokens: tuple[int, int]
    growth_tokens: int
    gap_s: float = 120.0
    gap_sigma: float = 0.6
    new_document_share: float = 0.03
    yes_share: float = 0.5
    deadline_ms: float = 30_000.0
    cache_tokens: int = 200_000
    account_weights: tuple[int, ...] = (30, 20, 14, 9, 7, 6, 5, 4, 3, 2)

    @property
    def mean_document_tokens(self) -> float:
        """Return the expected length of a document."""
        return sum(self.document_tokens) / 2

    @property
    def nominal_calls_per_s(self) -> float:
        """Return the readers' calls a second at the nominal load."""
        prompt = self.mean_document_tokens + sum(QUESTION_TOKENS) / 2
        capacity = len(self.readers) * PREFILL_TOKENS_PER_S
        return NOMINAL_UTILIZATION * capacity / (NOMINAL_COMPUTED_SHARE * prompt)

    @property
    def documents(self) -> int:
        """Return the number of documents in use at the nominal load."""
        turns = sum(TURNS) / len(TURNS)
        return round(self.nominal_calls_per_s * self.gap_s / turns)


TIRNICA = Profile(
    name="tirnica",
    data_centres=("lj-north", "lj-south", "kranj"),
    readers=("lj-north", "lj-south", "kranj"),
    drafters=("lj-north", "lj-south", "kranj"),
    stores=("lj-north", "kranj"),
    services=("lj-north", "lj-south", "kranj"),
    document_tokens=(6_000, 16_000),
    growth_tokens=0,
)

TARMAC_BLEU = Profile(
    name="tarmac-bleu",
    data_centres=("plaisance", "mahebourg", "rose-belle"),
    readers=("plaisance", "mahebourg", "rose-belle"),
    drafters=("plaisance", "mahebourg"),
    stores=("plaisance", "rose-belle"),
    services=("plaisance", "mahebourg", "rose-belle"),
    document_tokens=(4_000, 12_000),
    growth_tokens=120,
)

PROFILES = {profile.name: profile for profile in (TIRNICA, TARMAC_BLEU)}
