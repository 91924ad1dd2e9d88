"""A gateway node's status for operators: readiness, configuration, role, leader, engines, rollouts."""

from __future__ import annotations

import enum
from collections import Counter

import msgspec

from springmux.agent.agent import NodeAgent
from springmux.agent.status import NodeStatusReport
from springmux.coordination.consensus.effects import ReplicaStatus
from springmux.coordination.identifiers import NodeId, Revision, Term
from springmux.rollout.reported_state import RolloutState, may_report_done, state_of
from springmux.vocabulary.engines import EngineStatus
from springmux.vocabulary.names import ServiceName, VersionName


class NodeRole(enum.StrEnum):
    """Role of a gateway node in the control group, besides forwarding."""

    FORWARDER = "forwarder"
    """It has no data folder, or its replica of the control state is unusable."""
    LEARNER = "learner"
    """It replicates the control state and has no vote."""
    VOTER = "voter"
    """It replicates the control state and votes."""
    LEADER = "leader"
    """It is the voter that leads the group and commits commands."""


class EngineCount(msgspec.Struct, frozen=True):
    """Number of a service's engines with one version and state. Engines that left are not counted."""

    service: ServiceName
    version: VersionName
    state: EngineStatus
    engines: int


class RolloutSummary(msgspec.Struct, frozen=True):
    """The newest rollout of a service."""

    service: ServiceName
    candidate: VersionName
    state: RolloutState


class ContactSummary(msgspec.Struct, frozen=True):
    """Contact with the fleet.

    ``known_nodes``: number of known nodes. ``heard_nodes``: number of those that are in contact with this
    node. Both include this node, which is ``connected`` if the latter are a majority.
    """

    connected: bool
    known_nodes: int
    heard_nodes: int


class GatewayStatusBody(msgspec.Struct, frozen=True):
    """Body of the response to ``GET /v1/gateway/status``.

    ``reason``: why the node is not ready; empty while it is. ``configuration_version``: 0 while none
    is known. ``leader``: ``None`` while none is known. ``replica_stopped``: why the node's replica of the
    control state has stopped; empty while it runs.
    """

    node: NodeId
    zone: str
    ready: bool
    reason: str
    configuration_version: int
    revision: Revision
    role: NodeRole
    leader: NodeId | None
    term: Term
    replica_stopped: str
    contact: ContactSummary
    engines: tuple[EngineCount, ...]
    rollouts: tuple[RolloutSummary, ...]


def gateway_status(
    agent: NodeAgent, ready: bool, reason: str, replica_stopped: str, now: float
) -> GatewayStatusBody:
    """Return the status at ``now``; ``ready`` and ``reason`` are those of the readiness check."""
    report = agent.status()
    return GatewayStatusBody(
        node=report.node,
        zone=report.zone,
        ready=ready,
        reason=reason,
        configuration_version=agent.view.gateway.version,
        revision=report.revision,
        role=NodeRole.FORWARDER if replica_stopped else _role(report.replica),
        leader=report.leader,
        term=report.term,
        replica_stopped=replica_stopped,
        contact=_contact(report),
        engines=_engines(agent),
        rollouts=_rollouts(agent, now),
    )


def _role(replica: ReplicaStatus | None) -> NodeRole:
    if replica is None or replica.stopped:
        return NodeRole.FORWARDER
    if replica.leading:
        return NodeRole.LEADER
    member = replica.members.find(replica.replica)
    return NodeRole.VOTER if member is not None and member.voter else NodeRole.LEARNER


def _contact(report: NodeStatusReport) -> ContactSummary:
    contact = report.contact
    return ContactSummary(contact.connected, contact.known_nodes, contact.fresh_nodes)


def _engines(agent: NodeAgent) -> tuple[EngineCount, ...]:
    counts = Counter(
        (record.service, record.version, record.status)
        for record in agent.engines.engines.values()
        if record.status is not EngineStatus.LEFT
    )
    return tuple(
        EngineCount(service, version, state, engines)
        for (service, version, state), engines in sorted(counts.items())
    )


def _rollouts(agent: NodeAgent, now: float) -> tuple[RolloutSummary, ...]:
    summaries = []
    for service, rollout in sorted(agent.gateway.rollouts.items()):
        record = rollout.record
        state = state_of(record, may_report_done(record, rollout.since, now))
        summaries.append(RolloutSummary(service, record.candidate, state))
    return tuple(summaries)
