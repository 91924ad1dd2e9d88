"""Late, lost, truncated and mixed-up responses of engines; API keys revoked while their clients keep sending.

Guards against requests that run twice, responses sent to another client, and requests without an end.
"""

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

REQUESTS_PER_S = 40.0
END = 8.0
AFTER_TIMEOUT_S = 5.0


def fleet_with_faulty_engines(behaviour: Behaviour, *kinds: GatewayRouteKind) -> GatewayFleet:
    """Apply ``behaviour`` to all engines under load for six seconds, with a retry budget for every retry."""
    fleets: list[GatewayFleet] = []

    async def scenario() -> None:
        fleet = GatewayFleet(3)
        fleets.append(fleet)
        for node in fleet.nodes:
            node.core.retry_budget.set_floor(1000)
        for engine in fleet.engine_client.engines.values():
            engine.behaviour = behaviour
        fleet.generate_load(SETTLED_S, END, REQUESTS_PER_S, kinds)
        await fleet.run(END + AFTER_TIMEOUT_S)

    play(scenario())
    return fleets[0]


LOST_RESPONSES = Behaviour(lost_response_share=0.2)
LATE_RESPONSES = Behaviour(late_response_share=0.2)
STALE_RESPONSES = Behaviour(stale_response_share=0.3)
TRUNCATED_STREAMS = Behaviour(truncation_share=0.3)
SLOW_AND_LOST_RESPONSES = Behaviour(service_s=0.7, lost_response_share=0.4)
STALLED = Behaviour(service_s=8.0)


@pytest.mark.parametrize(
    "behaviour", [LATE_RESPONSES, STALLED, SLOW_AND_LOST_RESPONSES], ids=["late", "stalled", "slow, lost"]
)
def test_every_response_ends_half_a_second_after_the_routes_timeout(behaviour: Behaviour) -> None:
    fleet = fleet_with_faulty_engines(behaviour, SAFE, UNSAFE, STREAM)
    rules.check_safety(fleet)
    assert any(request.client.status == 504 for request in fleet.requests), "no request timed out"


def test_every_response_ends_in_time_if_no_engine_accepts_a_connection() -> None:
    fleets: list[GatewayFleet] = []

    async def scenario() -> None:
        fleet = GatewayFleet(9)
        fleets.append(fleet)
        for engine in fleet.engine_client.engines.values():
            engine.stop_responding()
        fleet.generate_load(SETTLED_S, END, REQUESTS_PER_S)
        await fleet.run(END + AFTER_TIMEOUT_S)

    play(scenario())
    rules.check_safety(fleets[0])
    assert {request.client.status for request in fleets[0].requests} == {503}


def test_lost_responses_run_no_unsafe_request_twice() -> None:
    fleet = fleet_with_faulty_engines(LOST_RESPONSES, SAFE, UNSAFE, STREAM)
    rules.check_safety(fleet)
    repeatable = [request for request in fleet.requests if request.kind is not UNSAFE]
    assert sum(request.succeeded for request in repeatable) > 0.95 * len(repeatable)
    assert sum(request.client.status == 502 for request in fleet.requests) > 5, "no response was lost"


def test_checker_detects_a_repeated_at_most_once_request(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(AttemptRules, "may_try_again", lambda *_: True)
    assert rules.executed_twice(fleet_with_faulty_engines(LOST_RESPONSES, UNSAFE)) != []


def test_checker_detects_a_lost_response_reported_as_not_executed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(attempt_loop, "_final_refusal", lambda request, last, not_executed: not_executed)
    assert rules.executed_despite_refusal(fleet_with_faulty_engines(LOST_RESPONSES, UNSAFE)) != []


def test_requests_with_late_responses_end_in_time_and_are_not_reported_as_not_executed() -> None:
    fleet = fleet_with_faulty_engines(LATE_RESPONSES, UNSAFE)
    rules.check_safety(fleet)
    assert sum(request.client.status == 504 for request in fleet.requests) > 5, "no response was late"


def test_checker_detects_a_late_response_reported_as_not_executed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        ForwardedRequest, "timeout_refusal", lambda request: refusal_responses.TOO_LATE_UNSENT
    )
    assert rules.executed_despite_refusal(fleet_with_faulty_engines(LATE_RESPONSES, UNSAFE)) != []


def test_checker_detects_responses_that_end_after_the_routes_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(forwarder, "DEADLINE_MARGIN_S", 0.6)
    assert rules.not_ended_in_time(fleet_with_faulty_engines(LATE_RESPONSES, UNSAFE)) != []


