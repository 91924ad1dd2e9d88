"""A fleet that shrinks or grows over the limit of direct evidence stays in contact meanwhile."""

import random

from springmux.coordination.identifiers import Address, NodeId, ZoneName
from springmux.coordination.membership.contact_messages import ContactBeacon, ContactHeartbeat
from springmux.coordination.membership.contact_monitor import ContactMonitor
from springmux.coordination.membership.events import MembershipUpdated
from springmux.coordination.membership.view import MembershipView, NodeRecord, NodeStatus
from springmux.coordination.state_machine import MessageReceived, Send, Tick

OWN, LEADER = NodeId("node-00"), NodeId("node-01")
LARGE, SMALL = 30, 20


def fleet(present: int, left: int = 0) -> MembershipUpdated:
    address = Address("10.0.0.1:7000")
    records = {}
    for number in range(present + left):
        status = NodeStatus.ALIVE if number < present else NodeStatus.LEFT
        node = NodeId(f"node-{number:02}")
        records[node] = NodeRecord(node, ZoneName("z"), address, address, address, status=status)
    return MembershipUpdated(MembershipView(own=OWN, nodes=records))


def test_a_fleet_that_shrinks_to_direct_evidence_keeps_the_beacons_for_its_time() -> None:
    part = ContactMonitor(OWN, True, random.Random(1))
    part.handle(fleet(LARGE), 1.0)
    part.handle(MessageReceived(LEADER, ContactBeacon(1, 1, 50)), 1.1)
    assert part.connected(1.1)
    part.handle(fleet(SMALL, left=LARGE - SMALL), 1.2)
    assert part.connected(1.3)
    assert not part.connected(2.7)


def test_a_fleet_that_grows_over_direct_evidence_keeps_its_round_trips_for_their_time() -> None:
    part = ContactMonitor(OWN, True, random.Random(1))
    part.handle(fleet(SMALL), 1.0)
    beats = [effect for effect in part.handle(Tick(), 1.0) if isinstance(effect, Send)]
    assert len(beats) == SMALL - 1
    for beat in beats:
        assert isinstance(beat.message, ContactHeartbeat)
        part.handle(MessageReceived(beat.to, ContactHeartbeat(7, beat.message.sequence)), 1.1)
    assert part.connected(1.1)
    part.handle(fleet(SMALL + 8), 1.2)
    assert part.connected(1.3)
    assert not part.connected(2.6)
