"""Virtual clocks: one monotonic clock for the world, and one wall clock per node, which may be skewed."""

from __future__ import annotations

from springmux.coordination.identifiers import NodeId

EPOCH_S = 1_700_000_000.0
"""Wall time at virtual time 0, in Unix seconds; any fixed value works."""


class VirtualClock:
    """Monotonic seconds since the start of the simulation. Only the scheduler advances it."""

    def __init__(self) -> None:
        self.now = 0.0


class WallClocks:
    """Wall time of each node. Skew affects timestamps only: state machines get the monotonic time."""

    def __init__(self, clock: VirtualClock) -> None:
        self._clock = clock
        self._offsets_s: dict[NodeId, float] = {}

    def jump(self, node: NodeId, by_s: float) -> None:
        """Move a node's wall clock by ``by_s`` seconds, backwards if negative."""
        self._offsets_s[node] = self._offsets_s.get(node, 0.0) + by_s

    def read(self, node: NodeId) -> float:
        """Return the node's wall time in seconds since the Unix epoch."""
        return EPOCH_S + self._clock.now + self._offsets_s.get(node, 0.0)
