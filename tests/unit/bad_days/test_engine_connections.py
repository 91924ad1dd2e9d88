"""All nodes together open no more connections to an engine than its service's ``max_connections``."""

from __future__ import annotations

import msgspec

from springmux.control.gateway_configuration import GatewayService
from tests.unit.bad_days.gateway_fleet import SAFE, SETTLED_S, TEXT, GatewayFleet
from tests.unit.bad_days.model_engines import Behaviour
from tests.unit.node.gateway.scripted_engines import play

MAX_CONNECTIONS = 6
REQUESTS_PER_S = 400.0
SERVICE_S = 0.05
"""Service time at which twenty requests are active at a time."""
END = SETTLED_S + 2.0
SAMPLE_INTERVAL_S = 0.005


def most_connections(max_connections: int) -> int:
    """Return the highest number of exchanges of all nodes that were open at the engine at a time."""
    highest = [0]

    async def scenario() -> None:
        fleet = GatewayFleet(3, nodes=3, engines=0)
        engine = fleet.add_engine("e0", Behaviour(service_s=SERVICE_S, slots=64), first_seen=-100.0)
        configuration = fleet.configure()
        service = GatewayService(TEXT, max_connections=max_connections)
        limited = msgspec.structs.replace(
            configuration, version=configuration.version + 1, services={TEXT: service}
        )
        for node in fleet.nodes:
            fleet.deliver_configuration(node, limited)
        fleet.generate_load(SETTLED_S, END, REQUESTS_PER_S, kinds=(SAFE,))

        def sample() -> None:
            highest[0] = max(highest[0], engine.active_requests)

        for step in range(round(END / SAMPLE_INTERVAL_S)):
            fleet.schedule(step * SAMPLE_INTERVAL_S, sample)
        await fleet.run(END + 1.0)

    play(scenario())
    return highest[0]


def test_the_nodes_together_keep_to_a_services_connections() -> None:
    assert most_connections(MAX_CONNECTIONS) <= MAX_CONNECTIONS


def test_a_higher_limit_allows_more_connections() -> None:
    assert most_connections(64) > MAX_CONNECTIONS
