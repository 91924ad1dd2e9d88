"""All clients disconnect at the same time: engines stop working for them, and no other engine is tried."""

from __future__ import annotations

import pytest

from springmux.node.gateway.attempt import Attempt
from tests.unit.bad_days import gateway_rules as rules
from tests.unit.bad_days.gateway_fleet import SETTLED_S, GatewayFleet
from tests.unit.bad_days.model_engines import Behaviour
from tests.unit.node.gateway.scripted_engines import play

DISCONNECT_AT = 4.0
BOUND_S = 0.5
REQUESTS_PER_S = 80.0
AFTER_TIMEOUT_S = 3.0
SERVICE_S = 1.5


def all_clients_disconnect() -> tuple[GatewayFleet, int, int]:
    """Return the fleet and the active requests when their clients disconnect and half a second later."""
    fleets: list[GatewayFleet] = []
    active: list[int] = []

    async def scenario() -> None:
        fleet = GatewayFleet(15)
        fleets.append(fleet)
        for engine in fleet.engine_client.engines.values():
            engine.behaviour = Behaviour(service_s=SERVICE_S)
        fleet.generate_load(SETTLED_S, DISCONNECT_AT, REQUESTS_PER_S)
        fleet.schedule(DISCONNECT_AT, lambda: active.append(active_requests(fleet)))
        fleet.schedule(
            DISCONNECT_AT,
            lambda: [request.client.disconnect() for request in fleet.requests if not request.client.ended],
        )
        fleet.schedule(DISCONNECT_AT + BOUND_S, lambda: active.append(active_requests(fleet)))
        await fleet.run(DISCONNECT_AT + AFTER_TIMEOUT_S)

    play(scenario())
    return fleets[0], active[0], active[1]


def active_requests(fleet: GatewayFleet) -> int:
    return sum(engine.active_requests for engine in fleet.engine_client.engines.values())


def arrivals_after_disconnect(fleet: GatewayFleet) -> int:
    return sum(at - fleet.started_at > DISCONNECT_AT for at, _ in fleet.engine_client.arrivals)


def test_engines_stop_working_for_disconnected_clients() -> None:
    fleet, before, after = all_clients_disconnect()
    assert before > 20 and after == 0
    assert arrivals_after_disconnect(fleet) == 0
    assert rules.executed_twice(fleet) == []


def test_checker_detects_exchanges_that_are_not_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Attempt, "_finish", lambda attempt: None)
    assert all_clients_disconnect()[2] > 0
