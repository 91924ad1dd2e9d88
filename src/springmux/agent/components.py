"""The components of one node, none of which does I/O, built from the node's settings."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from springmux.agent.directory.engine_directory import EngineDirectory
from springmux.agent.events import AgentSettings
from springmux.control.delivery.state_delivery import StateDelivery
from springmux.control.freshness.freshness_monitor import FreshnessMonitor
from springmux.control.freshness.settings import FreshnessSettings, lease_for
from springmux.control.order_coordinator import OrderCoordinator
from springmux.control.state import ControlState
from springmux.coordination.claims.claim_coordinator import ClaimCoordinator
from springmux.coordination.claims.journal import RecoveredClaims
from springmux.coordination.consensus.replica import Replica
from springmux.coordination.consensus.settings import ConsensusSettings
from springmux.coordination.consensus.types import RecoveredState
from springmux.coordination.identifiers import NodeId, RegionName, ZoneName
from springmux.coordination.membership.contact_monitor import ContactMonitor
from springmux.coordination.membership.membership import Membership
from springmux.coordination.membership.remembered import RememberedPeer
from springmux.coordination.membership.settings import MembershipSettings
from springmux.coordination.membership.view import NodeRecord, NodeRole
from springmux.coordination.quota.quota_allocator import QuotaAllocator
from springmux.coordination.state_machine import StateMachine
from springmux.coordination.usage.usage_exchange import UsageExchange
from springmux.gateway.core import GatewayCore
from springmux.rollout.rollout_coordinator import RolloutCoordinator, RolloutSettings
from springmux.router.router import Router

RAFT_HEARTBEAT_S = 0.15
"""Less than a third of the shortest election timeout: two lost heartbeats in a row start no election."""
ELECTION_TIMEOUT_MIN_S = 0.5
ELECTION_TIMEOUT_MAX_S = 0.9
"""Bounds the election timeout so that a lost leader is replaced within about a second
(docs/notes/agreement.md, "Measured")."""
KNOWN_START_FOUNDING_RETRY_S = 0.25
KNOWN_START_FOUNDING_PROMISE_S = 1.5
"""Founding times where the settings state whether this is the first start: no node needs time to object."""
VOTER_LOST_AFTER_S = 2.0
"""A lost machine's successor starts 1 s after the loss, and the machine counts as replaced 4 s after that
start."""


@dataclass(slots=True)
class NodeComponents:
    """The components of one node. ``replica`` is ``None`` on a node without a data folder."""

    membership: Membership
    contact: ContactMonitor
    directory: EngineDirectory
    delivery: StateDelivery
    freshness: FreshnessMonitor
    orders: OrderCoordinator
    claims: ClaimCoordinator
    quota: QuotaAllocator
    usage: UsageExchange
    rollout: RolloutCoordinator
    router: Router
    gateway: GatewayCore
    replica: Replica | None

    def timed(self) -> tuple[StateMachine, ...]:
        """Return the components with deadlines, in the order of their ticks."""
        always: tuple[StateMachine, ...] = (
            self.membership,
            self.contact,
            self.directory,
            self.delivery,
            self.freshness,
            self.orders,
            self.claims,
            self.quota,
            self.usage,
            self.rollout,
        )
        return always if self.replica is None else (*always, self.replica)


def own_record(settings: AgentSettings, recovered: RecoveredState | None) -> NodeRecord:
    """Return the membership record that the node announces."""
    roles: tuple[NodeRole, ...] = (NodeRole.ROUTER,) if settings.routes else ()
    if recovered is not None:
        roles = (*roles, NodeRole.CONTROLLER)
    return NodeRecord(
        node=settings.node,
        zone=ZoneName(settings.zone),
        peer_address=settings.peer_address,
        client_address=settings.client_address,
        admin_address=settings.admin_address,
        roles=roles,
        replica=recovered.replica if recovered is not None else None,
        region=RegionName(settings.region),
    )


def consensus_settings(settings: AgentSettings, recovered: RecoveredState | None) -> ConsensusSettings:
    """Return the consensus settings that follow from a node's settings.

    A replica created at the first start may help to found the group after a restart too: its identity and its
    promises are still on its disk.
    """
    first_start_known = settings.losses_tolerated is not None
    defaults = ConsensusSettings()
    return ConsensusSettings(
        controllers_expected=settings.voters,
        voters_desired=settings.voters if first_start_known else defaults.voters_desired,
        may_found=settings.first_start or (recovered is not None and recovered.first_start),
        founding_retry_s=KNOWN_START_FOUNDING_RETRY_S if first_start_known else defaults.founding_retry_s,
        founding_promise_s=KNOWN_START_FOUNDING_PROMISE_S
        if first_start_known
        else defaults.founding_promise_s,
        heartbeat_s=RAFT_HEARTBEAT_S,
        election_timeout_min_s=ELECTION_TIMEOUT_MIN_S,
        election_timeout_max_s=ELECTION_TIMEOUT_MAX_S,
        lost_after_s=VOTER_LOST_AFTER_S,
    )


def _expects_peers(settings: AgentSettings) -> bool:
    """Return whether a node without peers must be partitioned, and can't be the complete fleet."""
    if settings.losses_tolerated:
        return True
    return any(seed != settings.peer_address for seed in settings.seeds)


