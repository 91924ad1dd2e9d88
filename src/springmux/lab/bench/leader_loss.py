"""Measures the time without a leader after the control group loses its leader."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from springmux.coordination.identifiers import NodeId
from springmux.lab.bench.metered_fleet import MeteredFleet
from springmux.simulation.world.faults import CutNode, Freeze, Heal, Kill, Restart, Thaw

POLL_INTERVAL_S = 0.02
ELECTION_TIMEOUT_S = 30.0
SETTLE_S = 3.0
"""Time between two losses in which the former leader returns and catches up."""


class LeaderLoss(msgspec.Struct, frozen=True):
    """Times without a leader, in seconds to the precision of the poll interval.

    ``failed``: number of losses without a new leader within 30 s.
    """

    kind: str
    gaps_s: tuple[float, ...]
    failed: int


def measure_leader_loss(fleet: MeteredFleet, kind: str, times: int) -> LeaderLoss:
    """Kill, freeze or partition the leader ``times`` times and bring it back each time.

    :raises ValueError: if ``kind`` is not ``kill``, ``freeze`` or ``cut``.
    """
    begin_fault, end_fault = _fault_actions(fleet, kind)
    gaps_s: list[float] = []
    failed = 0
    for _ in range(times):
        fleet.run_until(lambda: fleet.leader() is not None, ELECTION_TIMEOUT_S)
        former_leader = fleet.leader()
        if former_leader is None:
            failed += 1
            continue
        lost_at = fleet.world.now
        begin_fault(former_leader)
        if fleet.run_until(
            lambda former_leader=former_leader: _another_node_leads(fleet, former_leader),  # type: ignore[misc]
            ELECTION_TIMEOUT_S,
            POLL_INTERVAL_S,
        ):
            gaps_s.append(fleet.world.now - lost_at)
        else:
            failed += 1
        end_fault(former_leader)
        fleet.world.run_for(SETTLE_S)
    return LeaderLoss(kind, tuple(gaps_s), failed)


def _another_node_leads(fleet: MeteredFleet, former_leader: NodeId) -> bool:
    for member in fleet.places():
        agent = fleet.agent(member.node) if member.controller and member.node != former_leader else None
        if agent is not None and agent.status().leading:
            return True
    return False


def _fault_actions(
    fleet: MeteredFleet, kind: str
) -> tuple[Callable[[NodeId], None], Callable[[NodeId], None]]:
    world = fleet.world
    if kind == "kill":
        return (
            lambda node: world.apply(Kill(at=world.now, node=node)),
            lambda node: world.apply(Restart(at=world.now, node=node)),
        )
    if kind == "freeze":
        return (
            lambda node: world.apply(Freeze(at=world.now, node=node)),
            lambda node: world.apply(Thaw(at=world.now, node=node)),
        )
    if kind == "cut":
        return (
            lambda node: world.apply(CutNode(at=world.now, node=node)),
            lambda _node: world.apply(Heal(at=world.now)),
        )
    raise ValueError(f"unknown kind of leader loss: {kind!r}")
