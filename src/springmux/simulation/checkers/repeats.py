"""Check that retries of all nodes stay below a fifth of the traffic in any ten seconds."""

from __future__ import annotations

import bisect

from springmux.simulation.checkers.violation import Violation
from springmux.simulation.history import History

WINDOW_S = 10.0
MAX_RETRY_SHARE = 0.20
RETRY_FLOOR_PER_NODE = 3
"""Number of retries that each node may make regardless of its traffic: the floor of its retry budget."""


class RetriesChecker:
    """Counts retries of dispatches that may have reached an engine; refused connections do not count."""

    def __init__(self, history: History, nodes: int) -> None:
        self._history = history
        self._floor = RETRY_FLOOR_PER_NODE * nodes

    def violations(self) -> list[Violation]:
        """Return the first window with too many retries, if there is one."""
        firsts = [each.at for each in self._history.dispatched if each.attempt == 1]
        unreached = {(each.request, each.attempt) for each in self._history.unreached}
        retries = [
            each.at
            for each in self._history.dispatched
            if each.attempt > 1 and (each.request, each.attempt - 1) not in unreached
        ]
        begin = 0
        for position, at in enumerate(retries):
            while retries[begin] <= at - WINDOW_S:
                begin += 1
            count = position - begin + 1
            traffic = bisect.bisect_right(firsts, at) - bisect.bisect_right(firsts, at - WINDOW_S)
            if count > MAX_RETRY_SHARE * traffic + self._floor:
                text = f"{count} retries and {traffic} requests within {WINDOW_S:g} s"
                return [Violation("repeats", at, (), text)]
        return []
