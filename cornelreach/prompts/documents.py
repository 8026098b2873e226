"""What an owner knows of the prompts that return to its pool.

A document is what all prompts with one root have in common: the chain of pieces of the
latest one, and when it was seen. The expected rate of its returns decides what is
copied first and dropped last::

    known = documents.Documents()
    known.seen(prompt, now_ms)
    known.best(now_ms)[0].root

At most ``max_documents`` are kept; the one seen longest ago is dropped first.
"""

import collections
import heapq
import itertools
import typing

from cornelreach.prompts import pieces

MAX_DOCUMENTS = 20_000
GAP_WEIGHT = 0.3
UNKNOWN_GAP_MS = 600_000.0
VISIT_MS = 30_000.0
FIRST_SIGHT_RETURNS = 0.5
HOT_RETURNS = 2
KEPT_TAIL_TOKENS = 512
KEY_CHARACTERS = 32


class Document:
    """One document: its pieces, how often it returned, and its usual gap."""

    __slots__ = ("root", "keys", "tokens", "returns", "seen_ms", "gap_ms")

    def __init__(self, root: str, now_ms: float) -> None:
        self.root = root
        self.keys: tuple[str, ...] = ()
        self.tokens: tuple[int, ...] = ()
        self.returns = 0
        self.seen_ms = now_ms
        self.gap_ms = UNKNOWN_GAP_MS

    @property
    def hot(self) -> bool:
        """Return whether a second copy is worth its bytes."""
        return self.returns >= HOT_RETURNS

    def returns_per_hour(self, now_ms: float) -> float:
        """Return the expected rate of returns; it falls as the document is missed."""
        gap_ms = max(1_000.0, self.gap_ms, now_ms - self.seen_ms)
        return (self.returns + FIRST_SIGHT_RETURNS) * 3_600_000 / gap_ms


class Documents:
    """The documents of one pool."""

    def __init__(self, max_documents: int = MAX_DOCUMENTS) -> None:
        self.max_documents = max_documents
        self._known: collections.OrderedDict[str, Document] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._known)

    def get(self, root: str) -> Document | None:
        """Return a document by its root, or None."""
        return self._known.get(root)

    def seen(self, prompt: pieces.PromptPieces, now_ms: float) -> Document:
        """Note a prompt; prompts within ``VISIT_MS`` of each other are one visit."""
        document = self._known.get(prompt.root)
        if document is None:
            document = self._known[prompt.root] = Document(prompt.root, now_ms)
            self._bound()
        elif now_ms > document.seen_ms:
            _note_gap(document, now_ms)
        self._known.move_to_end(prompt.root)
        count = _worth_keeping(prompt)
        document.keys = prompt.keys[:count]
        document.tokens = prompt.tokens[:count]
        return document

    def best(self, now_ms: float, count: int | None = None) -> list[Document]:
        """Return documents by their expected rate of returns, highest first."""
        if count is None:
            count = len(self._known)
        return heapq.nlargest(
            count, self._known.values(), key=lambda one: one.returns_per_hour(now_ms)
        )

    def worst(self, now_ms: float, count: int | None = None) -> list[Document]:
        """Return documents by their expected rate of returns, lowest first."""
        if count is None:
            count = len(self._known)
        return heapq.nsmallest(
            count, self._known.values(), key=lambda one: one.returns_per_hour(now_ms)
        )

    def _bound(self) -> None:
        while len(self._known) > self.max_documents:
            self._known.popitem(last=False)


def _note_gap(document: Document, now_ms: float) -> None:
    gap_ms = now_ms - document.seen_ms
    document.seen_ms = now_ms
    if gap_ms < VISIT_MS:
        return
    document.returns += 1
    if document.returns == 1:
        document.gap_ms = gap_ms
    else:
        document.gap_ms += GAP_WEIGHT * (gap_ms - document.gap_ms)


def _worth_keeping(prompt: pieces.PromptPieces) -> int:
    """Return how many pieces to copy: all but a short last one, the question."""
    count = len(prompt.keys)
    if count > 1 and prompt.tokens[-1] < KEPT_TAIL_TOKENS:
        return count - 1
    return count


class Names:
    """The whole keys of pieces, by the first 64 bits that control calls carry.

    At most ``max_names`` are kept; the one named longest ago is dropped first.
    """

    def __init__(self, max_names: int = 400_000) -> None:
        self.max_names = max_names
        self._names: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._names)

    def add(self, keys: typing.Iterable[str]) -> None:
        """Learn whole keys, in hex, from a listing or from events."""
        for key in keys:
            if len(key) == KEY_CHARACTERS:
                self._learn(key)
        excess = len(self._names) - self.max_names
        if excess > 0:
            count = excess + self.max_names // 16
            for short in list(itertools.islice(self._names, count)):
                del self._names[short]

    def _learn(self, key: str) -> None:
        try:
            number = int(key, 16)
        except ValueError:
            return
        self._names[number >> 64] = number

    def whole(self, keys: typing.Sequence[str]) -> list[str]:
        """Return the whole keys of the leading pieces that are known."""
        found = []
        for key in keys:
            if len(key) < KEY_CHARACTERS:
                number = self._names.get(int(key, 16))
                if number is None:
                    break
                key = f"{number:0{KEY_CHARACTERS}x}"
            found.append(key)
        return found
