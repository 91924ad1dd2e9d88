"""The contact rule: who is cut off, and when it knows."""

import random

import msgspec
import pytest

from springmux.coordination.identifiers import NodeId
from springmux.coordination.membership.contact_freshness import FreshnessVector
from springmux.coordination.membership.contact_messages import ContactBeacon, ContactHeartbeat
from springmux.coordination.membership.contact_monitor import ContactMonitor
from springmux.coordination.membership.events import LeaderBeacon, MembershipUpdated
from springmux.coordination.membership.relay import HASH_END, range_targets, zone_targets
from springmux.coordination.membership.view import MembershipView, NodeStatus
from springmux.coordination.state_machine import MessageReceived, Send, Tick
from tests.support.gossip_harness import Network, record_of

KNOWN_S = 2.0
"""About 1.5 s of evidence and a step of the test's clock."""


def fleet(nodes, seed=1, loss=0.0, leader=None):
    network = Network(nodes, 4, seed, loss)
    network.start()
    assert network.run_until(network.all_alive, 20, 0.5) < 20
    if leader is not None:
        lead(network, leader)
    network.run(4)
    return network


def lead(network, index):
    def beat():
        node = network.nodes.get(network.records[index].node)
        if node is not None and not node.frozen:
            node.give("contact", LeaderBeacon(term=1))
        network.at(network.now + 0.25, beat)

    beat()


def connected(network, indexes):
    return [network.node(index).connected() for index in indexes]


def worst_over(network, duration_s, indexes):
    """Return the most nodes of ``indexes`` that were out of contact at once."""
    worst = 0
    for _ in range(int(duration_s / 0.1)):
        network.run(0.1)
        worst = max(worst, connected(network, indexes).count(False))
    return worst


@pytest.mark.parametrize(("nodes", "leader"), [(3, None), (12, None), (40, None), (40, 1)])
def test_healthy_fleet_stays_in_contact_at_one_percent_loss(nodes, leader):
    network = fleet(nodes, loss=0.01, leader=leader)
    assert worst_over(network, 20, range(nodes)) == 0


@pytest.mark.parametrize(("nodes", "leader"), [(12, None), (40, None), (40, 1)])
def test_node_cut_off_knows_it_soon_and_for_long_and_recovers(nodes, leader):
    network = fleet(nodes, leader=leader)
    network.cut_off([7])
    assert network.run_until(lambda: not network.node(7).connected(), 5) <= KNOWN_S
    others = [index for index in range(nodes) if index != 7]
    for _ in range(300):
        network.run(0.1)
        assert not network.node(7).connected()
        assert all(connected(network, others))
    network.heal()
    assert network.run_until(lambda: network.node(7).connected(), 8) < 2


@pytest.mark.parametrize(("nodes", "leader"), [(12, None), (40, 1), (40, 0)])
def test_zone_cut_off_refuses_and_the_rest_serves(nodes, leader):
    network = fleet(nodes, leader=leader)
    zone = range(0, nodes, 4)
    rest = [index for index in range(nodes) if index not in zone]
    network.cut_off(zone)
    network.run(KNOWN_S)
    assert connected(network, zone).count(True) == 0
    network.run(1)
    for _ in range(100):
        network.run(0.2)
        assert all(connected(network, rest))
        assert not any(connected(network, zone))
    network.heal()
    assert network.run_until(lambda: all(connected(network, zone)), 8) < 3


def test_leader_with_a_minority_of_nodes_gives_no_evidence():
    """Its quorum may be with it: here every beacon says that a quorum confirmed it."""
    network = fleet(40, leader=0)
    minority = range(15)
    network.cut_off(minority)
    network.run(KNOWN_S)
    assert worst_over(network, 10, minority) == 15
    assert not any(connected(network, minority))


def test_lost_leader_costs_no_contact_at_scale():
    network = fleet(40, leader=3)
    network.kill(3)
    others = [index for index in range(40) if index != 3]
    assert worst_over(network, 10, others) == 0


@pytest.mark.parametrize(("nodes", "leader"), [(12, None), (40, 1)])
def test_thawed_node_has_no_contact_until_fresh_evidence(nodes, leader):
    network = fleet(nodes, leader=leader)
    network.freeze(5)
    network.run(6)
    network.cut_off([5])
    network.thaw(5)  # what waited in its buffers comes now, though it is cut off
    assert not network.node(5).connected()
    for _ in range(30):
        network.run(0.1)
        assert not network.node(5).connected()
    network.heal()
    assert network.run_until(lambda: network.node(5).connected(), 8) < 3


def view_of(own, records):
    return MembershipUpdated(MembershipView(own=own, nodes={record.node: record for record in records}))


