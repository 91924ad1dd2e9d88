"""Health of engines: when unresponsive, full, stale, failing or slow engines get requests again."""

from __future__ import annotations

from collections import Counter

import msgspec
import pytest

from springmux.coordination.identifiers import Address
from springmux.gateway.placement import ExchangeOutcome, Placement, PromptMetadata
from springmux.vocabulary.engines import EngineRecord

from .pool_state import free_capacity
from .transcripts import (
    PLAIN,
    SHORT,
    TEXT,
    V1,
    V2,
    choose_and_dispatch,
    chosen_engine,
    complete_request,
    dispatch_to,
    make_engine,
    make_engines,
    make_placement,
    make_view,
)

O = ExchangeOutcome  # noqa: E741
ANY = PromptMetadata((), 300)


def used_engines(
    placement: Placement, now: float, trial_allowed: bool = False, count: int = 30
) -> set[str | None]:
    """Return the engines chosen for many concurrent requests.

    Their clients disconnect, so that the requests are no evidence about the engines.
    """
    dispatches = []
    for _ in range(count):
        record = placement.choose(TEXT, (V1,), ANY, (), now, trial_allowed=trial_allowed)
        assert record is not None
        dispatches.append(placement.record_dispatch(record, ANY, now))
    for dispatch in dispatches:
        placement.record_end(dispatch, O.ABANDONED, now)
    return {dispatch.record.engine for dispatch in dispatches}


@pytest.mark.parametrize("outcome", [O.CONNECT_FAILED, O.SILENT])
def test_an_unresponsive_engine_is_avoided_until_a_trial_succeeds(outcome: ExchangeOutcome) -> None:
    records = make_engines(3)
    placement = make_placement(records)
    complete_request(placement, records[0], outcome, 10.0)
    assert used_engines(placement, 10.9, trial_allowed=True) == {"e1", "e2"}
    assert used_engines(placement, 11.1) == {"e1", "e2"}
    assert chosen_engine(placement, ANY, 11.1, trial_allowed=True) == "e0"
    trial = dispatch_to(placement, records[0], 11.1)
    assert used_engines(placement, 11.2, trial_allowed=True) == {"e1", "e2"}
    placement.record_end(trial, O.OK, 11.3)
    assert used_engines(placement, 12.0) == {"e0", "e1", "e2"}


def test_repeated_suspicions_double_up_to_eight_seconds() -> None:
    records = make_engines(3)
    placement = make_placement(records)
    now = 10.0
    complete_request(placement, records[0], O.CONNECT_FAILED, now)
    for length_s in (1.0, 2.0, 4.0, 8.0, 8.0):
        assert "e0" not in used_engines(placement, now + length_s - 0.05, trial_allowed=True)
        now += length_s + 0.05
        assert chosen_engine(placement, ANY, now, trial_allowed=True) == "e0"
        complete_request(placement, records[0], O.CONNECT_FAILED, now, duration_s=0.0)


def test_failures_of_requests_in_flight_before_the_suspicion_do_not_double_it() -> None:
    records = make_engines(3)
    placement = make_placement(records)
    dispatches = [dispatch_to(placement, records[0], 9.9) for _ in range(4)]
    for dispatch in dispatches:
        placement.record_end(dispatch, O.SILENT, 10.0)
    assert chosen_engine(placement, ANY, 11.05, trial_allowed=True) == "e0"


def test_an_at_most_once_request_is_the_trial_if_no_repeatable_one_was_in_time() -> None:
    records = make_engines(3)
    placement = make_placement(records)
    complete_request(placement, records[0], O.CONNECT_FAILED, 10.0)
    assert used_engines(placement, 12.9) == {"e1", "e2"}
    assert chosen_engine(placement, ANY, 13.1) == "e0"


def test_a_retry_is_never_a_trial() -> None:
    records = make_engines(3)
    placement = make_placement(records)
    complete_request(placement, records[0], O.CONNECT_FAILED, 10.0)
    record = placement.choose(TEXT, (V1,), ANY, {records[1].engine}, 11.1, trial_allowed=True)
    assert record is not None
    assert record.engine == "e2"


