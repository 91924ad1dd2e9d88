"""Rate-limited log lines about messages to nodes whose address is unknown."""

from __future__ import annotations

from springmux.coordination.identifiers import NodeId
from springmux.coordination.state_machine import LogLevel
from springmux.node.logs import EventLog

LINE_PERIOD_S = 5.0
"""Period of one unknown node's lines; such messages come several times a second."""
MAX_NODES = 256


class UnknownPeerLog:
    """Count dropped messages; log the first at once, then one line for each period with further ones."""

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._dropped: dict[NodeId, int] = {}
        self._next_line_at: dict[NodeId, float] = {}

    def dropped(self, node: NodeId, message: str, now: float) -> None:
        """Count a message to ``node`` that was dropped at monotonic time ``now``."""
        if len(self._next_line_at) >= MAX_NODES and node not in self._next_line_at:
            return
        self._dropped[node] = self._dropped.get(node, 0) + 1
        if now < self._next_line_at.get(node, 0.0):
            return
        self._next_line_at[node] = now + LINE_PERIOD_S
        dropped = self._dropped.pop(node)
        self._log.write("peer_address_unknown", LogLevel.WARNING, peer=node, message=message, dropped=dropped)
