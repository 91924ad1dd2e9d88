"""Runs one :class:`RequestFlow`: passes it events, and executes its effects on the client and the engines.

Between the arrival of an engine's bytes and the write to the client everything is synchronous. Events that
occur while another one is being handled are queued.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Protocol

import msgspec

from springmux.coordination.claims.decision import ClaimDecision
from springmux.coordination.state_machine import NEVER, Effect, Event, LogLine, Tick
from springmux.node.client.response_writer import ResponseWriter
from springmux.node.client.upstream import Exchange, UpstreamClient, UpstreamEvent
from springmux.node.driver import AgentDriver
from springmux.node.logs import EventLog
from springmux.node.metrics.registry import NodeMetrics
from springmux.router.effects import (
    CloseUpstream,
    Dispatch,
    FlowDone,
    RequestClaim,
    ResponseAborted,
    ResponseData,
    ResponseEnd,
    ResponseError,
    ResponseHead,
    SettleClaim,
)
from springmux.router.events import (
    ClaimDecided,
    ClientBlocked,
    ClientDisconnected,
    ClientReady,
    ClientRequest,
    RequestBegun,
    UpstreamData,
)
from springmux.vocabulary.errors import ApiError, ErrorCode, Fate
from springmux.vocabulary.names import RequestId


class Flow(Protocol):
    """Interface to :class:`springmux.router.flow.RequestFlow`."""

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle one event; return the effects to execute."""

    def next_deadline(self) -> float:
        """Return the event loop time at which the next Tick is due, or ``NEVER``."""


class FlowOpener(Protocol):
    """Interface to :class:`springmux.router.router.Router`."""

    def open(self, request: ClientRequest, now: float) -> Flow:
        """Return the flow of a new request."""

    def set_wake_listener(self, listener: Callable[[RequestId], None]) -> None:
        """Set the callback for a queued request that gets a slot."""


class RunnerServices(msgspec.Struct, frozen=True):
    """Services that all request runners of a node share."""

    node: str
    router: FlowOpener
    driver: AgentDriver
    upstream: UpstreamClient
    metrics: NodeMetrics
    log: EventLog


