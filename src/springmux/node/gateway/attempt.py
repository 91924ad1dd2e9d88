"""One attempt of a forwarded request at one engine: send, judge the answer, pass it on."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

import msgspec

from springmux.control.gateway_configuration import GatewayRouteKind
from springmux.gateway.attempt_timeouts import AttemptTimeouts
from springmux.gateway.attempts import AttemptEnd
from springmux.gateway.event_stream import MalformedStreamError
from springmux.gateway.placement import ExchangeOutcome
from springmux.gateway.versions import VersionSelection
from springmux.node.gateway.evidence import AttemptEvidence
from springmux.node.gateway.forwarded_request import ForwardedRequest
from springmux.node.gateway.silence_watch import SilenceWatch
from springmux.node.http.types import (
    EngineExchange,
    ExchangeFailedError,
    FailureKind,
    ResponseHead,
)
from springmux.rollout.outcome import Ending
from springmux.vocabulary.engines import EngineRecord

CONNECT_TIMEOUT_S = 0.4
"""Several round trips within a region; less than the second after which a lost opening packet is resent."""
DECLINE_BODY_S = 0.05
"""Longer than a short body needs; a new connection costs less than the wait."""
PROMISES = frozenset({408, 421, 429, 503})
"""Statuses that tell a caller that its request has not run and never will."""
EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
WHOLE_ANSWER_BYTES = 1 << 20
"""Up to this size an answer that is no stream is read whole before the caller gets any of it."""

_OUTCOMES = {
    FailureKind.CONNECT: ExchangeOutcome.CONNECT_FAILED,
    FailureKind.NOT_SENT: ExchangeOutcome.CONNECT_FAILED,
    FailureKind.RESET: ExchangeOutcome.RESET,
    FailureKind.SILENT: ExchangeOutcome.SILENT,
    FailureKind.MALFORMED: ExchangeOutcome.MALFORMED,
    FailureKind.CUT_SHORT: ExchangeOutcome.TRUNCATED,
}
_ENDINGS = {
    FailureKind.MALFORMED: Ending.BROKEN,
    FailureKind.CUT_SHORT: Ending.BROKEN,
}
_UNSENT = frozenset({FailureKind.CONNECT, FailureKind.NOT_SENT})


class AttemptResult(msgspec.Struct):
    """How an attempt ended. ``end`` is ``None`` once the caller has an answer.

    ``pass_on``: gives the caller the engine's own failure, if no other engine is tried.
    """

    end: AttemptEnd | None
    pass_on: Callable[[], None] | None = None


class Attempt:
    """Sends the request once."""

    def __init__(self, request: ForwardedRequest, record: EngineRecord, selection: VersionSelection) -> None:
        self._request = request
        self._record = record
        self._selection = selection
        self._services = request.services
        self._loop = asyncio.get_running_loop()
        self._placement = request.services.core.placement
        self._ticket = self._placement.began(record, request.prompt, self._loop.time())
        self._evidence = AttemptEvidence(request, record, self._ticket.expected_tokens, self._loop.time())
        self._outcome = ExchangeOutcome.ABANDONED
        self._ending: Ending | None = Ending.CALLER_GONE
        self._upstream: EngineExchange | None = None
        self._watch: SilenceWatch | None = None

    async def run(self) -> AttemptResult:
        """Carry the attempt out. Whatever happens, the engine's place is given back and its answer judged."""
        try:
            return await self._run()
        except ExchangeFailedError as failure:
            return self._failed(failure.kind)
        except MalformedStreamError:
            return self._failed(FailureKind.MALFORMED)
        except asyncio.CancelledError:
            task = asyncio.current_task()
            expired = self._watch is not None and self._watch.expired
            if not expired or (task is not None and task.uncancel() > 0):
                self._note_late()
                raise
            return self._gave_up()
        finally:
            self._settle()

    async def _run(self) -> AttemptResult:
        request = self._request
        now = self._loop.time()
        events = request.events
        resumed_from = events.last_event_id if events is not None and events.events else None
        head = self._services.headers.request_for(
            request.exchange.head,
            self._record,
            request.tenant.name if request.tenant is not None else None,
            request.priority,
            request.deadline - now,
            resumed_from,
        )
        upstream = await self._services.client.send(
            self._record.address, head, request.body, CONNECT_TIMEOUT_S, self._is_ours
        )
        self._upstream = upstream
        self._watch = self._make_watch()
        self._selection.sent(self._record)
        request.in_doubt = True
        answer = await upstream.head()
        request.trace.status = answer.status
        if self._services.headers.declined(answer):
            return await self._declined(upstream, answer)
        self._check_head(answer)
        if 200 <= answer.status < 300 and request.route.kind is GatewayRouteKind.STREAM:
            return await self._relay_stream(upstream, answer)
        return await self._relay_whole(upstream, answer)

    def _is_ours(self, answer: ResponseHead) -> bool:
        """Say whether an answer echoes this request's id. An engine may decline without naming it."""
        name = self._services.headers.names.request_id
        echoed = answer.header(name)
        if echoed is None:
            return self._services.headers.declined(answer)
        return echoed == self._request.exchange.head.header(name)

    def _check_head(self, answer: ResponseHead) -> None:
        """Refuse an answer that the caller must not get.

        :raises ExchangeFailedError: it is a success that no engine signed, or its status would
            tell the client of a request that may not be repeated that it has not run.
        """
        if 200 <= answer.status < 300 and answer.header(self._services.headers.names.seal) is None:
            raise ExchangeFailedError(FailureKind.MALFORMED, "a success without a seal")
        if not self._request.route.repeatable and answer.status in PROMISES:
            raise ExchangeFailedError(FailureKind.MALFORMED, "a promise without the engine's word")

    async def _declined(self, upstream: EngineExchange, answer: ResponseHead) -> AttemptResult:
        """Take the engine's word; its body is read only so that the connection can be kept."""
        with contextlib.suppress(ExchangeFailedError, TimeoutError):
            async with asyncio.timeout(DECLINE_BODY_S):
                await self._drain(upstream)
        stale = answer.status == 421
        self._outcome = ExchangeOutcome.MISDIRECTED if stale else ExchangeOutcome.DECLINED_FULL
        self._ending = None
        return AttemptResult(AttemptEnd.DECLINED)

    async def _drain(self, upstream: EngineExchange) -> None:
        while await upstream.read():
            pass

    async def _relay_whole(self, upstream: EngineExchange, answer: ResponseHead) -> AttemptResult:
        exchange = self._request.exchange
        if exchange.begun:  # a stream that another engine was to go on with
            self._outcome, self._ending = ExchangeOutcome.ERROR_STATUS, Ending.ERROR_STATUS
            return AttemptResult(AttemptEnd.MAY_HAVE_RUN)
        headers = self._services.headers.answer_headers(answer)
        parts: list[bytes] = []
        size = 0
        while data := await upstream.read():
            self._note_event()
            parts.append(data)
            size += len(data)
            if size > WHOLE_ANSWER_BYTES:
                return await self._relay_large(upstream, answer, b"".join(parts))
        self._judge_status(answer.status)
        if answer.status >= 500:
            return AttemptResult(
                AttemptEnd.ERROR_RESPONSE, lambda: exchange.respond(answer.status, headers, b"".join(parts))
            )
        exchange.respond(answer.status, headers, b"".join(parts))
        return AttemptResult(None)

    async def _relay_large(
        self, upstream: EngineExchange, answer: ResponseHead, first: bytes
    ) -> AttemptResult:
        exchange = self._request.exchange
        if self._watch is not None:
            self._watch.stop()
        exchange.begin(answer.status, self._services.headers.answer_headers(answer), answer.length)
        await exchange.write(first)
        while data := await upstream.read():
            await exchange.write(data)
        exchange.end()
        self._judge_status(answer.status)
        return AttemptResult(None)

    async def _relay_stream(self, upstream: EngineExchange, answer: ResponseHead) -> AttemptResult:
        """Pass a stream on as it comes. Its head waits for the first event: until then all can be undone."""
        exchange, events = self._request.exchange, self._request.events
        tail = b""
        while data := await upstream.read():
            tail = (tail + data)[-4:]
            if events is not None:
                data = events.feed(data)
                if not data:
                    continue
            self._note_event()
            if not exchange.begun:
                exchange.begin(answer.status, self._services.headers.answer_headers(answer), None)
            if self._watch is not None:
                self._watch.stop()
            await exchange.write(data)
            if self._watch is not None:
                self._watch.resume()
        whole = events.at_event_end if events is not None else not tail or tail.endswith(EVENT_ENDS)
        if not whole:
            return self._failed(FailureKind.CUT_SHORT)
        if not exchange.begun:
            exchange.begin(answer.status, self._services.headers.answer_headers(answer), None)
        exchange.end()
        self._outcome, self._ending = ExchangeOutcome.OK, Ending.WHOLE
        return AttemptResult(None)

    def _note_event(self) -> None:
        now = self._loop.time()
        self._request.trace.event(now)
        if self._evidence.event(now):
            self._placement.first_event(self._ticket, now)
        else:
            self._placement.heard(self._ticket, now)
        if self._watch is not None:
            self._watch.progress(now)

    def _judge_status(self, status: int) -> None:
        if status >= 500:
            self._outcome, self._ending = ExchangeOutcome.ERROR_STATUS, Ending.ERROR_STATUS
        elif status >= 400:
            self._outcome, self._ending = ExchangeOutcome.OK, Ending.REJECTED
        else:
            self._outcome, self._ending = ExchangeOutcome.OK, Ending.WHOLE

    def _failed(self, kind: FailureKind) -> AttemptResult:
        self._outcome = _OUTCOMES[kind]
        if kind in _UNSENT:
            self._ending = None
            return AttemptResult(AttemptEnd.UNSENT)
        self._ending = _ENDINGS.get(kind, Ending.ENGINE_LOST)
        if self._request.events is not None:
            self._request.events.break_off()
        return AttemptResult(AttemptEnd.MAY_HAVE_RUN)

    def _note_late(self) -> None:
        """The request was cancelled: its caller left, or its time is over, which the engine answers for."""
        now = self._loop.time()
        if now >= self._request.deadline:
            self._outcome, self._ending = ExchangeOutcome.TIMED_OUT, Ending.TIMED_OUT

    def _gave_up(self) -> AttemptResult:
        """The engine was silent for too long, and another one is to take the request up."""
        self._outcome = ExchangeOutcome.TIMED_OUT
        self._ending = Ending.WHOLE  # counts as a slow answer, not as a broken one
        self._evidence.gave_up(self._loop.time())
        if self._request.events is not None:
            self._request.events.break_off()
        return AttemptResult(AttemptEnd.MAY_HAVE_RUN)

    def _settle(self) -> None:
        now = self._loop.time()
        if self._watch is not None:
            self._watch.stop()
        upstream = self._upstream
        if upstream is not None:
            proper = self._outcome in (
                ExchangeOutcome.OK,
                ExchangeOutcome.DECLINED_FULL,
                ExchangeOutcome.MISDIRECTED,
                ExchangeOutcome.ERROR_STATUS,
            )
            if proper:
                upstream.release()
            else:
                upstream.abort()
        self._placement.ended(self._ticket, self._outcome, now)
        self._evidence.report(self._ending, now)

    def _make_watch(self) -> SilenceWatch | None:
        """Return the watch over the engine's silence, where another engine could take the request up."""
        rules = self._request.rules
        if not rules.spare_attempt:
            return None
        return SilenceWatch(
            AttemptTimeouts(self._request.route, self._ticket.prefill_wait_s),
            lambda since: self._placement.silent_since(self._ticket, since),
            lambda: rules.reserve(self._loop.time()),
        )
