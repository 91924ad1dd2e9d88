"""Membership of nodes: SWIM with suspicion, incarnations and Lifeguard's local health.

Sources: Das, Gupta and Motivala 2002 (SWIM); Dadgar, Phillips and Currey 2018 (Lifeguard).
The load on a node is bounded at any fleet size: one probe per period, and a bounded number of updates per
message.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from springmux.coordination.identifiers import Address, NodeId
from springmux.coordination.membership import messages as wire
from springmux.coordination.membership.anti_entropy import AntiEntropy
from springmux.coordination.membership.dissemination import Disseminator
from springmux.coordination.membership.effects import SendToAddress
from springmux.coordination.membership.events import (
    LeaveBegun,
    OwnRecordChanged,
    PeerUnreachable,
    SeedsChanged,
)
from springmux.coordination.membership.failure_detector import FailureDetector, never_proven
from springmux.coordination.membership.gossip_queue import GossipQueue
from springmux.coordination.membership.joining import Joiner
from springmux.coordination.membership.prober import MakePing, Prober
from springmux.coordination.membership.remembered import MissingPeers, PeerRecorder, RememberedPeer
from springmux.coordination.membership.settings import MembershipSettings
from springmux.coordination.membership.suspicion import LocalHealth
from springmux.coordination.membership.table import PRESENT_STATUSES, MemberTable
from springmux.coordination.membership.view import MembershipView, NodeRecord, NodeStatus
from springmux.coordination.membership.view_publisher import ViewPublisher
from springmux.coordination.state_machine import (
    Effect,
    Event,
    LogLevel,
    LogLine,
    MessageReceived,
    PeerMessage,
    Send,
    Tick,
)


class Membership:
    """Announces this node's record to the fleet and detects failures of the other nodes.

    :param own: this node's record. Its incarnation may be 0; it is raised above that of older updates
        about this node.
    :param seeds: peer addresses of other processes; this node's own address is skipped.
    :param remembered: the peers stored on this node's disk, or ``None`` on a node without a disk.
    :param quorum_proven_at: see :class:`FailureDetector`.
    """

    def __init__(
        self,
        own: NodeRecord,
        seeds: tuple[Address, ...],
        random: random.Random,
        settings: MembershipSettings | None = None,
        remembered: tuple[RememberedPeer, ...] | None = None,
        quorum_proven_at: Callable[[float], float] = never_proven,
    ) -> None:
        settings = self._settings = settings or MembershipSettings()
        self._random = random
        self._table = MemberTable(own, settings)
        self._queue = GossipQueue(settings)
        self._health = LocalHealth(settings)
        self._prober = Prober(settings, self._health, random)
        self._detector = FailureDetector(
            own, self._table, self._queue, self._health, settings, quorum_proven_at
        )
        self._disseminator = Disseminator(self._table, self._queue, self._detector, random, settings)
        self._anti_entropy = AntiEntropy(self._table, self._detector, random, settings)
        others = [peer for peer in remembered or () if peer.node != own.node]
        self._missing = MissingPeers(others, random, settings)
        self._recorder = None if remembered is None else PeerRecorder(settings, others)
        self._joiner = Joiner(own, seeds, self._table, self._missing, random, settings)
        self._publisher = ViewPublisher(self._table, settings)
        self._handled_at: float | None = None
        self._next_dead_ping_at = 0.0

    @property
    def view(self) -> MembershipView:
        """Return the current immutable view."""
        return self._table.view()

    @property
    def health_factor(self) -> int:
        """Return Lifeguard's local health multiplier for metrics; 1 means healthy."""
        return self._health.factor

    def awaits_remembered_peers(self, now: float) -> bool:
        """Return whether a peer known before the restart is missing and its waiting time has not expired.

        Meanwhile this node may know only part of the fleet and must not make fleet-wide decisions.
        """
        return self._missing.are_awaited(now)

    def known_controllers(self) -> frozenset[NodeId] | None:
        """Return the nodes with a replica, present or not.

        Return ``None`` while a remembered peer or a seed is unknown, since there may be more.
        """
        if self._missing or not self._joiner.knows_all_seeds():
            return None
        return frozenset(record.node for record in self.view.nodes.values() if record.replica is not None)

    def next_deadline(self) -> float:
        """Return when the next tick is due."""
        deadline = min(self._disseminator.next_deadline(), self._publisher.next_deadline())
        if self._detector.leaving:
            return deadline
        handled_at = self._handled_at or 0.0
        deadline = min(
            deadline,
            self._prober.next_deadline(),
            self._anti_entropy.next_deadline(),
            self._next_dead_ping_at,
            self._joiner.next_deadline(handled_at),
            self._detector.next_deadline(handled_at),
        )
        return deadline if self._recorder is None else min(deadline, self._recorder.next_deadline())

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle one event; return the effects to execute."""
        effects = self._detect_pause(now)
        if isinstance(event, Tick):
            effects += self._tick(now)
        elif isinstance(event, MessageReceived):
            effects += self._receive(event.sender, event.message, now)
        elif isinstance(event, PeerUnreachable):
            self._prober.probe_soon(event.node, now)
        elif isinstance(event, OwnRecordChanged):
            self._detector.replace_own_record(event.record, self._detector.own.incarnation + 1, now)
        elif isinstance(event, SeedsChanged):
            self._joiner.replace_seeds(self._detector.own, event.seeds, now)
            self._anti_entropy.schedule_immediately(now)
        elif isinstance(event, LeaveBegun):
            effects += self._leave(now)
        if self._table.changed:
            self._handle_table_change(now)
        return effects + self._publisher.publish(now)

    def _handle_table_change(self, now: float) -> None:
        self._publisher.mark_changed()
        if len(self._missing):
            self._missing.discard_known(record.node for record in self._table.records())
        if self._recorder is not None:
            self._recorder.schedule_update(now)

    # --- time ---

    def _detect_pause(self, now: float) -> list[Effect]:
        last, self._handled_at = self._handled_at, now
        if last is None:
            self._joiner.start(now)
            self._missing.start(now)
        if last is None or now - last < self._settings.pause_s:
            return []
        self._prober.restart(now)
        self._queue.keep_only(self._detector.own.node)
        self._health.reset_after_pause()
        self._detector.restart_suspicions(now)
        self._anti_entropy.schedule_immediately(now)
        return [LogLine("membership_paused", LogLevel.WARNING, {"pause_s": round(now - last, 3)})]

    def _tick(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        present = self._table.others(PRESENT_STATUSES)
        if not self._detector.leaving:
            effects += self._probe(present, now)
            effects += self._joiner.join(self._detector.own, now)
            effects += self._exchange(present, now)
            effects += self._joiner.rejoin(self._detector.own, present, now)
            effects += self._ping_dead_node(now)
            effects += self._record_peers(now)
        effects += self._disseminator.gossip(present, now)
        return effects

    def _probe(self, present: tuple[NodeId, ...], now: float) -> list[Effect]:
        effects = self._prober.send_nacks(now)
        effects += self._prober.request_helpers(present, now)
        failed = self._prober.pop_failed_target(now)
        if failed is not None:
            effects += self._detector.suspect(failed, now)
            effects += self._disseminator.notify_suspect(failed)
        effects += self._prober.start_probe(present, self._make_ping(now), now)
        effects += self._detector.decide_suspicions(now)
        return effects

    def _make_ping(self, now: float) -> MakePing:
        return lambda target, sequence: self._ping(target, sequence, now)

    def _ping(self, target: NodeId, sequence: int, now: float) -> wire.MemberPing:
        updates = self._disseminator.for_ping(target, now)
        return wire.MemberPing(sequence, self._detector.own.incarnation, updates)

    def _exchange(self, present: tuple[NodeId, ...], now: float) -> list[Effect]:
        if now < self._anti_entropy.next_deadline():
            return []
        self._table.forget_old(now)
        self._missing.forget_old(now)
        return self._anti_entropy.start_exchange(present, now)

    def _ping_dead_node(self, now: float) -> list[Effect]:
        """Ping a random dead node with some probability, so that the two sides of a healed partition rejoin.

        The whole fleet together sends each dead node about one such ping per probe period.
        """
        if now < self._next_dead_ping_at:
            return []
        self._next_dead_ping_at = now + self._settings.probe_period_s
        dead = self._table.others((NodeStatus.DEAD,))
        if not dead or self._random.random() > len(dead) / len(self._table):
            return []
        target = self._random.choice(dead)
        return [Send(to=target, message=self._ping(target, self._prober.next_sequence(), now))]

    def _record_peers(self, now: float) -> list[Effect]:
        """Request that the present nodes and the peers still missing be stored on disk."""
        if self._recorder is None or now < self._recorder.next_deadline():
            return []
        present = [self._table.get(node) for node in self._table.others(PRESENT_STATUSES)]
        known = [RememberedPeer(record.node, record.peer_address) for record in present if record is not None]
        return self._recorder.update(known + self._missing.peers())

    # --- messages ---

    def _receive(self, sender: NodeId, message: PeerMessage, now: float) -> list[Effect]:
        was_unknown = self._table.get(sender) is None
        effects = self._dispatch(sender, message, now)
        introduced = was_unknown and self._table.get(sender) is not None
        if introduced and isinstance(message, wire.MemberPing | wire.MemberGossip):
            # The sender knows this node, so it may know other nodes that this node doesn't know yet.
            effects.append(self._anti_entropy.send_digest(sender))
        return effects

    def _dispatch(self, sender: NodeId, message: PeerMessage, now: float) -> list[Effect]:
        match message:
            case wire.MemberPing():
                return self._receive_ping(sender, message, now)
            case wire.MemberAck():
                effects = self._detector.receive_updates(sender, message.updates, now)
                effects += self._prober.receive_ack(message, now)
                return effects + self._exchange_if_outdated(sender, message.incarnation)
            case wire.MemberNack():
                self._prober.receive_nack(message)
            case wire.MemberPingRequest():
                return self._prober.relay(sender, message, self._make_ping(now), now)
            case wire.MemberGossip():
                return self._detector.receive_updates(sender, message.updates, now)
            case wire.MemberJoin():
                return self._receive_join(sender, message.record, now)
            case wire.MemberDigest():
                return self._anti_entropy.receive_digest(sender, message)
            case wire.MemberState():
                return self._anti_entropy.receive_state(sender, message, now)
        return []

    def _receive_ping(self, sender: NodeId, ping: wire.MemberPing, now: float) -> list[Effect]:
        effects = self._detector.receive_updates(sender, ping.updates, now)
        effects += self._exchange_if_outdated(sender, ping.incarnation)
        updates = self._disseminator.for_ack(sender, now)
        ack = wire.MemberAck(ping.sequence, self._detector.own.incarnation, updates)
        return [*effects, Send(to=sender, message=ack)]

    def _exchange_if_outdated(self, sender: NodeId, incarnation: int) -> list[Effect]:
        """Start an exchange with a sender that is unknown or known only with an older incarnation."""
        known = self._table.get(sender)
        if known is not None and known.incarnation >= incarnation:
            return []
        return [self._anti_entropy.send_digest(sender)]

    def _receive_join(self, sender: NodeId, record: NodeRecord, now: float) -> list[Effect]:
        was_alone = not self._table.others(PRESENT_STATUSES)
        authoritative = record.node == sender
        effects = self._detector.apply_record(record, now, authoritative, disseminate=True)
        if was_alone:
            # The sender knew this node's address, so it may know nodes that this node's seeds don't lead to.
            self._anti_entropy.schedule_immediately(now)
        records = self._table.records()
        tombstone = self._table.tombstone(record.node)
        if tombstone is not None and tombstone >= record.incarnation:
            dead = msgspec.structs.replace(record, incarnation=tombstone, status=NodeStatus.DEAD)
            records = (*(r for r in records if r.node != record.node), dead)
        return [*effects, SendToAddress(address=record.peer_address, message=wire.MemberState(records))]

    def _leave(self, now: float) -> list[Effect]:
        self._detector.leaving = True
        own = self._detector.own
        self._detector.replace_own_record(own, own.incarnation + 1, now)
        self._disseminator.schedule_immediately(now)
        return self._disseminator.gossip(self._table.others(PRESENT_STATUSES), now)
