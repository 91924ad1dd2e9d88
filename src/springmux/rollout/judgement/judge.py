"""The verdict on a candidate version: a pure function of the merged evidence.

Every node with the same evidence reaches the same verdict. Judging more often or on more nodes does not
raise the false-alarm rate, because all of them judge one running product of bets (:mod:`.bets`). The rules,
their weights and the false-alarm arithmetic are in docs/notes/judgement.md.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

import msgspec

from springmux.rollout.judgement.chance import (
    chance_of_bad,
    log_error_rise_excluded,
    log_sum_exp,
    poisson_tail,
)
from springmux.rollout.judgement.digest import (
    MILLINATS,
    EngineEvidence,
    EngineUse,
    EpochEvidence,
    EvidenceDigest,
)
from springmux.rollout.judgement.evidence_table import EPOCHS
from springmux.rollout.plan import RolloutDecision, RolloutPlan

GUARD_BAD_ANSWERS = 25
"""Bad answers from which the guard applies: half of the fifty that start the rollback time."""
GUARD_BAD_ANSWERS_ONE_ENGINE = 40
"""Bad answers from which even those of a single engine count against the version. It is below the fifty that
start the rollback time, with one round to spare."""
GUARD_CHANCE = 1e-4
"""Chance of the candidate's number of bad answers, per check, below which the guard aborts. At twice the
stable version's error rate, forty to fifty bad answers are enough, whatever the rate. The chance is small
because the guard checks every round, start and route."""
MIN_STABLE_ANSWERS = 100
"""With fewer stable answers since a start, the complete rollout's give the usual error rate."""
MIN_OTHER_ANSWERS = 8
"""Answers of the other engines that are needed to attribute a fault to a single engine."""
CLEAN_LEVEL = 0.001
"""Other engines count as good unless their number of bad answers has a lower probability by chance."""
MIN_LOST_ENGINES = 3
"""Number of lost candidate engines from which a version may be aborted. Two may be a crash and a second one
right after the repair."""
PASS_LEVEL = 0.05
"""Chance, per test, of wrongly reporting that a rise beyond the limits is excluded. A pass is only reported
and decides nothing."""
ALL_ROUTES = "all routes"
NAME_ALL_MARGIN = math.log(2)
"""Margin by which all routes together must exceed a single route to be named in a decision, so that equal
evidence names the single route. Only the decision's text depends on it."""

_ERROR_TEST = "errors"
_LATENCY_TESTS = ("first_token", "token_gap")


class Verdict(msgspec.Struct, frozen=True):
    """Result of judging a candidate.

    ``abort``: the candidate is significantly and relevantly worse. ``passed``: a rise beyond the limits is
    excluded. ``decision``: the reason of an abort.
    """

    abort: bool
    passed: bool
    decision: RolloutDecision | None


class Scope(msgspec.Struct, frozen=True):
    """Evidence of one route or of all routes; ``suffixes[i]`` sums the epochs from the i-th on."""

    name: str
    suffixes: tuple[EpochEvidence, ...]
    engines: tuple[EngineEvidence, ...]
    lost: frozenset[int]


class _Finding(msgspec.Struct, frozen=True):
    """One test's e-value (as a natural logarithm) and the sums of the start that contributed most."""

    test: str
    scope: Scope
    log_e: float
    sums: EpochEvidence


