"""HTTP endpoints for engines' reports: heartbeats (ready or draining) and departures."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Literal

import msgspec

from springmux.agent.agent import NodeAgent
from springmux.agent.events import EngineHeartbeat, EngineLeft
from springmux.agent.readiness import CUT_OFF, JOINING, STARTING, STOPPING
from springmux.coordination.identifiers import Address, ZoneName
from springmux.coordination.state_machine import Event
from springmux.node.gateway.control_responses import ControlResponse, error_response, retry_later
from springmux.node.gateway.polling import wait_until
from springmux.node.http.types import ServerExchange
from springmux.vocabulary.engines import EngineLoad, EngineRecord, EngineStatus
from springmux.vocabulary.errors import ErrorCode
from springmux.vocabulary.names import EngineId, ServiceName, VersionName

ISOLATED_REASONS = frozenset({STARTING, JOINING, CUT_OFF, STOPPING})
"""Reasons for not being ready for which a report might reach no other node; the engine then gets a 503.

The report is still applied here, so that this node knows engines before it is in contact with its fleet.
"""
ONLY_INCARNATION = 1
"""Incarnation of every engine. An engine gets a new identity at each start, so each has one incarnation."""
MAX_NAME_LENGTH = 200
ACKNOWLEDGED = 200
CONFIRMATION_TIMEOUT_S = 0.9
"""Time to wait until a stop is confirmed; engines wait 1 s for the response."""
CONFIRMATION_POLL_S = 0.01


class HeartbeatBody(msgspec.Struct, frozen=True):
    """Body of a heartbeat. ``sequence`` increases with each heartbeat, so that a late one is detected."""

    service: str
    address: str
    version: str = ""
    zone: str = ""
    slots: int = 1
    state: Literal["ready", "draining"] = "ready"
    sequence: int = 0


class EngineEndpoints:
    """Translates engines' reports into events of the engine directory."""

    def __init__(self, agent: NodeAgent, submit: Callable[[Event], None]) -> None:
        self._agent = agent
        self._submit = submit

    async def handle(self, method: str, engine: str, exchange: ServerExchange) -> ControlResponse:
        """Apply one report of ``engine`` and return the response."""
        body = await exchange.body()
        if not engine or "/" in engine or len(engine) > MAX_NAME_LENGTH:
            return error_response(
                400, ErrorCode.INVALID_ORDER, "the path must end with the engine's identity"
            )
        if method == "DELETE":
            self._submit(EngineLeft(EngineId(engine), ONLY_INCARNATION))
            return await self._acknowledge_stop(EngineId(engine))
        if method != "PUT":
            return error_response(405, ErrorCode.METHOD_NOT_ALLOWED, "use PUT or DELETE")
        try:
            heartbeat = msgspec.json.decode(body, type=HeartbeatBody)
        except msgspec.DecodeError as error:
            return error_response(400, ErrorCode.INVALID_ORDER, str(error))
        self._apply_heartbeat(engine, heartbeat)
        if heartbeat.state == "draining":
            return await self._acknowledge_stop(EngineId(engine))
        return self._acknowledge()

    def _acknowledge(self) -> ControlResponse:
        reason = self._agent.not_ready_reason
        if not self._agent.ready and reason in ISOLATED_REASONS:
            return retry_later(ErrorCode.NOT_READY, f"not passed on: this node is {reason}; tell another one")
        return ControlResponse(ACKNOWLEDGED, b"{}")

    async def _acknowledge_stop(self, engine: EngineId) -> ControlResponse:
        """Acknowledge a drain or departure once it is sure to reach all nodes.

        A node notices with a delay that it is cut off, and an acknowledged stop binds the whole fleet.
        """
        response = self._acknowledge()
        if response.status != ACKNOWLEDGED:
            return response
        loop = asyncio.get_running_loop()
        since = loop.time()
        confirmed = await wait_until(
            lambda: self._agent.stop_is_confirmed(engine, since, loop.time()),
            since + CONFIRMATION_TIMEOUT_S,
            CONFIRMATION_POLL_S,
        )
        if not confirmed:
            return retry_later(ErrorCode.NOT_READY, "no other node confirmed it; tell another one")
        return self._acknowledge()

    def _apply_heartbeat(self, engine: str, heartbeat: HeartbeatBody) -> None:
        now = asyncio.get_running_loop().time()
        load = EngineLoad(engine=EngineId(engine), running=0, queued=0, measured_at=now)
        self._submit(EngineHeartbeat(record=_record(engine, heartbeat), load=load))


def _record(engine: str, heartbeat: HeartbeatBody) -> EngineRecord:
    return EngineRecord(
        engine=EngineId(engine),
        service=ServiceName(heartbeat.service),
        version=VersionName(heartbeat.version),
        address=Address(heartbeat.address),
        capacity=max(1, heartbeat.slots),
        incarnation=ONLY_INCARNATION,
        sequence=heartbeat.sequence,
        status=EngineStatus(heartbeat.state),
        zone=ZoneName(heartbeat.zone),
    )
