"""All checks of a run: those of the planes, the quotas and the rollouts, and those of the whole run."""

from __future__ import annotations

from springmux.lab.checks.control_plane_checks import CONTROL_CHECKERS
from springmux.lab.checks.data_plane_checks import DATA_PLANE_CHECKERS
from springmux.lab.checks.quota_checks import QUOTA_CHECKERS
from springmux.lab.checks.rollout_checks import ROLLOUT_CHECKERS
from springmux.lab.checks.verdict import Verdict, untested, verdict_from
from springmux.lab.records import RunRecords


def served_share(records: RunRecords) -> Verdict:
    """Report the share of requests that got a complete response in some attempt; it has no bound."""
    promise, bound = "requests answered whole in the end", "shown"
    completed_by_action: dict[str, bool] = {}
    for call in records.calls:
        completed_by_action[call.action] = completed_by_action.get(call.action, False) or call.complete
    if not completed_by_action:
        return untested(promise, bound)
    complete = sum(completed_by_action.values())
    return Verdict(
        promise=promise,
        bound=bound,
        measured=f"{complete / len(completed_by_action):.2%} of {len(completed_by_action)}",
        kept=None,
    )


def script_completed(records: RunRecords) -> Verdict:
    """Check that every step of the script succeeded; a failed step means that the run tested less."""
    promise, bound = "the fleet recovers from each fault", "0 troubles"
    violations = [
        f"{failure.what} at {failure.at_s - records.began_at_s:.1f} s: {failure.reason}"
        for failure in records.script_failures
    ]
    return verdict_from(
        promise, bound, f"{len(violations)} troubles, {len(records.faults)} fault events", violations
    )


def check_all(records: RunRecords) -> list[Verdict]:
    """Return the verdict of every check."""
    checkers = (
        *DATA_PLANE_CHECKERS,
        *QUOTA_CHECKERS,
        *ROLLOUT_CHECKERS,
        *CONTROL_CHECKERS,
        script_completed,
        served_share,
    )
    return [checker(records) for checker in checkers]
