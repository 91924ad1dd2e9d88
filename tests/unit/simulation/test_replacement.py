"""Machines with disks fail and are replaced in turn; no acknowledged order is lost, and orders continue.

A machine counts as lost until ``CATCH_UP_S`` after it is up again, or after its replacement's start; only
then may the next one be removed. All tests run in virtual time, with 0.5% of the messages lost.
"""

from __future__ import annotations

import pytest

from springmux.coordination.identifiers import NodeId
from unit.simulation.site import PROCESS_START_S, SITE_A, SITE_B, SMALL_SIX, Site

CATCH_UP_S = 4.0
CATCH_UP_LARGE_S = 6.0
REPLACEMENT_AFTER_S = 1.0
RESTART_AFTER_S = 0.6
FREEZE_S = 3.5
CUT_S = 5.0
ROLLING_GAP_S = 1.3
ORDER_DEADLINE_S = 4.0
LONGEST_PAUSE_S = 3.0
"""Maximum seconds without an acknowledgement during any of these disturbances."""
SEEDS = (1,)


def start_site_with_orders(kind: tuple[dict[str, int], int, int], seed: int) -> Site:
    site = Site(kind, seed)
    site.start_and_elect_leader()
    site.start_orders()
    site.world.run_for(2.0)
    return site


def start_s(site: Site) -> float:
    return site.random.uniform(*PROCESS_START_S)


def some_voter(site: Site, leader: bool) -> NodeId:
    """Return the leader, or a random other voter."""
    present = site.fleet.leader()
    if leader and present is not None:
        return present
    return site.random.choice(sorted(site.voters() - {present}))


def settle(site: Site, since: float, run_s: float = 4.0) -> float:
    """Run the site, check that no order is lost, and return its longest pause since ``since``."""
    site.world.run_for(run_s)
    pause_s = site.longest_pause_s(since)
    site.check_recovered()
    assert site.slowest_reply_s < ORDER_DEADLINE_S
    return pause_s


def wiped_then_another_removed(seed: int, leader: bool) -> float:
    site = start_site_with_orders(SITE_A, seed)
    begin = site.world.now
    wiped = some_voter(site, leader)
    site.kill(wiped)
    site.wipe(wiped)
    down_s = RESTART_AFTER_S + start_s(site)
    site.restart_after(wiped, down_s)
    site.world.run_for(down_s + CATCH_UP_S)
    site.remove(some_voter(site, leader=not leader))
    return settle(site, begin)


def replaced_in_turn(seed: int, leader: bool) -> float:
    site = start_site_with_orders(SITE_B, seed)
    begin = site.world.now
    for disk in _leader_first(site) if leader else list(site.disks):
        site.remove(disk)
        site.add_replacement(disk, REPLACEMENT_AFTER_S)
        site.world.run_for(REPLACEMENT_AFTER_S + CATCH_UP_S)
    return settle(site, begin)


def _leader_first(site: Site) -> list[NodeId]:
    return sorted(site.disks, key=lambda disk: disk != site.fleet.leader())


def replacement_first(seed: int, sigterm_after_s: float) -> float:
    site = start_site_with_orders(SITE_B, seed)
    begin = site.world.now
    for disk in list(site.disks):
        site.add_replacement(disk, 0.0)
        site.world.run_for(sigterm_after_s)
        site.decommission(disk)
        site.world.run_for(CATCH_UP_S - sigterm_after_s)
    return settle(site, begin)


def two_at_once(seed: int, leader: bool) -> float:
    site = start_site_with_orders(SMALL_SIX, seed)
    begin = site.world.now
    for _ in range(3):
        first = some_voter(site, leader)
        second = site.random.choice(sorted(site.voters() - {first, site.fleet.leader()}))
        for disk in (first, second):
            site.remove(disk)
            site.add_replacement(disk, REPLACEMENT_AFTER_S)
        site.world.run_for(REPLACEMENT_AFTER_S + CATCH_UP_LARGE_S)
    return settle(site, begin)


def frozen_in_turn(seed: int, leader: bool) -> float:
    site = start_site_with_orders(SITE_A, seed)
    begin = site.world.now
    for number in range(4):
        frozen = some_voter(site, leader and number % 2 == 0)
        site.freeze(frozen, FREEZE_S)
        site.world.run_for(FREEZE_S + CATCH_UP_S)
    lost = some_voter(site, leader)
    site.remove(lost)
    return settle(site, begin)


