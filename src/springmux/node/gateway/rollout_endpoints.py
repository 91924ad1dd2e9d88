"""Ordering and watching rollouts of the gateway's services over HTTP."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Annotated

import msgspec
import xxhash

from springmux.agent.agent import NodeAgent
from springmux.control.commands import CONTENT_ORDER_PREFIX, PromoteRollout
from springmux.node.driver import AgentDriver
from springmux.node.gateway.replies import Reply, come_back, json_reply, order_reply, submit
from springmux.node.gateway.settings import GatewaySettings
from springmux.node.http.types import ServerExchange
from springmux.node.service_rates import ServiceRates
from springmux.rollout.planning.standard_plan import plan_for
from springmux.rollout.reported_state import may_report_done, state_of
from springmux.vocabulary.engines import EngineStatus
from springmux.vocabulary.errors import ErrorCode
from springmux.vocabulary.names import OrderId, RolloutId, ServiceName, VersionName

CONFLICT = 409
RECENT_S = 3.0
"""Time over which the ordering node looks at its traffic; longer would count the time before it began."""


class RolloutBody(msgspec.Struct, frozen=True):
    """Body of an order: move a service's traffic to the engines of a version within ``by_s`` seconds."""

    service: str
    candidate: str
    by_s: Annotated[float, msgspec.Meta(gt=0)]


class RolloutStateBody(msgspec.Struct, frozen=True):
    """Answer of a rollout's state: running, done or aborted."""

    state: str
    candidate: str


class RolloutEndpoints:
    """``POST`` begins a rollout, ``GET`` of a service tells its state."""

    def __init__(
        self, settings: GatewaySettings, agent: NodeAgent, driver: AgentDriver, rates: ServiceRates
    ) -> None:
        self._rates = rates
        self._settings = settings
        self._agent = agent
        self._driver = driver

    async def handle(self, method: str, service: str, exchange: ServerExchange) -> Reply:
        """Answer one request."""
        if method == "POST" and not service:
            return await self._promote(await exchange.body())
        if method == "GET" and service:
            return self._show(ServiceName(service))
        return json_reply(405, ErrorCode.METHOD_NOT_ALLOWED, "use POST, or GET with a service's name")

    async def _promote(self, body: bytes) -> Reply:
        try:
            wanted = msgspec.json.decode(body, type=RolloutBody)
        except msgspec.DecodeError as error:
            return json_reply(400, ErrorCode.INVALID_ORDER, str(error))
        service, candidate = ServiceName(wanted.service), VersionName(wanted.candidate)
        released = self._released(service, candidate)
        if not released and service not in self._agent.view.rollouts:
            return come_back(ErrorCode.NOT_READY, "no engine of the released version is known here yet")
        settings = self._settings
        plan = plan_for(
            service,
            candidate,
            wanted.by_s,
            settings.expose_share,
            int(settings.expose_allowance),
            int(settings.rollback_ms),
            self._rates.per_s(service, RECENT_S) * max(1, len(self._agent.membership.present())),
        )
        # Made from the order itself, so that the same one sent again to any node means the same rollout.
        identity = xxhash.xxh3_128_hexdigest(msgspec.json.encode(wanted))
        command = PromoteRollout(
            order=OrderId(f"{CONTENT_ORDER_PREFIX}{identity}"),
            rollout=RolloutId(identity),
            plan=plan,
            stable=released,
        )
        answered = await submit(self._driver, command, settings.order_timeout_s)
        return order_reply(answered, CONFLICT, ErrorCode.ROLLOUT_CONFLICT)

    def _released(self, service: ServiceName, candidate: VersionName) -> VersionName:
        """Return the version that most engines run beside the candidate; empty if there is none."""
        serving = (EngineStatus.READY, EngineStatus.LOST, EngineStatus.DRAINING)
        counts = Counter(
            record.version
            for record in self._agent.engines.engines.values()
            if record.service == service and record.version != candidate and record.status in serving
        )
        return min(counts, key=lambda version: (-counts[version], version), default=VersionName(""))

    def _show(self, service: ServiceName) -> Reply:
        in_force = self._agent.gateway.rollouts.get(service)
        if in_force is None:
            if not self._agent.ready:
                return come_back(ErrorCode.NOT_READY, self._agent.not_ready_reason)
            return json_reply(404, ErrorCode.NOT_FOUND, f"there is no rollout of {service!r}")
        record = in_force.record
        now = asyncio.get_running_loop().time()
        state = state_of(record, may_report_done(record, in_force.since, now))
        return Reply(200, msgspec.json.encode(RolloutStateBody(state, record.candidate)))