class Judge:
    """Judges merged evidence under the limits of ``plan``."""

    def __init__(self, plan: RolloutPlan) -> None:
        self._limits = plan.limits
        self._needed = -math.log(plan.limits.false_alarm)

    def judge(self, evidence: EvidenceDigest) -> Verdict:
        """Return the verdict on all evidence so far."""
        scopes = scopes_of(evidence)
        decision = self._lost_engines(evidence.engines) or self._guard(scopes)
        decision = decision or self._tests(scopes)
        if decision is not None:
            return Verdict(True, False, decision)
        return Verdict(False, self._passes(scopes[0]), None)

    def _tests(self, scopes: Sequence[Scope]) -> RolloutDecision | None:
        findings: list[_Finding] = []
        weights: list[float] = []
        routes = len(scopes) - 1
        for index, scope in enumerate(scopes):
            weight = 0.5 / 3 if index == 0 else 0.5 / (3 * routes)
            found = [self._error_finding(scope), *(_latency_finding(scope, t) for t in _LATENCY_TESTS)]
            findings += found
            weights += [weight] * len(found)
        log_terms = [f.log_e + math.log(w) for f, w in zip(findings, weights, strict=True)]
        log_e = log_sum_exp(log_terms)
        if log_e < self._needed:
            return None
        return self._decision(max(findings, key=_naming_order), log_e)

    def _error_finding(self, scope: Scope) -> _Finding:
        def log_bets(sums: EpochEvidence) -> tuple[int, ...]:
            if not self._relevant(sums) or _one_engine_at_fault(scope, sums):
                return ()
            return (sums.error_4, sums.error_16, sums.error_100)

        return _finding(_ERROR_TEST, scope, [log_bets(sums) for sums in scope.suffixes], 3)

    def _relevant(self, sums: EpochEvidence) -> bool:
        rise = _rate(sums.candidate_bad, sums.candidate_total) - _rate(sums.stable_bad, sums.stable_total)
        return rise >= self._limits.error_rise

    def _guard(self, scopes: Sequence[Scope]) -> RolloutDecision | None:
        for scope in scopes:
            for sums in scope.suffixes:
                if sums.candidate_bad < GUARD_BAD_ANSWERS or not self._relevant(sums):
                    continue
                reference = sums if sums.stable_total >= MIN_STABLE_ANSWERS else scope.suffixes[0]
                if chance_of_bad(sums, reference) > GUARD_CHANCE:
                    continue
                if sums.candidate_bad >= GUARD_BAD_ANSWERS_ONE_ENGINE or not _one_engine_at_fault(
                    scope, sums
                ):
                    reason = f"{sums.candidate_bad} bad answers at a rate above the limit"
                    return RolloutDecision("judge", reason, "guard", scope.name, _error_figures(sums))
        return None

    def _lost_engines(self, uses: tuple[EngineUse, ...]) -> RolloutDecision | None:
        lost, used = _count_lost(uses, candidate=True)
        stable_lost, stable_used = _count_lost(uses, candidate=False)
        share = lost / max(used, 1)
        if lost < MIN_LOST_ENGINES or share < 0.5 or 2 * stable_lost / max(stable_used, 1) > share:
            return None
        figures = f"candidate {lost} of {used} engines lost, stable {stable_lost} of {stable_used}"
        reason = "half or more of the candidate's engines were lost"
        return RolloutDecision("judge", reason, "lost_engines", ALL_ROUTES, figures)

    def _decision(self, finding: _Finding, log_e: float) -> RolloutDecision:
        limits = self._limits
        strength = f"e-value 10^{log_e / math.log(10):.1f}, needed 10^{self._needed / math.log(10):.1f}"
        if finding.test == _ERROR_TEST:
            reason = f"error rate rose by more than {limits.error_rise:.1%}"
            figures = f"{_error_figures(finding.sums)}; {strength}"
        else:
            ratio = limits.first_token_ratio if finding.test == "first_token" else limits.token_gap_ratio
            name = finding.test.replace("_", " ")
            reason = f"{name} slower than {ratio:g} times that of like prompts on the stable version"
            figures = f"{finding.sums.candidate_total} candidate answers; {strength}"
        return RolloutDecision("judge", reason, finding.test, finding.scope.name, figures)

    def _passes(self, scope: Scope) -> bool:
        if not scope.suffixes:
            return False
        sums = scope.suffixes[0]
        needed = -math.log(PASS_LEVEL)
        for test in _LATENCY_TESTS:
            mild, within = getattr(sums, f"{test}_mild"), getattr(sums, f"{test}_within")
            measured = bool(mild or within)
            if measured and within / MILLINATS < needed:
                return False
        return log_error_rise_excluded(sums, self._limits.error_rise) >= needed


def scopes_of(evidence: EvidenceDigest) -> list[Scope]:
    """Return the scope of all routes, followed by one for each route that the candidate has answered."""
    lost = frozenset(use.slot for use in evidence.engines if use.candidate and use.losses)
    answered = [route for route in evidence.routes if route.engines]
    epochs = _sum_by_epoch(epoch for route in answered for epoch in route.epochs)
    engines = tuple(engine for route in answered for engine in route.engines)
    return [
        Scope(ALL_ROUTES, _suffixes(epochs), engines, lost),
        *(Scope(route.route, _suffixes(route.epochs), route.engines, lost) for route in answered),
    ]


