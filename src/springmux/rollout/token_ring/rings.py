"""Layout of the token's rings: one ring in a small fleet, zone rings and a relay ring in a large fleet.

A node's work grows with the size of its ring, not of the fleet. In a large fleet the control leader's relay
ring visits the leader of each zone ring. The ring leader then launches a round of its own ring, and adds that
ring's sums to the next relay round.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from functools import cached_property

import msgspec
import xxhash

from springmux.coordination.identifiers import NodeId, ZoneName
from springmux.coordination.membership.view import NodeRecord, NodeRole

WHOLE_FLEET = 0
"""Number of the ring of all nodes, led by the control leader, if there are at most :data:`RING_LIMIT`."""
RELAY = 1
"""Number of the ring of all zone ring leaders, led by the control leader. Zone rings have larger numbers."""
RING_LIMIT = 36
"""Largest number of nodes in a single ring; token sizes are in docs/notes/token.md."""
ZONE_RING_SIZE = 32
"""Target size of a zone ring. It is smaller than :data:`RING_LIMIT` because the ring leader also forwards the
relay token within the same 2 KB/s."""


class RingLayout(msgspec.Struct, frozen=True, dict=True):
    """Rings of the present members. The token visits the members of a ring in their order."""

    rings: Mapping[int, tuple[NodeId, ...]]
    order: tuple[NodeId, ...]

    @property
    def relayed(self) -> bool:
        """Whether there are zone rings, which a relay ring connects."""
        return WHOLE_FLEET not in self.rings

    @cached_property
    def _ring_by_node(self) -> dict[NodeId, int]:
        return {node: ring for ring, members in self.rings.items() for node in members}

    def ring_of(self, node: NodeId) -> int | None:
        """Return the ring that ``node`` belongs to, ``None`` for an unknown node."""
        return self._ring_by_node.get(node)

    def ring_leader(self, ring: int) -> NodeId:
        """Return the node that launches the rounds of a zone ring."""
        return self.rings[ring][0]

    def longest_ring(self) -> int:
        """Return the number of nodes in the largest ring."""
        return max((len(members) for members in self.rings.values()), default=0)

    def ring_leaders(self) -> tuple[NodeId, ...]:
        """Return the leaders of all zone rings, in the order of the rings."""
        return tuple(members[0] for members in self.rings.values())

    def ring_led_by(self, node: NodeId) -> int | None:
        """Return the zone ring that ``node`` leads, ``None`` if it leads none."""
        ring = self.ring_of(node)
        if ring is None or ring == WHOLE_FLEET or self.ring_leader(ring) != node:
            return None
        return ring


def build_ring_layout(records: Iterable[NodeRecord]) -> RingLayout:
    """Return the rings of the given present nodes, ordered by zone and name.

    Nodes without the router role are excluded. Zones are split by a hash of the node's name, so that the loss
    of one node moves no other node to another ring.
    """
    routers = sorted((r for r in records if NodeRole.ROUTER in r.roles), key=lambda r: (r.zone, r.node))
    order = tuple(record.node for record in routers)
    if len(routers) <= RING_LIMIT:
        return RingLayout(rings={WHOLE_FLEET: order}, order=order)
    zones: dict[ZoneName, list[NodeId]] = {}
    for record in routers:
        zones.setdefault(record.zone, []).append(record.node)
    rings: dict[int, tuple[NodeId, ...]] = {}
    for zone, nodes in zones.items():
        rings.update(_split_zone(zone, nodes))
    return RingLayout(rings=rings, order=order)


def _split_zone(zone: ZoneName, nodes: list[NodeId]) -> dict[int, tuple[NodeId, ...]]:
    parts = -(-len(nodes) // ZONE_RING_SIZE)
    split: dict[int, list[NodeId]] = {}
    for node in nodes:
        part = xxhash.xxh3_64_intdigest(node.encode()) % parts
        split.setdefault(_ring_number(zone, part, parts), []).append(node)
    return {ring: tuple(members) for ring, members in split.items()}


def _ring_number(zone: ZoneName, part: int, parts: int) -> int:
    number = xxhash.xxh32_intdigest(f"{zone}\x00{part}\x00{parts}".encode())
    return max(number, RELAY + 1)


def itinerary_from(start: NodeId, members: tuple[NodeId, ...]) -> tuple[NodeId, ...]:
    """Return the members that follow ``start`` in ring order, without ``start`` itself."""
    if start not in members:
        return members
    position = members.index(start)
    return members[position + 1 :] + members[:position]
