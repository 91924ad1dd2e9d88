"""Voters lost one after another, power lost and full disks: nothing acknowledged is lost.

Each story ends with the site's own checker: every sound node has all that was acknowledged, there is one
group, and it takes a new order.
"""

from __future__ import annotations

import contextlib

import pytest

from springmux.coordination.identifiers import NodeId
from springmux.simulation.world.faults import FullDisk
from springmux.storage.appended_file import AppendedFile
from springmux.storage.disk import DiskFullError
from springmux.storage.memory_disk import MemoryFile
from unit.simulation.site import SITE_B, SMALL_SIX, Site

SETTLED_S = 2.0
REPAIRED_AFTER_S = 6.0
"""Five voters are whole again by then (docs/notes/agreement.md)."""
DOWN_S = 0.6
FULL_S = 3.0
IN_FLIGHT_S = 0.2
LONGEST_PAUSE_S = 3.0
LOST = "acknowledged orders are missing"


def busy(kind: tuple[dict[str, int], int, int]) -> Site:
    """Return a site in which an operator gives ten orders a second."""
    site = Site(kind, 1)
    site.start_and_elect_leader()
    site.start_orders()
    site.world.run_for(SETTLED_S)
    return site


def leader_of(site: Site) -> NodeId:
    leader = site.fleet.leader()
    assert leader is not None
    return leader


def everything_loses_power(site: Site) -> None:
    nodes = [node for node in site.world.nodes() if node not in site.removed]
    site.power_cut(nodes)
    for node in nodes:
        site.restart_after(node, DOWN_S)
    site.world.run_for(DOWN_S)


def two_of_five_voters_with_the_second_right_after_a_repair() -> float:
    """Return the longest time without an acknowledgement before all power is lost."""
    site = busy(SMALL_SIX)
    assert len(site.voters()) == 5
    begin = site.world.now
    wiped = sorted(site.voters() - {leader_of(site)})[0]
    site.kill(wiped)
    site.wipe(wiped)
    site.restart_after(wiped, DOWN_S)
    site.world.run_for(DOWN_S + REPAIRED_AFTER_S)
    site.remove(leader_of(site))
    site.world.run_for(SETTLED_S)
    site.remove(sorted(site.voters() - site.removed - {leader_of(site), wiped})[0])
    site.world.run_for(SETTLED_S)
    pause_s = site.longest_pause_s(begin)
    everything_loses_power(site)
    site.check_recovered(within_s=12.0)
    return pause_s


def disks_are_full_then_power_is_lost() -> int:
    """Two of three disks are full, and the third goes; return the number of orders acknowledged meanwhile."""
    site = busy(SITE_B)
    *full, sound = sorted(site.voters())
    for node in full:
        site.world.apply(FullDisk(at=site.world.now, node=node))
    site.world.run_for(IN_FLIGHT_S)
    before = len(site.acknowledged)
    site.world.run_for(FULL_S)
    meanwhile = len(site.acknowledged) - before
    site.remove(sound)
    everything_loses_power(site)
    for node in full:
        site.world.apply(FullDisk(at=site.world.now, node=node, full=False))
    site.check_recovered(within_s=12.0)
    return meanwhile


def test_a_second_voter_lost_right_after_a_repair_and_all_power_lose_nothing() -> None:
    assert two_of_five_voters_with_the_second_right_after_a_repair() < LONGEST_PAUSE_S


def test_the_checker_sees_disks_that_only_say_that_they_wrote(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(MemoryFile, "fsync", lambda file: None)
    with pytest.raises(AssertionError, match=LOST):
        two_of_five_voters_with_the_second_right_after_a_repair()


def test_full_disks_acknowledge_nothing_that_is_lost() -> None:
    assert disks_are_full_then_power_is_lost() == 0


def test_the_checker_sees_an_acknowledgement_of_a_full_disk(monkeypatch: pytest.MonkeyPatch) -> None:
    append = AppendedFile.append

    def append_what_fits(file: AppendedFile, data: bytes) -> None:
        with contextlib.suppress(DiskFullError):
            append(file, data)

    monkeypatch.setattr(AppendedFile, "append", append_what_fits)
    with pytest.raises(AssertionError, match=LOST):
        disks_are_full_then_power_is_lost()
