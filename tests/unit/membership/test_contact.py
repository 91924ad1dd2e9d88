"""The contact rule: which nodes lose contact with the fleet, and how soon they detect it."""

import random

import msgspec
import pytest

from springmux.coordination.identifiers import NodeId, ReplicaId
from springmux.coordination.membership.contact_freshness import FreshnessVector
from springmux.coordination.membership.contact_messages import ContactBeacon, ContactHeartbeat
from springmux.coordination.membership.contact_monitor import ContactMonitor
from springmux.coordination.membership.events import LeaderBeacon, MembershipUpdated
from springmux.coordination.membership.relay import HASH_END, range_targets, zone_targets
from springmux.coordination.membership.view import MembershipView, NodeStatus
from springmux.coordination.state_machine import MessageReceived, Send, Tick
from tests.support.gossip_harness import Network, record_of

DETECTION_LIMIT_S = 2.0
"""Limit for detecting a lost contact: about 1.5 s of evidence and a step of the test's clock."""


def fleet(nodes, seed=1, loss=0.0, leader=None):
    network = Network(nodes, 4, seed, loss)
    network.start()
    assert network.run_until(network.all_alive, 20, 0.5) < 20
    if leader is not None:
        send_leader_beacons(network, leader)
    network.run(4)
    return network


def send_leader_beacons(network, index):
    def send_beacon():
        node = network.nodes.get(network.records[index].node)
        if node is not None and not node.paused:
            node.handle_event("contact", LeaderBeacon(term=1))
        network.at(network.now + 0.25, send_beacon)

    send_beacon()


def connected(network, indexes):
    return [network.node(index).connected() for index in indexes]


def max_out_of_contact(network, duration_s, indexes):
    """Return the maximum number of nodes of ``indexes`` that were out of contact at the same time."""
    most = 0
    for _ in range(int(duration_s / 0.1)):
        network.run(0.1)
        most = max(most, connected(network, indexes).count(False))
    return most


@pytest.mark.parametrize(("nodes", "leader"), [(3, None), (12, None), (40, None), (40, 1)])
def test_healthy_fleet_stays_in_contact_at_one_percent_loss(nodes, leader):
    network = fleet(nodes, loss=0.01, leader=leader)
    assert max_out_of_contact(network, 20, range(nodes)) == 0


@pytest.mark.parametrize(("nodes", "leader"), [(12, None), (40, None), (40, 1)])
def test_isolated_node_has_no_contact_until_the_partition_heals(nodes, leader):
    network = fleet(nodes, leader=leader)
    network.isolate([7])
    assert network.run_until(lambda: not network.node(7).connected(), 5) <= DETECTION_LIMIT_S
    others = [index for index in range(nodes) if index != 7]
    for _ in range(300):
        network.run(0.1)
        assert not network.node(7).connected()
        assert all(connected(network, others))
    network.heal()
    assert network.run_until(lambda: network.node(7).connected(), 8) < 2


@pytest.mark.parametrize(("nodes", "leader"), [(12, None), (40, 1), (40, 0)])
def test_isolated_zone_loses_contact_and_the_rest_keeps_it(nodes, leader):
    network = fleet(nodes, leader=leader)
    zone = range(0, nodes, 4)
    rest = [index for index in range(nodes) if index not in zone]
    network.isolate(zone)
    network.run(DETECTION_LIMIT_S)
    assert connected(network, zone).count(True) == 0
    network.run(1)
    for _ in range(100):
        network.run(0.2)
        assert all(connected(network, rest))
        assert not any(connected(network, zone))
    network.heal()
    assert network.run_until(lambda: all(connected(network, zone)), 8) < 3


def test_leader_that_reaches_a_minority_of_nodes_provides_no_evidence():
    """The leader's quorum may be in the minority too: here a quorum confirms the leader for every beacon."""
    network = fleet(40, leader=0)
    minority = range(15)
    network.isolate(minority)
    network.run(DETECTION_LIMIT_S)
    assert max_out_of_contact(network, 10, minority) == 15
    assert not any(connected(network, minority))


def with_controllers(network, indexes):
    for index in indexes:
        network.records[index] = msgspec.structs.replace(
            network.records[index], replica=ReplicaId(f"replica-{index}")
        )
    return network


