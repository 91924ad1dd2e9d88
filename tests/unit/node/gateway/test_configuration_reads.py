"""A node shows a configuration only with a proof that it is the newest."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any, cast

import pytest

from springmux.agent.agent import NodeAgent
from springmux.control.freshness.events import ProofWanted
from springmux.coordination.state_machine import Event
from springmux.node.driver import AgentDriver
from springmux.node.gateway.configuration_endpoints import (
    PROOF_TIMEOUT_S,
    ConfigurationEndpoints,
)
from springmux.node.gateway.control_responses import ControlResponse
from springmux.node.gateway.settings import GatewaySettings
from springmux.node.http.types import ServerExchange
from tests.unit.node.gateway.scripted_engines import now, play

READ_PROOF_S = 1.0
DOCUMENT = b'{"version":7}'


class Control:
    """The control state's document."""

    def gateway_document(self) -> bytes:
        return DOCUMENT


class StandInAgent:
    """What the endpoints read of an agent, and the driver to it. ``proven_at``: time of its newest proof."""

    def __init__(self, ready: bool = True, proven_at: float = -math.inf) -> None:
        self.ready = ready
        self.not_ready_reason = "" if ready else "cut off"
        self.control = Control()
        self.proven_at = proven_at
        self.events: list[Event] = []
        self.on_wanted: Callable[[], None] = lambda: None

    def state_proof_age_s(self, at: float) -> float:
        return at - self.proven_at

    def submit(self, event: Event) -> None:
        self.events.append(event)
        self.on_wanted()


async def _read(agent: StandInAgent) -> ControlResponse:
    endpoints = ConfigurationEndpoints(cast(NodeAgent, agent), cast(AgentDriver, agent), 4.0, READ_PROOF_S)
    return await endpoints.handle("GET", cast(ServerExchange, None))


def _headers(response: ControlResponse) -> dict[bytes, Any]:
    return dict(response.headers)


def test_a_recent_proof_is_enough_and_nobody_is_asked() -> None:
    """Given a proof that is younger than the bound, the document is shown at once."""

    async def scenario() -> None:
        agent = StandInAgent(proven_at=now() - 0.9 * READ_PROOF_S)
        began = now()
        response = await _read(agent)
        assert (response.status, response.body, agent.events) == (200, DOCUMENT, [])
        assert now() == began

    play(scenario())


def test_without_a_proof_the_leader_is_asked_and_its_answer_waited_for() -> None:
    """Given an old proof and a leader that answers, the document is shown with the new one."""

    async def scenario() -> None:
        agent = StandInAgent(proven_at=now() - 10.0)

        def answered() -> None:
            agent.proven_at = now()

        agent.on_wanted = answered
        response = await _read(agent)
        assert (response.status, response.body) == (200, DOCUMENT)
        assert [type(event) for event in agent.events] == [ProofWanted]

    play(scenario())


@pytest.mark.parametrize("age_s", [2.0 * READ_PROOF_S, math.inf])
def test_without_an_answer_it_is_503_with_a_time_and_in_time(age_s: float) -> None:
    """Given nobody who answers, an operator gets no older document, and is told so within a second."""

    async def scenario() -> None:
        agent = StandInAgent(proven_at=now() - age_s)
        began = now()
        response = await _read(agent)
        assert response.status == 503 and DOCUMENT not in response.body
        assert b"retry-after" in _headers(response)
        assert PROOF_TIMEOUT_S <= now() - began < 1.0

    play(scenario())


def test_a_node_that_is_cut_off_says_so_at_once() -> None:
    """Given a node out of contact, even one with a recent proof, it shows nothing and asks nobody."""

    async def scenario() -> None:
        agent = StandInAgent(ready=False, proven_at=now())
        response = await _read(agent)
        assert response.status == 503 and b"cut off" in response.body
        assert agent.events == []

    play(scenario())


@pytest.mark.parametrize("change_in_force_ms", [200, 500, 2000, 3000])
def test_a_proof_is_younger_than_a_change_may_take_to_be_in_force(change_in_force_ms: float) -> None:
    """Given any deployment's time, an older state is shown to nobody who reads after it."""
    settings = GatewaySettings(
        node="n",
        zone="z",
        host="127.0.0.1",
        front_address="127.0.0.1:1",
        ready_address="127.0.0.1:2",
        control_address="127.0.0.1:3",
        peer_port=4,
        change_in_force_ms=change_in_force_ms,
    )
    assert 0 < settings.read_proof_s < change_in_force_ms / 1000.0


def test_the_interface_takes_the_settings_proof() -> None:
    """Given a proof between two deployments' bounds, the one with the longer bound shows the document."""

    async def scenario() -> None:
        for proof_s, status in ((0.25, 503), (1.0, 200)):
            agent = StandInAgent(proven_at=now() - 0.5)
            endpoints = ConfigurationEndpoints(cast(NodeAgent, agent), cast(AgentDriver, agent), 4.0, proof_s)
            response = await endpoints.handle("GET", cast(ServerExchange, None))
            assert response.status == status

    play(scenario())