def build_components(
    settings: AgentSettings,
    recovered: RecoveredState | None,
    state: ControlState,
    seed_source: random.Random,
    claims: RecoveredClaims | None = None,
    remembered: tuple[RememberedPeer, ...] = (),
) -> NodeComponents:
    """Build the components, each with its own seeded random generator.

    The generators are seeded in the order of the calls below; a different order changes every simulation.

    :param claims: the recovered claim journal, or ``None`` on a node that keeps claims in memory only.
    :param remembered: the peers stored on disk; used only with ``recovered``.
    """

    def generator() -> random.Random:
        return random.Random(seed_source.getrandbits(64))

    own = NodeId(settings.node)
    contact = ContactMonitor(own, _expects_peers(settings), generator(), controllers_expected=settings.voters)
    quota = QuotaAllocator(own, generator())
    rollout = RolloutCoordinator(own, ZoneName(settings.zone), generator(), RolloutSettings())
    router = Router(own, settings.zone, generator(), rollout.filter, quota, contact.connected)
    replica = None
    if recovered is not None:
        replica = Replica(recovered, own, generator(), consensus_settings(settings, recovered))
    usage = UsageExchange(own, generator())
    delivery = StateDelivery(own, generator())
    freshness = _freshness_monitor(settings, state, delivery, generator())
    gateway = GatewayCore(settings.zone, generator(), rollout.filter, usage, freshness.is_current)
    return NodeComponents(
        membership=_membership(settings, recovered, remembered, generator(), contact.proven_at),
        contact=contact,
        directory=EngineDirectory(own, generator()),
        delivery=delivery,
        freshness=freshness,
        orders=OrderCoordinator(own, state),
        claims=ClaimCoordinator(own, generator(), recovered=claims),
        quota=quota,
        usage=usage,
        rollout=rollout,
        router=router,
        gateway=gateway,
        replica=replica,
    )


def _freshness_monitor(
    settings: AgentSettings, state: ControlState, delivery: StateDelivery, generator: random.Random
) -> FreshnessMonitor:
    revocation_s = settings.revocation_s
    return FreshnessMonitor(
        NodeId(settings.node),
        generator,
        lease_for(revocation_s) if revocation_s is not None else FreshnessSettings(),
        lambda: state.view().revision,
        lambda: (delivery.replica_index, delivery.revision),
    )


def _membership(
    settings: AgentSettings,
    recovered: RecoveredState | None,
    remembered: tuple[RememberedPeer, ...],
    generator: random.Random,
    quorum_proven_at: Callable[[float], float],
) -> Membership:
    return Membership(
        own_record(settings, recovered),
        settings.seeds,
        generator,
        MembershipSettings(remembered_wait_s=settings.contact_s),
        remembered if recovered is not None else None,
        quorum_proven_at,
    )
