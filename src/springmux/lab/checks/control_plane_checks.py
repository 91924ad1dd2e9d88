"""Checks of the control plane's promises over the records of a run."""

from __future__ import annotations

from collections import defaultdict

from springmux.lab.checks.measurements import Span, fault_spans
from springmux.lab.checks.verdict import Checker, Verdict, untested, verdict_from
from springmux.lab.records import OrderRecord, RunRecords, StatusSample

DELIVERY_BOUND_S = 2.0
RECOVERY_BOUND_S = 12.0
REVOCATION_BOUND_S = 2.0


def changes_in_force(records: RunRecords) -> Verdict:
    """Check that a change is in force at every node 2 s after its acknowledgement.

    A node that has a fault itself (killed, frozen, partitioned) has 2 s from the end of the fault. Only
    ready nodes are checked, because a node that is not ready refuses requests.
    """
    promise, bound = "an acknowledged change is in force at every node", f"<= {DELIVERY_BOUND_S:g} s"
    accepted = [order for order in records.orders if order.accepted and order.revision]
    if not accepted or not records.samples:
        return untested(promise, bound)
    spans = fault_spans(records.faults, records.ended_at_s)
    by_node = _by_node(records.samples)
    latest_s = 0.0
    violations = []
    for order in accepted:
        for node, samples in by_node.items():
            due_s = _due_s(order.answered_at_s, spans.get(node, []))
            behind = [
                sample
                for sample in samples
                if sample.requested_at_s > order.answered_at_s
                and sample.ready
                and sample.revision < order.revision
            ]
            if not behind:
                continue
            last = behind[-1]
            latest_s = max(latest_s, last.requested_at_s - order.answered_at_s)
            if last.requested_at_s > due_s:
                after_s = last.requested_at_s - order.answered_at_s
                violations.append(
                    f"{node}: revision {last.revision} at {after_s:.2f} s after"
                    f" {order.kind} (revision {order.revision})"
                )
    measured = f"seen behind at most {latest_s:.2f} s after, {len(accepted)} changes"
    return verdict_from(promise, bound, measured, violations)


def _due_s(acknowledged_at_s: float, spans: list[Span]) -> float:
    """Return the time at which a change must be in force at a node that has these faults."""
    due_s = acknowledged_at_s + DELIVERY_BOUND_S
    for span in sorted(spans, key=lambda span: span.from_s):
        if span.intersects(acknowledged_at_s, due_s):
            due_s = max(due_s, span.to_s + DELIVERY_BOUND_S)
    return due_s


def no_state_regression(records: RunRecords) -> Verdict:
    """Check that no ready node returns to an older state, also not after a restart."""
    promise, bound = "a node never falls back to an older state", "0 steps back"
    by_node = _by_node(records.samples)
    if not by_node:
        return untested(promise, bound)
    violations = []
    seen = 0
    for node, samples in by_node.items():
        newest = 0
        for sample in samples:
            if not sample.ready:
                continue
            seen += 1
            if sample.revision < newest:
                at_s = sample.at_s - records.began_at_s
                violations.append(f"{node}: revision {sample.revision} after {newest} at {at_s:.2f} s")
            newest = max(newest, sample.revision)
    return verdict_from(promise, bound, f"{len(violations)} in {seen} samples", violations)


def _by_node(samples: list[StatusSample]) -> dict[str, list[StatusSample]]:
    by_node: dict[str, list[StatusSample]] = defaultdict(list)
    for sample in samples:
        if sample.answered:
            by_node[sample.node].append(sample)
    return by_node


def single_race_winner(records: RunRecords) -> Verdict:
    """Check that one of the concurrent orders for a version wins and the other responses name the winner."""
    promise, bound = "of racing operators one wins", "1 acknowledged in each race"
    races: dict[str, dict[str, list[OrderRecord]]] = defaultdict(lambda: defaultdict(list))
    for order in records.orders:
        if order.race:
            races[order.race][order.order].append(order)
    if not races:
        return untested(promise, bound)
    violations = []
    for race, orders in races.items():
        winners = {name for name, attempts in orders.items() if any(sent.accepted for sent in attempts)}
        if len(winners) != 1:
            violations.append(f"{race}: {len(winners)} of {len(orders)} acknowledged")
        for name, attempts in orders.items():
            last = attempts[-1]
            if name not in winners and not (last.status == 409 and last.has_winner):
                violations.append(
                    f"{race}: the loser got {last.status} {last.code}, winner named: {last.has_winner}"
                )
    return verdict_from(promise, bound, f"{len(violations)} wrong outcomes in {len(races)} races", violations)


