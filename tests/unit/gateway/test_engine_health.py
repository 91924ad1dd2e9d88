"""Engines that are dark, cut, full, stale, failing or slow: who gets requests and when they return."""

from __future__ import annotations

from collections import Counter

import msgspec
import pytest

from springmux.coordination.identifiers import Address
from springmux.gateway.placement import ExchangeOutcome, Placement, PromptMetadata
from springmux.vocabulary.engines import EngineRecord

from .places import free_places
from .transcripts import (
    PLAIN,
    SHORT,
    TEXT,
    V1,
    V2,
    choose_and_send,
    chosen,
    engine,
    engines,
    exchange,
    node,
    send,
    view,
)

O = ExchangeOutcome  # noqa: E741
ANY = PromptMetadata((), 300)


def used(placement: Placement, now: float, trial_allowed: bool = False, count: int = 30) -> set[str | None]:
    """Return the engines that many requests at once go to; their clients leave, so nothing is learned."""
    dispatches = []
    for _ in range(count):
        record = placement.choose(TEXT, (V1,), ANY, (), now, trial_allowed=trial_allowed)
        assert record is not None
        dispatches.append(placement.record_dispatch(record, ANY, now))
    for dispatch in dispatches:
        placement.record_end(dispatch, O.ABANDONED, now)
    return {dispatch.record.engine for dispatch in dispatches}


@pytest.mark.parametrize("outcome", [O.CONNECT_FAILED, O.SILENT])
def test_an_unresponsive_engine_is_avoided_then_tried_once_then_trusted(outcome: ExchangeOutcome) -> None:
    records = engines(3)
    placement = node(records)
    exchange(placement, records[0], outcome, 10.0)
    assert used(placement, 10.9, trial_allowed=True) == {"e1", "e2"}
    assert used(placement, 11.1) == {"e1", "e2"}
    assert chosen(placement, ANY, 11.1, trial_allowed=True) == "e0"
    trial = send(placement, records[0], 11.1)
    assert used(placement, 11.2, trial_allowed=True) == {"e1", "e2"}
    placement.record_end(trial, O.OK, 11.3)
    assert used(placement, 12.0) == {"e0", "e1", "e2"}


def test_a_suspicion_doubles_up_to_eight_seconds() -> None:
    records = engines(3)
    placement = node(records)
    now = 10.0
    exchange(placement, records[0], O.CONNECT_FAILED, now)
    for length_s in (1.0, 2.0, 4.0, 8.0, 8.0):
        assert "e0" not in used(placement, now + length_s - 0.05, trial_allowed=True)
        now += length_s + 0.05
        assert chosen(placement, ANY, now, trial_allowed=True) == "e0"
        exchange(placement, records[0], O.CONNECT_FAILED, now, took_s=0.0)


def test_failures_of_requests_under_way_before_the_suspicion_do_not_double_it() -> None:
    records = engines(3)
    placement = node(records)
    dispatches = [send(placement, records[0], 9.9) for _ in range(4)]
    for dispatch in dispatches:
        placement.record_end(dispatch, O.SILENT, 10.0)
    assert chosen(placement, ANY, 11.05, trial_allowed=True) == "e0"


def test_at_most_once_requests_try_an_engine_that_no_repeatable_one_tried_in_time() -> None:
    records = engines(3)
    placement = node(records)
    exchange(placement, records[0], O.CONNECT_FAILED, 10.0)
    assert used(placement, 12.9) == {"e1", "e2"}
    assert chosen(placement, ANY, 13.1) == "e0"


def test_a_retry_is_never_a_trial() -> None:
    records = engines(3)
    placement = node(records)
    exchange(placement, records[0], O.CONNECT_FAILED, 10.0)
    record = placement.choose(TEXT, (V1,), ANY, {records[1].engine}, 11.1, trial_allowed=True)
    assert record is not None
    assert record.engine == "e2"


def test_a_trial_whose_client_left_is_followed_by_another() -> None:
    records = engines(2)
    placement = node(records)
    exchange(placement, records[0], O.SILENT, 10.0)
    trial = send(placement, records[0], 11.1)
    placement.record_end(trial, O.ABANDONED, 11.2)
    assert used(placement, 11.3) == {"e1"}
    assert chosen(placement, ANY, 11.8, trial_allowed=True) == "e0"


@pytest.mark.parametrize("outcome", [O.RESET, O.TRUNCATED])
def test_two_cuts_within_two_seconds_make_a_suspect(outcome: ExchangeOutcome) -> None:
    records = engines(3)
    placement = node(records)
    exchange(placement, records[0], outcome, 10.0)
    assert "e0" in used(placement, 10.1)
    exchange(placement, records[0], outcome, 11.5)
    assert "e0" not in used(placement, 11.6)


