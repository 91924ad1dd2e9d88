"""The membership part: SWIM with suspicion, incarnations and Lifeguard's local health.

Sources: Das, Gupta and Motivala 2002 (SWIM); Dadgar, Phillips and Currey 2018 (Lifeguard).
Cost a node is bounded at any fleet size: one probe a period, limited news a message.
"""

from __future__ import annotations

import random

import msgspec

from springmux.coordination.identifiers import Address, NodeId
from springmux.coordination.membership import messages as wire
from springmux.coordination.membership.effects import MembershipChanged, SendToAddress
from springmux.coordination.membership.events import (
    LeaveBegun,
    OwnRecordChanged,
    PeerUnreachable,
    SeedsChanged,
)
from springmux.coordination.membership.failure_detector import FailureDetector
from springmux.coordination.membership.gossip_queue import GossipQueue
from springmux.coordination.membership.prober import MakePing, Prober
from springmux.coordination.membership.remembered import MissingPeers, PeerRecorder, RememberedPeer
from springmux.coordination.membership.settings import MembershipSettings
from springmux.coordination.membership.suspicion import LocalHealth
from springmux.coordination.membership.table import PRESENT, MemberTable
from springmux.coordination.membership.view import MembershipView, NodeRecord, NodeStatus
from springmux.coordination.state_machine import (
    NEVER,
    Effect,
    Event,
    LogLevel,
    LogLine,
    MessageReceived,
    Send,
    Tick,
)


