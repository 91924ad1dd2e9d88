"""Check that a tenant gets its token quota, within a tolerance of a tenth."""

from __future__ import annotations

from springmux.simulation.checkers.violation import Violation
from springmux.simulation.deployments import TenantSize
from springmux.simulation.history import ClientAttempt, History
from springmux.simulation.run_context import DemandSurge, RunContext
from springmux.vocabulary.errors import ErrorCode

TOLERANCE = 0.10
WINDOW_S = 10.0
WINDOW_STEP_S = 1.0
SETTLING_S = 5.0
"""Time in seconds in which the nodes' quota shares adapt after a surge begins or a fault ends."""


class QuotaChecker:
    """Checks the windows in which a tenant requests far more than its quota."""

    def __init__(self, history: History, context: RunContext) -> None:
        self._history = history
        self._context = context

    def violations(self) -> list[Violation]:
        """Return windows in which a tenant got too many tokens or, where no fault is near, too few."""
        return [violation for surge in self._context.surges for violation in self._check_surge(surge)]

    def _check_surge(self, surge: DemandSurge) -> list[Violation]:
        size = next(size for size in self._context.deployment.tenants if size.tenant == surge.tenant)
        calls = [call for call in self._history.calls if call.tenant == surge.tenant and call.prompt]
        return [*self._above_quota(surge, size, calls), *self._below_quota(surge, size, calls)]

    def _above_quota(
        self, surge: DemandSurge, size: TenantSize, calls: list[ClientAttempt]
    ) -> list[Violation]:
        """Return the first time at which the tenant exceeded its token bucket, if there is one.

        The bucket has the configured burst and a rate a tenth above the quota. Its level may go
        below zero by a tenth of the tokens that one window allows.
        """
        level = size.burst_tokens
        rate = (1 + TOLERANCE) * size.tokens_per_s
        at = self._context.began_at
        while at < surge.end:
            level = min(size.burst_tokens, level + rate * WINDOW_STEP_S) - _used_tokens(
                calls, at, at + WINDOW_STEP_S
            )
            at += WINDOW_STEP_S
            if level < -TOLERANCE * (size.tokens_per_s * WINDOW_S + size.burst_tokens):
                text = f"{surge.tenant} got {-level:.0f} tokens more than its burst and quota allow"
                return [Violation("quota", at, (), text)]
        return []

    def _below_quota(
        self, surge: DemandSurge, size: TenantSize, calls: list[ClientAttempt]
    ) -> list[Violation]:
        violations = []
        begin = surge.begin + SETTLING_S
        while begin + WINDOW_S <= surge.end:
            per_s = _used_tokens(calls, begin, begin + WINDOW_S) / WINDOW_S
            refused = _rejections(calls, begin, begin + WINDOW_S)
            calm = not self._faults_near(begin - SETTLING_S, begin + WINDOW_S)
            if refused and calm and per_s < (1 - TOLERANCE) * size.tokens_per_s:
                violations.append(self._violation(surge, begin, per_s, size.tokens_per_s, "below"))
            begin += WINDOW_STEP_S
        return violations

    def _violation(
        self, surge: DemandSurge, begin: float, per_s: float, quota: float, side: str
    ) -> Violation:
        text = f"{surge.tenant} got {per_s:.0f} tokens/s over {WINDOW_S:g} s, {side} its quota of {quota:.0f}"
        return Violation("quota", begin + WINDOW_S, (), text)

    def _faults_near(self, begin: float, end: float) -> bool:
        if begin < self._context.healed_at and any(started.at <= end for started in self._history.faults):
            return True
        return any(begin <= started.at <= end for started in self._history.faults)


def _used_tokens(calls: list[ClientAttempt], begin: float, end: float) -> float:
    """Return the tokens of the complete responses to requests sent in a window."""
    return sum(call.tokens for call in calls if call.complete and begin <= call.sent_at < end)


def _rejections(calls: list[ClientAttempt], begin: float, end: float) -> int:
    return sum(call.code is ErrorCode.QUOTA_EXCEEDED and begin <= call.sent_at < end for call in calls)
