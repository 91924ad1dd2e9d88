"""Check that connected nodes apply a change within about 2 s of its acknowledgement, and never revert it."""

from __future__ import annotations

import bisect

from springmux.coordination.identifiers import NodeId, Revision
from springmux.simulation.checkers.violation import Violation
from springmux.simulation.history import History, OrderReply
from springmux.simulation.recorder import IN_FORCE_S, IN_FORCE_SLACK_S


class DeliveryChecker:
    """Checks the revisions of nodes that serve requests or are ready; other nodes may lag."""

    def __init__(self, history: History) -> None:
        self._history = history

    def violations(self) -> list[Violation]:
        """Return requests served with an outdated state, ready nodes that lag, and nodes that reverted."""
        return [*self._served_on_old_state(), *self._ready_but_behind(), *self._reverted_states()]

    def _served_on_old_state(self) -> list[Violation]:
        due = DueRevisions(self._history.orders)
        violations: dict[NodeId, Violation] = {}
        for dispatch in self._history.dispatched:
            needed = due.at(dispatch.at)
            if dispatch.attempt == 1 and dispatch.revision < needed and dispatch.node not in violations:
                text = (
                    f"{dispatch.request} was sent at revision {dispatch.revision}, while {needed} had been"
                    f" acknowledged more than {IN_FORCE_S:g} s before"
                )
                violations[dispatch.node] = Violation("in force", dispatch.at, (dispatch.node,), text)
        return list(violations.values())

    def _ready_but_behind(self) -> list[Violation]:
        due = DueRevisions(self._history.orders)
        violations: dict[NodeId, Violation] = {}
        for sample in self._history.samples:
            needed = due.at(sample.at)
            if sample.ready and sample.revision < needed and sample.node not in violations:
                text = f"ready at revision {sample.revision}, while {needed} must be in force"
                violations[sample.node] = Violation("in force", sample.at, (sample.node,), text)
        return list(violations.values())

    def _reverted_states(self) -> list[Violation]:
        newest: dict[tuple[NodeId, int], Revision] = {}
        violations = []
        for applied in self._history.states:
            key = (applied.node, applied.boot)
            if applied.revision < newest.get(key, 0):
                text = f"reverted from revision {newest[key]} to {applied.revision}"
                violations.append(Violation("never backwards", applied.at, (applied.node,), text))
            newest[key] = applied.revision
        return violations


class DueRevisions:
    """Revision that must be in force at a given time: the newest acknowledged long enough before."""

    def __init__(self, orders: list[OrderReply]) -> None:
        self._times: list[float] = []
        self._revisions: list[Revision] = []
        newest = Revision(0)
        for reply in orders:
            if reply.result is None:
                continue
            newest = max(newest, reply.result.revision)
            self._times.append(reply.at + IN_FORCE_S + IN_FORCE_SLACK_S)
            self._revisions.append(newest)

    def at(self, time: float) -> Revision:
        """Return the oldest revision that may be in force at ``time``."""
        position = bisect.bisect_left(self._times, time)
        return self._revisions[position - 1] if position else Revision(0)
