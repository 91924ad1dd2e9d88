"""Validation of an engine's stream, event by event; valid events are forwarded byte for byte.

Server-sent events (WHATWG HTML, section 9.2) in the chat-completions format: every chunk carries the
request's id and counts ``seq`` from 0 without a gap, the last chunk has a ``finish_reason``, and
``data: [DONE]`` follows it. Bytes may be split anywhere. Complete events are forwarded with their original
bytes; nothing is encoded again.
"""

from __future__ import annotations

import re

import msgspec

from springmux.router.response_check import Usage

MAX_EVENT_BYTES = 256 * 1024
"""Maximum size of one event; a chunk has a few tokens at most."""

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_DATA = b"data:"
_CHUNK_START = b"data: {"
_PAYLOAD_OFFSET = len(b"data: ")
_DONE = b"[DONE]"
_ERROR_EVENT = b"event: error"


class _Choice(msgspec.Struct):
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    id: str
    seq: int
    choices: list[_Choice]
    usage: Usage | None = None


_decode_chunk = msgspec.json.Decoder(_Chunk).decode


class StreamChecker:
    """State of one stream.

    ``chunk_count``: number of valid chunks. ``finished``: ``[DONE]`` arrived in order. ``fault``: what is
    invalid, or an empty string. ``engine_error``: the engine ended its stream with an error event.
    ``trailing``: bytes arrived after the end. ``prompt_tokens`` and ``tokens``: token counts of prompt and
    response, as reported by the engine.
    """

    __slots__ = (
        "_buffer",
        "_last_chunk_seen",
        "_request_id",
        "chunk_count",
        "engine_error",
        "fault",
        "finished",
        "prompt_tokens",
        "tokens",
        "trailing",
    )

    def __init__(self, request_id: str) -> None:
        self._request_id = request_id
        self._buffer = b""
        self._last_chunk_seen = False
        self.chunk_count = 0
        self.finished = False
        self.fault = ""
        self.engine_error = False
        self.trailing = False
        self.tokens = 0
        self.prompt_tokens = 0

    def feed(self, data: bytes) -> bytes:
        """Feed bytes; return the complete, valid events (may be empty) unchanged.

        If an event is invalid, the valid events before it are returned and :attr:`fault` is set.
        """
        if self.finished:
            self.trailing = True
            return b""
        if self.fault:
            return b""
        if self.feed_single_chunk(data):
            return data
        if self.fault:
            return b""
        buffer = self._buffer + data if self._buffer else data
        events, self._buffer = _split_events(buffer)
        forward = self._check_all(events)
        if len(self._buffer) > MAX_EVENT_BYTES and not self.fault:
            self.fault = "an event of the stream is too large"
        return forward

    def feed_single_chunk(self, data: bytes) -> bool:
        """Feed bytes if they are exactly one chunk, the usual case; return whether they were valid.

        ``False`` without a fault means that nothing was consumed and :meth:`feed` must handle them.
        """
        if self._buffer or self.finished or self.fault or not _is_one_chunk(data):
            return False
        return self._check_payload(data[_PAYLOAD_OFFSET:])

    def _check_all(self, events: list[bytes]) -> bytes:
        forward: list[bytes] = []
        for event in events:
            if self.finished:
                self.trailing = True
                break
            if self._check_event(event):
                forward.append(event)
            if self.fault:
                break
        if self.finished and self._buffer:
            self.trailing = True
            self._buffer = b""
        return b"".join(forward)

    def _check_event(self, event: bytes) -> bool:
        """Check one complete event; return whether it is forwarded."""
        if not event.startswith(_DATA):
            return self._check_other(event)
        payload = event[len(_DATA) :].strip()
        if payload == _DONE:
            return self._check_done()
        return self._check_payload(payload)

    def _check_payload(self, payload: bytes) -> bool:
        if self._last_chunk_seen:
            self.fault = "a piece came after the last one"
            return False
        try:
            chunk = _decode_chunk(str(payload, "utf-8"))
        except (msgspec.DecodeError, UnicodeDecodeError):
            self.fault = "a piece of the stream is malformed"
            return False
        return self._check_chunk(chunk)

    def _check_chunk(self, chunk: _Chunk) -> bool:
        if chunk.id != self._request_id:
            self.fault = "a piece belongs to another request"
            return False
        if chunk.seq != self.chunk_count:
            self.fault = f"piece {chunk.seq} came where piece {self.chunk_count} was due"
            return False
        self.chunk_count += 1
        for choice in chunk.choices:
            if choice.finish_reason is not None:
                self._last_chunk_seen = True
        usage = chunk.usage
        if usage is not None:
            self.prompt_tokens = usage.prompt_tokens
            self.tokens = usage.completion_tokens
        return True

    def _check_done(self) -> bool:
        if not self._last_chunk_seen:
            self.fault = "the stream ended before its last piece"
            return False
        self.finished = True
        return True

    def _check_other(self, event: bytes) -> bool:
        """Drop a comment; reject anything else."""
        lines = event.split(b"\n")
        if all(line.startswith(b":") or not line.strip() for line in lines):
            return False
        self.engine_error = event.startswith(_ERROR_EVENT)
        self.fault = "the engine ended its stream with an error" if self.engine_error else "not an event"
        return False


def _is_one_chunk(data: bytes) -> bool:
    return data.startswith(_CHUNK_START) and data.find(b"\n\n") == len(data) - 2 and b"\r" not in data


def _split_events(buffer: bytes) -> tuple[list[bytes], bytes]:
    """Return the complete events in ``buffer``, each with its blank line, and the remaining bytes."""
    if b"\r" not in buffer:
        parts = buffer.split(b"\n\n")
        rest = parts.pop()
        return [part + b"\n\n" for part in parts], rest
    events: list[bytes] = []
    start = 0
    for match in _EVENT_END.finditer(buffer):
        events.append(buffer[start : match.end()])
        start = match.end()
    return events, buffer[start:]
