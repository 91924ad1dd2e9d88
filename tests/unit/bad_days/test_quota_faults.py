"""Nodes that freeze, restart and are cut apart while a tenant swells: its quota holds in every 8 s."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from springmux.coordination.usage.peer_tracker import PeerTracker
from springmux.coordination.usage.usage_exchange import UsageExchange
from tests.unit.usage.scenarios import SWELL_AT, SWELL_END, cut, with_faults
from tests.unit.usage.world import World

NODES = 12
PERIOD_S = 2.0
FROZEN_S = 1.0
ROUNDS = 7
CUT_S = 10.0


def _rounds(world: World, fault: Callable[[int], None], period_s: float = PERIOD_S) -> None:
    for number in range(round(ROUNDS * PERIOD_S / period_s)):
        for node in range(NODES):
            at = SWELL_AT + (number + 1) * period_s
            world.at(at, lambda node=node: fault(node))  # type: ignore[misc]


def all_restart_each_two_seconds(world: World) -> None:
    _rounds(world, world.start)


def all_restart_each_second(world: World) -> None:
    _rounds(world, world.start, 1.0)


def all_freeze_each_two_seconds(world: World) -> None:
    def freeze(node: int) -> None:
        world.frozen.add(node)
        world.at(world.now + FROZEN_S, lambda: world.thaw(node))

    _rounds(world, freeze)


def two_halves_apart(world: World) -> None:
    cut(world, SWELL_AT - 1.0, SWELL_AT + CUT_S, list(range(NODES // 2)))


def excess(faults: Callable[[World], None]) -> float:
    """Return the tokens beyond the promise in the worst 8 s (negative: none)."""
    world = with_faults(1, NODES, faults)
    assert world.admitted(SWELL_AT, SWELL_END) > 0.0
    return world.excess() - world.allowance()


@pytest.mark.parametrize(
    "faults", [all_restart_each_two_seconds, all_freeze_each_two_seconds, two_halves_apart]
)
def test_the_quota_holds(faults: Callable[[World], None]) -> None:
    assert excess(faults) <= 0.0


def test_the_quota_holds_while_all_nodes_restart_each_second() -> None:
    assert excess(all_restart_each_second) <= 0.0


def test_the_checker_sees_nodes_that_start_with_a_whole_bucket(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(PeerTracker, "_is_starting", lambda contact, now: False)
    assert excess(all_restart_each_two_seconds) > 0.0


def test_the_checker_sees_nodes_that_take_a_freeze_for_refill(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(UsageExchange, "_observe_time", lambda part, now: setattr(part, "_now", now))
    assert excess(all_freeze_each_two_seconds) > 0.0


def test_the_checker_sees_two_halves_that_take_the_whole_each(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(PeerTracker, "_partition_share", lambda contact, size: 1.0)
    assert excess(two_halves_apart) > 0.0
