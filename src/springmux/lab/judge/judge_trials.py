"""Operating characteristics of the rollout's judge, measured over simulated rollouts.

Prompts are generated with numpy from a seed and pass through the real :class:`EvidenceTable` and
:class:`Judge`; network and engines are models. Beside the judge stand two baselines: a threshold on
pooled counts and means, and the same judge without strata by expected cache hit.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
import numpy as np

from springmux.lab.judge.simulated_rollouts import (
    CANDIDATE,
    NODES,
    SCENARIOS,
    SERVICE,
    STABLE,
    Scenario,
    SimulatedRollout,
)
from springmux.rollout.judgement.digest import merge_all
from springmux.rollout.judgement.evidence_table import EvidenceTable
from springmux.rollout.judgement.judge import Judge
from springmux.rollout.outcome import BAD_ENDINGS, Ending, PromptOutcome
from springmux.rollout.plan import RolloutPlan

EVALUATION_PERIOD_S = 0.5
"""Time between two evaluations of the merged evidence."""


class TrialRow(msgspec.Struct, frozen=True):
    """Results of one scenario under one method, over ``rollouts`` seeds.

    ``aborted``: rollouts aborted. ``prompts_median``/``prompts_p95``: candidate prompts from the
    moment the version turns bad until the abort; ``bad_median``/``bad_p95``: bad responses until then
    (errors, not slow ones); all over the aborted rollouts.
    """

    scenario: str
    good: bool
    method: str
    rollouts: int
    aborted: int
    aborted_early: int
    prompts_median: float
    prompts_p95: float
    bad_median: float
    bad_p95: float


class _Stop(msgspec.Struct, frozen=True):
    """Time at which a method aborted a rollout, and the candidate's prompts and bad responses until then."""

    at: float
    prompts: int
    bad: int


class _UnstratifiedEvidence(EvidenceTable):
    """The judge's evidence without strata by expected cache hit (a baseline)."""

    def _stratum(self, outcome: PromptOutcome) -> int:
        return outcome.prompt_bytes.bit_length() // 2


class _PooledThreshold:
    """Baseline: abort at 5 bad responses with a rate above the limit, or at 30 with mean ratio above it."""

    def __init__(self, plan: RolloutPlan) -> None:
        self._limits = plan.limits
        self._sums = {True: [0.0] * 6, False: [0.0] * 6}

    def record(self, outcome: PromptOutcome) -> None:
        if outcome.ending is Ending.ENGINE_LOST:
            return
        sums = self._sums[outcome.version == CANDIDATE]
        sums[0] += 1
        sums[1] += outcome.ending in BAD_ENDINGS
        if outcome.first_token_s is not None and outcome.token_gap_s is not None:
            sums[2] += 1
            sums[3] += outcome.first_token_s
            sums[4] += outcome.token_gap_s

    def abort(self) -> bool:
        candidate, stable = self._sums[True], self._sums[False]
        if not (candidate[0] and stable[0]):
            return False
        rise = candidate[1] / candidate[0] - stable[1] / stable[0]
        if candidate[1] >= 5 and rise >= self._limits.error_rise:
            return True
        if candidate[2] < 30 or not stable[2]:
            return False
        scale = candidate[2] / stable[2]
        slow_start = candidate[3] > self._limits.first_token_ratio * scale * stable[3]
        return slow_start or candidate[4] > self._limits.token_gap_ratio * scale * stable[4]


METHODS = ("judge", "no strata", "pooled threshold")


def _run_rollout(
    scenario: Scenario, seed: int, plan: RolloutPlan, methods: Sequence[str]
) -> dict[str, _Stop]:
    """Run one rollout under every method at once; return the abort of each method that aborted."""
    judge = Judge(plan)
    evidence_tables: dict[str, Sequence[EvidenceTable]] = {
        "judge": [EvidenceTable(SERVICE, STABLE, CANDIDATE, plan) for _ in range(NODES)],
        "no strata": [_UnstratifiedEvidence(SERVICE, STABLE, CANDIDATE, plan) for _ in range(NODES)],
    }
    evidence_tables = {method: fleet for method, fleet in evidence_tables.items() if method in methods}
    pooled = _PooledThreshold(plan) if METHODS[2] in methods else None
    stops: dict[str, _Stop] = {}
    prompts = bad = 0
    next_evaluation = EVALUATION_PERIOD_S
    for ended in SimulatedRollout(scenario, seed, plan.by_s).outcomes():
        while ended.ended_at >= next_evaluation:
            for method, fleet in evidence_tables.items():
                if method not in stops and judge.judge(merge_all(table.digest() for table in fleet)).abort:
                    stops[method] = _Stop(next_evaluation, prompts, bad)
            if pooled and METHODS[2] not in stops and pooled.abort():
                stops[METHODS[2]] = _Stop(next_evaluation, prompts, bad)
            next_evaluation += EVALUATION_PERIOD_S
            if len(stops) == len(methods):
                return stops
        for fleet in evidence_tables.values():
            fleet[ended.node].record(ended.outcome, ended.ended_at)
        if pooled:
            pooled.record(ended.outcome)
        prompts += ended.faulty
        bad += ended.faulty and ended.outcome.ending in BAD_ENDINGS
    return stops


def run_trials(
    seeds: int,
    scenarios: Sequence[Scenario] = SCENARIOS,
    first_seed: int = 0,
    methods: Sequence[str] = METHODS,
) -> list[TrialRow]:
    """Return the results of each scenario under each method, over ``seeds`` rollouts each."""
    plan = RolloutPlan(SERVICE, CANDIDATE)
    numbers = range(first_seed, first_seed + seeds)
    rows: list[TrialRow] = []
    for scenario in scenarios:
        runs = [_run_rollout(scenario, seed, plan, methods) for seed in numbers]
        rows += [_row(scenario, method, runs, plan.by_s) for method in methods]
    return rows


def _row(scenario: Scenario, method: str, runs: Sequence[dict[str, _Stop]], by_s: float) -> TrialRow:
    stops = [run[method] for run in runs if method in run]
    early = sum(stop.at <= scenario.from_share * by_s for stop in stops if not scenario.good)
    prompts = [stop.prompts for stop in stops] or [0]
    bad = [stop.bad for stop in stops] or [0]
    return TrialRow(
        scenario.name,
        scenario.good,
        method,
        len(runs),
        len(stops),
        early,
        float(np.median(prompts)),
        float(np.percentile(prompts, 95)),
        float(np.median(bad)),
        float(np.percentile(bad, 95)),
    )
