"""Who is there, who answers, and what part of a limit this node's side may count on."""

from __future__ import annotations

from springmux.coordination.identifiers import NodeId, ZoneName
from springmux.coordination.membership.view import MembershipView
from springmux.coordination.rendezvous import first_holders
from springmux.coordination.state_machine import NEVER
from springmux.coordination.usage.bucket import Standing
from springmux.coordination.usage.events import UsageSettings

COLLECTORS_KEY = "usage-collectors"
"""Key of the rendezvous hash by which collectors are chosen."""

MISSED = 2
"""Unanswered reports that make a peer silent; one alone may be lost."""

OWED_S = 1.5
"""A collector takes a node for silent that stops in the middle of its reports for this long."""

OWED_LONGEST_S = 10.0
"""After this long a node that stopped so has left membership, or only its last report was lost."""


class Peer:
    """When a peer was heard and sent to."""

    def __init__(self, now: float) -> None:
        self.incarnation = -1
        self.sequence = 0
        self.heard = -NEVER
        self.sent = -NEVER
        self.unanswered = 0
        self.unanswered_since = now
        self.owes_since = NEVER


class FleetContact:
    """Keeps the peers' records and the fleet's size."""

    def __init__(self, own: NodeId, settings: UsageSettings) -> None:
        self._own = own
        self._settings = settings
        self.present: tuple[NodeId, ...] = (own,)
        self.collectors: tuple[NodeId, ...] = ()
        self.zones: dict[ZoneName, tuple[NodeId, ...]] = {}
        """The present nodes by zone."""
        self.peers: dict[NodeId, Peer] = {}
        self._anchor = 1
        self._anchor_until = -NEVER
        self._starting_until = NEVER
        self._starting_least = -NEVER
        self._totals_heard = -NEVER
        self._totals_asked = NEVER
        self._standing: Standing | None = None
        self._standing_until = -NEVER

    @property
    def collecting(self) -> bool:
        """Whether reports go by way of collectors."""
        return bool(self.collectors)

    @property
    def is_collector(self) -> bool:
        """Whether this node is one of the collectors."""
        return self._own in self.collectors

    def change_members(self, view: MembershipView, now: float) -> None:
        """Take the present nodes."""
        self.present = tuple(record.node for record in view.present()) or (self._own,)
        self.zones = _by_zone(view)
        size = len(self.present)
        if size >= self._anchor or (now > self._anchor_until and size * 2 > self._anchor):
            self._anchor, self._anchor_until = size, now + self._settings.anchor_s
        controllers = [record.node for record in view.controllers()]
        staying = tuple(record.node for record in view.staying()) or self.present
        candidates = controllers if len(controllers) >= self._settings.collectors else staying
        self.collectors = ()
        if size > self._settings.direct_nodes:
            chosen = first_holders(COLLECTORS_KEY, candidates, self._settings.collectors)
            self.collectors = tuple(chosen)
        for node in self.present:
            if node != self._own and node not in self.peers:
                self.peers[node] = Peer(now)
        if self._starting_until == NEVER:
            self.start(now)
        self._standing_until = -NEVER

    def start(self, now: float, least_s: float = 0.0) -> None:
        """Begin, or begin again after a stall: what the others did meanwhile is not known.

        :param least_s: how long the start lasts at least, whoever is heard.
        """
        self._starting_until = now + self._settings.start_s
        self._starting_least = now + least_s
        for peer in self.peers.values():
            peer.heard = min(peer.heard, now - self._settings.start_s)
        self._totals_heard = min(self._totals_heard, now - self._settings.start_s)
        self._standing_until = -NEVER

    def has_gap(self, node: NodeId, now: float) -> bool:
        """Say whether a peer was not heard for so long that it may have been cut off."""
        peer = self.peers.get(node)
        return peer is None or now - peer.heard > self._settings.silent_s

    def heard(self, node: NodeId, now: float) -> Peer:
        """Note that a peer was heard."""
        peer = self.peers.get(node)
        if peer is None:
            peer = self.peers[node] = Peer(now)
        peer.heard, peer.unanswered = now, 0
        self._standing_until = -NEVER
        return peer

    def heard_totals(self, now: float) -> None:
        """Note that a collector was heard."""
        self._totals_heard, self._totals_asked = now, NEVER
        for node in self.collectors:
            if node in self.peers:
                self.peers[node].unanswered = 0
        if self._starting_least <= now < self._starting_until and not self.is_collector:
            self._starting_until = now
        self._standing_until = -NEVER

    def sent(self, node: NodeId, wants_answer: bool, now: float) -> None:
        """Note that a report went to a peer. Those without accounts aren't answered."""
        peer = self.peers[node]
        peer.sent = now
        if not wants_answer:
            return
        if not peer.unanswered:
            peer.unanswered_since = now
        peer.unanswered += 1
        self._totals_asked = min(self._totals_asked, now)

    def quiet_collector_s(self, now: float) -> float:
        """Return for how long no totals were heard."""
        return now - self._totals_heard

    def is_silent(self, node: NodeId, now: float) -> bool:
        """Say whether a peer may have missed reports, so that it needs all figures."""
        peer = self.peers[node]
        if peer.sent == -NEVER:
            return True
        return peer.unanswered >= MISSED and now > peer.unanswered_since + self._settings.alone_s

    def standing(self, now: float) -> Standing:
        """Return what this node may count on; reckoned anew when something was heard, or each 50 ms."""
        if self._standing is None or now >= self._standing_until:
            self._standing = self._reckon(now)
            self._standing_until = now + 0.05
        return self._standing

    def _reckon(self, now: float) -> Standing:
        settings = self._settings
        size = self._fleet_size()
        starting = self._is_starting(now)
        indirect = self.collecting and not self.is_collector
        horizon = settings.collected_horizon_s if self.collecting else settings.direct_horizon_s
        hold = settings.totals_period_s if self.collecting else settings.report_period_s
        share = self._side_share(size)
        silent: dict[NodeId, float] = {}
        if starting or (indirect and now - self._totals_asked > settings.totals_silent_s):
            share = 1.0 / size
        elif self.is_collector:
            silent = self._owing(now)
        elif not self.collecting and share > 1.0 / size:
            silent = self._unanswering(now)
        return Standing(size, share, silent, horizon, hold, starting)

    def _fleet_size(self) -> int:
        return len(self.present) if len(self.present) * 2 > self._anchor else self._anchor

    def _side_share(self, size: int) -> float:
        """Return the part of a limit for this node's side of a fleet.

        A majority takes the whole, once the others have left its view; equal halves take half each; a
        minority shares one node's part, which with the whole is at most 1.1 limits from 10 nodes on.
        """
        present = len(self.present)
        if present == size:
            return 1.0
        return present / size if present * 2 == size else 1.0 / size

    def _is_starting(self, now: float) -> bool:
        if now >= self._starting_until:
            return False
        if self.collecting or now < self._starting_least:
            # An ordinary node hears totals, which end its start; a collector is stood in for meanwhile.
            return True
        recently = now - self._settings.start_s
        heard = sum(self.peers[node].heard > recently for node in self.present if node in self.peers)
        if len(self.present) > 1 and (heard + 1) * 2 > len(self.present):
            self._starting_until = now
            return False
        return True

    def _unanswering(self, now: float) -> dict[NodeId, float]:
        waiting = {
            node: peer.unanswered_since
            for node in self.present
            if (peer := self.peers.get(node)) is not None and peer.unanswered >= MISSED
        }
        alone = len(waiting) == len(self.present) - 1
        patience = self._settings.alone_s if alone else self._settings.silent_s
        return {node: since + patience for node, since in waiting.items() if now > since + patience}

    def _owing(self, now: float) -> dict[NodeId, float]:
        return {
            node: peer.owes_since + OWED_S
            for node in self.present
            if (peer := self.peers.get(node)) is not None and OWED_S < now - peer.owes_since < OWED_LONGEST_S
        }


def _by_zone(view: MembershipView) -> dict[ZoneName, tuple[NodeId, ...]]:
    zones: dict[ZoneName, list[NodeId]] = {}
    for record in view.present():
        zones.setdefault(record.zone, []).append(record.node)
    return {zone: tuple(nodes) for zone, nodes in zones.items()}
