"""Each check of the data plane passes a good run and reports a planted violation."""

from __future__ import annotations

import msgspec

from springmux.lab.checks import data_plane_checks
from springmux.lab.records import Arrival, DrainRecord, Execution
from tests.unit.lab.support import call, evidence, prompt_arrivals, records


def execution(action: str, at_s: float) -> Execution:
    return Execution(at_s, "pages-p1-1", "pages", action)


def test_at_most_once_check_reports_an_action_that_ran_twice() -> None:
    assert data_plane_checks.at_most_once(records(executions=[execution("a", 101), execution("b", 102)])).kept
    broken = data_plane_checks.at_most_once(
        records(executions=[execution("a", 101), execution("b", 102), execution("a", 103)])
    )
    assert evidence(broken) == "pages a: ran 2 times"


def test_refusal_check_reports_a_refused_call_that_ran() -> None:
    refused = call("a", told=True, fate="refused", code="overloaded")
    assert data_plane_checks.refused_never_ran(
        records(calls=[refused], executions=[execution("b", 101)])
    ).kept
    assert "a: refused by n1" in evidence(
        data_plane_checks.refused_never_ran(records(calls=[refused], executions=[execution("a", 101)]))
    )


def test_refusal_check_reports_an_execution_after_the_last_refusal() -> None:
    calls = [
        call("a", told=True, fate="unknown"),
        call("a", sending=1, at_s=2.0, ended_s=2.5, told=True, fate="refused"),
    ]
    before = records(calls=calls, executions=[execution("a", 101.2)])
    after = records(calls=calls, executions=[execution("a", 103.0)])
    assert data_plane_checks.refused_never_ran(before).kept
    assert "ran at 3.00 s" in evidence(data_plane_checks.refused_never_ran(after))


def test_refusal_check_ignores_a_connection_that_the_client_lost() -> None:
    lost = call("a", fate="refused", code="caller_no_connection")
    assert data_plane_checks.refused_never_ran(records(calls=[lost], executions=[execution("a", 101)])).kept


def test_response_check_reports_a_faulty_response() -> None:
    good, faulty = call("a", whole=True), call("b", fault="piece 2 where 1 was due")
    assert data_plane_checks.complete_responses(records(calls=[good])).kept
    assert "piece 2" in evidence(data_plane_checks.complete_responses(records(calls=[good, faulty])))


def test_drain_check_reports_a_request_more_than_two_seconds_later() -> None:
    drains = [DrainRecord("e1", 110.0, gone_at_s=113.0)]
    soon = [Arrival(111.9, "e1", "text", "v1", "caption-hint", "r1")]
    late = [*soon, Arrival(112.1, "e1", "text", "v1", "caption-hint", "r2")]
    elsewhere = [*soon, Arrival(115.0, "e2", "text", "v1", "caption-hint", "r2")]
    successor = [*soon, Arrival(115.0, "e1", "text", "v1", "caption-hint", "r2")]
    assert data_plane_checks.drained_engines_unused(records(drains=drains, arrivals=soon)).kept
    assert data_plane_checks.drained_engines_unused(records(drains=drains, arrivals=successor)).kept
    assert data_plane_checks.drained_engines_unused(records(drains=drains, arrivals=elsewhere)).kept
    assert "last after 2.10 s" in evidence(
        data_plane_checks.drained_engines_unused(records(drains=drains, arrivals=late))
    )


def test_retry_check_reports_more_than_a_fifth_in_ten_seconds() -> None:
    first = prompt_arrivals("v1", 400, 120.0, 130.0)
    again = [msgspec.structs.replace(arrival, at_s=arrival.at_s + 0.5) for arrival in first]
    few = sorted([*first, *again[::5]], key=lambda arrival: arrival.at_s)
    many = sorted([*first, *again[:200]], key=lambda arrival: arrival.at_s)
    assert data_plane_checks.bounded_retries(records(arrivals=few)).kept
    assert data_plane_checks.bounded_retries(records(arrivals=many)).kept is False