def test_a_trial_whose_client_disconnected_is_followed_by_another() -> None:
    records = make_engines(2)
    placement = make_placement(records)
    complete_request(placement, records[0], O.SILENT, 10.0)
    trial = dispatch_to(placement, records[0], 11.1)
    placement.record_end(trial, O.ABANDONED, 11.2)
    assert used_engines(placement, 11.3) == {"e1"}
    assert chosen_engine(placement, ANY, 11.8, trial_allowed=True) == "e0"


@pytest.mark.parametrize("outcome", [O.RESET, O.TRUNCATED])
def test_two_broken_connections_within_two_seconds_make_an_engine_suspect(outcome: ExchangeOutcome) -> None:
    records = make_engines(3)
    placement = make_placement(records)
    complete_request(placement, records[0], outcome, 10.0)
    assert "e0" in used_engines(placement, 10.1)
    complete_request(placement, records[0], outcome, 11.5)
    assert "e0" not in used_engines(placement, 11.6)


def test_broken_connections_far_apart_or_with_a_success_between_cause_no_suspicion() -> None:
    records = make_engines(3)
    placement = make_placement(records)
    complete_request(placement, records[0], O.RESET, 10.0)
    complete_request(placement, records[0], O.RESET, 12.5)
    complete_request(placement, records[1], O.RESET, 12.5)
    complete_request(placement, records[1], O.OK, 12.6)
    complete_request(placement, records[1], O.RESET, 12.7)
    assert used_engines(placement, 16.0) == {"e0", "e1", "e2"}


def test_a_timeout_makes_an_engine_suspect_only_if_others_responded_meanwhile() -> None:
    records = make_engines(3)
    placement = make_placement(records)
    pending = dispatch_to(placement, records[0], 10.0)
    placement.record_end(pending, O.TIMED_OUT, 11.0)
    assert "e0" in used_engines(placement, 12.5)
    pending = dispatch_to(placement, records[0], 13.0)
    complete_request(placement, records[1], O.OK, 13.5)
    placement.record_end(pending, O.TIMED_OUT, 14.0)
    assert "e0" not in used_engines(placement, 14.5)


def test_a_timeout_of_an_engine_that_responded_recently_causes_no_suspicion() -> None:
    records = make_engines(3)
    placement = make_placement(records)
    pending = dispatch_to(placement, records[0], 13.0)
    complete_request(placement, records[1], O.OK, 13.9)
    complete_request(placement, records[0], O.OK, 13.8)
    placement.record_end(pending, O.TIMED_OUT, 14.0)
    assert "e0" in used_engines(placement, 16.0)


def test_a_record_is_stale_after_a_misdirection_until_it_changes() -> None:
    records = make_engines(2)
    placement = make_placement(records)
    complete_request(placement, records[0], O.MISDIRECTED, 10.0)
    assert used_engines(placement, 60.0, trial_allowed=True) == {"e1"}
    newer = msgspec.structs.replace(records[0], sequence=1)
    placement.update_engines(make_view([newer, records[1]]), 61.0)
    assert used_engines(placement, 61.0) == {"e0", "e1"}
    complete_request(placement, newer, O.MISDIRECTED, 62.0)
    moved = msgspec.structs.replace(newer, sequence=2, address=Address("10.0.9.9:80"))
    placement.update_engines(make_view([moved, records[1]]), 62.1)
    assert used_engines(placement, 62.1) == {"e0", "e1"}


def test_a_record_right_after_a_misdirection_is_used_one_second_after_it() -> None:
    records = make_engines(2)
    placement = make_placement(records)
    complete_request(placement, records[0], O.MISDIRECTED, 10.0)
    restarted = msgspec.structs.replace(records[0], incarnation=2)
    placement.update_engines(make_view([restarted, records[1]]), 10.3)
    assert used_engines(placement, 10.9) == {"e1"}
    assert used_engines(placement, 11.1) == {"e0", "e1"}


