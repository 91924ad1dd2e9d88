"""Gossip in a large fleet: mostly within the zone, fewer transmissions of what is known already."""

from __future__ import annotations

import random

import msgspec
import pytest

from springmux.coordination.identifiers import NodeId
from springmux.coordination.membership import messages as wire
from springmux.coordination.membership.gossip_queue import GossipQueue
from springmux.coordination.membership.membership import Membership
from springmux.coordination.membership.settings import MembershipSettings
from springmux.coordination.membership.view import NodeRecord
from springmux.coordination.state_machine import MessageReceived, Send, Tick
from tests.support.gossip_harness import Network, record_of

SETTINGS = MembershipSettings()
ZONES = 4


ROUNDS = 2
"""Before the first probe that nobody answers: who is accused is told so by the same kind of message."""


def gossip_targets(nodes: int, seed: int) -> list[list[NodeId]]:
    """Return whom node 0 of a fleet sends its news to, round after round."""
    records = [record_of(index, ZONES) for index in range(nodes)]
    part = Membership(records[0], (records[1].peer_address,), random.Random(seed))
    part.handle(Tick(), 0.0)
    state = wire.MemberState(tuple(records[1:]))
    part.handle(MessageReceived(records[1].node, state), 0.1)
    found: list[list[NodeId]] = []
    now = 0.1
    for _ in range(ROUNDS):
        now += SETTINGS.gossip_period_s
        effects = part.handle(Tick(), now)
        sent = [e for e in effects if isinstance(e, Send) and isinstance(e.message, wire.MemberGossip)]
        if sent:
            found.append([effect.to for effect in sent])
    return found


def zone(node: NodeId) -> int:
    return int(node.removeprefix("node-")) % ZONES


def test_a_large_fleet_sends_news_to_one_node_of_another_zone_at_a_time() -> None:
    rounds = [targets for seed in range(20) for targets in gossip_targets(60, seed)]
    assert len(rounds) == 20 * ROUNDS
    for targets in rounds:
        assert sum(zone(node) != 0 for node in targets) <= 1
    assert {zone(node) for targets in rounds for node in targets} == set(range(ZONES))


def test_a_small_fleet_sends_news_to_any() -> None:
    rounds = [targets for seed in range(20) for targets in gossip_targets(12, seed)]
    assert any(sum(zone(node) != 0 for node in targets) > 1 for targets in rounds)


def copies(heard_again: int, record: NodeRecord) -> int:
    queue = GossipQueue(SETTINGS)
    queue.add(record, 0.0)
    for _ in range(heard_again):
        queue.count_duplicate(record)
    count = 0
    while queue.select_updates(60, 0.0).records:
        count += 1
    return count


def test_each_copy_that_is_heard_spares_one() -> None:
    record = record_of(1, ZONES)
    assert copies(0, record) == 18
    assert copies(5, record) == 13
    assert copies(100, record) == 0


def test_other_news_of_the_same_node_spares_none() -> None:
    queue = GossipQueue(SETTINGS)
    record = record_of(1, ZONES)
    newer = msgspec.structs.replace(record, incarnation=1)
    queue.add(newer, 0.0)
    for _ in range(100):
        queue.count_duplicate(record)
    assert queue.select_updates(60, 0.0).records == (newer,)


@pytest.mark.parametrize("seed", range(6))
def test_a_change_in_one_zone_is_known_in_all_others_soon(seed: int) -> None:
    network = Network(60, ZONES, seed, 0.01)
    network.start()
    assert network.run_until(network.all_alive, 15) < 15
    network.run(5)
    network.kill(5)
    network.run(8)
    network.start([network.records[5]])
    assert network.run_until(network.all_alive, 4) < 4
