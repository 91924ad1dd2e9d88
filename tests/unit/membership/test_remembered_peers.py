"""Peers stored on disk: contacted after a restart, but no members until a record of them arrives."""

from __future__ import annotations

import random

import msgspec

from springmux.coordination.identifiers import Address, NodeId, ReplicaId, ZoneName
from springmux.coordination.membership.effects import SendToAddress
from springmux.coordination.membership.membership import Membership
from springmux.coordination.membership.messages import MemberJoin, MemberState
from springmux.coordination.membership.remembered import REMEMBERED_MAX, RememberedPeer, RememberPeers
from springmux.coordination.membership.settings import MembershipSettings
from springmux.coordination.membership.view import NodeRecord, NodeStatus
from springmux.coordination.state_machine import Effect, MessageReceived, Tick

STARTED_AT = 50.0
SETTINGS = MembershipSettings(remembered_wait_s=3.0)


def record(number: int, status: NodeStatus = NodeStatus.ALIVE) -> NodeRecord:
    address = Address(f"10.0.{number // 250}.{number % 250 + 1}:7000")
    return NodeRecord(NodeId(f"n{number:04}"), ZoneName("z"), address, address, address, status=status)


def remembered(*numbers: int) -> tuple[RememberedPeer, ...]:
    return tuple(RememberedPeer(record(n).node, record(n).peer_address) for n in numbers)


def started_membership(*numbers: int) -> Membership:
    """Return the membership of node 9 just after its start; it remembers nodes ``numbers``, without seeds."""
    membership = Membership(record(9), (), random.Random(1), SETTINGS, remembered(*numbers))
    membership.handle(Tick(), STARTED_AT)
    return membership


def receive_records(membership: Membership, *records: NodeRecord, at: float = STARTED_AT + 0.1) -> None:
    membership.handle(MessageReceived(records[0].node, MemberState(records)), at)


def run(membership: Membership, until: float, start: float = STARTED_AT) -> list[Effect]:
    effects: list[Effect] = []
    now = start
    while now < until:
        effects += membership.handle(Tick(), now)
        now += 0.05
    return effects


def written_lists(effects: list[Effect]) -> list[tuple[RememberedPeer, ...]]:
    return [effect.peers for effect in effects if isinstance(effect, RememberPeers)]


def test_remembered_peers_get_join_requests_until_they_are_known_again() -> None:
    membership = started_membership(1, 2)
    joins = [e for e in run(membership, STARTED_AT + 0.5) if isinstance(e, SendToAddress)]
    assert {join.address for join in joins} == {record(1).peer_address, record(2).peer_address}
    assert all(isinstance(join.message, MemberJoin) for join in joins)

    receive_records(membership, record(1), record(2), at=STARTED_AT + 0.6)

    later = run(membership, STARTED_AT + 3.0, start=STARTED_AT + 0.7)
    assert not [e for e in later if isinstance(e, SendToAddress)]


def test_remembered_peer_that_others_report_dead_is_not_awaited() -> None:
    membership = started_membership(1, 2)
    receive_records(membership, record(1))
    assert membership.awaits_remembered_peers(STARTED_AT + 0.2)
    receive_records(membership, record(2, NodeStatus.DEAD), at=STARTED_AT + 0.3)
    assert not membership.awaits_remembered_peers(STARTED_AT + 0.3)


def test_outdated_list_delays_the_node_by_the_waiting_time_only() -> None:
    membership = started_membership(7777)
    receive_records(membership, record(1))
    assert membership.awaits_remembered_peers(STARTED_AT + 2.99)
    assert not membership.awaits_remembered_peers(STARTED_AT + 3.0)
    assert NodeId("n7777") not in membership.view.nodes


def test_node_without_remembered_peers_awaits_none() -> None:
    assert not started_membership().awaits_remembered_peers(STARTED_AT)


def test_missing_peers_get_periodic_join_requests_and_stay_on_the_list() -> None:
    membership = started_membership(1, 2)
    receive_records(membership, record(1))
    effects = run(membership, STARTED_AT + 30.0, start=STARTED_AT + 0.2)
    late_joins = [e for e in effects[-200:] if isinstance(e, SendToAddress)]
    assert {join.address for join in late_joins} == {record(2).peer_address}
    assert all(set(written) >= set(remembered(2)) for written in written_lists(effects))


def test_list_is_written_once_for_several_changes() -> None:
    membership = started_membership()
    receive_records(membership, *(record(number) for number in range(20, 40)))
    effects = run(membership, STARTED_AT + 2.5, start=STARTED_AT + 0.2)
    assert written_lists(effects) == [remembered(*range(20, 40))]


def test_unchanged_list_is_not_written_again() -> None:
    membership = started_membership(1, 2)
    receive_records(membership, record(1), record(2))
    assert written_lists(run(membership, STARTED_AT + 2.5, start=STARTED_AT + 0.2)) == []


def test_written_list_is_bounded() -> None:
    membership = started_membership()
    receive_records(membership, *(record(number) for number in range(20, REMEMBERED_MAX + 40)))
    (written,) = written_lists(run(membership, STARTED_AT + 2.2, start=STARTED_AT + 1.9))
    assert len(written) == REMEMBERED_MAX


def test_node_without_a_disk_writes_no_list() -> None:
    membership = Membership(record(9), (), random.Random(1), SETTINGS)
    membership.handle(Tick(), STARTED_AT)
    receive_records(membership, record(1))
    assert written_lists(run(membership, STARTED_AT + 5.0)) == []


def controller(number: int, status: NodeStatus = NodeStatus.ALIVE) -> NodeRecord:
    return msgspec.structs.replace(record(number, status), replica=ReplicaId(f"r{number}"))


def test_known_controllers_are_complete_only_once_all_remembered_peers_and_seeds_are_known() -> None:
    """Guards against a second group founded by controllers that don't know of the members of the first."""
    seeds = (record(1).peer_address, record(9).peer_address)
    membership = Membership(record(9), seeds, random.Random(1), SETTINGS, remembered(2))
    membership.handle(Tick(), STARTED_AT)
    assert membership.known_controllers() is None
    receive_records(membership, controller(1))
    assert membership.known_controllers() is None
    receive_records(membership, controller(2, NodeStatus.DEAD), record(3))
    assert membership.known_controllers() == {record(1).node, record(2).node}
