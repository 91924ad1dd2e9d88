"""Distribution of totals: one message per zone reaches every node, and older totals are dropped."""

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
from tests.unit.usage.world import RATE, USUAL_DEMAND, WARM_UP_S, Load, World

ZONES = {ZoneName(f"z{zone}"): tuple(NodeId(f"z{zone}-{n}") for n in range(10)) for zone in range(3)}
OWN = NodeId("z0-0")
SUMS = (EngineLoad("e1", 3, 700),)


def totals(number: int, collector: NodeId = OWN, incarnation: int = 7) -> UsageTotals:
    return UsageTotals(0, (), SUMS, collector, incarnation, number)


def sent(effects: list[Effect]) -> list[Send]:
    return [effect for effect in effects if isinstance(effect, Send)]


def sequence_of(node: NodeId) -> int:
    return int(node[-1]) + 100


def test_each_other_zone_gets_one_message_and_the_own_zone_one_per_node() -> None:
    messages = sent(broadcast_totals(totals(1), ZONES, OWN, sequence_of))
    own_zone = [each for each in messages if each.to.startswith("z0")]
    assert {each.to for each in own_zone} == set(ZONES[ZoneName("z0")]) - {OWN}
    assert len(messages) == len(own_zone) + 2


def test_every_node_gets_the_totals_once_with_its_own_sequence() -> None:
    received: dict[NodeId, int] = {}
    for effect in sent(broadcast_totals(totals(1), ZONES, OWN, sequence_of)):
        if isinstance(effect.message, UsageTotals):
            received[effect.to] = effect.message.included
        elif isinstance(effect.message, ZoneTotals):
            for forwarded in sent(send_to_each(effect.message.totals, effect.message.receivers)):
                assert isinstance(forwarded.message, UsageTotals)
                received[forwarded.to] = forwarded.message.included
    assert received == {node: sequence_of(node) for nodes in ZONES.values() for node in nodes if node != OWN}


def test_each_round_has_another_relay() -> None:
    relays = [
        {
            effect.to
            for effect in sent(broadcast_totals(totals(number), ZONES, OWN, sequence_of))
            if effect.to[1] == "2"
        }
        for number in range(10)
    ]
    assert set().union(*relays) == set(ZONES[ZoneName("z2")])


def make_record(zone: int, number: int) -> NodeRecord:
    where = Address("h:1")
    replica = ReplicaId(f"r{zone}") if number == 0 else None
    return NodeRecord(NodeId(f"z{zone}-{number}"), ZoneName(f"z{zone}"), where, where, where, replica=replica)


def make_exchange(own: str) -> UsageExchange:
    exchange = UsageExchange(NodeId(own), random.Random(1))
    records = [make_record(zone, number) for zone in range(3) for number in range(10)]
    exchange.handle(AccountLimitsChanged({"t": AccountLimit(1000.0, 1000.0)}), 0.0)
    exchange.handle(UsageMembersChanged(MembershipView(NodeId(own), {r.node: r for r in records})), 0.0)
    return exchange


def test_a_relay_forwards_the_totals_and_applies_its_own() -> None:
    exchange = make_exchange("z2-5")
    collector = exchange._peer_tracker.collectors[0]
    receivers = tuple((node, 4) for node in ZONES[ZoneName("z2")])
    effects = sent(
        exchange.handle(MessageReceived(collector, ZoneTotals(totals(1, collector), receivers)), 2.0)
    )
    assert {effect.to for effect in effects} == set(ZONES[ZoneName("z2")]) - {NodeId("z2-5")}
    exchange.handle(Tick(), 2.0)
    assert exchange.other_engine_loads() == {"e1": (3.0, 700.0)}


def test_late_older_totals_are_dropped_but_not_those_of_a_new_incarnation() -> None:
    exchange = make_exchange("z2-5")
    collector = exchange._peer_tracker.collectors[0]

    def load_after(message: UsageTotals, requests: int) -> float:
        sums = (EngineLoad("e1", requests, 0),)
        message_with_load = UsageTotals(0, (), sums, collector, message.incarnation, message.number)
        exchange.handle(MessageReceived(NodeId("z2-1"), message_with_load), 2.0)
        exchange.handle(Tick(), 2.0)
        return exchange.other_engine_loads()["e1"][0]

    assert load_after(totals(5, collector), 5) == 5
    assert load_after(totals(4, collector), 4) == 5
    assert load_after(totals(6, collector), 6) == 6
    assert load_after(totals(1, collector, incarnation=8), 1) == 1


def make_loaded_world(seed: int, seconds: float = 6.0) -> World:
    world = World(90, seed)
    for node in range(0, 90, 3):
        for engine in range(30):
            at = WARM_UP_S + engine * 0.1
            world.at(at, lambda n=node, e=engine: world.exchanges[n].note_engine_load(f"engine-{e}", 1, 500))
    world.add_load(Load(lambda now: 2 * USUAL_DEMAND, lambda now: range(90)), seconds)
    return world


def test_relayed_totals_need_less_than_a_quarter_of_the_bytes_between_zones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    relayed = make_loaded_world(3)
    relayed.run(6.0)
    monkeypatch.setattr(
        usage_exchange,
        "broadcast_totals",
        lambda totals, zones, own, sequence_of: send_to_each(
            totals,
            tuple((n, sequence_of(n)) for nodes in zones.values() for n in nodes if n != own),
        ),
    )
    direct = make_loaded_world(3)
    direct.run(6.0)
    between = relayed.bytes_between_zones["UsageTotals"] + relayed.bytes_between_zones["ZoneTotals"]
    assert between < 0.25 * direct.bytes_between_zones["UsageTotals"]


def rejected_share_in_a_zone_with_dead_nodes(seed: int) -> tuple[World, float]:
    """Kill a third of a zone's nodes; return the fraction of a usual demand that its other nodes reject."""
    world = World(90, seed)
    zone = [node for node in range(90) if world.zone(node) == "z5"]
    dead, alive = zone[::3], [node for node in zone if node not in zone[::3]]

    def kill_nodes() -> None:
        world.dead.update(dead)

    world.at(4.0, kill_nodes)
    world.add_load(Load(lambda now: 0.8 * RATE, lambda now: alive), 8.0)
    world.run(8.0)
    rejected, admitted = world.rejected(4.0, 8.0), world.admitted(4.0, 8.0)
    assert admitted > 0.0
    return world, rejected / (rejected + admitted)


@pytest.mark.parametrize("seed", range(1, 4))
def test_a_zone_with_dead_nodes_still_receives_the_totals(seed: int) -> None:
    """The live nodes keep their share of the quota until membership drops the dead ones.

    A zone with a fixed relay would receive no totals while that relay is dead.
    """
    world, rejected = rejected_share_in_a_zone_with_dead_nodes(seed)
    assert rejected <= 0.1
    assert world.excess() <= 0.1 * (8 * RATE + 112_000.0) + 190_000.0


def test_the_rejected_share_detects_a_relay_that_never_changes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        usage_exchange,
        "broadcast_totals",
        lambda totals, *rest: broadcast_totals(msgspec.structs.replace(totals, number=0), *rest),
    )
    assert rejected_share_in_a_zone_with_dead_nodes(1)[1] > 0.1
