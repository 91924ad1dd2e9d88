"""What a node knew of its fleet: kept on disk, asked for word after a restart, never trusted."""

from __future__ import annotations

import random

from springmux.coordination.identifiers import Address, NodeId, ZoneName
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


def started(*numbers: int) -> Membership:
    """Return a node 9 that remembers nodes ``numbers`` and has no seeds, just started."""
    part = Membership(record(9), (), random.Random(1), SETTINGS, remembered(*numbers))
    part.handle(Tick(), STARTED_AT)
    return part


def heard(part: Membership, *records: NodeRecord, at: float = STARTED_AT + 0.1) -> None:
    part.handle(MessageReceived(records[0].node, MemberState(records)), at)


def run(part: Membership, until: float, start: float = STARTED_AT) -> list[Effect]:
    effects: list[Effect] = []
    now = start
    while now < until:
        effects += part.handle(Tick(), now)
        now += 0.05
    return effects


def lists(effects: list[Effect]) -> list[tuple[RememberedPeer, ...]]:
    return [effect.peers for effect in effects if isinstance(effect, RememberPeers)]


def test_remembered_peers_are_asked_until_they_are_known_again() -> None:
    part = started(1, 2)
    joins = [e for e in run(part, STARTED_AT + 0.5) if isinstance(e, SendToAddress)]
    assert {join.address for join in joins} == {record(1).peer_address, record(2).peer_address}
    assert all(isinstance(join.message, MemberJoin) for join in joins)

    heard(part, record(1), record(2), at=STARTED_AT + 0.6)

    later = run(part, STARTED_AT + 3.0, start=STARTED_AT + 0.7)
    assert not [e for e in later if isinstance(e, SendToAddress)]


def test_a_peer_that_others_hold_for_dead_is_not_waited_for() -> None:
    part = started(1, 2)
    heard(part, record(1))
    assert part.awaits_remembered(STARTED_AT + 0.2)
    heard(part, record(2, NodeStatus.DEAD), at=STARTED_AT + 0.3)
    assert not part.awaits_remembered(STARTED_AT + 0.3)


def test_a_wrong_list_costs_the_contact_time_and_no_more() -> None:
    part = started(7777)
    heard(part, record(1))
    assert part.awaits_remembered(STARTED_AT + 2.99)
    assert not part.awaits_remembered(STARTED_AT + 3.0)
    assert NodeId("n7777") not in part.view.nodes


def test_a_node_without_a_list_waits_for_nobody() -> None:
    assert not started().awaits_remembered(STARTED_AT)


def test_peers_that_stay_away_are_asked_now_and_then_and_kept() -> None:
    part = started(1, 2)
    heard(part, record(1))
    effects = run(part, STARTED_AT + 30.0, start=STARTED_AT + 0.2)
    late_joins = [e for e in effects[-200:] if isinstance(e, SendToAddress)]
    assert {join.address for join in late_joins} == {record(2).peer_address}
    assert all(set(kept) >= set(remembered(2)) for kept in lists(effects))


def test_the_list_is_written_once_for_a_change_and_not_without_one() -> None:
    part = started()
    heard(part, *(record(number) for number in range(20, 40)))
    effects = run(part, STARTED_AT + 2.5, start=STARTED_AT + 0.2)
    assert lists(effects) == [remembered(*range(20, 40))]


def test_what_the_disk_has_is_not_written_again() -> None:
    part = started(1, 2)
    heard(part, record(1), record(2))
    assert lists(run(part, STARTED_AT + 2.5, start=STARTED_AT + 0.2)) == []


def test_the_list_is_bounded() -> None:
    part = started()
    heard(part, *(record(number) for number in range(20, REMEMBERED_MAX + 40)))
    (kept,) = lists(run(part, STARTED_AT + 2.2, start=STARTED_AT + 1.9))
    assert len(kept) == REMEMBERED_MAX


def test_a_node_without_a_disk_writes_nothing() -> None:
    part = Membership(record(9), (), random.Random(1), SETTINGS)
    part.handle(Tick(), STARTED_AT)
    heard(part, record(1))
    assert lists(run(part, STARTED_AT + 5.0)) == []
