"""Reading and changing the gateway's configuration over HTTP."""

from __future__ import annotations

import asyncio

from springmux.agent.agent import NodeAgent
from springmux.control.commands import ApplyGateway, gateway_order_id
from springmux.control.freshness.events import ProofWanted
from springmux.node.driver import AgentDriver
from springmux.node.gateway.replies import Reply, come_back, json_reply, order_reply, submit
from springmux.node.http.types import ServerExchange
from springmux.vocabulary.errors import ErrorCode

BASE_VERSION_HEADER = b"if-match"
PRECONDITION_FAILED = 412
PROOF_WAIT_S = 0.7
"""Operators' clients give an answer a second."""
LOOK_S = 0.02


class ConfigurationEndpoints:
    """``GET``, ``PUT`` (whole) and ``PATCH`` (items by name). ``If-Match`` names the version built on.

    :param proof_s: a state that was the newest this recently may be shown.
    """

    def __init__(self, agent: NodeAgent, driver: AgentDriver, timeout_s: float, proof_s: float) -> None:
        self._agent = agent
        self._driver = driver
        self._timeout_s = timeout_s
        self._proof_s = proof_s

    async def handle(self, method: str, exchange: ServerExchange) -> Reply:
        """Answer one request."""
        if method == "GET":
            return await self._show()
        if method in ("PUT", "PATCH"):
            return await self._change(exchange, partial=method == "PATCH")
        return json_reply(405, ErrorCode.METHOD_NOT_ALLOWED, "use GET, PUT or PATCH")

    async def _show(self) -> Reply:
        """Answer with the newest configuration; a node without a proof of that says 503."""
        proven = self._agent.ready and await self._prove_newest()
        document = self._agent.control.gateway_document()
        if document is None or not proven:
            reason = self._agent.not_ready_reason or "no proof from the leader, or no configuration yet"
            return come_back(ErrorCode.NOT_READY, f"the newest configuration is not known here: {reason}")
        return Reply(200, document)

    async def _prove_newest(self) -> bool:
        """Have the leader asked unless there is a recent proof; say whether there is one in time."""
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + PROOF_WAIT_S
        if self._agent.state_proof_age_s(loop.time()) > self._proof_s:
            self._driver.submit(ProofWanted())
        while self._agent.state_proof_age_s(loop.time()) > self._proof_s:
            if loop.time() >= give_up_at:
                return False
            await asyncio.sleep(LOOK_S)
        return True

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
