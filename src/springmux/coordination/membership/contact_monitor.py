"""The contact rule: whether this node is in contact with a majority of the known nodes.

A node that isn't must not serve, since decisions may be made without it. Up to ``direct_nodes_max`` known
nodes the evidence is direct; above, it is the leader's beacon, and freshness vectors without one.
"""

from __future__ import annotations

import math
import random

from springmux.coordination.identifiers import NodeId
from springmux.coordination.membership.contact_beacon import BeaconRelay
from springmux.coordination.membership.contact_freshness import FreshnessVector
from springmux.coordination.membership.contact_heartbeats import HeartbeatEvidence
from springmux.coordination.membership.contact_known_nodes import KnownNodes
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

_PROOFS_AFTER_PAUSE = 2
_PROBED_AFTER_PAUSE = 6


class ContactMonitor:
    """Decides :meth:`connected`, and sends the messages that gather evidence for it.

    :param has_seeds: whether the node was given seeds; without any it may be a fleet of its own.
    """

    def __init__(
        self,
        own: NodeId,
        has_seeds: bool,
        random: random.Random,
        settings: ContactSettings | None = None,
    ) -> None:
        self._own = own
        self._has_seeds = has_seeds
        self._random = random
        self._settings = settings or ContactSettings()
        self._known = KnownNodes(own, self._settings)
        self._heartbeats = HeartbeatEvidence(random)
        self._freshness = FreshnessVector(own)
        self._beacons = BeaconRelay(own, self._settings)
        self._handled_at: float | None = None
        self._paused_at: float | None = None
        self._connected_since: float | None = None
        self._was_connected = False
        self._good_until = -math.inf
        self._heartbeat_at = 0.0
        self._beacon_at = 0.0

    @property
    def known_count(self) -> int:
        """Return the rule's denominator, for operators."""
        return len(self._known)

    def known_peers(self) -> tuple[NodeId, ...]:
        """Return the other nodes that the rule counts."""
        return tuple(node for node in self._known.names() if node != self._own)

    @property
    def _direct(self) -> bool:
        return len(self._known) <= self._settings.direct_nodes_max

    def next_deadline(self) -> float:
        """Return when the next tick is wanted."""
        return min(self._heartbeat_at, self._beacons.next_deadline() if not self._direct else NEVER)

    def fresh_count(self, now: float) -> int:
        """Return how many known nodes have fresh evidence at ``now``, the own one among them."""
        since = now - self._settings.evidence_s
        return 1 + sum(1 for proven_at in self._evidence_times() if proven_at >= since)

    def _evidence_times(self) -> list[float]:
        others = [node for node in self._known if node != self._own]
        if self._direct:
            return self._heartbeats.proven_at(others)
        # Round trips from before the fleet grew count until they are old: the first beacon takes a while.
        return [max(self._heartbeats.newest(node), self._freshness.newest(node)) for node in others]

    def connected(self, now: float) -> bool:
        """Return whether this node is in contact with a majority of the known nodes; cheap for each request.

        A positive result is kept until its evidence is old, or until a pause or another node resets it.
        """
        if now <= self._good_until:
            return True
        self._good_until = self._find_good_until(now)
        return now <= self._good_until

    def _find_good_until(self, now: float) -> float:
        if not self._known.met_others and len(self._known) == 1:
            return -math.inf if self._has_seeds else math.inf
        needed = self._known.majority() - 1
        if needed == 0:
            return math.inf
        # Also where the fleet just shrank to direct evidence, which takes two heartbeats to gather.
        beacon_at = self._beacons.evidence_at if self._trusts(now) else None
        if beacon_at is not None and now <= beacon_at + self._settings.evidence_s:
            # Enough for now, without a look at every node's evidence.
            return beacon_at + self._settings.evidence_s
        times = sorted(self._evidence_times(), reverse=True)
        proven_at = times[needed - 1] if len(times) >= needed else -math.inf
        return proven_at + self._settings.evidence_s

    def reason(self, now: float) -> str:
        """Return why the node isn't in contact, or an empty text."""
        if self.connected(now):
            return ""
        if not self._known.met_others and len(self._known) == 1:
            return "not joined any node yet"
        return f"in contact with {self.fresh_count(now)} of {len(self._known)} known nodes"

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
            effects += self._update(event, now)
        elif isinstance(event, LeaderBeacon):
            effects += self._lead(event, now)
        return effects + self._report_change(now)

    def _update(self, event: MembershipUpdated, now: float) -> list[Effect]:
        before = set(self._known.present)
        self._known.update(event.view, now)
        self._beacons.set_nodes({record.node: record.zone for record in event.view.present()})
        self._known_changed()
        # At once, not in the next period: a node that starts is to be in contact soon.
        met = [node for node in self._known.present if node not in before]
        return self._heartbeats.send(met, now) if met and self._direct else []

    def _known_changed(self) -> None:
        self._good_until = -math.inf
        names = self._known.names()
        self._freshness.set_roster(names)
        self._heartbeats.keep_only(set(names))

    def _detect_pause(self, now: float) -> None:
        last, self._handled_at = self._handled_at, now
        if last is not None and now - last >= self._settings.pause_s:
            self._paused_at = now
            self._beacons.forget_evidence()
            self._freshness.clear()
            self._good_until = -math.inf
            self._heartbeat_at = now

    def _trusts(self, now: float) -> bool:
        """Return whether relayed evidence counts: after a pause, only after a quarantine and round trips."""
        if self._paused_at is None:
            return True
        return self._proven_after_pause(now, self._paused_at)

    def _proven_after_pause(self, now: float, paused_at: float) -> bool:
        if now - paused_at < self._settings.quarantine_s:
            return False
        needed = min(_PROOFS_AFTER_PAUSE, max(1, len(self._known) - 1))
        return self._heartbeats.proven_since(self._known.present, paused_at) >= needed

    def _report_change(self, now: float) -> list[Effect]:
        is_connected = self.connected(now)
        if is_connected and self._connected_since is None:
            self._connected_since = now
        if not is_connected:
            self._connected_since = None
        if is_connected == self._was_connected:
            return []
        self._was_connected = is_connected
        if is_connected:
            return [LogLine("contact_gained", LogLevel.INFO, {"known": len(self._known)})]
        return [LogLine("contact_lost", LogLevel.WARNING, {"reason": self.reason(now)})]

    def _tick(self, now: float) -> list[Effect]:
        effects = [] if self._direct else self._beacons.report(now)
        if now < self._heartbeat_at:
            return effects
        before = len(self._known)
        self._known.expire(now, self._connected_since)
        if len(self._known) != before:
            self._known_changed()
        if self._direct:
            self._heartbeat_at = now + self._settings.heartbeat_period_s
            return effects + self._heartbeats.send(self._known.present, now)
        self._heartbeat_at = now + self._settings.gossip_period_s * self._random.uniform(0.9, 1.1)
        if self._paused_at is not None:
            effects += self._prove_after_pause(now)
        if self._beacon_timed_out(now):
            effects += self._send_vectors(now)
        return effects

    def _prove_after_pause(self, now: float) -> list[Effect]:
        if self._trusts(now):
            self._paused_at = None
            return []
        present = self._known.present
        probed = self._random.sample(present, min(_PROBED_AFTER_PAUSE, len(present)))
        return self._heartbeats.send(probed, now)

    def _send_vectors(self, now: float) -> list[Effect]:
        present = self._known.present
        targets = self._random.sample(present, min(self._settings.gossip_fanout, len(present)))
        vector = self._freshness.encode(now)
        return [Send(to=target, message=vector) for target in targets]

    def _lead(self, event: LeaderBeacon, now: float) -> list[Effect]:
        if self._direct or now < self._beacon_at:
            return []
        self._beacon_at = now + self._settings.beacon_period_s * 0.9
        quorum_at = now - event.age_s
        return self._beacons.originate(event.term, quorum_at, self._known.majority(), now)

    def _receive(self, sender: NodeId, message: PeerMessage, now: float) -> list[Effect]:
        if isinstance(message, ContactHeartbeat):
            return self._receive_heartbeat(sender, message, now)
        if isinstance(message, ContactBeacon):
            return self._beacons.receive(sender, message, self._trusts(now), now)
        if isinstance(message, ContactCount):
            return self._beacons.receive_count(message, now)
        if isinstance(message, ContactVector):
            if self._trusts(now):
                self._freshness.merge(sender, message, now)
            return self._beacons.send_evidence(sender, now)
        return []

    def _receive_heartbeat(self, sender: NodeId, heartbeat: ContactHeartbeat, now: float) -> list[Effect]:
        self._heartbeats.receive(sender, heartbeat)
        is_regular = self._direct and sender in self._known.present
        # A node without evidence gets its echo at once, and doesn't wait for the next period.
        is_proven = self._heartbeats.newest(sender) >= now - self._settings.evidence_s
        return [] if (is_regular and is_proven) or heartbeat.is_reply else [self._heartbeats.reply(sender)]
