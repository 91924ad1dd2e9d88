"""Checkers of the rollouts' promises over a run's records."""

from __future__ import annotations

from springmux.lab.checks.measure import count_between
from springmux.lab.checks.verdict import Checker, Verdict, judged, untested
from springmux.lab.records import RolloutRun, RunRecords

ROLLBACK_BOUND_S = 5.0
TOLD_ANSWERS = 50
"""The rollback's clock starts at the fiftieth bad answer."""


def bounded_exposure(records: RunRecords) -> Verdict:
    """A bad version gets at most a tenth of its service's prompts during its rollout, plus the allowance."""
    promise, bound = "a bad version's share of the prompts", "<= 10% + allowance"
    runs = [run for run in records.rollouts if run.bad]
    if not runs:
        return untested(promise, bound)
    measured = []
    breaks = []
    for run in runs:
        exposed, total = _exposure(records, run)
        allowed = run.expose_share * total + run.allowance
        measured.append(f"{run.candidate}: {exposed} of {total} (at most {allowed:.0f})")
        if exposed > allowed:
            breaks.append(f"{run.candidate}: {exposed} prompts of {total}, at most {allowed:.0f}")
    return judged(promise, bound, "; ".join(measured), breaks)


def _exposure(records: RunRecords, run: RolloutRun) -> tuple[int, int]:
    """Return prompts sent to the candidate, and to the service while the rollout lasted."""
    prompts = [arrival for arrival in records.arrivals if arrival.service == run.service]
    candidates = [arrival.at_s for arrival in prompts if arrival.version == run.candidate]
    end_s = max(run.ended_at_s or records.ended_at_s, candidates[-1] if candidates else 0.0)
    total = count_between([arrival.at_s for arrival in prompts], run.began_at_s, end_s)
    return len(candidates), total


def quick_rollback(records: RunRecords) -> Verdict:
    """No prompt goes to a bad version more than 5 s after its fiftieth bad answer."""
    promise, bound = "last prompt after the fiftieth bad answer", f"<= {ROLLBACK_BOUND_S:g} s"
    runs = [run for run in records.rollouts if run.bad]
    if not runs:
        return untested(promise, bound)
    measured = []
    breaks = []
    for run in runs:
        bad = [
            e.at_s
            for e in records.endings
            if e.version == run.candidate and e.service == run.service and e.bad
        ]
        sent = [a.at_s for a in records.arrivals if a.version == run.candidate and a.service == run.service]
        if len(bad) < TOLD_ANSWERS:
            measured.append(f"{run.candidate}: {len(bad)} bad answers in all, {run.phase or 'no end'}")
            continue
        after_s = max(0.0, sent[-1] - bad[TOLD_ANSWERS - 1])
        measured.append(f"{run.candidate}: {after_s:.2f} s, {len(bad)} bad answers")
        if after_s > ROLLBACK_BOUND_S:
            breaks.append(f"{run.candidate}: {after_s:.2f} s after; {run.phase}; {run.reason}")
    return judged(promise, bound, "; ".join(measured), breaks)


def bad_is_taken_back(records: RunRecords) -> Verdict:
    """Not a number of the brief, but its meaning: a bad version is not released."""
    promise, bound = "a bad version is not released", "0 released"
    runs = [run for run in records.rollouts if run.bad]
    if not runs:
        return untested(promise, bound)
    measured = "; ".join(f"{run.candidate}: {run.phase or 'no end'}" for run in runs)
    breaks = [f"{run.candidate} is {run.phase}: {run.reason}" for run in runs if run.phase == "done"]
    return judged(promise, bound, measured, breaks)


def good_is_done(records: RunRecords) -> Verdict:
    """A good rollout is done by its term."""
    promise, bound = "a good rollout is done by its term", "<= by_s"
    runs = [run for run in records.rollouts if not run.bad]
    if not runs:
        return untested(promise, bound)
    measured = []
    breaks = []
    for run in runs:
        took_s = (run.ended_at_s or records.ended_at_s) - run.began_at_s
        measured.append(f"{run.candidate}: {run.phase or 'no end'} after {took_s:.1f} of {run.by_s:g} s")
        if run.phase != "done" or took_s > run.by_s:
            breaks.append(f"{run.candidate}: {run.phase or 'no end'} after {took_s:.1f} s; {run.reason}")
    return judged(promise, bound, "; ".join(measured), breaks)


ROLLOUT_CHECKERS: tuple[Checker, ...] = (bounded_exposure, quick_rollback, bad_is_taken_back, good_is_done)
