"""Check that an action is executed at most once, and never for a request that was rejected."""

from __future__ import annotations

from springmux.simulation.checkers.violation import Violation
from springmux.simulation.history import Executed, History
from springmux.vocabulary.errors import Fate


class AtMostOnceChecker:
    """Compares executions with the responses to clients."""

    def __init__(self, history: History) -> None:
        self._history = history

    def violations(self) -> list[Violation]:
        """Return actions that were executed twice, or for a rejected request."""
        return self._executed_twice() + self._executed_after_refusal()

    def _executed_twice(self) -> list[Violation]:
        first: dict[tuple[str, str], Executed] = {}
        violations = []
        for run in self._history.executed:
            before = first.setdefault((run.service, run.action), run)
            if before is not run:
                text = f"{run.action} ran as {before.request} at {before.at:.3f} and again as {run.request}"
                violations.append(Violation("at most once", run.at, (), text))
        return violations

    def _executed_after_refusal(self) -> list[Violation]:
        rejected = {call.request: call for call in self._history.calls if call.fate is Fate.REFUSED}
        violations = []
        for run in self._history.executed:
            call = rejected.get(run.request)
            if call is not None:
                text = f"{run.action} ran as {run.request}, which was rejected with {call.code}"
                violations.append(Violation("never after a refusal", run.at, (call.node,), text))
        return violations
