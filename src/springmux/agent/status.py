"""What a node says of itself and of the fleet on its status page."""

from __future__ import annotations

import msgspec

from springmux.coordination.consensus.effects import ReplicaStatus
from springmux.coordination.identifiers import NodeId, Revision, Term, ZoneName
from springmux.coordination.membership.view import NodeStatus
from springmux.router.core import RouterStatus
from springmux.vocabulary.engines import EngineStatus


class PeerReport(msgspec.Struct, frozen=True):
    """Another node as seen from here. ``revision``: the newest that it was heard to have."""

    node: NodeId
    zone: ZoneName
    status: NodeStatus
    ready: bool
    incarnation: int
    controller: bool
    revision: Revision
    client_address: str
    admin_address: str


class ContactReport(msgspec.Struct, frozen=True):
    """The contact rule's figures."""

    connected: bool
    known_nodes: int
    fresh_nodes: int


class ClaimsReport(msgspec.Struct, frozen=True):
    """The claim holder's figures. ``synchronized``: it may grant."""

    ring_version: int
    ring_size: int
    held_keys: int
    synchronized: bool


class EnginesReport(msgspec.Struct, frozen=True):
    """Back ends in the directory, by status."""

    counts: dict[EngineStatus, int]


class NodeStatusReport(msgspec.Struct, frozen=True):
    """Everything on the status page that the pure components know."""

    node: NodeId
    zone: ZoneName
    ready: bool
    reason: str
    revision: Revision
    configuration_version: int
    term: Term
    leader: NodeId | None
    leading: bool
    replica: ReplicaStatus | None
    contact: ContactReport
    claims: ClaimsReport
    engines: EnginesReport
    router: RouterStatus
    peers: tuple[PeerReport, ...]
