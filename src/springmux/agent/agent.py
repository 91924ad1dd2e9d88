"""Composition of one node's components, driven by the daemon (``node/``) and by the simulation alike.

The agent does no I/O and reads no clock. Requests from one component to another go through
:mod:`springmux.agent.effect_dispatcher`.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import msgspec

from springmux.agent.components import build_components, own_record
from springmux.agent.control_handlers import ControlHandlers
from springmux.agent.decision_times import DecisionAge
from springmux.agent.effect_dispatcher import EffectDispatcher
from springmux.agent.effects import ReadinessChanged
from springmux.agent.events import (
    AgentSettings,
    ClaimRequested,
    ClaimSettled,
    CommandsPrepared,
    ControllerRemovalRequested,
    EngineAnnounced,
    EngineDraining,
    EngineHeartbeat,
    EngineLeft,
    LeaderObserved,
    LeadershipTransferRequested,
    OrderSubmitted,
    PeerReachable,
    PeerUnreachable,
    SeedsChanged,
    StopBegun,
    StopFinished,
)
from springmux.agent.fleet_handlers import FleetHandlers
from springmux.agent.gateway_readiness import GatewayReadiness
from springmux.agent.leadership_handlers import LeadershipHandlers
from springmux.agent.log_position import LogPosition
from springmux.agent.readiness import Readiness
from springmux.agent.reporting import build_status
from springmux.agent.state_applier import StateApplier
from springmux.agent.status import NodeStatusReport
from springmux.control.delivery.arrival import Arrival
from springmux.control.delivery.events import PeerRevisionObserved, ReplicaRestored
from springmux.control.freshness.events import ProofRequested
from springmux.control.order_events import SubmitOrder
from springmux.control.state import ControlState
from springmux.control.view import ControlView
from springmux.coordination.claims.events import (
    ClaimEnded,
    ClaimsPersisted,
    ClaimsPersistFailed,
    ClaimWanted,
)
from springmux.coordination.claims.journal import RecoveredClaims
from springmux.coordination.consensus.effects import SnapshotInstalled, TransferLeadership
from springmux.coordination.consensus.events import StopAnnounced
from springmux.coordination.consensus.types import RecoveredState
from springmux.coordination.identifiers import NodeId, Revision
from springmux.coordination.membership.effects import MembershipChanged
from springmux.coordination.membership.events import ContactChanged, LeaveBegun, OwnRecordChanged
from springmux.coordination.membership.remembered import RememberedPeer
from springmux.coordination.membership.view import MembershipView
from springmux.coordination.state_machine import Effect, Event, MessageReceived, StateMachine, Tick
from springmux.gateway.core import GatewayCore
from springmux.rollout.status import RolloutStatus
from springmux.router.router import Router
from springmux.vocabulary.engines import EnginesView
from springmux.vocabulary.names import EngineId, OrderId, ServiceName

EventHandler = Callable[[Any, float], list[Effect]]
"""Handles one event; each handler accepts its own event type."""


class NodeAgent:
    """Coordinates all components of one node.

    :param recovered: the replica's state recovered from storage, or ``None`` on a node without a data folder.
    :param claims: the content of the claim journal, or ``None`` on a node without one.
    :param remembered: the peers stored on disk before the restart.
    """

    def __init__(
        self,
        settings: AgentSettings,
        recovered: RecoveredState | None,
        random: random.Random,
        claims: RecoveredClaims | None = None,
        remembered: tuple[RememberedPeer, ...] = (),
    ) -> None:
        self._own_record = own_record(settings, recovered)
        self._recovered = recovered
        self._applier = StateApplier()
        self._components = build_components(
            settings, recovered, self._applier.state, random, claims, remembered
        )
        self._dispatcher = EffectDispatcher(NodeId(settings.node), self._components)
        self._leadership = LeadershipHandlers(NodeId(settings.node), self._dispatcher)
        self._control = ControlHandlers(self._dispatcher, self._applier, lambda: self.ready)
        fleet = FleetHandlers(self._dispatcher, self._leadership)
        for component_handlers in (self._leadership, self._control, fleet):
            self._dispatcher.register(component_handlers.handlers())
        self._readiness = Readiness(self._components, self._applier)
        self._gateway_readiness = GatewayReadiness(self._components, self._applier)
        self._peer_revisions: dict[NodeId, Revision] = {}
        self._now = 0.0
        self._handlers = self._make_handlers()

    # State read by the daemon

    @property
    def router(self) -> Router:
        """The data plane of this node."""
        return self._components.router

    @property
    def gateway(self) -> GatewayCore:
        """The shared state of this node's forwarded requests."""
        return self._components.gateway

    @property
    def control(self) -> ControlState:
        """The control state machine: documents, history, decided orders. Read-only for callers."""
        return self._applier.state

    @property
    def view(self) -> ControlView:
        """The control state in force at this node."""
        return self._applier.state.view()

    @property
    def membership(self) -> MembershipView:
        """The nodes of the fleet as known to this node."""
        return self._components.membership.view

    @property
    def engines(self) -> EnginesView:
        """The engine directory as known to this node."""
        return self._components.directory.view

    @property
    def ready(self) -> bool:
        """Whether the node accepts requests."""
        return self._readiness.ready

    @property
    def not_ready_reason(self) -> str:
        """Why the node rejects requests; empty while it accepts them."""
        return self._readiness.reason

    @property
    def gateway_ready(self) -> bool:
        """Whether the node accepts gateway requests, which doesn't require contact with a majority."""
        return self._gateway_readiness.ready

    @property
    def gateway_reason(self) -> str:
        """Why the node rejects gateway requests; empty while it accepts them."""
        return self._gateway_readiness.reason

    @property
    def newest_arrival(self) -> Arrival | None:
        """How the newest control state arrived; ``None`` before the first arrival."""
        return self._components.delivery.newest_arrival

    def state_proof_age_s(self, now: float) -> float:
        """Return the seconds since the state in force here was last proven to be the newest acknowledged one.

        Handle a :class:`springmux.control.freshness.events.ProofRequested` event to request a new proof.
        """
        return self._components.freshness.proof_age_s(now)

    def stop_is_confirmed(self, engine: EngineId, since: float, now: float) -> bool:
        """Return whether a stop that an engine reported to this node at ``since`` will reach all nodes.

        A majority of the controllers has it, or this node has been in contact with the fleet since then.
        """
        components = self._components
        if components.contact.is_controller_majority(components.directory.stop_holders(engine)):
            return True
        return components.contact.proven_at(now) >= since

    def decision_age(self, order: OrderId, now: float) -> DecisionAge:
        """Return how long ago an order was decided that the control state knows to be decided."""
        return self._control.decision_times.age(order, now)

    @property
    def log_position(self) -> LogPosition:
        """Position of this node in the control log, sent in the envelope of every message."""
        known = self._leadership.known
        return LogPosition(known.term, known.leader, self._components.delivery.revision)

    def rollout_status(self, service: ServiceName) -> RolloutStatus | None:
        """Return what this node knows of the newest rollout of ``service``, or ``None`` if it knows none."""
        return self._components.rollout.status(service, self._now)

    def status(self) -> NodeStatusReport:
        """Return the node's report for the status page."""
        return build_status(self, self._components, self._leadership.known, self._peer_revisions, self._now)

    # Events

    def start(self, now: float) -> list[Effect]:
        """Start all components at ``now``; return the first effects for the driver to execute."""
        self._now = now
        effects = self._dispatcher.execute([MembershipChanged(self.membership)], now)
        # A node without contact receives no heartbeats, so it must not mark engines lost.
        effects += self._dispatcher.deliver(self._components.directory, ContactChanged(False), now)
        recovered, self._recovered = self._recovered, None
        if recovered is not None and recovered.snapshot is not None:
            restored = ReplicaRestored(recovered.snapshot.index, recovered.snapshot_data)
            effects += self._dispatcher.deliver(self._components.delivery, restored, now)
        effects += self._tick(Tick(), now)
        return effects + self._update_readiness(now)

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle one event; return the effects for the driver to execute."""
        self._now = now
        handler = self._handlers.get(type(event), self._dispatcher.deliver_to_replica)
        effects = handler(event, now)
        return effects + self._update_readiness(now)

    def next_deadline(self) -> float:
        """Return when the next :class:`Tick` is due."""
        own = min(self._leadership.tasks.next_deadline(), self._gateway_readiness.next_deadline())
        return min(own, self._dispatcher.deadlines.earliest())

    def _make_handlers(self) -> dict[type[Event], EventHandler]:
        to_membership = self._deliver_to(self._components.membership)
        to_directory = self._deliver_to(self._components.directory)
        to_claims = self._deliver_to(self._components.claims)
        return {
            Tick: self._tick,
            MessageReceived: self._dispatcher.deliver_message,
            PeerRevisionObserved: self._on_peer_revision,
            LeaderObserved: self._on_leader_observed,
            OrderSubmitted: self._on_order,
            ClaimRequested: self._on_claim_requested,
            ClaimSettled: self._on_claim_settled,
            ClaimsPersisted: to_claims,
            ClaimsPersistFailed: to_claims,
            EngineAnnounced: to_directory,
            EngineHeartbeat: to_directory,
            EngineDraining: to_directory,
            EngineLeft: to_directory,
            PeerReachable: to_membership,
            PeerUnreachable: self._on_peer_unreachable,
            SeedsChanged: to_membership,
            ProofRequested: self._deliver_to(self._components.freshness),
            CommandsPrepared: self._on_commands_prepared,
            StopBegun: self._on_stop,
            StopFinished: self._on_stop_finished,
            LeadershipTransferRequested: self._on_leadership_transfer,
            ControllerRemovalRequested: self._on_controller_removal,
            SnapshotInstalled: self._control.snapshot_installed,
        }

    def _deliver_to(self, component: StateMachine) -> EventHandler:
        return lambda event, now: self._dispatcher.deliver(component, event, now)

    def _tick(self, event: Tick, now: float) -> list[Effect]:
        dispatcher, tasks = self._dispatcher, self._leadership.tasks
        effects: list[Effect] = []
        for component in dispatcher.deadlines.due(now):
            effects += dispatcher.deliver(component, event, now)
        if tasks.next_deadline() > now:
            return effects
        ring_change = tasks.ring_change(self.view, self.membership, now)
        if ring_change is not None:
            effects += dispatcher.submit_order(ring_change, now)
        beacon_read = tasks.beacon_read(now)
        return effects if beacon_read is None else effects + dispatcher.deliver_to_replica(beacon_read, now)

    def _on_peer_revision(self, event: PeerRevisionObserved, now: float) -> list[Effect]:
        if event.revision > self._peer_revisions.get(event.node, Revision(0)):
            self._peer_revisions[event.node] = event.revision
        effects: list[Effect] = []
        if event.revision > self._components.delivery.revision:
            effects = self._dispatcher.deliver(self._components.delivery, event, now)
        if event.revision > 0:
            effects += self._leadership.observe_control_state(now)
        return effects

    def _on_peer_unreachable(self, event: PeerUnreachable, now: float) -> list[Effect]:
        effects = self._dispatcher.deliver(self._components.membership, event, now)
        return effects + self._dispatcher.deliver(self._components.delivery, event, now)

    def _on_leader_observed(self, event: LeaderObserved, now: float) -> list[Effect]:
        return self._leadership.observe_leader(event.term, event.leader, now)

    def _on_order(self, event: OrderSubmitted, now: float) -> list[Effect]:
        return self._dispatcher.deliver(
            self._components.orders, SubmitOrder(event.correlation_id, event.command), now
        )

    def _on_claim_requested(self, event: ClaimRequested, now: float) -> list[Effect]:
        return self._dispatcher.deliver(
            self._components.claims, ClaimWanted(event.correlation_id, event.claim_key), now
        )

    def _on_claim_settled(self, event: ClaimSettled, now: float) -> list[Effect]:
        ended = ClaimEnded(event.correlation_id, event.claim_key, event.ran, event.answer)
        return self._dispatcher.deliver(self._components.claims, ended, now)

    def _on_commands_prepared(self, _event: CommandsPrepared, now: float) -> list[Effect]:
        return self._control.commands_prepared(now)

    def _on_stop(self, _event: StopBegun, now: float) -> list[Effect]:
        self._readiness.stopping = True
        self._own_record = msgspec.structs.replace(self._own_record, leaving=True)
        effects = self._dispatcher.deliver(
            self._components.membership, OwnRecordChanged(self._own_record), now
        )
        effects += self._dispatcher.deliver_to_replica(StopAnnounced(), now)
        if self._leadership.known.leading:
            effects += self._dispatcher.deliver_to_replica(TransferLeadership(), now)
        return effects

    def _on_stop_finished(self, _event: StopFinished, now: float) -> list[Effect]:
        return self._dispatcher.deliver(self._components.membership, LeaveBegun(), now)

    def _on_leadership_transfer(self, event: LeadershipTransferRequested, now: float) -> list[Effect]:
        leader = self._leadership.known.leader
        return self._dispatcher.execute(self._dispatcher.group_orders.transfer(event, leader, now), now)

    def _on_controller_removal(self, event: ControllerRemovalRequested, now: float) -> list[Effect]:
        leader = self._leadership.known.leader
        return self._dispatcher.execute(self._dispatcher.group_orders.remove(event, leader, now), now)

    # Readiness, which any event may change

    def _update_readiness(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        if self._readiness.check_contact(now):
            peers = self._components.contact.known_peers()
            contact = ContactChanged(self._readiness.connected, peers)
            effects += self._dispatcher.deliver(self._components.delivery, contact, now)
            effects += self._dispatcher.deliver(self._components.directory, contact, now)
            effects += self._dispatcher.deliver(self._components.quota, contact, now)
            effects += self._leadership.announce_candidates(now)
        effects += self._leadership.check_founding(now)
        was_ready = self._readiness.ready
        if self._readiness.check(now):
            effects += self._publish_readiness(was_ready, now)
        caught_up = self._readiness.connected and not self._components.directory.catching_up(now)
        self._gateway_readiness.check(self._readiness.stopping, caught_up, now)
        return effects

    def _publish_readiness(self, was_ready: bool, now: float) -> list[Effect]:
        ready, reason = self._readiness.ready, self._readiness.reason
        self._components.router.update_readiness(ready, reason)
        effects: list[Effect] = [ReadinessChanged(ready, reason)]
        if ready != was_ready and not self._readiness.stopping:
            self._own_record = msgspec.structs.replace(self._own_record, ready=ready)
            changed = OwnRecordChanged(self._own_record)
            effects += self._dispatcher.deliver(self._components.membership, changed, now)
        return effects
