"""Nodes pause, restart and are partitioned during a tenant's load peak: its quota holds in every 8 s."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from springmux.coordination.usage.peer_tracker import PeerTracker
from springmux.coordination.usage.usage_exchange import UsageExchange
from tests.unit.usage.scenarios import SURGE_BEGIN_S, SURGE_END_S, schedule_partition, with_faults
from tests.unit.usage.world import World

NODES = 12
PERIOD_S = 2.0
PAUSE_S = 1.0
ROUNDS = 7
PARTITION_S = 10.0


def _repeat_on_all_nodes(world: World, fault: Callable[[int], None], period_s: float = PERIOD_S) -> None:
    for number in range(round(ROUNDS * PERIOD_S / period_s)):
        for node in range(NODES):
            at = SURGE_BEGIN_S + (number + 1) * period_s
            world.at(at, lambda node=node: fault(node))  # type: ignore[misc]


def all_restart_each_two_seconds(world: World) -> None:
    _repeat_on_all_nodes(world, world.start)


def all_restart_each_second(world: World) -> None:
    _repeat_on_all_nodes(world, world.start, 1.0)


def all_pause_each_two_seconds(world: World) -> None:
    def pause(node: int) -> None:
        world.paused.add(node)
        world.at(world.now + PAUSE_S, lambda: world.resume(node))

    _repeat_on_all_nodes(world, pause)


def partition_into_halves(world: World) -> None:
    schedule_partition(world, SURGE_BEGIN_S - 1.0, SURGE_BEGIN_S + PARTITION_S, list(range(NODES // 2)))


def excess(faults: Callable[[World], None]) -> float:
    """Return the tokens beyond the guaranteed bound in the worst 8 s; negative if within the bound."""
    world = with_faults(1, NODES, faults)
    assert world.admitted(SURGE_BEGIN_S, SURGE_END_S) > 0.0
    return world.excess() - world.allowance()


@pytest.mark.parametrize(
    "faults", [all_restart_each_two_seconds, all_pause_each_two_seconds, partition_into_halves]
)
def test_the_quota_holds(faults: Callable[[World], None]) -> None:
    assert excess(faults) <= 0.0


def test_the_quota_holds_while_all_nodes_restart_each_second() -> None:
    assert excess(all_restart_each_second) <= 0.0


def test_checker_detects_nodes_that_start_with_a_full_bucket(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(PeerTracker, "_is_starting", lambda contact, now: False)
    assert excess(all_restart_each_two_seconds) > 0.0


def test_checker_detects_nodes_that_refill_the_bucket_for_a_pause(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(UsageExchange, "_observe_time", lambda part, now: setattr(part, "_now", now))
    assert excess(all_pause_each_two_seconds) > 0.0


def test_checker_detects_two_halves_that_each_use_the_whole_quota(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(PeerTracker, "_partition_share", lambda contact, size: 1.0)
    assert excess(partition_into_halves) > 0.0
