"""Check that streams have no missing, repeated or foreign chunks, and end only after the last one."""

from __future__ import annotations

from springmux.simulation.checkers.violation import Violation
from springmux.simulation.history import History


class StreamsChecker:
    """Collects the faults that clients detected in their streams."""

    def __init__(self, history: History) -> None:
        self._history = history

    def violations(self) -> list[Violation]:
        """Return the faulty streams."""
        return [
            Violation("stream", call.ended_at, (call.node,), f"{call.request}: {call.fault}")
            for call in self._history.calls
            if call.prompt and call.fault
        ]
