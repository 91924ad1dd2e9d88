"""A client's check of a stream: one response of one engine, without gaps, that ends after its last chunk."""

from __future__ import annotations

import msgspec


class _Delta(msgspec.Struct):
    content: str = ""


class _Choice(msgspec.Struct):
    delta: _Delta
    finish_reason: str | None = None


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0


class _Chunk(msgspec.Struct):
    id: str
    seq: int
    choices: list[_Choice]
    usage: _Usage | None = None


_decode = msgspec.json.Decoder(_Chunk).decode


class StreamReader:
    """Reads the bytes of one stream. ``fault``: the first violated guarantee, empty for none."""

    __slots__ = ("_error_next", "_rest", "_source", "chunks", "done", "error", "fault", "last", "tokens")

    def __init__(self) -> None:
        self.chunks = 0
        self.tokens = 0
        self.done = False
        self.last = False
        self.fault = ""
        self.error = b""
        self._rest = b""
        self._source = ""
        self._error_next = False

    def feed(self, data: bytes) -> None:
        """Process the next bytes of the stream, which may be split anywhere."""
        *lines, self._rest = (self._rest + data).split(b"\n")
        for line in lines:
            if line == b"event: error":
                self._error_next = True
            elif line.startswith(b"data: "):
                self._process_payload(line[6:])

    def _process_payload(self, data: bytes) -> None:
        if self._error_next:
            self.error = data
            self._error_next = False
        elif data == b"[DONE]":
            self.done = True
            if not self.last:
                self._report_fault("ended as complete before its last piece")
        else:
            self._process_chunk(data)

    def _process_chunk(self, data: bytes) -> None:
        if self.done:
            self._report_fault("a piece after the end")
        try:
            chunk = _decode(data)
        except msgspec.DecodeError:
            self._report_fault("a piece that is not a chunk")
            return
        request, engine, seq = chunk.choices[0].delta.content.rsplit(".", 2)
        source = f"{request}.{engine}"
        self._source = self._source or source
        if source != self._source or request != chunk.id:
            self._report_fault(f"a piece of {source} in the stream of {self._source}")
        if chunk.seq != self.chunks or seq != str(self.chunks):
            self._report_fault(f"piece {chunk.seq} where piece {self.chunks} was due")
        self.chunks += 1
        self.last = chunk.choices[0].finish_reason is not None
        if chunk.usage is not None:
            self.tokens = chunk.usage.prompt_tokens + chunk.usage.completion_tokens

    def belongs_to(self, request: str) -> bool:
        """Return whether every chunk was generated for ``request``."""
        return not self._source or self._source.rsplit(".", 1)[0] == request

    def _report_fault(self, fault: str) -> None:
        self.fault = self.fault or fault
