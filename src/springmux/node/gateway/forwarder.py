"""Handler of the front listener: admits a client's request, reads its body and forwards it to engines."""

from __future__ import annotations

import asyncio

import msgspec

from springmux.gateway import refusal_responses
from springmux.gateway.prompt_headers import parse_prompt_metadata
from springmux.gateway.refusal_responses import Refusal
from springmux.gateway.refusals import RefusalReason
from springmux.gateway.request_trace import RequestOutcome, RequestTrace
from springmux.gateway.routing import Admitted
from springmux.node.gateway.admission import Admission
from springmux.node.gateway.attempt_loop import run_attempts
from springmux.node.gateway.forwarded_request import ForwardedRequest
from springmux.node.gateway.services import ForwarderServices
from springmux.node.http.types import BodyTooLargeError, ClientDisconnectedError, ServerExchange

DEADLINE_MARGIN_S = 0.1
"""The engine is sent the deadline and responds at it. The gateway's own response follows this much later."""


class _ErrorBody(msgspec.Struct, frozen=True):
    code: str
    message: str


class Forwarder:
    """Handles the requests of the front listener."""

    def __init__(self, services: ForwarderServices) -> None:
        self._services = services
        self._headers = services.headers
        self._admission = Admission(services.core, services.headers.names)

    async def handle(self, exchange: ServerExchange) -> None:
        """Handle one request until it has a response or its client disconnects."""
        self._services.core.counters.requests += 1
        task = asyncio.current_task()
        client_gone = False

        def cancel() -> None:
            nonlocal client_gone
            client_gone = True
            if task is not None:
                task.cancel()

        exchange.on_disconnect(cancel)
        trace = RequestTrace(exchange.received_at)
        try:
            await self._handle(exchange, trace)
        except ClientDisconnectedError:
            return
        except asyncio.CancelledError:
            if not client_gone:
                raise
        finally:
            if self._services.request_log is not None:
                self._services.request_log.write(trace)

    async def _handle(self, exchange: ServerExchange, trace: RequestTrace) -> None:
        await self._services.startup_gate.wait_for(self._admission.ready)
        admitted = self._admission.admit(exchange.head)
        if isinstance(admitted, Refusal):
            self._refuse(exchange, admitted, trace)
            return
        self._trace_admission(trace, admitted, exchange)
        deadline = exchange.received_at + self._timeout_s(exchange, admitted)
        try:
            async with asyncio.timeout_at(deadline):
                body = await exchange.body()
        except BodyTooLargeError:
            self._refuse(exchange, refusal_responses.BODY_TOO_LARGE, trace)
            return
        except TimeoutError:
            self._refuse(exchange, refusal_responses.TOO_LATE_UNSENT, trace)
            return
        wait_s = self._admission.charge_quota(admitted, exchange.head)
        if wait_s is not None:
            self._refuse(exchange, refusal_responses.over_quota(wait_s), trace)
            return
        await self._forward(exchange, admitted, body, deadline, trace)

    async def _forward(
        self, exchange: ServerExchange, admitted: Admitted, body: bytes, deadline: float, trace: RequestTrace
    ) -> None:
        names = self._headers.names
        head = exchange.head
        prompt = parse_prompt_metadata(head.header(names.prompt_prefix), head.header(names.token_usage))
        trace.prompt_tokens = prompt.prompt_tokens
        if asyncio.get_running_loop().time() >= deadline:
            self._refuse(exchange, refusal_responses.TOO_LATE_UNSENT, trace)
            return
        request = ForwardedRequest(self._services, exchange, admitted, prompt, body, deadline, trace)
        try:
            async with asyncio.timeout_at(deadline + DEADLINE_MARGIN_S):
                refusal = await run_attempts(request)
        except TimeoutError:
            refusal = request.timeout_refusal()
        trace.record_response()
        if refusal is None:
            return
        if refusal.retry_after_s is not None:
            self._admission.refund_quota(admitted, head)
        self._refuse(exchange, refusal, trace)

    def _timeout_s(self, exchange: ServerExchange, admitted: Admitted) -> float:
        """Return the shorter of the route's and the client's timeout, in seconds."""
        timeout_ms = admitted.route.timeout_ms
        requested = exchange.head.header(self._headers.names.deadline_ms)
        if requested is not None and requested.isdigit():
            timeout_ms = min(timeout_ms, float(requested))
        return timeout_ms / 1000.0

    def _trace_admission(self, trace: RequestTrace, admitted: Admitted, exchange: ServerExchange) -> None:
        route = admitted.route
        trace.route = route.name
        trace.target_ms = route.target_ms
        trace.gap_target_ms = route.gap_target_ms
        if admitted.tenant is not None:
            trace.tenant = admitted.tenant.name
        trace.request_id = (exchange.head.header(self._headers.names.request_id) or b"").decode("latin-1")

    def _refuse(self, exchange: ServerExchange, refusal: Refusal, trace: RequestTrace) -> None:
        """Send a refusal, or reset the connection if part of a response has been sent."""
        reason = RefusalReason.ANSWER_CUT if exchange.begun else refusal.reason
        not_executed = refusal.retry_after_s is not None or refusal.status < 500
        refused = not_executed and not exchange.begun
        trace.record_end(RequestOutcome.REFUSED if refused else RequestOutcome.FAILED, reason.value)
        self._services.refusals.record(reason, exchange.head, trace.route)
        if exchange.begun:
            exchange.abort()
            return
        request_id = exchange.head.header(self._headers.names.request_id)
        headers = self._headers.refusal_headers(refusal, request_id)
        body = msgspec.json.encode(_ErrorBody(refusal.code, refusal.message))
        exchange.respond(refusal.status, headers, body)
