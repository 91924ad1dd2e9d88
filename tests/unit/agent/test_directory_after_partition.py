"""A node accepts requests after a partition only when it knows the missed changes of the directory."""

from __future__ import annotations

import pytest

from springmux.agent.events import EngineAnnounced, EngineDraining, EngineLeft
from springmux.coordination.identifiers import Address, NodeId, ZoneName
from springmux.simulation.hollow_fleet import HollowFleet, HollowPlace
from springmux.simulation.world.faults import CutNode, Heal
from springmux.vocabulary.engines import EngineRecord, EngineStatus
from springmux.vocabulary.names import EngineId, ServiceName, VersionName

ENGINE = EngineId("text-1")
PARTITIONED_NODE = NodeId("x")


def fleet_with_an_engine() -> HollowFleet:
    places = [HollowPlace(NodeId(name), ZoneName(name), controller=name != "x") for name in "abcx"]
    fleet = HollowFleet(places, seed=3)
    fleet.world.start_all()
    assert fleet.run_until(fleet.all_ready, 20)
    record = EngineRecord(
        ENGINE, ServiceName("text"), VersionName("v1"), Address("10.9.0.1:80"), 8, incarnation=1
    )
    fleet.world.deliver(NodeId("a"), EngineAnnounced(record))
    fleet.world.run_for(1)
    return fleet


def test_node_knows_of_a_missed_drain_before_it_is_ready_after_a_partition() -> None:
    fleet = fleet_with_an_engine()
    agent = fleet.agents()[PARTITIONED_NODE]
    fleet.world.apply(CutNode(at=fleet.world.now, node=PARTITIONED_NODE))
    fleet.world.run_for(5)
    assert not agent.ready
    fleet.world.deliver(NodeId("a"), EngineDraining(ENGINE))
    fleet.world.run_for(2)
    fleet.world.apply(Heal(at=fleet.world.now))

    def ready() -> bool:
        usable = agent.engines.engines[ENGINE].status is EngineStatus.READY
        assert not (agent.ready and usable)
        return agent.ready

    assert fleet.run_until(ready, 5, step_s=0.002)


DETECTION_S = 0.5
"""Less than the time in which a node notices that it lost contact."""
PARTITION_S = 5.0
KNOWN_WITHIN_S = 2.0
"""Time in which a change of the directory reaches every node."""


@pytest.mark.parametrize("told_after_s", [DETECTION_S, PARTITION_S], ids=["unnoticed cut", "noticed cut"])
@pytest.mark.parametrize("told", ["a", PARTITIONED_NODE])
@pytest.mark.parametrize(
    ("stop", "expected"),
    [(EngineDraining, EngineStatus.DRAINING), (EngineLeft, EngineStatus.LEFT)],
    ids=["drain", "leave"],
)
def test_stop_of_a_lost_engine_crosses_a_partition(
    stop: type[EngineDraining | EngineLeft], expected: EngineStatus, told: str, told_after_s: float
) -> None:
    """Guards against a lost engine that stays a last resort where its drain or leave was missed."""
    fleet = fleet_with_an_engine()
    agents = fleet.agents()

    def all_list(status: EngineStatus) -> bool:
        return all(agent.engines.engines[ENGINE].status is status for agent in agents.values())

    assert fleet.run_until(lambda: all_list(EngineStatus.LOST), 10)
    fleet.world.apply(CutNode(at=fleet.world.now, node=PARTITIONED_NODE))
    fleet.world.run_for(told_after_s)
    fleet.world.deliver(NodeId(told), stop(ENGINE, 1))
    fleet.world.run_for(PARTITION_S)
    assert not all_list(expected)
    fleet.world.apply(Heal(at=fleet.world.now))
    assert fleet.run_until(lambda: fleet.agents()[PARTITIONED_NODE].ready, 5)
    assert fleet.run_until(lambda: all_list(expected), KNOWN_WITHIN_S)


def test_nodes_become_ready_after_a_partition_even_if_no_directory_is_known_to_be_complete() -> None:
    fleet = fleet_with_an_engine()
    agents = fleet.agents()
    for node in agents:
        fleet.world.apply(CutNode(at=fleet.world.now, node=node))
    fleet.world.run_for(5)
    assert not any(agent.ready for agent in agents.values())
    fleet.world.apply(Heal(at=fleet.world.now))

    assert fleet.run_until(fleet.all_ready, 6)
