"""Report of a node about itself and the fleet, for its status page."""

from __future__ import annotations

import msgspec

from springmux.coordination.consensus.effects import ReplicaStatus
from springmux.coordination.identifiers import NodeId, Revision, Term, ZoneName
from springmux.coordination.membership.view import NodeStatus
from springmux.router.core import RouterStatus
from springmux.vocabulary.engines import EngineStatus


class PeerReport(msgspec.Struct, frozen=True):
    """Another node as known to the reporting node. ``revision``: its newest revision known here."""

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
    """Result of the contact rule, and the numbers of known nodes and of those with fresh evidence."""

    connected: bool
    known_nodes: int
    fresh_nodes: int


class ClaimsReport(msgspec.Struct, frozen=True):
    """State of the node's claim holder. ``synchronized``: whether it may grant claims."""

    ring_version: int
    ring_size: int
    held_keys: int
    synchronized: bool


class EnginesReport(msgspec.Struct, frozen=True):
    """Number of back ends in the directory, by status."""

    counts: dict[EngineStatus, int]


class NodeStatusReport(msgspec.Struct, frozen=True):
    """The part of the status page that comes from the components."""

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
