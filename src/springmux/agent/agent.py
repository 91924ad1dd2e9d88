"""One node's pure components, composed. The daemon (``node/``) and the simulation drive this same class.

It does no I/O and reads no clock. What one part asks of another goes through
:mod:`springmux.agent.effect_routing`.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import msgspec

from springmux.agent.applying import StateApplier
from springmux.agent.components import build_components, own_record
from springmux.agent.effect_routing import EffectRouting
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
from springmux.agent.gateway_readiness import GatewayReadiness
from springmux.agent.readiness import Readiness
from springmux.agent.reporting import build_status
from springmux.agent.status import NodeStatusReport
from springmux.control.delivery.arrival import Arrival
from springmux.control.delivery.events import PeerRevisionObserved, ReplicaRestored
from springmux.control.freshness.events import ProofWanted
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
from springmux.coordination.identifiers import NodeId, Revision, Term
from springmux.coordination.membership.effects import MembershipChanged
from springmux.coordination.membership.events import ContactChanged, LeaveBegun, OwnRecordChanged
from springmux.coordination.membership.remembered import RememberedPeer
from springmux.coordination.membership.view import MembershipView
from springmux.coordination.state_machine import Effect, Event, MessageReceived, StateMachine, Tick
from springmux.gateway.core import GatewayCore
from springmux.rollout.status import RolloutStatus
from springmux.router.router import Router
from springmux.vocabulary.engines import EnginesView
from springmux.vocabulary.names import ServiceName

Handler = Callable[[Any, float], list[Effect]]


class NodeAgent:
    """All coordination of one node.

    :param recovered: what storage found, or ``None`` on a node without a data folder.
    :param claims: what the claim journal held, or ``None`` where there is none.
    :param remembered: the peers that the disk kept from before the restart.
    """

    def __init__(
        self,
        settings: AgentSettings,
        recovered: RecoveredState | None,
        random: random.Random,
        claims: RecoveredClaims | None = None,
        remembered: tuple[RememberedPeer, ...] = (),
    ) -> None:
        self._record = own_record(settings, recovered)
        self._recovered = recovered
        self._applier = StateApplier()
        self._components = build_components(
            settings, recovered, self._applier.state, random, claims, remembered
        )
        self._routing = EffectRouting(NodeId(settings.node), self._components, self._applier)
        self._readiness = Readiness(self._components, self._applier)
        self._gateway_readiness = GatewayReadiness(self._components, self._applier)
        self._revisions: dict[NodeId, Revision] = {}
        self._now = 0.0
        self._handlers = self._make_handlers()

    # What the daemon reads

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
        """The control state machine: documents, history, decided orders. Never applied to from outside."""
        return self._applier.state

    @property
    def view(self) -> ControlView:
        """The control state in force at this node."""
        return self._applier.state.view()

    @property
    def membership(self) -> MembershipView:
        """The fleet's nodes as seen from here."""
        return self._components.membership.view

    @property
    def engines(self) -> EnginesView:
        """The directory of back ends."""
        return self._components.directory.view

    @property
    def ready(self) -> bool:
        """Whether the node takes requests."""
        return self._readiness.ready

    @property
    def not_ready_reason(self) -> str:
        """Why the node takes no requests; empty while it does."""
        return self._readiness.reason

    @property
    def gateway_ready(self) -> bool:
        """Whether the node takes requests to the gateway, in contact with a majority or not."""
        return self._gateway_readiness.ready

    @property
    def gateway_reason(self) -> str:
        """Why the node takes no requests to the gateway; empty while it does."""
        return self._gateway_readiness.reason

    @property
    def newest_arrival(self) -> Arrival | None:
        """How the newest control state came here; ``None`` before the first."""
        return self._components.delivery.newest_arrival

    def state_proof_age_s(self, now: float) -> float:
        """Return how long ago nothing newer than the state in force here had been acknowledged.

        Give :class:`springmux.control.freshness.events.ProofWanted` to have a new proof sought.
        """
        return self._components.freshness.proof_age_s(now)

    @property
    def place(self) -> tuple[Term, NodeId | None, Revision]:
        """Newest term, its leader and the state revision, for the envelope of every message."""
        known = self._routing.leadership.known
        return known.term, known.leader, self._components.delivery.revision

    def rollout_status(self, service: ServiceName) -> RolloutStatus | None:
        """Return what this node knows of a service's newest rollout."""
        return self._components.rollout.status(service, self._now)

    def status(self) -> NodeStatusReport:
        """Return the status page's figures."""
        return build_status(
            self, self._components, self._routing.leadership.known, self._revisions, self._now
        )

    # Events

    def start(self, now: float) -> list[Effect]:
        """Return the first effects."""
        self._now = now
        effects = self._routing.absorb([MembershipChanged(self.membership)], now)
        # Until it is in contact, a node that nobody's heartbeats reach mustn't find engines lost.
        effects += self._routing.give(self._components.directory, ContactChanged(False), now)
        recovered, self._recovered = self._recovered, None
        if recovered is not None and recovered.snapshot is not None:
            restored = ReplicaRestored(recovered.snapshot.index, recovered.snapshot_data)
            effects += self._routing.give(self._components.delivery, restored, now)
        effects += self._tick(Tick(), now)
        return effects + self._review(now)

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Take one event and return what the driver is to do."""
        self._now = now
        handler = self._handlers.get(type(event), self._routing.give_replica)
        effects = handler(event, now)
        return effects + self._review(now)

    def next_deadline(self) -> float:
        """Return when a :class:`Tick` is wanted."""
        own = min(self._routing.leader_tasks.next_deadline(), self._gateway_readiness.next_deadline())
        return min(own, self._routing.deadlines.earliest())

    def _make_handlers(self) -> dict[type[Event], Handler]:
        to_membership = self._to(self._components.membership)
        to_directory = self._to(self._components.directory)
        to_claims = self._to(self._components.claims)
        return {
            Tick: self._tick,
            MessageReceived: self._routing.give_message,
            PeerRevisionObserved: self._on_peer_revision,
            LeaderObserved: self._on_leadership_heard,
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
            ProofWanted: self._to(self._components.freshness),
            CommandsPrepared: self._on_prepared,
            StopBegun: self._on_stop,
            StopFinished: self._on_stop_finished,
            LeadershipTransferRequested: self._on_transfer,
            ControllerRemovalRequested: self._on_removal,
            SnapshotInstalled: self._on_snapshot_installed,
        }

    def _to(self, part: StateMachine) -> Handler:
        return lambda event, now: self._routing.give(part, event, now)

    def _tick(self, event: Tick, now: float) -> list[Effect]:
        routing = self._routing
        effects: list[Effect] = []
        for part in routing.deadlines.due(now):
            effects += routing.give(part, event, now)
        if routing.leader_tasks.next_deadline() > now:
            return effects
        ring_change = routing.leader_tasks.ring_change(self.view, self.membership, now)
        if ring_change is not None:
            effects += routing.order(ring_change, now)
        question = routing.leader_tasks.beacon_question(now)
        return effects if question is None else effects + routing.give_replica(question, now)

    def _on_peer_revision(self, event: PeerRevisionObserved, now: float) -> list[Effect]:
        if event.revision > self._revisions.get(event.node, Revision(0)):
            self._revisions[event.node] = event.revision
        effects: list[Effect] = []
        if event.revision > self._components.delivery.revision:
            effects = self._routing.give(self._components.delivery, event, now)
        if event.revision > 0 and not self._routing.established:
            self._routing.established = True
            effects += self._routing.tell_candidates(now)
        return effects

    def _on_peer_unreachable(self, event: PeerUnreachable, now: float) -> list[Effect]:
        effects = self._routing.give(self._components.membership, event, now)
        return effects + self._routing.give(self._components.delivery, event, now)

    def _on_leadership_heard(self, event: LeaderObserved, now: float) -> list[Effect]:
        if not self._routing.leadership.hear(event.term, event.leader):
            return []
        return self._routing.leadership_changed(now)

    def _on_order(self, event: OrderSubmitted, now: float) -> list[Effect]:
        return self._routing.give(
            self._components.orders, SubmitOrder(event.correlation_id, event.command), now
        )

    def _on_claim_requested(self, event: ClaimRequested, now: float) -> list[Effect]:
        return self._routing.give(
            self._components.claims, ClaimWanted(event.correlation_id, event.claim_key), now
        )

    def _on_claim_settled(self, event: ClaimSettled, now: float) -> list[Effect]:
        ended = ClaimEnded(event.correlation_id, event.claim_key, event.ran, event.answer)
        return self._routing.give(self._components.claims, ended, now)

    def _on_prepared(self, event: CommandsPrepared, now: float) -> list[Effect]:
        return self._routing.state_worked(*self._applier.prepared(), now)

    def _on_stop(self, event: StopBegun, now: float) -> list[Effect]:
        self._readiness.stopping = True
        self._record = msgspec.structs.replace(self._record, leaving=True)
        effects = self._routing.give(self._components.membership, OwnRecordChanged(self._record), now)
        effects += self._routing.give_replica(StopAnnounced(), now)
        if self._routing.leadership.leading:
            effects += self._routing.give_replica(TransferLeadership(), now)
        return effects

    def _on_stop_finished(self, event: StopFinished, now: float) -> list[Effect]:
        return self._routing.give(self._components.membership, LeaveBegun(), now)

    def _on_transfer(self, event: LeadershipTransferRequested, now: float) -> list[Effect]:
        leader = self._routing.leadership.known.leader
        return self._routing.absorb(self._routing.group.transfer(event, leader, now), now)

    def _on_removal(self, event: ControllerRemovalRequested, now: float) -> list[Effect]:
        leader = self._routing.leadership.known.leader
        return self._routing.absorb(self._routing.group.remove(event, leader, now), now)

    def _on_snapshot_installed(self, event: SnapshotInstalled, now: float) -> list[Effect]:
        # The state must hold the snapshot before the replica applies the entries that follow it.
        effects: list[Effect] = []
        installing, self._routing.installing = self._routing.installing, None
        if installing is not None and installing.meta == event.meta:
            restored = ReplicaRestored(event.meta.index, installing.data)
            effects += self._routing.give(self._components.delivery, restored, now)
        return effects + self._routing.give_replica(event, now)

    # Readiness, which any event may change

    def _review(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        if self._readiness.look_at_contact(now):
            peers = self._components.contact.known_peers()
            contact = ContactChanged(self._readiness.connected, peers)
            effects += self._routing.give(self._components.delivery, contact, now)
            effects += self._routing.give(self._components.directory, contact, now)
            effects += self._routing.give(self._components.quota, contact, now)
            effects += self._routing.tell_candidates(now)
        was_ready = self._readiness.ready
        if self._readiness.look(now):
            effects += self._change_readiness(was_ready, now)
        caught_up = self._readiness.connected and not self._components.directory.catching_up(now)
        self._gateway_readiness.look(self._readiness.stopping, caught_up, now)
        return effects

    def _change_readiness(self, was_ready: bool, now: float) -> list[Effect]:
        ready, reason = self._readiness.ready, self._readiness.reason
        self._components.router.update_readiness(ready, reason)
        effects: list[Effect] = [ReadinessChanged(ready, reason)]
        if ready != was_ready and not self._readiness.stopping:
            self._record = msgspec.structs.replace(self._record, ready=ready)
            changed = OwnRecordChanged(self._record)
            effects += self._routing.give(self._components.membership, changed, now)
        return effects
