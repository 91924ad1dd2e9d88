"""Errors that callers and operators see, and the exception tree of the project."""

from __future__ import annotations

import enum

import msgspec


class Fate(enum.StrEnum):
    """What became of a request that has no whole answer."""

    REFUSED = "refused"
    """It never ran and never will."""
    FAILED = "failed"
    """An engine took it and it did not succeed; a repeatable request may be sent again."""
    UNKNOWN = "unknown"
    """It may have run; resend only under the same ``Idempotency-Key``."""


class ErrorCode(enum.StrEnum):
    """Stable machine-readable codes of errors in answers."""

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
    """One wrong field of operator input: its JSON path and what is wrong."""

    path: str
    message: str


class ApiError(msgspec.Struct, frozen=True):
    """A typed error answer: ``{"error": {...}}`` on the wire (docs/API.md)."""

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
    """Root of every exception that springmux raises on purpose."""


class ApiResponseError(SpringmuxError):
    """Carries an :class:`ApiError` up to the boundary that answers it."""

    def __init__(self, error: ApiError) -> None:
        super().__init__(f"{error.code}: {error.message}")
        self.error = error


class SettingsError(SpringmuxError):
    """The settings are wrong; every wrong field is named in ``errors``."""

    def __init__(self, errors: tuple[FieldError, ...]) -> None:
        super().__init__("; ".join(f"{error.path}: {error.message}" for error in errors))
        self.errors = errors
