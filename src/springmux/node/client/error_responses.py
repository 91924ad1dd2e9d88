"""Encoding of typed errors as HTTP responses; the only module that turns an :class:`ApiError` into HTTP."""

from __future__ import annotations

import math

import msgspec

from springmux.vocabulary.errors import ApiError, ErrorCode, Fate

JSON_TYPE = "application/json"


class ErrorBody(msgspec.Struct, frozen=True):
    """Body of an error response, ``{"error": {...}}`` in docs/API.md."""

    error: ApiError


_encoder = msgspec.json.Encoder()


def error_body(error: ApiError) -> bytes:
    """Return the JSON body of a typed error."""
    return _encoder.encode(ErrorBody(error))


def error_headers(error: ApiError) -> list[tuple[str, str]]:
    """Return the headers of a typed error's response; ``Retry-After`` is rounded up to whole seconds."""
    headers = [("Content-Type", JSON_TYPE)]
    if error.request_id:
        headers.append(("X-Request-Id", error.request_id))
    if error.node:
        headers.append(("X-Node", error.node))
    if error.engine:
        headers.append(("X-Engine", error.engine))
    if error.version:
        headers.append(("X-Engine-Version", error.version))
    if error.retry_after_s is not None:
        headers.append(("Retry-After", str(max(1, math.ceil(error.retry_after_s)))))
    return headers


def refused_error(code: ErrorCode, message: str, status: int, node: str, request_id: str = "") -> ApiError:
    """Return the error for a request that was refused before it ran."""
    return ApiError(
        code=code, message=message, status=status, fate=Fate.REFUSED, request_id=request_id, node=node
    )


NOT_FOUND_HINT = "no such path; see docs/API.md"
