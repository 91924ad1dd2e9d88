"""Errors returned to callers and operators, and the base exceptions of the project."""

from __future__ import annotations

import enum

import msgspec


class Fate(enum.StrEnum):
    """Outcome of a request that received no complete response."""

    REFUSED = "refused"
    """The request was not executed and will not be."""
    FAILED = "failed"
    """An engine accepted the request and it failed; a request that is safe to repeat may be sent again."""
    UNKNOWN = "unknown"
    """The request may have been executed; resend it only with the same ``Idempotency-Key``."""


class ErrorCode(enum.StrEnum):
    """Stable machine-readable codes of errors in responses."""

    MALFORMED_JSON = "malformed_json"
    INVALID_REQUEST = "invalid_request"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    MISSING_KEY = "missing_key"
    UNKNOWN_KEY = "unknown_key"
    REVOKED_KEY = "revoked_key"
    NOT_FOUND = "not_found"
    UNKNOWN_ROUTE = "unknown_route"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    QUOTA_EXCEEDED = "quota_exceeded"
    OVERLOADED = "overloaded"
    NO_ENGINE = "no_engine"
    NOT_READY = "not_ready"
    CUT_OFF = "cut_off"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    DUPLICATE_REQUEST = "duplicate_request"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    ENGINE_UNREACHABLE = "engine_unreachable"
    ENGINE_BROKE_OFF = "engine_broke_off"
    ENGINE_PROTOCOL = "engine_protocol"
    ENGINE_ERROR = "engine_error"
    STOPPING = "stopping"
    VERSION_CONFLICT = "version_conflict"
    ROLLOUT_CONFLICT = "rollout_conflict"
    INVALID_CONFIGURATION = "invalid_configuration"
    INVALID_ORDER = "invalid_order"
    NO_QUORUM = "no_quorum"
    STORAGE_FULL = "storage_full"
    INTERNAL = "internal"


class FieldError(msgspec.Struct, frozen=True):
    """One invalid field of operator input: its JSON path and a description of the error."""

    path: str
    message: str


class ApiError(msgspec.Struct, frozen=True):
    """An error response: ``{"error": {...}}`` in the body (docs/API.md). ``status`` is the HTTP status."""

    code: ErrorCode
    message: str
    status: int
    fate: Fate = Fate.REFUSED
    request_id: str = ""
    retry_after_s: float | None = None
    node: str = ""
    engine: str = ""
    version: str = ""
    errors: tuple[FieldError, ...] = ()


class SpringmuxError(Exception):
    """Base class of the exceptions that springmux defines."""


class ApiResponseError(SpringmuxError):
    """Carries an :class:`ApiError` to the server code that sends it as a response."""

    def __init__(self, error: ApiError) -> None:
        super().__init__(f"{error.code}: {error.message}")
        self.error = error


class SettingsError(SpringmuxError):
    """The settings are invalid; ``errors`` lists every invalid field."""

    def __init__(self, errors: tuple[FieldError, ...]) -> None:
        super().__init__("; ".join(f"{error.path}: {error.message}" for error in errors))
        self.errors = errors
