"""Reasons for refused or truncated responses, and their counts."""

from __future__ import annotations

import enum

import msgspec


class RefusalReason(enum.StrEnum):
    """Why a client got no complete response from an engine. The values are labels in logs and metrics."""

    NO_CONFIGURATION = "no_configuration"
    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_KEY = "unknown_key"
    KEYS_NOT_CURRENT = "keys_not_current"
    """The settings require current keys, and this node's view of them may be outdated."""
    BODY_TOO_LARGE = "body_too_large"
    QUOTA_EXCEEDED = "quota_exceeded"
    NO_ENGINE = "no_engine"
    ENGINES_FULL = "engines_full"
    """Every attempted engine declined the request or accepted no connection."""
    NOT_SENT_IN_TIME = "not_sent_in_time"
    """The deadline passed before an engine accepted the request."""
    NO_ANSWER_IN_TIME = "no_answer_in_time"
    """The deadline passed, and the request may have been executed."""
    ENGINE_BROKE_OFF = "engine_broke_off"
    """No complete response arrived, the request may have been executed, and nothing was sent to the
    client."""
    ANSWER_CUT = "answer_cut"
    """The client's connection was reset within a response that could not be completed."""
    MALFORMED_REQUEST = "malformed_request"
    SLOW_REQUEST = "slow_request"
    HEADERS_TOO_LARGE = "headers_too_large"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    OVERLOADED = "overloaded"
    """The process holds as many bytes of clients as it may."""
    INTERNAL_FAULT = "internal_fault"
    """An internal error of the gateway."""
    STOPPED = "stopped"
    """The node stopped before the response was complete."""


CLIENT_ERRORS = frozenset(
    {
        RefusalReason.UNKNOWN_ROUTE,
        RefusalReason.UNKNOWN_KEY,
        RefusalReason.BODY_TOO_LARGE,
        RefusalReason.QUOTA_EXCEEDED,
        RefusalReason.MALFORMED_REQUEST,
        RefusalReason.SLOW_REQUEST,
        RefusalReason.HEADERS_TOO_LARGE,
    }
)
"""Reasons caused by the client, which say nothing about the fleet's health."""


class GatewayCounters(msgspec.Struct):
    """Counts since the start, for metrics.

    ``requests``: requests whose head was read. ``dispatches``: attempts at engines. ``retries``: attempts
    after one that was sent. ``resumed``: attempts that continue a stream whose beginning was already sent to
    the client. ``lost_engine_attempts``: attempts at engines whose heartbeats stopped.
    """

    requests: int = 0
    dispatches: int = 0
    retries: int = 0
    resumed: int = 0
    lost_engine_attempts: int = 0
    refusals: dict[RefusalReason, int] = {}


class RefusalSummary(msgspec.Struct, frozen=True):
    """Refusals for one reason since the last summary, with the request and route of the first one."""

    reason: RefusalReason
    count: int
    request_id: str
    route: str


class RefusalTally:
    """Counts refusals by reason until they are collected."""

    def __init__(self) -> None:
        self._summaries: dict[RefusalReason, RefusalSummary] = {}

    def note(self, reason: RefusalReason, request_id: str, route: str) -> None:
        """Count one refusal; ``route`` is empty if none matched."""
        known = self._summaries.get(reason)
        if known is None:
            self._summaries[reason] = RefusalSummary(reason, 1, request_id, route)
        else:
            self._summaries[reason] = msgspec.structs.replace(known, count=known.count + 1)

    def take(self) -> list[RefusalSummary]:
        """Return the counts and reset them."""
        summaries = list(self._summaries.values())
        self._summaries.clear()
        return summaries
