"""Engines crash, go dark, fail while listed as ready, and are lost again right after a repair."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from springmux.coordination import slow_start
from springmux.gateway import outlier_detection
from springmux.gateway.attempt_timeouts import AttemptTimeouts
from springmux.gateway.dialect import OWN_HEADERS
from springmux.gateway.engine_health import EngineHealth
from springmux.node.gateway.headers import HeaderRules
from springmux.node.http.types import RequestHead
from springmux.vocabulary.engines import EngineStatus
from tests.unit.bad_days import gateway_rules as rules
from tests.unit.bad_days.gateway_fleet import SAFE, SETTLED_S, STREAM, GatewayFleet
from tests.unit.bad_days.model_engines import Behaviour, ModelEngine
from tests.unit.node.gateway.scripted_engines import play

PER_S = 60.0
LOST_AT, REPAIRED_AT, LOST_AGAIN_AT, END = 4.0, 7.0, 7.5, 12.0
DIRECTORY_KNOWS_S = 1.5
AFTER_TIMEOUT_S = 5.0
"""Callers of the last second have their answers by then."""


def second_loss_after_a_repair() -> GatewayFleet:
    """One of four engines crashes and is replaced; half a second after that a second one crashes."""
    fleets: list[GatewayFleet] = []

    async def story() -> None:
        fleet = GatewayFleet(1)
        fleets.append(fleet)
        fleet.press(SETTLED_S, END, PER_S)
        for at, name in ((LOST_AT, "e0"), (LOST_AGAIN_AT, "e1")):
            fleet.at(at, fleet.farm.engines[name].crash)
            fleet.at(at + DIRECTORY_KNOWS_S, lambda name=name: fleet.tell(name, EngineStatus.LOST))
        fleet.at(REPAIRED_AT, lambda: fleet.add_engine("e4"))
        await fleet.run(END + AFTER_TIMEOUT_S)

    play(story())
    return fleets[0]


def one_engine(behave: str, end: float = END) -> GatewayFleet:
    """One of four engines goes dark, or fails, and the directory lists it as ready all the time."""
    fleets: list[GatewayFleet] = []

    async def story() -> None:
        fleet = GatewayFleet(2)
        fleets.append(fleet)
        fleet.press(SETTLED_S, end, PER_S, kinds=(SAFE, STREAM))
        for each in fleet.farm.engines.values():
            each.behaviour = Behaviour(service_s=0.2)
        engine = fleet.farm.engines["e2"]
        if behave == "dark":
            fleet.at(LOST_AT, engine.go_dark)
        else:
            fleet.at(LOST_AT, lambda: setattr(engine, "behaviour", Behaviour(service_s=0.2, failing=0.7)))
        await fleet.run(end + AFTER_TIMEOUT_S)

    play(story())
    return fleets[0]


def in_use_though_lost(fleet: GatewayFleet) -> float:
    """Return the crashed engine's share of the attempts between its loss and the directory's news of it."""
    return max(
        rules.tried_share(fleet, name, at + 0.3, at + DIRECTORY_KNOWS_S)
        for name, at in (("e0", LOST_AT), ("e1", LOST_AGAIN_AT))
    )


MOST_IN_USE = 0.1
"""A first failure and some trials; a sound engine has a quarter."""


def test_a_second_loss_right_after_a_repair_costs_no_request_twice_and_hardly_one_its_answer() -> None:
    fleet = second_loss_after_a_repair()
    rules.check_safety(fleet)
    assert rules.served_share(fleet, LOST_AT, LOST_AT + 1.0) > 0.9
    assert rules.served_share(fleet, LOST_AGAIN_AT, LOST_AGAIN_AT + 1.0) > 0.9
    assert rules.served_share(fleet, LOST_AGAIN_AT + 1.0, END) > 0.99
    assert in_use_though_lost(fleet) < MOST_IN_USE


def test_without_suspicion_the_checker_sees_the_lost_engine_in_use(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(EngineHealth, "_start_suspicion", lambda *_: None)
    assert in_use_though_lost(second_loss_after_a_repair()) >= MOST_IN_USE


MOST_OF_COLD = 0.15
"""In its first seconds; a warm engine of three has a third."""


def test_the_cold_engine_is_spared_though_another_was_lost_beside_it() -> None:
    fleet = second_loss_after_a_repair()
    assert 0.0 < rules.tried_share(fleet, "e4", REPAIRED_AT, REPAIRED_AT + 2.0) < MOST_OF_COLD


def test_without_a_slow_start_the_checker_sees_the_cold_engine_pressed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(slow_start, "INITIAL_SHARE", 1.0)
    fleet = second_loss_after_a_repair()
    assert rules.tried_share(fleet, "e4", REPAIRED_AT, REPAIRED_AT + 2.0) >= MOST_OF_COLD


def test_an_engine_that_goes_dark_while_listed_as_ready_costs_hardly_an_answer() -> None:
    fleet = one_engine("dark")
    rules.check_safety(fleet)
    assert rules.served_share(fleet, LOST_AT - 0.2, LOST_AT + 0.2) > 0.95


def test_without_timeout_the_checker_sees_requests_that_stay_at_the_dark_engine(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(AttemptTimeouts, "is_over", lambda *_: False)
    fleet = one_engine("dark")
    assert rules.served_share(fleet, LOST_AT - 0.2, LOST_AT + 0.2) <= 0.95


MOST_OF_FAILING = 0.1


def test_an_engine_that_fails_while_it_reports_itself_ready_is_ejected() -> None:
    fleet = one_engine("failing")
    rules.check_safety(fleet)
    assert rules.tried_share(fleet, "e2", LOST_AT + 2.0, END) < MOST_OF_FAILING
    assert rules.served_share(fleet, LOST_AT + 2.0, END) > 0.99


def test_without_comparison_the_checker_sees_the_failing_engine_in_use(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(outlier_detection, "_failing", lambda *_: [])
    assert rules.tried_share(one_engine("failing"), "e2", LOST_AT + 2.0, END) >= MOST_OF_FAILING


STRANGER = "page-1"


def address_reused() -> GatewayFleet:
    """An engine crashes, and one of another service listens at its address before the directory knows."""
    fleets: list[GatewayFleet] = []

    async def story() -> None:
        fleet = GatewayFleet(13)
        fleets.append(fleet)
        fleet.press(SETTLED_S, END, PER_S)
        fleet.at(LOST_AT, fleet.farm.engines["e0"].crash)
        fleet.at(LOST_AT + 0.1, lambda: fleet.farm.engines.update(e0=ModelEngine("e0", identity=STRANGER)))
        fleet.at(LOST_AT + DIRECTORY_KNOWS_S, lambda: fleet.tell("e0", EngineStatus.LOST))
        await fleet.run(END + AFTER_TIMEOUT_S)

    play(story())
    return fleets[0]


def run_by_the_stranger(fleet: GatewayFleet) -> int:
    return sum(run.engine == STRANGER for run in fleet.farm.runs)


def failed_after_the_reuse(fleet: GatewayFleet) -> int:
    return sum(one.caller.status in (421, 502) for one in fleet.asked if one.at > LOST_AT + 0.1)


def test_an_engine_at_the_address_of_a_lost_one_runs_nothing() -> None:
    fleet = address_reused()
    rules.check_safety(fleet)
    assert run_by_the_stranger(fleet) == 0
    assert any(at - fleet.began > LOST_AT + 0.1 and name == "e0" for at, name in fleet.farm.tries)
    assert failed_after_the_reuse(fleet) == 0


def test_the_checker_sees_requests_that_name_no_engine(monkeypatch: pytest.MonkeyPatch) -> None:
    request_for = HeaderRules.request_for

    def without_target(header_rules: HeaderRules, *given: Any) -> RequestHead:
        head = request_for(header_rules, *given)
        left = tuple(header for header in head.headers if header[0] != OWN_HEADERS.target_engine)
        return msgspec.structs.replace(head, headers=left)

    monkeypatch.setattr(HeaderRules, "request_for", without_target)
    assert run_by_the_stranger(address_reused()) > 0


def test_the_checker_sees_a_misdirected_request_that_goes_nowhere_else(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(HeaderRules, "declined", lambda header_rules, head: head.status == 503)
    assert failed_after_the_reuse(address_reused()) > 0
