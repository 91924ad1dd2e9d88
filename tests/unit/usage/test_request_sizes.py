"""Admit probabilities of requests near the limit, by their size."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from springmux.coordination.usage.request_sizes import EVEN_SHARE, RequestSizes

SIZES = st.lists(st.floats(1.0, 1e5), min_size=1, max_size=64)


def sizes_of(*sizes: float) -> RequestSizes:
    request_sizes = RequestSizes()
    for size in sizes:
        request_sizes.record(size)
    return request_sizes


@given(SIZES, st.floats(0.01, 0.99))
def test_the_requested_fraction_of_all_tokens_is_admitted(sizes, fraction) -> None:
    request_sizes = sizes_of(*sizes)
    expected = sum(size * request_sizes.probability(size, fraction) for size in sizes)
    assert expected == pytest.approx(fraction * sum(sizes))


@given(SIZES, st.floats(0.01, 0.99))
def test_each_probability_lies_between_the_even_share_and_one(sizes, fraction) -> None:
    request_sizes = sizes_of(*sizes)
    probabilities = [request_sizes.probability(size, fraction) for size in sorted(sizes)]
    assert all(EVEN_SHARE * fraction <= probability <= 1.0 + 1e-9 for probability in probabilities)
    assert probabilities == sorted(probabilities, reverse=True)


def test_small_requests_have_higher_probabilities_than_large_ones() -> None:
    request_sizes = sizes_of(*[100.0] * 9, 9_100.0)
    assert request_sizes.probability(100.0, 0.2) == 1.0
    assert request_sizes.probability(9_100.0, 0.2) < 0.2


def test_requests_of_equal_size_have_the_fraction_as_probability() -> None:
    assert sizes_of(*[500.0] * 10).probability(500.0, 0.3) == pytest.approx(0.3)


def test_all_requests_are_admitted_while_the_fraction_is_one() -> None:
    assert sizes_of(100.0, 9_000.0).probability(9_000.0, 1.0) == 1.0


def test_old_sizes_leave_the_sample() -> None:
    request_sizes = sizes_of(*[50_000.0] * 100, *[100.0] * 64)
    assert request_sizes.probability(100.0, 0.4) == pytest.approx(0.4)
