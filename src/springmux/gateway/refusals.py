"""Why the gateway refuses or cuts requests, and the counts of it."""

from __future__ import annotations

import enum

import msgspec


class RefusalReason(enum.StrEnum):
    """Why a caller got no answer of an engine, or not the whole of it. Labels of logs and metrics."""

    NO_CONFIGURATION = "no_configuration"
    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_KEY = "unknown_key"
    KEYS_NOT_CURRENT = "keys_not_current"
    """This node can't tell whether a key was taken away, and the fleet's settings promise that it can."""
    BODY_TOO_LARGE = "body_too_large"
    QUOTA_EXCEEDED = "quota_exceeded"
    NO_ENGINE = "no_engine"
    ENGINES_FULL = "engines_full"
    """Every engine tried declined the request or took no connection."""
    NOT_SENT_IN_TIME = "not_sent_in_time"
    """The time was over before any engine had the request, or all that had it declined."""
    NO_ANSWER_IN_TIME = "no_answer_in_time"
    """The time was over, and the request may have run."""
    ENGINE_BROKE_OFF = "engine_broke_off"
    """No whole answer came, the request may have run, and the caller has got no part of an answer."""
    ANSWER_CUT = "answer_cut"
    """The caller's connection was reset within an answer that could not be finished."""
    MALFORMED_REQUEST = "malformed_request"
    SLOW_REQUEST = "slow_request"
    HEADERS_TOO_LARGE = "headers_too_large"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    INTERNAL_FAULT = "internal_fault"
    """A fault of the gateway's own."""
    STOPPED = "stopped"
    """The node ended before the answer did."""


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
"""Reasons that say nothing of the fleet's health."""


class GatewayCounters(msgspec.Struct):
    """Counts since the start, for metrics. ``requests``: those whose head was read.

    ``dispatches``: attempts at engines. ``retries``: those after one that the engine was sent. ``resumed``:
    how often a further engine was asked to go on with a stream whose beginning the caller has.
    """

    requests: int = 0
    dispatches: int = 0
    retries: int = 0
    resumed: int = 0
    refusals: dict[RefusalReason, int] = {}


class RefusalSummary(msgspec.Struct, frozen=True):
    """Refusals of one reason since the last summary; request and route are the first one's."""

    reason: RefusalReason
    count: int
    request_id: str
    route: str


class RefusalTally:
    """Sums refusals up by reason until they are taken."""

    def __init__(self) -> None:
        self._open: dict[RefusalReason, RefusalSummary] = {}

    def note(self, reason: RefusalReason, request_id: str, route: str) -> None:
        """Count one refusal. ``route`` is empty where none was found."""
        known = self._open.get(reason)
        if known is None:
            self._open[reason] = RefusalSummary(reason, 1, request_id, route)
        else:
            self._open[reason] = msgspec.structs.replace(known, count=known.count + 1)

    def take(self) -> list[RefusalSummary]:
        """Return what was counted, and begin anew."""
        summaries = list(self._open.values())
        self._open.clear()
        return summaries