def test_stale_responses_reach_no_other_client() -> None:
    fleet = fleet_with_faulty_engines(STALE_RESPONSES, SAFE, UNSAFE)
    rules.check_safety(fleet)
    assert rules.success_share(fleet, SETTLED_S, END) == 1.0


def test_checker_detects_a_forwarded_stale_response(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Attempt, "_is_own_response", lambda *_: True)
    assert rules.foreign_or_corrupted(fleet_with_faulty_engines(STALE_RESPONSES, SAFE, UNSAFE)) != []


def test_truncated_streams_resume_completely_at_other_engines() -> None:
    fleet = fleet_with_faulty_engines(TRUNCATED_STREAMS, STREAM)
    rules.check_safety(fleet)
    assert sum(node.core.counters.resumed for node in fleet.nodes) > 20, "no stream was truncated"
    assert rules.success_share(fleet, SETTLED_S, END) > 0.9


@pytest.mark.parametrize(
    ("method", "mutation"),
    [
        ("discard_incomplete_event", lambda stream: None),
        ("_is_new", lambda stream, event: setattr(stream, "events", stream.events + 1) or True),
    ],
    ids=["keeps the incomplete event", "forgets the forwarded events"],
)
def test_checker_detects_a_wrongly_resumed_stream(
    monkeypatch: pytest.MonkeyPatch, method: str, mutation: Any
) -> None:
    monkeypatch.setattr(EventStream, method, mutation)
    assert rules.foreign_or_corrupted(fleet_with_faulty_engines(TRUNCATED_STREAMS, STREAM)) != []


KEYS = ("k1", "k2")
ACME = tenant("acme", "k1")
BRAVO = tenant("bravo", "k2")
REVOKED_AT = 5.0


def fleet_with_revoked_key() -> GatewayFleet:
    """Revoke a key under load, then deliver the older configuration to one node again."""
    fleets: list[GatewayFleet] = []

    async def scenario() -> None:
        fleet = GatewayFleet(4)
        fleets.append(fleet)
        older_configuration = fleet.configure(ACME, BRAVO)
        for key in KEYS:
            fleet.generate_load(SETTLED_S, END, REQUESTS_PER_S, key=key)
        fleet.schedule(REVOKED_AT, lambda: fleet.configure(BRAVO))
        fleet.schedule(
            REVOKED_AT + 1.0, lambda: fleet.deliver_configuration(fleet.nodes[0], older_configuration)
        )
        await fleet.run(END + AFTER_TIMEOUT_S)

    play(scenario())
    return fleets[0]


def test_a_revoked_key_runs_no_request_even_after_a_late_older_configuration() -> None:
    fleet = fleet_with_revoked_key()
    rules.check_safety(fleet)
    assert rules.executed_with_key(fleet, "k1", REVOKED_AT) == []
    assert rules.success_share(fleet, SETTLED_S, REVOKED_AT, "k1") == 1.0
    assert rules.success_share(fleet, SETTLED_S, END, "k2") == 1.0


def test_checker_detects_a_node_that_applies_an_older_configuration(monkeypatch: pytest.MonkeyPatch) -> None:
    update = GatewayCore.update_control

    def accept_any_version(core: GatewayCore, view: Any, now: float) -> None:
        core._view = msgspec.structs.replace(core._view, revision=Revision(0))
        update(core, view, now)

    monkeypatch.setattr(GatewayCore, "update_control", accept_any_version)
    assert rules.executed_with_key(fleet_with_revoked_key(), "k1", REVOKED_AT) != []


def test_checker_detects_a_key_forwarded_to_an_engine(monkeypatch: pytest.MonkeyPatch) -> None:
    initialize = HeaderRules.__init__

    def keep_api_key(header_rules: HeaderRules, names: Any) -> None:
        initialize(header_rules, names)
        header_rules._dropped_from_request = header_rules._dropped_from_request - {names.api_key}

    monkeypatch.setattr(HeaderRules, "__init__", keep_api_key)
    assert rules.wrongly_forwarded(fleet_with_revoked_key()) != []


def test_checker_detects_an_overstated_deadline_sent_to_engines(monkeypatch: pytest.MonkeyPatch) -> None:
    request_for = HeaderRules.request_for

    def with_full_timeout(
        header_rules: HeaderRules,
        head: Any,
        record: Any,
        tenant: Any,
        priority: int,
        left_s: float,
        last: Any,
    ) -> RequestHead:
        return request_for(header_rules, head, record, tenant, priority, TIMEOUT_S, last)

    monkeypatch.setattr(HeaderRules, "request_for", with_full_timeout)
    assert rules.overstated_time_left(fleet_with_faulty_engines(SLOW_AND_LOST_RESPONSES, SAFE)) != []
