"""All nodes together hold no more connections to an engine than its service's ``max_connections``."""

from __future__ import annotations

import msgspec

from springmux.control.gateway_configuration import GatewayService
from tests.unit.bad_days.gateway_fleet import SAFE, SETTLED_S, TEXT, GatewayFleet
from tests.unit.bad_days.model_engines import Behaviour
from tests.unit.node.gateway.scripted_engines import play

MAX_CONNECTIONS = 6
PER_S = 400.0
SERVICE_S = 0.05
"""So that twenty requests are under way at a time."""
END = SETTLED_S + 2.0
LOOK_S = 0.005


def most_connections(max_connections: int) -> int:
    """Return the most exchanges that were open at one engine, over all nodes."""
    most = [0]

    async def story() -> None:
        fleet = GatewayFleet(3, nodes=3, engines=0)
        engine = fleet.add_engine("e0", Behaviour(service_s=SERVICE_S, slots=64), first_seen=-100.0)
        usual = fleet.configure()
        service = GatewayService(TEXT, max_connections=max_connections)
        limited = msgspec.structs.replace(usual, version=usual.version + 1, services={TEXT: service})
        for node in fleet.nodes:
            fleet.deliver(node, limited)
        fleet.press(SETTLED_S, END, PER_S, kinds=(SAFE,))

        def look() -> None:
            most[0] = max(most[0], engine.working)

        for step in range(round(END / LOOK_S)):
            fleet.at(step * LOOK_S, look)
        await fleet.run(END + 1.0)

    play(story())
    return most[0]


def test_the_nodes_together_keep_to_a_services_connections() -> None:
    assert most_connections(MAX_CONNECTIONS) <= MAX_CONNECTIONS


def test_more_are_used_where_more_are_allowed() -> None:
    assert most_connections(64) > MAX_CONNECTIONS
