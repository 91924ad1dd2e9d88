"""Distributes the leader of the control log and the founding candidates to the components of a node."""

from __future__ import annotations

from collections.abc import Mapping

from springmux.agent.effect_dispatcher import EffectDispatcher, EffectHandler
from springmux.agent.leader_tasks import BeaconReadId, LeaderTasks
from springmux.agent.leadership import LeadershipKnowledge
from springmux.control.delivery.events import ConfirmedRevision
from springmux.control.events import LeadershipKnown
from springmux.control.freshness.events import QuorumConfirmed
from springmux.coordination.consensus import effects as raft
from springmux.coordination.consensus.events import FoundingCandidates
from springmux.coordination.consensus.types import GroupMember
from springmux.coordination.identifiers import NodeId, Term
from springmux.coordination.state_machine import Effect
from springmux.rollout.events import IssuerChanged


class LeadershipHandlers:
    """Owns the node's knowledge of the leader, and the tasks that it runs while it leads."""

    def __init__(self, own: NodeId, dispatcher: EffectDispatcher) -> None:
        self.tasks = LeaderTasks()
        self._knowledge = LeadershipKnowledge(own)
        self._dispatcher = dispatcher
        self._components = dispatcher.components
        self._group_exists = False
        """Whether some node has a control state, so that a control group exists and none may be founded."""
        self._candidates_announced = False
        self._may_found = False

    @property
    def known(self) -> LeadershipKnown:
        """The newest known term and leader."""
        return self._knowledge.known

    def handlers(self) -> Mapping[type[Effect], EffectHandler]:
        """Return the effect handlers of this module."""
        return {
            raft.LeadershipChanged: self._on_replica_leadership,
            raft.ReadConfirmed: self._on_read_confirmed,
        }

    def observe_leader(self, term: Term, leader: NodeId, now: float) -> list[Effect]:
        """Handle the leader named in a peer's envelope."""
        if not self._knowledge.observe(term, leader):
            return []
        return self._announce_leadership(now)

    def observe_control_state(self, now: float) -> list[Effect]:
        """Handle evidence that some node has a control state; only the first one has an effect."""
        if self._group_exists:
            return []
        self._group_exists = True
        return self.announce_candidates(now)

    def announce_candidates(self, now: float) -> list[Effect]:
        """Announce the present controllers to the node's own replica, and whether a control group exists.

        While no group is known to exist, no candidates are announced before this node was in contact with a
        majority of the known nodes, nor while it is partitioned: a wiped machine must not found a group with
        others like it.
        """
        if self._components.replica is None:
            return []
        exists = self._group_is_known
        self._may_found = self._components.contact.connected_to_most_nodes(now)
        if not exists and not self._may_found:
            if not self._candidates_announced:
                return []
            return self._dispatcher.deliver_to_replica(FoundingCandidates((), False), now)
        self._candidates_announced = True
        members = tuple(
            GroupMember(record.replica, record.node, voter=True)
            for record in self._components.membership.view.controllers()
            if record.replica is not None
        )
        known = self._components.membership.known_controllers()
        candidates = FoundingCandidates(members, exists, self.known.leader, known)
        return self._dispatcher.deliver_to_replica(candidates, now)

    @property
    def _group_is_known(self) -> bool:
        return self._group_exists or self.known.leader is not None

    def check_founding(self, now: float) -> list[Effect]:
        """Announce the candidates when contact with most nodes changed, without which none are announced."""
        if self._components.replica is None or self._group_is_known:
            return []
        if self._components.contact.connected_to_most_nodes(now) == self._may_found:
            return []
        return self.announce_candidates(now)

    def _announce_leadership(self, now: float) -> list[Effect]:
        known, components, deliver = self.known, self._components, self._dispatcher.deliver
        self.tasks.set_leading(known.leading, now)
        effects = deliver(components.delivery, known, now)
        effects += deliver(components.freshness, known, now)
        effects += deliver(components.orders, known, now)
        effects += deliver(components.rollout, IssuerChanged(known.leading, known.term), now)
        return effects + self.announce_candidates(now)

    def _on_replica_leadership(self, effect: raft.LeadershipChanged, now: float) -> list[Effect]:
        replica = self._components.replica
        leader = replica.leader_node() if replica is not None and effect.leader is not None else None
        if not self._knowledge.observe_replica(effect.term, leader, effect.leading):
            return []
        return self._announce_leadership(now)

    def _on_read_confirmed(self, effect: raft.ReadConfirmed, now: float) -> list[Effect]:
        deliver, components = self._dispatcher.deliver, self._components
        if not isinstance(effect.correlation_id, BeaconReadId):
            confirmed = ConfirmedRevision(effect.correlation_id, effect.index)
            return deliver(components.delivery, confirmed, now)
        beacon = self.tasks.beacon(effect.correlation_id, self.known.term, now)
        if effect.index is None or beacon is None:
            return []
        confirmed_at = QuorumConfirmed(now - beacon.age_s, effect.index)
        effects = deliver(components.freshness, confirmed_at, now)
        return effects + deliver(components.contact, beacon, now)
