"""Pieces of a prompt and their chained keys.

A piece is about 1,000 tokens of a prompt, counted as four characters a token. The key
of a piece covers the client account, the model, the weight version, the key of the
piece before it and its own content, so pieces of another account or version can never
match, and a matching key means that the whole prefix matches::

    prompt = pieces.split("tirnica", "reader", "7", [{"role": "user", "content": text}])
    prompt.keys[0], prompt.tokens[0], prompt.total_tokens

A message that ends closes its piece if the piece has ``MIN_PIECE_TOKENS`` already.
Appended turns therefore leave all pieces as they were, except a shorter last one.
"""

import typing

import msgspec

from cornelreach.util import hashing

CHARS_PER_TOKEN = 4
PIECE_TOKENS = 1_000
MIN_PIECE_TOKENS = 64
ROOT_BYTES = 8
PIECE_CHARS = PIECE_TOKENS * CHARS_PER_TOKEN
MIN_PIECE_CHARS = MIN_PIECE_TOKENS * CHARS_PER_TOKEN

Message = typing.Mapping[str, typing.Any]


class PromptPieces(typing.NamedTuple):
    """Keys (hex) and token counts of a prompt's pieces, in order.

    ``root`` (hex) names the document for the choice of a pool. It is the same for all
    prompts of an account and model that share everything up to the end of their first
    whole piece, and leaves the weight version out, so that a document stays with its
    pool when the weights change.
    """

    keys: tuple[str, ...]
    tokens: tuple[int, ...]
    root: str

    @property
    def total_tokens(self) -> int:
        """Return the tokens of the whole prompt."""
        return sum(self.tokens)


class _Piece(typing.NamedTuple):
    content: bytes
    chars: int

    @property
    def tokens(self) -> int:
        return max(1, -(-self.chars // CHARS_PER_TOKEN))


class _Builder:
    """Collects segments of text into pieces."""

    def __init__(self) -> None:
        self.pieces: list[_Piece] = []
        self._segments: list[bytes] = []
        self._chars = 0

    def add(self, role: str, text: str) -> None:
        """Append one message and close its piece if that is large enough."""
        self._segments.append(b"role " + _encode(role))
        start = 0
        while len(text) - start >= PIECE_CHARS - self._chars:
            end = start + PIECE_CHARS - self._chars
            self._append(text[start:end])
            self.close()
            start = end
        self._append(text[start:])
        if self._chars >= MIN_PIECE_CHARS:
            self.close()

    def _append(self, text: str) -> None:
        if text:
            self._segments.append(b"text " + _encode(text))
            self._chars += len(text)

    def close(self) -> None:
        """End the current piece if it holds anything."""
        if self._segments:
            content = hashing.digest(*self._segments)
            self.pieces.append(_Piece(content, self._chars))
        self._segments = []
        self._chars = 0


def _encode(text: str) -> bytes:
    return text.encode("utf-8", "surrogatepass")


def _text(message: Message) -> str:
    """Return what a message adds to the prompt; all its fields count."""
    content = message.get("content")
    if isinstance(content, str) and not message.keys() - {"role", "content"}:
        return content
    return msgspec.json.encode(message, order="deterministic").decode()


def _root(account: str, model: str, built: list[_Piece]) -> str:
    whole = (
        index + 1 for index, piece in enumerate(built) if piece.chars == PIECE_CHARS
    )
    end = next(whole, 1)
    contents = (piece.content for piece in built[:end])
    root = hashing.digest(b"root", account.encode(), model.encode(), *contents)
    return root[:ROOT_BYTES].hex()


def split(
    account: str, model: str, version: str, messages: typing.Sequence[Message]
) -> PromptPieces:
    """Return the pieces of a chat.

    ``version`` names everything that the weights of a run depend on, an adapter
    included. A message is a mapping with ``role`` and ``content``; its other fields and
    a content that is not a string are part of the key in their JSON form.
    """
    builder = _Builder()
    for message in messages:
        builder.add(str(message.get("role", "")), _text(message))
    builder.close()
    scope = (account.encode(), model.encode(), version.encode())
    keys = []
    parent = b""
    for piece in builder.pieces:
        parent = hashing.digest(*scope, parent, piece.content)
        keys.append(parent.hex())
    tokens = tuple(piece.tokens for piece in builder.pieces)
    return PromptPieces(tuple(keys), tokens, _root(account, model, builder.pieces))
