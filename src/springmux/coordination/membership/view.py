"""Immutable records of the fleet's nodes, and a node's view of all of them."""

from __future__ import annotations

import enum
from collections.abc import Mapping

import msgspec

from springmux.coordination.identifiers import Address, NodeId, RegionName, ReplicaId, ZoneName


class NodeStatus(enum.StrEnum):
    """State of a member (Das, Gupta and Motivala 2002, SWIM, section 4.2)."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


class NodeRole(enum.StrEnum):
    """Function of a node in the fleet."""

    ROUTER = "router"
    CONTROLLER = "controller"


class NodeRecord(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """Record of one node. Only the node itself raises its ``incarnation``.

    ``leaving``: the process is stopping. Until it has left, the node finishes requests and gets all updates,
    but takes no singleton roles.
    """

    node: NodeId
    zone: ZoneName
    peer_address: Address
    client_address: Address
    admin_address: Address
    roles: tuple[NodeRole, ...] = (NodeRole.ROUTER,)
    replica: ReplicaId | None = None
    incarnation: int = 0
    status: NodeStatus = NodeStatus.ALIVE
    region: RegionName = RegionName("")
    ready: bool = False
    leaving: bool = False


class MembershipView(msgspec.Struct, frozen=True):
    """Immutable snapshot of the fleet's nodes, including the own node."""

    own: NodeId
    nodes: Mapping[NodeId, NodeRecord]

    def present(self) -> list[NodeRecord]:
        """Return the alive and suspect nodes, sorted by name."""
        usable = (NodeStatus.ALIVE, NodeStatus.SUSPECT)
        return sorted((r for r in self.nodes.values() if r.status in usable), key=lambda r: r.node)

    def not_leaving(self) -> list[NodeRecord]:
        """Return the present nodes that aren't stopping and may take singleton roles, sorted by name."""
        return [record for record in self.present() if not record.leaving]

    def controllers(self) -> list[NodeRecord]:
        """Return the nodes of :meth:`not_leaving` that have a replica of the control log, sorted by name."""
        return [record for record in self.not_leaving() if record.replica is not None]

    def present_by_zone(self) -> dict[ZoneName, tuple[NodeId, ...]]:
        """Return the sorted names of the present nodes for each zone; computed at each call."""
        zones: dict[ZoneName, list[NodeId]] = {}
        for record in self.present():
            zones.setdefault(record.zone, []).append(record.node)
        return {zone: tuple(nodes) for zone, nodes in zones.items()}

    def zone_of(self, node: NodeId) -> ZoneName:
        """Return the zone of ``node``; an empty name if the node is unknown."""
        record = self.nodes.get(node)
        return record.zone if record else ZoneName("")