def test_node_alone():
    own = record_of(0, 1)
    assert ContactMonitor(own.node, False, random.Random(1)).connected(0.0)
    unjoined = ContactMonitor(own.node, True, random.Random(1))
    unjoined.handle(view_of(own.node, [own]), 0.0)
    assert not unjoined.connected(0.0)
    assert unjoined.reason(0.0) == "not joined any node yet"


def test_message_out_of_a_buffer_proves_nothing_only_an_echo_does():
    own, peer = record_of(0, 1), record_of(1, 1)
    part = ContactMonitor(own.node, True, random.Random(1))
    part.handle(view_of(own.node, [own, peer]), 0.0)
    beat = next(e.message for e in part.handle(Tick(), 0.0) if isinstance(e, Send))
    part.handle(MessageReceived(peer.node, ContactHeartbeat(500)), 0.1)
    assert not part.connected(0.1)
    part.handle(MessageReceived(peer.node, ContactHeartbeat(501, echo=beat.sequence)), 0.3)
    assert part.connected(1.5)
    assert not part.connected(1.6), "evidence is dated when the echoed beat was sent"


def test_dead_nodes_count_until_the_majority_has_settled():
    network = fleet(12)
    for index in range(5):
        network.kill(index)
    network.run(10)
    node = network.node(8)
    assert node.connected()
    assert node.contact.known_count == 12
    network.run(30)
    assert node.contact.known_count == 7, "nodes replaced under other names don't strand the fleet"


def test_half_of_the_fleet_replaced_at_once_under_other_names_strands_nobody():
    network = fleet(12)
    for index in range(6, 12):
        network.kill(index)
    network.run(2)
    network.start([record_of(index, 4) for index in range(20, 26)])
    everyone = network.nodes.values()
    assert network.run_until(lambda: all(node.connected() for node in everyone), 10) < 5


def test_four_of_twelve_replaced_one_after_another_cost_the_rest_no_contact():
    network = fleet(12)
    for index in range(8, 12):
        network.kill(index)
        network.start([record_of(index + 20, 4)])
        assert worst_over(network, 4, range(8)) == 0
    assert all(node.connected() for node in network.nodes.values())


def test_cut_however_long_makes_no_majority_of_a_minority():
    """Else both halves of a fleet would serve, each its own state."""
    own, peer = record_of(0, 1), record_of(1, 1)
    part = ContactMonitor(own.node, True, random.Random(1))
    part.handle(view_of(own.node, [own, peer]), 0.0)
    part.handle(view_of(own.node, [own, msgspec.structs.replace(peer, status=NodeStatus.DEAD)]), 5.0)
    for now in range(6, 4000, 6):
        part.handle(Tick(), float(now))
    part.handle(view_of(own.node, [own]), 4000.0)  # membership forgot the dead node
    part.handle(Tick(), 9000.0)
    assert not part.connected(9000.0)
    assert part.known_count == 2


def test_majority_that_died_at_once_strands_the_rest():
    network = fleet(12)
    for index in range(7):
        network.kill(index)
    network.run(60)
    assert not any(node.connected() for node in network.nodes.values())


def test_freshness_vectors_add_ages_and_never_make_evidence_younger():
    names = [NodeId(name) for name in ("a", "b", "c")]
    first, second, third = (FreshnessVector(name) for name in names)
    for vector in (first, second, third):
        vector.set_roster(names)
    second.merge(names[0], first.encode(10.0), 10.0)
    third.merge(names[1], second.encode(10.55), 20.55)
    (proven_at,) = third.proven_at([names[0]])
    assert 19.9 <= proven_at <= 20.0


@pytest.mark.parametrize("nodes", [1, 2, 13, 360])
def test_relay_tree_reaches_every_node_once(nodes):
    zones = {record_of(i, 4).node: record_of(i, 4).zone for i in range(nodes)}
    own = next(iter(zones))
    reached = []
    waiting = [(t.node, t.low, t.high) for t in zone_targets(zones, own, 7, 6)]
    while waiting:
        node, low, high = waiting.pop()
        reached.append(node)
        mates = [mate for mate, zone in zones.items() if zone == zones[node]]
        assert high <= HASH_END
        targets = range_targets(mates, node, 7, low, high, 6)
        assert len(targets) <= 6
        waiting += [(t.node, t.low, t.high) for t in targets]
    assert sorted(node for node in reached if node != own) == sorted(set(zones) - {own})
    assert reached.count(own) <= 1


def test_old_beacon_is_no_evidence():
    records = [record_of(i, 4) for i in range(40)]
    part = ContactMonitor(records[0].node, True, random.Random(1))
    part.handle(view_of(records[0].node, records), 0.0)
    part.handle(MessageReceived(records[1].node, ContactBeacon(2, 9, age_ms=100)), 0.1)
    assert part.connected(0.1)
    late = ContactBeacon(1, 99, age_ms=0)
    part.handle(MessageReceived(records[1].node, late), 1.4)
    assert not part.connected(1.6)
