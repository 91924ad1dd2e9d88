"""Check of a streamed answer as its caller sees it."""

from __future__ import annotations

from typing import Any

import msgspec

from springmux.lab.stand_ins.model_engine import piece_text


class _Delta(msgspec.Struct):
    content: str = ""


class _Choice(msgspec.Struct):
    delta: _Delta
    finish_reason: str | None = None


class _Usage(msgspec.Struct):
    total_tokens: int = 0


class _Chunk(msgspec.Struct):
    id: str
    seq: int
    choices: list[_Choice]
    usage: _Usage | None = None


_chunk_decoder = msgspec.json.Decoder(_Chunk)


class StreamChecker:
    """Checks a stream piece by piece: one id, no gap, no repeat, each text the one that its engine made.

    ``tokens`` is the engine's true count, 0 until the last piece. ``request``: the id that the answer's
    head named; an answer of another request is blamed.
    """

    def __init__(self, wanted_pieces: int, request: str = "") -> None:
        self.fault = ""
        self.pieces = 0
        self.tokens = 0
        self.finished = False
        self.done = False
        self.error: dict[str, Any] = {}
        self._wanted_pieces = wanted_pieces
        self._stream_id = request
        self._rest = b""
        self._error_next = False

    def feed(self, data: bytes) -> int:
        """Take bytes of the answer; return how many whole pieces were in them."""
        before = self.pieces
        *lines, self._rest = (self._rest + data).split(b"\n")
        for line in lines:
            self._take_line(line.rstrip(b"\r"))
        return self.pieces - before

    def complete(self) -> bool:
        """Say whether the stream presents itself as whole."""
        return self.done

    def close(self) -> None:
        """Judge the ended stream."""
        if self.done and not self.finished:
            self._blame("done marker without a last piece")
        if self.done and self.pieces != self._wanted_pieces:
            self._blame(f"complete with {self.pieces} of {self._wanted_pieces} pieces")

    def _take_line(self, line: bytes) -> None:
        if line == b"event: error":
            self._error_next = True
        elif line == b"data: [DONE]":
            if self.error:
                self._blame("done marker after an error")
            self.done = True
        elif line.startswith(b"data: "):
            self._take_data(line[6:])

    def _take_data(self, data: bytes) -> None:
        if self._error_next:
            self._error_next = False
            self._take_error(data)
            return
        if self.done or self.error:
            self._blame("piece after the stream's end")
        try:
            chunk = _chunk_decoder.decode(data)
        except msgspec.DecodeError as error:
            self._blame(f"malformed piece: {error}")
            return
        self._stream_id = self._stream_id or chunk.id
        if chunk.id != self._stream_id:
            self._blame("piece of another answer")
        if chunk.seq != self.pieces:
            self._blame(f"piece {chunk.seq} where {self.pieces} was due")
        if chunk.choices[0].delta.content != piece_text(chunk.id, chunk.seq):
            self._blame("piece with another answer's text")
        if self.finished:
            self._blame("piece after the last piece")
        self.finished = chunk.choices[0].finish_reason is not None
        if chunk.usage is not None:
            self.tokens = chunk.usage.total_tokens
        self.pieces += 1

    def _take_error(self, data: bytes) -> None:
        try:
            self.error = msgspec.json.decode(data)["error"]
        except (msgspec.DecodeError, KeyError, TypeError):
            self._blame("error event without the typed shape")

    def _blame(self, fault: str) -> None:
        self.fault = self.fault or fault
