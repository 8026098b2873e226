"""Splits JSON text into parts that are decoded one by one.

One part that a decoder rejects, such as a number out of range or values nested too
deeply, then spoils none of the others. What lies deeper than ``depth`` stays text, and
nesting costs neither stack nor a second pass::

    split(b'{"a": [1, [2]], "b": 3}', 2)   # {"a": [b"1", b"[2]"], "b": b"3"}
"""

import re
import typing

import msgspec

TOKENS = re.compile(
    rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[{]+|[\]}]+|[,:]',
    re.DOTALL,
)

Part = dict[str, "Part"] | list["Part"] | bytes


class _Container:
    """An array or object whose parts are being collected."""

    def __init__(self, mark: int, start: int) -> None:
        self.parts: typing.Any = {} if mark == ord("{") else []
        self.closing = ord("}") if mark == ord("{") else ord("]")
        self.start = start
        self.name: str | None = None
        self.inner: Part | None = None  # the part at hand, if it was split itself

    def end_part(self, data: bytes, end: int, last: bool) -> None:
        """Add the part that ends at a comma or the closing bracket."""
        text = data[self.start : end].strip()
        if last and not text and self.name is None and not self.parts:
            return
        part = text if self.inner is None else self.inner
        if isinstance(self.parts, list):
            self.parts.append(part)
        elif self.name is None:
            raise ValueError("a member has no name")
        else:
            self.parts[self.name] = part
        self.name = self.inner = None
        self.start = end + 1

    def end_name(self, data: bytes, end: int) -> None:
        """Take what stands before a colon for the name of the next member."""
        if self.name is not None or isinstance(self.parts, list):
            raise ValueError("a colon stands where none may")
        try:
            self.name = msgspec.json.decode(data[self.start : end], type=str)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise ValueError(f"a member has no name: {error}") from error
        self.start = end + 1


class _Splitter:
    def __init__(self, data: bytes, depth: int) -> None:
        self.data = data
        self.depth = depth
        self.open: list[_Container] = []
        self.deeper = 0  # brackets open below the containers that are split

    def run(self) -> Part:
        for found in TOKENS.finditer(self.data):
            first = found.group()[:1]
            if first in b"[{":
                self._enter(found.group(), found.start())
            elif first in b"]}":
                result = self._leave(found.group(), found.start())
                if result is not None:
                    return result
            elif first != b'"' and self.open and not self.deeper:
                self._separate(first, found.start())
        raise ValueError("the text is no complete array or object")

    def _enter(self, marks: bytes, start: int) -> None:
        split = max(0, min(len(marks), self.depth - len(self.open)))
        if self.deeper:
            split = 0
        for offset in range(split):
            self.open.append(_Container(marks[offset], start + offset + 1))
        self.deeper += len(marks) - split

    def _leave(self, marks: bytes, start: int) -> Part | None:
        """Close containers; return the outermost one's parts once it is closed."""
        passed = min(len(marks), self.deeper)
        self.deeper -= passed
        for offset in range(passed, len(marks)):
            if not self.open or self.open[-1].closing != marks[offset]:
                raise ValueError("a bracket closes what was not opened")
            inner = self.open.pop()
            inner.end_part(self.data, start + offset, last=True)
            if not self.open:
                if self.data[start + offset + 1 :].strip():
                    raise ValueError("text after the end")
                return inner.parts
            self.open[-1].inner = inner.parts
        return None

    def _separate(self, mark: bytes, start: int) -> None:
        if mark == b",":
            self.open[-1].end_part(self.data, start, last=False)
        else:
            self.open[-1].end_name(self.data, start)


def split(data: bytes, depth: int) -> Part:
    """Split an array or object; raises ValueError if it is malformed."""
    return _Splitter(data, depth).run()
