"""Machines with disks are lost and replaced in turn; nothing acknowledged is lost, and orders go on.

A machine counts as lost until ``CATCH_UP_S`` after it is up again, or after its successor's start; then the
next one may go for good. All in virtual time, with 0.5% of the messages lost.
"""

from __future__ import annotations

import pytest

from springmux.coordination.identifiers import NodeId
from unit.simulation.site import COMES_UP_S, SITE_A, SITE_B, SMALL_SIX, Site

CATCH_UP_S = 4.0
CATCH_UP_LARGE_S = 6.0
SUCCESSOR_AFTER_S = 1.0
RESTART_AFTER_S = 0.6
FREEZE_S = 3.5
CUT_S = 5.0
ROLLING_GAP_S = 1.3
ORDER_TERM_S = 4.0
LONGEST_PAUSE_S = 3.0
"""Without an acknowledgement, after any one of these disturbances."""
SEEDS = (1,)


def busy(kind: tuple[dict[str, int], int, int], seed: int) -> Site:
    site = Site(kind, seed)
    site.found()
    site.write()
    site.world.run_for(2.0)
    return site


def up_s(site: Site) -> float:
    return site.random.uniform(*COMES_UP_S)


def some_voter(site: Site, leader: bool) -> NodeId:
    """A voter that runs: the leader, or any other."""
    present = site.fleet.leader()
    if leader and present is not None:
        return present
    return site.random.choice(sorted(site.voters() - {present}))


def calm_down(site: Site, since: float, run_s: float = 4.0) -> float:
    """Let the site go on, check that nothing is lost, and return its longest pause."""
    site.world.run_for(run_s)
    pause_s = site.longest_gap_s(since)
    site.check_whole()
    assert site.slowest_s < ORDER_TERM_S
    return pause_s


def wiped_then_another_gone(seed: int, leader: bool) -> float:
    site = busy(SITE_A, seed)
    begin = site.world.now
    wiped = some_voter(site, leader)
    site.kill(wiped)
    site.wipe(wiped)
    back_s = RESTART_AFTER_S + up_s(site)
    site.back(wiped, back_s)
    site.world.run_for(back_s + CATCH_UP_S)
    site.remove(some_voter(site, leader=not leader))
    return calm_down(site, begin)


def replaced_in_turn(seed: int, leader: bool) -> float:
    site = busy(SITE_B, seed)
    begin = site.world.now
    for disk in _leader_first(site) if leader else list(site.disks):
        site.remove(disk)
        site.successor(disk, SUCCESSOR_AFTER_S)
        site.world.run_for(SUCCESSOR_AFTER_S + CATCH_UP_S)
    return calm_down(site, begin)


def _leader_first(site: Site) -> list[NodeId]:
    return sorted(site.disks, key=lambda disk: disk != site.fleet.leader())


def successor_first(seed: int, sigterm_after_s: float) -> float:
    site = busy(SITE_B, seed)
    begin = site.world.now
    for disk in list(site.disks):
        site.successor(disk, 0.0)
        site.world.run_for(sigterm_after_s)
        site.retire(disk)
        site.world.run_for(CATCH_UP_S - sigterm_after_s)
    return calm_down(site, begin)


def two_at_once(seed: int, leader: bool) -> float:
    site = busy(SMALL_SIX, seed)
    begin = site.world.now
    for _ in range(3):
        first = some_voter(site, leader)
        second = site.random.choice(sorted(site.voters() - {first, site.fleet.leader()}))
        for disk in (first, second):
            site.remove(disk)
            site.successor(disk, SUCCESSOR_AFTER_S)
        site.world.run_for(SUCCESSOR_AFTER_S + CATCH_UP_LARGE_S)
    return calm_down(site, begin)


def frozen_in_turn(seed: int, leader: bool) -> float:
    site = busy(SITE_A, seed)
    begin = site.world.now
    for number in range(4):
        frozen = some_voter(site, leader and number % 2 == 0)
        site.freeze(frozen, FREEZE_S)
        site.world.run_for(FREEZE_S + CATCH_UP_S)
    lost = some_voter(site, leader)
    site.remove(lost)
    return calm_down(site, begin)


def frozen_then_replaced(seed: int) -> float:
    site = busy(SITE_B, seed)
    begin = site.world.now
    for disk in list(site.disks):
        site.freeze(disk, FREEZE_S)
        site.world.run_for(FREEZE_S + CATCH_UP_S)
        site.remove(disk)
        site.successor(disk, SUCCESSOR_AFTER_S)
        site.world.run_for(SUCCESSOR_AFTER_S + CATCH_UP_S)
    return calm_down(site, begin)


