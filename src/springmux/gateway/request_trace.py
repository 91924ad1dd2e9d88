"""What became of one forwarded request, for the log: who asked for what, and when it was answered."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class RequestOutcome(enum.StrEnum):
    """How a request ended for its caller."""

    SERVED = "served"
    """The caller has an engine's whole answer."""
    REFUSED = "refused"
    """It has not run."""
    FAILED = "failed"
    """It may have run, and the caller has no whole answer."""
    LEFT = "left"
    """The caller went before the answer was whole."""


@dataclass(eq=False, slots=True)
class RequestTrace:
    """Notes of one request; times in seconds of the loop's clock, targets of its route in ms."""

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
    """Of the last engine that answered; 0: none did."""
    outcome: RequestOutcome = RequestOutcome.LEFT
    reason: str = ""
    first_at: float | None = None
    last_at: float = 0.0
    widest_gap_s: float = 0.0

    def attempt(self, engine: str) -> None:
        """Note that the request is sent to an engine."""
        self.attempts += 1
        self.engine = engine

    def end(self, outcome: RequestOutcome, reason: str = "") -> None:
        """Note how the request ended for its caller."""
        self.outcome, self.reason = outcome, reason

    def answered(self) -> None:
        """Note that the caller has the last engine's answer."""
        failed = self.status >= 400
        self.end(
            RequestOutcome.FAILED if failed else RequestOutcome.SERVED,
            f"engine_{self.status}" if failed else "",
        )

    def event(self, now: float) -> None:
        """Note a piece of the answer."""
        if self.first_at is None:
            self.first_at = now
        else:
            self.widest_gap_s = max(self.widest_gap_s, now - self.last_at)
        self.last_at = now
