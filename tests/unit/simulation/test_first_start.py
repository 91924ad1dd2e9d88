"""First start of a site: processes that start in any order create exactly one group, within 2 s."""

from __future__ import annotations

import pytest

from springmux.simulation.world.faults import Restart
from unit.simulation.site import SITE_A, SITE_B, SMALL_SIX, Site

GROUP_CREATED_WITHIN_S = 2.0
"""Seconds after the start of the last process (docs/notes/agreement.md)."""
KINDS = [SITE_A, SITE_B, SMALL_SIX]
IDS = ["four disks", "three disks", "six disks"]


@pytest.mark.parametrize("loss", [0.0, 0.01])
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("kind", KINDS, ids=IDS)
def test_exactly_one_group_is_created_in_time(
    kind: tuple[dict[str, int], int, int], seed: int, loss: float
) -> None:
    site = Site(kind, seed, loss)

    assert site.start_and_elect_leader() < GROUP_CREATED_WITHIN_S

    site.start_orders()
    site.world.run_for(3.0)
    assert len(site.groups()) == 1
    assert len(site.voters()) == 2 * kind[2] + 1
    site.check_recovered()


def test_no_group_is_created_when_it_is_not_the_first_start() -> None:
    site = Site(SITE_A, 1)
    site.fleet.first_start = False
    site.start()

    site.world.run_for(30.0)

    assert site.groups() == set()


def test_a_node_that_starts_late_joins_the_existing_group() -> None:
    site = Site(SITE_A, 1)
    late = site.disks[0]
    for node in site.world.nodes():
        if node != late:
            site.at(0.1, Restart(at=0.1, node=node))
    assert site.run_until(lambda: site.fleet.leader() is not None, 5.0)
    site.fleet.first_start = False
    site.world.apply(Restart(at=site.world.now, node=late))

    def is_member() -> bool:
        replica = site.fleet.agents()[late].status().replica
        return replica is not None and replica.group is not None

    assert site.run_until(is_member, 2.0)
    assert len(site.groups()) == 1
    assert late not in site.voters()
