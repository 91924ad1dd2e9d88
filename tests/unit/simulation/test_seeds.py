"""Nodes that start with useless seeds join the fleet, because the fleet remembers them.

Guards against a restarted node that stays alone: its seeds name only itself, or an address without a
listener, so it depends on the other nodes to contact it.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest

from springmux.coordination.identifiers import Address, NodeId
from springmux.coordination.membership.dissemination import Disseminator
from springmux.coordination.membership.joining import Joiner
from springmux.coordination.membership.membership import Membership
from springmux.coordination.membership.view import NodeRecord
from springmux.coordination.state_machine import Effect
from springmux.simulation.world.faults import Kill, Restart
from springmux.storage.peer_list import PeerList
from unit.simulation.site import SITE_A, Site

READY_WITHIN_S = 5.0
FLEET_KNOWN_AFTER_S = 0.5


def restart_with_seeds(node: NodeId, seeds: tuple[Address, ...], down_s: float) -> Site:
    site = Site(SITE_A, 1)
    site.start_and_elect_leader()
    site.world.run_for(3.0)
    site.world.apply(Kill(at=site.world.now, node=node))
    site.world.run_for(down_s)
    site.fleet.seeds = seeds or (site.fleet.addresses[node],)
    site.world.apply(Restart(at=site.world.now, node=node))
    return site


def becomes_ready_and_knows_fleet(site: Site, node: NodeId) -> bool:
    """Return whether the node is ready in time and knows all nodes soon after."""
    ready = site.run_until(lambda: site.fleet.agents()[node].ready, READY_WITHIN_S)
    site.world.run_for(FLEET_KNOWN_AFTER_S)
    return ready and len(site.fleet.agents()[node].membership.present()) == len(site.places)


@pytest.mark.parametrize("node", ["z1-1", "z3-3"], ids=["with a disk", "without"])
@pytest.mark.parametrize(
    "seeds", [(), (Address("10.9.9.9:1"),)], ids=["its own address", "an address without a listener"]
)
@pytest.mark.parametrize("down_s", [0.6, 8.0])
def test_a_node_with_useless_seeds_is_contacted_by_the_other_nodes(
    node: str, seeds: tuple[Address, ...], down_s: float
) -> None:
    site = restart_with_seeds(NodeId(node), seeds, down_s)

    assert becomes_ready_and_knows_fleet(site, NodeId(node))
    assert len(site.groups()) == 1


def skip_rejoin(joiner: Joiner, own: NodeRecord, present: tuple[NodeId, ...], now: float) -> list[Effect]:
    joiner._next_rejoin_at = max(joiner._next_rejoin_at, now + 1.0)
    return []


@pytest.mark.parametrize(
    ("owner", "method", "mutation"),
    [
        (Disseminator, "_with_own_record", lambda disseminator, updates: updates),
        (Membership, "_receive", Membership._dispatch),
    ],
    ids=["a suspect gets no sender's address", "a node that introduces itself is not asked for the fleet"],
)
def test_the_check_fails_for_nodes_that_nobody_contacts(
    owner: type, method: str, mutation: Callable[..., object], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(owner, method, mutation)
    # Disables the two other ways to be contacted: peers remembered on disk, and other nodes' rejoin requests.
    monkeypatch.setattr(PeerList, "load", lambda peer_list: ())
    monkeypatch.setattr(Joiner, "rejoin", skip_rejoin)
    node = NodeId("z1-1")
    assert not becomes_ready_and_knows_fleet(restart_with_seeds(node, (), 0.6), node)


def test_a_single_node_that_is_its_only_seed_creates_no_group_and_is_not_ready() -> None:
    site = Site(SITE_A, 1)
    node = NodeId("z1-1")
    site.fleet.seeds = (site.fleet.addresses[node],)
    site.world.apply(Restart(at=0.0, node=node))

    site.world.run_for(20.0)

    assert site.groups() == set()
    assert not site.fleet.agents()[node].ready
