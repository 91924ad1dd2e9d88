"""Nodes that start with useless seeds find the fleet, since the fleet remembers them."""

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

FINDS_WITHIN_S = 5.0
WHOLE_AFTER_S = 0.5


def restarted(node: NodeId, seeds: tuple[Address, ...], down_s: float) -> Site:
    site = Site(SITE_A, 1)
    site.found()
    site.world.run_for(3.0)
    site.world.apply(Kill(at=site.world.now, node=node))
    site.world.run_for(down_s)
    site.fleet.seeds = seeds or (site.fleet.addresses[node],)
    site.world.apply(Restart(at=site.world.now, node=node))
    return site


def found_and_whole(site: Site, node: NodeId) -> bool:
    """Return whether the node is ready in time, and knows the whole fleet soon after."""
    found = site.run_until(lambda: site.fleet.agents()[node].ready, FINDS_WITHIN_S)
    site.world.run_for(WHOLE_AFTER_S)
    return found and len(site.fleet.agents()[node].membership.present()) == len(site.places)


@pytest.mark.parametrize("node", ["z1-1", "z3-3"], ids=["with a disk", "without"])
@pytest.mark.parametrize("seeds", [(), (Address("10.9.9.9:1"),)], ids=["its own", "one that nobody is at"])
@pytest.mark.parametrize("down_s", [0.6, 8.0])
def test_a_node_whose_seeds_are_of_no_use_is_found_by_the_others(
    node: str, seeds: tuple[Address, ...], down_s: float
) -> None:
    site = restarted(NodeId(node), seeds, down_s)

    assert found_and_whole(site, NodeId(node))
    assert len(site.groups()) == 1


def rejoin_nobody(joiner: Joiner, own: NodeRecord, present: tuple[NodeId, ...], now: float) -> list[Effect]:
    joiner._next_rejoin_at = max(joiner._next_rejoin_at, now + 1.0)
    return []


@pytest.mark.parametrize(
    ("owner", "method", "mutation"),
    [
        (Disseminator, "_with_own_record", lambda disseminator, updates: updates),
        (Membership, "_receive", Membership._dispatch),
    ],
    ids=["a suspect isn't told the sender's address", "who introduces itself isn't asked for the fleet"],
)
def test_the_check_sees_nodes_that_are_not_found(
    owner: type, method: str, mutation: Callable[..., object], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(owner, method, mutation)
    # Two other ways to be found: what the own disk remembers, and the others' request to an absent seed.
    monkeypatch.setattr(PeerList, "load", lambda peer_list: ())
    monkeypatch.setattr(Joiner, "rejoin", rejoin_nobody)
    node = NodeId("z1-1")
    assert not found_and_whole(restarted(node, (), 0.6), node)


def test_a_node_that_is_its_only_seed_and_alone_founds_nothing_and_serves_nothing() -> None:
    site = Site(SITE_A, 1)
    node = NodeId("z1-1")
    site.fleet.seeds = (site.fleet.addresses[node],)
    site.world.apply(Restart(at=0.0, node=node))

    site.world.run_for(20.0)

    assert site.groups() == set()
    assert not site.fleet.agents()[node].ready
