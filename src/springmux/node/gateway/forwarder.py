"""Handles a caller's request: route, key, quota and body, then the attempts at engines."""

from __future__ import annotations

import asyncio

import msgspec

from springmux.gateway import refusal_responses
from springmux.gateway.prompt_headers import parse_prompt_metadata, quota_tokens
from springmux.gateway.refusal_responses import Refusal
from springmux.gateway.refusals import RefusalReason
from springmux.gateway.request_trace import RequestOutcome, RequestTrace
from springmux.gateway.routing import Admitted, KeyRejectedError, RouteNotFoundError
from springmux.node.gateway.attempt_loop import run_attempts
from springmux.node.gateway.forwarded_request import ForwardedRequest
from springmux.node.gateway.services import ForwarderServices
from springmux.node.http.types import BodyTooLargeError, ClientDisconnectedError, ServerExchange

DEADLINE_MARGIN_S = 0.1
"""The engine is told the deadline too and answers for itself; the gateway's own answer comes just after."""


class _ErrorBody(msgspec.Struct, frozen=True):
    code: str
    message: str


class Forwarder:
    """The front listener's handler."""

    def __init__(self, services: ForwarderServices) -> None:
        self._services = services
        self._core = services.core
        self._headers = services.headers

    async def handle(self, exchange: ServerExchange) -> None:
        """Answer one request. Returns early if the caller leaves."""
        self._core.counters.requests += 1
        task = asyncio.current_task()
        gone = False

        def leave() -> None:
            nonlocal gone
            gone = True
            if task is not None:
                task.cancel()

        exchange.on_gone(leave)
        trace = RequestTrace(exchange.received_at)
        try:
            await self._handle(exchange, trace)
        except ClientDisconnectedError:
            return
        except asyncio.CancelledError:
            if not gone:
                raise
        finally:
            if self._services.request_log is not None:
                self._services.request_log.write(trace)

    async def _handle(self, exchange: ServerExchange, trace: RequestTrace) -> None:
        await self._services.start_hold.until_true(self._may_begin)
        admitted = self._admit(exchange)
        if isinstance(admitted, Refusal):
            self._refuse(exchange, admitted, trace)
            return
        self._note_admitted(trace, admitted, exchange)
        deadline = exchange.received_at + self._allowed_s(exchange, admitted)
        try:
            async with asyncio.timeout_at(deadline):
                body = await exchange.body()
        except BodyTooLargeError:
            self._refuse(exchange, refusal_responses.BODY_TOO_LARGE, trace)
            return
        except TimeoutError:
            self._refuse(exchange, refusal_responses.TOO_LATE_UNSENT, trace)
            return
        now = asyncio.get_running_loop().time()
        usage = exchange.head.header(self._headers.names.token_usage)
        wait_s = self._take_quota(admitted, usage, now)
        if wait_s is not None:
            self._refuse(exchange, refusal_responses.over_quota(wait_s), trace)
            return
        await self._forward(exchange, admitted, body, deadline, trace)

    def _may_begin(self) -> bool:
        return self._core.configured and self._knows_keys()

    def _admit(self, exchange: ServerExchange) -> Admitted | Refusal:
        """Return the request's route and tenant, or why it is refused.

        The lease on the keys is looked at after the key: what was taken away before the lease began is in
        force here. A key that isn't known may be a new one where the lease is over.
        """
        if not self._core.configured:
            return refusal_responses.NO_CONFIGURATION
        head = exchange.head
        host = head.header(b"host") or b""
        path = head.target.partition(b"?")[0]
        key = head.header(self._headers.names.api_key)
        key_text = key.decode("latin-1") if key is not None else None
        try:
            admitted = self._core.table.admit(host.decode("latin-1"), path.decode("latin-1"), key_text)
        except RouteNotFoundError:
            return refusal_responses.NO_ROUTE
        except KeyRejectedError:
            return refusal_responses.NO_KEY if self._knows_keys() else refusal_responses.KEYS_NOT_CURRENT
        if admitted.by_key and not self._knows_keys():
            return refusal_responses.KEYS_NOT_CURRENT
        return admitted

    def _knows_keys(self) -> bool:
        return self._core.knows_keys(asyncio.get_running_loop().time())

    def _take_quota(self, admitted: Admitted, usage: bytes | None, now: float) -> float | None:
        tenant = admitted.tenant
        if tenant is None or tenant.rate_per_s <= 0:
            return None
        return self._core.usage.admit(tenant.name, quota_tokens(tenant, usage), now)

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
        trace.answered()
        if refusal is not None:
            tenant = admitted.tenant
            if refusal.retry_after_s is not None and tenant is not None and tenant.rate_per_s > 0:
                usage = head.header(names.token_usage)
                now = asyncio.get_running_loop().time()
                self._core.usage.give_back(tenant.name, quota_tokens(tenant, usage), now)
            self._refuse(exchange, refusal, trace)

    def _allowed_s(self, exchange: ServerExchange, admitted: Admitted) -> float:
        allowed_ms = admitted.route.timeout_ms
        stated = exchange.head.header(self._headers.names.deadline_ms)
        if stated is not None and stated.isdigit():
            allowed_ms = min(allowed_ms, float(stated))
        return allowed_ms / 1000.0

    def _note_admitted(self, trace: RequestTrace, admitted: Admitted, exchange: ServerExchange) -> None:
        route = admitted.route
        trace.route = route.name
        trace.target_ms = route.target_ms
        trace.gap_target_ms = route.gap_target_ms
        if admitted.tenant is not None:
            trace.tenant = admitted.tenant.name
        trace.request_id = (exchange.head.header(self._headers.names.request_id) or b"").decode("latin-1")

    def _refuse(self, exchange: ServerExchange, refusal: Refusal, trace: RequestTrace) -> None:
        reason = RefusalReason.ANSWER_CUT if exchange.begun else refusal.reason
        unrun = refusal.retry_after_s is not None or refusal.status < 500
        refused = unrun and not exchange.begun
        trace.end(RequestOutcome.REFUSED if refused else RequestOutcome.FAILED, reason.value)
        self._services.refusals.note(reason, exchange.head, trace.route)
        if exchange.begun:
            exchange.abort()
            return
        request_id = exchange.head.header(self._headers.names.request_id)
        headers = self._headers.refusal_headers(refusal, request_id)
        body = msgspec.json.encode(_ErrorBody(refusal.code, refusal.message))
        exchange.respond(refusal.status, headers, body)
