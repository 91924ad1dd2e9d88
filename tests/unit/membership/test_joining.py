"""Partitions of a fleet that forgot each other meet again at the seeds' addresses."""

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


def asked_seeds(part: Membership, until: float) -> set[Address]:
    asked = set()
    now = 1.0
    while now < until:
        for effect in part.handle(Tick(), now):
            if isinstance(effect, SendToAddress) and isinstance(effect.message, MemberJoin):
                asked.add(effect.address)
        now += 0.1
    return asked


def part_that_knows(*numbers: int) -> Membership:
    part = Membership(record(9), SEEDS, random.Random(1))
    state = MemberState(tuple(record(number) for number in numbers))
    part.handle(MessageReceived(NodeId("n1"), state), 0.9)
    return part


def test_seeds_that_nobody_present_listens_at_are_asked_in_turn() -> None:
    assert asked_seeds(part_that_knows(5, 6), until=100.0) == set(SEEDS)


def test_present_seeds_are_not_asked() -> None:
    # Later the unanswered probes make the seeds dead, and then they are asked again.
    assert asked_seeds(part_that_knows(1, 2), until=1.2) == set()


def test_seeds_of_a_reload_are_asked_soon_and_the_former_ones_no_more() -> None:
    part = part_that_knows(5, 6)
    new = Address("10.0.0.7:7000")

    part.handle(SeedsChanged((new,)), 1.0)

    assert asked_seeds(part, until=1.5) == {new}


def test_a_node_that_met_nobody_asks_the_seeds_of_a_reload_at_once() -> None:
    part = Membership(record(9), SEEDS, random.Random(1))
    part.handle(Tick(), 0.9)
    new = Address("10.0.0.7:7000")
    part.handle(SeedsChanged((new,)), 1.0)

    effects = part.handle(Tick(), 1.0)

    assert [effect.address for effect in effects if isinstance(effect, SendToAddress)] == [new]
