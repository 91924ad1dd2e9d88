"""Reading and changing the gateway's configuration over HTTP."""

from __future__ import annotations

from springmux.agent.agent import NodeAgent
from springmux.control.commands import ApplyGateway, gateway_order_id
from springmux.node.driver import AgentDriver
from springmux.node.gateway.replies import Reply, come_back, json_reply, order_reply, submit
from springmux.node.http.types import ServerExchange
from springmux.vocabulary.errors import ErrorCode

BASE_VERSION_HEADER = b"if-match"
PRECONDITION_FAILED = 412


class ConfigurationEndpoints:
    """``GET``, ``PUT`` (whole) and ``PATCH`` (items by name). ``If-Match`` names the version built on."""

    def __init__(self, agent: NodeAgent, driver: AgentDriver, timeout_s: float) -> None:
        self._agent = agent
        self._driver = driver
        self._timeout_s = timeout_s

    async def handle(self, method: str, exchange: ServerExchange) -> Reply:
        """Answer one request."""
        if method == "GET":
            return self._show()
        if method in ("PUT", "PATCH"):
            return await self._change(exchange, partial=method == "PATCH")
        return json_reply(405, ErrorCode.METHOD_NOT_ALLOWED, "use GET, PUT or PATCH")

    def _show(self) -> Reply:
        document = self._agent.control.gateway_document()
        if document is None or not self._agent.ready:
            reason = self._agent.not_ready_reason or "no configuration yet"
            return come_back(ErrorCode.NOT_READY, f"the newest configuration is not known here: {reason}")
        return Reply(200, document)

    async def _change(self, exchange: ServerExchange, partial: bool) -> Reply:
        document = await exchange.body()
        base = (exchange.head.header(BASE_VERSION_HEADER) or b"0").strip().strip(b'"')
        if not base.isdigit() or len(base) > 15:
            return json_reply(400, ErrorCode.INVALID_ORDER, "If-Match must be the number of a version")
        base_version = int(base)
        command = ApplyGateway(
            order=gateway_order_id(base_version, document, partial),
            base_version=base_version,
            document=document,
            partial=partial,
        )
        answered = await submit(self._driver, command, self._timeout_s)
        return order_reply(
            answered, PRECONDITION_FAILED, ErrorCode.VERSION_CONFLICT, ErrorCode.INVALID_CONFIGURATION
        )
