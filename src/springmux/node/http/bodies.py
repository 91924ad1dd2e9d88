"""Decoders of message bodies: by length, chunked, or until the connection closes (RFC 9112, section 6)."""

from __future__ import annotations

import enum
import re
from typing import NamedTuple, Protocol

from springmux.node.http.framing import content_length, transfer_codings
from springmux.node.http.heads import MalformedMessageError
from springmux.node.http.types import RequestHead

_HEX_DIGITS = b"0123456789abcdefABCDEF"
# A size of 2^60 bytes exceeds any body; more digits would overflow the 64-bit sizes of other
# implementations.
_MAX_SIZE_DIGITS = 15
_MAX_LINE_BYTES = 4096
_LINE_END = b"\r\n"
_PLAIN_SIZE_LINE = re.compile(rb"([0-9a-fA-F]{1,%d})\r\n" % _MAX_SIZE_DIGITS)
_MAX_TRAILER_BYTES = 16_384
# Lines of a request's chunked body that are decoded without returning to the event loop.
_MAX_LINES_AT_ONCE = 256


class BodyDecoder(Protocol):
    """Extracts the bytes of one body from the bytes that a connection receives."""

    done: bool
    """Whether the body is complete."""
    rest: bytes
    """The received bytes after the end of the body; set once ``done``."""

    @property
    def undecoded_bytes(self) -> int:
        """Received bytes that the next call of :meth:`feed` will decode, although it gets no others."""
        ...

    def feed(self, data: bytes) -> bytes:
        """Return the body's bytes in ``data``.

        :raises MalformedMessageError: the framing is not valid.
        """
        ...


class LengthDecoder:
    """Decodes a body of a known length, which may be 0."""

    def __init__(self, length: int) -> None:
        self._remaining = length
        self.done = length == 0
        self.rest = b""

    undecoded_bytes = 0

    def feed(self, data: bytes) -> bytes:
        """Return the body's bytes in ``data``."""
        if len(data) < self._remaining:
            self._remaining -= len(data)
            return data
        part = data[: self._remaining]
        self.rest = data[self._remaining :]
        self._remaining = 0
        self.done = True
        return part


class UntilCloseDecoder:
    """Decodes a body whose end is the close of the connection."""

    def __init__(self) -> None:
        self.done = False
        self.rest = b""

    undecoded_bytes = 0

    def feed(self, data: bytes) -> bytes:
        """Return ``data``, all of which belongs to the body."""
        return data


class _State(enum.Enum):
    SIZE = enum.auto()
    DATA = enum.auto()
    AFTER_DATA = enum.auto()
    TRAILER = enum.auto()


class _Chunk(NamedTuple):
    content: bytes
    end: int
    """Position after the line break that ends the chunk."""


class ChunkedDecoder:
    """Decodes a chunked body (RFC 9112, section 7.1). Trailers are discarded.

    :param max_lines: most lines that one call of :meth:`feed` decodes. It keeps the bytes after them, and
        continues when it is called again. Tiny chunks take long to decode.
    """

    def __init__(self, max_lines: int | None = None) -> None:
        self.done = False
        self.rest = b""
        self._max_lines = max_lines
        self._undecoded = b""
        self._state = _State.SIZE
        self._remaining = 0
        self._partial_line = b""
        self._trailer_bytes = 0

    def feed(self, data: bytes) -> bytes:
        """Return the body's bytes in ``data``.

        :raises MalformedMessageError: the framing is not valid.
        """
        data = self._partial_line + self._undecoded + data
        self._partial_line = self._undecoded = b""
        chunks: list[bytes] = []
        position = lines = 0
        while not self.done and position < len(data):
            if lines == self._max_lines:
                self._undecoded = data[position:]
                break
            if self._state is _State.SIZE and (chunk := self._whole_chunk(data, position)):
                chunks.append(chunk.content)
                position = chunk.end
                lines += 1
                continue
            if self._state is _State.DATA:
                content = data[position : position + self._remaining]
                position += len(content)
                chunks.append(content)
                self._consume_data(len(content))
                continue
            end = data.find(b"\r\n", position)
            if end < 0:
                self._store_partial_line(data[position:])
                break
            self._consume_line(data[position:end])
            position = end + 2
            lines += 1
        if self.done:
            self.rest = data[position:]
        return chunks[0] if len(chunks) == 1 else b"".join(chunks)

    @property
    def undecoded_bytes(self) -> int:
        """Received bytes that the next call of :meth:`feed` will decode."""
        return len(self._undecoded)

    def _whole_chunk(self, data: bytes, position: int) -> _Chunk | None:
        """Return the chunk at ``position`` if it is whole and has no extensions, as nearly all do."""
        size_line = _PLAIN_SIZE_LINE.match(data, position)
        if size_line is None:
            return None
        begin = size_line.end()
        end = begin + int(size_line[1], 16)
        if end == begin or data[end : end + len(_LINE_END)] != _LINE_END:
            return None
        return _Chunk(data[begin:end], end + len(_LINE_END))

    def _consume_data(self, size_bytes: int) -> None:
        self._remaining -= size_bytes
        if self._remaining == 0:
            self._state = _State.AFTER_DATA

    def _store_partial_line(self, part: bytes) -> None:
        if self._state is _State.AFTER_DATA and part != b"\r":
            raise MalformedMessageError("a chunk is longer than its size")
        if len(part) > _MAX_LINE_BYTES or b"\n" in part:
            raise MalformedMessageError("a line of the chunked body is too long or does not end with CRLF")
        self._partial_line = part

    def _consume_line(self, line: bytes) -> None:
        if len(line) > _MAX_LINE_BYTES or b"\n" in line:
            raise MalformedMessageError("a line of the chunked body is too long or contains a bare LF")
        if self._state is _State.AFTER_DATA:
            if line:
                raise MalformedMessageError("a chunk is longer than its size")
            self._state = _State.SIZE
        elif self._state is _State.SIZE:
            self._consume_size(line)
        elif not line:
            self.done = True
        else:
            self._trailer_bytes += len(line)
            if self._trailer_bytes > _MAX_TRAILER_BYTES:
                raise MalformedMessageError("the trailers of the chunked body are too long")

    def _consume_size(self, line: bytes) -> None:
        digits = line.split(b";", 1)[0].rstrip(b" \t")
        if not digits or len(digits) > _MAX_SIZE_DIGITS or digits.strip(_HEX_DIGITS):
            raise MalformedMessageError("a chunk's size is not a valid hexadecimal number")
        self._remaining = int(digits, 16)
        self._state = _State.DATA if self._remaining else _State.TRAILER


def request_body_decoder(head: RequestHead) -> tuple[BodyDecoder, int | None]:
    """Return the decoder of a request's body, and the length that Content-Length announces, if any.

    :raises MalformedMessageError: the framing headers are not valid, or the transfer coding is not
        ``chunked``.
    """
    codings = transfer_codings(head.headers)
    if codings:
        if codings != [b"chunked"] or head.header(b"content-length") is not None:
            raise MalformedMessageError("the transfer coding is not chunked, or comes with a Content-Length")
        return ChunkedDecoder(_MAX_LINES_AT_ONCE), None
    try:
        length = content_length(head.headers)
    except ValueError as error:
        raise MalformedMessageError(str(error)) from None
    return LengthDecoder(length or 0), length
