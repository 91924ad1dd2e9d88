"""Successive loss of voters, loss of power and full disks lose no acknowledged command.

Each scenario ends with the site's own checker: every intact node has all acknowledged commands, there is one
group, and it accepts a new command.
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
REPAIR_TIME_S = 6.0
"""Time after which the group has five voters again (docs/notes/agreement.md)."""
DOWN_S = 0.6
FULL_S = 3.0
IN_FLIGHT_S = 0.2
LONGEST_PAUSE_S = 3.0
LOST = "acknowledged orders are missing"


def site_under_load(kind: tuple[dict[str, int], int, int]) -> Site:
    """Return a site in which an operator submits ten commands a second."""
    site = Site(kind, 1)
    site.start_and_elect_leader()
    site.start_orders()
    site.world.run_for(SETTLED_S)
    return site


def leader_of(site: Site) -> NodeId:
    leader = site.fleet.leader()
    assert leader is not None
    return leader


def cut_power_of_all_nodes(site: Site) -> None:
    nodes = [node for node in site.world.nodes() if node not in site.removed]
    site.power_cut(nodes)
    for node in nodes:
        site.restart_after(node, DOWN_S)
    site.world.run_for(DOWN_S)


def lose_a_second_voter_right_after_a_repair() -> float:
    """Lose two of five voters, then all power; return the longest time without an acknowledgement before."""
    site = site_under_load(SMALL_SIX)
    assert len(site.voters()) == 5
    begin = site.world.now
    wiped = sorted(site.voters() - {leader_of(site)})[0]
    site.kill(wiped)
    site.wipe(wiped)
    site.restart_after(wiped, DOWN_S)
    site.world.run_for(DOWN_S + REPAIR_TIME_S)
    site.remove(leader_of(site))
    site.world.run_for(SETTLED_S)
    site.remove(sorted(site.voters() - site.removed - {leader_of(site), wiped})[0])
    site.world.run_for(SETTLED_S)
    pause_s = site.longest_pause_s(begin)
    cut_power_of_all_nodes(site)
    site.check_recovered(within_s=12.0)
    return pause_s


def fill_disks_then_cut_power() -> int:
    """Fill two of three disks, then remove the third node; return the commands acknowledged in between."""
    site = site_under_load(SITE_B)
    *full_nodes, intact = sorted(site.voters())
    for node in full_nodes:
        site.world.apply(FullDisk(at=site.world.now, node=node))
    site.world.run_for(IN_FLIGHT_S)
    before = len(site.acknowledged)
    site.world.run_for(FULL_S)
    meanwhile = len(site.acknowledged) - before
    site.remove(intact)
    cut_power_of_all_nodes(site)
    for node in full_nodes:
        site.world.apply(FullDisk(at=site.world.now, node=node, full=False))
    site.check_recovered(within_s=12.0)
    return meanwhile


def test_a_second_voter_lost_right_after_a_repair_and_a_power_loss_lose_no_command() -> None:
    assert lose_a_second_voter_right_after_a_repair() < LONGEST_PAUSE_S


def test_checker_detects_disks_whose_fsync_does_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(MemoryFile, "fsync", lambda file: None)
    with pytest.raises(AssertionError, match=LOST):
        lose_a_second_voter_right_after_a_repair()


def test_full_disks_acknowledge_no_command() -> None:
    assert fill_disks_then_cut_power() == 0


def test_checker_detects_an_acknowledgement_with_a_full_disk(monkeypatch: pytest.MonkeyPatch) -> None:
    append = AppendedFile.append

    def append_what_fits(file: AppendedFile, data: bytes) -> None:
        with contextlib.suppress(DiskFullError):
            append(file, data)

    monkeypatch.setattr(AppendedFile, "append", append_what_fits)
    with pytest.raises(AssertionError, match=LOST):
        fill_disks_then_cut_power()
