"""A node that has just started and knows no configuration tells clients to come back, and denies nothing."""

from __future__ import annotations

import pytest

from springmux.gateway.core import GatewayCore
from tests.unit.bad_days import gateway_rules as rules
from tests.unit.bad_days.gateway_fleet import SAFE, SETTLED_S, UNSAFE, FleetNode, GatewayFleet
from tests.unit.node.gateway.scripted_engines import play
from tests.unit.node.gateway.stand_ins import tenant

ACME = tenant("acme", "k1")
STARTS_AT, KNOWS_AT, END = 3.0, 5.0, 7.0
PER_S = 60.0
AFTER_TIMEOUT_S = 3.0


def node_joins() -> GatewayFleet:
    """A node starts under load; two seconds later it has the configuration and the directory."""
    fleets: list[GatewayFleet] = []

    async def story() -> None:
        fleet = GatewayFleet(12)
        fleets.append(fleet)
        configuration = fleet.configure(ACME)
        fleet.press(SETTLED_S, END, PER_S, key="k1")
        new = FleetNode("n9", fleet.farm, fleet.source)

        def know() -> None:
            fleet.nodes.append(new)
            fleet.deliver(new, configuration)
            fleet.add_engine("e9")

        at = STARTS_AT
        while (at := at + 0.05) < END:
            fleet.at(at, lambda: fleet.ask(new, fleet.source.choice((SAFE, UNSAFE)), "k1"))
        fleet.at(KNOWS_AT, know)
        await fleet.run(END + AFTER_TIMEOUT_S)

    play(story())
    return fleets[0]


def test_a_node_without_a_configuration_answers_503_with_a_time_and_then_serves() -> None:
    fleet = node_joins()
    rules.check_safety(fleet)
    assert rules.denied(fleet) == []
    refused = [one for one in fleet.asked if not one.served]
    assert len(refused) > 20
    for one in refused:
        assert one.caller.status == 503 and one.caller.header(b"retry-after") is not None
        assert STARTS_AT < one.at < KNOWS_AT


def test_the_checker_sees_a_node_that_denies_what_it_does_not_know(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(GatewayCore, "configured", True)
    assert rules.denied(node_joins()) != []
