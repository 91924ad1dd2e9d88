"""Members of the claim ring, and how the leader changes them: one at a time, paced, lost ones first."""

from __future__ import annotations

from collections import Counter

import pytest

from springmux.agent.claim_ring_manager import (
    CHANGE_PERIOD_S,
    FEW_DISKS_WAIT_S,
    GONE_AFTER_S,
    LEFT_AFTER_S,
    ClaimRingManager,
)
from springmux.coordination.claims.ring import (
    RING_MEMBERS_MAX,
    ClaimRing,
    RingHistory,
    RingMember,
    first_ring,
    next_ring,
)
from springmux.coordination.identifiers import Address, NodeId, ReplicaId, ZoneName
from springmux.coordination.membership.view import MembershipView, NodeRecord, NodeStatus

UNUSED_ADDRESS = Address("127.0.0.1:1")
NO_NODES: frozenset[NodeId] = frozenset()


def node(name: str, zone: str = "z", disk: bool = False, status: NodeStatus = NodeStatus.ALIVE) -> NodeRecord:
    replica = ReplicaId(f"replica-{name}") if disk else None
    identity = NodeId(name), ZoneName(zone), UNUSED_ADDRESS, UNUSED_ADDRESS, UNUSED_ADDRESS
    return NodeRecord(*identity, replica=replica, status=status)


def view_of(*records: NodeRecord) -> MembershipView:
    return MembershipView(records[0].node, {record.node: record for record in records})


def nodes_with_disks(*names: str, status: NodeStatus = NodeStatus.ALIVE) -> list[NodeRecord]:
    return [node(name, disk=True, status=status) for name in names]


def names(ring: ClaimRing | None) -> str:
    return "".join(sorted(ring.nodes())) if ring else ""


def test_first_ring_consists_of_nodes_with_disks_if_there_are_three() -> None:
    assert names(first_ring(view_of(*nodes_with_disks("a", "b", "c"), node("x")))) == "abc"
    assert names(first_ring(view_of(*nodes_with_disks("a", "b"), node("x")))) == "abx"
    assert first_ring(view_of(*nodes_with_disks("a", "b", "c"))).is_durable
    assert not first_ring(view_of(*nodes_with_disks("a", "b"), node("x"))).is_durable


def test_ring_of_a_large_fleet_is_bounded_and_spread_over_the_zones() -> None:
    records = [node(f"n{number:03}", f"z{number % 5}", disk=number % 5 < 4) for number in range(360)]
    ring = first_ring(view_of(*records))
    zones = [member.zone for member in ring.members]
    assert len(zones) == RING_MEMBERS_MAX
    assert Counter(zones) == {f"z{zone}": RING_MEMBERS_MAX // 4 for zone in range(4)}
    assert next_ring(ring, view_of(*records), NO_NODES) is None


def test_lost_member_is_removed_before_its_replacement_is_added() -> None:
    ring = first_ring(view_of(*nodes_with_disks("a", "b", "c")))
    view = view_of(*nodes_with_disks("a", "b", "d"), *nodes_with_disks("c", status=NodeStatus.DEAD))
    assert next_ring(ring, view, NO_NODES) is None
    without = next_ring(ring, view, frozenset({NodeId("c")}))
    assert names(without) == "ab"
    assert without is not None and names(next_ring(without, view, NO_NODES)) == "abd"


def test_three_members_stay_while_there_is_no_replacement() -> None:
    ring = first_ring(view_of(*nodes_with_disks("a", "b", "c")))
    view = view_of(*nodes_with_disks("a", "b"), node("x"), *nodes_with_disks("c", status=NodeStatus.LEFT))
    lost = frozenset({NodeId("c")})
    assert next_ring(ring, view, lost, lost) is None


def test_members_without_disks_are_replaced_once_there_are_enough_disks() -> None:
    ring = first_ring(view_of(*nodes_with_disks("a", "b"), node("x"), node("y")))
    view = view_of(*nodes_with_disks("a", "b", "c"), node("x"), node("y"), node("z"))
    seen = []
    following: ClaimRing | None = ring
    while (following := next_ring(following, view, NO_NODES)) is not None:
        seen.append(names(following))
    assert seen == ["abcxy", "abcy", "abc"]


def test_recovered_rings_are_used_only_once_confirmed() -> None:
    one, two, three = (ClaimRing(version, (RingMember(NodeId("a"), ZoneName("z")),)) for version in (1, 2, 3))
    history = RingHistory((one, two))
    assert history.span("key") is None
    assert not history.advance(one)
    assert history.advance(two)
    assert not history.advance(two)
    span = history.span("key")
    assert span is not None and (span.since, span.until) == (1, 2)
    assert history.advance(three)


class Leader:
    """A claim ring manager whose proposed rings are committed immediately."""

    def __init__(self, *records: NodeRecord) -> None:
        self.manager = ClaimRingManager()
        self.manager.set_leading(True, 0.0)
        self.view = view_of(*records)
        self.ring: ClaimRing | None = None

    def changes_until(self, end: float, configured: bool = True) -> list[tuple[float, str]]:
        seen = []
        while (now := self.manager.next_deadline()) <= end:
            order = self.manager.step(self.ring, self.view, now, configured)
            if order is not None:
                self.ring = order.ring
                seen.append((now, names(order.ring)))
        return seen


@pytest.mark.parametrize(("configured", "period_s"), [(True, CHANGE_PERIOD_S), (False, 0.5)])
def test_ring_changes_are_paced_once_there_may_be_claims(configured: bool, period_s: float) -> None:
    leader = Leader(*nodes_with_disks("a", "b", "c"))
    assert leader.changes_until(1.0) == [(1.0, "abc")]
    leader.view = view_of(*nodes_with_disks("a", "b", "c", "d", "e"))
    expected = [(1.0 + period_s, "abcd"), (1.0 + 2 * period_s, "abcde")]
    assert leader.changes_until(60.0, configured) == expected


def test_first_ring_waits_for_a_third_node_with_a_disk() -> None:
    assert Leader(*nodes_with_disks("a", "b"), node("x")).changes_until(10.0) == [(FEW_DISKS_WAIT_S, "abx")]


@pytest.mark.parametrize(
    ("status", "wait_s"), [(NodeStatus.LEFT, LEFT_AFTER_S), (NodeStatus.DEAD, GONE_AFTER_S)]
)
def test_absent_member_is_removed_only_after_its_waiting_time(status: NodeStatus, wait_s: float) -> None:
    leader = Leader(*nodes_with_disks("a", "b", "c"))
    leader.changes_until(100.0)
    leader.view = view_of(*nodes_with_disks("a", "b", "d"), *nodes_with_disks("c", status=status))
    changes = leader.changes_until(100.0 + GONE_AFTER_S + 60.0)
    assert [ring for _, ring in changes] == ["ab", "abd"]
    assert wait_s <= changes[0][0] - 100.0 <= wait_s + 1.0
