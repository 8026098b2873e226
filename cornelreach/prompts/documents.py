"""Statistics of the prompts that return to a pool, kept by the pool's owner.

A document stands for all prompts with the same root. It has the piece keys of the
latest one, and the time of the last visit. The expected rate of its returns determines
which documents are copied first and removed last::

    known = documents.Documents()
    known.record_prompt(prompt, now_ms)
    known.most_frequent(now_ms)[0].root

At most ``max_documents`` are kept; the least recently seen ones are evicted first.
"""

import collections
import heapq
import itertools
import typing

from cornelreach.prompts import pieces

MAX_DOCUMENTS = 20_000
GAP_WEIGHT = 0.3
DEFAULT_GAP_MS = 600_000.0
VISIT_WINDOW_MS = 30_000.0
PRIOR_RETURNS = 0.5
HOT_RETURNS = 2
MIN_TAIL_TOKENS = 512
FULL_KEY_CHARS = 32


class Document:
    """A document: its pieces, the number of its returns, and their average gap."""

    __slots__ = ("root", "keys", "tokens", "returns", "seen_ms", "gap_ms")

    def __init__(self, root: str, now_ms: float) -> None:
        self.root = root
        self.keys: tuple[str, ...] = ()
        self.tokens: tuple[int, ...] = ()
        self.returns = 0
        self.seen_ms = now_ms
        self.gap_ms = DEFAULT_GAP_MS

    @property
    def hot(self) -> bool:
        """Return whether the document returns often enough for a second copy."""
        return self.returns >= HOT_RETURNS

    def returns_per_hour(self, now_ms: float) -> float:
        """Return the expected rate of returns; it decays while there is none."""
        gap_ms = max(1_000.0, self.gap_ms, now_ms - self.seen_ms)
        return (self.returns + PRIOR_RETURNS) * 3_600_000 / gap_ms


class Documents:
    """The known documents of one pool."""

    def __init__(self, max_documents: int = MAX_DOCUMENTS) -> None:
        self.max_documents = max_documents
        self._known: collections.OrderedDict[str, Document] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._known)

    def get(self, root: str) -> Document | None:
        """Return the document with a root, or None."""
        return self._known.get(root)

    def record_prompt(self, prompt: pieces.PromptPieces, now_ms: float) -> Document:
        """Record a prompt; those less than ``VISIT_WINDOW_MS`` apart are one visit."""
        document = self._known.get(prompt.root)
        if document is None:
            document = self._known[prompt.root] = Document(prompt.root, now_ms)
            self._evict()
        elif now_ms > document.seen_ms:
            _update_gap(document, now_ms)
        self._known.move_to_end(prompt.root)
        count = _copied_piece_count(prompt)
        document.keys = prompt.keys[:count]
        document.tokens = prompt.tokens[:count]
        return document

    def most_frequent(self, now_ms: float, count: int | None = None) -> list[Document]:
        """Return documents in descending order of their expected rate of returns."""
        if count is None:
            count = len(self._known)
        return heapq.nlargest(
            count, self._known.values(), key=lambda one: one.returns_per_hour(now_ms)
        )

    def least_frequent(self, now_ms: float, count: int | None = None) -> list[Document]:
        """Return documents in ascending order of their expected rate of returns."""
        if count is None:
            count = len(self._known)
        return heapq.nsmallest(
            count, self._known.values(), key=lambda one: one.returns_per_hour(now_ms)
        )

    def _evict(self) -> None:
        while len(self._known) > self.max_documents:
            self._known.popitem(last=False)


def _update_gap(document: Document, now_ms: float) -> None:
    gap_ms = now_ms - document.seen_ms
    document.seen_ms = now_ms
    if gap_ms < VISIT_WINDOW_MS:
        return
    document.returns += 1
    if document.returns == 1:
        document.gap_ms = gap_ms
    else:
        document.gap_ms += GAP_WEIGHT * (gap_ms - document.gap_ms)


def _copied_piece_count(prompt: pieces.PromptPieces) -> int:
    """Return how many pieces to copy: all except a short last one, the question."""
    count = len(prompt.keys)
    if count > 1 and prompt.tokens[-1] < MIN_TAIL_TOKENS:
        return count - 1
    return count


class KeyIndex:
    """Maps the first 64 bits of piece keys, which control calls carry, to full keys.

    At most ``max_keys`` are kept; the ones that were added first are evicted first.
    """

    def __init__(self, max_keys: int = 400_000) -> None:
        self.max_keys = max_keys
        self._full_keys: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._full_keys)

    def add(self, keys: typing.Iterable[str]) -> None:
        """Add full keys (hex) from a listing or from events; others are ignored."""
        for key in keys:
            if len(key) == FULL_KEY_CHARS:
                self._add(key)
        excess = len(self._full_keys) - self.max_keys
        if excess > 0:
            count = excess + self.max_keys // 16
            for short_key in list(itertools.islice(self._full_keys, count)):
                del self._full_keys[short_key]

    def _add(self, key: str) -> None:
        try:
            number = int(key, 16)
        except ValueError:
            return
        self._full_keys[number >> 64] = number

    def expand(self, keys: typing.Sequence[str]) -> list[str]:
        """Return the full keys of the leading pieces, up to the first unknown one."""
        found = []
        for key in keys:
            if len(key) < FULL_KEY_CHARS:
                number = self._full_keys.get(int(key, 16))
                if number is None:
                    break
                key = f"{number:0{FULL_KEY_CHARS}x}"
            found.append(key)
        return found
