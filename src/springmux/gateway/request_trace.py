"""Trace of one forwarded request for the request log: route, tenant, attempts, timing, outcome."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class RequestOutcome(enum.StrEnum):
    """How a request ended for its client."""

    SERVED = "served"
    """The client has an engine's complete response."""
    REFUSED = "refused"
    """It was not executed."""
    FAILED = "failed"
    """It may have been executed, and the client has no complete response."""
    LEFT = "left"
    """The client disconnected before the response was complete."""


@dataclass(eq=False, slots=True)
class RequestTrace:
    """Trace of one request; times in seconds of the event loop's clock, latency targets in ms."""

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
    """Status of the last engine that responded; 0 if none did."""
    outcome: RequestOutcome = RequestOutcome.LEFT
    reason: str = ""
    first_at: float | None = None
    last_at: float = 0.0
    widest_gap_s: float = 0.0

    def attempt(self, engine: str) -> None:
        """Record a dispatch to an engine."""
        self.attempts += 1
        self.engine = engine

    def end(self, outcome: RequestOutcome, reason: str = "") -> None:
        """Record how the request ended for its client."""
        self.outcome, self.reason = outcome, reason

    def answered(self) -> None:
        """Record that the client has the last engine's response."""
        failed = self.status >= 400
        self.end(
            RequestOutcome.FAILED if failed else RequestOutcome.SERVED,
            f"engine_{self.status}" if failed else "",
        )

    def event(self, now: float) -> None:
        """Record the arrival of response bytes."""
        if self.first_at is None:
            self.first_at = now
        else:
            self.widest_gap_s = max(self.widest_gap_s, now - self.last_at)
        self.last_at = now