def test_an_engine_with_a_stale_record_is_not_even_a_last_resort() -> None:
    records = make_engines(1)
    placement = make_placement(records)
    complete_request(placement, records[0], O.MISDIRECTED, 10.0)
    assert chosen_engine(placement, ANY, 20.0) is None


def test_an_engine_that_declined_as_full_is_avoided_briefly() -> None:
    records = make_engines(2)
    placement = make_placement(records)
    complete_request(placement, records[0], O.DECLINED_FULL, 10.0)
    assert used_engines(placement, 10.05) == {"e1"}
    assert free_capacity(placement, TEXT, (V1,), 10.05) == 16
    assert "e0" in used_engines(placement, 10.15)
    for _ in range(5):
        complete_request(placement, records[0], O.DECLINED_FULL, 11.0)
    assert used_engines(placement, 11.25) == {"e1"}
    assert "e0" in used_engines(placement, 11.35)


def test_a_full_engine_of_the_preferred_version_is_used_rather_than_the_next_version() -> None:
    records = [make_engine(0, V1), make_engine(1, V2)]
    placement = make_placement(records)
    complete_request(placement, records[0], O.DECLINED_FULL, 10.0)
    assert chosen_engine(placement, ANY, 10.01, (V1, V2)) == "e0"


def test_an_engine_is_chosen_even_if_all_are_suspect() -> None:
    records = make_engines(3)
    placement = make_placement(records)
    for number, record in enumerate(records):
        complete_request(placement, record, O.CONNECT_FAILED, 10.0 + number / 10)
    assert chosen_engine(placement, ANY, 10.3) == "e0"
    assert free_capacity(placement, TEXT, (V1,), 10.3) == 0


def run_traffic(
    placement: Placement, records: list[EngineRecord], failing: dict[str, int], rounds: int
) -> None:
    """Complete one request per round at every engine.

    :param failing: engines of which each n-th request fails, with n.
    """
    for number in range(rounds):
        for record in records:
            failure_interval = failing.get(record.engine, 0)
            is_failure = failure_interval > 0 and number % failure_interval == 0
            complete_request(placement, record, O.ERROR_STATUS if is_failure else O.OK, 10.0 + number * 0.1)


def test_an_engine_that_fails_a_third_of_its_requests_is_ejected_and_gets_repeatable_trials() -> None:
    records = make_engines(6)
    placement = make_placement(records)
    run_traffic(placement, records, {"e2": 3}, 20)
    assert "e2" not in used_engines(placement, 12.0)
    assert chosen_engine(placement, ANY, 12.0, trial_allowed=True) == "e2"
    trial = dispatch_to(placement, records[2], 12.0)
    assert "e2" not in used_engines(placement, 12.1, trial_allowed=True)
    placement.record_end(trial, O.ERROR_STATUS, 12.2)
    assert "e2" not in used_engines(placement, 12.6, trial_allowed=True)
    assert chosen_engine(placement, ANY, 12.8, trial_allowed=True) == "e2"


def test_an_ejected_engine_returns_after_successful_trials() -> None:
    records = make_engines(6)
    placement = make_placement(records)
    run_traffic(placement, records, {"e2": 3}, 20)
    now, trials = 12.0, 0
    while "e2" not in used_engines(placement, now) and now < 30.0:
        if chosen_engine(placement, ANY, now, trial_allowed=True) == "e2":
            complete_request(placement, records[2], O.OK, now + 0.03)
            trials += 1
        now += 0.1
    assert now < 25.0
    assert trials >= 3


def test_two_failures_but_not_one_eject_an_engine() -> None:
    records = make_engines(6)
    placement = make_placement(records)
    run_traffic(placement, records, {}, 5)
    complete_request(placement, records[2], O.ERROR_STATUS, 10.6)
    assert "e2" in used_engines(placement, 10.7)
    complete_request(placement, records[2], O.ERROR_STATUS, 10.8)
    assert "e2" not in used_engines(placement, 10.9)


