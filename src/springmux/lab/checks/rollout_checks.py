"""Checks of the promises on rollouts over the records of a run."""

from __future__ import annotations

from springmux.lab.checks.measurements import count_between
from springmux.lab.checks.verdict import Checker, Verdict, untested, verdict_from
from springmux.lab.records import RolloutRun, RunRecords

ROLLBACK_BOUND_S = 5.0
ROLLBACK_CLOCK_BAD_RESPONSES = 50
"""The time to the rollback counts from this bad response on."""


def bounded_exposure(records: RunRecords) -> Verdict:
    """Check that a bad version gets at most a tenth of the prompts during its rollout, plus the allowance."""
    promise, bound = "a bad version's share of the prompts", "<= 10% + allowance"
    runs = [run for run in records.rollouts if run.bad]
    if not runs:
        return untested(promise, bound)
    measured = []
    violations = []
    for run in runs:
        exposed, total = _exposure(records, run)
        allowed = run.expose_share * total + run.allowance
        measured.append(f"{run.candidate}: {exposed} of {total} (at most {allowed:.0f})")
        if exposed > allowed:
            violations.append(f"{run.candidate}: {exposed} prompts of {total}, at most {allowed:.0f}")
    return verdict_from(promise, bound, "; ".join(measured), violations)


def _exposure(records: RunRecords, run: RolloutRun) -> tuple[int, int]:
    """Return the numbers of prompts to the candidate, and to the whole service during the rollout."""
    prompts = [arrival for arrival in records.arrivals if arrival.service == run.service]
    candidates = [arrival.at_s for arrival in prompts if arrival.version == run.candidate]
    end_s = max(run.ended_at_s or records.ended_at_s, candidates[-1] if candidates else 0.0)
    total = count_between([arrival.at_s for arrival in prompts], run.began_at_s, end_s)
    return len(candidates), total


def prompt_rollback(records: RunRecords) -> Verdict:
    """Check that no prompt reaches a bad version more than 5 s after its fiftieth bad response."""
    promise, bound = "last prompt after the fiftieth bad answer", f"<= {ROLLBACK_BOUND_S:g} s"
    runs = [run for run in records.rollouts if run.bad]
    if not runs:
        return untested(promise, bound)
    measured = []
    violations = []
    for run in runs:
        bad = [
            e.at_s
            for e in records.endings
            if e.version == run.candidate and e.service == run.service and e.bad
        ]
        sent = [a.at_s for a in records.arrivals if a.version == run.candidate and a.service == run.service]
        if len(bad) < ROLLBACK_CLOCK_BAD_RESPONSES:
            measured.append(f"{run.candidate}: {len(bad)} bad answers in all, {run.phase or 'no end'}")
            continue
        after_s = max(0.0, sent[-1] - bad[ROLLBACK_CLOCK_BAD_RESPONSES - 1])
        measured.append(f"{run.candidate}: {after_s:.2f} s, {len(bad)} bad answers")
        if after_s > ROLLBACK_BOUND_S:
            violations.append(f"{run.candidate}: {after_s:.2f} s after; {run.phase}; {run.reason}")
    return verdict_from(promise, bound, "; ".join(measured), violations)


def bad_version_not_released(records: RunRecords) -> Verdict:
    """Check that no bad version is released."""
    promise, bound = "a bad version is not released", "0 released"
    runs = [run for run in records.rollouts if run.bad]
    if not runs:
        return untested(promise, bound)
    measured = "; ".join(f"{run.candidate}: {run.phase or 'no end'}" for run in runs)
    violations = [f"{run.candidate} is {run.phase}: {run.reason}" for run in runs if run.phase == "done"]
    return verdict_from(promise, bound, measured, violations)


def good_rollout_completed(records: RunRecords) -> Verdict:
    """Check that the rollout of a good version completes by its deadline."""
    promise, bound = "a good rollout is done by its term", "<= by_s"
    runs = [run for run in records.rollouts if not run.bad]
    if not runs:
        return untested(promise, bound)
    measured = []
    violations = []
    for run in runs:
        took_s = (run.ended_at_s or records.ended_at_s) - run.began_at_s
        measured.append(f"{run.candidate}: {run.phase or 'no end'} after {took_s:.1f} of {run.by_s:g} s")
        if run.phase != "done" or took_s > run.by_s:
            violations.append(f"{run.candidate}: {run.phase or 'no end'} after {took_s:.1f} s; {run.reason}")
    return verdict_from(promise, bound, "; ".join(measured), violations)


ROLLOUT_CHECKERS: tuple[Checker, ...] = (
    bounded_exposure,
    prompt_rollback,
    bad_version_not_released,
    good_rollout_completed,
)
