"""Random first starts: kills before and after the folder's mark, cuts, delays and wiped disks."""

from __future__ import annotations

import random

from springmux.coordination.consensus.settings import ConsensusSettings
from tests.support.consensus_cluster import Cluster

TROUBLED_S = 5.0
SETTLED_WITHIN_S = 60.0
"""Allows for a group that is given up after 5 to 10 s, more than once."""
ABANDON_S = 5.0
MACHINES_AND_FOUNDERS = ((3, 3), (4, 3), (5, 3), (5, 5), (7, 5))


class FoundingRun:
    """One first start of a few machines, each started with the mark of the first start or without it.

    A machine starts without the mark if it was killed before its folder had it, or if its disk was wiped.
    """

    def __init__(self, seed: int, size: tuple[int, int], unmarked: int, wipes: int = 0) -> None:
        self.random = random.Random(f"founding run {seed} {size} {unmarked} {wipes}")
        machines, founders = size
        self._names = [f"m{number}" for number in range(machines)]
        settings = ConsensusSettings(
            controllers_expected=founders, voters_desired=founders, founding_abandon_s=ABANDON_S
        )
        self.cluster = Cluster(seed, (), settings)
        self.cluster.delay = (0.001, self.random.choice((0.01, 0.1, 0.5)))
        self._unmarked = set(self.random.sample(self._names, unmarked))
        self._wipes = wipes

    def run(self) -> None:
        """Start the machines under faults, end the faults, and let the group form."""
        for name in self.random.sample(self._names, len(self._names)):
            self.cluster.first_start = name not in self._unmarked
            self.cluster.add(name)
            self.cluster.run(self.random.uniform(0.0, 0.4))
        self.cluster.first_start = False
        while self.cluster.now < TROUBLED_S:
            self._strike()
            self.cluster.run(self.random.uniform(0.05, 0.8))
        self.cluster.delay = (0.001, 0.01)
        self.cluster.heal()

    def founded_once(self) -> bool:
        """Return whether exactly one group commits, with all machines in it, within the time."""
        self.cluster.run_until(self._all_in_one_group, SETTLED_WITHIN_S, required=False)
        return self._all_in_one_group()

    def _all_in_one_group(self) -> bool:
        groups = {machine.status.group for machine in self.cluster.machines.values()}
        return len(groups) == 1 and None not in groups and len(self.cluster.groups_with_commits) == 1

    def _strike(self) -> None:
        node = self.random.choice(self._names)
        kind = self.random.random()
        if kind < 0.4:
            self.cluster.crash(node)
            self.cluster.run(self.random.uniform(0.0, 0.5))
            self.cluster.restart(node)
        elif kind < 0.7:
            self.cluster.cut_links = {
                frozenset((one, other))
                for one in self._names
                for other in self._names
                if one < other and self.random.random() < 0.3
            }
        elif self._wipes and kind < 0.8:
            self._wipes -= 1
            self.cluster.wipe(node)
        else:
            self.cluster.cut_links.clear()
