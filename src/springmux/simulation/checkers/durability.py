"""Check that acknowledged changes survive every fault, and that service returns after a full restart."""

from __future__ import annotations

from springmux.coordination.identifiers import NodeId, Revision
from springmux.rollout.plan import TERMINAL_PHASES, RolloutPhase
from springmux.simulation.checkers.violation import Violation
from springmux.simulation.history import History, NodeSample
from springmux.simulation.run_context import RunContext
from springmux.simulation.world.faults import Restart

SERVICE_RECOVERY_S = 12.0
"""All nodes must be ready within this time after a full restart."""
FULL_RESTART_WINDOW_S = 1.0
"""Restarts of all nodes within this time, in seconds, count as one full restart."""


class DurabilityChecker:
    """Compares the final state of the fleet with the replies to operators."""

    def __init__(self, history: History, context: RunContext) -> None:
        self._history = history
        self._context = context

    def violations(self) -> list[Violation]:
        """Return lost changes, nodes that have not recovered, reversed rollouts, and slow restarts."""
        return [*self._missing_changes(), *self._reversed_rollouts(), *self._slow_restarts()]

    def _last_samples(self) -> dict[NodeId, NodeSample]:
        return {sample.node: sample for sample in self._history.samples}

    def _missing_changes(self) -> list[Violation]:
        newest = max(
            (reply.result.revision for reply in self._history.orders if reply.result is not None),
            default=Revision(0),
        )
        violations = []
        last = self._last_samples()
        for place in self._context.deployment.places():
            sample = last.get(place.node)
            if sample is None or sample.at < self._context.ended_at - 1.0:
                violations.append(self._final_violation(place.node, "is not running at the end"))
            elif not sample.ready:
                violations.append(
                    self._final_violation(place.node, f"is not ready at the end: {sample.reason}")
                )
            elif sample.revision < newest:
                text = f"is at revision {sample.revision} at the end, but {newest} was acknowledged"
                violations.append(self._final_violation(place.node, text))
        return violations

    def _final_violation(self, node: NodeId, text: str) -> Violation:
        return Violation("durability", self._context.ended_at, (node,), f"{node} {text}")

    def _reversed_rollouts(self) -> list[Violation]:
        ended: dict[str, RolloutPhase] = {}
        violations = []
        for change in self._history.rollouts:
            before = ended.get(change.rollout)
            # A restarted node may apply older phases while it catches up, but a terminal phase never changes.
            if before is not None and change.phase in TERMINAL_PHASES and change.phase is not before:
                text = f"{change.rollout} was {before}, then {change.phase}"
                violations.append(Violation("durability", change.at, (change.node,), text))
            if change.phase in TERMINAL_PHASES:
                ended.setdefault(change.rollout, change.phase)
        return violations

    def _slow_restarts(self) -> list[Violation]:
        violations = []
        for at in self._full_restarts():
            limit = at + SERVICE_RECOVERY_S
            if any(at + FULL_RESTART_WINDOW_S < started.at < limit for started in self._history.faults):
                continue
            ready = {s.node for s in self._history.samples if s.ready and at < s.at <= limit}
            missing = tuple(p.node for p in self._context.deployment.places() if p.node not in ready)
            if missing and limit < self._context.ended_at:
                text = f"{len(missing)} nodes are not ready {SERVICE_RECOVERY_S:g} s after a full restart"
                violations.append(Violation("service back", limit, missing, text))
        return violations

    def _full_restarts(self) -> list[float]:
        restarts = [started for started in self._history.faults if isinstance(started.fault, Restart)]
        nodes = len(self._context.deployment.places())
        times = []
        for position, started in enumerate(restarts):
            group = restarts[position : position + nodes]
            names = {restart.fault.node for restart in group if isinstance(restart.fault, Restart)}
            if len(names) == nodes and group[-1].at - started.at <= FULL_RESTART_WINDOW_S:
                times.append(group[-1].at)
        return times
