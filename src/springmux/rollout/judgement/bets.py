"""Bets on matched sets: one candidate outcome and recent stable outcomes of the same kind.

If the versions are equal, all outcomes of a set are exchangeable, whatever the base rate or the load
at that moment. Each bet then has expectation at most 1, and the running product of the bets is a test
martingale that may be evaluated continuously: a product above 1/alpha has probability at most alpha
(Ville; Robbins 1970; Howard, Ramdas, McAuliffe and Sekhon 2021). The error bet is the conditional
likelihood ratio of a 1:k matched case-control set, the two-sample Bernoulli e-value of Turner, Ly and
Gruenwald (2021) conditioned on the number of bad answers. The latency bet is an exponential tilt of
the candidate's rank, uniform on 0..k if ``candidate / limit`` is distributed like the stable version.
"""

from __future__ import annotations

import math

import msgspec

from springmux.rollout.judgement.digest import MILLINATS

MAX_ERROR_REFERENCES = 24
"""Stable answers per set: their number per candidate answer of a 4% canary (0.96 / 0.04)."""
MAX_LATENCY_REFERENCES = 6
"""Stable latencies per set: few, so that low-traffic routes have recent ones; more than 6 add little."""

ERROR_ODDS = (4.0, 16.0, 100.0)
"""Alternative hypotheses: a few percent, a clear share, and nearly all answers bad, at a base rate of about
1%."""
MILD_TILT = 1.5
STEEP_TILT = 5.0
"""The tilts are growth-optimal near a slowdown of 1.3 and 2 times the limit for log-normal latencies."""


class ErrorBet(msgspec.Struct, frozen=True):
    """Log bets of one set for each of :data:`ERROR_ODDS`, in millinats."""

    odds_4: int
    odds_16: int
    odds_100: int


class LatencyBet(msgspec.Struct, frozen=True):
    """Log bets of one set, in millinats: slower than the limit (mild, steep), and within the limit."""

    mild: int
    steep: int
    within: int


def _floor_millinats(nats: float) -> int:
    return math.floor(nats * MILLINATS)


def _error_factor(odds: float, references: int, bad_references: int, candidate_bad: bool) -> int:
    members = references + 1
    bad = bad_references + candidate_bad
    weight = odds if candidate_bad else 1.0
    return _floor_millinats(math.log(weight * members / (odds * bad + members - bad)))


def _rank_factor(tilt: float, references: int, rank: int) -> int:
    mean = sum(math.exp(tilt * place / references) for place in range(references + 1)) / (references + 1)
    return _floor_millinats(tilt * rank / references - math.log(mean))


def _error_bet(references: int, bad: int, candidate_bad: bool) -> ErrorBet:
    return ErrorBet(*(_error_factor(odds, references, bad, candidate_bad) for odds in ERROR_ODDS))


def _latency_bet(references: int, rank: int) -> LatencyBet:
    return LatencyBet(
        _rank_factor(MILD_TILT, references, rank),
        _rank_factor(STEEP_TILT, references, rank),
        _rank_factor(MILD_TILT, references, references - rank),
    )


ERROR_BETS: tuple[tuple[tuple[ErrorBet, ErrorBet], ...], ...] = tuple(
    tuple((_error_bet(size, bad, False), _error_bet(size, bad, True)) for bad in range(size + 1))
    for size in range(MAX_ERROR_REFERENCES + 1)
)
"""``ERROR_BETS[references][bad references][candidate bad]``."""

LATENCY_BETS: tuple[tuple[LatencyBet, ...], ...] = (
    (LatencyBet(0, 0, 0),),
    *(
        tuple(_latency_bet(size, rank) for rank in range(size + 1))
        for size in range(1, MAX_LATENCY_REFERENCES + 1)
    ),
)
"""``LATENCY_BETS[references][rank]``: rank is the number of references faster than candidate / limit."""
