"""What one attempt tells the rollout's judge: how its answer ended, and how quickly it came."""

from __future__ import annotations

import asyncio

from springmux.node.gateway.forwarded_request import ForwardedRequest
from springmux.rollout.outcome import Ending, FirstTokenWatch, PromptOutcome
from springmux.vocabulary.engines import EngineRecord

BYTES_PER_TOKEN = 4
"""The judge compares prompts of like length in bytes; callers of the gateway state tokens."""


class AttemptEvidence:
    """Times of one attempt's events. Costs nothing where the service has no rollout.

    A candidate's prompt is watched: a first token that is far overdue counts before it comes, since a slow
    version's answers may come only after the rollout's term.
    """

    __slots__ = (
        "_events",
        "_expected_hit",
        "_first_at",
        "_judged",
        "_last_at",
        "_record",
        "_request",
        "_sent_at",
        "_timer",
        "_watch",
    )

    def __init__(
        self, request: ForwardedRequest, record: EngineRecord, unread_tokens: float, sent_at: float
    ) -> None:
        """:param unread_tokens: prompt tokens that the engine probably has to read."""
        self._request = request
        self._record = record
        self._sent_at = sent_at
        self._first_at: float | None = None
        self._last_at = sent_at
        self._events = 0
        self._watch: FirstTokenWatch | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._expected_hit = 0.0
        rollout = request.services.core.rollouts.get(record.service)
        self._judged = rollout is not None
        if rollout is None:
            return
        if request.prompt.prompt_tokens > 0:
            self._expected_hit = max(0.0, 1.0 - unread_tokens / request.prompt.prompt_tokens)
        if record.version == rollout.record.candidate:
            self._begin_watch()

    def event(self, now: float) -> bool:
        """Note a piece of the answer; ``True`` for the first."""
        self._events += 1
        self._last_at = now
        if self._first_at is not None:
            return False
        self._first_at = now
        self._stop_watch()
        return True

    def gave_up(self, now: float) -> None:
        """Note that no piece came in time: it would have been at least this late."""
        self.event(now)

    def report(self, ending: Ending | None, now: float) -> None:
        """Give the outcome to the version filter. ``None``: the attempt says nothing of its version."""
        self._stop_watch()
        if not self._judged or ending is None:
            return
        first_s = self._first_at - self._sent_at if self._first_at is not None else None
        gaps = self._events - 1
        gap_s = (self._last_at - self._first_at) / gaps if self._first_at is not None and gaps > 0 else None
        outcome = PromptOutcome(
            service=self._record.service,
            version=self._record.version,
            engine=self._record.engine,
            route=self._request.route.name,
            ending=ending,
            prompt_bytes=self._prompt_bytes(),
            expected_hit=self._expected_hit,
            first_token_s=first_s,
            token_gap_s=gap_s,
            tokens=self._events,
        )
        self._request.services.core.chooser.observe(outcome, now, self._watch)

    def _begin_watch(self) -> None:
        self._watch = self._request.services.core.chooser.watch(
            self._record.service,
            self._request.route.name,
            self._prompt_bytes(),
            self._expected_hit,
            self._sent_at,
        )
        if self._watch is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self._watch.overdue_after_s, self._overdue)

    def _overdue(self) -> None:
        if self._watch is not None:
            now = asyncio.get_running_loop().time()
            self._request.services.core.chooser.overdue(self._watch, now)

    def _stop_watch(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _prompt_bytes(self) -> int:
        return self._request.prompt.prompt_tokens * BYTES_PER_TOKEN
