"""A node shows its configuration only with a proof that it is the newest.

Guards against an operator who reads an outdated configuration after a change was acknowledged.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any, cast

import pytest

from springmux.agent.agent import NodeAgent
from springmux.control.freshness.events import ProofRequested
from springmux.coordination.state_machine import Event
from springmux.node.driver import AgentDriver
from springmux.node.gateway.configuration_endpoints import ConfigurationEndpoints
from springmux.node.gateway.control_responses import ControlResponse
from springmux.node.gateway.state_proof import PROOF_TIMEOUT_S
from springmux.node.http.types import ServerExchange
from tests.unit.node.gateway.scripted_engines import now, play
from tests.unit.node.gateway.stand_ins import gateway_settings

READ_PROOF_S = 1.0
DOCUMENT = b'{"version":7}'


class FakeControlState:
    """The control state's document."""

    def gateway_document(self) -> bytes:
        return DOCUMENT


class FakeAgent:
    """Stands for the agent and its driver. ``proven_at``: time of the newest proof."""

    def __init__(self, ready: bool = True, proven_at: float = -math.inf) -> None:
        self.ready = ready
        self.not_ready_reason = "" if ready else "cut off"
        self.control = FakeControlState()
        self.proven_at = proven_at
        self.events: list[Event] = []
        self.on_proof_requested: Callable[[], None] = lambda: None

    def state_proof_age_s(self, at: float) -> float:
        return at - self.proven_at

    def submit(self, event: Event) -> None:
        self.events.append(event)
        self.on_proof_requested()


async def _read(agent: FakeAgent) -> ControlResponse:
    endpoints = ConfigurationEndpoints(cast(NodeAgent, agent), cast(AgentDriver, agent), 4.0, READ_PROOF_S)
    return await endpoints.handle("GET", cast(ServerExchange, None))


def _headers(response: ControlResponse) -> dict[bytes, Any]:
    return dict(response.headers)


def test_with_a_recent_proof_the_leader_is_not_contacted() -> None:
    """Given a proof below the maximum age, the document is returned immediately."""

    async def scenario() -> None:
        agent = FakeAgent(proven_at=now() - 0.9 * READ_PROOF_S)
        began_at = now()
        response = await _read(agent)
        assert (response.status, response.body, agent.events) == (200, DOCUMENT, [])
        assert now() == began_at

    play(scenario())


def test_without_a_recent_proof_the_node_waits_for_one_from_the_leader() -> None:
    """Given an old proof and a leader that sends a new one, the document is returned."""

    async def scenario() -> None:
        agent = FakeAgent(proven_at=now() - 10.0)

        def send_proof() -> None:
            agent.proven_at = now()

        agent.on_proof_requested = send_proof
        response = await _read(agent)
        assert (response.status, response.body) == (200, DOCUMENT)
        assert [type(event) for event in agent.events] == [ProofRequested]

    play(scenario())


@pytest.mark.parametrize("age_s", [2.0 * READ_PROOF_S, math.inf])
def test_without_a_proof_in_time_the_response_is_503_with_retry_after(age_s: float) -> None:
    """Given no leader, an operator gets no outdated document, and a response within a second."""

    async def scenario() -> None:
        agent = FakeAgent(proven_at=now() - age_s)
        began_at = now()
        response = await _read(agent)
        assert response.status == 503 and DOCUMENT not in response.body
        assert b"retry-after" in _headers(response)
        assert PROOF_TIMEOUT_S <= now() - began_at < 1.0

    play(scenario())


def test_a_node_without_contact_responds_503_immediately() -> None:
    """Given a node out of contact with a recent proof, it returns no document and requests no proof."""

    async def scenario() -> None:
        agent = FakeAgent(ready=False, proven_at=now())
        response = await _read(agent)
        assert response.status == 503 and b"cut off" in response.body
        assert agent.events == []

    play(scenario())


@pytest.mark.parametrize("change_in_force_ms", [200, 500, 2000, 3000])
def test_the_maximum_age_of_a_proof_is_below_the_time_for_a_change(change_in_force_ms: float) -> None:
    """Given any ``change_in_force_ms``, no reader gets an older state once that time has passed."""
    settings = gateway_settings(change_in_force_ms=change_in_force_ms)
    assert 0 < settings.read_proof_s < change_in_force_ms / 1000.0


def test_the_endpoints_apply_the_configured_age_of_a_proof() -> None:
    """Given a proof whose age is between two limits, only the longer limit allows the document."""

    async def scenario() -> None:
        for proof_s, status in ((0.25, 503), (1.0, 200)):
            agent = FakeAgent(proven_at=now() - 0.5)
            endpoints = ConfigurationEndpoints(cast(NodeAgent, agent), cast(AgentDriver, agent), 4.0, proof_s)
            response = await endpoints.handle("GET", cast(ServerExchange, None))
            assert response.status == status

    play(scenario())