def test_cuts_far_apart_or_with_a_good_answer_between_do_not() -> None:
    records = engines(3)
    placement = node(records)
    exchange(placement, records[0], O.RESET, 10.0)
    exchange(placement, records[0], O.RESET, 12.5)
    exchange(placement, records[1], O.RESET, 12.5)
    exchange(placement, records[1], O.OK, 12.6)
    exchange(placement, records[1], O.RESET, 12.7)
    assert used(placement, 16.0) == {"e0", "e1", "e2"}


def test_a_timeout_makes_a_suspect_only_if_others_answered_meanwhile() -> None:
    records = engines(3)
    placement = node(records)
    waiting = send(placement, records[0], 10.0)
    placement.record_end(waiting, O.TIMED_OUT, 11.0)
    assert "e0" in used(placement, 12.5)
    waiting = send(placement, records[0], 13.0)
    exchange(placement, records[1], O.OK, 13.5)
    placement.record_end(waiting, O.TIMED_OUT, 14.0)
    assert "e0" not in used(placement, 14.5)


def test_a_timeout_of_an_engine_that_just_answered_makes_no_suspect() -> None:
    records = engines(3)
    placement = node(records)
    waiting = send(placement, records[0], 13.0)
    exchange(placement, records[1], O.OK, 13.9)
    exchange(placement, records[0], O.OK, 13.8)
    placement.record_end(waiting, O.TIMED_OUT, 14.0)
    assert "e0" in used(placement, 16.0)


def test_a_misdirected_entry_is_stale_until_its_record_changes() -> None:
    records = engines(2)
    placement = node(records)
    exchange(placement, records[0], O.MISDIRECTED, 10.0)
    assert used(placement, 60.0, trial_allowed=True) == {"e1"}
    newer = msgspec.structs.replace(records[0], sequence=1)
    placement.update_engines(view([newer, records[1]]), 61.0)
    assert used(placement, 61.0) == {"e0", "e1"}
    exchange(placement, newer, O.MISDIRECTED, 62.0)
    moved = msgspec.structs.replace(newer, sequence=2, address=Address("10.0.9.9:80"))
    placement.update_engines(view([moved, records[1]]), 62.1)
    assert used(placement, 62.1) == {"e0", "e1"}


def test_news_right_after_a_misdirection_counts_a_second_after_it() -> None:
    records = engines(2)
    placement = node(records)
    exchange(placement, records[0], O.MISDIRECTED, 10.0)
    restarted = msgspec.structs.replace(records[0], incarnation=2)
    placement.update_engines(view([restarted, records[1]]), 10.3)
    assert used(placement, 10.9) == {"e1"}
    assert used(placement, 11.1) == {"e0", "e1"}


def test_a_stale_entry_is_not_even_a_last_resort() -> None:
    records = engines(1)
    placement = node(records)
    exchange(placement, records[0], O.MISDIRECTED, 10.0)
    assert chosen(placement, ANY, 20.0) is None


def test_a_refusal_for_fullness_pauses_an_engine_shortly() -> None:
    records = engines(2)
    placement = node(records)
    exchange(placement, records[0], O.DECLINED_FULL, 10.0)
    assert used(placement, 10.05) == {"e1"}
    assert free_places(placement, TEXT, (V1,), 10.05) == 16
    assert "e0" in used(placement, 10.15)
    for _ in range(5):
        exchange(placement, records[0], O.DECLINED_FULL, 11.0)
    assert used(placement, 11.25) == {"e1"}
    assert "e0" in used(placement, 11.35)


def test_a_full_version_is_used_rather_than_the_next() -> None:
    records = [engine(0, V1), engine(1, V2)]
    placement = node(records)
    exchange(placement, records[0], O.DECLINED_FULL, 10.0)
    assert chosen(placement, ANY, 10.01, (V1, V2)) == "e0"


def test_never_all_are_out() -> None:
    records = engines(3)
    placement = node(records)
    for number, record in enumerate(records):
        exchange(placement, record, O.CONNECT_FAILED, 10.0 + number / 10)
    assert chosen(placement, ANY, 10.3) == "e0"
    assert free_places(placement, TEXT, (V1,), 10.3) == 0


def traffic(placement: Placement, records: list[EngineRecord], failing: dict[str, int], rounds: int) -> None:
    """Give every engine one request a round; ``failing``: each how manyth one fails."""
    for number in range(rounds):
        for record in records:
            every = failing.get(record.engine, 0)
            bad = every > 0 and number % every == 0
            exchange(placement, record, O.ERROR_STATUS if bad else O.OK, 10.0 + number * 0.1)


def test_an_engine_that_fails_a_third_is_ejected_with_trials_of_repeatable_requests() -> None:
    records = engines(6)
    placement = node(records)
    traffic(placement, records, {"e2": 3}, 20)
    assert "e2" not in used(placement, 12.0)
    assert chosen(placement, ANY, 12.0, trial_allowed=True) == "e2"
    trial = send(placement, records[2], 12.0)
    assert "e2" not in used(placement, 12.1, trial_allowed=True)
    placement.record_end(trial, O.ERROR_STATUS, 12.2)
    assert "e2" not in used(placement, 12.6, trial_allowed=True)
    assert chosen(placement, ANY, 12.8, trial_allowed=True) == "e2"