def power_lost_after_acknowledgement(seed: int, kind: tuple[dict[str, int], int, int]) -> float:
    """Return the time from the restart of the last machine to the first acknowledgement."""
    site = busy(kind, seed)
    site.world.run_for(site.random.uniform(0.0, 3.0))
    count = len(site.acknowledged)
    site.give_order()
    site.run_until(lambda: len(site.acknowledged) > count, 1.0)
    site.world.run_for(0.005)
    wiped = site.random.choice(site.disks)
    site.power_cut(site.world.nodes())
    site.wipe(wiped)
    latest_s = 0.0
    for node in site.world.nodes():
        back_s = RESTART_AFTER_S + site.random.uniform(0.0, 0.3) + up_s(site)
        latest_s = max(latest_s, back_s)
        site.back(node, back_s)
    before = len(site.acknowledged)
    restarted = site.world.now + latest_s
    assert site.run_until(lambda: len(site.acknowledged) > before, 12.0)
    time_s = site.world.now - restarted
    calm_down(site, site.world.now)
    return time_s


def rolling_restart(seed: int, kind: tuple[dict[str, int], int, int]) -> float:
    site = busy(kind, seed)
    begin = site.world.now
    for disk in site.disks:
        site.stop(disk, takes_s=0.2)
        site.back(disk, 1.0)
        site.world.run_for(ROLLING_GAP_S)
    return calm_down(site, begin)


def leader_cut_one_way(seed: int, outward: bool) -> float:
    """Return the time without acknowledgements at the other nodes."""
    site = busy(SITE_A, seed)
    leader = site.fleet.leader()
    assert leader is not None
    begin = site.world.now
    site.cut(leader, outward=outward, inward=not outward)
    site.world.run_for(CUT_S)
    pause_s = site.longest_gap_s(begin)
    site.heal()
    calm_down(site, begin)
    return pause_s


def leader_with_a_stalled_disk(seed: int) -> float:
    site = busy(SITE_A, seed)
    leader = site.fleet.leader()
    assert leader is not None
    begin = site.world.now
    site.stall(leader, CUT_S)
    return calm_down(site, begin)


SCENARIOS = {
    "wiped, another gone": lambda seed: wiped_then_another_gone(seed, leader=False),
    "wiped leader, another gone": lambda seed: wiped_then_another_gone(seed, leader=True),
    "three disks replaced in turn": lambda seed: replaced_in_turn(seed, leader=False),
    "three disks replaced in turn, the leader first": lambda seed: replaced_in_turn(seed, leader=True),
    "successor first, SIGTERM after 0.3 s": lambda seed: successor_first(seed, 0.3),
    "successor first, SIGTERM after 3.5 s": lambda seed: successor_first(seed, 3.5),
    "two of six at once": lambda seed: two_at_once(seed, leader=False),
    "two of six at once with the leader": lambda seed: two_at_once(seed, leader=True),
    "frozen in turn": lambda seed: frozen_in_turn(seed, leader=False),
    "frozen leaders in turn": lambda seed: frozen_in_turn(seed, leader=True),
    "frozen, then replaced": frozen_then_replaced,
    "rolling restart of four": lambda seed: rolling_restart(seed, SITE_A),
    "rolling restart of three": lambda seed: rolling_restart(seed, SITE_B),
    "rolling restart of six": lambda seed: rolling_restart(seed, SMALL_SIX),
    "leader not heard": lambda seed: leader_cut_one_way(seed, outward=True),
    "leader hears nothing": lambda seed: leader_cut_one_way(seed, outward=False),
    "leader's disk stalls": leader_with_a_stalled_disk,
}


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", SCENARIOS)
def test_orders_go_on_and_nothing_acknowledged_is_lost(name: str, seed: int) -> None:
    assert SCENARIOS[name](seed) < LONGEST_PAUSE_S


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("kind", [SITE_A, SITE_B, SMALL_SIX], ids=["four disks", "three disks", "six disks"])
def test_power_loss_of_everything_with_one_disk_wiped(
    kind: tuple[dict[str, int], int, int], seed: int
) -> None:
    assert power_lost_after_acknowledgement(seed, kind) < LONGEST_PAUSE_S