class RequestRunner:
    """Runs one request from its complete body to the end of its flow, which may outlast the response.

    :param on_finished: called once when the flow has ended.
    """

    def __init__(
        self,
        services: RunnerServices,
        request: ClientRequest,
        writer: ResponseWriter,
        on_finished: Callable[[RequestRunner], None],
    ) -> None:
        self.request = request
        self._services = services
        self._writer = writer
        self._on_finished = on_finished
        self._loop = asyncio.get_running_loop()
        self._clock = self._loop.time
        self._flow = services.router.open(request, self._clock())
        self._inbox: deque[Event] = deque()
        self._handling = False
        self._finished = False
        self._responded: asyncio.Future[None] = self._loop.create_future()
        self._exchanges: dict[int, Exchange] = {}
        self._claims: dict[str, str] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = NEVER
        self._dispatched = False
        self._crashes = 0
        self.paused = writer.paused

    async def run(self) -> None:
        """Begin the flow; return once the response is written or the client has disconnected."""
        begun_at = self._clock()
        self.deliver(RequestBegun())
        await self._responded
        self._services.metrics.observe("request_seconds", self._clock() - begun_at)

    def abandon(self) -> None:
        """End a flow that has not begun, because its client has disconnected."""
        self.deliver(ClientDisconnected())

    async def drain(self) -> None:
        """Wait until the client's socket accepts more; until then the engine's speed can't be judged."""
        self.deliver(ClientBlocked())
        try:
            await self._writer.drain()
        finally:
            self.deliver(ClientReady())

    def upstream_event(self, event: UpstreamEvent) -> None:
        """Handle an event of an exchange with an engine (hot path)."""
        self.deliver(event)

    def deliver(self, event: Event) -> None:
        """Pass one event to the flow and execute its effects, or queue it while another is being handled."""
        if self._finished:
            return
        if self._handling:
            self._inbox.append(event)
            return
        self._handling = True
        try:
            self._step(event)
            while self._inbox and not self._finished:
                self._step(self._inbox.popleft())
            self._writer.flush()
            deadline = self._flow.next_deadline()
            if deadline < self._timer_at and not self._finished:
                self._set_timer(deadline)
        except Exception as error:  # noqa: BLE001 - a fault in one flow must not end the node or leak its slot
            self._handle_crash(error)
        finally:
            self._handling = False
        if type(event) is not UpstreamData or self._finished:
            self._services.driver.refresh_timer()

    def _step(self, event: Event) -> None:
        for effect in self._flow.handle(event, self._clock()):
            if type(effect) is ResponseData:
                if not self._responded.done():
                    self._writer.data(effect.data)
            else:
                self._execute(effect)

    def _set_timer(self, deadline: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = deadline
        self._timer = self._loop.call_at(deadline, self._timer_fired)

    def _timer_fired(self) -> None:
        # Each chunk moves the deadline to later; the timer is set to the new deadline only when it fires.
        self._timer, self._timer_at = None, NEVER
        deadline = self._flow.next_deadline()
        if deadline > self._clock():
            if deadline != NEVER:
                self._set_timer(deadline)
            return
        self.deliver(Tick())

    def _execute(self, effect: Effect) -> None:
        if isinstance(effect, ResponseHead):
            self._writer.head(effect.status, effect.headers, effect.length)
        elif isinstance(effect, ResponseEnd):
            self._writer.end()
            self._finish_response()
        elif isinstance(effect, Dispatch):
            self._dispatched = True
            self._exchanges[effect.attempt] = self._services.upstream.begin(effect, self)
        elif isinstance(effect, CloseUpstream):
            exchange = self._exchanges.pop(effect.attempt, None)
            if exchange is not None:
                exchange.close(effect.reusable)
        elif isinstance(effect, ResponseError):
            self._services.metrics.count("request_errors_total", effect.error.code)
            self._writer.error(effect.error)
            self._finish_response()
        elif isinstance(effect, ResponseAborted):
            self._writer.abort()
            self._finish_response()
        elif isinstance(effect, FlowDone):
            self._end_flow()
        else:
            self._execute_other(effect)

    def _execute_other(self, effect: Effect) -> None:
        if isinstance(effect, RequestClaim):
            self._request_claim(effect.claim_key)
        elif isinstance(effect, SettleClaim):
            correlation_id = self._claims.get(effect.claim_key, "")
            self._services.driver.settle_claim(correlation_id, effect.claim_key, effect.ran, effect.answer)
        elif isinstance(effect, LogLine):
            self._services.log.write_line(effect)
        else:
            raise TypeError(f"no I/O for effect {type(effect).__name__}")

    def _request_claim(self, claim_key: str) -> None:
        correlation_id = self._services.driver.request_claim(claim_key, self._claim_decided)
        self._claims[claim_key] = correlation_id

    def _claim_decided(self, decision: ClaimDecision) -> None:
        self.deliver(ClaimDecided(decision=decision))

    def _finish_response(self) -> None:
        if not self._responded.done():
            self._responded.set_result(None)

    def _end_flow(self) -> None:
        if self._finished:
            return
        self._finished = True
        self._finish_response()
        if self._timer is not None:
            self._timer.cancel()
        for exchange in self._exchanges.values():
            exchange.close(reusable=False)
        for correlation_id in self._claims.values():
            self._services.driver.forget_claim(correlation_id)
        self._on_finished(self)

    def _handle_crash(self, error: Exception) -> None:
        """Respond to an exception in the flow. If the request was dispatched, its fate is unknown."""
        self._services.log.crash("request_flow_crashed", error)
        self._crashes += 1
        if self._crashes > 1:
            self._end_flow()
            return
        if self._writer.begun:
            self._writer.abort()
        else:
            self._writer.keep_alive = False
            self._writer.error(
                ApiError(
                    code=ErrorCode.INTERNAL,
                    message="the node failed on this request; its log has the cause",
                    status=500,
                    fate=Fate.UNKNOWN if self._dispatched else Fate.REFUSED,
                    request_id=self.request.request_id,
                    node=self._services.node,
                )
            )
        self._finish_response()
        # On this event the flow releases what the request holds (slot, quota, claim).
        self._handling = False
        self.deliver(ClientDisconnected())
