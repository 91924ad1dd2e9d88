"""Operating characteristics of the rollout judge, measured on simulated rollouts.

Outcomes of prompts are generated with numpy from a seed and evaluated by the real :class:`EvidenceTable` and
:class:`Judge`; network and engines are models. Two baselines are evaluated on the same outcomes: a threshold
on pooled counts and means, and the same judge without strata by expected cache hit.
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

    ``aborted``: number of aborted rollouts. ``aborted_early``: number of them aborted before the candidate
    turned bad. ``prompts_median``, ``prompts_p95``: number of the candidate's prompts between the time at
    which it turns bad and the abort. ``bad_median``, ``bad_p95``: number of bad responses among them (errors,
    not slow responses). Medians and percentiles are over the aborted rollouts.
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


class _Abort(msgspec.Struct, frozen=True):
    """Abort of a rollout at the time ``at``, in seconds.

    ``prompts``: number of the candidate's prompts after it turned bad, until the abort. ``bad``: number of
    bad responses among them.
    """

    at: float
    prompts: int
    bad: int


class _UnstratifiedEvidence(EvidenceTable):
    """Baseline: the judge's evidence with strata by prompt size only, not by expected cache hit."""

    def _stratum(self, outcome: PromptOutcome) -> int:
        return outcome.prompt_bytes.bit_length() // 2


class _PooledThreshold:
    """Baseline that aborts on pooled counts and means.

    It aborts from 5 bad responses on if the candidate's error rate exceeds the stable one by the limit, and
    from 30 timed responses on if the ratio of the mean latencies exceeds its limit.
    """

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

    def should_abort(self) -> bool:
        candidate, stable = self._sums[True], self._sums[False]
        if not (candidate[0] and stable[0]):
            return False
        rise = candidate[1] / candidate[0] - stable[1] / stable[0]
        if candidate[1] >= 5 and rise >= self._limits.error_rise:
            return True
        if candidate[2] < 30 or not stable[2]:
            return False
        scale = candidate[2] / stable[2]
        slow_first_token = candidate[3] > self._limits.first_token_ratio * scale * stable[3]
        return slow_first_token or candidate[4] > self._limits.token_gap_ratio * scale * stable[4]


METHODS = ("judge", "no strata", "pooled threshold")


def _run_rollout(
    scenario: Scenario, seed: int, plan: RolloutPlan, methods: Sequence[str]
) -> dict[str, _Abort]:
    """Evaluate one rollout with every method; return the abort of each method that aborts it."""
    judge = Judge(plan)
    evidence_tables: dict[str, Sequence[EvidenceTable]] = {
        "judge": [EvidenceTable(SERVICE, STABLE, CANDIDATE, plan) for _ in range(NODES)],
        "no strata": [_UnstratifiedEvidence(SERVICE, STABLE, CANDIDATE, plan) for _ in range(NODES)],
    }
    evidence_tables = {method: fleet for method, fleet in evidence_tables.items() if method in methods}
    pooled = _PooledThreshold(plan) if METHODS[2] in methods else None
    aborts: dict[str, _Abort] = {}
    prompts = bad = 0
    next_evaluation_at = EVALUATION_PERIOD_S
    for ended in SimulatedRollout(scenario, seed, plan.by_s).outcomes():
        while ended.ended_at >= next_evaluation_at:
            for method, fleet in evidence_tables.items():
                if method not in aborts and judge.judge(merge_all(table.digest() for table in fleet)).abort:
                    aborts[method] = _Abort(next_evaluation_at, prompts, bad)
            if pooled and METHODS[2] not in aborts and pooled.should_abort():
                aborts[METHODS[2]] = _Abort(next_evaluation_at, prompts, bad)
            next_evaluation_at += EVALUATION_PERIOD_S
            if len(aborts) == len(methods):
                return aborts
        for fleet in evidence_tables.values():
            fleet[ended.node].record(ended.outcome, ended.ended_at)
        if pooled:
            pooled.record(ended.outcome)
        prompts += ended.faulty
        bad += ended.faulty and ended.outcome.ending in BAD_ENDINGS
    return aborts


def run_trials(
    seeds: int,
    scenarios: Sequence[Scenario] = SCENARIOS,
    first_seed: int = 0,
    methods: Sequence[str] = METHODS,
) -> list[TrialRow]:
    """Return the results of each scenario under each method, over ``seeds`` rollouts per scenario."""
    plan = RolloutPlan(SERVICE, CANDIDATE)
    seed_range = range(first_seed, first_seed + seeds)
    rows: list[TrialRow] = []
    for scenario in scenarios:
        runs = [_run_rollout(scenario, seed, plan, methods) for seed in seed_range]
        rows += [_row(scenario, method, runs, plan.by_s) for method in methods]
    return rows


def _row(scenario: Scenario, method: str, runs: Sequence[dict[str, _Abort]], by_s: float) -> TrialRow:
    aborts = [run[method] for run in runs if method in run]
    early = sum(abort.at <= scenario.from_share * by_s for abort in aborts if not scenario.good)
    prompts = [abort.prompts for abort in aborts] or [0]
    bad = [abort.bad for abort in aborts] or [0]
    return TrialRow(
        scenario.name,
        scenario.good,
        method,
        len(runs),
        len(aborts),
        early,
        float(np.median(prompts)),
        float(np.percentile(prompts, 95)),
        float(np.median(bad)),
        float(np.percentile(bad, 95)),
    )
