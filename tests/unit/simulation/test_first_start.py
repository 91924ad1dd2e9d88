"""The first start of a site: processes that come up in any order found exactly one group, and soon."""

from __future__ import annotations

import pytest

from springmux.simulation.world.faults import Restart
from unit.simulation.site import SITE_A, SITE_B, SMALL_SIX, Site

FOUNDED_WITHIN_S = 2.0
"""After the last process came up. Measured: docs/notes/agreement.md."""
KINDS = [SITE_A, SITE_B, SMALL_SIX]
IDS = ["four disks", "three disks", "six disks"]


@pytest.mark.parametrize("loss", [0.0, 0.01])
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("kind", KINDS, ids=IDS)
def test_one_group_is_founded_soon(kind: tuple[dict[str, int], int, int], seed: int, loss: float) -> None:
    site = Site(kind, seed, loss)

    assert site.found() < FOUNDED_WITHIN_S

    site.write()
    site.world.run_for(3.0)
    assert len(site.groups()) == 1
    assert len(site.voters()) == 2 * kind[2] + 1
    site.check_whole()


def test_a_system_that_is_not_at_its_first_start_founds_nothing() -> None:
    site = Site(SITE_A, 1)
    site.fleet.first_start = False
    site.start()

    site.world.run_for(30.0)

    assert site.groups() == set()


def test_a_machine_that_starts_long_after_the_others_joins_their_group() -> None:
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
