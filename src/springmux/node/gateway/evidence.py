"""What one attempt tells the rollout's judge: how its answer ended, and how quickly it came."""

from __future__ import annotations

from typing import TYPE_CHECKING

from springmux.rollout.outcome import Ending, PromptOutcome
from springmux.vocabulary.engines import EngineRecord

if TYPE_CHECKING:
    from springmux.node.gateway.forwarding import ForwardedRequest

BYTES_PER_TOKEN = 4
"""The judge compares prompts of like length in bytes; callers of the gateway state tokens."""


class AttemptEvidence:
    """Times of one attempt's events."""

    __slots__ = ("_events", "_first_at", "_last_at", "_record", "_request", "_sent_at")

    def __init__(self, request: ForwardedRequest, record: EngineRecord, sent_at: float) -> None:
        self._request = request
        self._record = record
        self._sent_at = sent_at
        self._first_at: float | None = None
        self._last_at = sent_at
        self._events = 0

    def event(self, now: float) -> bool:
        """Note a piece of the answer; ``True`` for the first."""
        self._events += 1
        self._last_at = now
        if self._first_at is not None:
            return False
        self._first_at = now
        return True

    def gave_up(self, now: float) -> None:
        """Note that no piece came in time: it would have been at least this late."""
        self.event(now)

    def report(self, ending: Ending, now: float) -> None:
        """Give the outcome to the version filter, if the service has a rollout."""
        core = self._request.services.core
        service = self._record.service
        if service not in core.rollouts:
            return
        first_s = self._first_at - self._sent_at if self._first_at is not None else None
        gaps = self._events - 1
        gap_s = (self._last_at - self._first_at) / gaps if self._first_at is not None and gaps > 0 else None
        facts = self._request.facts
        outcome = PromptOutcome(
            service=service,
            version=self._record.version,
            engine=self._record.engine,
            route=self._request.route.name,
            ending=ending,
            prompt_bytes=facts.prompt_tokens * BYTES_PER_TOKEN,
            expected_hit=0.0,
            first_token_s=first_s,
            token_gap_s=gap_s,
            tokens=self._events,
        )
        core.chooser.observe(outcome, now)
