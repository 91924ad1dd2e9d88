"""Receipts of the controllers for engines' drains and departures, which are acknowledged once most have them.

A node that has just been cut off doesn't know it yet. What it acknowledged would reach nobody.
"""

from __future__ import annotations

from typing import NamedTuple

from springmux.agent.directory.entry import DirectoryEntry
from springmux.agent.directory.messages import EngineStopNotice, EngineStopReceipt
from springmux.coordination.identifiers import NodeId
from springmux.coordination.membership.view import MembershipView
from springmux.coordination.state_machine import Effect, Send
from springmux.vocabulary.names import EngineId


class _Stop(NamedTuple):
    engine: EngineId
    left: bool


class StopConfirmations:
    """Tells the controllers of stops that engines reported to this node, and collects their receipts.

    :param keep_s: time for which receipts are kept; engines repeat a report for seconds.
    """

    def __init__(self, own: NodeId, keep_s: float) -> None:
        self._own = own
        self._keep_s = keep_s
        self._controllers: tuple[NodeId, ...] = ()
        self._holders: dict[_Stop, set[NodeId]] = {}
        self._requested_at: dict[_Stop, float] = {}

    def update_view(self, view: MembershipView) -> None:
        """Update the controllers that are present."""
        self._controllers = tuple(record.node for record in view.present() if record.replica is not None)

    def request(self, entry: DirectoryEntry, now: float) -> list[Effect]:
        """Return the notices to the controllers that gave no receipt yet."""
        stop = _Stop(entry.record.engine, entry.left)
        holders = self._holders.setdefault(stop, {self._own})
        self._requested_at[stop] = now
        notice = EngineStopNotice(entry)
        return [Send(node, notice) for node in self._controllers if node not in holders]

    def record(self, sender: NodeId, receipt: EngineStopReceipt) -> None:
        """Record a controller's receipt."""
        holders = self._holders.get(_Stop(receipt.engine, receipt.left))
        if holders is not None:
            holders.add(sender)

    def holders(self, engine: EngineId, left: bool) -> frozenset[NodeId]:
        """Return the nodes, including this one, that are known to know the stop."""
        return frozenset(self._holders.get(_Stop(engine, left), ()))

    def expire(self, now: float) -> None:
        """Forget stops that weren't reported for ``keep_s`` seconds."""
        expired = [stop for stop, at in self._requested_at.items() if now - at >= self._keep_s]
        for stop in expired:
            del self._holders[stop], self._requested_at[stop]
