"""Probability formulas for counts, used by the judge's rules."""

from __future__ import annotations

import math
from collections.abc import Sequence

from springmux.rollout.judgement.digest import EpochEvidence


def chance_of_bad(window: EpochEvidence, reference: EpochEvidence) -> float:
    """Return a bound of the chance that equal versions give the candidate so many of all bad answers.

    :param reference: sums from which the stable version's answers are taken.

    If the versions are equal, a bad answer is the candidate's with a probability that is its share of the
    answers (the conditional test of two Poisson rates, Przyborowski and Wilenski 1940). The bound is the
    binomial tail's Chernoff bound. It is 0 if there is no stable answer to compare with.
    """
    if reference.stable_total == 0:
        return 0.0
    share = window.candidate_total / (window.candidate_total + reference.stable_total)
    bad = window.candidate_bad + reference.stable_bad
    observed_share = window.candidate_bad / bad
    if observed_share <= share:
        return 1.0
    divergence = observed_share * math.log(observed_share / share)
    if observed_share < 1.0:
        divergence += (1.0 - observed_share) * math.log((1.0 - observed_share) / (1.0 - share))
    return math.exp(-bad * divergence)


def poisson_tail(count: int, mean: float) -> float:
    """Return the probability of ``count`` or more events where ``mean`` are expected."""
    term = math.exp(-mean)
    below = 0.0
    for number in range(count):
        below += term
        term *= mean / (number + 1)
    return 1.0 - below


def log_error_rise_excluded(sums: EpochEvidence, rise: float) -> float:
    """Return the log likelihood ratio of the stable version's error rate against that rate plus ``rise``."""
    base = (sums.stable_bad + 0.5) / (sums.stable_total + 1)
    risen = min(base + rise, 0.999)
    good = sums.candidate_total - sums.candidate_bad
    return sums.candidate_bad * math.log(base / risen) + good * math.log((1 - base) / (1 - risen))


def log_sum_exp(terms: Sequence[float]) -> float:
    """Return ``log(sum(exp(term)))`` without overflow."""
    largest = max(terms, default=-math.inf)
    if largest == -math.inf:
        return -math.inf
    return largest + math.log(sum(math.exp(term - largest) for term in terms))
