"""The attempts of one request: events from engines, retries, and what is forwarded to the client.

A retry requires that nothing was sent to the client, and either that no byte was sent (any route) or that the
route is repeatable and the node's retry budget allows it. An at-most-once request that may have reached
an engine is never sent again, and its fate is unknown, never refused.
"""

from __future__ import annotations

from springmux.rollout.outcome import Ending
from springmux.router.attempt import Attempt
from springmux.router.dispatching import dispatch_effect
from springmux.router.effects import CloseUpstream
from springmux.router.engine_response import EngineResponse
from springmux.router.events import (
    UpstreamCause,
    UpstreamData,
    UpstreamEnd,
    UpstreamEvent,
    UpstreamFailed,
    UpstreamHead,
)
from springmux.router.exchange_state import PROCESS_PAUSE_THRESHOLD_S, ExchangeState
from springmux.router.progress import CODE_OF_CAUSE, ExchangeFailure, Progress, no_engine_failure
from springmux.vocabulary.errors import ErrorCode

_STALLED_MESSAGE = "the engine fell silent within its answer"
_NOT_STARTED_MESSAGE = "the engine did not begin to answer in time"


class Exchange(ExchangeState):
    """Handles the events of one request's attempts."""

    __slots__ = ()

    def start(self, now: float) -> Progress:
        """Dispatch the first attempt."""
        progress = Progress()
        if not self._dispatch(progress, now):
            progress.failure = no_engine_failure()
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
            if attempt.response is None:
                self._handle_head(attempt, event, progress, now)
        elif isinstance(event, UpstreamEnd):
            self._handle_end(attempt, progress, now)
        else:
            self._handle_upstream_failed(attempt, event, progress, now)
        return progress

    def forward_chunk(self, event: UpstreamData, now: float) -> bytes | None:
        """Handle one more chunk of a running stream, the most frequent event.

        Return the bytes to forward, or ``None`` if :meth:`handle` must handle the event.
        """
        attempt = self._attempt
        if attempt is None or attempt.response is None or self.closed or event.attempt != attempt.number:
            return None
        stream = attempt.response.stream_checker
        if stream is None or not stream.feed_single_chunk(event.data):
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
        if now - attempt.timeout_at() > PROCESS_PAUSE_THRESHOLD_S:
            attempt.restart_timeout(now)
            return progress
        response_begun = attempt.first_chunk_at is not None
        code = ErrorCode.ENGINE_BROKE_OFF if response_begun else ErrorCode.DEADLINE_EXCEEDED
        message = _STALLED_MESSAGE if response_begun else _NOT_STARTED_MESSAGE
        self._retry_or_fail(attempt, attempt.timeout_ending(False, now), code, message, progress, now)
        return progress

    def set_client_blocked(self, blocked: bool, now: float) -> None:
        """Record whether the client's full socket stops the node from reading the engine's bytes."""
        attempt = self._attempt
        if attempt is not None and not self.closed:
            attempt.client_blocked = blocked
            attempt.restart_timeout(now)

    def _dispatch(self, progress: Progress, now: float) -> bool:
        target = self._selection.next_target(now)
        if target is None:
            return False
        parsed = self._parsed
        number = self._attempt.number + 1 if self._attempt is not None else 1
        attempt = Attempt(self._core, number, target, parsed, self._response_tokens, now)
        self._attempt = attempt
        self.closed = False
        self.sent = True
        self._core.counters.dispatches += 1
        if self._prefix is not None:
            self._core.prefix_index.record(self._prefix, attempt.slot)
        effect = dispatch_effect(self._core, self._request, parsed, attempt, self._deadline, now)
        progress.effects = [*progress.effects, effect]
        return True

    def _handle_head(self, attempt: Attempt, event: UpstreamHead, progress: Progress, now: float) -> None:
        attempt.record_bytes(now)
        if event.status >= 500:
            message = f"the engine answered with status {event.status}"
            self._retry_or_fail(attempt, Ending.ERROR_STATUS, ErrorCode.ENGINE_ERROR, message, progress, now)
            return
        engine = attempt.slot.record.engine
        attempt.response = EngineResponse(
            event, self._parsed, self._request.request_id, engine, self._core.node
        )
        if attempt.response.fault:
            self._fail_invalid_response(attempt, attempt.response, progress, now)

    def _handle_data(self, attempt: Attempt, data: bytes, progress: Progress, now: float) -> None:
        attempt.record_bytes(now)
        response = attempt.response
        if response is None:
            message = "a body came without a head"
            self._retry_or_fail(attempt, Ending.BROKEN, ErrorCode.ENGINE_PROTOCOL, message, progress, now)
            return
        forward = response.feed(data)
        if response.fault:
            if self._response_begun:
                progress.data = forward
            self._fail_invalid_response(attempt, response, progress, now)
            return
        if forward or response.buffered_checker is not None:
            attempt.record_progress(now)
        if forward:
            self._forward(response, forward, progress)
        if response.finished:
            self._complete(attempt, response, progress, now)
            if response.trailing:
                progress.effects = [*progress.effects, *self.abandon()]

    def _handle_end(self, attempt: Attempt, progress: Progress, now: float) -> None:
        response = attempt.response
        if response is None:
            message = "the exchange ended without an answer"
            self._retry_or_fail(attempt, Ending.BROKEN, ErrorCode.ENGINE_PROTOCOL, message, progress, now)
            return
        body = response.end()
        if response.fault:
            self._fail_invalid_response(attempt, response, progress, now)
            return
        attempt.record_progress(now)
        self._forward(response, body, progress)
        progress.effects = [CloseUpstream(attempt.number, reusable=True)]
        self._complete(attempt, response, progress, now)
        self.closed = True

    def _forward(self, response: EngineResponse, data: bytes, progress: Progress) -> None:
        if not self._response_begun:
            self._response_begun = True
            progress.head = response.head()
        progress.data = data

    def _complete(self, attempt: Attempt, response: EngineResponse, progress: Progress, now: float) -> None:
        progress.complete = True
        attempt.finish(Ending.WHOLE if response.status < 400 else Ending.REJECTED, now)
        if self._prefix is not None and response.status < 400:
            self._core.response_lengths.observe(self._parsed.route.name, response.tokens())

    def _fail_invalid_response(
        self, attempt: Attempt, response: EngineResponse, progress: Progress, now: float
    ) -> None:
        self._retry_or_fail(attempt, response.ending(), response.error_code(), response.fault, progress, now)

    def _handle_upstream_failed(
        self, attempt: Attempt, event: UpstreamFailed, progress: Progress, now: float
    ) -> None:
        self.closed = True
        cause = event.cause
        message = f"the exchange with the engine failed: {cause}"
        if not event.sent:
            self._retry_unsent(attempt, cause, message, progress, now)
            return
        ending = Ending.BROKEN if cause is UpstreamCause.PROTOCOL else Ending.ENGINE_LOST
        refused = cause is UpstreamCause.REFUSED
        attempt.finish(ending, now, refused=refused, reset=cause is UpstreamCause.RESET)
        self._retry_or_fail(attempt, ending, CODE_OF_CAUSE[cause], message, progress, now)

    def _retry_unsent(
        self, attempt: Attempt, cause: UpstreamCause, message: str, progress: Progress, now: float
    ) -> None:
        """Try another engine after an attempt that sent no byte, or fail the request."""
        self.sent = self._retries.sent_attempts > 0
        # A pooled connection that was closed while idle is no evidence about its engine.
        stale = cause is UpstreamCause.RESET
        ending = Ending.CALLER_GONE if stale else Ending.ENGINE_LOST
        attempt.finish(ending, now, refused=cause is UpstreamCause.REFUSED)
        if not stale:
            self._selection.exclude(attempt.target, sent=False)
        if self._retries.after_unsent(now) and self._dispatch(progress, now):
            self._core.counters.reconnects += 1
        elif self.sent:
            progress.failure = ExchangeFailure(CODE_OF_CAUSE[cause], message, self.fate())
        else:
            progress.failure = no_engine_failure()

    def _retry_or_fail(
        self, attempt: Attempt, ending: Ending, code: ErrorCode, message: str, progress: Progress, now: float
    ) -> None:
        """Retry or fail the request after an attempt that may have reached an engine."""
        progress.effects = [*progress.effects, *self.cancel(ending, now)]
        self._selection.exclude(attempt.target, sent=True)
        if self._retries.after_sent(self._response_begun, now) and self._dispatch(progress, now):
            self._core.counters.retries += 1
            return
        progress.failure = ExchangeFailure(code, message, self.fate())
