"""Each bet has expectation at most 1 under the null hypothesis, so running products are test martingales."""

from __future__ import annotations

import math

import msgspec
import pytest

from springmux.rollout.judgement.bets import (
    ERROR_BETS,
    LATENCY_BETS,
    MAX_ERROR_REFERENCES,
    MAX_LATENCY_REFERENCES,
)


@pytest.mark.parametrize("size", range(1, MAX_ERROR_REFERENCES + 1))
def test_error_bets_are_fair_whatever_the_number_of_bad_answers(size: int) -> None:
    for bad in range(1, size + 1):
        chance = bad / (size + 1)
        lost = msgspec.structs.astuple(ERROR_BETS[size][bad][False])
        won = msgspec.structs.astuple(ERROR_BETS[size][bad - 1][True])
        for lost_bet, won_bet in zip(lost, won, strict=True):
            expected = chance * math.exp(won_bet / 1000) + (1 - chance) * math.exp(lost_bet / 1000)
            assert 0.99 < expected <= 1.0


@pytest.mark.parametrize("size", range(1, MAX_LATENCY_REFERENCES + 1))
def test_latency_bets_are_fair_for_a_uniform_rank_and_rise_with_it(size: int) -> None:
    columns = list(zip(*(msgspec.structs.astuple(bet) for bet in LATENCY_BETS[size]), strict=True))
    for column in columns:
        mean = sum(math.exp(bet / 1000) for bet in column) / (size + 1)
        assert 0.99 < mean <= 1.0
    mild, steep, within = columns
    assert list(mild) == sorted(mild)
    assert list(steep) == sorted(steep)
    assert list(within) == sorted(within, reverse=True)


def test_without_references_the_bet_is_zero() -> None:
    assert msgspec.structs.astuple(LATENCY_BETS[0][0]) == (0, 0, 0)
    assert msgspec.structs.astuple(ERROR_BETS[0][0][True]) == (0, 0, 0)
