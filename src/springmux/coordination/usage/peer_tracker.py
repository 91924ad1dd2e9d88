"""Reachability of the other nodes, choice of collectors, and this node's share of each limit."""

from __future__ import annotations

from springmux.coordination.identifiers import NodeId, ZoneName
from springmux.coordination.membership.view import MembershipView
from springmux.coordination.rendezvous import first_holders
from springmux.coordination.state_machine import NEVER
from springmux.coordination.usage.events import UsageSettings
from springmux.coordination.usage.fleet_view import FleetView

COLLECTORS_KEY = "usage-collectors"
"""Rendezvous hash key for the choice of collectors."""

UNANSWERED_LIMIT = 2
"""Number of unanswered reports after which a peer may be unresponsive; a single report may be lost."""

OVERDUE_S = 1.5
"""Time, in seconds, without reports after which a collector considers a node with demand unresponsive."""

LONGEST_OVERDUE_S = 10.0
"""Time, in seconds, after which such a node has left membership, or merely its last report was lost."""

FLEET_VIEW_MAX_AGE_S = 0.05


class PeerState:
    """Message history of one peer.

    ``report_due_since``: time of its last report if that had demand, else ``NEVER``.
    """

    def __init__(self, now: float) -> None:
        self.incarnation = -1
        self.sequence = 0
        self.last_received = -NEVER
        self.last_sent = -NEVER
        self.unanswered = 0
        self.unanswered_since = now
        self.report_due_since = NEVER