class Membership:
    """Keeps the own record alive in the fleet and watches the others'.

    :param own: the node's record; its incarnation may be 0, it rises when older rumours are met.
    :param seeds: peer addresses of other processes; the own address among them is passed over.
    :param remembered: the peers that this node's disk kept, or ``None`` on a node without a disk.
    """

    def __init__(
        self,
        own: NodeRecord,
        seeds: tuple[Address, ...],
        random: random.Random,
        settings: MembershipSettings | None = None,
        remembered: tuple[RememberedPeer, ...] | None = None,
    ) -> None:
        self._settings = settings or MembershipSettings()
        self._seeds = tuple(seed for seed in seeds if seed != own.peer_address)
        self._random = random
        self._table = MemberTable(own, self._settings)
        self._queue = GossipQueue(self._settings)
        self._health = LocalHealth(self._settings)
        self._prober = Prober(self._settings, self._health, random)
        self._beliefs = FailureDetector(own, self._table, self._queue, self._health, self._settings)
        others = [peer for peer in remembered or () if peer.node != own.node]
        self._missing = MissingPeers(others, random, self._settings)
        self._recorder = None if remembered is None else PeerRecorder(self._settings, others)
        self._handled_at: float | None = None
        self._view_changed = False
        self._view_told_at = -NEVER
        self._join_at = 0.0
        self._gossip_at = 0.0
        self._sync_at = 0.0
        self._reconnect_at = 0.0
        self._seed_turn = 0
        self._seed_at = self._settings.seed_period_s

    @property
    def view(self) -> MembershipView:
        """Return the present immutable view."""
        return self._table.view()

    @property
    def health_factor(self) -> int:
        """Return Lifeguard's local health multiplier, 1 when healthy; for metrics."""
        return self._health.factor

    def awaits_remembered(self, now: float) -> bool:
        """Say whether a peer from before the restart is missing, and may still be heard of soon.

        Until then this node may know only a part of the fleet, and must decide nothing for the whole.
        """
        return self._missing.awaited(now)

    def next_deadline(self) -> float:
        """Return when the next tick is wanted."""
        gossip_at = self._gossip_at if len(self._queue) else NEVER
        told_at = self._view_due_at() if self._view_changed else NEVER
        if self._beliefs.leaving:
            return min(gossip_at, told_at)
        deadline = min(self._prober.next_deadline(), self._sync_at, self._reconnect_at, gossip_at, told_at)
        if self._must_join(self._handled_at or 0.0):
            deadline = min(deadline, self._join_at)
        elif self._seeds or len(self._missing):
            deadline = min(deadline, self._seed_at)
        if self._recorder is not None:
            deadline = min(deadline, self._recorder.next_deadline())
        return min(deadline, self._beliefs.next_deadline(self._handled_at or 0.0))

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Take one event and return what is to be done."""
        effects = self._note_pause(now)
        if isinstance(event, Tick):
            effects += self._tick(now)
        elif isinstance(event, MessageReceived):
            effects += self._receive(event.sender, event.message, now)
        elif isinstance(event, PeerUnreachable):
            self._prober.bring_forward(event.node, now)
        elif isinstance(event, OwnRecordChanged):
            self._beliefs.replace_own(event.record, self._beliefs.own.incarnation + 1, now)
        elif isinstance(event, SeedsChanged):
            self._take_seeds(event.seeds, now)
        elif isinstance(event, LeaveBegun):
            effects += self._leave(now)
        if self._table.changed:
            self._view_changed = True
            if len(self._missing):
                self._missing.known(record.node for record in self._table.records())
            if self._recorder is not None:
                self._recorder.changed(now)
        return effects + self._tell_view(now)

    def _tell_view(self, now: float) -> list[Effect]:
        """Tell a changed view; in a large fleet many changes at once."""
        if not self._view_changed or now < self._view_due_at():
            return []
        self._view_changed = False
        self._view_told_at = now
        return [MembershipChanged(self._table.view())]

    def _view_due_at(self) -> float:
        nodes = self._size()
        batch_s = nodes * self._settings.batch_s_per_node if nodes > self._settings.small_fleet_max else 0.0
        return self._view_told_at + batch_s

    # --- time ---

    def _note_pause(self, now: float) -> list[Effect]:
        last, self._handled_at = self._handled_at, now
        if last is None:
            self._seed_at += now
            self._missing.begin(now)
        if last is None or now - last < self._settings.pause_s:
            return []
        self._prober.restart(now)
        self._queue.keep_only(self._beliefs.own.node)
        self._health.reset_after_pause()
        self._beliefs.restart_suspicions(now)
        self._sync_at = now
        return [LogLine("membership_paused", LogLevel.WARNING, {"pause_s": round(now - last, 3)})]

    def _tick(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        present = self._table.others(PRESENT)
        if not self._beliefs.leaving:
            effects += self._prober.send_nacks(now)
            effects += self._prober.ask_helpers(present, now)
            failed = self._prober.failed_target(now)
            if failed is not None:
                effects += self._beliefs.accuse(failed, now)
                effects += self._tell_accused(failed)
            effects += self._prober.begin(present, self._make_ping(now), now)
            effects += self._beliefs.decide_suspicions(now)
            effects += self._join(now)
            effects += self._synchronize(present, now)
            effects += self._ask_absent_seed(present, now)
            effects += self._reconnect(now)
            effects += self._record_peers(now)
        effects += self._gossip(present, now)
        return effects

    def _make_ping(self, now: float) -> MakePing:
        return lambda target, sequence: self._ping(target, sequence, now)

    def _ping(self, target: NodeId, sequence: int, now: float) -> wire.MemberPing:
        # A suspect target learns of the suspicion at once (Lifeguard, buddy system).
        rumour = self._beliefs.buddy(target)
        news = self._queue.take(self._size(), now, rumour)
        if rumour is not None:
            news = self._introduced(news)
        return wire.MemberPing(sequence, self._beliefs.own.incarnation, news)

    def _tell_accused(self, node: NodeId) -> list[Effect]:
        rumour = self._beliefs.buddy(node)
        if rumour is None:
            return []
        news = self._introduced(wire.Piggyback(statuses=(rumour,)))
        return [Send(to=node, message=wire.MemberGossip(news))]

    def _introduced(self, news: wire.Piggyback) -> wire.Piggyback:
        """Return ``news`` with the own record in it.

        A target that isn't held as alive may be a new process, which can answer only nodes whose address it
        knows.
        """
        own = self._beliefs.own
        others = tuple(record for record in news.records if record.node != own.node)
        return msgspec.structs.replace(news, records=(own, *others))

    def _size(self) -> int:
        return len(self._table.view().nodes) if not self._table.changed else len(self._table.records())

    def _must_join(self, now: float) -> bool:
        if self._beliefs.leaving:
            return False
        alone = not self._table.others(PRESENT)
        return self._missing.awaited(now) or (alone and bool(self._seeds or len(self._missing)))

    def _join(self, now: float) -> list[Effect]:
        if not self._must_join(now) or now < self._join_at:
            return []
        self._join_at = now + self._settings.join_retry_s * self._random.uniform(0.8, 1.2)
        met = {record.peer_address for record in self._table.records() if record.status in PRESENT}
        absent_seeds = [seed for seed in self._seeds if seed not in met]
        asked = dict.fromkeys([*absent_seeds, *self._missing.some_addresses()])
        message = wire.MemberJoin(self._beliefs.own)
        return [SendToAddress(address=address, message=message) for address in asked]

    def _record_peers(self, now: float) -> list[Effect]:
        """Have the disk keep the present fleet, and those not heard of again yet."""
        if self._recorder is None or now < self._recorder.next_deadline():
            return []
        present = [self._table.get(node) for node in self._table.others(PRESENT)]
        known = [RememberedPeer(record.node, record.peer_address) for record in present if record is not None]
        return self._recorder.update(known + self._missing.peers())

    def _take_seeds(self, seeds: tuple[Address, ...], now: float) -> None:
        """Ask the new ones soon, also where this node has met others: it may be in the smaller part."""
        self._seeds = tuple(seed for seed in seeds if seed != self._beliefs.own.peer_address)
        self._join_at = now
        self._seed_at = now
        self._sync_at = now

    def _synchronize(self, present: tuple[NodeId, ...], now: float) -> list[Effect]:
        if now < self._sync_at:
            return []
        self._sync_at = now + self._settings.sync_period_s * self._random.uniform(0.8, 1.2)
        self._table.forget_old(now)
        self._missing.forget_old(now)
        if not present:
            return []
        return [Send(to=self._random.choice(present), message=wire.MemberDigest(self._table.digest()))]

    def _ask_absent_seed(self, present: tuple[NodeId, ...], now: float) -> list[Effect]:
        """Ask a seed or a remembered peer that isn't present to take this node in.

        Parts of a fleet that were cut apart for longer than ``forget_dead_s`` know nothing of each other
        any more; only these addresses are left to find the others by.
        """
        if now < self._seed_at or not present:
            return []
        self._seed_at = now + self._settings.seed_period_s * self._random.uniform(0.8, 1.2)
        met = {record.peer_address for record in self._table.records() if record.status in PRESENT}
        absent = [seed for seed in self._seeds if seed not in met] + self._missing.some_addresses()
        if not absent:
            return []
        self._seed_turn += 1
        message = wire.MemberJoin(self._beliefs.own)
        return [SendToAddress(address=absent[self._seed_turn % len(absent)], message=message)]

    def _reconnect(self, now: float) -> list[Effect]:
        """Ping a dead node now and then, so that halves that were cut apart find each other again.

        The whole fleet sends each dead node about one such ping a probe period.
        """
        if now < self._reconnect_at:
            return []
        self._reconnect_at = now + self._settings.probe_period_s
        dead = self._table.others((NodeStatus.DEAD,))
        if not dead or self._random.random() > len(dead) / self._size():
            return []
        target = self._random.choice(dead)
        return [Send(to=target, message=self._ping(target, self._prober.next_sequence(), now))]

    def _gossip(self, present: tuple[NodeId, ...], now: float) -> list[Effect]:
        if not len(self._queue) or now < self._gossip_at:
            return []
        self._gossip_at = now + self._settings.gossip_period_s
        effects: list[Effect] = []
        for target in self._gossip_targets(present):
            news = self._queue.take(self._size(), now)
            if news != wire.NO_NEWS:
                effects.append(Send(to=target, message=wire.MemberGossip(news)))
        return effects

    def _gossip_targets(self, present: tuple[NodeId, ...]) -> list[NodeId]:
        """Return whom to send news: in a large fleet one node of another zone, the others in the own zone.

        Each zone hears from all its nodes' far targets, so news crosses as surely as by uniform choice, for
        fewer connections and bytes between zones.
        """
        fanout = self._settings.gossip_fanout
        near, far = self._table.present_by_zone()
        if len(present) <= self._settings.small_fleet_max or len(near) < fanout or not far:
            return self._random.sample(present, min(fanout, len(present)))
        return [*self._random.sample(near, fanout - 1), self._random.choice(far)]

    # --- messages ---

    def _receive(self, sender: NodeId, message: object, now: float) -> list[Effect]:
        was_unknown = self._table.get(sender) is None
        effects = self._take_message(sender, message, now)
        introduced = was_unknown and self._table.get(sender) is not None
        if introduced and isinstance(message, wire.MemberPing | wire.MemberGossip):
            # Who introduces itself to this node knows the fleet that this node may not know yet.
            effects.append(Send(to=sender, message=wire.MemberDigest(self._table.digest())))
        return effects

    def _take_message(self, sender: NodeId, message: object, now: float) -> list[Effect]:
        if isinstance(message, wire.MemberPing):
            effects = self._beliefs.take_news(sender, message.news, now)
            effects += self._meet(sender, message.incarnation, now)
            news = self._queue.take(self._size(), now, self._beliefs.buddy(sender))
            answer = wire.MemberAck(message.sequence, self._beliefs.own.incarnation, news)
            return [*effects, Send(to=sender, message=answer)]
        if isinstance(message, wire.MemberAck):
            effects = self._beliefs.take_news(sender, message.news, now)
            return (
                effects + self._prober.take_ack(message, now) + self._meet(sender, message.incarnation, now)
            )
        if isinstance(message, wire.MemberNack):
            self._prober.take_nack(message)
        elif isinstance(message, wire.MemberPingRequest):
            return self._prober.relay(sender, message, self._make_ping(now), now)
        elif isinstance(message, wire.MemberGossip):
            return self._beliefs.take_news(sender, message.news, now)
        elif isinstance(message, wire.MemberJoin):
            return self._take_join(sender, message.record, now)
        elif isinstance(message, wire.MemberDigest):
            return self._take_digest(sender, message, now)
        elif isinstance(message, wire.MemberState):
            return self._take_state(sender, message, now)
        return []

    def _meet(self, sender: NodeId, incarnation: int, now: float) -> list[Effect]:
        """Fetch what is missing of a sender that is unknown here, or known only in an older life."""
        known = self._table.get(sender)
        if known is not None and (known.incarnation >= incarnation):
            return []
        return [Send(to=sender, message=wire.MemberDigest(self._table.digest()))]

    def _take_join(self, sender: NodeId, record: NodeRecord, now: float) -> list[Effect]:
        was_alone = not self._table.others(PRESENT)
        effects = self._beliefs.take_record(record, now, vouched=record.node == sender, spread=True)
        if was_alone:
            # Who remembers this node may know the fleet that this node's seeds don't lead to.
            self._sync_at = now
        records = self._table.records()
        tombstone = self._table.tombstone(record.node)
        if tombstone is not None and tombstone >= record.incarnation:
            dead = msgspec.structs.replace(record, incarnation=tombstone, status=NodeStatus.DEAD)
            records = (*(r for r in records if r.node != record.node), dead)
        return [*effects, SendToAddress(address=record.peer_address, message=wire.MemberState(records))]

    def _take_digest(self, sender: NodeId, message: wire.MemberDigest, now: float) -> list[Effect]:
        buckets = self._table.differing(message.hashes)
        if not buckets:
            return []
        state = wire.MemberState(self._table.in_buckets(buckets), buckets, answer_wanted=True)
        return [Send(to=sender, message=state)]

    def _take_state(self, sender: NodeId, message: wire.MemberState, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for record in message.records:
            vouched = record.node == sender
            effects += self._beliefs.take_record(record, now, vouched, spread=vouched)
        if message.answer_wanted:
            answer = wire.MemberState(self._table.in_buckets(message.buckets))
            effects.append(Send(to=sender, message=answer))
        if self._table.changed:
            again_s = self._settings.sync_again_s * self._random.uniform(0.5, 1.5)
            self._sync_at = min(self._sync_at, now + again_s)
        return effects

    def _leave(self, now: float) -> list[Effect]:
        self._beliefs.leaving = True
        own = self._beliefs.own
        self._beliefs.replace_own(own, own.incarnation + 1, now)
        self._gossip_at = now
        return self._gossip(self._table.others(PRESENT), now)
