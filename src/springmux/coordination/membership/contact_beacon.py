"""The leader's beacon in large fleets: relayed down a tree of nodes, with counts reported back up.

The confirmation by the leader's quorum isn't enough, since the voters may be fewer than the controllers: a
leader must be in contact with a majority of the controllers or of all nodes. For the latter, relays count the
nodes of their subtrees. Beacons carry the age of the newer evidence.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from springmux.coordination.identifiers import NodeId, ZoneName
from springmux.coordination.membership.contact_messages import ContactBeacon, ContactCount
from springmux.coordination.membership.relay import range_targets, zone_targets
from springmux.coordination.membership.settings import ContactSettings
from springmux.coordination.state_machine import NEVER, Effect, Send

HOP_DELAY_S = 0.02
"""Added to a beacon's age at each hop for the transit time, which isn't measured."""
_COUNT_TIMEOUT_S = 0.15
"""How long a relay waits for the counts of its subtree."""
_MAX_ROUNDS = 12


@dataclass
class _BeaconRound:
    """One beacon, and the count of the nodes that it reached in this node's subtree."""

    parent: NodeId | None
    sent_at: float
    pending: int
    nodes: int
    report_at: float
    reported: bool = False


class BeaconRelay:
    """Sends, relays and counts beacons; each node has one."""

    def __init__(self, own: NodeId, settings: ContactSettings) -> None:
        self._own = own
        self._settings = settings
        self._zones: dict[NodeId, ZoneName] = {}
        self._zone_peers: list[NodeId] = []
        self._newest = (-1, -1)
        self._rounds: dict[tuple[int, int], _BeaconRound] = {}
        self._majority_reached_at = -math.inf
        self.evidence_at: float | None = None
        self.evidence_received_at: float | None = None

    def set_nodes(self, zones: dict[NodeId, ZoneName]) -> None:
        """Set the present nodes with their zones, including this node."""
        self._zones = zones
        own_zone = zones.get(self._own)
        self._zone_peers = [n for n, zone in zones.items() if zone == own_zone and n != self._own]

    def forget_evidence(self) -> None:
        """Discard all evidence, which a pause of this process invalidates."""
        self.evidence_at = None
        self.evidence_received_at = None
        self._majority_reached_at = -math.inf

    def _add_evidence(self, proven_at: float, now: float) -> None:
        if self.evidence_at is None or proven_at > self.evidence_at:
            self.evidence_at = proven_at
            if now - proven_at <= self._settings.evidence_s / 2:
                self.evidence_received_at = now

    def next_deadline(self) -> float:
        """Return when the next count must be reported, complete or not."""
        return min((r.report_at for r in self._rounds.values() if not r.reported), default=NEVER)

    def send_as_leader(
        self, term: int, quorum_at: float, controllers_at: float, majority: int, now: float
    ) -> list[Effect]:
        """Send the next beacon as the leader, which its quorum confirmed at ``quorum_at``.

        :param controllers_at: time at which the leader was last in contact with a majority of the
            controllers, or minus infinity.
        :param majority: number of nodes that are a majority of the fleet.
        """
        if term < self._newest[0]:
            return []
        sequence = self._newest[1] + 1 if term == self._newest[0] else 1
        self._find_majority_round(term, majority)
        self._newest = (term, sequence)
        proven_at = min(quorum_at, max(self._majority_reached_at, controllers_at))
        is_proven = math.isfinite(proven_at)
        if is_proven:
            self._add_evidence(proven_at, now)
        age_ms = int(1000 * (now - proven_at)) if is_proven else -1
        targets = zone_targets(self._zones, self._own, sequence, self._settings.relay_fanout)
        self._start_round(None, len(targets), now)
        return [
            Send(t.node, ContactBeacon(term, sequence, age_ms, t.low, t.high, counted=True)) for t in targets
        ]

    def _find_majority_round(self, term: int, majority: int) -> None:
        for (round_term, _), beacon_round in self._rounds.items():
            if round_term == term and beacon_round.parent is None and beacon_round.nodes >= majority:
                self._majority_reached_at = max(beacon_round.sent_at, self._majority_reached_at)

    def _start_round(self, parent: NodeId | None, pending: int, now: float) -> None:
        self._rounds[self._newest] = _BeaconRound(parent, now, pending, 1, now + _COUNT_TIMEOUT_S)
        if parent is None:
            self._rounds[self._newest].reported = True
        while len(self._rounds) > _MAX_ROUNDS:
            del self._rounds[next(iter(self._rounds))]

    def receive(self, sender: NodeId, beacon: ContactBeacon, trusted: bool, now: float) -> list[Effect]:
        """Relay a beacon, and use it as evidence if it is ``trusted``; right after a pause it isn't."""
        key = (beacon.term, beacon.sequence)
        if beacon.age_ms >= 0 and trusted and key >= self._newest:
            self._add_evidence(now - beacon.age_ms / 1000.0 - HOP_DELAY_S, now)
        if not beacon.counted:
            return []
        if key <= self._newest:  # Counted already; this reply lets the parent stop waiting.
            return [Send(sender, ContactCount(beacon.term, beacon.sequence, nodes=0))]
        self._newest = key
        low, high, fanout = beacon.low, beacon.high, self._settings.relay_fanout
        targets = range_targets(self._zone_peers, self._own, beacon.sequence, low, high, fanout)
        self._start_round(sender, len(targets), now)
        age_ms = beacon.age_ms + int(1000 * HOP_DELAY_S) if beacon.age_ms >= 0 else -1
        effects: list[Effect] = [
            Send(t.node, ContactBeacon(*key, age_ms, t.low, t.high, counted=True)) for t in targets
        ]
        return effects + self.report(now)

    def receive_count(self, count: ContactCount, now: float) -> list[Effect]:
        """Add a child's count to the own one; forward it separately if the own count was reported already."""
        key = (count.term, count.sequence)
        beacon_round = self._rounds.get(key)
        if beacon_round is None:
            return []
        if beacon_round.reported and beacon_round.parent is not None:
            return [Send(beacon_round.parent, count)]
        beacon_round.nodes += count.nodes
        beacon_round.pending -= 1
        return self.report(now)

    def report(self, now: float) -> list[Effect]:
        """Report counts that are complete or have timed out."""
        effects: list[Effect] = []
        for (term, sequence), beacon_round in self._rounds.items():
            if (
                beacon_round.reported
                or beacon_round.parent is None
                or (beacon_round.pending > 0 and now < beacon_round.report_at)
            ):
                continue
            beacon_round.reported = True
            effects.append(Send(beacon_round.parent, ContactCount(term, sequence, beacon_round.nodes)))
        return effects

    def send_evidence(self, to: NodeId, now: float) -> list[Effect]:
        """Send the newest evidence to a node that missed beacons."""
        if self.evidence_at is None or now - self.evidence_at > self._settings.evidence_s:
            return []
        age_ms = int(1000 * (now - self.evidence_at))
        return [Send(to, ContactBeacon(*self._newest, age_ms))]
