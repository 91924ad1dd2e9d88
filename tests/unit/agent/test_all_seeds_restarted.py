"""All controllers, which are the seeds, restart at the same time while the other nodes keep running.

Guards against controllers and running nodes that rediscover each other too late, so that changes arrive late.
"""

from __future__ import annotations

import pytest

from springmux.coordination.identifiers import NodeId
from springmux.coordination.membership.dissemination import Disseminator
from springmux.simulation.hollow_fleet import HollowFleet, places_by_zone
from springmux.simulation.world.faults import Kill, Restart
from springmux.simulation.world.network import NetworkSettings
from springmux.storage.peer_list import PeerList
from tests.support.changing_operator import ChangingOperator, change
from tests.unit.agent.test_gateway_readiness import serving_nodes

DOWN_S = 0.7
CHANGES_S = 10.0
CHANGE_PERIOD_S = 0.25
STEP_S = 0.05
FIRST_NODE = NodeId("z1-1")


def founded_fleet(zones: dict[str, int], disks: int, seed: int) -> HollowFleet:
    fleet = HollowFleet(places_by_zone(zones, disks), seed, NetworkSettings(loss=0.003), losses_tolerated=1)
    fleet.world.start_all()
    assert fleet.run_until(lambda: fleet.leader() is not None, 10.0)
    fleet.first_start = False
    fleet.submit(FIRST_NODE, change(0))
    assert fleet.run_until(lambda: len(serving_nodes(fleet)) == len(fleet.places()), 5.0)
    fleet.world.run_for(2.0)
    return fleet


def versions_late_after_restart(zones: dict[str, int], disks: int, seed: int) -> list[str]:
    """Return the versions that were in force too late while all controllers restarted at the same time."""
    fleet = founded_fleet(zones, disks, seed)
    controllers = [place.node for place in fleet.places() if place.controller]
    for node in controllers:
        fleet.world.apply(Kill(at=fleet.world.now, node=node))
    fleet.world.run_for(DOWN_S)
    for node in controllers:
        fleet.world.apply(Restart(at=fleet.world.now, node=node))
    operator = ChangingOperator(fleet, version=1)
    late: list[str] = []
    for _ in range(round(CHANGES_S / CHANGE_PERIOD_S)):
        operator.submit()
        for _ in range(round(CHANGE_PERIOD_S / STEP_S)):
            fleet.world.run_for(STEP_S)
            due = operator.due(fleet.world.now)
            in_force = {node: agent.view.gateway.version for node, agent in fleet.agents().items()}
            late += [
                f"{node} has {version} instead of {due}"
                for node, version in in_force.items()
                if version < due
            ]
    assert len(operator.acknowledged) > CHANGES_S
    assert len(serving_nodes(fleet)) == len(fleet.places())
    return late


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    ("zones", "disks"),
    [
        ({"z1": 3, "z2": 3, "z3": 3}, 3),
        ({"z1": 3, "z2": 3, "z3": 3, "z4": 3}, 4),
        ({"z1": 10, "z2": 10, "z3": 10}, 3),
    ],
)
def test_changes_are_in_force_in_time_after_all_seeds_restarted_together(
    zones: dict[str, int], disks: int, seed: int
) -> None:
    assert versions_late_after_restart(zones, disks, seed) == []


def test_check_detects_that_suspects_do_not_learn_the_address_of_the_asking_node(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Disseminator, "_with_own_record", lambda disseminator, updates: updates)
    # The stored peers would be another way to find the fleet.
    monkeypatch.setattr(PeerList, "load", lambda peer_list: ())
    assert versions_late_after_restart({"z1": 3, "z2": 3, "z3": 3}, 3, 0)
