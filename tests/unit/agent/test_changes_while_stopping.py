"""Stopping nodes finish requests for seconds; until they have left they receive every change in time.

Guards against nodes that leave too early, or are omitted from pushes, and then serve an old configuration.
"""

from __future__ import annotations

from collections import Counter

import pytest

from springmux.agent.agent import NodeAgent
from springmux.agent.events import StopBegun, StopFinished
from springmux.control.delivery.arrival import DeliveryMethod
from springmux.coordination.identifiers import NodeId
from springmux.coordination.membership.events import LeaveBegun
from springmux.coordination.membership.view import MembershipView, NodeStatus
from springmux.coordination.state_machine import Effect
from springmux.simulation.hollow_fleet import HollowFleet
from tests.support.changing_operator import ChangingOperator
from tests.unit.agent.test_all_seeds_restarted import (
    CHANGE_PERIOD_S,
    FIRST_NODE,
    STEP_S,
    founded_fleet,
)

ZONES = {"z1": 10, "z2": 10, "z3": 10}
STOPPING = tuple(NodeId(f"z{zone}-{number}") for zone in (1, 2, 3) for number in (2, 4, 6, 8))
STOP_ANNOUNCED_S = 0.5
"""Time until all nodes know which nodes are stopping."""
STOP_S = 8.0
"""Time between the platform's request to stop and its kill of the process."""


def stopping_fleet(seed: int) -> HollowFleet:
    fleet = founded_fleet(ZONES, 3, seed)
    for node in STOPPING:
        fleet.world.deliver(node, StopBegun())
    fleet.world.run_for(STOP_ANNOUNCED_S)
    return fleet


class StoppingRun:
    """Changes that a node which stays submits while others stop."""

    def __init__(self, fleet: HollowFleet) -> None:
        self.fleet = fleet
        self.late: list[str] = []
        """Versions that came into force too late at stopping nodes."""
        self.changes = round(STOP_S / CHANGE_PERIOD_S)
        self.pushed: Counter[NodeId] = Counter()
        """Number of changes that arrived at each stopping node by a push."""

    def play(self) -> StoppingRun:
        """Submit all changes."""
        operator = ChangingOperator(self.fleet, version=1)
        for _ in range(self.changes):
            self._play_change(operator)
        assert len(operator.acknowledged) > STOP_S
        return self

    def _play_change(self, operator: ChangingOperator) -> None:
        operator.submit(FIRST_NODE)
        for _ in range(round(CHANGE_PERIOD_S / STEP_S)):
            self.fleet.world.run_for(STEP_S)
            due = operator.due(self.fleet.world.now)
            versions = {node: agent.view.gateway.version for node, agent in self.fleet.agents().items()}
            self.late += [f"{n} has {versions[n]} instead of {due}" for n in STOPPING if versions[n] < due]
        for node in STOPPING:
            arrival = self.fleet.agents()[node].newest_arrival
            self.pushed[node] += arrival is not None and arrival.method is DeliveryMethod.PUSH

    def nodes_without_pushes(self) -> list[NodeId]:
        """Return the stopping nodes that got at most half of the changes by a push.

        A node that hears of a change before its push arrives may fetch it, so some arrive by a transfer.
        """
        return [node for node in STOPPING if self.pushed[node] <= self.changes / 2]


@pytest.mark.parametrize("seed", [2, 3, 4])
def test_stopping_node_has_each_change_in_time_until_it_has_left(seed: int) -> None:
    run = StoppingRun(stopping_fleet(seed)).play()
    assert run.late == []
    assert run.nodes_without_pushes() == []


def leave_immediately(agent: NodeAgent, event: StopBegun, now: float) -> list[Effect]:
    return agent._dispatcher.deliver(agent._components.membership, LeaveBegun(), now)


def test_check_detects_nodes_that_leave_when_they_start_to_stop(monkeypatch: pytest.MonkeyPatch) -> None:
    """Such nodes get no pushes. They fetch changes in time, since they ask the controllers for contact."""
    monkeypatch.setattr(NodeAgent, "_on_stop", leave_immediately)
    for seed in (2, 3, 4):
        assert StoppingRun(stopping_fleet(seed)).play().nodes_without_pushes() == list(STOPPING)


def test_check_detects_pushes_that_omit_stopping_nodes(monkeypatch: pytest.MonkeyPatch) -> None:
    present = MembershipView.present
    monkeypatch.setattr(
        MembershipView, "present", lambda view: [record for record in present(view) if not record.leaving]
    )
    assert StoppingRun(stopping_fleet(3)).play().nodes_without_pushes()


def test_stopping_node_gives_up_its_duties_immediately_and_is_present_until_it_has_finished() -> None:
    fleet = founded_fleet({"z1": 3, "z2": 3, "z3": 3}, 3, 1)
    node, other = NodeId("z2-2"), NodeId("z3-3")
    fleet.world.deliver(node, StopBegun())
    fleet.world.run_for(STOP_ANNOUNCED_S)
    view = fleet.agents()[other].membership
    assert node in {record.node for record in view.present()}
    assert node not in {record.node for record in view.not_leaving()}

    fleet.world.deliver(node, StopFinished())
    fleet.world.run_for(STOP_ANNOUNCED_S)
    view = fleet.agents()[other].membership
    assert view.nodes[node].status is NodeStatus.LEFT
    assert node not in {record.node for record in view.present()}


def test_stopping_controller_neither_founds_a_group_nor_holds_claims() -> None:
    fleet = founded_fleet({"z1": 3, "z2": 3, "z3": 3}, 3, 1)
    node = NodeId("z2-1")
    fleet.world.deliver(node, StopBegun())
    fleet.world.run_for(STOP_ANNOUNCED_S)
    for agent in fleet.agents().values():
        assert node not in {record.node for record in agent.membership.controllers()}
