"""Evidence of one attempt for a rollout's judge: how its response ended, and its latencies."""

from __future__ import annotations

import asyncio

from springmux.node.gateway.forwarded_request import ForwardedRequest
from springmux.rollout.outcome import Ending, FirstTokenWatch, PromptOutcome
from springmux.vocabulary.engines import EngineRecord

BYTES_PER_TOKEN = 4
"""Converts tokens, which clients state, to bytes: the judge compares prompts of similar length in bytes."""


class AttemptEvidence:
    """Records when the events of one attempt arrive. Does almost nothing if the service has no rollout.

    A prompt at the candidate version is watched, so that a first token that is far overdue counts before it
    arrives: the responses of a slow version may arrive only after the end of the rollout.
    """

    __slots__ = (
        "_events",
        "_expected_hit",
        "_first_at",
        "_in_rollout",
        "_last_at",
        "_record",
        "_request",
        "_sent_at",
        "_timer",
        "_watch",
    )

    def __init__(
        self, request: ForwardedRequest, record: EngineRecord, uncached_tokens: float, sent_at: float
    ) -> None:
        """Start recording, and watch the first token if the engine runs a rollout's candidate.

        :param uncached_tokens: prompt tokens that the engine probably has to prefill.
        :param sent_at: in seconds of the event loop's clock.
        """
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
        self._in_rollout = rollout is not None
        if rollout is None:
            return
        if request.prompt.prompt_tokens > 0:
            self._expected_hit = max(0.0, 1.0 - uncached_tokens / request.prompt.prompt_tokens)
        if record.version == rollout.record.candidate:
            self._start_watch()

    def record_event(self, now: float) -> bool:
        """Record the arrival of response bytes at ``now``. Return whether they are the first."""
        self._events += 1
        self._last_at = now
        if self._first_at is not None:
            return False
        self._first_at = now
        self._stop_watch()
        return True

    def timed_out(self, now: float) -> None:
        """Record a timeout as an event: the missing event would have been at least this late."""
        self.record_event(now)

    def report(self, ending: Ending | None, now: float) -> None:
        """Report the outcome to the version filter.

        :param ending: ``None`` if the attempt is no evidence for or against its version.
        """
        self._stop_watch()
        if not self._in_rollout or ending is None:
            return
        first_token_s = token_gap_s = None
        if self._first_at is not None:
            first_token_s = self._first_at - self._sent_at
            gaps = self._events - 1
            if gaps > 0:
                token_gap_s = (self._last_at - self._first_at) / gaps
        outcome = PromptOutcome(
            service=self._record.service,
            version=self._record.version,
            engine=self._record.engine,
            route=self._request.route.name,
            ending=ending,
            prompt_bytes=self._prompt_bytes(),
            expected_hit=self._expected_hit,
            first_token_s=first_token_s,
            token_gap_s=token_gap_s,
            tokens=self._events,
        )
        self._request.services.core.chooser.observe(outcome, now, self._watch)

    def _start_watch(self) -> None:
        self._watch = self._request.services.core.chooser.watch(
            self._record.service,
            self._request.route.name,
            self._prompt_bytes(),
            self._expected_hit,
            self._sent_at,
        )
        if self._watch is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self._watch.overdue_after_s, self._report_overdue)

    def _report_overdue(self) -> None:
        if self._watch is not None:
            now = asyncio.get_running_loop().time()
            self._request.services.core.chooser.overdue(self._watch, now)

    def _stop_watch(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _prompt_bytes(self) -> int:
        return self._request.prompt.prompt_tokens * BYTES_PER_TOKEN
