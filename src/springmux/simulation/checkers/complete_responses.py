"""Check that a client of a call gets its engine's complete response, and the one to its own request."""

from __future__ import annotations

from springmux.simulation.checkers.violation import Violation
from springmux.simulation.history import ClientAttempt, History


class CompleteResponseChecker:
    """Checks the responses to calls that were presented as complete."""

    def __init__(self, history: History) -> None:
        self._history = history

    def violations(self) -> list[Violation]:
        """Return responses that are truncated, belong to another request, or confirm what never ran."""
        executed = {run.action for run in self._history.executed}
        found = []
        for call in self._history.calls:
            text = "" if call.prompt or not call.complete else self._fault(call, executed)
            if text:
                found.append(Violation("whole and own answer", call.ended_at, (call.node,), text))
        return found

    def _fault(self, call: ClientAttempt, executed: set[str]) -> str:
        if call.fault:
            return f"{call.request}: {call.fault}"
        if call.response_action != call.action:
            return f"{call.request} for {call.action} got the answer of {call.response_action or 'nothing'}"
        if call.action not in executed:
            return f"{call.request} was told that {call.action} is done, but it never ran"
        return ""
