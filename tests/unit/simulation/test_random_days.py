"""Random days: machines with disks are lost and replaced, one after another as far as the terms allow."""

from __future__ import annotations

import pytest

from springmux.coordination.identifiers import NodeId
from springmux.simulation.world.faults import Kill
from unit.simulation.site import COMES_UP_S, SITE_A, SITE_B, SMALL_SIX, Site

LANE_S = 16.0
"""How long faults go on before, and again after, everything loses power."""
LONGEST_CATCH_UP_S = 6.0
ORDER_TERM_S = 4.0
SETTLED_AFTER_S = 3.0


class Lane:
    """Has one machine with a disk lost at a time; as many lanes run as losses are tolerated."""

    def __init__(self, site: Site, busy: set[NodeId], catch_up_s: float) -> None:
        self.site = site
        self.random = site.random
        self.busy = busy
        self.catch_up_s = catch_up_s
        self.idle = True
        self.until = 0.0
        self.history: list[tuple[float, str, NodeId]] = []

    def run(self, until: float) -> None:
        self.until = until
        self._next()

    def _next(self) -> None:
        world = self.site.world
        self.idle = world.now >= self.until
        if self.idle:
            return
        free = sorted(set(self.site.disks) - self.busy)
        leader = self.site.fleet.leader()
        node = leader if leader in free and self.random.random() < 0.4 else self.random.choice(free)
        assert node is not None
        self.busy.add(node)
        kind = self.random.choice(
            (
                self._restart,
                self._wipe,
                self._freeze,
                self._cut,
                self._replace,
                self._successor_first,
                self._term,
            )
        )
        self.history.append((round(world.now, 3), kind.__name__, node))
        lost_s = kind(node)
        world.scheduler.after(lost_s, lambda: self._over(node))

    def _over(self, node: NodeId) -> None:
        self.busy.discard(node)
        self.site.world.scheduler.after(self.random.choice((0.0, 0.01, 0.7)), self._next)

    # What may befall a machine; each returns for how long it counts as lost

    def _up_s(self) -> float:
        return self.random.uniform(*COMES_UP_S)

    def _restart(self, node: NodeId) -> float:
        back_s = self.random.uniform(0.2, 2.0) + self._up_s()
        self.site.kill(node)
        self.site.back(node, back_s)
        return back_s + self.catch_up_s

    def _wipe(self, node: NodeId) -> float:
        back_s = self.random.uniform(0.2, 2.0) + self._up_s()
        self.site.kill(node)
        self.site.wipe(node)
        self.site.back(node, back_s)
        return back_s + self.catch_up_s

    def _freeze(self, node: NodeId) -> float:
        for_s = self.random.uniform(3.0, 4.0)
        self.site.freeze(node, for_s)
        return for_s + self.catch_up_s

    def _cut(self, node: NodeId) -> float:
        for_s = self.random.uniform(5.0, 7.0)
        outward = self.random.random() < 0.7
        inward = not outward or self.random.random() < 0.5
        self.site.cut(node, outward, inward)
        self.site.world.scheduler.after(for_s, lambda: self.site.heal_node(node, outward, inward))
        return for_s + self.catch_up_s

    def _replace(self, node: NodeId) -> float:
        self.site.remove(node)
        self.site.successor(node, 1.0)
        return 1.0 + self.catch_up_s

    def _successor_first(self, node: NodeId) -> float:
        self.site.successor(node, 0.0)
        sigterm_s = self.random.uniform(0.3, 1.5)
        self.site.world.scheduler.after(sigterm_s, lambda: self.site.retire(node))
        return self.catch_up_s

    def _term(self, node: NodeId) -> float:
        self.site.stop(node, takes_s=0.2)
        self.site.back(node, 1.0)
        return 1.0 + self.catch_up_s


class Day:
    """Faults, then everything loses power with one disk wiped, then faults again."""

    def __init__(self, kind: tuple[dict[str, int], int, int], seed: int, catch_up_s: float) -> None:
        self.site = Site(kind, seed)
        self.catch_up_s = catch_up_s
        self.busy: set[NodeId] = set()
        self.lanes = [Lane(self.site, self.busy, catch_up_s) for _ in range(kind[2])]
        self.back_s = 0.0

    def run(self) -> Site:
        site = self.site
        site.found()
        site.write()
        self._faults()
        self._power_loss()
        self._faults()
        site.world.run_for(SETTLED_AFTER_S)
        settled = site.world.now
        site.world.run_for(ORDER_TERM_S)
        assert site.longest_gap_s(settled) < 1.0
        site.check_whole()
        return site

    def _faults(self) -> None:
        world = self.site.world
        end = world.now + LANE_S
        for lane in self.lanes:
            lane.run(end)
        self._trouble_a_router(end)
        world.run_until(end)
        assert self.site.run_until(lambda: all(lane.idle for lane in self.lanes), 20.0)

    def _trouble_a_router(self, end: float) -> None:
        """A machine without a disk is killed now and then as well."""
        site, world = self.site, self.site.world
        if world.now >= end - 3.0:
            return
        node = site.random.choice([place.node for place in site.places if not place.controller])
        world.apply(Kill(at=world.now, node=node))
        site.trouble(node)
        site.back(node, 1.5)
        world.scheduler.after(site.random.uniform(2.0, 6.0), lambda: self._trouble_a_router(end))

    def _power_loss(self) -> None:
        site = self.site
        nodes = [node for node in site.world.nodes() if node not in site.gone]
        wiped = site.random.choice(site.disks)
        site.power_cut(nodes)
        site.wipe(wiped)
        lost_s = 0.0
        for node in nodes:
            back_s = 0.6 + site.random.uniform(0.0, 0.3) + site.random.uniform(*COMES_UP_S)
            lost_s = back_s if node == wiped else lost_s
            site.back(node, back_s)
        before = len(site.acknowledged)
        begin = site.world.now
        assert site.run_until(lambda: len(site.acknowledged) > before, 12.0), "no quorum after the power loss"
        self.back_s = site.world.now - begin
        site.world.run_until(max(begin + lost_s + self.catch_up_s, site.world.now))


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    ("kind", "catch_up_s"),
    [(SITE_A, 4.0), (SITE_B, 4.0), (SMALL_SIX, LONGEST_CATCH_UP_S)],
    ids=["four disks", "three disks", "six disks"],
)
def test_what_was_acknowledged_outlives_the_day(
    kind: tuple[dict[str, int], int, int], catch_up_s: float, seed: int
) -> None:
    site = Day(kind, seed, catch_up_s).run()

    assert site.slowest_s < ORDER_TERM_S
    assert site.refused == 0
