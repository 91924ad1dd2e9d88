"""Random faults, combined and repeated; the cluster checks Raft's invariants at every step."""

import random

import msgspec
import pytest

from springmux.coordination.consensus.effects import TransferLeadership
from springmux.coordination.consensus.events import StopAnnounced
from springmux.coordination.consensus.settings import ConsensusSettings
from tests.support.consensus_cluster import Cluster, Machine

NODES = ("a", "b", "c", "d")
SMALL_LIMITS = ConsensusSettings(
    snapshot_entries=20,
    kept_entries=5,
    chunk_bytes=300,
    max_append_bytes=1500,
    max_inflight_messages=4,
    max_inflight_bytes=4000,
    promotion_lag_entries=4,
    lost_after_s=5.0,
    snapshot_retry_s=1.0,
)
RAPID_REPLACEMENT = msgspec.structs.replace(
    SMALL_LIMITS,
    heartbeat_s=0.15,
    election_timeout_min_s=0.5,
    election_timeout_max_s=0.9,
    lost_after_s=1.0,
    superseded_after_s=0.3,
    learner_removed_after_s=4.0,
)
STOP_SHARE = 0.2
FAULT_STEPS = 40
LOADS_PER_STEP = 8
HEAL_SHARE = 0.2
"""Share of the steps that remove all faults, so that the next ones occur in a working group."""
SEEDS_IN_CI = range(16)


class RandomFaultRun:
    """One seeded run: founding under message loss, faults under load, then removal of all faults."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.cluster = Cluster(seed, NODES, SMALL_LIMITS)
        self.cluster.loss = self.random.choice((0.0, 0.02, 0.1, 0.2))
        self.cluster.duplication = self.random.choice((0.0, 0.05))
        self.cluster.delay = (0.001, self.random.choice((0.01, 0.05, 0.15)))

    def run(self) -> Cluster:
        for _ in range(FAULT_STEPS):
            self._inject_fault()
            pause_s = self.random.choice((0.02, 0.1, 0.3))
            for _ in range(LOADS_PER_STEP):
                self._propose_and_read()
                self.cluster.run(pause_s * self.random.random())
            self.cluster.check_logs()
        self._finish_faults()
        self.cluster.settle()
        correlation_id = self.cluster.read(self.cluster.await_leader().node)
        self.cluster.run_until(lambda: self.cluster.reads.get(correlation_id) is not None)
        return self.cluster

    def _finish_faults(self) -> None:
        """Finish what must be over before all faults are removed."""

    def _inject_fault(self) -> None:
        cluster = self.cluster
        node = self.random.choice(NODES)
        machine = cluster.machines[node]
        if self.random.random() < HEAL_SHARE:
            cluster.heal()
            cluster.run(self.random.uniform(0.0, 8.0))
            return
        match self.random.randrange(12):
            case 0 | 1:
                cluster.crash(node)
            case 2 | 3 if not machine.alive:
                cluster.restart(node)
            case 4:
                cluster.isolate(node)
            case 5:
                cluster.cut_links.add(frozenset(self.random.sample(NODES, 2)))
            case 6 | 7:
                cluster.cut_links.clear()
            case 8:
                machine.stalled = True
            case 9:
                machine.full = not machine.full
                cluster.unstall(node)
            case 10 if self._may_wipe():
                cluster.wipe(node)
            case 11:
                self._transfer_leadership()

    def _may_wipe(self) -> bool:
        """Return whether the group has replaced the last wiped disk; otherwise a majority could be lost."""
        leader = self.cluster.leader()
        if leader is None or leader.status.applied_index < leader.status.last_index:
            return False
        present = {m.disk.replica for m in self.cluster.machines.values()}
        voters = {v.replica for v in leader.status.members.voters()}
        return len(voters) == 3 and voters <= present and self._has_newest_term(leader)

    def _has_newest_term(self, leader: Machine) -> bool:
        return not any(m.alive and m.status.term > leader.status.term for m in self.cluster.machines.values())

    def _transfer_leadership(self) -> None:
        leader = self.cluster.leader()
        if leader is not None:
            self.cluster.handle_event(leader.node, TransferLeadership())

    def _propose_and_read(self) -> None:
        node = self.random.choice(NODES)
        if self.cluster.machines[node].alive:
            self.cluster.propose(node, self.random.randbytes(self.random.randrange(600)))
            self.cluster.read(node)
        leader = self.cluster.leader()
        if leader is not None:
            self.cluster.propose(leader.node, self.random.randbytes(self.random.randrange(600)))
            self.cluster.read(leader.node)


class RapidReplacementRun(RandomFaultRun):
    """A run with short replacement timeouts, in which processes announce their stop some steps ahead."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.cluster = Cluster(seed, NODES, RAPID_REPLACEMENT)
        self.cluster.loss = self.random.choice((0.0, 0.02, 0.1))
        self.stopping: set[str] = set()

    def _inject_fault(self) -> None:
        if self.random.random() < STOP_SHARE:
            node = self.random.choice(NODES)
            self.stopping.add(node)
            self.cluster.handle_event(node, StopAnnounced())
        elif self.random.random() < STOP_SHARE:
            self._finish_faults()
        super()._inject_fault()

    def _finish_faults(self) -> None:
        for node in sorted(self.stopping):
            self.cluster.crash(node)
        self.stopping.clear()


@pytest.mark.parametrize("seed", SEEDS_IN_CI)
def test_invariants_hold_while_voters_are_replaced_rapidly(seed: int) -> None:
    cluster = RapidReplacementRun(seed).run()

    assert cluster.acknowledged
    assert len(cluster.groups_with_commits) == 1


@pytest.mark.parametrize("seed", SEEDS_IN_CI)
def test_invariants_hold_under_random_faults(seed: int) -> None:
    cluster = RandomFaultRun(seed).run()

    assert cluster.acknowledged
    assert len(cluster.groups_with_commits) == 1
