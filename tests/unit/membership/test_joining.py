"""Join requests to seeds, by which partitions rejoin that have forgotten each other."""

import random

from springmux.coordination.identifiers import Address, NodeId, ZoneName
from springmux.coordination.membership.effects import SendToAddress
from springmux.coordination.membership.events import SeedsChanged
from springmux.coordination.membership.membership import Membership
from springmux.coordination.membership.messages import MemberJoin, MemberState
from springmux.coordination.membership.view import NodeRecord
from springmux.coordination.state_machine import MessageReceived, Tick

SEEDS = (Address("10.0.0.1:7000"), Address("10.0.0.2:7000"))


def record(number: int) -> NodeRecord:
    address = Address(f"10.0.0.{number}:7000")
    return NodeRecord(NodeId(f"n{number}"), ZoneName("z"), address, address, address)


def seeds_that_get_join_requests(membership: Membership, until: float) -> set[Address]:
    addresses = set()
    now = 1.0
    while now < until:
        for effect in membership.handle(Tick(), now):
            if isinstance(effect, SendToAddress) and isinstance(effect.message, MemberJoin):
                addresses.add(effect.address)
        now += 0.1
    return addresses


def membership_that_knows(*numbers: int) -> Membership:
    membership = Membership(record(9), SEEDS, random.Random(1))
    state = MemberState(tuple(record(number) for number in numbers))
    membership.handle(MessageReceived(NodeId("n1"), state), 0.9)
    return membership


def test_absent_seeds_get_join_requests_in_turn() -> None:
    assert seeds_that_get_join_requests(membership_that_knows(5, 6), until=100.0) == set(SEEDS)


def test_present_seeds_get_no_join_requests() -> None:
    # Later the unanswered probes make the seeds dead, and they get join requests again.
    assert seeds_that_get_join_requests(membership_that_knows(1, 2), until=1.2) == set()


def test_reloaded_seeds_soon_get_join_requests_instead_of_the_former_ones() -> None:
    membership = membership_that_knows(5, 6)
    new = Address("10.0.0.7:7000")

    membership.handle(SeedsChanged((new,)), 1.0)

    assert seeds_that_get_join_requests(membership, until=1.5) == {new}


def test_node_without_peers_contacts_reloaded_seeds_immediately() -> None:
    membership = Membership(record(9), SEEDS, random.Random(1))
    membership.handle(Tick(), 0.9)
    new = Address("10.0.0.7:7000")
    membership.handle(SeedsChanged((new,)), 1.0)

    effects = membership.handle(Tick(), 1.0)

    assert [effect.address for effect in effects if isinstance(effect, SendToAddress)] == [new]
