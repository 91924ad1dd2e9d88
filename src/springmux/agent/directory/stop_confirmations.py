"""Receipts of the controllers for engines' drains and departures, which are acknowledged once most have them.

A node that has just been cut off doesn't know it yet. What it acknowledged would reach nobody.
"""

from __future__ import annotations

from dataclasses import dataclass

from springmux.agent.directory.entry import DirectoryEntry
from springmux.agent.directory.messages import EngineStopNotice, EngineStopReceipt
from springmux.coordination.identifiers import NodeId
from springmux.coordination.membership.view import MembershipView
from springmux.coordination.state_machine import Effect, Send
from springmux.vocabulary.names import EngineId

MAX_STOPS = 1024
"""Far more than the engines that stop within ``keep_s``; bounds the memory that invented names can occupy."""


@dataclass
class _ReportedStop:
    """A stop as it was last reported, and the nodes that are known to know it, this node among them."""

    entry: DirectoryEntry
    holders: set[NodeId]
    reported_at: float

    def is_of(self, entry: DirectoryEntry) -> bool:
        """Return whether ``entry`` has the same stop: an engine may be ready again and drain again."""
        return _counters(self.entry) == _counters(entry)


class StopConfirmations:
    """Tells the controllers of stops that engines reported to this node, and collects their receipts.

    :param keep_s: time for which receipts are kept; engines repeat a report for seconds.
    """

    def __init__(self, own: NodeId, keep_s: float) -> None:
        self._own = own
        self._keep_s = keep_s
        self._controllers: tuple[NodeId, ...] = ()
        # The stop that was reported longest ago is first.
        self._stops: dict[EngineId, _ReportedStop] = {}

    def __len__(self) -> int:
        return len(self._stops)

    def update_view(self, view: MembershipView) -> None:
        """Update the controllers that are present."""
        self._controllers = tuple(record.node for record in view.present() if record.replica is not None)

    def request(self, entry: DirectoryEntry, now: float) -> list[Effect]:
        """Return the notices to the controllers that gave no receipt yet."""
        known = self._stops.pop(entry.record.engine, None)
        holders = known.holders if known is not None and known.is_of(entry) else {self._own}
        self._stops[entry.record.engine] = _ReportedStop(entry, holders, now)
        if len(self._stops) > MAX_STOPS:
            del self._stops[next(iter(self._stops))]
        notice = EngineStopNotice(entry)
        return [Send(node, notice) for node in self._controllers if node not in holders]

    def record(self, sender: NodeId, receipt: EngineStopReceipt) -> None:
        """Record a controller's receipt."""
        stop = self._stops.get(receipt.engine)
        if stop is not None and stop.entry.left == receipt.left:
            stop.holders.add(sender)

    def holders(self, engine: EngineId) -> frozenset[NodeId]:
        """Return the nodes, including this one, that are known to know the engine's last reported stop."""
        stop = self._stops.get(engine)
        return frozenset() if stop is None else frozenset(stop.holders)

    def expire(self, now: float) -> None:
        """Forget stops that weren't reported for ``keep_s`` seconds."""
        while self._stops:
            engine, oldest = next(iter(self._stops.items()))
            if now - oldest.reported_at < self._keep_s:
                return
            del self._stops[engine]


def _counters(entry: DirectoryEntry) -> tuple[int, int, bool]:
    return entry.record.incarnation, entry.intent, entry.left
