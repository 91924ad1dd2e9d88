"""Trace of one forwarded request for the request log: route, tenant, attempts, timing, outcome."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class RequestOutcome(enum.StrEnum):
    """How a request ended for its client."""

    SERVED = "served"
    """The client received the complete response of an engine."""
    REFUSED = "refused"
    """The request was not executed."""
    FAILED = "failed"
    """The request may have been executed, and the client received no complete response."""
    LEFT = "left"
    """The client disconnected before the response was complete."""


@dataclass(eq=False, slots=True)
class RequestTrace:
    """Trace of one request. Times are seconds of the event loop's clock, latency targets milliseconds."""

    received_at: float
    request_id: str = ""
    route: str = ""
    tenant: str = ""
    prompt_tokens: int = 0
    target_ms: float = 0.0
    gap_target_ms: float = 0.0
    attempts: int = 0
    engine: str = ""
    status: int = 0
    """HTTP status of the last engine that responded; 0 if none did."""
    outcome: RequestOutcome = RequestOutcome.LEFT
    reason: str = ""
    first_at: float | None = None
    last_at: float = 0.0
    widest_gap_s: float = 0.0

    def record_attempt(self, engine: str) -> None:
        """Record a dispatch to an engine."""
        self.attempts += 1
        self.engine = engine

    def record_end(self, outcome: RequestOutcome, reason: str = "") -> None:
        """Record how the request ended for its client."""
        self.outcome, self.reason = outcome, reason

    def record_response(self) -> None:
        """Record that the client received the response of the last engine."""
        failed = self.status >= 400
        self.record_end(
            RequestOutcome.FAILED if failed else RequestOutcome.SERVED,
            f"engine_{self.status}" if failed else "",
        )

    def record_event(self, now: float) -> None:
        """Record the arrival of response bytes."""
        if self.first_at is None:
            self.first_at = now
        else:
            self.widest_gap_s = max(self.widest_gap_s, now - self.last_at)
        self.last_at = now
