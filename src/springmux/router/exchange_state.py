"""State of one request's attempts: the open attempt, its exposure credit, and how it is closed."""

from __future__ import annotations

from springmux.control.view import RouteKind
from springmux.coordination.state_machine import NEVER, Effect
from springmux.rollout.outcome import Ending
from springmux.router.attempt import Attempt
from springmux.router.core import RouterCore
from springmux.router.effects import CloseUpstream
from springmux.router.events import ClientRequest, UpstreamEnd, UpstreamEvent
from springmux.router.parse import ParsedRequest
from springmux.router.prefix_index import PromptPrefix, hash_prefix
from springmux.router.retry_policy import RetryPolicy
from springmux.router.selection import Selection
from springmux.vocabulary.errors import Fate

PROCESS_PAUSE_THRESHOLD_S = 1.0
"""Delay of a timer from which the node's process must have been paused, so that bytes that arrived meanwhile
are read before a timeout is decided. A busy event loop delays timers by tenths of a second."""


class ExchangeState:
    """Attempts of one request, one at a time.

    ``sent``: a byte may have reached an engine. ``closed``: no attempt is open.
    """

    __slots__ = (
        "_attempt",
        "_core",
        "_deadline",
        "_parsed",
        "_prefix",
        "_request",
        "_response_begun",
        "_response_tokens",
        "_retries",
        "_selection",
        "closed",
        "sent",
    )

    def __init__(
        self, core: RouterCore, request: ClientRequest, parsed: ParsedRequest, deadline: float, now: float
    ) -> None:
        self._core = core
        self._request = request
        self._parsed = parsed
        self._deadline = deadline
        self._attempt: Attempt | None = None
        self._response_begun = False
        self._retries = RetryPolicy(core, parsed.route, deadline)
        self.sent = False
        self.closed = True
        prompt = parsed.route.kind is RouteKind.PROMPT
        self._prefix: PromptPrefix | None = hash_prefix(parsed.prefix_text) if prompt else None
        expected = core.response_lengths.expected(parsed.route.name, parsed.max_tokens)
        self._response_tokens = int(expected) if prompt else 1
        self._selection = Selection(
            core,
            parsed.route.service,
            self._prefix,
            self._prefix.key if self._prefix is not None else parsed.action_hash(request.request_id),
            parsed.prompt_tokens,
            parsed.route.repeatable,
            now,
        )

    def timeout_at(self) -> float:
        """Return when the open attempt times out (monotonic s), or never."""
        return NEVER if self._attempt is None or self.closed else self._attempt.timeout_at()

    def deadline_ending(self, now: float) -> Ending:
        """Return the ending of the open attempt at the request's deadline."""
        attempt = self._attempt
        if attempt is None or now - self._deadline > PROCESS_PAUSE_THRESHOLD_S:
            return Ending.CALLER_GONE
        return attempt.timeout_ending(True, now)

    def cancel(self, ending: Ending, now: float) -> list[Effect]:
        """Close the open attempt, if any, without reusing its connection."""
        attempt = self._attempt
        if attempt is None or self.closed:
            return []
        self.closed = True
        attempt.finish(ending, now)
        return [CloseUpstream(attempt.number, reusable=False)]

    def handle_after_completion(self, event: UpstreamEvent) -> list[Effect]:
        """Close the attempt at the first event after its complete stream, usually its proper end."""
        attempt = self._attempt
        if self.closed or attempt is None or event.attempt != attempt.number:
            return []
        self.closed = True
        return [CloseUpstream(attempt.number, reusable=isinstance(event, UpstreamEnd))]

    def abandon(self) -> list[Effect]:
        """Close an attempt that did not end properly after its complete response."""
        if self.closed or self._attempt is None:
            return []
        self.closed = True
        return [CloseUpstream(self._attempt.number, reusable=False)]

    def fate(self) -> Fate:
        """Return the request's fate if it ends without a complete response now."""
        if not self.sent:
            return Fate.REFUSED
        return Fate.FAILED if self._parsed.route.repeatable else Fate.UNKNOWN

    def engine_name(self) -> str:
        """Return the engine of the latest attempt, or an empty string."""
        return self._attempt.slot.record.engine if self._attempt else ""

    def version_name(self) -> str:
        """Return the version of the latest attempt, or an empty string."""
        return self._attempt.version() if self._attempt else ""

    def used_tokens(self) -> float:
        """Return the tokens to charge: prompt and response if an engine began to respond, else none."""
        attempt = self._attempt
        if attempt is None or attempt.response is None or attempt.first_chunk_at is None:
            return 0.0
        response = attempt.response
        return float((response.prompt_tokens() or self._parsed.prompt_tokens) + response.tokens())

    def return_unused_credit(self, now: float) -> None:
        """Return the exposure credit to the version filter unless a sent attempt used it."""
        if self.sent:
            self._selection.use_credit()
        self._selection.return_unused_credit(now)
