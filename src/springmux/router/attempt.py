"""One attempt at one engine: its timeouts, and what its ending shows about the engine."""

from __future__ import annotations

from springmux.control.view import RouteKind
from springmux.coordination.state_machine import NEVER
from springmux.rollout.outcome import Ending, PromptOutcome
from springmux.router.core import RouterCore
from springmux.router.engine_response import EngineResponse
from springmux.router.parse import ParsedRequest
from springmux.router.selection import AttemptTarget
from springmux.vocabulary.names import VersionName

MIN_BLAMED_WAIT_SHARE = 0.5
"""Share of the first-chunk timeout that an engine must have had to be blamed for a missed deadline; otherwise
earlier attempts or queues used up the time."""


class Attempt:
    """State of one attempt. Times are monotonic seconds; ``first_chunk_at`` is ``None`` until it arrives.

    ``progress_at``: start of the current timeout. ``client_blocked``: the client's socket is full, so the
    engine's bytes are not read. ``timing_disturbed``: a full socket or a paused node process took part of the
    attempt's time, so its latencies are not measured.
    """

    __slots__ = (
        "_buffered_response",
        "_core",
        "_in_flight_before",
        "_prefill_tokens",
        "_prompt_bytes",
        "_response_tokens",
        "_route",
        "began_at",
        "client_blocked",
        "ended",
        "first_chunk_at",
        "is_probe",
        "number",
        "progress_at",
        "response",
        "slot",
        "target",
        "timing_disturbed",
    )

    def __init__(
        self,
        core: RouterCore,
        number: int,
        target: AttemptTarget,
        parsed: ParsedRequest,
        response_tokens: int,
        now: float,
    ) -> None:
        self._core = core
        self._route = parsed.route
        self._buffered_response = parsed.route.kind is RouteKind.PROMPT and not parsed.stream
        self._prompt_bytes = len(parsed.body)
        self._prefill_tokens = int(parsed.prompt_tokens * (1.0 - target.choice.expected_hit))
        self._response_tokens = response_tokens
        self.number = number
        self.target = target
        self.slot = target.choice.slot
        self._in_flight_before = self.slot.in_flight
        self.began_at = now
        self.first_chunk_at: float | None = None
        self.progress_at = now
        self.response: EngineResponse | None = None
        self.client_blocked = False
        self.timing_disturbed = False
        self.ended = False
        self.slot.begin(self._prefill_tokens + response_tokens)
        self.is_probe = core.ejector.record_dispatch(self.slot, now)

    def record_bytes(self, now: float) -> None:
        """Record that bytes of the response arrived."""
        slot = self.slot
        slot.last_response_byte_at = now
        if self.began_at > slot.responded_request_sent_at:
            slot.responded_request_sent_at = self.began_at

    def record_progress(self, now: float) -> None:
        """Record a valid chunk; the first one ends the prefill."""
        self.progress_at = now
        if self.first_chunk_at is None:
            self.first_chunk_at = now
            self.slot.outstanding_tokens -= self._prefill_tokens
            self._prefill_tokens = 0

    def restart_timeout(self, now: float) -> None:
        """Restart the timeout, since the engine's bytes were not read until ``now``."""
        self.progress_at = now
        self.timing_disturbed = True

    def timeout_at(self) -> float:
        """Return when the engine times out (monotonic s), or never."""
        if self.client_blocked:
            return NEVER
        if self.first_chunk_at is not None:
            return self.progress_at + self._route.idle_timeout_s
        if self._buffered_response:
            # The engine computes the complete response before its first byte, so only the deadline limits it.
            return NEVER
        return self.progress_at + self._route.first_piece_timeout_s

    def version(self) -> str:
        """Return the version that the engine reports, else the one it was chosen for."""
        reported = self.response.version if self.response is not None else ""
        return reported or self.target.version

    def timeout_ending(self, at_deadline: bool, now: float) -> Ending:
        """Return the ending after a timeout: timed out, engine lost, or (at the deadline) no evidence.

        An engine that sent neither response bytes nor load reports in the second half of the wait counts as
        lost.

        :param at_deadline: whether the request's deadline passed, not the attempt's timeout.
        """
        if at_deadline and (self.timing_disturbed or self.client_blocked):
            return Ending.CALLER_GONE
        waited_s = now - self.began_at
        limit_s = self._route.first_piece_timeout_s * MIN_BLAMED_WAIT_SHARE
        if at_deadline and self.first_chunk_at is None and waited_s < limit_s:
            return Ending.CALLER_GONE
        half_waited_at = (self.progress_at + now) / 2
        return Ending.TIMED_OUT if self.slot.last_activity_at() > half_waited_at else Ending.ENGINE_LOST

    def finish(self, ending: Ending, now: float, refused: bool = False, reset: bool = False) -> None:
        """End the attempt, once: release its load, notify the ejector and the version filter.

        :param refused: whether the engine refused the connection.
        :param reset: whether the connection was reset after bytes were sent.
        """
        if self.ended:
            return
        self.ended = True
        self.slot.end(self._prefill_tokens + self._response_tokens)
        if refused:
            self.slot.refused_at = now
        self._notify_ejector(ending, refused, now)
        outcome = self._outcome(ending)
        if reset:
            self.slot.reset_request_sent_at = max(self.slot.reset_request_sent_at, self.began_at)
            self._core.loss_classifier.add_reset(self.slot, outcome, now)
        elif ending is Ending.ENGINE_LOST and not refused:
            self._core.loss_classifier.add_unresponsive(self.slot, outcome, self.progress_at, now)
        else:
            self._core.version_chooser.observe(outcome, now)

    def _notify_ejector(self, ending: Ending, refused: bool, now: float) -> None:
        ejector = self._core.ejector
        if ending in (Ending.WHOLE, Ending.REJECTED):
            ejector.record_success(self.slot, self.is_probe, self.began_at)
        elif ending is Ending.CALLER_GONE:
            ejector.record_no_evidence(self.slot, self.is_probe)
        else:
            ejector.record_failure(self.slot, ending, refused, self.is_probe, self.target.pool, now)

    def _outcome(self, ending: Ending) -> PromptOutcome:
        record = self.slot.record
        first_at = None if self.timing_disturbed else self.first_chunk_at
        chunk_count = self.response.chunk_count() if self.response is not None else 0
        gap_s = None
        if first_at is not None and chunk_count > 1:
            gap_s = (self.progress_at - first_at) / (chunk_count - 1)
        return PromptOutcome(
            service=record.service,
            version=VersionName(self.version()),
            engine=record.engine,
            route=self._route.name,
            ending=ending,
            prompt_bytes=self._prompt_bytes,
            expected_hit=self.target.choice.expected_hit,
            first_token_s=None if first_at is None else first_at - self.began_at,
            token_gap_s=gap_s,
            tokens=self.response.tokens() if self.response is not None else 0,
            engine_in_flight=self._in_flight_before,
        )
