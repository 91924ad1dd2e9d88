"""Gossip in a large fleet: mostly within a zone, with fewer transmissions of what peers know already."""

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
"""Rounds before the first probe fails. From then on, a suspect is notified by a message of the same type,
which would be mistaken for gossip."""


def gossip_targets(nodes: int, seed: int) -> list[list[NodeId]]:
    """Return the targets of the gossip of node 0 of a fleet, for each round."""
    records = [record_of(index, ZONES) for index in range(nodes)]
    membership = Membership(records[0], (records[1].peer_address,), random.Random(seed))
    membership.handle(Tick(), 0.0)
    state = wire.MemberState(tuple(records[1:]))
    membership.handle(MessageReceived(records[1].node, state), 0.1)
    found: list[list[NodeId]] = []
    now = 0.1
    for _ in range(ROUNDS):
        now += SETTINGS.gossip_period_s
        effects = membership.handle(Tick(), now)
        sent = [e for e in effects if isinstance(e, Send) and isinstance(e.message, wire.MemberGossip)]
        if sent:
            found.append([effect.to for effect in sent])
    return found


def zone(node: NodeId) -> int:
    return int(node.removeprefix("node-")) % ZONES


def test_large_fleet_gossips_to_at_most_one_node_of_another_zone_per_round() -> None:
    rounds = [targets for seed in range(20) for targets in gossip_targets(60, seed)]
    assert len(rounds) == 20 * ROUNDS
    for targets in rounds:
        assert sum(zone(node) != 0 for node in targets) <= 1
    assert {zone(node) for targets in rounds for node in targets} == set(range(ZONES))


def test_small_fleet_gossips_to_nodes_of_any_zone() -> None:
    rounds = [targets for seed in range(20) for targets in gossip_targets(12, seed)]
    assert any(sum(zone(node) != 0 for node in targets) > 1 for targets in rounds)


def transmissions(duplicates: int, record: NodeRecord) -> int:
    queue = GossipQueue(SETTINGS)
    queue.add(record, 0.0)
    for _ in range(duplicates):
        queue.count_duplicate(record)
    count = 0
    while queue.select_updates(60, 0.0).records:
        count += 1
    return count


def test_each_duplicate_received_saves_one_transmission() -> None:
    record = record_of(1, ZONES)
    assert transmissions(0, record) == 18
    assert transmissions(5, record) == 13
    assert transmissions(100, record) == 0


def test_duplicates_of_an_older_record_save_no_transmission() -> None:
    queue = GossipQueue(SETTINGS)
    record = record_of(1, ZONES)
    newer = msgspec.structs.replace(record, incarnation=1)
    queue.add(newer, 0.0)
    for _ in range(100):
        queue.count_duplicate(record)
    assert queue.select_updates(60, 0.0).records == (newer,)


@pytest.mark.parametrize("seed", range(6))
def test_change_in_one_zone_is_known_in_all_zones_in_time(seed: int) -> None:
    network = Network(60, ZONES, seed, 0.01)
    network.start()
    assert network.run_until(network.all_alive, 15) < 15
    network.run(5)
    network.kill(5)
    network.run(8)
    network.start([network.records[5]])
    assert network.run_until(network.all_alive, 4) < 4
