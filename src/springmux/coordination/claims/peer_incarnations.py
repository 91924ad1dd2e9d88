"""Known incarnations of the peers, by which two grants prove that neither holder lost its records since."""

from __future__ import annotations

from collections import deque

from springmux.coordination.identifiers import NodeId

RETIRED_INCARNATIONS = 8
"""Former incarnations kept for each peer, so that a late message isn't mistaken for a restart."""


class PeerIncarnations:
    """The newest known incarnation of each peer."""

    def __init__(self) -> None:
        self._incarnations: dict[NodeId, int] = {}
        self._retired: dict[NodeId, deque[int]] = {}

    def learn(self, peer: NodeId, incarnation: int) -> bool:
        """Record the incarnation that a peer sent; return ``False`` if it is a former one."""
        known = self._incarnations.get(peer)
        if known == incarnation:
            return True
        retired = self._retired.setdefault(peer, deque(maxlen=RETIRED_INCARNATIONS))
        if incarnation in retired:
            return False
        if known is not None:
            retired.append(known)
        self._incarnations[peer] = incarnation
        return True

    def of(self, peers: tuple[NodeId, ...]) -> tuple[tuple[NodeId, int], ...]:
        """Return the incarnations of those of ``peers`` that have a known one."""
        return tuple((peer, self._incarnations[peer]) for peer in peers if peer in self._incarnations)