def frozen_then_replaced(seed: int) -> float:
    site = start_site_with_orders(SITE_B, seed)
    begin = site.world.now
    for disk in list(site.disks):
        site.freeze(disk, FREEZE_S)
        site.world.run_for(FREEZE_S + CATCH_UP_S)
        site.remove(disk)
        site.add_replacement(disk, REPLACEMENT_AFTER_S)
        site.world.run_for(REPLACEMENT_AFTER_S + CATCH_UP_S)
    return settle(site, begin)


def power_lost_after_acknowledgement(seed: int, kind: tuple[dict[str, int], int, int]) -> float:
    """Return the time from the restart of the last machine to the first acknowledgement."""
    site = start_site_with_orders(kind, seed)
    site.world.run_for(site.random.uniform(0.0, 3.0))
    count = len(site.acknowledged)
    site.submit_order()
    site.run_until(lambda: len(site.acknowledged) > count, 1.0)
    site.world.run_for(0.005)
    wiped = site.random.choice(site.disks)
    site.power_cut(site.world.nodes())
    site.wipe(wiped)
    latest_s = 0.0
    for node in site.world.nodes():
        down_s = RESTART_AFTER_S + site.random.uniform(0.0, 0.3) + start_s(site)
        latest_s = max(latest_s, down_s)
        site.restart_after(node, down_s)
    before = len(site.acknowledged)
    restarted = site.world.now + latest_s
    assert site.run_until(lambda: len(site.acknowledged) > before, 12.0)
    time_s = site.world.now - restarted
    settle(site, site.world.now)
    return time_s


def rolling_restart(seed: int, kind: tuple[dict[str, int], int, int]) -> float:
    site = start_site_with_orders(kind, seed)
    begin = site.world.now
    for disk in site.disks:
        site.stop(disk, duration_s=0.2)
        site.restart_after(disk, 1.0)
        site.world.run_for(ROLLING_GAP_S)
    return settle(site, begin)


def leader_cut_one_way(seed: int, outward: bool) -> float:
    """Return the time without acknowledgements at the other nodes."""
    site = start_site_with_orders(SITE_A, seed)
    leader = site.fleet.leader()
    assert leader is not None
    begin = site.world.now
    site.cut(leader, outward=outward, inward=not outward)
    site.world.run_for(CUT_S)
    pause_s = site.longest_pause_s(begin)
    site.heal()
    settle(site, begin)
    return pause_s


def leader_with_a_stalled_disk(seed: int) -> float:
    site = start_site_with_orders(SITE_A, seed)
    leader = site.fleet.leader()
    assert leader is not None
    begin = site.world.now
    site.stall(leader, CUT_S)
    return settle(site, begin)


SCENARIOS = {
    "wiped, another removed": lambda seed: wiped_then_another_removed(seed, leader=False),
    "wiped leader, another removed": lambda seed: wiped_then_another_removed(seed, leader=True),
    "three disks replaced in turn": lambda seed: replaced_in_turn(seed, leader=False),
    "three disks replaced in turn, the leader first": lambda seed: replaced_in_turn(seed, leader=True),
    "replacement first, SIGTERM after 0.3 s": lambda seed: replacement_first(seed, 0.3),
    "replacement first, SIGTERM after 3.5 s": lambda seed: replacement_first(seed, 3.5),
    "two of six removed together": lambda seed: two_at_once(seed, leader=False),
    "two of six removed together, with the leader": lambda seed: two_at_once(seed, leader=True),
    "frozen in turn": lambda seed: frozen_in_turn(seed, leader=False),
    "frozen leaders in turn": lambda seed: frozen_in_turn(seed, leader=True),
    "frozen, then replaced": frozen_then_replaced,
    "rolling restart of four": lambda seed: rolling_restart(seed, SITE_A),
    "rolling restart of three": lambda seed: rolling_restart(seed, SITE_B),
    "rolling restart of six": lambda seed: rolling_restart(seed, SMALL_SIX),
    "messages from the leader lost": lambda seed: leader_cut_one_way(seed, outward=True),
    "messages to the leader lost": lambda seed: leader_cut_one_way(seed, outward=False),
    "leader's disk stalls": leader_with_a_stalled_disk,
}


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", SCENARIOS)
def test_orders_continue_and_no_acknowledged_order_is_lost(name: str, seed: int) -> None:
    assert SCENARIOS[name](seed) < LONGEST_PAUSE_S


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("kind", [SITE_A, SITE_B, SMALL_SIX], ids=["four disks", "three disks", "six disks"])
def test_no_acknowledged_order_is_lost_after_a_power_loss_with_one_disk_wiped(
    kind: tuple[dict[str, int], int, int], seed: int
) -> None:
    assert power_lost_after_acknowledgement(seed, kind) < LONGEST_PAUSE_S
