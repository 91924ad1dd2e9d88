"""After a restart nodes with a disk rejoin the fleet that they knew, and acknowledge nothing before.

Guards against controllers that restart together, reach no other node and still acknowledge changes, and
against a fleet that can't rejoin because none of its seed addresses exists any more.
"""

from __future__ import annotations

import msgspec
import pytest

from springmux.coordination.identifiers import Address, NodeId
from springmux.coordination.membership.membership import Membership
from springmux.simulation.hollow_fleet import HollowFleet
from springmux.simulation.world.faults import CutNode, Heal, Kill, Restart, Wipe
from springmux.storage.peer_list import PeerList
from springmux.storage.replica_store import ReplicaStore
from tests.support.changing_operator import ChangingOperator
from tests.unit.agent.test_all_seeds_restarted import founded_fleet
from tests.unit.agent.test_gateway_readiness import serving_nodes
from unit.simulation.site import SITE_A, SITE_B, Site

ZONES = {"z1": 3, "z2": 3, "z3": 3, "z4": 3}
DISKS = 4
DOWN_S = 0.7
UNREACHED_S = 1.5
"""Time without contact; shorter than the time for which a restarted node looks for the peers that it knew."""
FOUND_WITHIN_S = 8.0
UNUSED_SEEDS = (Address("10.9.9.1:7000"), Address("10.9.9.2:7000"), Address("10.9.9.3:7000"))


def controllers_of(fleet: HollowFleet) -> list[NodeId]:
    return [place.node for place in fleet.places() if place.controller]


def restart_all(fleet: HollowFleet, nodes: list[NodeId]) -> None:
    for node in nodes:
        fleet.world.apply(Kill(at=fleet.world.now, node=node))
    fleet.world.run_for(DOWN_S)
    for node in nodes:
        fleet.world.apply(Restart(at=fleet.world.now, node=node))


def acknowledged_without_contact(seed: int) -> int:
    """Return how many changes controllers acknowledge that restarted together and reach no other node."""
    fleet = founded_fleet(ZONES, DISKS, seed)
    controllers = controllers_of(fleet)
    others = [place.node for place in fleet.places() if not place.controller]
    for node in others:
        fleet.world.apply(CutNode(at=fleet.world.now, node=node))
    restart_all(fleet, controllers)
    operator = ChangingOperator(fleet, version=1)
    for _ in range(round(UNREACHED_S / 0.1)):
        operator.submit(*controllers)
        fleet.world.run_for(0.1)
    acknowledged_alone = len(operator.acknowledged)
    fleet.world.apply(Heal(at=fleet.world.now))
    assert fleet.run_until(lambda: _acknowledges(operator, controllers, acknowledged_alone), FOUND_WITHIN_S)
    return acknowledged_alone


def _acknowledges(operator: ChangingOperator, controllers: list[NodeId], before: int) -> bool:
    operator.submit(*controllers)
    return len(operator.acknowledged) > before


@pytest.mark.parametrize("seed", range(5))
def test_controllers_that_all_restarted_acknowledge_nothing_without_the_other_nodes(seed: int) -> None:
    assert acknowledged_without_contact(seed) == 0


def test_check_detects_controllers_that_do_not_wait_for_known_peers(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Membership, "awaits_remembered_peers", lambda part, now: False)
    assert acknowledged_without_contact(0) > 0


def serves_again_without_seeds(seed: int) -> bool:
    """Restart all nodes with seed addresses that no node has; return whether all serve again in time."""
    fleet = founded_fleet(ZONES, DISKS, seed)
    fleet.seeds = UNUSED_SEEDS
    restart_all(fleet, [place.node for place in fleet.places()])
    found = fleet.run_until(fleet.all_ready, FOUND_WITHIN_S)
    return found and len(serving_nodes(fleet)) == len(fleet.places())


@pytest.mark.parametrize("seed", range(5))
def test_fleet_without_any_reachable_seed_serves_again_after_all_nodes_restarted(seed: int) -> None:
    assert serves_again_without_seeds(seed)


def test_check_detects_a_fleet_that_remembers_no_peers(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(PeerList, "load", lambda peer_list: ())
    assert not serves_again_without_seeds(0)


def founded_after_early_restarts(
    kind: tuple[dict[str, int], int, int], seed: int, early_count: int, before_mark: bool = False
) -> bool:
    """Restart controllers before their group is founded; return whether there is one group in time.

    :param before_mark: whether they are killed before they have written anything to their disks.
    """
    site = Site(kind, seed)
    founders = site.disks[: 2 * kind[2] + 1]
    early, later = founders[:early_count], founders[early_count:]
    for node in early:
        site.world.apply(Restart(at=0.0, node=node))
    site.world.run_for(0.05)
    for node in early:
        site.world.apply(Kill(at=site.world.now, node=node))
        if before_mark:
            site.world.apply(Wipe(at=site.world.now, node=node))
    site.world.run_for(0.5)
    for node in later:
        site.world.apply(Restart(at=site.world.now, node=node))
    site.fleet.first_start = False
    for node in early:
        site.world.apply(Restart(at=site.world.now, node=node))
    led = site.run_until(lambda: site.fleet.leader() is not None, FOUND_WITHIN_S)
    return led and len(site.groups()) == 1


@pytest.mark.parametrize("kind", [SITE_A, SITE_B], ids=["four disks", "three disks"])
@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("early_count", [1, 2, 3])
def test_controllers_restarted_before_their_group_was_founded_help_to_found_it(
    kind: tuple[dict[str, int], int, int], seed: int, early_count: int
) -> None:
    assert founded_after_early_restarts(kind, seed, early_count)


@pytest.mark.parametrize("kind", [SITE_A, SITE_B], ids=["four disks", "three disks"])
@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("early_count", [1, 2])
def test_controllers_killed_before_their_folder_was_marked_help_to_found_the_group(
    kind: tuple[dict[str, int], int, int], seed: int, early_count: int
) -> None:
    """Guards against a fleet without a group after one kill in the first moments of its first start."""
    assert founded_after_early_restarts(kind, seed, early_count, before_mark=True)


def test_check_detects_controllers_that_forget_their_first_start(monkeypatch: pytest.MonkeyPatch) -> None:
    opened = ReplicaStore.open
    monkeypatch.setattr(
        ReplicaStore, "open", lambda store: msgspec.structs.replace(opened(store), first_start=False)
    )
    assert not founded_after_early_restarts(SITE_B, 0, early_count=3)


def test_wiped_controller_does_not_count_as_part_of_the_first_start() -> None:
    site = Site(SITE_B, 1)
    site.start_and_elect_leader()
    node = site.disks[0]
    site.fleet.first_start = False
    site.world.apply(Kill(at=site.world.now, node=node))
    site.world.apply(Wipe(at=site.world.now, node=node))
    site.world.apply(Restart(at=site.world.now, node=node))

    assert site.run_until(lambda: site.fleet.agents()[node].ready, FOUND_WITHIN_S)
    assert not site.fleet.remembers_first_start(node)
