"""HTTP endpoints that start rollouts of the gateway's services and read their state."""

from __future__ import annotations

import asyncio
from collections import Counter

import msgspec

from springmux.agent.agent import NodeAgent
from springmux.control.commands import PromoteRollout
from springmux.coordination.identifiers import Revision
from springmux.node.driver import AgentDriver
from springmux.node.gateway.control_responses import (
    ControlResponse,
    command_response,
    error_response,
    result_response,
    retry_later,
    submit_command,
)
from springmux.node.gateway.rollout_orders import (
    Repetition,
    RolloutBody,
    classify_repetition,
    last_equal_order,
    order_id,
    rollout_id,
)
from springmux.node.gateway.settings import GatewaySettings
from springmux.node.gateway.state_proof import StateProof
from springmux.node.http.types import ServerExchange
from springmux.node.service_rates import ServiceRates
from springmux.rollout.planning.standard_plan import plan_for
from springmux.rollout.reported_state import may_report_done, state_of
from springmux.vocabulary.engines import EngineStatus
from springmux.vocabulary.errors import ErrorCode
from springmux.vocabulary.names import ServiceName, VersionName

CONFLICT_STATUS = 409
RATE_WINDOW_S = 3.0
"""Window of the request rate that a plan is based on. A longer one could include time without traffic."""


class RolloutStateBody(msgspec.Struct, frozen=True):
    """Body of the response with a rollout's state: running, done or aborted."""

    state: str
    candidate: str


class RolloutEndpoints:
    """``POST`` starts a rollout; ``GET`` of a service returns its state."""

    def __init__(
        self, settings: GatewaySettings, agent: NodeAgent, driver: AgentDriver, rates: ServiceRates
    ) -> None:
        self._rates = rates
        self._settings = settings
        self._agent = agent
        self._driver = driver
        self._proof = StateProof(agent, driver, settings.read_proof_s)

    async def handle(self, method: str, service: str, exchange: ServerExchange) -> ControlResponse:
        """Respond to one request."""
        if method == "POST" and not service:
            return await self._promote(await exchange.body())
        if method == "GET" and service:
            return await self._show(ServiceName(service))
        return error_response(405, ErrorCode.METHOD_NOT_ALLOWED, "use POST, or GET with a service's name")

    async def _promote(self, body: bytes) -> ControlResponse:
        try:
            requested = msgspec.json.decode(body, type=RolloutBody)
        except msgspec.DecodeError as error:
            return error_response(400, ErrorCode.INVALID_ORDER, str(error))
        if not await self._proof.obtain_after_pause():
            return self._not_proven()
        last = last_equal_order(self._agent.control, requested)
        if last is not None:
            now = asyncio.get_running_loop().time()
            resend_s = self._settings.order_resend_ms / 1000.0
            repetition = classify_repetition(self._agent, ServiceName(requested.service), last, resend_s, now)
            if repetition is Repetition.SENT_AGAIN:
                return result_response(last.result, CONFLICT_STATUS, ErrorCode.ROLLOUT_CONFLICT)
            if repetition is Repetition.UNDECIDABLE:
                return retry_later(ErrorCode.NOT_READY, "an equal order was decided; send this one later")
        return await self._decide(requested, last.result.revision if last is not None else Revision(0))

    async def _decide(self, requested: RolloutBody, after: Revision) -> ControlResponse:
        """Submit a new order.

        :param after: revision at which the last equal order was decided, or 0 if there is none.
        """
        service, candidate = ServiceName(requested.service), VersionName(requested.candidate)
        released = self._released_version(service, candidate)
        if not released and service not in self._agent.view.rollouts:
            return retry_later(ErrorCode.NOT_READY, "no engine of the released version is known here yet")
        settings = self._settings
        plan = plan_for(
            service,
            candidate,
            requested.by_s,
            settings.expose_share,
            int(settings.expose_allowance),
            int(settings.rollback_ms),
            self._rates.per_s(service, RATE_WINDOW_S) * max(1, len(self._agent.membership.present())),
        )
        rollout = rollout_id(requested, after)
        command = PromoteRollout(order=order_id(rollout), rollout=rollout, plan=plan, stable=released)
        outcome = await submit_command(self._driver, command, settings.order_timeout_s)
        return command_response(outcome, CONFLICT_STATUS, ErrorCode.ROLLOUT_CONFLICT)

    def _released_version(self, service: ServiceName, candidate: VersionName) -> VersionName:
        """Return the version, other than the candidate, that most engines run; empty if there is none."""
        serving = (EngineStatus.READY, EngineStatus.LOST, EngineStatus.DRAINING)
        counts = Counter(
            record.version
            for record in self._agent.engines.engines.values()
            if record.service == service and record.version != candidate and record.status in serving
        )
        return min(counts, key=lambda version: (-counts[version], version), default=VersionName(""))

    def _not_proven(self) -> ControlResponse:
        reason = self._agent.not_ready_reason or "no proof from the leader"
        return retry_later(ErrorCode.NOT_READY, f"the newest state is not known here: {reason}")

    async def _show(self, service: ServiceName) -> ControlResponse:
        """Return the newest state of the service's rollout, or 503 without a proof that it is the newest."""
        if not await self._proof.obtain():
            return self._not_proven()
        current = self._agent.gateway.rollouts.get(service)
        if current is None:
            return error_response(404, ErrorCode.NOT_FOUND, f"there is no rollout of {service!r}")
        record = current.record
        now = asyncio.get_running_loop().time()
        state = state_of(record, may_report_done(record, current.since, now))
        return ControlResponse(200, msgspec.json.encode(RolloutStateBody(state, record.candidate)))
