"""Checks of the data plane's promises over the records of a run."""

from __future__ import annotations

from collections import Counter, defaultdict

from springmux.lab.checks.measurements import worst_window
from springmux.lab.checks.verdict import Checker, Verdict, untested, verdict_from
from springmux.lab.records import CallRecord, RunRecords

DRAIN_BOUND_S = 2.0
RETRY_SHARE = 0.20
RETRY_WINDOW_S = 10.0
RETRY_FLOOR = 36
"""Number of retries up to which the share is not checked.

Each of a dozen nodes may retry 3 requests at any traffic (the floor of the retry budget).
"""


def at_most_once(records: RunRecords) -> Verdict:
    """Check that no action of a non-repeatable route runs twice."""
    promise, bound = "an approval or sale runs at most once", "0 actions run twice"
    counts = Counter((run.service, run.action) for run in records.executions)
    if not counts:
        return untested(promise, bound)
    violations = [
        f"{service} {action}: ran {count} times" for (service, action), count in counts.items() if count > 1
    ]
    return verdict_from(promise, bound, f"{len(violations)} of {len(counts)} actions", violations)


def refused_never_ran(records: RunRecords) -> Verdict:
    """Check that no call runs after its last refusal, nor ever if each of its attempts was refused."""
    promise, bound = "a refused call never runs", "0 refused calls ran"
    attempts: dict[str, list[CallRecord]] = defaultdict(list)
    for call in records.calls:
        if call.kind == "call":
            attempts[call.action].append(call)
    ran_at = {run.action: run.at_s - records.began_at_s for run in records.executions}
    refused = 0
    violations = []
    for action, calls in attempts.items():
        last = max(calls, key=lambda call: call.attempt)
        if not (last.reported_by_node and last.fate == "refused"):
            continue
        refused += 1
        if action not in ran_at:
            continue
        refused_everywhere = all(call.fate == "refused" for call in calls)
        if refused_everywhere or ran_at[action] > last.ended_s:
            violations.append(
                f"{action}: refused by {last.node} ({last.code}) at {last.ended_s:.2f} s,"
                f" ran at {ran_at[action]:.2f} s"
            )
    if not attempts:
        return untested(promise, bound)
    return verdict_from(promise, bound, f"{len(violations)} of {refused} refused calls", violations)


def complete_responses(records: RunRecords) -> Verdict:
    """Check that no response belongs to another request, is spliced, or is reported complete too early."""
    promise, bound = "every answer is its engine's whole answer", "0 faulty answers"
    if not records.calls:
        return untested(promise, bound)
    violations = [
        f"{call.route} by {call.node} from {call.engine} at {call.at_s:.2f} s ({call.request}): {call.fault}"
        for call in records.calls
        if call.fault
    ]
    complete = sum(call.complete for call in records.calls)
    return verdict_from(promise, bound, f"{len(violations)} faulty, {complete} whole", violations)


def drained_engines_unused(records: RunRecords) -> Verdict:
    """Check that an engine gets no new request more than 2 s after a node acknowledged its drain."""
    promise, bound = "a draining engine gets no new requests", f"<= {DRAIN_BOUND_S:g} s"
    if not records.drains:
        return untested(promise, bound)
    latest_s = 0.0
    violations = []
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
            violations.append(f"{drain.engine}: {late} requests later, the last after {after_s:.2f} s")
    return verdict_from(
        promise, bound, f"last after {latest_s:.2f} s, {len(records.drains)} drains", violations
    )


def bounded_retries(records: RunRecords) -> Verdict:
    """Check that retries by the fleet are at most a fifth of its requests to engines in any 10 s."""
    promise = "repeats of all nodes"
    bound = f"<= {RETRY_SHARE:.0%} in any {RETRY_WINDOW_S:g} s"
    if not records.arrivals:
        return untested(promise, bound)
    seen: set[str] = set()
    events = []
    for arrival in records.arrivals:
        events.append((arrival.at_s, arrival.request in seen))
        seen.add(arrival.request)
    worst = worst_window(events, RETRY_WINDOW_S, RETRY_FLOOR)
    repeats = sum(repeated for _, repeated in events)
    measured = f"worst {worst.share:.1%}, {repeats} repeats of {len(events)} requests"
    at_s = worst.ends_at_s - records.began_at_s
    violations = [f"{worst.count} of {worst.total} in the 10 s before {at_s:.1f} s"]
    return verdict_from(promise, bound, measured, violations if worst.share > RETRY_SHARE else [])


DATA_PLANE_CHECKERS: tuple[Checker, ...] = (
    at_most_once,
    refused_never_ran,
    complete_responses,
    drained_engines_unused,
    bounded_retries,
)
