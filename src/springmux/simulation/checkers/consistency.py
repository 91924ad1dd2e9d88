"""Check the invariants of the control log: one leader per term, equal states at equal revisions."""

from __future__ import annotations

from springmux.coordination.identifiers import NodeId, Revision, Term
from springmux.simulation.checkers.violation import Violation
from springmux.simulation.history import History


class ConsistencyChecker:
    """Compares the samples of all nodes (Ongaro and Ousterhout 2014, figure 3)."""

    def __init__(self, history: History) -> None:
        self._history = history

    def violations(self) -> list[Violation]:
        """Return terms with two leaders and revisions with two states."""
        return [*self._two_leaders(), *self._two_states()]

    def _two_leaders(self) -> list[Violation]:
        leaders: dict[Term, NodeId] = {}
        violations = []
        for sample in self._history.samples:
            if not sample.leading:
                continue
            leader = leaders.setdefault(sample.term, sample.node)
            if leader != sample.node:
                text = f"{leader} and {sample.node} both led term {sample.term}"
                violations.append(Violation("one leader a term", sample.at, (leader, sample.node), text))
        return violations

    def _two_states(self) -> list[Violation]:
        states: dict[Revision, tuple[int, NodeId]] = {}
        violations = []
        for applied in self._history.states:
            digest, node = states.setdefault(applied.revision, (applied.digest, applied.node))
            if digest != applied.digest:
                text = f"{node} and {applied.node} have different states at revision {applied.revision}"
                violations.append(Violation("committed prefix", applied.at, (node, applied.node), text))
        return violations
