"""Engines crash, stop responding, fail while listed as ready, and crash again right after a replacement."""

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

REQUESTS_PER_S = 60.0
LOST_AT, REPLACED_AT, LOST_AGAIN_AT, END = 4.0, 7.0, 7.5, 12.0
DIRECTORY_DELAY_S = 1.5
AFTER_TIMEOUT_S = 5.0
"""Time after the load in which the requests of its last second end."""


def second_loss_after_replacement() -> GatewayFleet:
    """Crash and replace one of four engines, and crash a second one half a second after the replacement."""
    fleets: list[GatewayFleet] = []

    async def scenario() -> None:
        fleet = GatewayFleet(1)
        fleets.append(fleet)
        fleet.generate_load(SETTLED_S, END, REQUESTS_PER_S)
        for at, name in ((LOST_AT, "e0"), (LOST_AGAIN_AT, "e1")):
            fleet.schedule(at, fleet.engine_client.engines[name].crash)
            fleet.schedule(
                at + DIRECTORY_DELAY_S, lambda name=name: fleet.set_engine_status(name, EngineStatus.LOST)
            )
        fleet.schedule(REPLACED_AT, lambda: fleet.add_engine("e4"))
        await fleet.run(END + AFTER_TIMEOUT_S)

    play(scenario())
    return fleets[0]


def one_faulty_engine(fault: str, end: float = END) -> GatewayFleet:
    """Let one of four engines stop responding or fail requests while the directory lists it as ready."""
    fleets: list[GatewayFleet] = []

    async def scenario() -> None:
        fleet = GatewayFleet(2)
        fleets.append(fleet)
        fleet.generate_load(SETTLED_S, end, REQUESTS_PER_S, kinds=(SAFE, STREAM))
        for each in fleet.engine_client.engines.values():
            each.behaviour = Behaviour(service_s=0.2)
        engine = fleet.engine_client.engines["e2"]
        if fault == "unresponsive":
            fleet.schedule(LOST_AT, engine.stop_responding)
        else:
            fleet.schedule(
                LOST_AT, lambda: setattr(engine, "behaviour", Behaviour(service_s=0.2, failure_share=0.7))
            )
        await fleet.run(end + AFTER_TIMEOUT_S)

    play(scenario())
    return fleets[0]


def lost_engine_attempt_share(fleet: GatewayFleet) -> float:
    """Return the largest share of attempts at a crashed engine before the directory lists it as lost."""
    return max(
        rules.attempt_share(fleet, name, at + 0.3, at + DIRECTORY_DELAY_S)
        for name, at in (("e0", LOST_AT), ("e1", LOST_AGAIN_AT))
    )


MAX_LOST_ENGINE_SHARE = 0.1
"""Allows for the first failures and some probes; a healthy engine gets a quarter of the attempts."""


def test_a_second_loss_right_after_a_replacement_repeats_no_unsafe_request_and_fails_few() -> None:
    fleet = second_loss_after_replacement()
    rules.check_safety(fleet)
    assert rules.success_share(fleet, LOST_AT, LOST_AT + 1.0) > 0.9
    assert rules.success_share(fleet, LOST_AGAIN_AT, LOST_AGAIN_AT + 1.0) > 0.9
    assert rules.success_share(fleet, LOST_AGAIN_AT + 1.0, END) > 0.99
    assert lost_engine_attempt_share(fleet) < MAX_LOST_ENGINE_SHARE


