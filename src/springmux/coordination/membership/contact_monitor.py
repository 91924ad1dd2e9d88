"""The contact rule: whether this node is in contact with the part of the fleet that makes decisions.

That part has a majority of the controllers. Nodes without a disk make no decisions, so any number of them
may be gone. A fleet that lost the majority of its controllers makes no decisions at all; its nodes then go on
with the last state while they are in contact with a majority of all known nodes.

With up to ``direct_nodes_max`` known nodes the evidence is heartbeats between all of them. In larger fleets
the controllers exchange heartbeats; the other nodes' evidence is the leader's beacon, or freshness vectors
while there is no leader, and heartbeats to the controllers while these don't arrive.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Iterable

from springmux.coordination.identifiers import NodeId
from springmux.coordination.membership.contact_beacon import BeaconRelay
from springmux.coordination.membership.contact_freshness import FreshnessVector
from springmux.coordination.membership.contact_heartbeats import HeartbeatEvidence
from springmux.coordination.membership.contact_known_nodes import KnownNodes, is_controller
from springmux.coordination.membership.contact_messages import (
    ContactBeacon,
    ContactCount,
    ContactHeartbeat,
    ContactVector,
)
from springmux.coordination.membership.events import LeaderBeacon, MembershipUpdated
from springmux.coordination.membership.settings import ContactSettings
from springmux.coordination.state_machine import (
    NEVER,
    Effect,
    Event,
    LogLevel,
    LogLine,
    MessageReceived,
    PeerMessage,
    Send,
    Tick,
)

_ROUND_TRIPS_AFTER_PAUSE = 2
"""Peers with a round trip that are needed after a pause of the process before relayed evidence counts."""
_PROBES_AFTER_PAUSE = 6
"""Peers that get a heartbeat in each period until then."""


class ContactMonitor:
    """Decides :meth:`connected` and sends the messages that provide the evidence.

    :param has_seeds: whether seeds are configured; a node without seeds may be the only one of its fleet.
    :param controllers_expected: number of controllers that the fleet is known to have, met or not.
    """

    def __init__(
        self,
        own: NodeId,
        has_seeds: bool,
        random: random.Random,
        settings: ContactSettings | None = None,
        controllers_expected: int = 1,
    ) -> None:
        self._own = own
        self._has_seeds = has_seeds
        self._random = random
        self._settings = settings or ContactSettings()
        self._known = KnownNodes(own, self._settings)
        self._controllers = KnownNodes(own, self._settings, is_controller, controllers_expected)
        self._heartbeats = HeartbeatEvidence(random)
        self._freshness = FreshnessVector(own)
        self._beacons = BeaconRelay(own, self._settings)
        self._handled_at: float | None = None
        self._paused_at: float | None = None
        self._was_connected = False
        self._connected_until = -math.inf
        self._heartbeat_at = 0.0
        self._controller_heartbeat_at = 0.0
        self._beacon_at = 0.0

    @property
    def known_count(self) -> int:
        """Return the number of known nodes; for status pages."""
        return len(self._known)

    def known_peers(self) -> tuple[NodeId, ...]:
        """Return the known nodes other than this one."""
        return tuple(node for node in self._known.names() if node != self._own)

    @property
    def _uses_heartbeats(self) -> bool:
        return len(self._known) <= self._settings.direct_nodes_max

    def next_deadline(self) -> float:
        """Return when the next tick is due."""
        return min(self._heartbeat_at, self._beacons.next_deadline() if not self._uses_heartbeats else NEVER)

    def fresh_count(self, now: float) -> int:
        """Return how many known nodes, including this one, have fresh evidence at ``now``."""
        return self._count_fresh(self._known, now)

    def _count_fresh(self, nodes: Iterable[NodeId], now: float) -> int:
        since = now - self._settings.evidence_s
        return sum(1 for node in nodes if node == self._own or self._evidence_at(node) >= since)

    def _evidence_at(self, node: NodeId) -> float:
        """Return the time of the newest evidence of contact with ``node``, or minus infinity."""
        heard_at = self._heartbeats.newest_evidence_at(node)
        # After the fleet grew over the limit, round trips still count until they expire, since the first
        # beacon takes a while.
        return heard_at if self._uses_heartbeats else max(heard_at, self._freshness.newest_evidence_at(node))

    def connected(self, now: float) -> bool:
        """Return whether this node is in contact with a majority of the controllers or of all known nodes.

        A positive result is cached, so that a call per request is cheap. It is valid until its evidence
        expires, or until a pause of this process or a change of the known nodes discards it.
        """
        if now <= self._connected_until:
            return True
        self._connected_until = self._compute_connected_until(now)
        return now <= self._connected_until

    def proven_at(self, now: float) -> float:
        """Return the time of the newest evidence for :meth:`connected`, or minus infinity without any."""
        return self._compute_connected_until(now) - self._settings.evidence_s

    def is_controller_majority(self, nodes: Collection[NodeId]) -> bool:
        """Return whether ``nodes`` contain a majority of the controllers."""
        return self._controllers.is_majority(nodes)

    def connected_to_most_nodes(self, now: float) -> bool:
        """Return whether this node has fresh evidence of a majority of all known nodes.

        Unlike :meth:`connected` this doesn't hold among controllers that are cut off from the other nodes.
        """
        if self._is_alone:
            return not self._has_seeds
        return self._is_in_contact_with_most(self._known, now)

    def _is_in_contact_with_most(self, nodes: KnownNodes, now: float) -> bool:
        proven_at = max(self._beacon_at_if_trusted(now), nodes.proven_at(self._evidence_at))
        return now - proven_at <= self._settings.evidence_s

    @property
    def _is_alone(self) -> bool:
        return not self._known.has_met_others and len(self._known) == 1

    def _beacon_at_if_trusted(self, now: float) -> float:
        beacon_at = self._beacons.evidence_at if self._trusts_relayed_evidence(now) else None
        return -math.inf if beacon_at is None else beacon_at

    def _compute_connected_until(self, now: float) -> float:
        if self._is_alone:
            return -math.inf if self._has_seeds else math.inf
        # Beacons also count after the fleet shrank below the limit, since direct evidence takes two
        # heartbeats. A fresh one suffices; the evidence of each node needn't be checked.
        beacon_until = self._beacon_at_if_trusted(now) + self._settings.evidence_s
        if now <= beacon_until:
            return beacon_until
        proven_at = max(known.proven_at(self._evidence_at) for known in (self._controllers, self._known))
        return proven_at + self._settings.evidence_s

    def reason(self, now: float) -> str:
        """Return why this node isn't in contact, or an empty string if it is."""
        if self.connected(now):
            return ""
        if self._is_alone:
            return "not joined any node yet"
        controllers = f"{self._count_fresh(self._controllers, now)} of {len(self._controllers)} controllers"
        return f"in contact with {self.fresh_count(now)} of {len(self._known)} known nodes, {controllers}"

    def _beacon_timed_out(self, now: float) -> bool:
        received_at = self._beacons.evidence_received_at
        return received_at is None or now - received_at > self._settings.beacon_timeout_s

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle one event; return the effects to execute."""
        self._detect_pause(now)
        effects: list[Effect] = []
        if isinstance(event, Tick):
            effects += self._tick(now)
        elif isinstance(event, MessageReceived):
            effects += self._receive(event.sender, event.message, now)
        elif isinstance(event, MembershipUpdated):
            effects += self._apply_view(event, now)
        elif isinstance(event, LeaderBeacon):
            effects += self._receive_leader_beacon(event, now)
        return effects + self._report_change(now)

    def _apply_view(self, event: MembershipUpdated, now: float) -> list[Effect]:
        before = set(self._known.present)
        self._known.update(event.view, now)
        self._controllers.update(event.view, now)
        self._beacons.set_nodes({record.node: record.zone for record in event.view.present()})
        self._handle_known_nodes_change()
        # Sent immediately, not in the next period, so that a starting node is soon in contact.
        met = [node for node in self._known.present if node not in before]
        return self._heartbeats.send(met, now) if met and self._uses_heartbeats else []

    def _handle_known_nodes_change(self) -> None:
        self._connected_until = -math.inf
        names = self._known.names()
        self._freshness.set_roster(names)
        self._heartbeats.keep_only(set(names))

    def _detect_pause(self, now: float) -> None:
        last, self._handled_at = self._handled_at, now
        if last is not None and now - last >= self._settings.pause_s:
            self._paused_at = now
            self._beacons.forget_evidence()
            self._freshness.clear()
            self._connected_until = -math.inf
            self._heartbeat_at = now

    def _trusts_relayed_evidence(self, now: float) -> bool:
        """Return whether relayed evidence counts: after a pause, only after a quarantine and round trips."""
        if self._paused_at is None:
            return True
        return self._has_evidence_after_pause(now, self._paused_at)

    def _has_evidence_after_pause(self, now: float, paused_at: float) -> bool:
        if now - paused_at < self._settings.quarantine_s:
            return False
        needed = min(_ROUND_TRIPS_AFTER_PAUSE, max(1, len(self._known) - 1))
        return self._heartbeats.count_proven_since(self._known.present, paused_at) >= needed

    def _report_change(self, now: float) -> list[Effect]:
        is_connected = self.connected(now)
        if is_connected == self._was_connected:
            return []
        self._was_connected = is_connected
        if is_connected:
            return [LogLine("contact_gained", LogLevel.INFO, {"known": len(self._known)})]
        return [LogLine("contact_lost", LogLevel.WARNING, {"reason": self.reason(now)})]

    def _tick(self, now: float) -> list[Effect]:
        effects = [] if self._uses_heartbeats else self._beacons.report(now)
        if now < self._heartbeat_at:
            return effects
        self._expire_known_nodes(now)
        if self._uses_heartbeats:
            self._heartbeat_at = now + self._settings.heartbeat_period_s
            return effects + self._heartbeats.send(self._known.present, now)
        self._heartbeat_at = now + self._settings.gossip_period_s * self._random.uniform(0.9, 1.1)
        effects += self._send_controller_heartbeats(now)
        if self._paused_at is not None:
            effects += self._probe_after_pause(now)
        if self._beacon_timed_out(now):
            effects += self._send_vectors(now)
        return effects

    def _expire_known_nodes(self, now: float) -> None:
        before = len(self._known) + len(self._controllers)
        for known in (self._known, self._controllers):
            known.expire(self._is_in_contact_with_most(known, now), now)
        if len(self._known) + len(self._controllers) != before:
            self._handle_known_nodes_change()

    def _send_controller_heartbeats(self, now: float) -> list[Effect]:
        """Send heartbeats to the controllers of a large fleet.

        Controllers always do, since the leader needs contact with most of them. Other nodes do while their
        other evidence grows old, since the nodes that relay it may be gone.
        """
        if now < self._controller_heartbeat_at:
            return []
        is_fresh = now - self.proven_at(now) < self._settings.ask_controllers_s
        if is_fresh and self._own not in self._controllers:
            return []
        self._controller_heartbeat_at = now + self._settings.heartbeat_period_s
        return self._heartbeats.send(self._controllers.present, now)

    def _probe_after_pause(self, now: float) -> list[Effect]:
        if self._trusts_relayed_evidence(now):
            self._paused_at = None
            return []
        present = self._known.present
        probed = self._random.sample(present, min(_PROBES_AFTER_PAUSE, len(present)))
        return self._heartbeats.send(probed, now)

    def _send_vectors(self, now: float) -> list[Effect]:
        present = self._known.present
        targets = self._random.sample(present, min(self._settings.gossip_fanout, len(present)))
        vector = self._freshness.encode(now)
        return [Send(to=target, message=vector) for target in targets]

    def _receive_leader_beacon(self, event: LeaderBeacon, now: float) -> list[Effect]:
        if self._uses_heartbeats or now < self._beacon_at:
            return []
        self._beacon_at = now + self._settings.beacon_period_s * 0.9
        quorum_at = now - event.age_s
        controllers_at = self._controllers.proven_at(self._evidence_at)
        return self._beacons.send_as_leader(
            event.term, quorum_at, controllers_at, self._known.majority(), now
        )

    def _receive(self, sender: NodeId, message: PeerMessage, now: float) -> list[Effect]:
        if isinstance(message, ContactHeartbeat):
            return self._receive_heartbeat(sender, message, now)
        if isinstance(message, ContactBeacon):
            return self._beacons.receive(sender, message, self._trusts_relayed_evidence(now), now)
        if isinstance(message, ContactCount):
            return self._beacons.receive_count(message, now)
        if isinstance(message, ContactVector):
            if self._trusts_relayed_evidence(now):
                self._freshness.merge(sender, message, now)
            return self._beacons.send_evidence(sender, now)
        return []

    def _receive_heartbeat(self, sender: NodeId, heartbeat: ContactHeartbeat, now: float) -> list[Effect]:
        self._heartbeats.receive(sender, heartbeat)
        both_controllers = self._own in self._controllers and sender in self._controllers.present
        is_regular = both_controllers or (self._uses_heartbeats and sender in self._known.present)
        # A sender without fresh evidence gets an immediate reply instead of the echo of the next period.
        is_proven = self._heartbeats.newest_evidence_at(sender) >= now - self._settings.evidence_s
        return [] if (is_regular and is_proven) or heartbeat.is_reply else [self._heartbeats.reply(sender)]
