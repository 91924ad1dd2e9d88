"""Validation of an engine's complete response (not a stream) before any byte of it is forwarded."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated

import msgspec

MAX_RESPONSE_BYTES = 8 * 1024 * 1024
"""Limit of a response buffered in memory."""


TokenCount = Annotated[int, msgspec.Meta(ge=0, le=1 << 31)]
"""A token count reported by an engine; bounded, since it is charged to the tenant's quota."""
FORWARDED_HEADERS = ("x-engine-version", "content-type", "retry-after")
"""Engine headers that are copied to responses, stored responses and error messages."""


class Usage(msgspec.Struct):
    """Token counts, as reported by the engine."""

    prompt_tokens: TokenCount = 0
    completion_tokens: TokenCount = 0


class _Completion(msgspec.Struct):
    id: str
    choices: list[msgspec.Raw]
    usage: Usage | None = None


_decode_completion = msgspec.json.Decoder(_Completion).decode
_decode_json = msgspec.json.Decoder(msgspec.Raw).decode


def head_fault(headers: Mapping[str, str], request_id: str, engine: str) -> str:
    """Return what is invalid about a response's headers, or an empty string.

    The echoed request id prevents a late response from reaching another client; the engine's name excludes
    a process that took over an engine's address.
    """
    if headers.get("x-request-id") != request_id:
        return "the answer does not echo the request id"
    if headers.get("x-engine-id") != engine:
        return "the answer names another engine"
    if not headers.get("x-engine-version"):
        return "the answer names no version"
    for name in FORWARDED_HEADERS:
        value = headers.get(name, "")
        if not (value.isascii() and value.isprintable()):
            return f"the answer's header {name} is not plain text"
    return ""


class ResponseChecker:
    """Buffers one response. ``fault``: what is invalid, or an empty string; ``body``: set by :meth:`end`."""

    __slots__ = ("_chunks", "_completion_id", "_length", "_size", "body", "fault", "prompt_tokens", "tokens")

    def __init__(self, headers: Mapping[str, str], completion_id: str) -> None:
        """Check the headers; ``completion_id`` is the required id of a chat completion, empty for others."""
        self._completion_id = completion_id
        self._chunks: list[bytes] = []
        self._size = 0
        self._length = -1
        self.body = b""
        self.fault = ""
        self.tokens = 0
        self.prompt_tokens = 0
        length = headers.get("content-length", "")
        if not (length.isascii() and length.isdigit()):
            self.fault = "the answer has no length"
            return
        self._length = int(length)
        if self._length > MAX_RESPONSE_BYTES:
            self.fault = "the answer is too large"

    def feed(self, data: bytes) -> None:
        """Buffer a chunk of the body."""
        self._size += len(data)
        if self._size > self._length:
            self.fault = self.fault or "the answer is longer than announced"
            return
        self._chunks.append(data)

    def end(self) -> None:
        """Handle the proper end of the response; afterwards ``fault`` or ``body`` is set."""
        if self.fault:
            return
        if self._size != self._length:
            self.fault = "the answer is shorter than announced"
            return
        self.body = b"".join(self._chunks)
        try:
            text = str(self.body, "utf-8")
            if self._completion_id:
                self._check_completion(text)
            else:
                _decode_json(text)
        except (msgspec.DecodeError, UnicodeDecodeError):
            self.fault = "the answer is not the JSON that was asked for"

    def _check_completion(self, text: str) -> None:
        completion = _decode_completion(text)
        if completion.id != self._completion_id:
            self.fault = "the answer belongs to another request"
        if completion.usage is not None:
            self.prompt_tokens = completion.usage.prompt_tokens
            self.tokens = completion.usage.completion_tokens
