"""Peers that recently failed to answer, known sooner than membership declares them dead."""

from __future__ import annotations

from collections.abc import Iterable

from springmux.coordination.identifiers import NodeId
from springmux.coordination.membership.view import MembershipView, NodeStatus


class UnresponsivePeers:
    """The suspects of membership, and peers that didn't acknowledge a message in the last ``keep_s`` seconds.

    After the loss of most nodes membership may suspect the others for long before it declares them dead.
    """

    def __init__(self, keep_s: float) -> None:
        self._keep_s = keep_s
        self._until: dict[NodeId, float] = {}
        self._suspects: frozenset[NodeId] = frozenset()

    def update_view(self, view: MembershipView) -> None:
        """Take the suspects from a newer view."""
        suspects = (node for node, record in view.nodes.items() if record.status is NodeStatus.SUSPECT)
        self._suspects = frozenset(suspects)

    def add(self, peer: NodeId, now: float) -> None:
        """Record that ``peer`` didn't answer."""
        self._until[peer] = now + self._keep_s

    def discard(self, peer: NodeId) -> None:
        """Record a message from ``peer``."""
        self._until.pop(peer, None)

    def among(self, nodes: Iterable[NodeId], now: float) -> set[NodeId]:
        """Return those of ``nodes`` that don't answer."""
        if self._until:
            self._until = {peer: until for peer, until in self._until.items() if until > now}
        return {node for node in nodes if node in self._until or node in self._suspects}
