"""Dissemination of membership updates, piggybacked on probes and by gossip between probes.

Sources: SWIM, section 4.1 (infection-style dissemination); Lifeguard, section III-C (buddy system).
"""

from __future__ import annotations

import random

import msgspec

from springmux.coordination.identifiers import NodeId
from springmux.coordination.membership.failure_detector import FailureDetector
from springmux.coordination.membership.gossip_queue import GossipQueue
from springmux.coordination.membership.messages import NO_UPDATES, MemberGossip, Piggyback
from springmux.coordination.membership.settings import MembershipSettings
from springmux.coordination.membership.table import MemberTable
from springmux.coordination.state_machine import NEVER, Effect, Send


class Disseminator:
    """Selects the updates that each message carries, and the nodes that get gossip."""

    def __init__(
        self,
        table: MemberTable,
        queue: GossipQueue,
        detector: FailureDetector,
        rng: random.Random,
        settings: MembershipSettings,
    ) -> None:
        self._table = table
        self._queue = queue
        self._detector = detector
        self._random = rng
        self._settings = settings
        self._gossip_at = 0.0

    def next_deadline(self) -> float:
        """Return when the next gossip is due."""
        return self._gossip_at if len(self._queue) else NEVER

    def schedule_immediately(self, now: float) -> None:
        """Make the next gossip due at ``now``."""
        self._gossip_at = now

    def for_ping(self, target: NodeId, now: float) -> Piggyback:
        """Return the updates for a ping to ``target``; a suspect is notified of the suspicion."""
        suspicion = self._detector.buddy_update(target)
        updates = self._queue.select_updates(len(self._table), now, suspicion)
        return updates if suspicion is None else self._with_own_record(updates)

    def for_ack(self, target: NodeId, now: float) -> Piggyback:
        """Return the updates for the acknowledgement of a ping from ``target``."""
        return self._queue.select_updates(len(self._table), now, self._detector.buddy_update(target))

    def notify_suspect(self, node: NodeId) -> list[Effect]:
        """Notify a node of its suspicion, so that it can refute."""
        suspicion = self._detector.buddy_update(node)
        if suspicion is None:
            return []
        updates = self._with_own_record(Piggyback(statuses=(suspicion,)))
        return [Send(to=node, message=MemberGossip(updates))]

    def gossip(self, present: tuple[NodeId, ...], now: float) -> list[Effect]:
        """Send queued updates to a few of the ``present`` nodes."""
        if not len(self._queue) or now < self._gossip_at:
            return []
        self._gossip_at = now + self._settings.gossip_period_s
        effects: list[Effect] = []
        for target in self._gossip_targets(present):
            updates = self._queue.select_updates(len(self._table), now)
            if updates != NO_UPDATES:
                effects.append(Send(to=target, message=MemberGossip(updates)))
        return effects

    def _gossip_targets(self, present: tuple[NodeId, ...]) -> list[NodeId]:
        """Return random targets: in a large fleet one in another zone, the others in this node's zone.

        Every node of a zone sends to other zones, so updates reach them as reliably as with uniformly chosen
        targets, with fewer connections and bytes between zones.
        """
        fanout = self._settings.gossip_fanout
        peers = self._table.present_peers()
        large = len(present) > self._settings.small_fleet_max
        if not large or len(peers.own_zone) < fanout or not peers.other_zones:
            return self._random.sample(present, min(fanout, len(present)))
        return [*self._random.sample(peers.own_zone, fanout - 1), self._random.choice(peers.other_zones)]

    def _with_own_record(self, updates: Piggyback) -> Piggyback:
        """Return ``updates`` with this node's record first.

        A target that isn't believed alive may be a new process, which can reply only to nodes whose address
        it knows.
        """
        own = self._detector.own
        others = tuple(record for record in updates.records if record.node != own.node)
        return msgspec.structs.replace(updates, records=(own, *others))