def test_checker_detects_use_of_the_lost_engine_without_suspicion(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(EngineHealth, "_start_suspicion", lambda *_: None)
    assert lost_engine_attempt_share(second_loss_after_replacement()) >= MAX_LOST_ENGINE_SHARE


MAX_COLD_ENGINE_SHARE = 0.15
"""Bound on a cold engine's share in its first seconds; each of three warm engines gets a third."""


def test_the_cold_engine_gets_a_small_share_although_another_engine_was_lost() -> None:
    fleet = second_loss_after_replacement()
    assert 0.0 < rules.attempt_share(fleet, "e4", REPLACED_AT, REPLACED_AT + 2.0) < MAX_COLD_ENGINE_SHARE


def test_checker_detects_a_cold_engine_under_full_load_without_slow_start(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(slow_start, "INITIAL_SHARE", 1.0)
    fleet = second_loss_after_replacement()
    assert rules.attempt_share(fleet, "e4", REPLACED_AT, REPLACED_AT + 2.0) >= MAX_COLD_ENGINE_SHARE


def test_an_engine_that_stops_responding_while_listed_as_ready_fails_few_requests() -> None:
    fleet = one_faulty_engine("unresponsive")
    rules.check_safety(fleet)
    assert rules.success_share(fleet, LOST_AT - 0.2, LOST_AT + 0.2) > 0.95


def test_checker_detects_requests_held_by_the_unresponsive_engine_without_a_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(AttemptTimeouts, "is_over", lambda *_: False)
    fleet = one_faulty_engine("unresponsive")
    assert rules.success_share(fleet, LOST_AT - 0.2, LOST_AT + 0.2) <= 0.95


MAX_FAILING_ENGINE_SHARE = 0.1


def test_an_engine_that_fails_while_it_reports_ready_is_ejected() -> None:
    fleet = one_faulty_engine("failing")
    rules.check_safety(fleet)
    assert rules.attempt_share(fleet, "e2", LOST_AT + 2.0, END) < MAX_FAILING_ENGINE_SHARE
    assert rules.success_share(fleet, LOST_AT + 2.0, END) > 0.99


def test_checker_detects_use_of_the_failing_engine_without_comparison(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(outlier_detection, "_failing", lambda *_: [])
    assert (
        rules.attempt_share(one_faulty_engine("failing"), "e2", LOST_AT + 2.0, END)
        >= MAX_FAILING_ENGINE_SHARE
    )


OTHER_ENGINE = "page-1"


def address_reused() -> GatewayFleet:
    """Crash an engine, and let one of another service listen at its address before the directory knows."""
    fleets: list[GatewayFleet] = []

    async def scenario() -> None:
        fleet = GatewayFleet(13)
        fleets.append(fleet)
        fleet.generate_load(SETTLED_S, END, REQUESTS_PER_S)
        fleet.schedule(LOST_AT, fleet.engine_client.engines["e0"].crash)
        fleet.schedule(
            LOST_AT + 0.1,
            lambda: fleet.engine_client.engines.update(e0=ModelEngine("e0", identity=OTHER_ENGINE)),
        )
        fleet.schedule(LOST_AT + DIRECTORY_DELAY_S, lambda: fleet.set_engine_status("e0", EngineStatus.LOST))
        await fleet.run(END + AFTER_TIMEOUT_S)

    play(scenario())
    return fleets[0]


def runs_at_the_other_engine(fleet: GatewayFleet) -> int:
    return sum(run.engine == OTHER_ENGINE for run in fleet.engine_client.runs)


def failures_after_the_reuse(fleet: GatewayFleet) -> int:
    return sum(
        request.client.status in (421, 502) for request in fleet.requests if request.sent_at > LOST_AT + 0.1
    )


def test_an_engine_at_the_address_of_a_lost_one_runs_no_request() -> None:
    fleet = address_reused()
    rules.check_safety(fleet)
    assert runs_at_the_other_engine(fleet) == 0
    assert any(
        at - fleet.started_at > LOST_AT + 0.1 and name == "e0" for at, name in fleet.engine_client.attempts
    )
    assert failures_after_the_reuse(fleet) == 0


def test_checker_detects_requests_without_a_target_engine(monkeypatch: pytest.MonkeyPatch) -> None:
    request_for = HeaderRules.request_for

    def without_target(header_rules: HeaderRules, *arguments: Any) -> RequestHead:
        head = request_for(header_rules, *arguments)
        headers = tuple(header for header in head.headers if header[0] != OWN_HEADERS.target_engine)
        return msgspec.structs.replace(head, headers=headers)

    monkeypatch.setattr(HeaderRules, "request_for", without_target)
    assert runs_at_the_other_engine(address_reused()) > 0


def test_checker_detects_a_misdirected_request_that_is_not_retried(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(HeaderRules, "declined", lambda header_rules, head: head.status == 503)
    assert failures_after_the_reuse(address_reused()) > 0
