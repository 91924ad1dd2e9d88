"""One attempt of a forwarded request at one engine: send the request, check and forward the response."""

from __future__ import annotations

import asyncio
import contextlib

from springmux.control.gateway_configuration import GatewayRouteKind
from springmux.gateway.attempt_timeouts import AttemptTimeouts
from springmux.gateway.attempts import AttemptEnd
from springmux.gateway.engine_health import ExchangeOutcome
from springmux.gateway.event_stream import MalformedStreamError
from springmux.gateway.versions import VersionSelection
from springmux.node.gateway.attempt_result import (
    ENDINGS,
    OUTCOMES,
    REUSABLE_OUTCOMES,
    UNSENT_FAILURES,
    AttemptResult,
)
from springmux.node.gateway.evidence import AttemptEvidence
from springmux.node.gateway.forwarded_request import ForwardedRequest
from springmux.node.gateway.response_watchdog import ResponseWatchdog
from springmux.node.http.types import (
    EngineExchange,
    ExchangeFailedError,
    FailureKind,
    RequestHead,
    ResponseHead,
)
from springmux.rollout.outcome import Ending
from springmux.vocabulary.engines import EngineRecord

CONNECT_TIMEOUT_S = 0.4
"""Several round trips within a region, and less than the 1 s after which TCP retransmits a lost SYN."""
DECLINE_BODY_TIMEOUT_S = 0.05
"""Enough to read a short body of a decline. A longer wait would cost more than a new connection."""
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that guarantee to the client that its request was not executed and will not be."""
EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n")
"""Endings of an event in a stream: a blank line (HTML standard, server-sent events)."""
MAX_BUFFERED_RESPONSE_BYTES = 1 << 20
"""A response that is not a stream is buffered up to this size before any of it is sent to the client.