class PeerTracker:
    """Tracks the peers' reachability and the fleet's size."""

    def __init__(self, own: NodeId, settings: UsageSettings) -> None:
        self._own = own
        self._settings = settings
        self.present: tuple[NodeId, ...] = (own,)
        self.collectors: tuple[NodeId, ...] = ()
        self.zones: dict[ZoneName, tuple[NodeId, ...]] = {}
        """The present nodes by zone."""
        self.peers: dict[NodeId, PeerState] = {}
        self._reference_size = 1
        self._reference_size_until = -NEVER
        self._starting_until = NEVER
        self._starting_at_least_until = -NEVER
        self._totals_received_at = -NEVER
        self._totals_awaited_since = NEVER
        self._fleet_view: FleetView | None = None
        self._fleet_view_until = -NEVER

    @property
    def uses_collectors(self) -> bool:
        """Whether reports go through collectors instead of directly to each node."""
        return bool(self.collectors)

    @property
    def is_collector(self) -> bool:
        """Whether this node is one of the collectors."""
        return self._own in self.collectors

    def change_members(self, view: MembershipView, now: float) -> None:
        """Apply a membership view: present nodes, reference size and collectors."""
        self.present = tuple(record.node for record in view.present()) or (self._own,)
        self.zones = view.present_by_zone()
        size = len(self.present)
        if size >= self._reference_size or (
            now > self._reference_size_until and size * 2 > self._reference_size
        ):
            self._reference_size, self._reference_size_until = size, now + self._settings.reference_size_s
        controllers = [record.node for record in view.controllers()]
        staying = tuple(record.node for record in view.not_leaving()) or self.present
        candidates = controllers if len(controllers) >= self._settings.collectors else staying
        self.collectors = ()
        if size > self._settings.direct_nodes:
            chosen = first_holders(COLLECTORS_KEY, candidates, self._settings.collectors)
            self.collectors = tuple(chosen)
        for node in self.present:
            if node != self._own and node not in self.peers:
                self.peers[node] = PeerState(now)
        if self._starting_until == NEVER:
            self.start(now)
        self._fleet_view_until = -NEVER

    def start(self, now: float, least_s: float = 0.0) -> None:
        """Begin the startup phase, in which the peers' recent usage is unknown; also called after a stall.

        :param least_s: minimum duration (s) of the phase, regardless of the reports received.
        """
        self._starting_until = now + self._settings.startup_s
        self._starting_at_least_until = now + least_s
        for peer in self.peers.values():
            peer.last_received = min(peer.last_received, now - self._settings.startup_s)
        self._totals_received_at = min(self._totals_received_at, now - self._settings.startup_s)
        self._fleet_view_until = -NEVER

    def had_gap(self, node: NodeId, now: float) -> bool:
        """Return whether no message of a peer arrived for so long that it may have been partitioned away."""
        peer = self.peers.get(node)
        return peer is None or now - peer.last_received > self._settings.unresponsive_s

    def record_received(self, node: NodeId, now: float) -> PeerState:
        """Record a message of a peer and return the peer's state."""
        peer = self.peers.get(node)
        if peer is None:
            peer = self.peers[node] = PeerState(now)
        peer.last_received, peer.unanswered = now, 0
        self._fleet_view_until = -NEVER
        return peer

    def record_totals(self, now: float) -> None:
        """Record totals of a collector, which end the startup phase of a node that is no collector itself."""
        self._totals_received_at, self._totals_awaited_since = now, NEVER
        for node in self.collectors:
            if node in self.peers:
                self.peers[node].unanswered = 0
        if self._starting_at_least_until <= now < self._starting_until and not self.is_collector:
            self._starting_until = now
        self._fleet_view_until = -NEVER

    def record_sent(self, node: NodeId, expects_reply: bool, now: float) -> None:
        """Record a report sent to a peer. Reports without accounts get no reply."""
        peer = self.peers[node]
        peer.last_sent = now
        if not expects_reply:
            return
        if not peer.unanswered:
            peer.unanswered_since = now
        peer.unanswered += 1
        self._totals_awaited_since = min(self._totals_awaited_since, now)

    def since_totals_s(self, now: float) -> float:
        """Return the time (s) since the last totals."""
        return now - self._totals_received_at

    def is_unresponsive(self, node: NodeId, now: float) -> bool:
        """Return whether a peer may have missed reports and therefore needs a full one."""
        peer = self.peers[node]
        if peer.last_sent == -NEVER:
            return True
        return peer.unanswered >= UNANSWERED_LIMIT and now > peer.unanswered_since + self._settings.isolated_s

    def fleet_view(self, now: float) -> FleetView:
        """Return the current view of the fleet, recomputed after a message or after its maximum age."""
        if self._fleet_view is None or now >= self._fleet_view_until:
            self._fleet_view = self._compute_fleet_view(now)
            self._fleet_view_until = now + FLEET_VIEW_MAX_AGE_S
        return self._fleet_view

    def _compute_fleet_view(self, now: float) -> FleetView:
        settings = self._settings
        size = self._fleet_size()
        starting = self._is_starting(now)
        indirect = self.uses_collectors and not self.is_collector
        horizon = settings.collected_horizon_s if self.uses_collectors else settings.direct_horizon_s
        report_interval_s = settings.totals_period_s if self.uses_collectors else settings.report_period_s
        share = self._partition_share(size)
        unresponsive: dict[NodeId, float] = {}
        if starting or (indirect and now - self._totals_awaited_since > settings.totals_timeout_s):
            share = 1.0 / size
        elif self.is_collector:
            unresponsive = self._overdue(now)
        elif not self.uses_collectors and share > 1.0 / size:
            unresponsive = self._not_replying(now)
        return FleetView(size, share, unresponsive, horizon, report_interval_s, starting)

    def _fleet_size(self) -> int:
        """Return the number of present nodes if they are a majority of the reference size, else that size."""
        return len(self.present) if len(self.present) * 2 > self._reference_size else self._reference_size

    def _partition_share(self, size: int) -> float:
        """Return the fraction of each limit that this node's side of a partition may spend.

        A majority gets the full limit once the others have left its view, equal halves get half each, and a
        minority gets one node's share. With 10 or more nodes both sides spend at most 1.1 limits.
        """
        present = len(self.present)
        if present == size:
            return 1.0
        return present / size if present * 2 == size else 1.0 / size

    def _is_starting(self, now: float) -> bool:
        if now >= self._starting_until:
            return False
        if self.uses_collectors or now < self._starting_at_least_until:
            # Totals end the startup phase of an ordinary node. While a collector starts, the other one sends
            # totals in its place.
            return True
        startup_began = now - self._settings.startup_s
        responsive = sum(
            self.peers[node].last_received > startup_began for node in self.present if node in self.peers
        )
        if len(self.present) > 1 and (responsive + 1) * 2 > len(self.present):
            self._starting_until = now
            return False
        return True

    def _not_replying(self, now: float) -> dict[NodeId, float]:
        """Return the peers with reports unanswered beyond the timeout, and the time at which it expired."""
        unanswered = {
            node: peer.unanswered_since
            for node in self.present
            if (peer := self.peers.get(node)) is not None and peer.unanswered >= UNANSWERED_LIMIT
        }
        is_isolated = len(unanswered) == len(self.present) - 1
        timeout_s = self._settings.isolated_s if is_isolated else self._settings.unresponsive_s
        return {node: since + timeout_s for node, since in unanswered.items() if now > since + timeout_s}

    def _overdue(self, now: float) -> dict[NodeId, float]:
        """Return the nodes whose reports stopped while they had demand, and the time of each timeout."""
        return {
            node: peer.report_due_since + OVERDUE_S
            for node in self.present
            if (peer := self.peers.get(node)) is not None
            and OVERDUE_S < now - peer.report_due_since < LONGEST_OVERDUE_S
        }
