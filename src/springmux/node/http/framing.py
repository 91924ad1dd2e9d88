"""Encoding of HTTP/1.1 heads (RFC 9112), and parsing of the headers that frame a message."""

from __future__ import annotations

import http
from collections.abc import Iterable
from traceback import extract_tb

from springmux.node.http.header_block import Header, HeaderBlock, values_of
from springmux.node.http.types import RequestHead

_STATUS_LINES = {
    status.value: b"HTTP/1.1 %d %b\r\n" % (status.value, status.phrase.encode("ascii"))
    for status in http.HTTPStatus
}
_FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding", b"connection"))
_METHODS_WITH_BODY = frozenset((b"POST", b"PUT", b"PATCH"))


def encode_response_head(status: int, headers: Iterable[Header], framing: Iterable[Header]) -> bytes:
    """Return a response's head: ``headers`` unchanged, then the ``framing`` headers of the server."""
    parts = [_STATUS_LINES.get(status) or b"HTTP/1.1 %d \r\n" % status]
    parts.extend(b"%b: %b\r\n" % header for header in headers)
    parts.extend(b"%b: %b\r\n" % header for header in framing)
    parts.append(b"\r\n")
    return b"".join(parts)


def encode_request(head: RequestHead, body: bytes) -> bytes:
    """Return a complete request, with its framing headers replaced by those that fit ``body``."""
    headers = head.headers if isinstance(head.headers, HeaderBlock) else HeaderBlock(head.headers)
    if any(headers.all(name) for name in _FRAMING_HEADERS):
        headers = headers.without(_FRAMING_HEADERS)
    framing = b""
    if body or head.method in _METHODS_WITH_BODY:
        framing = b"\r\ncontent-length: %d" % len(body)
    return b"%b %b HTTP/1.1%b%b\r\n\r\n%b" % (head.method, head.target, headers.lines, framing, body)


def encode_chunk(data: bytes) -> bytes:
    """Return one chunk (RFC 9112, section 7.1). ``data`` must not be empty: that would end the body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


def has_no_body(status: int) -> bool:
    """Return whether a response with this status never has a body (RFC 9112, section 6.3)."""
    return status < 200 or status in (204, 304)


def transfer_codings(headers: Iterable[Header]) -> list[bytes]:
    """Return the transfer codings in order and in lower case; empty without Transfer-Encoding."""
    values = values_of(headers, b"transfer-encoding")
    return [coding.strip().lower() for value in values for coding in value.split(b",")]


def content_length(headers: Iterable[Header]) -> int | None:
    """Return the value of Content-Length, or ``None`` without this header.

    :raises ValueError: the value is not a plain number, or the header is repeated.
    """
    values = values_of(headers, b"content-length")
    if not values:
        return None
    if len(values) > 1 or not values[0].isdigit():
        raise ValueError("Content-Length is repeated or not a plain number")
    return int(values[0])


def describe_exception(error: BaseException) -> str:
    """Return an exception's type and source line, without its text, which may contain a key or a prompt."""
    frames = extract_tb(error.__traceback__)
    if not frames:
        return type(error).__name__
    return f"{type(error).__name__} at {frames[-1].filename}:{frames[-1].lineno}"
