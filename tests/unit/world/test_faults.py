"""Fault schedules: generation from a seed, JSON, and shrinking to the faults that cause a failure."""

from __future__ import annotations

from typing import get_args

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from springmux.coordination.identifiers import NodeId, ZoneName
from springmux.simulation.world.faults import (
    AnyFault,
    ClockJump,
    CutNode,
    FaultSchedule,
    FaultSettings,
    Freeze,
    FullDisk,
    Heal,
    Kill,
    PowerCut,
    Restart,
    ScheduleGenerator,
    SlowDisk,
    StallDisk,
    Wipe,
)
from springmux.simulation.world.shrink import minimize, shrink_schedule

ZONES = {NodeId(name): ZoneName(name[0]) for name in ("a1", "a2", "b1", "b2")}
DISK_FAULTS = (PowerCut, Wipe, SlowDisk, StallDisk, FullDisk)


def generator(**changes: float) -> ScheduleGenerator:
    return ScheduleGenerator(ZONES, [NodeId("a1")], FaultSettings(**changes))


def test_a_seed_gives_one_schedule_sorted_by_time() -> None:
    schedule = generator(count=50).generate(5)
    assert schedule == generator(count=50).generate(5)
    assert schedule != generator(count=50).generate(6)
    times = [fault.at for fault in schedule.faults]
    assert times == sorted(times)


def test_disk_faults_hit_only_nodes_with_a_disk_and_every_kind_is_generated() -> None:
    faults = generator(count=400).generate(1).faults
    assert {type(fault) for fault in faults} == set(get_args(AnyFault))
    assert {fault.node for fault in faults if isinstance(fault, DISK_FAULTS)} == {NodeId("a1")}


def test_kinds_of_weight_zero_are_not_generated() -> None:
    nodes = {
        "kill": 0,
        "partition_node": 0,
        "partition_zone": 0,
        "partition_pair": 0,
        "power_cut": 0,
        "wipe": 0,
    }
    disks = {"slow_disk": 0, "stall_disk": 0, "full_disk": 0, "freeze": 0}
    assert {type(fault) for fault in generator(**nodes, **disks).generate(1).faults} == {ClockJump}


def test_a_schedule_round_trips_through_json_and_an_invalid_one_is_rejected() -> None:
    schedule = generator(count=100).generate(2)
    assert FaultSchedule.from_json(schedule.to_json()) == schedule
    with pytest.raises(msgspec.ValidationError):
        FaultSchedule.from_json(b'{"seed": 1, "faults": [{"type": "Earthquake", "at": 1.0}]}')


def test_a_failing_schedule_shrinks_to_the_two_faults_that_cause_the_failure() -> None:
    schedule = generator(count=60).generate(3)
    kill = next(fault for fault in schedule.faults if isinstance(fault, Kill))
    freeze = next(fault for fault in schedule.faults if isinstance(fault, Freeze))
    runs = 0

    def fails(candidate: FaultSchedule) -> bool:
        nonlocal runs
        runs += 1
        return kill in candidate.faults and freeze in candidate.faults

    smallest = shrink_schedule(schedule, fails)
    assert smallest == FaultSchedule(3, tuple(f for f in schedule.faults if f in (kill, freeze)))
    assert runs < 150


def test_shrinking_rejects_a_schedule_that_does_not_fail() -> None:
    schedule = FaultSchedule(1, (CutNode(at=1.0, node=NodeId("a1")), Heal(at=2.0)))
    with pytest.raises(ValueError, match="does not fail"):
        shrink_schedule(schedule, lambda _: False)
    assert shrink_schedule(schedule, lambda _: True).faults == ()


@settings(derandomize=True, max_examples=200)
@given(needed=st.sets(st.integers(0, 39), max_size=6))
def test_shrinking_finds_exactly_the_needed_items(needed: set[int]) -> None:
    found = minimize(range(40), lambda items: needed <= set(items))
    assert found == sorted(needed)


def test_every_killed_node_is_restarted() -> None:
    faults = generator(count=80).generate(4).faults
    kills = [fault.node for fault in faults if isinstance(fault, Kill | PowerCut)]
    restarts = [fault.node for fault in faults if isinstance(fault, Restart)]
    assert sorted(kills) == sorted(restarts)
