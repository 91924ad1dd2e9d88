"""The headers of one message as one block of bytes.

A head of the largest legal size may have thousands of very short lines. As objects they would take fifty
times the bytes that the client sent; a block takes about as many as it sent.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

Header = tuple[bytes, bytes]
"""Name in lower case, and the value unchanged."""

_LINE_START = b"\r\n"
_SEPARATOR = b": "


class HeaderBlock:
    """Immutable headers in their order. Equal to any sequence of the same headers."""

    __slots__ = ("_lines",)

    def __init__(self, headers: Iterable[Header] = ()) -> None:
        self._lines = b"".join([b"\r\n%b: %b" % header for header in headers])

    @classmethod
    def from_lines(cls, lines: bytes) -> HeaderBlock:
        """Return the block whose lines are ``name: value``, each after a line break."""
        block = cls()
        block._lines = lines
        return block

    @property
    def lines(self) -> bytes:
        """The lines ``name: value``, each after a line break."""
        return self._lines

    def __iter__(self) -> Iterator[Header]:
        begin = len(_LINE_START)
        while begin < len(self._lines):
            end = self._lines.find(_LINE_START, begin)
            if end < 0:
                end = len(self._lines)
            name, _, value = self._lines[begin:end].partition(_SEPARATOR)
            yield name, value
            begin = end + len(_LINE_START)

    def __eq__(self, other: object) -> bool:
        if isinstance(other, HeaderBlock):
            return self._lines == other._lines
        if isinstance(other, (tuple, list)):
            return tuple(self) == tuple(other)
        return NotImplemented

    def __hash__(self) -> int:
        return hash(self._lines)

    def __repr__(self) -> str:
        return f"HeaderBlock({tuple(self)!r})"

    def first(self, name: bytes) -> bytes | None:
        """Return the first value of a header (name in lower case)."""
        line_begin = _LINE_START + name + _SEPARATOR
        begin = self._lines.find(line_begin)
        if begin < 0:
            return None
        begin += len(line_begin)
        end = self._lines.find(_LINE_START, begin)
        return self._lines[begin:] if end < 0 else self._lines[begin:end]

    def all(self, name: bytes) -> list[bytes]:
        """Return all values of a header (name in lower case), in their order."""
        parts = self._lines.split(_LINE_START + name + _SEPARATOR)
        return [part.partition(_LINE_START)[0] for part in parts[1:]]

    def without(self, names: frozenset[bytes]) -> HeaderBlock:
        """Return the headers but for those with ``names``."""
        lines = self._lines.split(_LINE_START)
        kept = [line for line in lines if line.partition(_SEPARATOR)[0] not in names]
        return HeaderBlock.from_lines(_LINE_START.join(kept))

    def plus(self, headers: Iterable[Header]) -> HeaderBlock:
        """Return these headers and more after them."""
        return HeaderBlock.from_lines(self._lines + HeaderBlock(headers).lines)


def values_of(headers: HeaderBlock | Iterable[Header], name: bytes) -> list[bytes]:
    """Return all values of a header (name in lower case), in their order."""
    if isinstance(headers, HeaderBlock):
        return headers.all(name)
    return [value for known, value in headers if known == name]
