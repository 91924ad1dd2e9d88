"""Totals reach every node by one message a zone, newest last, whoever passes them on."""

from __future__ import annotations

import random

import msgspec
import pytest

from springmux.coordination.identifiers import Address, NodeId, ReplicaId, ZoneName
from springmux.coordination.membership.view import MembershipView, NodeRecord
from springmux.coordination.state_machine import Effect, MessageReceived, Send, Tick
from springmux.coordination.usage import usage_exchange
from springmux.coordination.usage.events import AccountLimit, AccountLimitsChanged, UsageMembersChanged
from springmux.coordination.usage.messages import EngineLoad, UsageTotals, ZoneTotals
from springmux.coordination.usage.usage_exchange import UsageExchange
from springmux.coordination.usage.zone_relay import broadcast_totals, send_to_each
from tests.unit.usage.world import RATE, USUAL, WARM_S, Load, World

ZONES = {ZoneName(f"z{zone}"): tuple(NodeId(f"z{zone}-{n}") for n in range(10)) for zone in range(3)}
OWN = NodeId("z0-0")
SUMS = (EngineLoad("e1", 3, 700),)


def totals(number: int, collector: NodeId = OWN, incarnation: int = 7) -> UsageTotals:
    return UsageTotals(0, (), SUMS, collector, incarnation, number)


def sent(effects: list[Effect]) -> list[Send]:
    return [effect for effect in effects if isinstance(effect, Send)]


def sequence_of(node: NodeId) -> int:
    return int(node[-1]) + 100


def test_each_other_zone_gets_one_message_and_the_own_zone_one_a_node() -> None:
    messages = sent(broadcast_totals(totals(1), ZONES, OWN, sequence_of))
    own_zone = [each for each in messages if each.to.startswith("z0")]
    assert {each.to for each in own_zone} == set(ZONES[ZoneName("z0")]) - {OWN}
    assert len(messages) == len(own_zone) + 2


def test_every_node_gets_the_totals_once_with_its_own_sequence() -> None:
    got: dict[NodeId, int] = {}
    for effect in sent(broadcast_totals(totals(1), ZONES, OWN, sequence_of)):
        if isinstance(effect.message, UsageTotals):
            got[effect.to] = effect.message.included
        elif isinstance(effect.message, ZoneTotals):
            for passed in sent(send_to_each(effect.message.totals, effect.message.receivers)):
                assert isinstance(passed.message, UsageTotals)
                got[passed.to] = passed.message.included
    assert got == {node: sequence_of(node) for nodes in ZONES.values() for node in nodes if node != OWN}


def test_another_node_passes_on_each_round() -> None:
    relays = [
        {
            effect.to
            for effect in sent(broadcast_totals(totals(number), ZONES, OWN, sequence_of))
            if effect.to[1] == "2"
        }
        for number in range(10)
    ]
    assert set().union(*relays) == set(ZONES[ZoneName("z2")])


def member(zone: int, number: int) -> NodeRecord:
    where = Address("h:1")
    replica = ReplicaId(f"r{zone}") if number == 0 else None
    return NodeRecord(NodeId(f"z{zone}-{number}"), ZoneName(f"z{zone}"), where, where, where, replica=replica)


def started(own: str) -> UsageExchange:
    exchange = UsageExchange(NodeId(own), random.Random(1))
    records = [member(zone, number) for zone in range(3) for number in range(10)]
    exchange.handle(AccountLimitsChanged({"t": AccountLimit(1000.0, 1000.0)}), 0.0)
    exchange.handle(UsageMembersChanged(MembershipView(NodeId(own), {r.node: r for r in records})), 0.0)
    return exchange


def test_a_node_that_passes_on_takes_its_own_part() -> None:
    exchange = started("z2-5")
    collector = exchange._peer_tracker.collectors[0]
    receivers = tuple((node, 4) for node in ZONES[ZoneName("z2")])
    effects = sent(
        exchange.handle(MessageReceived(collector, ZoneTotals(totals(1, collector), receivers)), 2.0)
    )
    assert {effect.to for effect in effects} == set(ZONES[ZoneName("z2")]) - {NodeId("z2-5")}
    exchange.handle(Tick(), 2.0)
    assert exchange.other_engine_loads() == {"e1": (3.0, 700.0)}


def test_older_totals_that_come_late_are_dropped_and_those_of_a_new_life_are_not() -> None:
    exchange = started("z2-5")
    collector = exchange._peer_tracker.collectors[0]

    def load_after(message: UsageTotals, requests: int) -> float:
        sums = (EngineLoad("e1", requests, 0),)
        told = UsageTotals(0, (), sums, collector, message.incarnation, message.number)
        exchange.handle(MessageReceived(NodeId("z2-1"), told), 2.0)
        exchange.handle(Tick(), 2.0)
        return exchange.other_engine_loads()["e1"][0]

    assert load_after(totals(5, collector), 5) == 5
    assert load_after(totals(4, collector), 4) == 5
    assert load_after(totals(6, collector), 6) == 6
    assert load_after(totals(1, collector, incarnation=8), 1) == 1


def under_load(seed: int, seconds: float = 6.0) -> World:
    world = World(90, seed)
    for node in range(0, 90, 3):
        for engine in range(30):
            at = WARM_S + engine * 0.1
            world.at(at, lambda n=node, e=engine: world.exchanges[n].note_engine_load(f"engine-{e}", 1, 500))
    world.load(Load(lambda now: 2 * USUAL, lambda now: range(90)), seconds)
    return world


def test_bytes_between_zones_are_under_a_quarter_of_those_of_a_message_to_each_node(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    relayed = under_load(3)
    relayed.run(6.0)
    monkeypatch.setattr(
        usage_exchange,
        "broadcast_totals",
        lambda totals, zones, own, sequence_of: send_to_each(
            totals,
            tuple((n, sequence_of(n)) for nodes in zones.values() for n in nodes if n != own),
        ),
    )
    direct = under_load(3)
    direct.run(6.0)
    between = relayed.bytes_between_zones["UsageTotals"] + relayed.bytes_between_zones["ZoneTotals"]
    assert between < 0.25 * direct.bytes_between_zones["UsageTotals"]


def refused_beside_the_dead(seed: int) -> tuple[World, float]:
    """Let a third of a zone die at once; return the part that the rest of it refuses of a tenant's usual."""
    world = World(90, seed)
    zone = [node for node in range(90) if world.zone(node) == "z5"]
    dead, alive = zone[::3], [node for node in zone if node not in zone[::3]]

    def die() -> None:
        world.dead.update(dead)

    world.at(4.0, die)
    world.load(Load(lambda now: 0.8 * RATE, lambda now: alive), 8.0)
    world.run(8.0)
    refused, admitted = world.refused(4.0, 8.0), world.admitted(4.0, 8.0)
    assert admitted > 0.0
    return world, refused / (refused + admitted)


@pytest.mark.parametrize("seed", range(1, 4))
def test_a_zone_whose_nodes_are_partly_gone_is_told_all_the_same(seed: int) -> None:
    """Until membership notices the dead, the rest keeps its part of the quota."""
    world, refused = refused_beside_the_dead(seed)
    assert refused <= 0.1
    assert world.excess() <= 0.1 * (8 * RATE + 112_000.0) + 190_000.0


def test_the_check_sees_a_zone_that_is_always_told_through_the_same_node(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        usage_exchange,
        "broadcast_totals",
        lambda totals, *rest: broadcast_totals(msgspec.structs.replace(totals, number=0), *rest),
    )
    assert refused_beside_the_dead(1)[1] > 0.1
