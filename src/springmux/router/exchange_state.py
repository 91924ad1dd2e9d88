"""What one request holds of engines (the open attempt, a credit), and how the open exchange is left."""

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

FROZEN_S = 1.0
"""A timer so late means that this node stood still: what came meanwhile is read before anybody is blamed.
A busy event loop is late by tenths of a second."""


class ExchangeState:
    """Attempts of one request, one at a time.

    ``sent``: a byte may have reached an engine. ``left``: no exchange is open.
    """

    __slots__ = (
        "_answer_tokens",
        "_answered",
        "_attempt",
        "_core",
        "_deadline",
        "_parsed",
        "_prefix",
        "_request",
        "_retries",
        "_selection",
        "left",
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
        self._answered = False
        self._retries = RetryPolicy(core, parsed.route, deadline)
        self.sent = False
        self.left = True
        prompt = parsed.route.kind is RouteKind.PROMPT
        self._prefix: PromptPrefix | None = hash_prefix(parsed.prefix_text) if prompt else None
        expected = core.answer_lengths.expected(parsed.route.name, parsed.max_tokens)
        self._answer_tokens = int(expected) if prompt else 1
        self._selection = Selection(
            core,
            parsed.route.service,
            self._prefix,
            self._prefix.key if self._prefix is not None else parsed.action_key(request.request_id),
            parsed.prompt_tokens,
            parsed.route.repeatable,
            now,
        )

    def timeout_at(self) -> float:
        """Return when the open attempt has waited too long for its first or next piece."""
        return NEVER if self._attempt is None or self.left else self._attempt.timeout_at()

    def deadline_ending(self, now: float) -> Ending:
        """Say what the request's deadline tells about the open attempt's engine."""
        attempt = self._attempt
        if attempt is None or now - self._deadline > FROZEN_S:
            return Ending.CALLER_GONE
        return attempt.late_ending(True, now)

    def cancel(self, ending: Ending, now: float) -> list[Effect]:
        """Close the open attempt, if any; its connection is not reused."""
        attempt = self._attempt
        if attempt is None or self.left:
            return []
        self.left = True
        attempt.finish(ending, now)
        return [CloseUpstream(attempt.number, reusable=False)]

    def leave(self, event: UpstreamEvent) -> list[Effect]:
        """After a whole stream: take the proper end of its exchange, or anything else in its place."""
        attempt = self._attempt
        if self.left or attempt is None or event.attempt != attempt.number:
            return []
        self.left = True
        return [CloseUpstream(attempt.number, reusable=isinstance(event, UpstreamEnd))]

    def abandon(self) -> list[Effect]:
        """Close an exchange that did not end properly after its whole answer."""
        if self.left or self._attempt is None:
            return []
        self.left = True
        return [CloseUpstream(self._attempt.number, reusable=False)]

    def fate(self) -> Fate:
        """Return what became of the request if it ends without a whole answer now."""
        if not self.sent:
            return Fate.REFUSED
        return Fate.FAILED if self._parsed.route.repeatable else Fate.UNKNOWN

    def engine_name(self) -> str:
        """Return the engine of the newest attempt, or nothing."""
        return self._attempt.slot.record.engine if self._attempt else ""

    def version_name(self) -> str:
        """Return the version of the newest attempt, or nothing."""
        return self._attempt.version() if self._attempt else ""

    def used_tokens(self) -> float:
        """Return the tokens to charge: prompt and answer if an engine began to answer, else none."""
        attempt = self._attempt
        if attempt is None or attempt.reply is None or attempt.first_piece_at is None:
            return 0.0
        reply = attempt.reply
        return float((reply.prompt_tokens() or self._parsed.prompt_tokens) + reply.tokens())

    def settle(self, now: float) -> None:
        """Return what was chosen and not used."""
        if self.sent:
            self._selection.spent()
        self._selection.give_back(now)
