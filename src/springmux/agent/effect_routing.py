"""Where each effect of a part goes: to another part of the same node as an event, or out to the driver."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from springmux.agent import messages as agent_messages
from springmux.agent.applying import StateApplier, StateWork
from springmux.agent.components import NodeComponents
from springmux.agent.deadlines import Deadlines
from springmux.agent.directory import messages as directory_messages
from springmux.agent.directory.effects import EnginesChanged
from springmux.agent.effects import ClaimAnswered, FlowsRevoked, OrderAnswered
from springmux.agent.group_orders import GroupOrders
from springmux.agent.in_force import ControlInForce
from springmux.agent.leader_tasks import LeaderTasks
from springmux.agent.leadership import LeadershipKnowledge
from springmux.agent.rollout_orders import RolloutProposal, command_for
from springmux.control import order_messages
from springmux.control.commands import AnyCommand
from springmux.control.delivery import events as delivery_events
from springmux.control.delivery import messages as delivery_messages
from springmux.control.delivery.effects import (
    ApplyCommands,
    ConfirmLeaderRevision,
    ProvideSnapshot,
    ReplaceState,
)
from springmux.control.freshness import messages as freshness_messages
from springmux.control.freshness.events import QuorumConfirmed
from springmux.control.order_events import ProposalEnded, ProposeCommand, ReplyToOrder, SubmitOrder
from springmux.coordination.claims import messages as claim_messages
from springmux.coordination.claims.events import ClaimResolved
from springmux.coordination.consensus import effects as raft
from springmux.coordination.consensus import messages as consensus_messages
from springmux.coordination.consensus.events import FoundingCandidates
from springmux.coordination.consensus.types import GroupMember
from springmux.coordination.identifiers import NodeId
from springmux.coordination.membership import contact_messages
from springmux.coordination.membership import messages as membership_messages
from springmux.coordination.membership.effects import MembershipChanged
from springmux.coordination.membership.events import MembershipUpdated
from springmux.coordination.quota import messages as quota_messages
from springmux.coordination.quota.events import QuotaMembersChanged
from springmux.coordination.state_machine import (
    Effect,
    Event,
    MessageReceived,
    PeerMessage,
    Send,
    StateMachine,
)
from springmux.coordination.usage import messages as usage_messages
from springmux.coordination.usage.events import UsageMembersChanged
from springmux.rollout import messages as rollout_messages
from springmux.rollout.effects import ProposeAbort, ProposeFinish, ProposeStep
from springmux.rollout.events import EnginesChanged as RolloutEnginesChanged
from springmux.rollout.events import FleetChanged, IssuerChanged

OWN_CORRELATION_ID = ""
"""Ticket of the node's own orders; nobody waits for their answers."""

Handler = Callable[[Any, float], list[Effect]]


