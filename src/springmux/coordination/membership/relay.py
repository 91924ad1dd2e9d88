"""Relay trees over ranges of hash space: each relay splits its range among the nodes that it knows.

The nodes needn't agree on the member list: a node is reached if its parent knows it. Every salt gives another
tree, so when a relay fails its subtree misses one message, but not the next one. The position of the root
lies in the range of one of its children, so the root may get its own message back once.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Set

import msgspec
import xxhash

from springmux.coordination.identifiers import NodeId, ZoneName

HASH_END = 1 << 32


class RelayTarget(msgspec.Struct, frozen=True):
    """Send to ``node``, which then relays to the nodes of its zone in ``[low, high)``, which may be empty."""

    node: NodeId
    low: int
    high: int


def relay_position(node: NodeId, salt: int) -> int:
    """Return the position of ``node`` in hash space for the tree of ``salt``."""
    return xxhash.xxh32_intdigest(node.encode(), salt & 0xFFFFFFFF)


def zone_targets(
    zones: Mapping[NodeId, ZoneName], own: NodeId, salt: int, fanout: int, silent: Set[NodeId] = frozenset()
) -> list[RelayTarget]:
    """Return the root's targets: one node in each other zone, and those that split the root's own zone.

    :param silent: nodes that don't answer, which relay only where no other node of their zone is left.
    """
    targets: list[RelayTarget] = []
    members: dict[ZoneName, list[NodeId]] = {}
    for node, zone in zones.items():
        if node != own:
            members.setdefault(zone, []).append(node)
    for zone, nodes in sorted(members.items()):
        if zone == zones.get(own):
            targets += range_targets(nodes, own, salt, 0, HASH_END, fanout, silent)
            continue
        candidates = [node for node in nodes if node not in silent] or nodes
        head = min(candidates, key=lambda node: (relay_position(node, salt), node))
        targets.append(RelayTarget(node=head, low=0, high=HASH_END))
    return targets


def range_targets(
    nodes: Iterable[NodeId],
    own: NodeId,
    salt: int,
    low: int,
    high: int,
    fanout: int,
    silent: Set[NodeId] = frozenset(),
) -> list[RelayTarget]:
    """Split ``[low, high)`` into at most ``fanout`` runs of nodes; the first node of each run relays.

    :param silent: nodes that don't answer, which are targets of their own and relay nothing.
    """
    if low >= high:
        return []
    positions = sorted((relay_position(node, salt), node) for node in nodes if node != own)
    in_range = [entry for entry in positions if low <= entry[0] < high]
    inside = [entry for entry in in_range if entry[1] not in silent]
    run_length = math.ceil(len(inside) / fanout) if inside else 1
    starts = range(0, len(inside), run_length)
    targets: list[RelayTarget] = []
    for start in starts:
        end = inside[start + run_length][0] if start + run_length < len(inside) else high
        targets.append(RelayTarget(node=inside[start][1], low=inside[start][0], high=end))
    leaves = sorted(node for _, node in in_range if node in silent)
    return targets + [RelayTarget(node, 0, 0) for node in leaves]