def started(network):
    network.start()
    assert network.run_until(network.all_alive, 20, 0.5) < 20
    network.run(4)
    return network


@pytest.mark.parametrize("nodes", [12, 40])
def test_majority_of_the_controllers_keeps_contact_however_many_other_nodes_are_gone(nodes):
    network = started(with_controllers(Network(nodes, 4, seed=1), range(5)))
    send_leader_beacons(network, 0)
    for index in range(7, nodes):
        network.kill(index)
    assert max_out_of_contact(network, 40, range(7)) == 0


@pytest.mark.parametrize(("nodes", "leader"), [(12, None), (40, None), (40, 0)])
def test_minority_of_the_controllers_loses_contact_with_a_minority_of_the_nodes(nodes, leader):
    network = started(with_controllers(Network(nodes, 4, seed=1), range(5)))
    if leader is not None:
        send_leader_beacons(network, leader)
    minority = [0, 1, 5, 6]
    network.isolate(minority)
    network.run(DETECTION_LIMIT_S)
    for _ in range(400):
        network.run(0.1)
        assert not any(connected(network, minority))
        assert all(connected(network, [index for index in range(nodes) if index not in minority]))


def test_controllers_that_were_not_met_yet_count():
    """A node that knows one of three controllers isn't in contact with a majority of them."""
    own, controller, other = record_of(0, 1), record_of(1, 1), record_of(2, 1)
    controller = msgspec.structs.replace(controller, replica=ReplicaId("replica"))
    gone = [msgspec.structs.replace(record_of(index, 1), status=NodeStatus.DEAD) for index in range(3, 9)]
    monitor = ContactMonitor(own.node, True, random.Random(1), controllers_expected=3)
    monitor.handle(view_of(own.node, [own, controller, other, *gone]), 0.0)
    heartbeat = next(e.message for e in monitor.handle(Tick(), 0.0) if isinstance(e, Send))
    monitor.handle(MessageReceived(controller.node, ContactHeartbeat(1, echo=heartbeat.sequence)), 0.1)
    assert not monitor.connected(0.2)


def test_large_fleet_stays_in_contact_when_its_leader_is_lost():
    network = fleet(40, leader=3)
    network.kill(3)
    others = [index for index in range(40) if index != 3]
    assert max_out_of_contact(network, 10, others) == 0


@pytest.mark.parametrize(("nodes", "leader"), [(12, None), (40, 1)])
def test_node_has_no_contact_after_a_pause_until_fresh_evidence(nodes, leader):
    network = fleet(nodes, leader=leader)
    network.pause(5)
    network.run(6)
    network.isolate([5])
    network.resume(5)  # Messages buffered during the pause are delivered although the node is isolated.
    assert not network.node(5).connected()
    for _ in range(30):
        network.run(0.1)
        assert not network.node(5).connected()
    network.heal()
    assert network.run_until(lambda: network.node(5).connected(), 8) < 3


def view_of(own, records):
    return MembershipUpdated(MembershipView(own=own, nodes={record.node: record for record in records}))


def test_single_node_is_in_contact_only_without_seeds():
    own = record_of(0, 1)
    assert ContactMonitor(own.node, False, random.Random(1)).connected(0.0)
    unjoined = ContactMonitor(own.node, True, random.Random(1))
    unjoined.handle(view_of(own.node, [own]), 0.0)
    assert not unjoined.connected(0.0)
    assert unjoined.reason(0.0) == "not joined any node yet"


def test_buffered_message_is_no_evidence_but_an_echo_is():
    own, peer = record_of(0, 1), record_of(1, 1)
    monitor = ContactMonitor(own.node, True, random.Random(1))
    monitor.handle(view_of(own.node, [own, peer]), 0.0)
    heartbeat = next(e.message for e in monitor.handle(Tick(), 0.0) if isinstance(e, Send))
    monitor.handle(MessageReceived(peer.node, ContactHeartbeat(500)), 0.1)
    assert not monitor.connected(0.1)
    monitor.handle(MessageReceived(peer.node, ContactHeartbeat(501, echo=heartbeat.sequence)), 0.3)
    assert monitor.connected(1.5)
    assert not monitor.connected(1.6), "the evidence is as old as the echoed heartbeat"


