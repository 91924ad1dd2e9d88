"""Time without a leader after the control group loses its leader."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from springmux.coordination.identifiers import NodeId
from springmux.lab.bench.metered_fleet import MeteredFleet
from springmux.simulation.world.faults import CutNode, Freeze, Heal, Kill, Restart, Thaw

POLL_S = 0.02
ELECTION_TIMEOUT_S = 30.0
SETTLE_S = 3.0
"""Between two losses, for the former leader to return and catch up."""


class LeaderLoss(msgspec.Struct, frozen=True):
    """Times without a leader (seconds, in the poll's steps); ``failed``: none within 30 s."""

    kind: str
    gaps_s: tuple[float, ...]
    failed: int


def lose_leader(fleet: MeteredFleet, kind: str, times: int) -> LeaderLoss:
    """Kill, freeze or partition the leader ``times`` times; it returns after each.

    :raises ValueError: for another ``kind``.
    """
    begin, end = _faults(fleet, kind)
    gaps_s: list[float] = []
    failed = 0
    for _ in range(times):
        fleet.run_until(lambda: fleet.leader() is not None, ELECTION_TIMEOUT_S)
        old = fleet.leader()
        if old is None:
            failed += 1
            continue
        lost_at = fleet.world.now
        begin(old)
        if fleet.run_until(lambda old=old: _another_leads(fleet, old), ELECTION_TIMEOUT_S, POLL_S):  # type: ignore[misc]
            gaps_s.append(fleet.world.now - lost_at)
        else:
            failed += 1
        end(old)
        fleet.world.run_for(SETTLE_S)
    return LeaderLoss(kind, tuple(gaps_s), failed)


def _another_leads(fleet: MeteredFleet, old: NodeId) -> bool:
    for member in fleet.places():
        agent = fleet.agent(member.node) if member.controller and member.node != old else None
        if agent is not None and agent.status().leading:
            return True
    return False


def _faults(fleet: MeteredFleet, kind: str) -> tuple[Callable[[NodeId], None], Callable[[NodeId], None]]:
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
    raise ValueError(f"unknown loss {kind!r}")
