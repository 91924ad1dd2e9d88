"""Checks of the token quotas over the records of a run."""

from __future__ import annotations

from collections import defaultdict, deque

import msgspec

from springmux.lab.checks.verdict import Checker, Verdict, untested, verdict_from
from springmux.lab.records import CallRecord, QuotaWindow, RunRecords, TenantQuota

QUOTA_TOLERANCE = 0.10
"""Allowed deviation from a quota, in both directions."""
REFUSAL_WINDOW_S = 10.0
REFUSED_CODE = "quota_exceeded"


def quotas_hold(records: RunRecords) -> Verdict:
    """Check that a tenant that requests more than its quota gets its quota, with a tenth of tolerance."""
    promise, bound = "a pressing tenant gets its token quota", f"+- {QUOTA_TOLERANCE:.0%}"
    if not records.quotas:
        return untested(promise, bound)
    measured = []
    violations = []
    for window in records.quotas:
        usage = _window_usage(records, window)
        expected = f"{usage.lowest:.0f} to {usage.highest:.0f} tokens"
        measured.append(f"{window.tenant}: {usage.tokens} of {expected}")
        if usage.tokens > usage.highest:
            violations.append(f"{window.tenant}: {usage.tokens} tokens, at most {usage.highest:.0f}")
        if usage.tokens < usage.lowest and usage.refused:
            shortage = f"at least {usage.lowest:.0f}, yet {usage.refused} refused"
            violations.append(f"{window.tenant}: {usage.tokens} tokens, {shortage}")
    return verdict_from(promise, bound, "; ".join(measured), violations)


class _WindowUsage(msgspec.Struct, frozen=True):
    """Tokens admitted in a window, their lower and upper bound, and the number of refusals by the quota."""

    tokens: int
    lowest: float
    highest: float
    refused: int


def _window_usage(records: RunRecords, window: QuotaWindow) -> _WindowUsage:
    seconds = window.to_s - window.from_s
    tokens = refused = 0
    for call in records.calls:
        if call.tenant != window.tenant or not window.from_s <= call.at_s + records.began_at_s < window.to_s:
            continue
        tokens += call.tokens
        refused += call.code == REFUSED_CODE
    quota = window.tokens_per_s * seconds
    return _WindowUsage(
        tokens=tokens,
        lowest=(1 - QUOTA_TOLERANCE) * quota,
        # A bucket that is full when the window begins may be spent in addition to the rate.
        highest=(1 + QUOTA_TOLERANCE) * quota + window.burst_tokens,
        refused=refused,
    )


def refused_below_quota(records: RunRecords) -> Verdict:
    """Check that no tenant is refused while a token bucket of nine tenths of its rate has enough tokens.

    The measure is the worst 10 s: tokens of such refusals, as a share of the quota in that time.
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
    violations = []
    for tenant in records.tenants:
        count, share = _refusals_below_quota(tenant, by_tenant[tenant.tenant])
        measured.append(f"{tenant.tenant}: {count}, {share:.1%}")
        if share > QUOTA_TOLERANCE:
            violations.append(f"{tenant.tenant}: {count} refused with room, {share:.0%} of the quota in 10 s")
    return verdict_from(promise, bound, "; ".join(measured), violations)


def _refusals_below_quota(tenant: TenantQuota, calls: list[CallRecord]) -> tuple[int, float]:
    """Return refusals while the smaller bucket had enough tokens, and their worst share of the quota."""
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
            # The level may fall below zero: tokens admitted beyond the smaller bucket are the tenant's debt.
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
