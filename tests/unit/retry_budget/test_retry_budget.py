"""Retry budget: the bound holds in every sliding window, and the whole budget is available."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from springmux.coordination.retry_budget import RetryBudget

WINDOW_S = 10.0
GAPS_S = st.one_of(st.just(0.0), st.floats(0.001, 0.5), st.floats(0.5, 12.0))
STEPS = st.lists(st.tuples(st.booleans(), GAPS_S), max_size=200)


@settings(derandomize=True, max_examples=400)
@given(steps=STEPS, share=st.sampled_from([0.0, 0.15, 0.5, 1.0]), floor=st.integers(0, 3))
def test_no_sliding_window_exceeds_the_share_and_the_floor(
    steps: list[tuple[bool, float]], share: float, floor: int
) -> None:
    budget = RetryBudget(share, floor, WINDOW_S)
    requests: list[float] = []
    retries: list[float] = []
    now = 0.0
    for is_retry, gap_s in steps:
        now += gap_s
        if is_retry:
            if budget.try_acquire(now):
                retries.append(now)
        else:
            budget.record_request(now)
            requests.append(now)
    # The tightest windows begin at a retry, including it and nothing before it, or at any request.
    for start in sorted({*retries, *requests}):
        requested = [time for time in requests if start < time < start + WINDOW_S]
        retried = [time for time in retries if start <= time < start + WINDOW_S]
        assert len(retried) <= share * len(requested) + floor + 1e-9 + share * requests.count(start)


def test_retries_of_a_burst_stay_within_the_floor_once_traffic_stops() -> None:
    budget = RetryBudget(share=0.15, floor=5, window_s=WINDOW_S)
    for _ in range(1000):
        budget.record_request(0.0)
    assert sum(budget.try_acquire(9.0) for _ in range(100)) == 5


def test_steady_failing_traffic_uses_the_full_share() -> None:
    """With a floor of 1, rounding would leave one retry for seven requests; with 2 the fractions add up."""
    budget = RetryBudget(share=0.15, floor=2, window_s=WINDOW_S)
    granted = 0
    for step in range(4000):
        now = step * 0.01
        budget.record_request(now)
        granted += budget.try_acquire(now)
    assert 0.148 * 4000 <= granted <= 0.15 * 4000 + 2 * 5


def test_a_node_without_traffic_may_retry_its_floor_and_no_more() -> None:
    budget = RetryBudget(share=0.15, floor=1, window_s=WINDOW_S)
    assert [budget.try_acquire(0.0), budget.try_acquire(5.0), budget.try_acquire(10.0)] == [True, False, True]


@pytest.mark.parametrize(
    ("share", "floor", "window_s"), [(-0.1, 1, 10.0), (1.1, 1, 10.0), (0.1, -1, 10.0), (0.1, 1, 0.0)]
)
def test_invalid_settings_are_rejected(share: float, floor: int, window_s: float) -> None:
    with pytest.raises(ValueError, match="share must lie"):
        RetryBudget(share, floor, window_s)
