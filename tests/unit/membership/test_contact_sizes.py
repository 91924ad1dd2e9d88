"""A fleet that grows or shrinks across the limit of direct heartbeats stays in contact during the change."""

import random

from springmux.coordination.identifiers import Address, NodeId, ZoneName
from springmux.coordination.membership.contact_messages import ContactBeacon, ContactHeartbeat
from springmux.coordination.membership.contact_monitor import ContactMonitor
from springmux.coordination.membership.events import MembershipUpdated
from springmux.coordination.membership.view import MembershipView, NodeRecord, NodeStatus
from springmux.coordination.state_machine import MessageReceived, Send, Tick

OWN, LEADER = NodeId("node-00"), NodeId("node-01")
LARGE, SMALL = 30, 20


def membership_updated(present: int, left: int = 0) -> MembershipUpdated:
    address = Address("10.0.0.1:7000")
    records = {}
    for number in range(present + left):
        status = NodeStatus.ALIVE if number < present else NodeStatus.LEFT
        node = NodeId(f"node-{number:02}")
        records[node] = NodeRecord(node, ZoneName("z"), address, address, address, status=status)
    return MembershipUpdated(MembershipView(own=OWN, nodes=records))


def test_fleet_that_shrinks_below_the_heartbeat_limit_uses_beacons_until_they_expire() -> None:
    monitor = ContactMonitor(OWN, True, random.Random(1))
    monitor.handle(membership_updated(LARGE), 1.0)
    monitor.handle(MessageReceived(LEADER, ContactBeacon(1, 1, 50)), 1.1)
    assert monitor.connected(1.1)
    monitor.handle(membership_updated(SMALL, left=LARGE - SMALL), 1.2)
    assert monitor.connected(1.3)
    assert not monitor.connected(2.7)


def test_fleet_that_grows_above_the_heartbeat_limit_uses_round_trips_until_they_expire() -> None:
    monitor = ContactMonitor(OWN, True, random.Random(1))
    monitor.handle(membership_updated(SMALL), 1.0)
    heartbeats = [effect for effect in monitor.handle(Tick(), 1.0) if isinstance(effect, Send)]
    assert len(heartbeats) == SMALL - 1
    for heartbeat in heartbeats:
        assert isinstance(heartbeat.message, ContactHeartbeat)
        monitor.handle(MessageReceived(heartbeat.to, ContactHeartbeat(7, heartbeat.message.sequence)), 1.1)
    assert monitor.connected(1.1)
    monitor.handle(membership_updated(SMALL + 8), 1.2)
    assert monitor.connected(1.3)
    assert not monitor.connected(2.6)