def _sum_by_epoch(rows: Iterable[EpochEvidence]) -> tuple[EpochEvidence, ...]:
    sums: dict[int, list[int]] = {}
    for row in rows:
        key, *numbers = msgspec.structs.astuple(row)
        present = sums.setdefault(key, [0] * len(numbers))
        for index, number in enumerate(numbers):
            present[index] += number
    return tuple(EpochEvidence(key, *sums[key]) for key in sorted(sums))


def _suffixes(epochs: tuple[EpochEvidence, ...]) -> tuple[EpochEvidence, ...]:
    suffixes: list[EpochEvidence] = []
    running = [0] * (len(EpochEvidence.__struct_fields__) - 1)
    for epoch in reversed(epochs):
        number, *numbers = msgspec.structs.astuple(epoch)
        running = [a + b for a, b in zip(running, numbers, strict=True)]
        suffixes.append(EpochEvidence(number, *running))
    return tuple(reversed(suffixes))


def _latency_finding(scope: Scope, test: str) -> _Finding:
    mild, steep = f"{test}_mild", f"{test}_steep"
    rows = [(getattr(sums, mild), getattr(sums, steep)) for sums in scope.suffixes]
    return _finding(test, scope, rows, 2)


def _finding(test: str, scope: Scope, rows: Sequence[tuple[int, ...]], width: int) -> _Finding:
    """Mix the bets over alternatives (``width``) and over the :data:`EPOCHS` possible starts.

    A start that is still to come keeps its stake, so it contributes an e-value of 1.
    """
    best_at = max(range(len(rows)), key=lambda at: max(rows[at], default=-math.inf), default=0)
    waiting = max(EPOCHS - len(rows), 0) * width
    terms = [log_bet / MILLINATS for row in rows for log_bet in row]
    if waiting:
        terms.append(math.log(waiting))
    log_e = log_sum_exp(terms) - math.log(EPOCHS * width)
    sums = scope.suffixes[best_at] if scope.suffixes else EpochEvidence(0)
    return _Finding(test, scope, log_e, sums)


def _naming_order(finding: _Finding) -> float:
    """Return the sort key of a finding; it prefers a single route unless all routes are clearly stronger."""
    return finding.log_e - (NAME_ALL_MARGIN if finding.scope.name == ALL_ROUTES else 0.0)


def _one_engine_at_fault(scope: Scope, window: EpochEvidence) -> bool:
    """Return whether the bad answers since ``window`` began are one engine's while the others are good.

    If hardly any other engine was used, the version is held responsible, unless that engine was
    reported lost: timeouts on a lost engine are part of its loss.
    """
    if window.candidate_bad == 0:
        return False
    counts: dict[int, list[int]] = {}
    for engine in scope.engines:
        if engine.epoch >= window.epoch:
            count = counts.setdefault(engine.slot, [0, 0])
            count[0] += engine.bad
            count[1] += engine.total
    if not counts:
        return False
    worst = max(counts, key=lambda slot: counts[slot][0])
    other_answers = sum(engine.total for engine in scope.engines if engine.slot != worst)
    if other_answers < MIN_OTHER_ANSWERS:
        return worst in scope.lost
    other_bad = sum(bad for slot, (bad, _) in counts.items() if slot != worst)
    other_total = sum(total for slot, (_, total) in counts.items() if slot != worst)
    complete = scope.suffixes[0]
    rate = (complete.stable_bad + 0.5) / (complete.stable_total + 1)
    rate = max(rate, _rate(window.stable_bad, window.stable_total))
    return poisson_tail(other_bad, rate * other_total) > CLEAN_LEVEL


def _count_lost(uses: tuple[EngineUse, ...], *, candidate: bool) -> tuple[int, int]:
    selected = [use for use in uses if use.candidate is candidate]
    return sum(use.losses > 0 for use in selected), len(selected)


def _rate(bad: int, total: int) -> float:
    return bad / total if total > 0 else 0.0


def _error_figures(sums: EpochEvidence) -> str:
    return (
        f"candidate {sums.candidate_bad} bad of {sums.candidate_total}, "
        f"stable {sums.stable_bad} of {sums.stable_total}"
    )
