"""Check of a streamed response from the client's side."""

from __future__ import annotations

from typing import Any

import msgspec

from springmux.lab.stand_ins.model_engine import chunk_text


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
    """Checks a stream chunk by chunk: one id, no gap, no repetition, each text as the engine generated it.

    ``tokens`` is the count that the engine reports, 0 until the last chunk. ``request``: the request id in
    the response head; a chunk of another request is a fault.
    """

    def __init__(self, expected_chunks: int, request: str = "") -> None:
        self.fault = ""
        self.chunks = 0
        self.tokens = 0
        self.finished = False
        self.done = False
        self.error: dict[str, Any] = {}
        self._expected_chunks = expected_chunks
        self._stream_id = request
        self._incomplete_line = b""
        self._error_data_follows = False

    def feed(self, data: bytes) -> int:
        """Handle bytes of the response; return how many chunks they completed."""
        before = self.chunks
        *lines, self._incomplete_line = (self._incomplete_line + data).split(b"\n")
        for line in lines:
            self._handle_line(line.rstrip(b"\r"))
        return self.chunks - before

    def complete(self) -> bool:
        """Return whether the stream ended with its done marker."""
        return self.done

    def close(self) -> None:
        """Check what is known only at the end of the stream."""
        if self.done and not self.finished:
            self._record_fault("done marker without a last piece")
        if self.done and self.chunks != self._expected_chunks:
            self._record_fault(f"complete with {self.chunks} of {self._expected_chunks} pieces")

    def _handle_line(self, line: bytes) -> None:
        if line == b"event: error":
            self._error_data_follows = True
        elif line == b"data: [DONE]":
            if self.error:
                self._record_fault("done marker after an error")
            self.done = True
        elif line.startswith(b"data: "):
            self._handle_data(line[6:])

    def _handle_data(self, data: bytes) -> None:
        if self._error_data_follows:
            self._error_data_follows = False
            self._handle_error(data)
            return
        if self.done or self.error:
            self._record_fault("piece after the stream's end")
        try:
            chunk = _chunk_decoder.decode(data)
        except msgspec.DecodeError as error:
            self._record_fault(f"malformed piece: {error}")
            return
        self._stream_id = self._stream_id or chunk.id
        if chunk.id != self._stream_id:
            self._record_fault("piece of another answer")
        if chunk.seq != self.chunks:
            self._record_fault(f"piece {chunk.seq} where {self.chunks} was due")
        if chunk.choices[0].delta.content != chunk_text(chunk.id, chunk.seq):
            self._record_fault("piece with another answer's text")
        if self.finished:
            self._record_fault("piece after the last piece")
        self.finished = chunk.choices[0].finish_reason is not None
        if chunk.usage is not None:
            self.tokens = chunk.usage.total_tokens
        self.chunks += 1

    def _handle_error(self, data: bytes) -> None:
        try:
            self.error = msgspec.json.decode(data)["error"]
        except (msgspec.DecodeError, KeyError, TypeError):
            self._record_fault("error event without the typed shape")

    def _record_fault(self, fault: str) -> None:
        self.fault = self.fault or fault
