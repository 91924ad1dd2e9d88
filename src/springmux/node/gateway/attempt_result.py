"""Result of one attempt at an engine, and how failed exchanges count for the engine and its version."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from springmux.gateway.attempts import AttemptEnd
from springmux.gateway.engine_health import ExchangeOutcome
from springmux.node.http.types import FailureKind
from springmux.rollout.outcome import Ending

OUTCOMES = {
    FailureKind.CONNECT: ExchangeOutcome.CONNECT_FAILED,
    FailureKind.NOT_SENT: ExchangeOutcome.CONNECT_FAILED,
    FailureKind.RESET: ExchangeOutcome.RESET,
    FailureKind.UNRESPONSIVE: ExchangeOutcome.SILENT,
    FailureKind.MALFORMED: ExchangeOutcome.MALFORMED,
    FailureKind.TRUNCATED: ExchangeOutcome.TRUNCATED,
}
"""Outcome that each kind of failure counts as for the engine's health."""
ENDINGS = {
    FailureKind.MALFORMED: Ending.BROKEN,
    FailureKind.TRUNCATED: Ending.BROKEN,
}
"""Ending that a failure after sending counts as for the rollout's judge; ``ENGINE_LOST`` if not listed."""
UNSENT_FAILURES = frozenset({FailureKind.CONNECT, FailureKind.NOT_SENT})
"""Kinds of failures before any byte of the request was sent."""
REUSABLE_OUTCOMES = frozenset(
    {
        ExchangeOutcome.OK,
        ExchangeOutcome.DECLINED_FULL,
        ExchangeOutcome.MISDIRECTED,
        ExchangeOutcome.ERROR_STATUS,
    }
)
"""Outcomes after which the connection to the engine can be reused."""


class AttemptResult(msgspec.Struct):
    """How an attempt ended. ``end`` is ``None`` if the client has a response.

    ``forward_error``: sends the engine's error response to the client; called if no other engine is tried.
    """

    end: AttemptEnd | None
    forward_error: Callable[[], None] | None = None
