"""The attempts of one request: events from engines, retries, and what is forwarded to the client.

A retry requires that nothing went to the client, and either that no byte was sent (any route) or that the
route is repeatable and the node's retry budget allows it. An at-most-once request that may have reached
an engine is never sent again, and its fate is unknown, never refused.
"""

from __future__ import annotations

from springmux.rollout.outcome import Ending
from springmux.router.attempt import Attempt
from springmux.router.dispatching import dispatch_effect
from springmux.router.effects import CloseUpstream
from springmux.router.events import (
    UpstreamCause,
    UpstreamData,
    UpstreamEnd,
    UpstreamEvent,
    UpstreamFailed,
    UpstreamHead,
)
from springmux.router.exchange_state import PAUSED_PROCESS_S, ExchangeState
from springmux.router.progress import CODE_OF_CAUSE, ExchangeFailure, Progress, no_engine
from springmux.router.reply import Reply
from springmux.vocabulary.errors import ErrorCode

_STALLED = "the engine fell silent within its answer"
_NOT_STARTED = "the engine did not begin to answer in time"


class Exchange(ExchangeState):
    """Handles the events of one request's attempts."""

    __slots__ = ()

    def start(self, now: float) -> Progress:
        """Dispatch the first attempt."""
        progress = Progress()
        if not self._dispatch(progress, now):
            progress.failure = no_engine()
        return progress

    def handle(self, event: UpstreamEvent, now: float) -> Progress:
        """Handle an event of the open attempt; events of earlier attempts are ignored."""
        progress = Progress()
        attempt = self._attempt
        if attempt is None or self.closed or event.attempt != attempt.number:
            return progress
        if isinstance(event, UpstreamData):
            self._handle_data(attempt, event.data, progress, now)
        elif isinstance(event, UpstreamHead):
            if attempt.reply is None:
                self._handle_head(attempt, event, progress, now)
        elif isinstance(event, UpstreamEnd):
            self._handle_end(attempt, progress, now)
        else:
            self._handle_failure(attempt, event, progress, now)
        return progress

    def forward_chunk(self, event: UpstreamData, now: float) -> bytes | None:
        """Handle one more chunk of a running stream, the most frequent event.

        Returns the bytes to forward, or ``None`` if :meth:`handle` must handle the event.
        """
        attempt = self._attempt
        if attempt is None or attempt.reply is None or self.closed or event.attempt != attempt.number:
            return None
        stream = attempt.reply.stream
        if stream is None or not stream.feed_one(event.data):
            return None
        attempt.record_bytes(now)
        attempt.progress_at = now
        return event.data

    def time_out(self, now: float) -> Progress:
        """End the attempt whose first or next chunk did not arrive in time."""
        progress = Progress()
        attempt = self._attempt
        if attempt is None or self.closed:
            return progress
        if now - attempt.timeout_at() > PAUSED_PROCESS_S:
            attempt.restart_timeout(now)
            return progress
        begun = attempt.first_chunk_at is not None
        code = ErrorCode.ENGINE_BROKE_OFF if begun else ErrorCode.DEADLINE_EXCEEDED
        message = _STALLED if begun else _NOT_STARTED
        self._attempt_failed(attempt, attempt.late_ending(False, now), code, message, progress, now)
        return progress

    def client_blocked(self, blocked: bool, now: float) -> None:
        """Record that the client's full socket begins or ceases to hold the engine up."""
        attempt = self._attempt
        if attempt is not None and not self.closed:
            attempt.blocked = blocked
            attempt.restart_timeout(now)

    def _dispatch(self, progress: Progress, now: float) -> bool:
        selected = self._selection.next(now)
        if selected is None:
            return False
        parsed = self._parsed
        number = self._attempt.number + 1 if self._attempt is not None else 1
        attempt = Attempt(self._core, number, selected, parsed, self._response_tokens, now)
        self._attempt = attempt
        self.closed = False
        self.sent = True
        self._core.counters.dispatches += 1
        if self._prefix is not None:
            self._core.index.record(self._prefix, attempt.slot)
        effect = dispatch_effect(self._core, self._request, parsed, attempt, self._deadline, now)
        progress.effects = [*progress.effects, effect]
        return True

    def _handle_head(self, attempt: Attempt, event: UpstreamHead, progress: Progress, now: float) -> None:
        attempt.record_bytes(now)
        if event.status >= 500:
            message = f"the engine answered with status {event.status}"
            self._attempt_failed(attempt, Ending.ERROR_STATUS, ErrorCode.ENGINE_ERROR, message, progress, now)
            return
        engine = attempt.slot.record.engine
        attempt.reply = Reply(event, self._parsed, self._request.request_id, engine, self._core.node)
        if attempt.reply.fault:
            self._fail_invalid(attempt, attempt.reply, progress, now)

    def _handle_data(self, attempt: Attempt, data: bytes, progress: Progress, now: float) -> None:
        attempt.record_bytes(now)
        reply = attempt.reply
        if reply is None:
            message = "a body came without a head"
            self._attempt_failed(attempt, Ending.BROKEN, ErrorCode.ENGINE_PROTOCOL, message, progress, now)
            return
        forward = reply.feed(data)
        if reply.fault:
            if self._answered:
                progress.data = forward
            self._fail_invalid(attempt, reply, progress, now)
            return
        if forward or reply.answer is not None:
            attempt.record_progress(now)
        if forward:
            self._forward(reply, forward, progress)
        if reply.finished:
            self._complete(attempt, reply, progress, now)
            if reply.trailing:
                progress.effects = [*progress.effects, *self.abandon()]

    def _handle_end(self, attempt: Attempt, progress: Progress, now: float) -> None:
        reply = attempt.reply
        if reply is None:
            message = "the exchange ended without an answer"
            self._attempt_failed(attempt, Ending.BROKEN, ErrorCode.ENGINE_PROTOCOL, message, progress, now)
            return
        body = reply.end()
        if reply.fault:
            self._fail_invalid(attempt, reply, progress, now)
            return
        attempt.record_progress(now)
        self._forward(reply, body, progress)
        progress.effects = [CloseUpstream(attempt.number, reusable=True)]
        self._complete(attempt, reply, progress, now)
        self.closed = True

    def _forward(self, reply: Reply, data: bytes, progress: Progress) -> None:
        if not self._answered:
            self._answered = True
            progress.head = reply.head()
        progress.data = data

    def _complete(self, attempt: Attempt, reply: Reply, progress: Progress, now: float) -> None:
        progress.complete = True
        attempt.finish(Ending.WHOLE if reply.status < 400 else Ending.REJECTED, now)
        if self._prefix is not None and reply.status < 400:
            self._core.response_lengths.observe(self._parsed.route.name, reply.tokens())

    def _fail_invalid(self, attempt: Attempt, reply: Reply, progress: Progress, now: float) -> None:
        self._attempt_failed(attempt, reply.ending(), reply.error_code(), reply.fault, progress, now)

    def _handle_failure(
        self, attempt: Attempt, event: UpstreamFailed, progress: Progress, now: float
    ) -> None:
        self.closed = True
        cause = event.cause
        message = f"the exchange with the engine failed: {cause}"
        if not event.sent:
            self._handle_unsent(attempt, cause, message, progress, now)
            return
        ending = Ending.BROKEN if cause is UpstreamCause.PROTOCOL else Ending.ENGINE_LOST
        refused = cause is UpstreamCause.REFUSED
        attempt.finish(ending, now, refused=refused, reset=cause is UpstreamCause.RESET)
        self._attempt_failed(attempt, ending, CODE_OF_CAUSE[cause], message, progress, now)

    def _handle_unsent(
        self, attempt: Attempt, cause: UpstreamCause, message: str, progress: Progress, now: float
    ) -> None:
        """Try another engine after an attempt of which no byte was sent."""
        self.sent = self._retries.sent > 0
        # A pooled connection that was closed while idle is no evidence about its engine.
        stale = cause is UpstreamCause.RESET
        ending = Ending.CALLER_GONE if stale else Ending.ENGINE_LOST
        attempt.finish(ending, now, refused=cause is UpstreamCause.REFUSED)
        if not stale:
            self._selection.exclude(attempt.selected, sent=False)
        if self._retries.after_unsent(now) and self._dispatch(progress, now):
            self._core.counters.reconnects += 1
        elif self.sent:
            progress.failure = ExchangeFailure(CODE_OF_CAUSE[cause], message, self.fate())
        else:
            progress.failure = no_engine()

    def _attempt_failed(
        self, attempt: Attempt, ending: Ending, code: ErrorCode, message: str, progress: Progress, now: float
    ) -> None:
        """Handle a failed attempt of which bytes may have been sent: retry or fail the request."""
        progress.effects = [*progress.effects, *self.cancel(ending, now)]
        self._selection.exclude(attempt.selected, sent=True)
        if self._retries.after_sent(self._answered, now) and self._dispatch(progress, now):
            self._core.counters.retries += 1
            return
        progress.failure = ExchangeFailure(code, message, self.fate())
