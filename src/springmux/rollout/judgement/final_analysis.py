"""Final analysis of the evidence, immediately before a rollout whose pacing needs evidence is finished.

The sequential test (:mod:`.judge`) may be evaluated at any time, but therefore needs more evidence than a
deadline of 12 s may allow to collect, above all on a low-traffic route. An analysis that is run once needs
less evidence. Its level is also less strict than that of the sequential test, because releasing a bad version
breaks the exposure bound, while aborting a good one only delays it.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence

import msgspec

from springmux.rollout.judgement.chance import chance_of_bad, log_sum_exp
from springmux.rollout.judgement.digest import MILLINATS, EpochEvidence, EvidenceDigest
from springmux.rollout.judgement.judge import Scope, scopes_of
from springmux.rollout.plan import JudgeLimits, RolloutDecision

FINAL_LEVEL = 0.1
"""Largest chance of aborting a good version, for errors and for latency each. If the stable version has no
errors and the latencies are equal, the chance is far lower because the limits leave room."""
MIN_BAD_ANSWERS = 2
"""A single bad answer is no evidence, however good the stable version is."""
RECENT_EPOCHS = 3
"""The last three of eight epochs are also tested separately, to detect a version that turned bad late."""
_LATENCY_TESTS = ("first_token", "token_gap")


def final_analysis(limits: JudgeLimits, evidence: EvidenceDigest) -> RolloutDecision | None:
    """Return why the candidate must not be released, ``None`` if it may be."""
    scopes = [scope for scope in scopes_of(evidence) if scope.suffixes]
    if not scopes:
        return None
    return _errors(limits, scopes) or _latency(scopes)


def _errors(limits: JudgeLimits, scopes: Sequence[Scope]) -> RolloutDecision | None:
    """Test error rates, single routes first because the narrower scope is more informative.

    Half of the level is used for all routes together, the other half is divided among the routes
    (Bonferroni).
    """
    for index, scope in reversed(list(enumerate(scopes))):
        windows = list(_windows(scope)) if index == 0 else [scope.suffixes[0]]
        level = 0.5 * FINAL_LEVEL / (len(windows) if index == 0 else len(scopes) - 1)
        for sums in (_without_lost_engines(scope, window) for window in windows):
            if sums.candidate_bad < MIN_BAD_ANSWERS:
                continue
            rise = _rate(sums.candidate_bad, sums.candidate_total) - _rate(sums.stable_bad, sums.stable_total)
            if rise >= limits.error_rise and chance_of_bad(sums, sums) <= level:
                figures = (
                    f"candidate {sums.candidate_bad} bad of {sums.candidate_total},"
                    f" stable {sums.stable_bad} of {sums.stable_total}"
                )
                reason = "too many bad answers for a release"
                return RolloutDecision("judge", reason, "final errors", scope.name, figures)
    return None


def _without_lost_engines(scope: Scope, window: EpochEvidence) -> EpochEvidence:
    """Return ``window`` without the bad answers of lost engines, which are not the version's fault."""
    lost = sum(e.bad for e in scope.engines if e.epoch >= window.epoch and e.slot in scope.lost)
    return msgspec.structs.replace(window, candidate_bad=max(0, window.candidate_bad - lost))


def _windows(scope: Scope) -> Iterator[EpochEvidence]:
    complete, last = scope.suffixes[0], scope.suffixes[-1].epoch
    yield complete
    recent = [sums for sums in scope.suffixes if sums.epoch > last - RECENT_EPOCHS]
    if recent[0] is not complete:
        yield recent[0]


def _latency(scopes: Sequence[Scope]) -> RolloutDecision | None:
    """Test the average of all bets: half of the stake on all routes together, half divided among them."""
    terms: list[tuple[float, str, Scope]] = []
    for index, scope in enumerate(scopes):
        stake = 0.5 / (1 if index == 0 else len(scopes) - 1)
        for test in _LATENCY_TESTS:
            for tilt in ("mild", "steep"):
                log_bet = getattr(scope.suffixes[0], f"{test}_{tilt}") / MILLINATS
                terms.append((log_bet + math.log(stake / 4), test, scope))
    log_e = log_sum_exp([term for term, _, _ in terms])
    if log_e < -math.log(FINAL_LEVEL):
        return None
    _, test, scope = max(terms, key=lambda term: term[0])
    reason = f"{test.replace('_', ' ')} too slow for a release"
    figures = f"e-value 10^{log_e / math.log(10):.1f}"
    return RolloutDecision("judge", reason, f"final {test}", scope.name, figures)


def _rate(bad: int, total: int) -> float:
    return bad / total if total > 0 else 0.0
