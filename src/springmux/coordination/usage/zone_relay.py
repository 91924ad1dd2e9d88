"""How a collector's totals come to all nodes: one message to each other zone, passed on inside it.

Each round has another node of a zone pass on, so that one that is gone costs its zone a round and no more.
Totals may so overtake one another on their way; an older one is dropped.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from springmux.coordination.identifiers import NodeId, ZoneName
from springmux.coordination.state_machine import Effect, Send
from springmux.coordination.usage.messages import UsageTotals, ZoneTotals

LEAST_ZONE = 4
"""A smaller zone is told directly: a node that is gone would cost it too many of its rounds."""


def tell_all(
    totals: UsageTotals,
    zones: Mapping[ZoneName, tuple[NodeId, ...]],
    own: NodeId,
    sequence_of: Callable[[NodeId], int],
) -> list[Effect]:
    """Return the messages that bring ``totals`` to every node of ``zones`` but the own one.

    :param sequence_of: the sequence of a node's last report that the totals hold.
    """
    effects: list[Effect] = []
    for nodes in zones.values():
        receivers = tuple((node, sequence_of(node)) for node in nodes if node != own)
        if own in nodes or len(receivers) < LEAST_ZONE:
            effects += send_each(totals, receivers)
        else:
            relay, _ = receivers[totals.number % len(receivers)]
            effects.append(Send(relay, ZoneTotals(totals, receivers)))
    return effects


def send_each(totals: UsageTotals, receivers: tuple[tuple[NodeId, int], ...]) -> list[Effect]:
    """Return ``totals`` for each of ``receivers``, with what they hold of its own reports."""
    return [Send(node, totals.holding(sequence)) for node, sequence in receivers]


class NewestTotals:
    """Tells older totals from newer ones."""

    def __init__(self) -> None:
        self._newest: dict[NodeId, tuple[int, int]] = {}

    def take(self, totals: UsageTotals) -> bool:
        """Note totals; say whether they are newer than all before of the same life of their collector."""
        incarnation, number = self._newest.get(totals.collector, (-1, -1))
        if totals.incarnation == incarnation and totals.number <= number:
            return False
        self._newest[totals.collector] = (totals.incarnation, totals.number)
        return True
