"""What a node that can't pass an engine's report on does with it."""

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


class StandInAgent:
    """The part of an agent that the endpoints read."""

    def __init__(self, reason: str) -> None:
        self.ready = not reason
        self.not_ready_reason = reason


class StandInExchange:
    """A request with a body."""

    def __init__(self, body: bytes) -> None:
        self._body = body

    async def body(self) -> bytes:
        return self._body


class Reports:
    """The endpoints of one node, and what they told its directory."""

    def __init__(self, reason: str) -> None:
        self.events: list[Event] = []
        agent = cast(NodeAgent, StandInAgent(reason))
        self._endpoints = EngineEndpoints(agent, self.events.append)

    async def send(self, method: str, body: Any = HEARTBEAT) -> int:
        exchange = cast(ServerExchange, StandInExchange(json.dumps(body).encode()))
        return (await self._endpoints.handle(method, "e1", exchange)).status


@pytest.mark.parametrize("reason", [STARTING, JOINING, CUT_OFF, STOPPING])
async def test_a_node_without_contact_sends_an_engine_on_and_still_takes_note_of_it(reason: str) -> None:
    reports = Reports(reason)
    assert await reports.send("PUT") == 503
    assert await reports.send("DELETE") == 503
    assert [type(event) for event in reports.events] == [EngineHeartbeat, EngineLeft]


async def test_a_node_in_contact_acknowledges() -> None:
    reports = Reports("")
    assert await reports.send("PUT") == 200
    assert [type(event) for event in reports.events] == [EngineHeartbeat]


async def test_a_report_that_can_not_be_read_is_refused_and_not_noted_without_contact_too() -> None:
    reports = Reports(JOINING)
    assert await reports.send("PUT", {"service": 7}) == 400
    assert await reports.send("POST") == 405
    assert reports.events == []
