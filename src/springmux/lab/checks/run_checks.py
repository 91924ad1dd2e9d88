"""All checks of a run: those of each plane, and those of the run as a whole."""

from __future__ import annotations

from springmux.lab.checks.control_plane_checks import CONTROL_CHECKERS
from springmux.lab.checks.data_plane_checks import DATA_PLANE_CHECKERS
from springmux.lab.checks.quota_checks import QUOTA_CHECKERS
from springmux.lab.checks.rollout_checks import ROLLOUT_CHECKERS
from springmux.lab.checks.verdict import Verdict, untested, verdict_from
from springmux.lab.records import RunRecords


def served_share(records: RunRecords) -> Verdict:
    """Report the share of requests with a complete response in the end, without a bound."""
    promise, bound = "requests answered whole in the end", "shown"
    finals: dict[str, bool] = {}
    for call in records.calls:
        finals[call.action] = finals.get(call.action, False) or call.complete
    if not finals:
        return untested(promise, bound)
    complete = sum(finals.values())
    return Verdict(
        promise=promise, bound=bound, measured=f"{complete / len(finals):.2%} of {len(finals)}", kept=None
    )


def script_completed(records: RunRecords) -> Verdict:
    """Check that every step of the script succeeded; otherwise the run tested less than planned."""
    promise, bound = "the fleet recovers from each fault", "0 troubles"
    violations = [
        f"{failure.what} at {failure.at_s - records.began_at_s:.1f} s: {failure.reason}"
        for failure in records.script_failures
    ]
    return verdict_from(
        promise, bound, f"{len(violations)} troubles, {len(records.faults)} fault events", violations
    )


def check_all(records: RunRecords) -> list[Verdict]:
    """Return the verdicts on every promise, plane by plane."""
    checkers = (
        *DATA_PLANE_CHECKERS,
        *QUOTA_CHECKERS,
        *ROLLOUT_CHECKERS,
        *CONTROL_CHECKERS,
        script_completed,
        served_share,
    )
    return [checker(records) for checker in checkers]
