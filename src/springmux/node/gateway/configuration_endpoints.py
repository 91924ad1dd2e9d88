"""HTTP endpoints that read and change the gateway's configuration."""

from __future__ import annotations

from springmux.agent.agent import NodeAgent
from springmux.control.commands import ApplyGateway, gateway_order_id
from springmux.node.driver import AgentDriver
from springmux.node.gateway.control_responses import (
    ControlResponse,
    command_response,
    error_response,
    retry_later,
    submit_command,
)
from springmux.node.gateway.state_proof import StateProof
from springmux.node.http.types import ServerExchange
from springmux.vocabulary.errors import ErrorCode

BASE_VERSION_HEADER = b"if-match"
PRECONDITION_FAILED = 412


class ConfigurationEndpoints:
    """Handles ``GET``, ``PUT`` (whole document) and ``PATCH`` (items by name).

    The header ``If-Match`` states the version that a change is based on.

    :param timeout_s: how long to wait for the outcome of a change, in seconds.
    :param proof_s: maximum age in seconds of a proof that the shown configuration was the newest.
    """

    def __init__(self, agent: NodeAgent, driver: AgentDriver, timeout_s: float, proof_s: float) -> None:
        self._agent = agent
        self._driver = driver
        self._timeout_s = timeout_s
        self._proof = StateProof(agent, driver, proof_s)

    async def handle(self, method: str, exchange: ServerExchange) -> ControlResponse:
        """Respond to one request."""
        if method == "GET":
            return await self._show()
        if method in ("PUT", "PATCH"):
            return await self._change(exchange, partial=method == "PATCH")
        return error_response(405, ErrorCode.METHOD_NOT_ALLOWED, "use GET, PUT or PATCH")

    async def _show(self) -> ControlResponse:
        """Return the newest configuration, or 503 without a proof that it is the newest."""
        proven = await self._proof.obtain()
        document = self._agent.control.gateway_document()
        if document is None or not proven:
            reason = self._agent.not_ready_reason or "no proof from the leader, or no configuration yet"
            return retry_later(ErrorCode.NOT_READY, f"the newest configuration is not known here: {reason}")
        return ControlResponse(200, document)

    async def _change(self, exchange: ServerExchange, partial: bool) -> ControlResponse:
        document = await exchange.body()
        base = (exchange.head.header(BASE_VERSION_HEADER) or b"0").strip().strip(b'"')
        if not base.isdigit() or len(base) > 15:
            return error_response(400, ErrorCode.INVALID_ORDER, "If-Match must be the number of a version")
        base_version = int(base)
        command = ApplyGateway(
            order=gateway_order_id(base_version, document, partial),
            base_version=base_version,
            document=document,
            partial=partial,
        )
        outcome = await submit_command(self._driver, command, self._timeout_s)
        return command_response(
            outcome, PRECONDITION_FAILED, ErrorCode.VERSION_CONFLICT, ErrorCode.INVALID_CONFIGURATION
        )
