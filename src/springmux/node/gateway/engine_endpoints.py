"""What engines say of themselves over HTTP: alive, draining, gone."""

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
from springmux.node.gateway.replies import Reply, come_back, json_reply
from springmux.node.http.types import ServerExchange
from springmux.vocabulary.engines import EngineLoad, EngineRecord, EngineStatus
from springmux.vocabulary.errors import ErrorCode
from springmux.vocabulary.names import EngineId, ServiceName, VersionName

DEAF_REASONS = frozenset({STARTING, JOINING, CUT_OFF, STOPPING})
"""While a node is so, what an engine says here may reach nobody else: the engine is sent to another node.
This one takes note of it all the same, and so knows engines before it knows its fleet."""
ONLY_INCARNATION = 1
"""Each start of an engine has an identity of its own, so there is one life under each."""
MAX_NAME_LENGTH = 200


class HeartbeatBody(msgspec.Struct, frozen=True):
    """Body of a heartbeat. ``sequence`` rises with each, so that a late one is known."""

    service: str
    address: str
    version: str = ""
    zone: str = ""
    slots: int = 1
    state: Literal["ready", "draining"] = "ready"
    sequence: int = 0


class EngineEndpoints:
    """Turns engines' reports into events of the directory."""

    def __init__(self, agent: NodeAgent, submit: Callable[[Event], None]) -> None:
        self._agent = agent
        self._submit = submit

    async def handle(self, method: str, engine: str, exchange: ServerExchange) -> Reply:
        """Answer one report of ``engine``."""
        body = await exchange.body()
        if not engine or "/" in engine or len(engine) > MAX_NAME_LENGTH:
            return json_reply(400, ErrorCode.INVALID_ORDER, "the path must end with the engine's identity")
        reply = self._hear(method, engine, body)
        reason = self._agent.not_ready_reason
        if reply.status == 200 and not self._agent.ready and reason in DEAF_REASONS:
            return come_back(ErrorCode.NOT_READY, f"not passed on: this node is {reason}; tell another one")
        return reply

    def _hear(self, method: str, engine: str, body: bytes) -> Reply:
        if method == "DELETE":
            self._submit(EngineLeft(EngineId(engine), ONLY_INCARNATION))
            return Reply(200, b"{}")
        if method != "PUT":
            return json_reply(405, ErrorCode.METHOD_NOT_ALLOWED, "use PUT or DELETE")
        return self._hear_heartbeat(engine, body)

    def _hear_heartbeat(self, engine: str, body: bytes) -> Reply:
        try:
            heartbeat = msgspec.json.decode(body, type=HeartbeatBody)
        except msgspec.DecodeError as error:
            return json_reply(400, ErrorCode.INVALID_ORDER, str(error))
        now = asyncio.get_running_loop().time()
        load = EngineLoad(engine=EngineId(engine), running=0, queued=0, measured_at=now)
        self._submit(EngineHeartbeat(record=_record(engine, heartbeat), load=load))
        return Reply(200, b"{}")


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
