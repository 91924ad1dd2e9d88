"""Publishing of the view: immediately in a small fleet, in batches in a large one, without losing changes."""

from __future__ import annotations

import random

from springmux.coordination.membership import messages as wire
from springmux.coordination.membership.effects import MembershipChanged
from springmux.coordination.membership.membership import Membership
from springmux.coordination.membership.settings import MembershipSettings
from springmux.coordination.state_machine import Effect, MessageReceived, Tick
from tests.support.gossip_harness import record_of

SETTINGS = MembershipSettings()


def published_views(effects: list[Effect]) -> list[MembershipChanged]:
    return [effect for effect in effects if isinstance(effect, MembershipChanged)]


def membership_of_fleet(nodes: int) -> Membership:
    records = [record_of(index, 4) for index in range(nodes)]
    membership = Membership(records[0], (records[1].peer_address,), random.Random(1))
    membership.handle(Tick(), 0.0)
    membership.handle(MessageReceived(records[1].node, wire.MemberState(tuple(records[1:]))), 1.0)
    return membership


def gossip_of_new_node(index: int) -> MessageReceived:
    record = record_of(index, 4)
    return MessageReceived(record.node, wire.MemberGossip(wire.Piggyback(records=(record,))))


def test_small_fleet_publishes_each_change_immediately() -> None:
    membership = membership_of_fleet(12)
    published = [
        published_views(membership.handle(gossip_of_new_node(100 + number), 2.0 + number / 1000))
        for number in range(10)
    ]
    assert [len(each) for each in published] == [1] * 10


def test_large_fleet_publishes_changes_in_batches() -> None:
    membership = membership_of_fleet(200)
    published: list[MembershipChanged] = []
    now = 2.0
    for number in range(100):
        now = 2.0 + number / 1000
        published += published_views(membership.handle(gossip_of_new_node(300 + number), now))
    assert 1 <= len(published) <= 2

    due = now + 300 * SETTINGS.batch_s_per_node
    assert membership.next_deadline() <= due
    published += published_views(membership.handle(Tick(), due))
    assert len(published[-1].view.nodes) == 300


def test_view_includes_changes_that_are_not_published_yet() -> None:
    membership = membership_of_fleet(200)
    membership.handle(gossip_of_new_node(300), 2.0)
    membership.handle(gossip_of_new_node(301), 2.001)
    assert record_of(301, 4).node in membership.view.nodes
    assert published_views(membership.handle(Tick(), 2.0 + 202 * SETTINGS.batch_s_per_node))
