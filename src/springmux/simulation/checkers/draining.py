"""Check that an engine gets no new requests about 2 s after a node received its drain report."""

from __future__ import annotations

from springmux.coordination.identifiers import NodeId
from springmux.simulation.checkers.violation import Violation
from springmux.simulation.history import History
from springmux.vocabulary.names import EngineId

DRAIN_S = 2.0
"""Seconds from the drain report within which all connected nodes must stop using the engine."""
DRAIN_SLACK_S = 0.25


class DrainChecker:
    """Measures from the time at which the first node that could disseminate the report received it.

    A node that is not ready two seconds later (killed or partitioned) does not count, because it could not
    disseminate the report. The engine sends its next report within about a second to another node.
    """

    def __init__(self, history: History) -> None:
        self._history = history

    def violations(self) -> list[Violation]:
        """Return the first late dispatch to a draining engine, for each engine and node."""
        learned = self._learned()
        withdrawn: dict[EngineId, float] = {}
        for back in self._history.stops_withdrawn:
            withdrawn[back.engine] = back.at
        violations: dict[tuple[EngineId, NodeId], Violation] = {}
        for dispatch in self._history.dispatched:
            at = learned.get(dispatch.engine)
            if at is None or withdrawn.get(dispatch.engine, -1.0) > at:
                continue
            late_s = dispatch.at - at
            if late_s > DRAIN_S + DRAIN_SLACK_S:
                text = f"{dispatch.request} went to {dispatch.engine} {late_s:.2f} s after its drain report"
                violation = Violation("drain", dispatch.at, (dispatch.node,), text)
                violations.setdefault((dispatch.engine, dispatch.node), violation)
        return list(violations.values())

    def _learned(self) -> dict[EngineId, float]:
        learned: dict[EngineId, float] = {}
        for stop in self._history.stops:
            if stop.engine not in learned and self._ready_through(stop.node, stop.at):
                learned[stop.engine] = stop.at
        return learned

    def _ready_through(self, node: NodeId, begin: float) -> bool:
        samples = [
            sample
            for sample in self._history.samples
            if sample.node == node and begin - 0.3 <= sample.at <= begin + DRAIN_S
        ]
        boots = {sample.boot for sample in samples}
        return len(samples) >= 6 and len(boots) == 1 and all(sample.ready for sample in samples)
