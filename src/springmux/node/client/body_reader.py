"""Reads the body of a request within its limit and the memory that the process has left."""

from __future__ import annotations

from aiohttp import web

from springmux.node.client.limited_protocol import LimitedProtocol
from springmux.vocabulary.errors import ErrorCode


class BodyRejectedError(Exception):
    """The body is too large, or there is no room for it. ``code`` and ``status`` belong in the response."""

    def __init__(self, code: ErrorCode, status: int, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.status = status
        self.message = message


async def read_body(request: web.BaseRequest, protocol: LimitedProtocol, limit_bytes: int) -> bytes:
    """Return the complete body.

    :raises BodyRejectedError: it is over the limit, or there is no room for it.
    """
    announced_bytes = request.content_length
    if (announced_bytes or 0) > limit_bytes:
        raise _too_large(limit_bytes)
    if not protocol.begin_body(announced_bytes or 0):
        raise _overloaded()
    chunks: list[bytes] = []
    size_bytes = 0
    while chunk := await request.content.readany():
        size_bytes += len(chunk)
        if size_bytes > limit_bytes:
            raise _too_large(limit_bytes)
        if not protocol.receive_body(len(chunk), announced=announced_bytes is not None):
            raise _overloaded()
        chunks.append(chunk)
    protocol.end_body()
    return chunks[0] if len(chunks) == 1 else b"".join(chunks)


def _too_large(limit_bytes: int) -> BodyRejectedError:
    return BodyRejectedError(ErrorCode.BODY_TOO_LARGE, 413, f"the body is over {limit_bytes} bytes")


def _overloaded() -> BodyRejectedError:
    return BodyRejectedError(ErrorCode.OVERLOADED, 503, "this node has no room for the body now")
