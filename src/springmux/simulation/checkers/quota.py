"""A tenant gets its token quota within about a tenth, from both sides."""

from __future__ import annotations

from springmux.simulation.checkers.violation import Violation
from springmux.simulation.deployments import TenantSize
from springmux.simulation.history import ClientAttempt, History
from springmux.simulation.run_context import DemandSurge, RunContext
from springmux.vocabulary.errors import ErrorCode

TOLERANCE = 0.10
WINDOW_S = 10.0
STEP_S = 1.0
SETTLING_S = 5.0
"""After a tenant swells or a fault ends, demand is spread anew over the nodes' shares."""


class QuotaChecker:
    """Looks at windows in which a tenant asks for far more than its quota."""

    def __init__(self, history: History, context: RunContext) -> None:
        self._history = history
        self._context = context

    def violations(self) -> list[Violation]:
        """Return windows with too much or, where no fault is near, too little."""
        return [violation for swollen in self._context.swollen for violation in self._look(swollen)]

    def _look(self, swollen: DemandSurge) -> list[Violation]:
        size = next(size for size in self._context.deployment.tenants if size.tenant == swollen.tenant)
        calls = [call for call in self._history.calls if call.tenant == swollen.tenant and call.prompt]
        return [*self._above(swollen, size, calls), *self._below(swollen, size, calls)]

    def _above(self, swollen: DemandSurge, size: TenantSize, calls: list[ClientAttempt]) -> list[Violation]:
        """Keep the tenant's own bucket: rate and burst as configured, a tenth more rate, and a debt of a
        tenth of what a window allows."""
        level = size.burst_tokens
        rate = (1 + TOLERANCE) * size.tokens_per_s
        at = self._context.began_at
        while at < swollen.end:
            level = min(size.burst_tokens, level + rate * STEP_S) - _used(calls, at, at + STEP_S)
            at += STEP_S
            if level < -TOLERANCE * (size.tokens_per_s * WINDOW_S + size.burst_tokens):
                text = f"{swollen.tenant} got {-level:.0f} tokens more than its burst and its quota allow"
                return [Violation("quota", at, (), text)]
        return []

    def _below(self, swollen: DemandSurge, size: TenantSize, calls: list[ClientAttempt]) -> list[Violation]:
        found = []
        begin = swollen.begin + SETTLING_S
        while begin + WINDOW_S <= swollen.end:
            per_s = _used(calls, begin, begin + WINDOW_S) / WINDOW_S
            refused = _refused(calls, begin, begin + WINDOW_S)
            calm = not self._faults_near(begin - SETTLING_S, begin + WINDOW_S)
            if refused and calm and per_s < (1 - TOLERANCE) * size.tokens_per_s:
                found.append(self._violation(swollen, begin, per_s, size.tokens_per_s, "below"))
            begin += STEP_S
        return found

    def _violation(
        self, swollen: DemandSurge, begin: float, per_s: float, quota: float, side: str
    ) -> Violation:
        text = (
            f"{swollen.tenant} got {per_s:.0f} tokens/s over {WINDOW_S:g} s, {side} its quota of {quota:.0f}"
        )
        return Violation("quota", begin + WINDOW_S, (), text)

    def _faults_near(self, begin: float, end: float) -> bool:
        if begin < self._context.healed_at and any(seen.at <= end for seen in self._history.faults):
            return True
        return any(begin <= seen.at <= end for seen in self._history.faults)


def _used(calls: list[ClientAttempt], begin: float, end: float) -> float:
    """Return the tokens of answers by the times at which they were admitted."""
    return sum(call.tokens for call in calls if call.complete and begin <= call.sent_at < end)


def _refused(calls: list[ClientAttempt], begin: float, end: float) -> int:
    return sum(call.code is ErrorCode.QUOTA_EXCEEDED and begin <= call.sent_at < end for call in calls)
