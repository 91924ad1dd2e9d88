"""Grouping of nodes by zone in the membership view."""

from __future__ import annotations

import msgspec

from springmux.coordination.identifiers import ZoneName
from springmux.coordination.membership.view import MembershipView, NodeStatus
from tests.support.gossip_harness import record_of


def test_present_nodes_are_grouped_by_zone_and_sorted_by_name() -> None:
    records = [record_of(index, 2) for index in (4, 3, 2, 1, 0)]
    records[1] = msgspec.structs.replace(records[1], status=NodeStatus.SUSPECT)
    records[2] = msgspec.structs.replace(records[2], status=NodeStatus.DEAD)
    view = MembershipView(own=records[4].node, nodes={record.node: record for record in records})

    zones = view.present_by_zone()

    assert zones == {
        ZoneName("zone-0"): (records[4].node, records[0].node),
        ZoneName("zone-1"): (records[3].node, records[1].node),
    }
