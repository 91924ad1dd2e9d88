"""Answers that come late, are lost, cut, or cross; keys that are revoked while their clients go on."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from springmux.control.gateway_configuration import GatewayRouteKind
from springmux.coordination.identifiers import Revision
from springmux.gateway import refusal_responses
from springmux.gateway.attempts import AttemptRules
from springmux.gateway.core import GatewayCore
from springmux.gateway.event_stream import EventStream
from springmux.node.gateway import attempt_loop, forwarder
from springmux.node.gateway.attempt import Attempt
from springmux.node.gateway.forwarded_request import ForwardedRequest
from springmux.node.gateway.headers import HeaderRules
from springmux.node.http.types import RequestHead
from tests.unit.bad_days import gateway_rules as rules
from tests.unit.bad_days.gateway_fleet import SAFE, SETTLED_S, STREAM, TIMEOUT_S, UNSAFE, GatewayFleet
from tests.unit.bad_days.model_engines import Behaviour
from tests.unit.node.gateway.scripted_engines import play
from tests.unit.node.gateway.stand_ins import tenant

PER_S = 40.0
END = 8.0
AFTER_TIMEOUT_S = 5.0


def bad_answers(behaviour: Behaviour, *kinds: GatewayRouteKind) -> GatewayFleet:
    """All engines answer so for six seconds; there is budget for every retry."""
    fleets: list[GatewayFleet] = []

    async def story() -> None:
        fleet = GatewayFleet(3)
        fleets.append(fleet)
        for node in fleet.nodes:
            node.core.retry_budget.set_floor(1000)
        for engine in fleet.farm.engines.values():
            engine.behaviour = behaviour
        fleet.press(SETTLED_S, END, PER_S, kinds)
        await fleet.run(END + AFTER_TIMEOUT_S)

    play(story())
    return fleets[0]


LOSING = Behaviour(losing=0.2)
LATE = Behaviour(late=0.2)
CROSSING = Behaviour(crossing=0.3)
CUTTING = Behaviour(cutting=0.3)
SLOW_THEN_LOST = Behaviour(service_s=0.7, losing=0.4)
STALLED = Behaviour(service_s=8.0)


@pytest.mark.parametrize("behaviour", [LATE, STALLED, SLOW_THEN_LOST], ids=["late", "stalled", "slow, lost"])
def test_every_client_has_an_end_half_a_second_after_its_routes_timeout(behaviour: Behaviour) -> None:
    fleet = bad_answers(behaviour, SAFE, UNSAFE, STREAM)
    rules.check_safety(fleet)
    assert any(one.caller.status == 504 for one in fleet.asked), "nobody waited in vain"


def test_every_client_has_an_end_in_time_though_no_engine_takes_a_connection() -> None:
    fleets: list[GatewayFleet] = []

    async def story() -> None:
        fleet = GatewayFleet(9)
        fleets.append(fleet)
        for engine in fleet.farm.engines.values():
            engine.go_dark()
        fleet.press(SETTLED_S, END, PER_S)
        await fleet.run(END + AFTER_TIMEOUT_S)

    play(story())
    rules.check_safety(fleets[0])
    assert {one.caller.status for one in fleets[0].asked} == {503}


def test_lost_answers_run_nothing_twice_that_may_not_be_repeated() -> None:
    fleet = bad_answers(LOSING, SAFE, UNSAFE, STREAM)
    rules.check_safety(fleet)
    repeatable = [one for one in fleet.asked if one.kind is not UNSAFE]
    assert sum(one.served for one in repeatable) > 0.95 * len(repeatable)
    assert sum(one.caller.status == 502 for one in fleet.asked) > 5, "no answer was lost"


def test_the_checker_sees_an_at_most_once_request_repeated(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(AttemptRules, "may_try_again", lambda *_: True)
    assert rules.run_twice(bad_answers(LOSING, UNSAFE)) != []


def test_the_checker_sees_a_lost_answer_called_a_refusal(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(attempt_loop, "_final_refusal", lambda request, last, not_executed: not_executed)
    assert rules.run_though_refused(bad_answers(LOSING, UNSAFE)) != []


def test_late_answers_end_in_time_and_promise_nothing() -> None:
    fleet = bad_answers(LATE, UNSAFE)
    rules.check_safety(fleet)
    assert sum(one.caller.status == 504 for one in fleet.asked) > 5, "no answer was late"


def test_the_checker_sees_a_late_answer_called_a_refusal(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        ForwardedRequest, "timeout_refusal", lambda request: refusal_responses.TOO_LATE_UNSENT
    )
    assert rules.run_though_refused(bad_answers(LATE, UNSAFE)) != []


def test_the_checker_sees_clients_held_after_their_routes_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(forwarder, "DEADLINE_MARGIN_S", 0.6)
    assert rules.held_too_long(bad_answers(LATE, UNSAFE)) != []


def test_crossed_answers_reach_nobody_else() -> None:
    fleet = bad_answers(CROSSING, SAFE, UNSAFE)
    rules.check_safety(fleet)
    assert rules.served_share(fleet, SETTLED_S, END) == 1.0


def test_the_checker_sees_a_crossed_answer_passed_on(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Attempt, "_is_own_response", lambda *_: True)
    assert rules.foreign_or_damaged(bad_answers(CROSSING, SAFE, UNSAFE)) != []


def test_cut_streams_go_on_whole_at_other_engines() -> None:
    fleet = bad_answers(CUTTING, STREAM)
    rules.check_safety(fleet)
    assert sum(node.core.counters.resumed for node in fleet.nodes) > 20, "no stream was cut"
    assert rules.served_share(fleet, SETTLED_S, END) > 0.9


@pytest.mark.parametrize(
    ("method", "mutation"),
    [
        ("discard_incomplete_event", lambda stream: None),
        ("_is_new", lambda stream, event: setattr(stream, "events", stream.events + 1) or True),
    ],
    ids=["keeps the unfinished event", "forgets what was passed on"],
)
def test_the_checker_sees_a_stream_spliced(
    monkeypatch: pytest.MonkeyPatch, method: str, mutation: Any
) -> None:
    monkeypatch.setattr(EventStream, method, mutation)
    assert rules.foreign_or_damaged(bad_answers(CUTTING, STREAM)) != []


KEYS = ("k1", "k2")
ACME = tenant("acme", "k1")
BRAVO = tenant("bravo", "k2")
REVOKED_AT = 5.0


def key_revoked() -> GatewayFleet:
    """A key is taken away; one node then gets the older configuration once more."""
    fleets: list[GatewayFleet] = []

    async def story() -> None:
        fleet = GatewayFleet(4)
        fleets.append(fleet)
        older = fleet.configure(ACME, BRAVO)
        for key in KEYS:
            fleet.press(SETTLED_S, END, PER_S, key=key)
        fleet.at(REVOKED_AT, lambda: fleet.configure(BRAVO))
        fleet.at(REVOKED_AT + 1.0, lambda: fleet.deliver(fleet.nodes[0], older))
        await fleet.run(END + AFTER_TIMEOUT_S)

    play(story())
    return fleets[0]


def test_a_revoked_key_runs_nothing_more_also_after_a_late_older_configuration() -> None:
    fleet = key_revoked()
    rules.check_safety(fleet)
    assert rules.run_with_key(fleet, "k1", REVOKED_AT) == []
    assert rules.served_share(fleet, SETTLED_S, REVOKED_AT, "k1") == 1.0
    assert rules.served_share(fleet, SETTLED_S, END, "k2") == 1.0


def test_the_checker_sees_a_node_that_falls_back(monkeypatch: pytest.MonkeyPatch) -> None:
    update = GatewayCore.update_control

    def take_any(core: GatewayCore, view: Any, now: float) -> None:
        core._view = msgspec.structs.replace(core._view, revision=Revision(0))
        update(core, view, now)

    monkeypatch.setattr(GatewayCore, "update_control", take_any)
    assert rules.run_with_key(key_revoked(), "k1", REVOKED_AT) != []


def test_the_checker_sees_a_key_passed_on(monkeypatch: pytest.MonkeyPatch) -> None:
    make = HeaderRules.__init__

    def without_own(header_rules: HeaderRules, names: Any) -> None:
        make(header_rules, names)
        header_rules._dropped_from_request = header_rules._dropped_from_request - {names.api_key}

    monkeypatch.setattr(HeaderRules, "__init__", without_own)
    assert rules.passed_on_wrongly(key_revoked()) != []


def test_the_checker_sees_engines_told_of_more_time_than_is_left(monkeypatch: pytest.MonkeyPatch) -> None:
    request_for = HeaderRules.request_for

    def with_the_whole_timeout(
        header_rules: HeaderRules,
        head: Any,
        record: Any,
        tenant: Any,
        priority: int,
        left_s: float,
        last: Any,
    ) -> RequestHead:
        return request_for(header_rules, head, record, tenant, priority, TIMEOUT_S, last)

    monkeypatch.setattr(HeaderRules, "request_for", with_the_whole_timeout)
    assert rules.told_too_much_time(bad_answers(SLOW_THEN_LOST, SAFE)) != []
