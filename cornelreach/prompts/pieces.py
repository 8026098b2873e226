"""Splits prompts into pieces with chained keys.

A piece holds about 1,000 tokens, estimated at four characters per token. Its key is a
hash of the client account, the model, the weight version, the key of the preceding
piece and its own content. Pieces of different accounts or versions therefore never
match, and equal keys mean that the whole prefix up to that piece is equal::

    prompt = pieces.split("tirnica", "reader", "7", [{"role": "user", "content": text}])
    prompt.keys[0], prompt.tokens[0], prompt.total_tokens

The end of a message also closes the current piece if that has ``MIN_PIECE_TOKENS``.
Appending turns therefore changes no existing piece, except a shorter last one.
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

    ``root`` (hex) identifies the document when a pool is chosen. Prompts of one account
    and model have the same root if they are equal up to the end of their first full
    piece. The weight version is not part of it, so that a document stays in its pool
    when the weights change.
    """

    keys: tuple[str, ...]
    tokens: tuple[int, ...]
    root: str

    @property
    def total_tokens(self) -> int:
        """Return the token count of the whole prompt."""
        return sum(self.tokens)


class _Piece(typing.NamedTuple):
    content: bytes
    chars: int

    @property
    def tokens(self) -> int:
        return max(1, -(-self.chars // CHARS_PER_TOKEN))


class _PieceBuilder:
    """Groups the text of consecutive messages into pieces."""

    def __init__(self) -> None:
        self.pieces: list[_Piece] = []
        self._segments: list[bytes] = []
        self._chars = 0

    def add(self, role: str, text: str) -> None:
        """Append one message, and close the last piece if it is large enough."""
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
        """Finish the current piece unless it is empty."""
        if self._segments:
            content = hashing.digest(*self._segments)
            self.pieces.append(_Piece(content, self._chars))
        self._segments = []
        self._chars = 0


def _encode(text: str) -> bytes:
    return text.encode("utf-8", "surrogatepass")


def _message_text(message: Message) -> str:
    """Return the text that a message adds to the prompt.

    A message with other fields, or with a content that is not a string, contributes
    its JSON form, so that every field is part of the key.
    """
    content = message.get("content")
    if isinstance(content, str) and not message.keys() - {"role", "content"}:
        return content
    return msgspec.json.encode(message, order="deterministic").decode()


def _document_root(account: str, model: str, pieces: list[_Piece]) -> str:
    full_piece_ends = (
        index + 1 for index, piece in enumerate(pieces) if piece.chars == PIECE_CHARS
    )
    end = next(full_piece_ends, 1)
    contents = (piece.content for piece in pieces[:end])
    root = hashing.digest(b"root", account.encode(), model.encode(), *contents)
    return root[:ROOT_BYTES].hex()


def split(
    account: str, model: str, version: str, messages: typing.Sequence[Message]
) -> PromptPieces:
    """Return the pieces of a chat prompt.

    ``version`` identifies everything that determines the weights, including an adapter.
    A message is a mapping with ``role`` and ``content``; other fields, and a content
    that is not a string, are part of the key in their JSON form.
    """
    builder = _PieceBuilder()
    for message in messages:
        builder.add(str(message.get("role", "")), _message_text(message))
    builder.close()
    scope = (account.encode(), model.encode(), version.encode())
    keys = []
    parent = b""
    for piece in builder.pieces:
        parent = hashing.digest(*scope, parent, piece.content)
        keys.append(parent.hex())
    tokens = tuple(piece.tokens for piece in builder.pieces)
    return PromptPieces(
        tuple(keys), tokens, _document_root(account, model, builder.pieces)
    )
