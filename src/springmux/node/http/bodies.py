"""Decoders of a message's body: none, by length, chunked, or until the connection's end (RFC 9112)."""

from __future__ import annotations

import enum
from typing import Protocol

from springmux.node.http.framing import content_length, transfer_codings
from springmux.node.http.heads import MalformedMessageError
from springmux.node.http.types import RequestHead

_HEX_DIGITS = b"0123456789abcdefABCDEF"
# 2^60 bytes is beyond any body; more digits are an attack on whoever holds sizes in 64 bits.
_MAX_SIZE_DIGITS = 15
_MAX_LINE_BYTES = 4096
_MAX_TRAILER_BYTES = 16_384


class BodyDecoder(Protocol):
    """Takes bytes of a connection and gives back those of the body."""

    done: bool
    """Whether the body is whole."""
    rest: bytes
    """The bytes after the body's end, once done."""

    def feed(self, data: bytes) -> bytes:
        """Return the body's bytes in ``data``.

        :raises MalformedMessageError: if the framing is broken.
        """
        ...


class LengthDecoder:
    """A body of a known length, also of none."""

    def __init__(self, length: int) -> None:
        self._remaining = length
        self.done = length == 0
        self.rest = b""

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


class UntilEndDecoder:
    """A body that the connection's end ends."""

    def __init__(self) -> None:
        self.done = False
        self.rest = b""

    def feed(self, data: bytes) -> bytes:
        """Return ``data``: all of it is body."""
        return data


class _State(enum.Enum):
    SIZE = enum.auto()
    DATA = enum.auto()
    AFTER_DATA = enum.auto()
    TRAILER = enum.auto()


class ChunkedDecoder:
    """A chunked body. Trailers are read and dropped."""

    def __init__(self) -> None:
        self.done = False
        self.rest = b""
        self._state = _State.SIZE
        self._remaining = 0
        self._carry = b""
        self._trailer_bytes = 0

    def feed(self, data: bytes) -> bytes:
        """Return the body's bytes in ``data``.

        :raises MalformedMessageError: if the framing is broken.
        """
        data = self._carry + data
        self._carry = b""
        pieces: list[bytes] = []
        position = 0
        while not self.done and position < len(data):
            if self._state is _State.DATA:
                piece = data[position : position + self._remaining]
                position += len(piece)
                pieces.append(piece)
                self._take_data(len(piece))
                continue
            end = data.find(b"\r\n", position)
            if end < 0:
                self._keep(data[position:])
                break
            self._take_line(data[position:end])
            position = end + 2
        if self.done:
            self.rest = data[position:]
        return pieces[0] if len(pieces) == 1 else b"".join(pieces)

    def _take_data(self, size_bytes: int) -> None:
        self._remaining -= size_bytes
        if self._remaining == 0:
            self._state = _State.AFTER_DATA

    def _keep(self, part: bytes) -> None:
        if self._state is _State.AFTER_DATA and part != b"\r":
            raise MalformedMessageError("a chunk is longer than its size")
        if len(part) > _MAX_LINE_BYTES or b"\n" in part:
            raise MalformedMessageError("a line of the chunked body has no proper end")
        self._carry = part

    def _take_line(self, line: bytes) -> None:
        if len(line) > _MAX_LINE_BYTES or b"\n" in line:
            raise MalformedMessageError("a line of the chunked body is not valid")
        if self._state is _State.AFTER_DATA:
            if line:
                raise MalformedMessageError("a chunk is longer than its size")
            self._state = _State.SIZE
        elif self._state is _State.SIZE:
            self._take_size(line)
        elif not line:
            self.done = True
        else:
            self._trailer_bytes += len(line)
            if self._trailer_bytes > _MAX_TRAILER_BYTES:
                raise MalformedMessageError("the trailers are too long")

    def _take_size(self, line: bytes) -> None:
        digits = line.split(b";", 1)[0].rstrip(b" \t")
        if not digits or len(digits) > _MAX_SIZE_DIGITS or digits.strip(_HEX_DIGITS):
            raise MalformedMessageError("a chunk's size is not a number")
        self._remaining = int(digits, 16)
        self._state = _State.DATA if self._remaining else _State.TRAILER


def request_body_decoder(head: RequestHead) -> tuple[BodyDecoder, int | None]:
    """Return the decoder of a request's body, and its announced length if any.

    :raises MalformedMessageError: if its framing is not valid; only ``chunked`` is spoken as a coding.
    """
    codings = transfer_codings(head.headers)
    if codings:
        if codings != [b"chunked"] or head.header(b"content-length") is not None:
            raise MalformedMessageError("the body's framing is not valid")
        return ChunkedDecoder(), None
    try:
        length = content_length(head.headers)
    except ValueError as error:
        raise MalformedMessageError(str(error)) from None
    return LengthDecoder(length or 0), length
