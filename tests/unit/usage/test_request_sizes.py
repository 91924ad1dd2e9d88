"""Chances of requests near the limit, by their size."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from springmux.coordination.usage.request_sizes import EVEN_SHARE, RequestSizes

SIZES = st.lists(st.floats(1.0, 1e5), min_size=1, max_size=64)


def asked(*sizes: float) -> RequestSizes:
    made = RequestSizes()
    for size in sizes:
        made.record(size)
    return made


@given(SIZES, st.floats(0.01, 0.99))
def test_the_part_of_all_tokens_asked_for_is_admitted(sizes, part) -> None:
    known = asked(*sizes)
    expected = sum(size * known.probability(size, part) for size in sizes)
    assert expected == pytest.approx(part * sum(sizes))


@given(SIZES, st.floats(0.01, 0.99))
def test_no_size_has_less_than_its_even_part_and_none_is_above_one(sizes, part) -> None:
    known = asked(*sizes)
    chances = [known.probability(size, part) for size in sorted(sizes)]
    assert all(EVEN_SHARE * part <= chance <= 1.0 + 1e-9 for chance in chances)
    assert chances == sorted(chances, reverse=True)


def test_small_requests_pass_before_large_ones() -> None:
    known = asked(*[100.0] * 9, 9_100.0)
    assert known.probability(100.0, 0.2) == 1.0
    assert known.probability(9_100.0, 0.2) < 0.2


def test_requests_of_one_size_share_the_chance() -> None:
    assert asked(*[500.0] * 10).probability(500.0, 0.3) == pytest.approx(0.3)


def test_without_a_limit_in_sight_all_pass() -> None:
    assert asked(100.0, 9_000.0).probability(9_000.0, 1.0) == 1.0


def test_old_sizes_are_forgotten() -> None:
    known = asked(*[50_000.0] * 100, *[100.0] * 64)
    assert known.probability(100.0, 0.4) == pytest.approx(0.4)
