"""Distribution of a collector's totals: one message to each other zone, forwarded inside it by a relay node.

The relay changes with each round, so that a failed relay costs its zone a single round. Totals may therefore
arrive out of order; older ones are dropped.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from springmux.coordination.identifiers import NodeId, ZoneName
from springmux.coordination.state_machine import Effect, Send
from springmux.coordination.usage.messages import UsageTotals, ZoneReceiver, ZoneTotals

SMALLEST_RELAYED_ZONE = 4
"""Smallest number of nodes for which a zone has a relay. In a smaller zone, a failed relay would be chosen
again so soon that too many rounds would be lost."""


def broadcast_totals(
    totals: UsageTotals,
    zones: Mapping[ZoneName, tuple[NodeId, ...]],
    own: NodeId,
    sequence_of: Callable[[NodeId], int],
) -> list[Effect]:
    """Return the messages that distribute ``totals`` to every node of ``zones`` except ``own``.

    :param sequence_of: returns the sequence of a node's last report included in the totals.
    """
    effects: list[Effect] = []
    for nodes in zones.values():
        receivers = tuple((node, sequence_of(node)) for node in nodes if node != own)
        if own in nodes or len(receivers) < SMALLEST_RELAYED_ZONE:
            effects += send_to_each(totals, receivers)
        else:
            relay, _ = receivers[totals.number % len(receivers)]
            effects.append(Send(relay, ZoneTotals(totals, receivers)))
    return effects


def send_to_each(totals: UsageTotals, receivers: Iterable[ZoneReceiver]) -> list[Effect]:
    """Return one message for each receiver, with the sequence of its last included report."""
    return [Send(node, totals.with_included(sequence)) for node, sequence in receivers]


class TotalsFilter:
    """Rejects totals that arrive out of order."""

    def __init__(self) -> None:
        self._newest: dict[NodeId, tuple[int, int]] = {}

    def accept(self, totals: UsageTotals) -> bool:
        """Record totals; return whether they are the newest of their collector's current incarnation."""
        incarnation, number = self._newest.get(totals.collector, (-1, -1))
        if totals.incarnation == incarnation and totals.number <= number:
            return False
        self._newest[totals.collector] = (totals.incarnation, totals.number)
        return True
