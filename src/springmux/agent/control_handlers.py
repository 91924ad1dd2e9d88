"""Handlers for effects on the control log and state: proposals, commands, snapshots, order replies."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from springmux.agent.control_view_publisher import ControlViewPublisher
from springmux.agent.decision_times import DecisionTimes
from springmux.agent.effect_dispatcher import OWN_CORRELATION_ID, EffectDispatcher, EffectHandler
from springmux.agent.effects import FlowsRevoked, OrderAnswered
from springmux.agent.state_applier import AppliedWork, StateApplier, StateWork
from springmux.control.delivery import events as delivery_events
from springmux.control.delivery.effects import (
    ApplyCommands,
    ConfirmLeaderRevision,
    ProvideSnapshot,
    ReplaceState,
)
from springmux.control.order_events import (
    CommandDecided,
    ProposalEnded,
    ProposeCommand,
    ReplyToOrder,
    StateReplaced,
)
from springmux.coordination.consensus import effects as raft
from springmux.coordination.consensus.proposals import STORAGE_FULL
from springmux.coordination.state_machine import Effect, Event


class ControlHandlers:
    """Connects the replica, the state applier, the delivery and the orders of one node.

    :param is_current: whether the node has the newest state, so that it learns of decisions at once.
    """

    def __init__(
        self, dispatcher: EffectDispatcher, applier: StateApplier, is_current: Callable[[], bool]
    ) -> None:
        self._dispatcher = dispatcher
        self._components = dispatcher.components
        self._applier = applier
        self._publisher = ControlViewPublisher(dispatcher.components)
        self._installing: raft.InstallSnapshot | None = None
        self._is_current = is_current
        self.decision_times = DecisionTimes()

    def handlers(self) -> Mapping[type[Effect], EffectHandler]:
        """Return the effect handlers of this module."""
        return {
            ApplyCommands: self._on_state_work,
            ReplaceState: self._on_state_work,
            ProvideSnapshot: self._on_state_work,
            raft.TakeSnapshot: self._on_state_work,
            raft.Apply: self._on_apply,
            raft.InstallSnapshot: self._on_install_snapshot,
            raft.ProposalCommitted: self._on_proposal_committed,
            raft.ProposalDropped: self._on_proposal_dropped,
            ConfirmLeaderRevision: self._on_confirm_revision,
            ProposeCommand: self._on_propose,
            ReplyToOrder: self._on_reply_to_order,
        }

    def commands_prepared(self, now: float) -> list[Effect]:
        """Continue with the commands that the driver has parsed."""
        return self._publish(self._applier.resume(), now)

    def snapshot_installed(self, event: raft.SnapshotInstalled, now: float) -> list[Effect]:
        """Restore the state from a stored snapshot before the replica applies the entries that follow it."""
        effects: list[Effect] = []
        installing, self._installing = self._installing, None
        if installing is not None and installing.meta == event.meta:
            restored = delivery_events.ReplicaRestored(event.meta.index, installing.data)
            effects += self._dispatcher.deliver(self._components.delivery, restored, now)
        return effects + self._dispatcher.deliver_to_replica(event, now)

    def _publish(self, work: AppliedWork, now: float) -> list[Effect]:
        """Publish the state after ``work``, then deliver the events that it produced."""
        dispatcher, components = self._dispatcher, self._components
        driver_effects = dispatcher.execute(work.effects, now)
        published = self._publisher.publish(self._applier.state.view(), now)
        dispatcher.deadlines.invalidate_all()
        driver_effects += dispatcher.execute(published.effects, now)
        self._record_decisions(work.events, now)
        for event in work.events:
            is_snapshot = isinstance(event, delivery_events.SnapshotProvided)
            driver_effects += dispatcher.deliver(
                components.delivery if is_snapshot else components.orders, event, now
            )
        if published.revoked_flows:
            driver_effects.append(FlowsRevoked(tuple(published.revoked_flows)))
        return driver_effects

    def _record_decisions(self, events: list[Event], now: float) -> None:
        for event in events:
            if isinstance(event, CommandDecided):
                self.decision_times.record(event.result.order, self._is_current(), now)
            elif isinstance(event, StateReplaced):
                self.decision_times.record_replacement(now)

    def _on_state_work(self, effect: StateWork, now: float) -> list[Effect]:
        return self._publish(self._applier.enqueue(effect), now)

    def _on_apply(self, effect: raft.Apply, now: float) -> list[Effect]:
        committed = delivery_events.CommandsCommitted(effect.entries)
        return self._dispatcher.deliver(self._components.delivery, committed, now)

    def _on_install_snapshot(self, effect: raft.InstallSnapshot, _now: float) -> list[Effect]:
        self._installing = effect
        return [effect]

    def _on_proposal_committed(self, _effect: raft.ProposalCommitted, _now: float) -> list[Effect]:
        # The client receives its reply only after the command is applied (CommandDecided).
        return []

    def _on_proposal_dropped(self, effect: raft.ProposalDropped, now: float) -> list[Effect]:
        full = effect.reason == STORAGE_FULL
        ended = ProposalEnded(effect.correlation_id, effect.unknown, full)
        return self._dispatcher.deliver(self._components.orders, ended, now)

    def _on_confirm_revision(self, effect: ConfirmLeaderRevision, now: float) -> list[Effect]:
        if self._components.replica is None:
            refused = delivery_events.ConfirmedRevision(effect.correlation_id, None)
            return self._dispatcher.deliver(self._components.delivery, refused, now)
        return self._dispatcher.deliver_to_replica(raft.ConfirmRead(effect.correlation_id), now)

    def _on_propose(self, effect: ProposeCommand, now: float) -> list[Effect]:
        """Propose a command unless this node is out of contact, even if the replicas have a quorum.

        The voters may be fewer than the controllers, and a change must reach every node that is in contact
        with a majority of the controllers. Peers that this node knew before its restart and hasn't contacted
        since are awaited for a limited time. The order coordinator retries the order until its deadline.
        """
        contact, membership = self._components.contact, self._components.membership
        if not contact.connected(now) or membership.awaits_remembered_peers(now):
            refused = ProposalEnded(effect.correlation_id, unknown=False)
            return self._dispatcher.deliver(self._components.orders, refused, now)
        return self._dispatcher.deliver_to_replica(raft.Propose(effect.correlation_id, effect.data), now)

    def _on_reply_to_order(self, effect: ReplyToOrder, _now: float) -> list[Effect]:
        if effect.correlation_id == OWN_CORRELATION_ID:
            return []
        return [OrderAnswered(effect.correlation_id, effect.result, effect.error)]
