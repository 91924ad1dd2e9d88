"""Checkers of the data plane's promises over a run's records."""

from __future__ import annotations

from collections import Counter, defaultdict

from springmux.lab.checks.control_promises import CONTROL_CHECKERS
from springmux.lab.checks.measure import worst_share
from springmux.lab.checks.quota_promises import QUOTA_CHECKERS
from springmux.lab.checks.rollout_promises import ROLLOUT_CHECKERS
from springmux.lab.checks.verdict import Checker, Verdict, judged, untested
from springmux.lab.records import CallRecord, RunRecords

DRAIN_BOUND_S = 2.0
REPEAT_SHARE = 0.20
REPEAT_WINDOW_S = 10.0
REPEAT_FLOOR = 36
"""Each of a dozen nodes may repeat 3 requests whatever its traffic (the retry budget's floor)."""
WHOLE_SHARE_DIGITS = 4


def at_most_once(records: RunRecords) -> Verdict:
    """No action of a non-repeatable route runs twice."""
    promise, bound = "an approval or sale runs at most once", "0 actions run twice"
    counts = Counter((run.service, run.action) for run in records.executions)
    if not counts:
        return untested(promise, bound)
    breaks = [
        f"{service} {action}: ran {count} times" for (service, action), count in counts.items() if count > 1
    ]
    return judged(promise, bound, f"{len(breaks)} of {len(counts)} actions", breaks)


def refused_never_ran(records: RunRecords) -> Verdict:
    """What the fleet finally refused never ran, and nothing runs after its last refusal."""
    promise, bound = "a refused call never runs", "0 refused calls ran"
    sendings: dict[str, list[CallRecord]] = defaultdict(list)
    for call in records.calls:
        if call.kind == "call":
            sendings[call.action].append(call)
    ran_at = {run.action: run.at_s - records.began_at_s for run in records.executions}
    refused = 0
    breaks = []
    for action, calls in sendings.items():
        last = max(calls, key=lambda call: call.attempt)
        if not (last.reported_by_node and last.fate == "refused"):
            continue
        refused += 1
        if action not in ran_at:
            continue
        never_possible = all(call.fate == "refused" for call in calls)
        if never_possible or ran_at[action] > last.ended_s:
            breaks.append(
                f"{action}: refused by {last.node} ({last.code}) at {last.ended_s:.2f} s,"
                f" ran at {ran_at[action]:.2f} s"
            )
    if not sendings:
        return untested(promise, bound)
    return judged(promise, bound, f"{len(breaks)} of {refused} refused calls", breaks)


def whole_answers(records: RunRecords) -> Verdict:
    """No answer is another's, spliced, or passed as complete before its end."""
    promise, bound = "every answer is its engine's whole answer", "0 faulty answers"
    if not records.calls:
        return untested(promise, bound)
    breaks = [
        f"{call.route} by {call.node} from {call.engine} at {call.at_s:.2f} s ({call.request}): {call.fault}"
        for call in records.calls
        if call.fault
    ]
    whole = sum(call.complete for call in records.calls)
    return judged(promise, bound, f"{len(breaks)} faulty, {whole} whole", breaks)


def drained_engines_rest(records: RunRecords) -> Verdict:
    """A draining engine gets no new request more than 2 s after a node learned it."""
    promise, bound = "a draining engine gets no new requests", f"<= {DRAIN_BOUND_S:g} s"
    if not records.drains:
        return untested(promise, bound)
    latest_s = 0.0
    breaks = []
    for drain in records.drains:
        later = [
            arrival
            for arrival in records.arrivals
            if arrival.engine == drain.engine and drain.acknowledged_at_s < arrival.at_s < drain.gone_at_s
        ]
        if not later:
            continue
        after_s = later[-1].at_s - drain.acknowledged_at_s
        latest_s = max(latest_s, after_s)
        if after_s > DRAIN_BOUND_S:
            late = sum(arrival.at_s - drain.acknowledged_at_s > DRAIN_BOUND_S for arrival in later)
            breaks.append(f"{drain.engine}: {late} requests later, the last after {after_s:.2f} s")
    return judged(promise, bound, f"last after {latest_s:.2f} s, {len(records.drains)} drains", breaks)


def bounded_repeats(records: RunRecords) -> Verdict:
    """Second sendings of one request by the fleet stay below a fifth of its traffic in any 10 s."""
    promise = "repeats of all nodes"
    bound = f"<= {REPEAT_SHARE:.0%} in any {REPEAT_WINDOW_S:g} s"
    if not records.arrivals:
        return untested(promise, bound)
    seen: set[str] = set()
    events = []
    for arrival in records.arrivals:
        events.append((arrival.at_s, arrival.request in seen))
        seen.add(arrival.request)
    worst = worst_share(events, REPEAT_WINDOW_S, REPEAT_FLOOR)
    repeats = sum(repeated for _, repeated in events)
    measured = f"worst {worst.share:.1%}, {repeats} repeats of {len(events)} requests"
    at_s = worst.ends_at_s - records.began_at_s
    breaks = [f"{worst.count} of {worst.total} in the 10 s before {at_s:.1f} s"]
    return judged(promise, bound, measured, breaks if worst.share > REPEAT_SHARE else [])


def service_goes_on(records: RunRecords) -> Verdict:
    """Show the share of requests that got a whole answer in the end; the brief has no bound for it."""
    promise, bound = "requests answered whole in the end", "shown"
    finals: dict[str, bool] = {}
    for call in records.calls:
        finals[call.action] = finals.get(call.action, False) or call.complete
    if not finals:
        return untested(promise, bound)
    whole = sum(finals.values())
    return Verdict(
        promise=promise, bound=bound, measured=f"{whole / len(finals):.2%} of {len(finals)}", kept=None
    )


def script_carried_through(records: RunRecords) -> Verdict:
    """Every fault healed and every order of the script was taken; else the run shows less than it seems."""
    promise, bound = "the fleet recovers from each fault", "0 troubles"
    breaks = [
        f"{failure.what} at {failure.at_s - records.began_at_s:.1f} s: {failure.reason}"
        for failure in records.script_failures
    ]
    return judged(promise, bound, f"{len(breaks)} troubles, {len(records.faults)} fault events", breaks)


DATA_PLANE_CHECKERS: tuple[Checker, ...] = (
    at_most_once,
    refused_never_ran,
    whole_answers,
    drained_engines_rest,
    bounded_repeats,
)


def check_all(records: RunRecords) -> list[Verdict]:
    """Return the verdicts on every promise, in the brief's order of planes."""
    checkers = (
        *DATA_PLANE_CHECKERS,
        *QUOTA_CHECKERS,
        *ROLLOUT_CHECKERS,
        *CONTROL_CHECKERS,
        script_carried_through,
        service_goes_on,
    )
    return [checker(records) for checker in checkers]
