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
from springmux.node.gateway.engine_endpoints import (
    CONFIRMATION_POLL_S,
    CONFIRMATION_TIMEOUT_S,
    EngineEndpoints,
)
from springmux.node.http.types import ServerExchange
from springmux.vocabulary.names import EngineId
from tests.unit.node.gateway.scripted_engines import now, play

HEARTBEAT = {"service": "text", "address": "10.0.0.1:80", "version": "v1", "zone": "north", "slots": 4}


class FakeAgent:
    """The attributes of an agent that the endpoints read."""

    def __init__(self, reason: str) -> None:
        self.ready = not reason
        self.not_ready_reason = reason
        self.confirmed_after_s = 0.0

    def stop_is_confirmed(self, engine: EngineId, since: float, now: float) -> bool:
        return now >= since + self.confirmed_after_s


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
        self.agent = FakeAgent(reason)
        self._endpoints = EngineEndpoints(cast(NodeAgent, self.agent), self.events.append)

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


@pytest.mark.parametrize("method", ["PUT", "DELETE"])
@pytest.mark.parametrize(("after_s", "status"), [(0.0, 200), (0.5, 200), (5.0, 503)])
def test_a_stop_is_acknowledged_once_it_is_confirmed(method: str, after_s: float, status: int) -> None:
    """Guards against a node that was just cut off and acknowledges a stop of which nobody else hears."""

    async def scenario() -> None:
        reports = ReportEndpoints("")
        reports.agent.confirmed_after_s = after_s
        began_at = now()
        assert await reports.send(method, {**HEARTBEAT, "state": "draining"}) == status
        assert now() - began_at <= min(after_s, CONFIRMATION_TIMEOUT_S) + 2 * CONFIRMATION_POLL_S

    play(scenario())


async def test_a_heartbeat_of_a_ready_engine_is_acknowledged_at_once() -> None:
    reports = ReportEndpoints("")
    reports.agent.confirmed_after_s = 5.0
    assert await reports.send("PUT") == 200


async def test_an_isolated_node_rejects_an_invalid_report_and_does_not_apply_it() -> None:
    reports = ReportEndpoints(JOINING)
    assert await reports.send("PUT", {"service": 7}) == 400
    assert await reports.send("POST") == 405
    assert reports.events == []
