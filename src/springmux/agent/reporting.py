"""Builds the report for the status page from the components."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import Protocol

from springmux.agent.components import NodeComponents
from springmux.agent.status import ClaimsReport, ContactReport, EnginesReport, NodeStatusReport, PeerReport
from springmux.control.events import LeadershipKnown
from springmux.control.view import ControlView
from springmux.coordination.identifiers import NodeId, Revision, ZoneName


class StatusSource(Protocol):
    """The part of the agent that the report reads."""

    @property
    def ready(self) -> bool:
        """Whether the node accepts requests."""
        ...

    @property
    def not_ready_reason(self) -> str:
        """Why the node rejects requests; empty while it accepts them."""
        ...

    @property
    def view(self) -> ControlView:
        """The control state in force at this node."""
        ...


def build_status(
    agent: StatusSource,
    components: NodeComponents,
    leadership: LeadershipKnown,
    revisions: Mapping[NodeId, Revision],
    now: float,
) -> NodeStatusReport:
    """Return the report at ``now``."""
    membership = components.membership.view
    own = membership.nodes.get(membership.own)
    return NodeStatusReport(
        node=membership.own,
        zone=own.zone if own is not None else ZoneName(""),
        ready=agent.ready,
        reason=agent.not_ready_reason,
        revision=agent.view.revision,
        configuration_version=agent.view.configuration.version,
        term=leadership.term,
        leader=leadership.leader,
        leading=leadership.leading,
        replica=components.replica.status() if components.replica is not None else None,
        contact=_contact(components, now),
        claims=_claims(agent.view, components, now),
        engines=EnginesReport(dict(Counter(r.status for r in components.directory.view.engines.values()))),
        router=components.router.status(),
        peers=_peers(components, revisions),
    )


def _contact(components: NodeComponents, now: float) -> ContactReport:
    contact = components.contact
    return ContactReport(contact.connected(now), contact.known_count, contact.fresh_count(now))


def _claims(view: ControlView, components: NodeComponents, now: float) -> ClaimsReport:
    ring = view.claim_ring
    return ClaimsReport(
        ring_version=ring.version if ring is not None else 0,
        ring_size=len(ring.members) if ring is not None else 0,
        held_keys=components.claims.held_keys(),
        synchronized=components.claims.is_synchronized(now),
    )


def _peers(components: NodeComponents, revisions: Mapping[NodeId, Revision]) -> tuple[PeerReport, ...]:
    view = components.membership.view
    return tuple(
        PeerReport(
            node=record.node,
            zone=record.zone,
            status=record.status,
            ready=record.ready,
            incarnation=record.incarnation,
            controller=record.replica is not None,
            revision=revisions.get(record.node, Revision(0)),
            client_address=record.client_address,
            admin_address=record.admin_address,
        )
        for record in sorted(view.nodes.values(), key=lambda each: each.node)
        if record.node != view.own
    )
