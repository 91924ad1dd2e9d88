"""A node serves the gateway as soon as it has the newest configuration, even without a majority."""

from __future__ import annotations

import pytest

from springmux.agent.events import StopBegun
from springmux.agent.gateway_readiness import NO_CONFIGURATION, STOPPING
from springmux.coordination.identifiers import NodeId
from springmux.simulation.hollow_fleet import HollowFleet, places_by_zone
from springmux.simulation.world.faults import CutNode, Heal, Kill, PowerCut, Restart
from springmux.simulation.world.network import NetworkSettings
from tests.support.changing_operator import change

ZONES = {"z1": 3, "z2": 3, "z3": 3, "z4": 3}
DISKS = 4
TARGET_S = 0.8
"""Limit from the start of an agent until it serves the gateway, with running peers."""
ALL_NODES_TARGET_S = 2.0
STEP_S = 0.005


def serving_nodes(fleet: HollowFleet) -> list[NodeId]:
    return [node for node, agent in fleet.agents().items() if agent.gateway_ready]


def configured_fleet(seed: int = 1) -> HollowFleet:
    places = places_by_zone(ZONES, DISKS)
    fleet = HollowFleet(places, seed, NetworkSettings(loss=0.005), losses_tolerated=1)
    fleet.world.start_all()
    assert fleet.run_until(lambda: fleet.leader() is not None, 10.0)
    fleet.first_start = False
    assert not serving_nodes(fleet)
    fleet.submit(NodeId("z1-1"), change(0))
    assert fleet.run_until(lambda: len(serving_nodes(fleet)) == len(places), 5.0)
    return fleet


def seconds_until_serving(fleet: HollowFleet, node: NodeId) -> float:
    begin = fleet.world.now
    fleet.world.apply(Restart(at=begin, node=node))
    assert fleet.run_until(lambda: node in serving_nodes(fleet), 10.0, step_s=STEP_S)
    return fleet.world.now - begin


def test_fleet_without_a_configuration_serves_no_gateway() -> None:
    fleet = HollowFleet(places_by_zone(ZONES, DISKS), 1, losses_tolerated=1)
    fleet.world.start_all()
    assert fleet.run_until(fleet.all_ready, 10.0)

    assert {agent.gateway_reason for agent in fleet.agents().values()} == {NO_CONFIGURATION}


@pytest.mark.parametrize("node", ["z1-1", "z2-3"], ids=["with a disk", "without"])
@pytest.mark.parametrize("seed", range(3))
def test_restarted_node_soon_serves_again_with_the_newest_configuration(node: str, seed: int) -> None:
    fleet = configured_fleet(seed)
    fleet.world.apply(Kill(at=fleet.world.now, node=NodeId(node)))
    fleet.world.run_for(0.5)
    other = NodeId("z3-2")
    fleet.submit(other, change(1))
    assert fleet.run_until(lambda: fleet.agents()[other].view.gateway.version == 2, 5.0)

    assert seconds_until_serving(fleet, NodeId(node)) < TARGET_S

    assert fleet.agents()[NodeId(node)].view.gateway.version == 2


@pytest.mark.parametrize("seed", range(3))
def test_all_nodes_soon_serve_again_after_a_power_failure(seed: int) -> None:
    fleet = configured_fleet(seed)
    for node in fleet.world.nodes():
        fleet.world.apply(PowerCut(at=fleet.world.now, node=node))
    fleet.world.run_for(0.6)
    begin = fleet.world.now

    fleet.world.start_all()

    assert fleet.run_until(lambda: len(serving_nodes(fleet)) == len(fleet.places()), 10.0, step_s=STEP_S)
    assert fleet.world.now - begin < ALL_NODES_TARGET_S


def test_partitioned_node_keeps_serving() -> None:
    fleet = configured_fleet()
    node = NodeId("z2-3")
    fleet.world.apply(CutNode(at=fleet.world.now, node=node))
    fleet.world.run_for(10.0)
    assert not fleet.agents()[node].ready
    assert fleet.agents()[node].gateway_ready

    fleet.submit(NodeId("z1-1"), change(1))
    fleet.world.run_for(1.0)
    fleet.world.apply(Heal(at=fleet.world.now))
    assert fleet.run_until(lambda: fleet.agents()[node].view.gateway.version == 2, 3.0)
    assert fleet.agents()[node].gateway_ready


def test_node_that_starts_partitioned_has_no_configuration() -> None:
    fleet = configured_fleet()
    node = NodeId("z2-3")
    fleet.world.apply(Kill(at=fleet.world.now, node=node))
    fleet.world.apply(CutNode(at=fleet.world.now, node=node))
    fleet.world.apply(Restart(at=fleet.world.now, node=node))
    fleet.world.run_for(5.0)

    assert fleet.agents()[node].gateway_reason == NO_CONFIGURATION


def test_stopping_node_no_longer_serves() -> None:
    fleet = configured_fleet()
    fleet.world.deliver(NodeId("z1-1"), StopBegun())

    assert fleet.agents()[NodeId("z1-1")].gateway_reason == STOPPING
