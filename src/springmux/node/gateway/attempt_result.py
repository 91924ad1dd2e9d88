"""Result of one attempt at an engine, and what a failed exchange says of the engine and of its version."""

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
"""The outcome for the engine's health of each way in which an exchange fails."""
ENDINGS = {
    FailureKind.MALFORMED: Ending.BROKEN,
    FailureKind.TRUNCATED: Ending.BROKEN,
}
"""The ending for the rollout's judge; any other failure after sending means that the engine was lost."""
UNSENT_FAILURES = frozenset({FailureKind.CONNECT, FailureKind.NOT_SENT})
"""Failures before any byte of the request was sent."""
REUSABLE_OUTCOMES = frozenset(
    {
        ExchangeOutcome.OK,
        ExchangeOutcome.DECLINED_FULL,
        ExchangeOutcome.MISDIRECTED,
        ExchangeOutcome.ERROR_STATUS,
    }
)
"""Outcomes after which the connection to the engine may serve another exchange."""


class AttemptResult(msgspec.Struct):
    """How an attempt ended. ``end`` is ``None`` once the client has a response.

    ``forward_error``: sends the engine's own error response to the client, if no other engine is tried.
    """

    end: AttemptEnd | None
    forward_error: Callable[[], None] | None = None
