"""The attempts of one forwarded request at successive engines, until the client has a response."""

from __future__ import annotations

import asyncio

from springmux.gateway import refusal_responses
from springmux.gateway.attempts import AttemptEnd
from springmux.gateway.refusal_responses import Refusal
from springmux.gateway.versions import VersionSelection
from springmux.node.gateway.attempt import Attempt
from springmux.node.gateway.attempt_result import AttemptResult
from springmux.node.gateway.backend_choice import choose_service, prefix_key
from springmux.node.gateway.forwarded_request import ForwardedRequest
from springmux.vocabulary.engines import EngineRecord, EngineStatus


async def run_attempts(request: ForwardedRequest) -> Refusal | None:
    """Try engines until the client has a response. Return the refusal to send if no engine provides one."""
    services, route, prompt = request.services, request.route, request.prompt
    core = services.core
    loop = asyncio.get_running_loop()
    core.retry_budget.record_request(loop.time())
    service = choose_service(route, prompt, services.randomness)
    services.rates.record_dispatch(service)
    await services.startup_gate.wait_for(lambda: core.placement.knows_engines(service))
    now = loop.time()
    key = prefix_key(prompt, services.randomness)
    selection = VersionSelection(core.chooser, service, route.name, key, now, route.repeatable)
    try:
        return await _try_engines(request, selection, loop)
    finally:
        selection.return_credit(loop.time())


async def _try_engines(
    request: ForwardedRequest, selection: VersionSelection, loop: asyncio.AbstractEventLoop
) -> Refusal | None:
    core = request.services.core
    last_result: AttemptResult | None = None
    while True:
        record = selection.next_engine(core.placement, request.prompt, loop.time())
        if record is None:
            return _final_refusal(request, last_result, refusal_responses.NO_ENGINE)
        if last_result is not None:
            _count_retry(request, last_result)
        last_result = await _attempt(request, selection, record)
        if last_result.end is None:
            return None
        if request.exchange.begun and (request.events is None or not request.events.events):
            return refusal_responses.FAILED
        if not request.rules.may_try_again(last_result.end, loop.time()):
            return _final_refusal(request, last_result, refusal_responses.ALL_FULL)


def _count_retry(request: ForwardedRequest, last_result: AttemptResult) -> None:
    if last_result.end is AttemptEnd.UNSENT:
        return
    counters = request.services.core.counters
    counters.retries += 1
    if request.exchange.begun and last_result.end is AttemptEnd.MAY_HAVE_RUN:
        counters.resumed += 1


async def _attempt(
    request: ForwardedRequest, selection: VersionSelection, record: EngineRecord
) -> AttemptResult:
    counters = request.services.core.counters
    counters.dispatches += 1
    counters.lost_engine_attempts += int(record.status is EngineStatus.LOST)
    request.trace.record_attempt(record.engine)
    result = await Attempt(request, record, selection).run()
    if result.end is AttemptEnd.UNSENT:
        selection.record_not_sent(record)
    if result.end in (AttemptEnd.UNSENT, AttemptEnd.DECLINED):
        request.in_doubt = False
    return result


def _final_refusal(
    request: ForwardedRequest, last_result: AttemptResult | None, not_executed: Refusal
) -> Refusal | None:
    """Forward the last engine's error response if there is one, else return the refusal to send.

    The refusal says that the request was not executed only if that is certain.
    """
    if request.exchange.begun:
        return refusal_responses.FAILED
    if last_result is not None and last_result.forward_error is not None:
        last_result.forward_error()
        return None
    return refusal_responses.FAILED if request.rules.may_have_run else not_executed