class EffectRouting:
    """Carries effects between the components of one node. Owns what lies between them."""

    def __init__(self, own: NodeId, components: NodeComponents, applier: StateApplier) -> None:
        self.own = own
        self.components = components
        self.applier = applier
        self.leadership = LeadershipKnowledge(own)
        self.leader_tasks = LeaderTasks()
        self.deadlines = Deadlines(components.timed(), volatile=(components.quota, components.usage))
        self.group = GroupOrders(own, components.replica)
        self.installing: raft.InstallSnapshot | None = None
        self.established = False
        """Some node has a control state, so a control group exists and none may be founded."""
        self._told_candidates = False
        self._in_force = ControlInForce(components)
        self._handlers = self._make_handlers()
        self._message_parts = self._make_message_parts()

    def give(self, part: StateMachine, event: Event, now: float) -> list[Effect]:
        """Give a part an event; return what concerns the driver."""
        self.deadlines.touch(part)
        return self.absorb(part.handle(event, now), now)

    def give_replica(self, event: Event, now: float) -> list[Effect]:
        """Give the own replica an event, where there is one."""
        return [] if self.components.replica is None else self.give(self.components.replica, event, now)

    def give_message(self, event: MessageReceived, now: float) -> list[Effect]:
        """Give a peer's message to the part that it is for."""
        part = self._message_parts.get(type(event.message))
        if part is not None:
            return self.give(part, event, now)
        if isinstance(event.message, agent_messages.MESSAGES):
            return self.absorb(self.group.receive(event.message, now), now)
        return []

    def order(self, command: AnyCommand, now: float) -> list[Effect]:
        """Submit one of the node's own orders."""
        return self.give(self.components.orders, SubmitOrder(OWN_CORRELATION_ID, command), now)

    def absorb(self, effects: list[Effect], now: float) -> list[Effect]:
        """Carry out what concerns components of this node; return the rest, in order."""
        if not effects:
            return effects
        outside: list[Effect] = []
        waiting = deque(effects)
        while waiting:
            effect = waiting.popleft()
            handler = self._handlers.get(type(effect))
            if handler is None:
                outside.append(effect)
            else:
                outside += handler(effect, now)
        return outside

    def state_worked(self, events: list[Event], effects: list[Effect], now: float) -> list[Effect]:
        """Draw the consequences of work on the control state: put it in force, tell its components."""
        outside = self.absorb(effects, now)
        in_force, flows = self._in_force.update(self.applier.state.view(), now)
        self.deadlines.touch_all()
        outside += self.absorb(in_force, now)
        for event in events:
            is_image = isinstance(event, delivery_events.SnapshotProvided)
            outside += self.give(self.components.delivery if is_image else self.components.orders, event, now)
        if flows:
            outside.append(FlowsRevoked(tuple(flows)))
        return outside

    def leadership_changed(self, now: float) -> list[Effect]:
        """Tell the components who leads."""
        known, components = self.leadership.known, self.components
        self.leader_tasks.lead(known.leading, now)
        effects = self.give(components.delivery, known, now)
        effects += self.give(components.freshness, known, now)
        effects += self.give(components.orders, known, now)
        effects += self.give(components.rollout, IssuerChanged(known.leading, known.term), now)
        return effects + self.tell_candidates(now)

    def tell_candidates(self, now: float) -> list[Effect]:
        """Tell the own replica which controllers are there, and whether a group exists.

        It hears of nobody before this node was in contact with a majority of the known nodes, and of
        nobody any more once it is cut off: a wiped machine must not found a group with others like it.
        """
        if self.components.replica is None:
            return []
        established = self.established or self.leadership.known.leader is not None
        if not established and not self.components.contact.connected(now):
            return self.give_replica(FoundingCandidates((), False), now) if self._told_candidates else []
        self._told_candidates = True
        members = tuple(
            GroupMember(record.replica, record.node, voter=True)
            for record in self.components.membership.view.controllers()
            if record.replica is not None
        )
        leader = self.leadership.known.leader
        return self.give_replica(FoundingCandidates(members, established, leader), now)

    def _make_handlers(self) -> dict[type[Effect], Handler]:
        return {
            Send: self._send,
            MembershipChanged: self._on_membership_changed,
            EnginesChanged: self._on_engines_changed,
            ApplyCommands: self._on_state_work,
            ReplaceState: self._on_state_work,
            ProvideSnapshot: self._on_state_work,
            raft.TakeSnapshot: self._on_state_work,
            raft.Apply: self._on_apply,
            raft.InstallSnapshot: self._on_install,
            raft.ProposalCommitted: self._on_committed,
            raft.ProposalDropped: self._on_dropped,
            raft.ReadConfirmed: self._on_read_confirmed,
            raft.LeadershipChanged: self._on_replica_leadership,
            ConfirmLeaderRevision: self._on_ask_revision,
            ProposeCommand: self._on_propose,
            ReplyToOrder: self._on_answer,
            ClaimResolved: self._on_claim_resolved,
            ProposeAbort: self._on_rollout_wish,
            ProposeStep: self._on_rollout_wish,
            ProposeFinish: self._on_rollout_wish,
        }

    def _make_message_parts(self) -> dict[type[PeerMessage], StateMachine]:
        components = self.components
        owners: list[tuple[Any, StateMachine | None]] = [
            (membership_messages, components.membership),
            (contact_messages, components.contact),
            (directory_messages, components.directory),
            (delivery_messages, components.delivery),
            (freshness_messages, components.freshness),
            (order_messages, components.orders),
            (claim_messages, components.claims),
            (quota_messages, components.quota),
            (usage_messages, components.usage),
            (rollout_messages, components.rollout),
            (consensus_messages, components.replica),
        ]
        return {message: part for module, part in owners if part is not None for message in module.MESSAGES}

    def _send(self, effect: Send, now: float) -> list[Effect]:
        if effect.to != self.own:
            return [effect]
        return self.give_message(MessageReceived(self.own, effect.message), now)

    def _on_membership_changed(self, effect: MembershipChanged, now: float) -> list[Effect]:
        view, components = effect.view, self.components
        updated = MembershipUpdated(view)
        effects = self.give(components.contact, updated, now)
        effects += self.give(components.directory, updated, now)
        changed = delivery_events.MembershipChanged(view)
        effects += self.give(components.delivery, changed, now)
        effects += self.give(components.freshness, changed, now)
        effects += self.give(components.rollout, FleetChanged(view), now)
        effects += self.give(components.quota, QuotaMembersChanged(view), now)
        effects += self.give(components.usage, UsageMembersChanged(view), now)
        components.gateway.update_fleet(len(view.present()))
        return effects + self.tell_candidates(now)

    def _on_engines_changed(self, effect: EnginesChanged, now: float) -> list[Effect]:
        self.components.router.update_engines(effect.view, now)
        self.components.gateway.update_engines(effect.view, now)
        return self.give(self.components.rollout, RolloutEnginesChanged(effect.view), now)

    def _on_state_work(self, effect: StateWork, now: float) -> list[Effect]:
        return self.state_worked(*self.applier.take(effect), now)

    def _on_apply(self, effect: raft.Apply, now: float) -> list[Effect]:
        return self.give(self.components.delivery, delivery_events.CommandsCommitted(effect.entries), now)

    def _on_install(self, effect: raft.InstallSnapshot, now: float) -> list[Effect]:
        self.installing = effect
        return [effect]

    def _on_committed(self, effect: raft.ProposalCommitted, now: float) -> list[Effect]:
        # Its sender is answered once the command is applied (CommandDecided), not before.
        return []

    def _on_dropped(self, effect: raft.ProposalDropped, now: float) -> list[Effect]:
        full = "storage full" in effect.reason
        return self.give(
            self.components.orders, ProposalEnded(effect.correlation_id, effect.unknown, full), now
        )

    def _on_read_confirmed(self, effect: raft.ReadConfirmed, now: float) -> list[Effect]:
        if not self.leader_tasks.is_beacon(effect.correlation_id):
            confirmed = delivery_events.ConfirmedRevision(effect.correlation_id, effect.index)
            return self.give(self.components.delivery, confirmed, now)
        beacon = self.leader_tasks.beacon(effect.correlation_id, self.leadership.known.term, now)
        if effect.index is None or beacon is None:
            return []
        confirmed_at = QuorumConfirmed(now - beacon.age_s, effect.index)
        effects = self.give(self.components.freshness, confirmed_at, now)
        return effects + self.give(self.components.contact, beacon, now)

    def _on_replica_leadership(self, effect: raft.LeadershipChanged, now: float) -> list[Effect]:
        replica = self.components.replica
        leader = replica.leader_node() if replica is not None and effect.leader is not None else None
        if not self.leadership.from_replica(effect.term, leader, effect.leading):
            return []
        return self.leadership_changed(now)

    def _on_ask_revision(self, effect: ConfirmLeaderRevision, now: float) -> list[Effect]:
        if self.components.replica is None:
            refused = delivery_events.ConfirmedRevision(effect.correlation_id, None)
            return self.give(self.components.delivery, refused, now)
        return self.give_replica(raft.ConfirmRead(effect.correlation_id), now)

    def _on_propose(self, effect: ProposeCommand, now: float) -> list[Effect]:
        """Propose a command, but not while most nodes are out of contact, whatever the replicas' quorum.

        Those nodes go on serving the last state, so nothing may be acknowledged that they can't learn. The
        same holds for nodes that this one knew before its restart and doesn't know yet again.
        The orders sends the order again until its time is over.
        """
        if not self.components.contact.connected(now) or self.components.membership.awaits_remembered(now):
            return self.give(self.components.orders, ProposalEnded(effect.correlation_id, unknown=False), now)
        return self.give_replica(raft.Propose(effect.correlation_id, effect.data), now)

    def _on_answer(self, effect: ReplyToOrder, now: float) -> list[Effect]:
        if effect.correlation_id == OWN_CORRELATION_ID:
            return []
        return [OrderAnswered(effect.correlation_id, effect.result, effect.error)]

    def _on_claim_resolved(self, effect: ClaimResolved, now: float) -> list[Effect]:
        return [ClaimAnswered(effect.correlation_id, effect.decision)]

    def _on_rollout_wish(self, effect: RolloutProposal, now: float) -> list[Effect]:
        return self.order(command_for(effect), now)
