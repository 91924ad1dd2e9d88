"""The admin listener, for operators and engines: all endpoint groups, health, status and metrics."""

from __future__ import annotations

import asyncio
from typing import Any, Protocol, cast

import msgspec
from aiohttp import web
from aiohttp.typedefs import Handler

from springmux.agent.status import NodeStatusReport
from springmux.node.addresses import split_address
from springmux.node.admin.control_endpoints import ControlAgent, ControlEndpoints
from springmux.node.admin.engine_endpoints import EngineEndpoints
from springmux.node.admin.errors import error_middleware, rejection_error
from springmux.node.admin.fault_endpoint import FaultEndpoint
from springmux.node.admin.json_bodies import json_response
from springmux.node.admin.order_submission import OrderSubmitter
from springmux.node.admin.protocol import AdminProtocol
from springmux.node.admin.rollout_endpoints import RolloutEndpoints, RolloutsAgent
from springmux.node.admin.rollout_history import RolloutHistory
from springmux.node.client.body_reader import BodyRejectedError, read_body
from springmux.node.client.protocol import quiet_logger
from springmux.node.driver import AgentDriver
from springmux.node.fault_injection import FaultInjector
from springmux.node.health import HEALTH_BODY, HEALTH_PATH, READY_PATH, NodeHealth, ReadyAgent
from springmux.node.http.sockets import accept_gradually
from springmux.node.logs import EventLog
from springmux.node.metrics.registry import NodeMetrics
from springmux.node.metrics.table import EXPOSITION_TYPE
from springmux.node.resources.connection_limit import ConnectionLimit
from springmux.node.resources.process_resources import ProcessResources
from springmux.node.service_rates import ServiceRates
from springmux.node.settings import NodeSettings

BODY_MARGIN_BYTES = 64 << 10
"""Bodies up to this much over the configuration's limit are read, so that the error can name the limit."""
CLOSE_TIMEOUT_S = 1.0
LISTEN_BACKLOG = 1024


class AdminAgent(RolloutsAgent, ControlAgent, ReadyAgent, Protocol):
    """Interface of the node's agent, as the admin listener reads it."""

    def status(self) -> NodeStatusReport:
        """Return the agent's part of ``GET /v1/status``."""


class StatusBody(msgspec.Struct, frozen=True):
    """Response of ``GET /v1/status``: the agent's report, and state that only this process knows."""

    node: Any
    ready: bool
    reason: str
    replica_stopped: str
    replica_action: str


class AdminListener:
    """Serves the admin interface that docs/API.md describes."""

    def __init__(
        self,
        settings: NodeSettings,
        agent: AdminAgent,
        driver: AgentDriver,
        metrics: NodeMetrics,
        log: EventLog,
        history: RolloutHistory,
        rates: ServiceRates,
        health: NodeHealth,
        resources: ProcessResources | None = None,
        fault_injector: FaultInjector | None = None,
    ) -> None:
        self._settings = settings
        self._resources = resources or ProcessResources(settings.memory_mb, settings.max_descriptors)
        max_connections = self._resources.connections.control
        self._connections = ConnectionLimit(lambda: max_connections, asyncio.get_running_loop().time)
        self._server: asyncio.Server | None = None
        self._agent = agent
        self._driver = driver
        self._metrics = metrics
        self._health = health
        self._application = web.Application(
            client_max_size=settings.max_configuration_bytes + BODY_MARGIN_BYTES,
            middlewares=[error_middleware(settings.node, log), self._count_body],
        )
        self._add_own_routes()
        router = self._application.router
        orders = OrderSubmitter(driver, metrics, settings.order_timeout_s, settings.node)
        EngineEndpoints(driver.submit, lambda: agent.engines, health).add_routes(router)
        ControlEndpoints(agent, orders, settings.max_configuration_bytes).add_routes(router)
        RolloutEndpoints(agent, orders, history, rates).add_routes(router)
        if fault_injector is not None:
            FaultEndpoint(fault_injector).add_routes(router)
        self._runner = web.AppRunner(
            self._application, access_log=None, logger=quiet_logger, shutdown_timeout=CLOSE_TIMEOUT_S
        )

    def _add_own_routes(self) -> None:
        router = self._application.router
        router.add_get(HEALTH_PATH, self._liveness)
        router.add_get(READY_PATH, self._ready)
        router.add_get("/metrics", self._metrics_exposition)
        router.add_get("/v1/status", self._status)

    async def listen(self) -> None:
        """Accept operators and engines.

        :raises OSError: the address can't be bound.
        """
        await self._runner.setup()
        host, port = split_address(self._settings.admin_address)
        self._server = await accept_gradually(self._make_protocol, host, port, LISTEN_BACKLOG)

    async def close(self) -> None:
        """Stop listening, and close open connections."""
        if self._server is not None:
            self._server.close()
        await self._runner.cleanup()

    def _make_protocol(self) -> AdminProtocol:
        return AdminProtocol(self._runner.server, self._settings.node, self._resources, self._connections)

    @web.middleware
    async def _count_body(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Read the body, within the process's memory, before the handler does; aiohttp keeps it."""
        protocol = cast(AdminProtocol, request.protocol)
        protocol.begin_request()
        try:
            if request.body_exists:
                limit_bytes = self._settings.max_configuration_bytes + BODY_MARGIN_BYTES
                request._read_bytes = await read_body(request, protocol, limit_bytes)  # noqa: SLF001 - where aiohttp keeps a body
            return await handler(request)
        except BodyRejectedError as rejected:
            raise rejection_error(rejected) from None
        finally:
            protocol.end_request()

    async def _liveness(self, _: web.Request) -> web.Response:
        return web.Response(body=HEALTH_BODY, content_type="text/plain")

    async def _ready(self, _: web.Request) -> web.Response:
        readiness = self._health.readiness()
        return json_response(readiness, status=200 if readiness.ready else 503)

    async def _metrics_exposition(self, _: web.Request) -> web.Response:
        return web.Response(body=self._metrics.exposition(), headers={"Content-Type": EXPOSITION_TYPE})

    async def _status(self, _: web.Request) -> web.Response:
        readiness = self._health.readiness()
        stopped = self._driver.replica_stopped_reason
        action = "none: the node is about to begin anew as a new replica"
        if not self._driver.replica_abandoned.is_set():
            action = "move the data folder away and restart the node: it rejoins as a new replica"
        body = StatusBody(
            node=self._agent.status(),
            ready=readiness.ready,
            reason=readiness.reason,
            replica_stopped=stopped,
            replica_action=action if stopped else "",
        )
        return json_response(body)
