"""Handler of the control listener: engine reports, configuration, rollouts, readiness, status, metrics."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec

from springmux.agent.agent import NodeAgent
from springmux.node.driver import AgentDriver
from springmux.node.gateway.configuration_endpoints import ConfigurationEndpoints
from springmux.node.gateway.control_responses import (
    METRICS_HEADERS,
    TEXT_HEADERS,
    ControlResponse,
    error_response,
)
from springmux.node.gateway.engine_endpoints import EngineEndpoints
from springmux.node.gateway.rollout_endpoints import RolloutEndpoints
from springmux.node.gateway.settings import GatewaySettings
from springmux.node.gateway.status_endpoint import gateway_status
from springmux.node.http.types import BodyTooLargeError, ServerExchange
from springmux.node.metrics.registry import NodeMetrics
from springmux.node.service_rates import ServiceRates
from springmux.vocabulary.errors import ErrorCode

READY_PATH = "/readyz"
HEALTH_PATH = "/healthz"
STATUS_PATH = "/v1/status"
METRICS_PATH = "/metrics"
GATEWAY_STATUS_PATH = "/v1/gateway/status"
CONFIGURATION_PATH = "/v1/gateway/configuration"
ENGINES_PATH = "/v1/gateway/engines/"
ROLLOUTS_PATH = "/v1/gateway/rollouts"


class ReadyBody(msgspec.Struct, frozen=True):
    """Body of the response to a readiness check."""

    ready: bool
    reason: str


class Readiness(Protocol):
    """Interface to the readiness of :class:`springmux.node.gateway.gateway_node.GatewayNode`."""

    def readiness(self) -> ReadyBody:
        """Return whether clients should be sent to this node, and why not."""
        ...


class ControlInterface:
    """Dispatches requests to the control listener to their endpoints."""

    def __init__(
        self,
        settings: GatewaySettings,
        agent: NodeAgent,
        driver: AgentDriver,
        metrics: NodeMetrics,
        readiness: Readiness,
        rates: ServiceRates,
    ) -> None:
        self._agent = agent
        self._driver = driver
        self._metrics = metrics
        self._readiness = readiness
        self._engines = EngineEndpoints(agent, driver.submit)
        self._configuration = ConfigurationEndpoints(
            agent, driver, settings.order_timeout_s, settings.read_proof_s
        )
        self._rollouts = RolloutEndpoints(settings, agent, driver, rates)

    async def handle(self, exchange: ServerExchange) -> None:
        """Respond to one request of an operator, an engine or the platform's readiness check."""
        path = exchange.head.target.partition(b"?")[0].decode("latin-1")
        try:
            response = await self._respond(exchange, path)
        except BodyTooLargeError:
            response = error_response(413, ErrorCode.BODY_TOO_LARGE, "the body is too large")
        exchange.respond(response.status, response.headers, response.body)

    def ready_response(self) -> ControlResponse:
        """Return the response to a readiness check."""
        readiness = self._readiness.readiness()
        return ControlResponse(200 if readiness.ready else 503, msgspec.json.encode(readiness))

    async def _respond(self, exchange: ServerExchange, path: str) -> ControlResponse:
        method = exchange.head.method.decode("latin-1")
        if path.startswith(ENGINES_PATH):
            return await self._engines.handle(method, path.removeprefix(ENGINES_PATH), exchange)
        if path == CONFIGURATION_PATH:
            return await self._configuration.handle(method, exchange)
        if path == ROLLOUTS_PATH or path.startswith(ROLLOUTS_PATH + "/"):
            service = path.removeprefix(ROLLOUTS_PATH).removeprefix("/")
            return await self._rollouts.handle(method, service, exchange)
        respond = self._fixed_paths().get(path)
        if respond is None or method != "GET":
            return error_response(404, ErrorCode.NOT_FOUND, "there is no such path")
        return respond()

    def _fixed_paths(self) -> dict[str, Callable[[], ControlResponse]]:
        return {
            READY_PATH: self.ready_response,
            HEALTH_PATH: lambda: ControlResponse(200, b"ok\n", TEXT_HEADERS),
            STATUS_PATH: self._status,
            GATEWAY_STATUS_PATH: self._gateway_status,
            METRICS_PATH: lambda: ControlResponse(200, self._metrics.exposition(), METRICS_HEADERS),
        }

    def _status(self) -> ControlResponse:
        return ControlResponse(200, msgspec.json.encode(self._agent.status()))

    def _gateway_status(self) -> ControlResponse:
        readiness = self._readiness.readiness()
        stopped = self._driver.replica_stopped_reason
        now = asyncio.get_running_loop().time()
        body = gateway_status(self._agent, readiness.ready, readiness.reason, stopped, now)
        return ControlResponse(200, msgspec.json.encode(body))


def ready_handler(interface: ControlInterface) -> Callable[[ServerExchange], Awaitable[None]]:
    """Return the handler of the listener that serves readiness checks only."""

    async def handle(exchange: ServerExchange) -> None:
        await asyncio.sleep(0)
        response = interface.ready_response()
        if exchange.head.target.partition(b"?")[0] != READY_PATH.encode():
            response = error_response(404, ErrorCode.NOT_FOUND, "there is no such path")
        exchange.respond(response.status, response.headers, response.body)

    return handle
