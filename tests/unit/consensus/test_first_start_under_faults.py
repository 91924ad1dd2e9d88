"""A first start ends in one group whatever strikes it, and never in two."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from springmux.coordination.consensus.founding import Founding
from springmux.coordination.consensus.settings import ConsensusSettings
from springmux.coordination.identifiers import NodeId
from tests.support.consensus_cluster import Cluster
from tests.support.founding_run import MACHINES_AND_FOUNDERS, FoundingRun

SEEDS = range(20)


def founding_run(size: tuple[int, int], seed: int, wipes: int = 0) -> FoundingRun:
    """Play a first start in which all founders but one, or fewer, were killed before their mark."""
    _machines, founders = size
    run = FoundingRun(seed, size, unmarked=seed % founders, wipes=wipes)
    run.run()
    return run


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("size", MACHINES_AND_FOUNDERS)
def test_first_start_ends_in_one_group_although_machines_were_killed_before_their_mark(
    size: tuple[int, int], seed: int
) -> None:
    """Guards against a fleet that waits for ever for a machine killed before its folder was marked."""
    assert founding_run(size, seed).founded_once()


def test_check_detects_a_founder_that_never_counts_machines_without_the_mark(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Founding, "_excludes_other_groups", lambda founding, founders: False)
    assert not founding_run((3, 3), 1).founded_once()


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("size", MACHINES_AND_FOUNDERS)
def test_wiped_machines_never_lead_to_a_second_group(size: tuple[int, int], seed: int) -> None:
    """Guards against two groups; ``Cluster`` fails a run if a second one applies an entry."""
    run = founding_run(size, seed, wipes=2)
    run.founded_once()
    assert len(run.cluster.groups_with_commits) <= 1


def groups_after_a_wipe_beside_a_live_group(
    known_nodes: Callable[[], frozenset[NodeId] | None] | None = None,
) -> int:
    """Cut off a wiped member with two machines that never joined; return how many groups commit entries.

    The three are as many as found a group, and neither of the two has heard of the other group.
    """
    cluster = Cluster(1, ())
    cluster.known_nodes = known_nodes or cluster.known_nodes
    cluster.first_start = True
    for node in ("a", "b", "c"):
        cluster.add(node)
    cluster.commit()
    cluster.cut_links = {frozenset((inside, outside)) for inside in "ab" for outside in "cde"}
    cluster.add("d")
    cluster.add("e")
    cluster.first_start = False
    cluster.wipe("c")
    cluster.run(30.0)
    return len({machine.status.group for machine in cluster.machines.values()} - {None})


def test_wiped_machine_founds_no_second_group_with_machines_that_never_joined_the_first() -> None:
    assert groups_after_a_wipe_beside_a_live_group() == 1


def test_wiped_machine_founds_no_second_group_while_some_nodes_may_be_unknown() -> None:
    assert groups_after_a_wipe_beside_a_live_group(lambda: None) == 1


def test_check_detects_a_list_of_known_nodes_without_those_of_the_first_group() -> None:
    with pytest.raises(AssertionError):
        assert groups_after_a_wipe_beside_a_live_group(lambda: frozenset(map(NodeId, "cde"))) == 1


def test_check_detects_a_founder_that_does_not_exclude_other_groups(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Founding, "_excludes_other_groups", lambda founding, founders: True)
    with pytest.raises(AssertionError):
        assert groups_after_a_wipe_beside_a_live_group() == 1


@pytest.mark.parametrize("marked", [0, 1, 2, 3])
def test_wiped_disks_found_nothing_while_the_rest_is_unreachable(marked: int) -> None:
    """Given five machines of which three founders remain reachable, only the first start's found a group."""
    cluster = Cluster(1, (), ConsensusSettings())
    cluster.cut_links = {frozenset((near, far)) for near in "abc" for far in "de"}
    cluster.first_start = True
    for node in "de":
        cluster.add(node)
    for number, node in enumerate("abc"):
        cluster.first_start = number < marked
        cluster.add(node)
    cluster.run(30.0)
    founded = {machine.status.group for machine in cluster.machines.values()} - {None}
    assert len(founded) == (1 if marked == 3 else 0)
