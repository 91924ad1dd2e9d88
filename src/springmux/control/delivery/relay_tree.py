"""The relay tree of a push: from the leader to one or two relays in each zone, and from them to the rest."""

from __future__ import annotations

from collections import defaultdict

import msgspec

from springmux.control.delivery.messages import PushCommands
from springmux.control.delivery.settings import DeliverySettings
from springmux.coordination.identifiers import NodeId, ZoneName
from springmux.coordination.membership.view import MembershipView, NodeRecord, NodeStatus
from springmux.coordination.rendezvous import rendezvous_score
from springmux.coordination.state_machine import Effect, Send


class Branch(msgspec.Struct, frozen=True):
    """One node to send to, and the nodes to which it forwards the push."""

    to: NodeId
    relay_to: tuple[NodeId, ...] = ()


def branches_of_leader(view: MembershipView, settings: DeliverySettings) -> list[Branch]:
    """Return the leader's branches: nodes of its own zone, and one or two relays of each other zone."""
    zones: dict[ZoneName, list[NodeRecord]] = defaultdict(list)
    for record in view.present():
        if record.node != view.own:
            zones[record.zone].append(record)
    own_zone = view.zone_of(view.own)
    branches: list[Branch] = []
    for zone in sorted(zones):
        ranked = _rank_nodes(zone, zones[zone])
        if zone == own_zone:
            branches += split_into_branches(ranked, settings.fan_out)
        else:
            relays = 2 if len(ranked) > settings.pair_zone_size else 1
            branches += split_into_branches(ranked, relays)
    return branches


def split_into_branches(nodes: tuple[NodeId, ...], branches: int) -> list[Branch]:
    """Distribute ``nodes`` over at most ``branches`` branches, whose heads are the first nodes."""
    heads = nodes[:branches]
    rest = nodes[branches:]
    return [Branch(head, rest[number :: len(heads)]) for number, head in enumerate(heads)]


def send_push(branches: list[Branch], push: PushCommands) -> list[Effect]:
    """Return the effects that send a push to the head of each branch."""
    return [Send(branch.to, msgspec.structs.replace(push, relay_to=branch.relay_to)) for branch in branches]


def _rank_nodes(zone: ZoneName, records: list[NodeRecord]) -> tuple[NodeId, ...]:
    """Order a zone's nodes by their suitability as relays.

    Nodes that are alive and not leaving come first, among those controllers, and then the highest rendezvous
    hash. A relay sends each change several times over its link, and controllers have the capacity for that.
    """

    def rank(record: NodeRecord) -> tuple[bool, bool, int, NodeId]:
        may_be_gone = record.leaving or record.status is not NodeStatus.ALIVE
        is_router_only = record.replica is None
        return (may_be_gone, is_router_only, -rendezvous_score(f"relay:{zone}", record.node), record.node)

    return tuple(record.node for record in sorted(records, key=rank))
