"""Runs the request flows of a hollow node: their events, effects, timers and claims, without sockets."""

from __future__ import annotations

import heapq

from springmux.agent.agent import NodeAgent
from springmux.agent.effects import ClaimAnswered, FlowsRevoked
from springmux.agent.events import ClaimRequested, ClaimSettled
from springmux.coordination.state_machine import NEVER, Effect, Event, LogLine, Tick
from springmux.router.effects import FlowDone, RequestClaim, SettleClaim
from springmux.router.events import ClaimDecided, ClientRequest, KeyRevoked, RequestBegun
from springmux.router.flow import RequestFlow
from springmux.vocabulary.engines import EngineRecord
from springmux.vocabulary.names import RequestId


class ClientRequestArrived(Event, frozen=True):
    """A client's complete request arrived at the node."""

    request: ClientRequest


class FlowInput(Event, frozen=True):
    """An event of a running request: data from its engine, or the disconnection of its client."""

    request: RequestId
    event: Event


class FlowOutput(Effect, frozen=True):
    """An effect of a flow on its client or engine, outside the node."""

    request: RequestId
    effect: Effect


class ProbeEngine(Effect, frozen=True):
    """Probe an engine whose stream was reset, as the daemon's prober does."""

    record: EngineRecord


NO_REQUEST = RequestId("")
"""Request id of outputs that belong to the router itself."""


class FlowDriver:
    """The request flows of one boot of one node."""

    def __init__(self, agent: NodeAgent, boot_name: str) -> None:
        self._agent = agent
        self._boot_name = boot_name
        self._flows: dict[RequestId, RequestFlow] = {}
        self._timers: list[tuple[float, RequestId]] = []
        self._armed: dict[RequestId, float] = {}
        self._claims: dict[str, RequestId] = {}
        self._correlation_ids: dict[RequestId, str] = {}
        self._correlation_ids_made = 0
        self._woken: list[RequestId] = []
        self._to_probe: list[EngineRecord] = []
        agent.router.set_wake_listener(self._woken.append)
        agent.router.set_probe_listener(self._to_probe.append)

    def next_deadline(self) -> float:
        """Return the time of the next tick, or ``NEVER``."""
        return self._timers[0][0] if self._timers else NEVER

    def open(self, request: ClientRequest, now: float) -> list[Effect]:
        """Start a flow for a client's request; return the effects to execute outside the flows."""
        flow = self._agent.router.open(request, now)
        self._flows[request.request_id] = flow
        return self._run_woken(self._deliver(request.request_id, RequestBegun(), now), now)

    def handle(self, request: RequestId, event: Event, now: float) -> list[Effect]:
        """Handle one event of a flow. Events of ended flows are ignored."""
        return self._run_woken(self._deliver(request, event, now), now)

    def tick(self, now: float) -> list[Effect]:
        """Deliver ticks to the flows whose deadline has passed."""
        effects: list[Effect] = []
        while self._timers and self._timers[0][0] <= now:
            at, request = heapq.heappop(self._timers)
            if self._armed.get(request) != at:
                continue
            del self._armed[request]
            effects += self._deliver(request, Tick(), now)
        return self._run_woken(effects, now)

    def handle_agent_effects(self, effects: list[Effect], now: float) -> list[Effect]:
        """Deliver the agent's decisions to the flows; return the effects to execute outside the flows."""
        outward: list[Effect] = []
        for effect in effects:
            outward.append(effect)
            if isinstance(effect, ClaimAnswered):
                request = self._claims.pop(effect.correlation_id, None)
                if request is not None:
                    outward += self._deliver(request, ClaimDecided(decision=effect.decision), now)
            elif isinstance(effect, FlowsRevoked):
                for flow in effect.flows:
                    outward += self._deliver(flow.request.request_id, KeyRevoked(), now)
        return self._run_woken(outward, now)

    def _run_woken(self, effects: list[Effect], now: float) -> list[Effect]:
        """Run the flows that the router woke, and add the probes that it requested to ``effects``."""
        while self._woken:
            effects += self._deliver(self._woken.pop(0), Tick(), now)
        effects += [FlowOutput(NO_REQUEST, ProbeEngine(record)) for record in self._to_probe]
        self._to_probe.clear()
        return effects

    def _deliver(self, request: RequestId, event: Event, now: float) -> list[Effect]:
        flow = self._flows.get(request)
        if flow is None:
            return []
        outward: list[Effect] = []
        for effect in flow.handle(event, now):
            outward += self._carry_out(request, effect, now)
        if request in self._flows:
            self._arm(request, flow)
        return outward

    def _arm(self, request: RequestId, flow: RequestFlow) -> None:
        deadline = flow.next_deadline()
        armed = self._armed.get(request, NEVER)
        # A deadline that moved later is checked when the earlier one fires, as in the daemon.
        if deadline < armed:
            self._armed[request] = deadline
            heapq.heappush(self._timers, (deadline, request))

    def _carry_out(self, request: RequestId, effect: Effect, now: float) -> list[Effect]:
        if isinstance(effect, RequestClaim):
            return self._request_claim(request, effect, now)
        if isinstance(effect, SettleClaim):
            correlation_id = self._correlation_ids.get(request, "")
            settled = ClaimSettled(correlation_id, effect.claim_key, effect.ran, effect.answer)
            return self.handle_agent_effects(self._agent.handle(settled, now), now)
        if isinstance(effect, LogLine):
            return [effect]
        if isinstance(effect, FlowDone):
            self._forget(request)
        return [FlowOutput(request, effect)]

    def _request_claim(self, request: RequestId, effect: RequestClaim, now: float) -> list[Effect]:
        self._correlation_ids_made += 1
        correlation_id = f"{self._boot_name}/{self._correlation_ids_made}"
        self._claims[correlation_id] = request
        self._correlation_ids[request] = correlation_id
        return self.handle_agent_effects(
            self._agent.handle(ClaimRequested(correlation_id, effect.claim_key), now), now
        )

    def _forget(self, request: RequestId) -> None:
        self._flows.pop(request, None)
        self._armed.pop(request, None)
        correlation_id = self._correlation_ids.pop(request, None)
        if correlation_id is not None:
            self._claims.pop(correlation_id, None)
