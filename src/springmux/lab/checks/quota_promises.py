"""Checkers of the token quotas over a run's records."""

from __future__ import annotations

from collections import defaultdict, deque

from springmux.lab.checks.verdict import Checker, Verdict, judged, untested
from springmux.lab.records import CallRecord, QuotaWindow, RunRecords, TenantQuota

QUOTA_TOLERANCE = 0.10
"""The brief's "much beyond" and "well below", as the design reads them."""
REFUSAL_WINDOW_S = 10.0
REFUSED_CODE = "quota_exceeded"


def quotas_hold(records: RunRecords) -> Verdict:
    """A tenant that asks for more than its quota gets it, within a tenth from both sides."""
    promise, bound = "a pressing tenant gets its token quota", f"+- {QUOTA_TOLERANCE:.0%}"
    if not records.quotas:
        return untested(promise, bound)
    measured = []
    breaks = []
    for window in records.quotas:
        tokens, lowest, highest, refused = _quota_figures(records, window)
        measured.append(f"{window.tenant}: {tokens} of {lowest:.0f} to {highest:.0f} tokens")
        if tokens > highest:
            breaks.append(f"{window.tenant}: {tokens} tokens, at most {highest:.0f}")
        if tokens < lowest and refused:
            breaks.append(f"{window.tenant}: {tokens} tokens, at least {lowest:.0f}, yet {refused} refused")
    return judged(promise, bound, "; ".join(measured), breaks)


def _quota_figures(records: RunRecords, window: QuotaWindow) -> tuple[int, float, float, int]:
    """Return tokens admitted in the window, the least and most that may be, and refusals for quota."""
    seconds = window.to_s - window.from_s
    tokens = refused = 0
    for call in records.calls:
        if call.tenant != window.tenant or not window.from_s <= call.at_s + records.began_at_s < window.to_s:
            continue
        tokens += call.tokens
        refused += call.code == "quota_exceeded"
    quota = window.tokens_per_s * seconds
    # What was saved up may be spent in the window on top.
    return tokens, (1 - QUOTA_TOLERANCE) * quota, (1 + QUOTA_TOLERANCE) * quota + window.burst_tokens, refused


def refused_below_quota(records: RunRecords) -> Verdict:
    """A tenant is not refused while a bucket of nine tenths of its rate still has room for the request.

    Judged by the worst ten seconds: tokens refused so, as a share of the quota's tokens in that time.
    """
    promise = "a tenant below its quota is not refused"
    bound = f"<= {QUOTA_TOLERANCE:.0%} of the quota in any {REFUSAL_WINDOW_S:g} s"
    if not records.tenants or not any(call.requested_tokens for call in records.calls):
        return untested(promise, bound)
    by_tenant: dict[str, list[CallRecord]] = defaultdict(list)
    for call in records.calls:
        if call.requested_tokens:
            by_tenant[call.tenant].append(call)
    measured = []
    breaks = []
    for tenant in records.tenants:
        count, share = _wrong_refusals(tenant, by_tenant[tenant.tenant])
        measured.append(f"{tenant.tenant}: {count}, {share:.1%}")
        if share > QUOTA_TOLERANCE:
            breaks.append(f"{tenant.tenant}: {count} refused with room, {share:.0%} of the quota in 10 s")
    return judged(promise, bound, "; ".join(measured), breaks)


def _wrong_refusals(tenant: TenantQuota, calls: list[CallRecord]) -> tuple[int, float]:
    """Return refusals while the smaller bucket had room, and their worst share of the quota."""
    rate = (1 - QUOTA_TOLERANCE) * tenant.tokens_per_s
    level = tenant.burst_tokens
    last_s = 0.0
    recent: deque[tuple[float, int]] = deque()
    recent_tokens = count = 0
    worst = 0.0
    for call in sorted(calls, key=lambda call: call.at_s):
        level = min(tenant.burst_tokens, level + (call.at_s - last_s) * rate)
        last_s = call.at_s
        if call.code != REFUSED_CODE:
            # May go below zero: what was admitted beyond the smaller bucket is the tenant's debt.
            level -= call.requested_tokens
            continue
        if level < call.requested_tokens:
            continue
        count += 1
        recent.append((call.at_s, call.requested_tokens))
        recent_tokens += call.requested_tokens
        while recent[0][0] <= call.at_s - REFUSAL_WINDOW_S:
            recent_tokens -= recent.popleft()[1]
        worst = max(worst, recent_tokens / (tenant.tokens_per_s * REFUSAL_WINDOW_S))
    return count, worst


QUOTA_CHECKERS: tuple[Checker, ...] = (quotas_hold, refused_below_quota)
