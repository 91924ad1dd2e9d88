"""Engines' reports to a node that may be unable to forward them.

Guards against acknowledging a report that reaches no other node, which would leave the engine unknown there.
"""

from __future__ import annotations

import json
from typing import Any, cast

import pytest

from springmux.agent.agent import NodeAgent
from springmux.agent.events import EngineHeartbeat, EngineLeft
from springmux.agent.readiness import CUT_OFF, JOINING, STARTING, STOPPING
from springmux.coordination.state_machine import Event
from springmux.node.gateway.engine_endpoints import EngineEndpoints
from springmux.node.http.types import ServerExchange

HEARTBEAT = {"service": "text", "address": "10.0.0.1:80", "version": "v1", "zone": "north", "slots": 4}


class FakeAgent:
    """The attributes of an agent that the endpoints read."""

    def __init__(self, reason: str) -> None:
        self.ready = not reason
        self.not_ready_reason = reason


class FakeExchange:
    """A request with a body."""

    def __init__(self, body: bytes) -> None:
        self._body = body

    async def body(self) -> bytes:
        return self._body


class ReportEndpoints:
    """The endpoints of one node, and the events that they submitted to its directory."""

    def __init__(self, reason: str) -> None:
        self.events: list[Event] = []
        agent = cast(NodeAgent, FakeAgent(reason))
        self._endpoints = EngineEndpoints(agent, self.events.append)

    async def send(self, method: str, body: Any = HEARTBEAT) -> int:
        exchange = cast(ServerExchange, FakeExchange(json.dumps(body).encode()))
        return (await self._endpoints.handle(method, "e1", exchange)).status


@pytest.mark.parametrize("reason", [STARTING, JOINING, CUT_OFF, STOPPING])
async def test_an_isolated_node_responds_503_to_engines_and_still_applies_their_reports(reason: str) -> None:
    reports = ReportEndpoints(reason)
    assert await reports.send("PUT") == 503
    assert await reports.send("DELETE") == 503
    assert [type(event) for event in reports.events] == [EngineHeartbeat, EngineLeft]


async def test_a_node_in_contact_acknowledges_a_heartbeat() -> None:
    reports = ReportEndpoints("")
    assert await reports.send("PUT") == 200
    assert [type(event) for event in reports.events] == [EngineHeartbeat]


async def test_an_isolated_node_rejects_an_invalid_report_and_does_not_apply_it() -> None:
    reports = ReportEndpoints(JOINING)
    assert await reports.send("PUT", {"service": 7}) == 400
    assert await reports.send("POST") == 405
    assert reports.events == []