def idempotent_orders(records: RunRecords) -> Verdict:
    """Check that an order that is resent, to any node, gets the same response again."""
    promise, bound = "a resent order gets the same answer", "0 other answers"
    attempts: dict[str, list[OrderRecord]] = defaultdict(list)
    for record in records.orders:
        if record.status and record.status < 500:
            attempts[record.order].append(record)
    lost = {record.order for record in records.orders if record.status == 0}
    resent = {order: sent for order, sent in attempts.items() if len(sent) > 1 or order in lost}
    if not resent:
        return untested(promise, bound)
    violations = []
    for order, sent in resent.items():
        answers = {(record.status, record.revision, record.version) for record in sent}
        if len(answers) > 1:
            violations.append(f"{sent[0].kind} {order}: {sorted(answers)}")
        if order in lost and not any(record.accepted for record in sent) and not sent[0].race:
            violations.append(f"{sent[0].kind} {order}: refused ({sent[-1].code}) after its answer was lost")
    return verdict_from(promise, bound, f"{len(violations)} of {len(resent)} resent orders", violations)


def invalid_orders_rejected(records: RunRecords) -> Verdict:
    """Check that deliberately invalid orders get the documented status, and 422 the paths of the errors."""
    promise, bound = "wrong orders are refused as stated", "422 with paths, 413"
    wrong = [record for record in records.orders if record.expected]
    if not wrong:
        return untested(promise, bound)
    violations = []
    for record in wrong:
        if record.status != record.expected:
            violations.append(f"{record.kind}: {record.status} {record.code}, expected {record.expected}")
        elif record.status == 422 and not record.error_paths:
            violations.append(f"{record.kind}: 422 without paths")
    return verdict_from(promise, bound, f"{len(wrong) - len(violations)} of {len(wrong)}", violations)


def keys_revoked(records: RunRecords) -> Verdict:
    """Check that within 2 s an open connection refuses a revoked key and the key's stream ends."""
    promise, bound = "a revoked key is refused, its streams end", f"<= {REVOCATION_BOUND_S:g} s"
    if not records.revocations:
        return untested(promise, bound)
    violations = []
    longest_s = 0.0
    for record in records.revocations:
        for what, after_s in (
            ("running stream ended", record.stream_ended_after_s),
            ("next request refused", record.refused_after_s),
        ):
            if after_s is None or after_s > REVOCATION_BOUND_S:
                shown = "never" if after_s is None else f"after {after_s:.2f} s"
                violations.append(f"{what}: {shown}")
            else:
                longest_s = max(longest_s, after_s)
    return verdict_from(
        promise, bound, f"{longest_s:.2f} s, {len(records.revocations)} revocations", violations
    )


def recovery_after_restart(records: RunRecords) -> Verdict:
    """Check that a full restart keeps the newest acknowledged state and takes at most 12 s."""
    promise, bound = "restart of everything: state and service", f"<= {RECOVERY_BOUND_S:g} s"
    if not records.recoveries:
        return untested(promise, bound)
    measured = []
    violations = []
    for recovery in records.recoveries:
        took_s = recovery.back_at_s - recovery.began_at_s
        shown = f"back after {took_s:.1f} s" if recovery.back_at_s else "not back"
        measured.append(f"{shown}, {recovery.changes_before} changes before")
        if not recovery.back_at_s or took_s > RECOVERY_BOUND_S:
            violations.append(shown)
        if recovery.found_version < recovery.expected_version:
            violations.append(
                f"configuration {recovery.found_version}, acknowledged was {recovery.expected_version}"
            )
        if not recovery.rollouts_kept:
            violations.append("a rollout's record was lost")
    return verdict_from(promise, bound, "; ".join(measured), violations)


CONTROL_CHECKERS: tuple[Checker, ...] = (
    changes_in_force,
    no_state_regression,
    single_race_winner,
    idempotent_orders,
    invalid_orders_rejected,
    keys_revoked,
    recovery_after_restart,
)
