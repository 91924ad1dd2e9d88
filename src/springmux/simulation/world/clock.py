"""Virtual clocks: one monotonic time for the world, and a wall clock for each node that may be wrong."""

from __future__ import annotations

from springmux.coordination.identifiers import NodeId

EPOCH_S = 1_700_000_000.0
"""Wall time at virtual time 0; any fixed number does."""


class VirtualClock:
    """Monotonic seconds since the world began. Only the scheduler moves it."""

    def __init__(self) -> None:
        self.now = 0.0


class WallClocks:
    """Wall time as each node sees it. Skew touches labels only: components get the monotonic time."""

    def __init__(self, clock: VirtualClock) -> None:
        self._clock = clock
        self._offsets_s: dict[NodeId, float] = {}

    def jump(self, node: NodeId, by_s: float) -> None:
        """Move a node's wall clock forward or back."""
        self._offsets_s[node] = self._offsets_s.get(node, 0.0) + by_s

    def read(self, node: NodeId) -> float:
        """Return the node's wall time in seconds since the Unix epoch."""
        return EPOCH_S + self._clock.now + self._offsets_s.get(node, 0.0)