def test_a_ejected_engine_returns_after_good_trials() -> None:
    records = engines(6)
    placement = node(records)
    traffic(placement, records, {"e2": 3}, 20)
    now, trials = 12.0, 0
    while "e2" not in used(placement, now) and now < 30.0:
        if chosen(placement, ANY, now, trial_allowed=True) == "e2":
            exchange(placement, records[2], O.OK, now + 0.03)
            trials += 1
        now += 0.1
    assert now < 25.0
    assert trials >= 3


def test_single_failures_are_chance() -> None:
    records = engines(6)
    placement = node(records)
    traffic(placement, records, {}, 5)
    exchange(placement, records[2], O.ERROR_STATUS, 10.6)
    assert "e2" in used(placement, 10.7)
    exchange(placement, records[2], O.ERROR_STATUS, 10.8)
    assert "e2" not in used(placement, 10.9)


def test_a_version_of_which_most_fail_is_not_ejected() -> None:
    records = [*engines(4, V1), *(engine(number, V2) for number in range(10, 14))]
    placement = node(records)
    traffic(placement, records, {f"e{number}": 2 for number in range(10, 13)}, 20)
    counts: Counter[str] = Counter()
    for _ in range(160):
        counts[choose_and_send(placement, ANY, 12.0, (V2, V1))] += 1
    assert sorted(counts) == [f"e{number}" for number in range(10, 14)]
    assert all(36 <= count <= 44 for count in counts.values())


def test_at_most_half_of_a_service_is_ejected() -> None:
    # Within each version one of two fails: half in all, and never more.
    records = [engine(0), engine(1), engine(2, V2), engine(3, V2), engine(4, V2)]
    placement = node(records)
    traffic(placement, records, {"e0": 2, "e2": 2}, 20)
    usable = {chosen(placement, ANY, 12.0, ()) for _ in range(40)}
    assert usable == {"e1", "e3", "e4"}
    assert chosen(placement, ANY, 12.0, (V1,)) == "e1"


def paced(placement: Placement, records: list[EngineRecord], slow: str, rounds: int, start: float) -> None:
    for number in range(rounds):
        for record in records:
            took_s = 0.4 if record.engine == slow else 0.03
            exchange(placement, record, O.OK, start + number * 0.1, took_s, PLAIN)


def test_a_slow_engine_gets_a_small_share_and_recovers() -> None:
    records = engines(6)
    placement = node(records)
    paced(placement, records, "e3", 20, 10.0)
    counts = Counter(share_of(placement, 12.0 + number * 0.01) for number in range(600))
    assert 0 < counts["e3"] < 0.4 * 100
    paced(placement, records, "none", 30, 20.0)
    counts = Counter(share_of(placement, 24.0 + number * 0.01) for number in range(600))
    assert counts["e3"] > 0.7 * 100


def share_of(placement: Placement, now: float) -> str:
    record = placement.choose(TEXT, (V1,), PLAIN, (), now)
    assert record is not None
    dispatch = send(placement, record, now, PLAIN)
    # The client leaves, so that nothing new is learned.
    placement.record_end(dispatch, O.ABANDONED, now)
    return record.engine


def test_one_long_wait_does_not_make_an_engine_slow() -> None:
    records = engines(6)
    placement = node(records)
    paced(placement, records, "none", 20, 10.0)
    exchange(placement, records[3], O.OK, 12.2, 1.0, PLAIN)
    counts = Counter(share_of(placement, 14.0 + number * 0.01) for number in range(600))
    assert counts["e3"] == 100


def test_a_restarted_engine_begins_with_a_clean_sheet() -> None:
    records = engines(2)
    placement = node(records)
    old = send(placement, records[0], 9.0)
    exchange(placement, records[0], O.CONNECT_FAILED, 10.0)
    restarted = msgspec.structs.replace(records[0], incarnation=2)
    placement.update_engines(view([restarted, records[1]]), 10.2)
    assert used(placement, 10.3) == {"e0", "e1"}
    placement.record_end(old, O.RESET, 10.4)
    assert free_places(placement, TEXT, (V1,), 10.5) == 32
    assert "e0" in used(placement, 10.5)


def test_short_prompts_on_models_are_judged_the_same_way() -> None:
    records = engines(3)
    placement = node(records)
    for number in range(10):
        exchange(placement, records[0], O.MALFORMED if number % 2 else O.OK, 10.0 + number / 10, prompt=SHORT)
        exchange(placement, records[1], O.OK, 10.0 + number / 10, prompt=SHORT)
    assert "e0" not in used(placement, 11.5)
