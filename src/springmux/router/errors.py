"""Typed errors of the router, and the status of each error code (docs/API.md)."""

from __future__ import annotations

import msgspec

from springmux.coordination.identifiers import NodeId
from springmux.vocabulary.errors import ApiError, ErrorCode, Fate, FieldError
from springmux.vocabulary.names import RequestId

STATUS_OF_CODE = {
    ErrorCode.MALFORMED_JSON: 400,
    ErrorCode.INVALID_REQUEST: 400,
    ErrorCode.MISSING_KEY: 401,
    ErrorCode.UNKNOWN_KEY: 401,
    ErrorCode.REVOKED_KEY: 401,
    ErrorCode.UNKNOWN_ROUTE: 404,
    ErrorCode.NOT_FOUND: 404,
    ErrorCode.METHOD_NOT_ALLOWED: 405,
    ErrorCode.DUPLICATE_REQUEST: 409,
    ErrorCode.BODY_TOO_LARGE: 413,
    ErrorCode.QUOTA_EXCEEDED: 429,
    ErrorCode.ENGINE_UNREACHABLE: 502,
    ErrorCode.ENGINE_BROKE_OFF: 502,
    ErrorCode.ENGINE_PROTOCOL: 502,
    ErrorCode.ENGINE_ERROR: 502,
    ErrorCode.OVERLOADED: 503,
    ErrorCode.NO_ENGINE: 503,
    ErrorCode.NOT_READY: 503,
    ErrorCode.CUT_OFF: 503,
    ErrorCode.CLAIM_UNAVAILABLE: 503,
    ErrorCode.STOPPING: 503,
    ErrorCode.DEADLINE_EXCEEDED: 504,
}

RETRY_AFTER_S = 1.0
"""Default delay before a client retries: lost engines and nodes are detected within about that time."""


class _ErrorEnvelope(msgspec.Struct, frozen=True):
    error: ApiError


_encoder = msgspec.json.Encoder()


class RefusalError(Exception):
    """The request is refused and never executed. The flow catches it and adds the request id and the node."""

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        *,
        status: int | None = None,
        retry_after_s: float | None = None,
        errors: tuple[FieldError, ...] = (),
    ) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.status = STATUS_OF_CODE[code] if status is None else status
        self.retry_after_s = retry_after_s
        self.errors = errors

    def error(self, node: NodeId, request_id: RequestId) -> ApiError:
        """Return the response for this refusal."""
        return ApiError(
            code=self.code,
            message=self.message,
            status=self.status,
            fate=Fate.REFUSED,
            request_id=request_id,
            retry_after_s=self.retry_after_s,
            node=node,
            errors=self.errors,
        )


def error_event(error: ApiError) -> bytes:
    """Return the server-sent event that ends an incomplete stream."""
    return b"event: error\ndata: " + _encoder.encode(_ErrorEnvelope(error)) + b"\n\n"
