"""Reports of engines, which real endpoints pass to a real directory; a fleet's forwarders use its view."""

from __future__ import annotations

import asyncio
import random

import msgspec

from springmux.agent.directory.engine_directory import EngineDirectory
from springmux.coordination.identifiers import NodeId
from springmux.coordination.state_machine import Event, Tick
from springmux.node.gateway.engine_endpoints import EngineEndpoints, HeartbeatBody
from springmux.vocabulary.names import EngineId
from tests.unit.bad_days.gateway_fleet import TEXT, V1, GatewayFleet
from tests.unit.bad_days.model_engines import Behaviour, ModelEngine
from tests.unit.node.gateway.scripted_engines import now
from tests.unit.node.gateway.stand_ins import RecordingClient

MONITOR_PERIOD_S = 0.1
SERVICE_S = 0.2


class ReportingNode:
    """Stands in for the agent of the node to which engines report."""

    def __init__(self, reason: str = "") -> None:
        self.not_ready_reason = reason
        self.ready = not reason

    def stop_is_confirmed(self, engine: EngineId, since: float, now: float) -> bool:
        return True


class EngineReports:
    """Delivers reports of engines to the directory that the nodes of a fleet use."""

    def __init__(self, fleet: GatewayFleet, reason: str = "") -> None:
        self._fleet = fleet
        self.directory = EngineDirectory(NodeId("n0"), random.Random(1))
        self._endpoints = EngineEndpoints(ReportingNode(reason), self._handle_event)  # type: ignore[arg-type]

    async def put(self, engine: str, sequence: int, state: str = "ready") -> int:
        """Send a heartbeat and return the status of the response."""
        heartbeat = HeartbeatBody(TEXT, f"{engine}:80", V1, slots=32, state=state, sequence=sequence)  # type: ignore[arg-type]
        return await self.put_heartbeat(engine, heartbeat)

    async def put_heartbeat(self, engine: str, heartbeat: HeartbeatBody) -> int:
        """Send any heartbeat and return the status of the response."""
        request = RecordingClient(body=msgspec.json.encode(heartbeat))
        return (await self._endpoints.handle("PUT", engine, request)).status

    async def delete(self, engine: str) -> int:
        """Send a DELETE and return the status of the response."""
        return (await self._endpoints.handle("DELETE", engine, RecordingClient(body=b""))).status

    async def monitor_heartbeats(self) -> None:
        """Let the directory notice missing heartbeats until the task is cancelled."""
        while True:
            await asyncio.sleep(MONITOR_PERIOD_S)
            self._handle_event(Tick())

    def _handle_event(self, event: Event) -> None:
        self.directory.handle(event, now())
        for node in self._fleet.nodes:
            node.core.update_engines(self.directory.view, now())


def add_reporting_engines(fleet: GatewayFleet) -> None:
    """Start e0 and e1, which the directory doesn't know yet."""
    for name in ("e0", "e1"):
        fleet.engine_client.engines[name] = ModelEngine(name, Behaviour(service_s=SERVICE_S))
