"""Clients that all leave at once: engines stop working for them, and nobody else is asked."""

from __future__ import annotations

import pytest

from springmux.node.gateway.attempt import Attempt
from tests.unit.bad_days import gateway_rules as rules
from tests.unit.bad_days.gateway_fleet import SETTLED_S, GatewayFleet
from tests.unit.bad_days.model_engines import Behaviour
from tests.unit.node.gateway.scripted_engines import play

LEAVE_AT = 4.0
BOUND_S = 0.5
PER_S = 80.0
AFTER_TIMEOUT_S = 3.0
SERVICE_S = 1.5


def all_leave() -> tuple[GatewayFleet, int, int]:
    """Return the fleet, the requests at work as their clients leave, and half a second later."""
    fleets: list[GatewayFleet] = []
    working: list[int] = []

    async def story() -> None:
        fleet = GatewayFleet(15)
        fleets.append(fleet)
        for engine in fleet.farm.engines.values():
            engine.behaviour = Behaviour(service_s=SERVICE_S)
        fleet.press(SETTLED_S, LEAVE_AT, PER_S)
        fleet.at(LEAVE_AT, lambda: working.append(at_work(fleet)))
        fleet.at(LEAVE_AT, lambda: [one.caller.disconnect() for one in fleet.asked if not one.caller.ended])
        fleet.at(LEAVE_AT + BOUND_S, lambda: working.append(at_work(fleet)))
        await fleet.run(LEAVE_AT + AFTER_TIMEOUT_S)

    play(story())
    return fleets[0], working[0], working[1]


def at_work(fleet: GatewayFleet) -> int:
    return sum(engine.working for engine in fleet.farm.engines.values())


def asked_after_leaving(fleet: GatewayFleet) -> int:
    return sum(at - fleet.began > LEAVE_AT for at, _ in fleet.farm.arrivals)


def test_engines_stop_working_for_clients_that_left() -> None:
    fleet, before, after = all_leave()
    assert before > 20 and after == 0
    assert asked_after_leaving(fleet) == 0
    assert rules.run_twice(fleet) == []


def test_the_checker_sees_exchanges_that_are_not_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Attempt, "_finish", lambda attempt: None)
    assert all_leave()[2] > 0
