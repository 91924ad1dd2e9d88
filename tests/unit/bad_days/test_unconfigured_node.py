"""A node that has just started without a configuration asks clients to retry and denies no request."""

from __future__ import annotations

import pytest

from springmux.gateway.core import GatewayCore
from tests.unit.bad_days import gateway_rules as rules
from tests.unit.bad_days.gateway_fleet import SAFE, SETTLED_S, UNSAFE, FleetNode, GatewayFleet
from tests.unit.node.gateway.scripted_engines import play
from tests.unit.node.gateway.stand_ins import tenant

ACME = tenant("acme", "k1")
STARTS_AT, CONFIGURED_AT, END = 3.0, 5.0, 7.0
REQUESTS_PER_S = 60.0
AFTER_TIMEOUT_S = 3.0


def fleet_with_joining_node() -> GatewayFleet:
    """Start a node under load; two seconds later it gets the configuration and the directory."""
    fleets: list[GatewayFleet] = []

    async def scenario() -> None:
        fleet = GatewayFleet(12)
        fleets.append(fleet)
        configuration = fleet.configure(ACME)
        fleet.generate_load(SETTLED_S, END, REQUESTS_PER_S, key="k1")
        new = FleetNode("n9", fleet.engine_client, fleet.source)

        def configure_new_node() -> None:
            fleet.nodes.append(new)
            fleet.deliver_configuration(new, configuration)
            fleet.add_engine("e9")

        sent_at = STARTS_AT
        while (sent_at := sent_at + 0.05) < END:
            fleet.schedule(
                sent_at, lambda: fleet.send_request(new, fleet.source.choice((SAFE, UNSAFE)), "k1")
            )
        fleet.schedule(CONFIGURED_AT, configure_new_node)
        await fleet.run(END + AFTER_TIMEOUT_S)

    play(scenario())
    return fleets[0]


def test_a_node_without_a_configuration_responds_503_with_retry_after_until_it_is_configured() -> None:
    fleet = fleet_with_joining_node()
    rules.check_safety(fleet)
    assert rules.denied(fleet) == []
    refused = [request for request in fleet.requests if not request.succeeded]
    assert len(refused) > 20
    for request in refused:
        assert request.client.status == 503 and request.client.header(b"retry-after") is not None
        assert STARTS_AT < request.sent_at < CONFIGURED_AT


def test_checker_detects_a_node_that_rejects_requests_before_it_is_configured(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(GatewayCore, "configured", True)
    assert rules.denied(fleet_with_joining_node()) != []
