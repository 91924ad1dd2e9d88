"""Random faults: machines with disks fail and are replaced, as many at a time as losses are tolerated.

Guards against lost or rejected orders when such faults follow one another, before and after a power loss.
"""

from __future__ import annotations

import pytest

from springmux.coordination.identifiers import NodeId
from springmux.simulation.world.faults import Kill
from unit.simulation.site import PROCESS_START_S, SITE_A, SITE_B, SMALL_SIX, Site

FAULT_PHASE_S = 16.0
"""Seconds of random faults before, and again after, the power loss of all machines."""
MAX_CATCH_UP_S = 6.0
ORDER_DEADLINE_S = 4.0
SETTLE_S = 3.0


class DiskFaultInjector:
    """Causes the loss of one machine with a disk at a time; one injector runs per tolerated loss."""

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
                self._replace_before_stop,
                self._stop,
            )
        )
        self.history.append((round(world.now, 3), kind.__name__, node))
        lost_s = kind(node)
        world.scheduler.after(lost_s, lambda: self._finish(node))

    def _finish(self, node: NodeId) -> None:
        self.busy.discard(node)
        self.site.world.scheduler.after(self.random.choice((0.0, 0.01, 0.7)), self._next)

    # Faults of a machine; each returns for how many seconds the machine counts as lost

    def _start_s(self) -> float:
        return self.random.uniform(*PROCESS_START_S)

    def _restart(self, node: NodeId) -> float:
        down_s = self.random.uniform(0.2, 2.0) + self._start_s()
        self.site.kill(node)
        self.site.restart_after(node, down_s)
        return down_s + self.catch_up_s

    def _wipe(self, node: NodeId) -> float:
        down_s = self.random.uniform(0.2, 2.0) + self._start_s()
        self.site.kill(node)
        self.site.wipe(node)
        self.site.restart_after(node, down_s)
        return down_s + self.catch_up_s

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
        self.site.add_replacement(node, 1.0)
        return 1.0 + self.catch_up_s

    def _replace_before_stop(self, node: NodeId) -> float:
        self.site.add_replacement(node, 0.0)
        sigterm_s = self.random.uniform(0.3, 1.5)
        self.site.world.scheduler.after(sigterm_s, lambda: self.site.decommission(node))
        return self.catch_up_s

    def _stop(self, node: NodeId) -> float:
        self.site.stop(node, duration_s=0.2)
        self.site.restart_after(node, 1.0)
        return 1.0 + self.catch_up_s


class RandomFaultRun:
    """Random faults, then a power loss of all machines with one disk wiped, then random faults again."""

    def __init__(self, kind: tuple[dict[str, int], int, int], seed: int, catch_up_s: float) -> None:
        self.site = Site(kind, seed)
        self.catch_up_s = catch_up_s
        self.busy: set[NodeId] = set()
        self.injectors = [DiskFaultInjector(self.site, self.busy, catch_up_s) for _ in range(kind[2])]
        self.down_s = 0.0

    def run(self) -> Site:
        site = self.site
        site.start_and_elect_leader()
        site.start_orders()
        self._faults()
        self._power_loss()
        self._faults()
        site.world.run_for(SETTLE_S)
        settled = site.world.now
        site.world.run_for(ORDER_DEADLINE_S)
        assert site.longest_pause_s(settled) < 1.0
        site.check_recovered()
        return site

    def _faults(self) -> None:
        world = self.site.world
        end = world.now + FAULT_PHASE_S
        for injector in self.injectors:
            injector.run(end)
        self._kill_routers(end)
        world.run_until(end)
        assert self.site.run_until(lambda: all(injector.idle for injector in self.injectors), 20.0)

    def _kill_routers(self, end: float) -> None:
        """Kill a random machine without a disk every few seconds until ``end``."""
        site, world = self.site, self.site.world
        if world.now >= end - 3.0:
            return
        node = site.random.choice([place.node for place in site.places if not place.controller])
        world.apply(Kill(at=world.now, node=node))
        site.mark_unavailable(node)
        site.restart_after(node, 1.5)
        world.scheduler.after(site.random.uniform(2.0, 6.0), lambda: self._kill_routers(end))

    def _power_loss(self) -> None:
        site = self.site
        nodes = [node for node in site.world.nodes() if node not in site.removed]
        wiped = site.random.choice(site.disks)
        site.power_cut(nodes)
        site.wipe(wiped)
        lost_s = 0.0
        for node in nodes:
            down_s = 0.6 + site.random.uniform(0.0, 0.3) + site.random.uniform(*PROCESS_START_S)
            lost_s = down_s if node == wiped else lost_s
            site.restart_after(node, down_s)
        before = len(site.acknowledged)
        begin = site.world.now
        assert site.run_until(lambda: len(site.acknowledged) > before, 12.0), "no quorum after the power loss"
        self.down_s = site.world.now - begin
        site.world.run_until(max(begin + lost_s + self.catch_up_s, site.world.now))


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    ("kind", "catch_up_s"),
    [(SITE_A, 4.0), (SITE_B, 4.0), (SMALL_SIX, MAX_CATCH_UP_S)],
    ids=["four disks", "three disks", "six disks"],
)
def test_acknowledged_orders_survive_random_faults_and_a_power_loss(
    kind: tuple[dict[str, int], int, int], catch_up_s: float, seed: int
) -> None:
    site = RandomFaultRun(kind, seed, catch_up_s).run()

    assert site.slowest_reply_s < ORDER_DEADLINE_S
    assert site.rejected == 0