def test_dead_nodes_count_until_the_majority_was_in_contact_for_the_settle_time():
    network = fleet(12)
    for index in range(5):
        network.kill(index)
    network.run(10)
    node = network.node(8)
    assert node.connected()
    assert node.contact.known_count == 12
    network.run(30)
    assert node.contact.known_count == 7, "dead nodes that were replaced under other names no longer count"


def test_all_nodes_regain_contact_when_half_of_the_fleet_is_replaced_together():
    network = fleet(12)
    for index in range(6, 12):
        network.kill(index)
    network.run(2)
    network.start([record_of(index, 4) for index in range(20, 26)])
    everyone = network.nodes.values()
    assert network.run_until(lambda: all(node.connected() for node in everyone), 10) < 5


def test_nodes_stay_in_contact_while_four_of_twelve_are_replaced_one_by_one():
    network = fleet(12)
    for index in range(8, 12):
        network.kill(index)
        network.start([record_of(index + 20, 4)])
        assert max_out_of_contact(network, 4, range(8)) == 0
    assert all(node.connected() for node in network.nodes.values())


def test_minority_never_becomes_a_majority_however_long_a_partition_lasts():
    """Otherwise both sides of a partition would serve, each with its own state."""
    own, peer = record_of(0, 1), record_of(1, 1)
    monitor = ContactMonitor(own.node, True, random.Random(1))
    monitor.handle(view_of(own.node, [own, peer]), 0.0)
    monitor.handle(view_of(own.node, [own, msgspec.structs.replace(peer, status=NodeStatus.DEAD)]), 5.0)
    for now in range(6, 4000, 6):
        monitor.handle(Tick(), float(now))
    monitor.handle(view_of(own.node, [own]), 4000.0)  # Membership has forgotten the dead node.
    monitor.handle(Tick(), 9000.0)
    assert not monitor.connected(9000.0)
    assert monitor.known_count == 2


def test_minority_has_no_contact_after_the_majority_died_together():
    network = fleet(12)
    for index in range(7):
        network.kill(index)
    network.run(60)
    assert not any(node.connected() for node in network.nodes.values())


def test_freshness_vectors_add_up_ages_and_never_understate_them():
    names = [NodeId(name) for name in ("a", "b", "c")]
    first, second, third = (FreshnessVector(name) for name in names)
    for vector in (first, second, third):
        vector.set_roster(names)
    second.merge(names[0], first.encode(10.0), 10.0)
    third.merge(names[1], second.encode(10.55), 20.55)
    assert 19.9 <= third.newest_evidence_at(names[0]) <= 20.0


@pytest.mark.parametrize("nodes", [1, 2, 13, 360])
def test_relay_tree_reaches_every_node_once(nodes):
    zones = {record_of(i, 4).node: record_of(i, 4).zone for i in range(nodes)}
    own = next(iter(zones))
    reached = []
    pending = [(t.node, t.low, t.high) for t in zone_targets(zones, own, 7, 6)]
    while pending:
        node, low, high = pending.pop()
        reached.append(node)
        zone_members = [mate for mate, zone in zones.items() if zone == zones[node]]
        assert high <= HASH_END
        targets = range_targets(zone_members, node, 7, low, high, 6)
        assert len(targets) <= 6
        pending += [(t.node, t.low, t.high) for t in targets]
    assert sorted(node for node in reached if node != own) == sorted(set(zones) - {own})
    assert reached.count(own) <= 1


def test_beacon_of_an_older_term_is_no_evidence():
    records = [record_of(i, 4) for i in range(40)]
    monitor = ContactMonitor(records[0].node, True, random.Random(1))
    monitor.handle(view_of(records[0].node, records), 0.0)
    monitor.handle(MessageReceived(records[1].node, ContactBeacon(2, 9, age_ms=100)), 0.1)
    assert monitor.connected(0.1)
    late = ContactBeacon(1, 99, age_ms=0)
    monitor.handle(MessageReceived(records[1].node, late), 1.4)
    assert not monitor.connected(1.6)
