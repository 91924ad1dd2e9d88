"""Changes of a large fleet's view are published together, a small one's at once, and none is lost."""

from __future__ import annotations

import random

from springmux.coordination.membership import messages as wire
from springmux.coordination.membership.effects import MembershipChanged
from springmux.coordination.membership.membership import Membership
from springmux.coordination.membership.settings import MembershipSettings
from springmux.coordination.state_machine import Effect, MessageReceived, Tick
from tests.support.gossip_harness import record_of

SETTINGS = MembershipSettings()


def views(effects: list[Effect]) -> list[MembershipChanged]:
    return [effect for effect in effects if isinstance(effect, MembershipChanged)]


def fleet_of(nodes: int) -> Membership:
    records = [record_of(index, 4) for index in range(nodes)]
    part = Membership(records[0], (records[1].peer_address,), random.Random(1))
    part.handle(Tick(), 0.0)
    part.handle(MessageReceived(records[1].node, wire.MemberState(tuple(records[1:]))), 1.0)
    return part


def newcomer(index: int) -> MessageReceived:
    record = record_of(index, 4)
    return MessageReceived(record.node, wire.MemberGossip(wire.Piggyback(records=(record,))))


def test_a_small_fleet_tells_each_change_at_once() -> None:
    part = fleet_of(12)
    told = [views(part.handle(newcomer(100 + number), 2.0 + number / 1000)) for number in range(10)]
    assert [len(each) for each in told] == [1] * 10


def test_a_large_fleet_tells_many_changes_together() -> None:
    part = fleet_of(200)
    told: list[MembershipChanged] = []
    now = 2.0
    for number in range(100):
        now = 2.0 + number / 1000
        told += views(part.handle(newcomer(300 + number), now))
    assert 1 <= len(told) <= 2

    due = now + 300 * SETTINGS.batch_s_per_node
    assert part.next_deadline() <= due
    told += views(part.handle(Tick(), due))
    assert len(told[-1].view.nodes) == 300


def test_the_view_that_others_read_is_never_older_than_the_last_event() -> None:
    part = fleet_of(200)
    part.handle(newcomer(300), 2.0)
    part.handle(newcomer(301), 2.001)
    assert record_of(301, 4).node in part.view.nodes
    assert views(part.handle(Tick(), 2.0 + 202 * SETTINGS.batch_s_per_node))
