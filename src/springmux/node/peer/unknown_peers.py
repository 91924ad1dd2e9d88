"""Rate-limited log lines about messages to nodes whose address is unknown."""

from __future__ import annotations

from springmux.coordination.identifiers import NodeId
from springmux.coordination.state_machine import LogLevel
from springmux.node.logs import EventLog

LINE_PERIOD_S = 5.0
"""Minimum time between two lines about one unknown node. Such messages occur several times a second."""
MAX_NODES = 256
"""Number of unknown nodes that are tracked. Messages to further ones are neither counted nor logged here."""


class UnknownPeerLog:
    """Counts dropped messages per node. Logs the first immediately, then at most one line per period."""

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._dropped: dict[NodeId, int] = {}
        self._next_line_at: dict[NodeId, float] = {}

    def dropped(self, node: NodeId, message: str, now: float) -> None:
        """Count a message of type ``message`` to ``node``, dropped at ``now`` (event loop time)."""
        if len(self._next_line_at) >= MAX_NODES and node not in self._next_line_at:
            return
        self._dropped[node] = self._dropped.get(node, 0) + 1
        if now < self._next_line_at.get(node, 0.0):
            return
        self._next_line_at[node] = now + LINE_PERIOD_S
        dropped = self._dropped.pop(node)
        self._log.write("peer_address_unknown", LogLevel.WARNING, peer=node, message=message, dropped=dropped)