def test_no_engine_is_ejected_if_most_of_its_version_fail() -> None:
    records = [*make_engines(4, V1), *(make_engine(number, V2) for number in range(10, 14))]
    placement = make_placement(records)
    run_traffic(placement, records, {f"e{number}": 2 for number in range(10, 13)}, 20)
    counts: Counter[str] = Counter()
    for _ in range(160):
        counts[choose_and_dispatch(placement, ANY, 12.0, (V2, V1))] += 1
    assert sorted(counts) == [f"e{number}" for number in range(10, 14)]
    assert all(36 <= count <= 44 for count in counts.values())


def test_at_most_half_of_a_services_engines_are_ejected() -> None:
    # One engine of each version fails, and at most half of the service's engines may be ejected.
    records = [make_engine(0), make_engine(1), make_engine(2, V2), make_engine(3, V2), make_engine(4, V2)]
    placement = make_placement(records)
    run_traffic(placement, records, {"e0": 2, "e2": 2}, 20)
    usable = {chosen_engine(placement, ANY, 12.0, ()) for _ in range(40)}
    assert usable == {"e1", "e3", "e4"}
    assert chosen_engine(placement, ANY, 12.0, (V1,)) == "e1"


def run_with_slow_engine(
    placement: Placement, records: list[EngineRecord], slow: str, rounds: int, start: float
) -> None:
    for number in range(rounds):
        for record in records:
            duration_s = 0.4 if record.engine == slow else 0.03
            complete_request(placement, record, O.OK, start + number * 0.1, duration_s, PLAIN)


def test_a_slow_engine_gets_a_small_share_and_recovers() -> None:
    records = make_engines(6)
    placement = make_placement(records)
    run_with_slow_engine(placement, records, "e3", 20, 10.0)
    counts = Counter(choose_without_evidence(placement, 12.0 + number * 0.01) for number in range(600))
    assert 0 < counts["e3"] < 0.4 * 100
    run_with_slow_engine(placement, records, "none", 30, 20.0)
    counts = Counter(choose_without_evidence(placement, 24.0 + number * 0.01) for number in range(600))
    assert counts["e3"] > 0.7 * 100


def choose_without_evidence(placement: Placement, now: float) -> str:
    record = placement.choose(TEXT, (V1,), PLAIN, (), now)
    assert record is not None
    dispatch = dispatch_to(placement, record, now, PLAIN)
    # The client disconnects, so that the request is no evidence about the engine.
    placement.record_end(dispatch, O.ABANDONED, now)
    return record.engine


def test_one_long_wait_does_not_make_an_engine_slow() -> None:
    records = make_engines(6)
    placement = make_placement(records)
    run_with_slow_engine(placement, records, "none", 20, 10.0)
    complete_request(placement, records[3], O.OK, 12.2, 1.0, PLAIN)
    counts = Counter(choose_without_evidence(placement, 14.0 + number * 0.01) for number in range(600))
    assert counts["e3"] == 100


def test_a_restarted_engine_starts_without_earlier_failures() -> None:
    records = make_engines(2)
    placement = make_placement(records)
    old = dispatch_to(placement, records[0], 9.0)
    complete_request(placement, records[0], O.CONNECT_FAILED, 10.0)
    restarted = msgspec.structs.replace(records[0], incarnation=2)
    placement.update_engines(make_view([restarted, records[1]]), 10.2)
    assert used_engines(placement, 10.3) == {"e0", "e1"}
    placement.record_end(old, O.RESET, 10.4)
    assert free_capacity(placement, TEXT, (V1,), 10.5) == 32
    assert "e0" in used_engines(placement, 10.5)


def test_failures_of_short_model_prompts_eject_an_engine() -> None:
    records = make_engines(3)
    placement = make_placement(records)
    for number in range(10):
        complete_request(
            placement, records[0], O.MALFORMED if number % 2 else O.OK, 10.0 + number / 10, prompt=SHORT
        )
        complete_request(placement, records[1], O.OK, 10.0 + number / 10, prompt=SHORT)
    assert "e0" not in used_engines(placement, 11.5)
