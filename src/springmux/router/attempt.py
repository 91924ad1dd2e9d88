"""One exchange with one engine: its clocks, its checks, and what its end tells about the engine."""

from __future__ import annotations

from springmux.control.view import RouteKind
from springmux.coordination.state_machine import NEVER
from springmux.rollout.outcome import Ending, PromptOutcome
from springmux.router.core import RouterCore
from springmux.router.parse import ParsedRequest
from springmux.router.reply import Reply
from springmux.router.selection import Selected
from springmux.vocabulary.names import VersionName

FAIR_SHARE_OF_TIMEOUT = 0.5
"""An engine that had less than this part of the first-piece time when the request's deadline came is not
to blame: earlier attempts or queues used the time up."""


class Attempt:
    """State of one exchange. Times are monotonic seconds; ``first_piece_at`` is ``None`` until it came.

    ``progress_at``: since when the engine is waited for. ``blocked``: the caller's full socket holds the
    engine up. ``excused``: that, or a frozen node, took some of the exchange's time.
    """

    __slots__ = (
        "_answer_tokens",
        "_core",
        "_in_flight_before",
        "_prefill_tokens",
        "_prompt_bytes",
        "_route",
        "_whole_prompt",
        "began_at",
        "blocked",
        "ended",
        "excused",
        "first_piece_at",
        "number",
        "probe",
        "progress_at",
        "reply",
        "selected",
        "slot",
    )

    def __init__(
        self,
        core: RouterCore,
        number: int,
        selected: Selected,
        parsed: ParsedRequest,
        answer_tokens: int,
        now: float,
    ) -> None:
        self._core = core
        self._route = parsed.route
        self._whole_prompt = parsed.route.kind is RouteKind.PROMPT and not parsed.stream
        self._prompt_bytes = len(parsed.body)
        self._prefill_tokens = int(parsed.prompt_tokens * (1.0 - selected.choice.expected_hit))
        self._answer_tokens = answer_tokens
        self.number = number
        self.selected = selected
        self.slot = selected.choice.slot
        self._in_flight_before = self.slot.in_flight
        self.began_at = now
        self.first_piece_at: float | None = None
        self.progress_at = now
        self.reply: Reply | None = None
        self.blocked = False
        self.excused = False
        self.ended = False
        self.slot.begin(self._prefill_tokens + answer_tokens)
        self.probe = core.ejector.dispatched(self.slot, now)

    def heard(self, now: float) -> None:
        """Note that bytes of the answer came."""
        slot = self.slot
        slot.heard_at = now
        if self.began_at > slot.heard_began_at:
            slot.heard_began_at = self.began_at

    def progressed(self, now: float) -> None:
        """Note a valid piece; with the first one the prefill is done."""
        self.progress_at = now
        if self.first_piece_at is None:
            self.first_piece_at = now
            self.slot.outstanding_tokens -= self._prefill_tokens
            self._prefill_tokens = 0

    def excuse(self, now: float) -> None:
        """Wait for the engine anew: the time until ``now`` went by without its bytes being read."""
        self.progress_at = now
        self.excused = True

    def timeout_at(self) -> float:
        """Return when the engine has been silent for too long, or never."""
        if self.blocked:
            return NEVER
        if self.first_piece_at is not None:
            return self.progress_at + self._route.idle_timeout_s
        if self._whole_prompt:
            # The whole answer is computed before its first byte: only the deadline bounds it.
            return NEVER
        return self.progress_at + self._route.first_piece_timeout_s

    def version(self) -> str:
        """Return the version that the engine says it runs, else the one it was chosen for."""
        said = self.reply.version if self.reply is not None else ""
        return said or self.selected.version

    def late_ending(self, deadline: bool, now: float) -> Ending:
        """Say what a timeout tells: slow, dark, or (at the request's own deadline) perhaps nothing.

        An engine of which nothing at all was heard in the later half of the wait is dark.
        """
        if deadline and (self.excused or self.blocked):
            return Ending.CALLER_GONE
        waited_s = now - self.began_at
        limit_s = self._route.first_piece_timeout_s * FAIR_SHARE_OF_TIMEOUT
        if deadline and self.first_piece_at is None and waited_s < limit_s:
            return Ending.CALLER_GONE
        half_waited_at = (self.progress_at + now) / 2
        return Ending.TIMED_OUT if self.slot.alive_at() > half_waited_at else Ending.ENGINE_LOST

    def finish(self, ending: Ending, now: float, refused: bool = False, reset: bool = False) -> None:
        """End the exchange once: free the engine, tell the ejector and the version filter."""
        if self.ended:
            return
        self.ended = True
        self.slot.end(self._prefill_tokens + self._answer_tokens)
        if refused:
            self.slot.refused_at = now
        self._tell_ejector(ending, refused, now)
        outcome = self._outcome(ending)
        if reset:
            self.slot.reset_began_at = max(self.slot.reset_began_at, self.began_at)
            self._core.losses.suspect(self.slot, outcome, now)
        elif ending is Ending.ENGINE_LOST and not refused:
            self._core.losses.suspect_silence(self.slot, outcome, self.progress_at, now)
        else:
            self._core.chooser.observe(outcome, now)

    def _tell_ejector(self, ending: Ending, refused: bool, now: float) -> None:
        ejector = self._core.ejector
        if ending in (Ending.WHOLE, Ending.REJECTED):
            ejector.succeeded(self.slot, self.probe, self.began_at)
        elif ending is Ending.CALLER_GONE:
            ejector.neutral(self.slot, self.probe)
        else:
            ejector.failed(self.slot, ending, refused, self.probe, self.selected.pool, now)

    def _outcome(self, ending: Ending) -> PromptOutcome:
        record = self.slot.record
        first_at = None if self.excused else self.first_piece_at
        pieces = self.reply.pieces() if self.reply is not None else 0
        gap_s = None
        if first_at is not None and pieces > 1:
            gap_s = (self.progress_at - first_at) / (pieces - 1)
        return PromptOutcome(
            service=record.service,
            version=VersionName(self.version()),
            engine=record.engine,
            route=self._route.name,
            ending=ending,
            prompt_bytes=self._prompt_bytes,
            expected_hit=self.selected.choice.expected_hit,
            first_token_s=None if first_at is None else first_at - self.began_at,
            token_gap_s=gap_s,
            tokens=self.reply.tokens() if self.reply is not None else 0,
            engine_in_flight=self._in_flight_before,
        )
