"""One forwarded request: attempt after attempt at engines until the caller has an answer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import xxhash

from springmux.control.gateway_configuration import GatewayRoute
from springmux.gateway import refusal_responses
from springmux.gateway.attempts import AttemptEnd, AttemptRules
from springmux.gateway.event_stream import EventStream
from springmux.gateway.placement import PromptMetadata
from springmux.gateway.prompt_headers import engine_priority
from springmux.gateway.refusal_responses import Refusal
from springmux.gateway.request_trace import RequestTrace
from springmux.gateway.routing import Admitted
from springmux.gateway.versions import VersionSelection
from springmux.node.gateway.attempt import Attempt, AttemptResult
from springmux.node.http.types import ServerExchange
from springmux.vocabulary.engines import EngineRecord
from springmux.vocabulary.names import ServiceName

if TYPE_CHECKING:
    from springmux.node.gateway.forwarder import ForwarderServices

HASH_RANGE = float(1 << 64)


class ForwardedRequest:
    """State of one request over its attempts."""

    def __init__(
        self,
        services: ForwarderServices,
        exchange: ServerExchange,
        admitted: Admitted,
        facts: PromptMetadata,
        body: bytes,
        deadline: float,
        trace: RequestTrace,
    ) -> None:
        self.services = services
        self.exchange = exchange
        self.route: GatewayRoute = admitted.route
        self.tenant = admitted.tenant
        self.facts = facts
        self.body = body
        self.deadline = deadline
        self.trace = trace
        self.priority = engine_priority(admitted.route, admitted.tenant)
        self.rules = AttemptRules(admitted.route, services.core.retry_budget, deadline)
        self.events = self._event_stream()
        self._loop = asyncio.get_running_loop()
        self.in_doubt = False
        """Whether the present attempt has been sent, so that it may run."""

    async def run(self) -> Refusal | None:
        """Try engines until the caller is answered; return what to answer where none did."""
        core = self.services.core
        now = self._loop.time()
        core.retry_budget.note_request(now)
        service = self._service()
        self.services.rates.dispatched(service)
        await self.services.start_hold.until_true(lambda: core.placement.knows_engines(service))
        now = self._loop.time()
        selection = VersionSelection(
            core.chooser, service, self.route.name, self._prefix_key(), now, self.route.repeatable
        )
        try:
            return await self._try_engines(selection)
        finally:
            selection.give_back(self._loop.time())

    def too_late(self) -> Refusal:
        """Return the answer of a request whose time is over."""
        in_doubt = self.rules.may_have_run or self.in_doubt
        return refusal_responses.TOO_LATE if in_doubt else refusal_responses.TOO_LATE_UNSENT

    async def _try_engines(self, selection: VersionSelection) -> Refusal | None:
        core = self.services.core
        last: AttemptResult | None = None
        while True:
            now = self._loop.time()
            record = selection.next_engine(core.placement, self.facts, now)
            if record is None:
                return self._give_up(last, refusal_responses.NO_ENGINE)
            if last is not None and last.end is not AttemptEnd.UNSENT:
                core.counters.retries += 1
                if self.exchange.begun and last.end is AttemptEnd.MAY_HAVE_RUN:
                    core.counters.resumed += 1
            last = await self._attempt(selection, record)
            if last.end is None:
                return None
            if self.exchange.begun and (self.events is None or not self.events.events):
                return refusal_responses.FAILED
            if not self.rules.may_try_again(last.end, self._loop.time()):
                return self._give_up(last, refusal_responses.ALL_FULL)

    async def _attempt(self, selection: VersionSelection, record: EngineRecord) -> AttemptResult:
        self.services.core.counters.dispatches += 1
        self.trace.attempt(record.engine)
        result = await Attempt(self, record, selection).run()
        if result.end is AttemptEnd.UNSENT:
            selection.not_sent(record)
        if result.end in (AttemptEnd.UNSENT, AttemptEnd.DECLINED):
            self.in_doubt = False
        return result

    def _give_up(self, last: AttemptResult | None, unrun: Refusal) -> Refusal | None:
        """Answer what is left: the engine's own failure, or a refusal that promises no more than is sure."""
        if self.exchange.begun:
            return refusal_responses.FAILED
        if last is not None and last.pass_on is not None:
            last.pass_on()
            return None
        return refusal_responses.FAILED if self.rules.may_have_run else unrun

    def _event_stream(self) -> EventStream | None:
        if not self.route.resumable:
            return None
        return EventStream(self.exchange.head.header(self.services.headers.names.last_event_id))

    def _prefix_key(self) -> int:
        """Return a hash of the prompt's last shared part, or of the request where it states none."""
        prefix = self.facts.prefix
        if len(prefix) >= 2:
            return xxhash.xxh3_64_intdigest(prefix[-2][0].encode("latin-1"))
        if prefix:
            return xxhash.xxh3_64_intdigest(prefix[0][0].encode("latin-1"))
        return self.services.randomness.getrandbits(64)

    def _service(self) -> ServiceName:
        """Return the route's service; of several, one by weight, the same for a shared prefix if sticky."""
        backends = self.route.backends
        if len(backends) == 1:
            return backends[0].service
        share = self.services.randomness.random()
        if self.route.sticky and self.facts.prefix:
            share = self._prefix_key() / HASH_RANGE
        rest = share * sum(backend.weight for backend in backends)
        for backend in backends:
            rest -= backend.weight
            if rest < 0:
                return backend.service
        return next(backend.service for backend in reversed(backends) if backend.weight > 0)