Less is buffered if the process has no room: the engine then waits for the client to read.
"""


class Attempt:
    """Sends the request once, and reports the outcome to placement and to the rollout's judge."""

    def __init__(self, request: ForwardedRequest, record: EngineRecord, selection: VersionSelection) -> None:
        self._request = request
        self._record = record
        self._selection = selection
        self._services = request.services
        self._loop = asyncio.get_running_loop()
        self._placement = request.services.core.placement
        self._dispatch = self._placement.record_dispatch(record, request.prompt, self._loop.time())
        self._evidence = AttemptEvidence(request, record, self._dispatch.expected_tokens, self._loop.time())
        self._outcome = ExchangeOutcome.ABANDONED
        self._ending: Ending | None = Ending.CALLER_GONE
        self._upstream: EngineExchange | None = None
        self._watchdog: ResponseWatchdog | None = None

    async def run(self) -> AttemptResult:
        """Run the attempt. In every case, the dispatch is ended and its outcome reported."""
        try:
            return await self._run()
        except ExchangeFailedError as failure:
            return self._failed(failure.kind)
        except MalformedStreamError:
            return self._failed(FailureKind.MALFORMED)
        except asyncio.CancelledError:
            task = asyncio.current_task()
            expired = self._watchdog is not None and self._watchdog.expired
            if not expired or (task is not None and task.uncancel() > 0):
                self._record_cancellation()
                raise
            return self._timed_out()
        finally:
            self._finish()

    async def _run(self) -> AttemptResult:
        request = self._request
        upstream = await self._services.client.send(
            self._record.address, self._request_head(), request.body, CONNECT_TIMEOUT_S, self._is_own_response
        )
        self._upstream = upstream
        self._watchdog = self._start_watchdog()
        self._selection.record_sent(self._record)
        request.in_doubt = True
        head = await upstream.head()
        request.trace.status = head.status
        if self._services.headers.declined(head):
            return await self._declined(upstream, head)
        self._check_head(head)
        if 200 <= head.status < 300 and request.route.kind is GatewayRouteKind.STREAM:
            return await self._relay_stream(upstream, head)
        return await self._relay_response(upstream, head)

    def _request_head(self) -> RequestHead:
        request = self._request
        events = request.events
        resumed_from = events.last_event_id if events is not None and events.events else None
        return self._services.headers.request_for(
            request.exchange.head,
            self._record,
            request.tenant.name if request.tenant is not None else None,
            request.priority,
            request.deadline - self._loop.time(),
            resumed_from,
        )

    def _is_own_response(self, head: ResponseHead) -> bool:
        """Return whether a response echoes this request's id. A response that declines may omit the id."""
        name = self._services.headers.names.request_id
        echoed = head.header(name)
        if echoed is None:
            return self._services.headers.declined(head)
        return echoed == self._request.exchange.head.header(name)

    def _check_head(self, head: ResponseHead) -> None:
        """Reject a response that must not be forwarded to the client.

        :raises ExchangeFailedError: if it is a success without the engine's seal, or if its status would
            guarantee to the client that a request that may not be repeated was not executed.
        """
        if 200 <= head.status < 300 and head.header(self._services.headers.names.seal) is None:
            raise ExchangeFailedError(FailureKind.MALFORMED, "successful response has no seal header")
        if not self._request.route.repeatable and head.status in NOT_EXECUTED_STATUSES:
            raise ExchangeFailedError(
                FailureKind.MALFORMED,
                "status implies that the request was not executed, but the engine did not decline it",
            )

    async def _declined(self, upstream: EngineExchange, head: ResponseHead) -> AttemptResult:
        """End a declined attempt. The body is read only so that the connection can be reused."""
        with contextlib.suppress(ExchangeFailedError, TimeoutError):
            async with asyncio.timeout(DECLINE_BODY_TIMEOUT_S):
                await self._discard_body(upstream)
        misdirected = head.status == 421
        self._outcome = ExchangeOutcome.MISDIRECTED if misdirected else ExchangeOutcome.DECLINED_FULL
        self._ending = None
        return AttemptResult(AttemptEnd.DECLINED)

    async def _discard_body(self, upstream: EngineExchange) -> None:
        while await upstream.read():
            pass

    async def _relay_response(self, upstream: EngineExchange, head: ResponseHead) -> AttemptResult:
        """Forward a response that is not a stream; unless it is large, only once it is complete."""
        exchange = self._request.exchange
        if exchange.begun:  # the request was to resume a stream at this engine
            self._outcome, self._ending = ExchangeOutcome.ERROR_STATUS, Ending.ERROR_STATUS
            return AttemptResult(AttemptEnd.MAY_HAVE_RUN)
        headers = self._services.headers.response_headers(head)
        chunks: list[bytes] = []
        size_bytes = 0
        while data := await upstream.read():
            self._record_event()
            chunks.append(data)
            size_bytes += len(data)
            if size_bytes > MAX_BUFFERED_RESPONSE_BYTES or not exchange.try_hold(len(data)):
                return await self._relay_large(upstream, head, chunks)
        self._classify_status(head.status)
        if head.status >= 500:
            return AttemptResult(
                AttemptEnd.ERROR_RESPONSE, lambda: exchange.respond(head.status, headers, b"".join(chunks))
            )
        exchange.respond(head.status, headers, b"".join(chunks))
        return AttemptResult(None)

    async def _relay_large(
        self, upstream: EngineExchange, head: ResponseHead, chunks: list[bytes]
    ) -> AttemptResult:
        """Forward a response as it arrives, after the ``chunks`` that were read so far."""
        exchange = self._request.exchange
        if self._watchdog is not None:
            self._watchdog.stop()
        exchange.begin(head.status, self._services.headers.response_headers(head), head.length)
        while chunks:
            await exchange.write(chunks.pop(0))
        while data := await upstream.read():
            await exchange.write(data)
        exchange.end()
        self._classify_status(head.status)
        return AttemptResult(None)

    async def _relay_stream(self, upstream: EngineExchange, head: ResponseHead) -> AttemptResult:
        """Forward a stream as it arrives. Nothing is sent before the first event, so a retry is possible."""
        exchange, events = self._request.exchange, self._request.events
        tail = b""
        if events is not None:
            events.begin_run()
        while data := await upstream.read():
            tail = (tail + data)[-4:]
            if events is not None:
                data = events.feed(data)
                if not data:
                    continue
            self._record_event()
            if not exchange.begun:
                exchange.begin(head.status, self._services.headers.response_headers(head), None)
            if self._watchdog is not None:
                self._watchdog.stop()
            await exchange.write(data)
            if self._watchdog is not None:
                self._watchdog.resume()
        complete = events.at_event_end if events is not None else not tail or tail.endswith(EVENT_TERMINATORS)
        if not complete:
            return self._failed(FailureKind.TRUNCATED)
        if not exchange.begun:
            exchange.begin(head.status, self._services.headers.response_headers(head), None)
        exchange.end()
        self._outcome, self._ending = ExchangeOutcome.OK, Ending.WHOLE
        return AttemptResult(None)

    def _record_event(self) -> None:
        now = self._loop.time()
        self._request.trace.record_event(now)
        if self._evidence.record_event(now):
            self._placement.record_first_event(self._dispatch, now)
        else:
            self._placement.record_response_bytes(self._dispatch, now)
        if self._watchdog is not None:
            self._watchdog.record_event(now)

    def _classify_status(self, status: int) -> None:
        if status >= 500:
            self._outcome, self._ending = ExchangeOutcome.ERROR_STATUS, Ending.ERROR_STATUS
        elif status >= 400:
            self._outcome, self._ending = ExchangeOutcome.OK, Ending.REJECTED
        else:
            self._outcome, self._ending = ExchangeOutcome.OK, Ending.WHOLE

    def _failed(self, kind: FailureKind) -> AttemptResult:
        self._outcome = OUTCOMES[kind]
        if kind in UNSENT_FAILURES:
            self._ending = None
            return AttemptResult(AttemptEnd.UNSENT)
        self._ending = ENDINGS.get(kind, Ending.ENGINE_LOST)
        if self._request.events is not None:
            self._request.events.discard_incomplete_event()
        return AttemptResult(AttemptEnd.MAY_HAVE_RUN)

    def _record_cancellation(self) -> None:
        """Count a cancellation at the deadline as the engine's timeout; otherwise the client disconnected."""
        if self._loop.time() >= self._request.deadline:
            self._outcome, self._ending = ExchangeOutcome.TIMED_OUT, Ending.TIMED_OUT

    def _timed_out(self) -> AttemptResult:
        """End an attempt that its watchdog cancelled, so that another engine can serve the request."""
        self._outcome = ExchangeOutcome.TIMED_OUT
        self._ending = Ending.WHOLE  # counts as slow, not as broken
        self._evidence.timed_out(self._loop.time())
        if self._request.events is not None:
            self._request.events.discard_incomplete_event()
        return AttemptResult(AttemptEnd.MAY_HAVE_RUN)

    def _finish(self) -> None:
        """Release the connection and report the outcome."""
        now = self._loop.time()
        if self._watchdog is not None:
            self._watchdog.stop()
        upstream = self._upstream
        if upstream is not None:
            if self._outcome in REUSABLE_OUTCOMES:
                upstream.release()
            else:
                upstream.abort()
        self._placement.record_end(self._dispatch, self._outcome, now)
        self._evidence.report(self._ending, now)

    def _start_watchdog(self) -> ResponseWatchdog | None:
        """Start and return a watchdog if another engine could serve the request after a timeout."""
        rules = self._request.rules
        if not rules.has_spare_attempt:
            return None
        return ResponseWatchdog(
            AttemptTimeouts(self._request.route, self._dispatch.prefill_wait_s),
            lambda since: self._placement.received_nothing_since(self._dispatch, since),
            lambda: rules.reserve(self._loop.time()),
        )
