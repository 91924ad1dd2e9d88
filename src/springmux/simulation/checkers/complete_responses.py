"""Check that the client of a call gets the complete response to its own request."""

from __future__ import annotations

from springmux.simulation.checkers.violation import Violation
from springmux.simulation.history import ClientAttempt, History


class CompleteResponseChecker:
    """Checks the responses to calls that were presented as complete."""

    def __init__(self, history: History) -> None:
        self._history = history

    def violations(self) -> list[Violation]:
        """Return responses that are truncated, of another request, or confirm an action that never ran."""
        executed = {run.action for run in self._history.executed}
        violations = []
        for call in self._history.calls:
            text = "" if call.prompt or not call.complete else self._fault(call, executed)
            if text:
                violations.append(Violation("whole and own answer", call.ended_at, (call.node,), text))
        return violations

    def _fault(self, call: ClientAttempt, executed: set[str]) -> str:
        if call.fault:
            return f"{call.request}: {call.fault}"
        if call.response_action != call.action:
            return f"{call.request} for {call.action} got the response to {call.response_action or 'nothing'}"
        if call.action not in executed:
            return f"{call.request} got a response that confirms {call.action}, which never ran"
        return ""
