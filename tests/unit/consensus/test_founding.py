"""Races between founders: at most one group commits entries, whichever controllers know each other."""

import random

import pytest

from springmux.coordination.consensus import messages as wire
from springmux.coordination.consensus.core import RESTART_AS_NEW
from springmux.coordination.consensus.effects import ReplicaStopped
from springmux.coordination.consensus.events import FoundingCandidates
from springmux.coordination.consensus.settings import ConsensusSettings
from springmux.coordination.consensus.types import GroupMember, GroupMembers
from springmux.coordination.state_machine import MessageReceived, Send, Tick
from tests.support.consensus_cluster import Cluster

FIVE = ("a", "b", "c", "d", "e")
SEEDS_LEAVING_A_BARRIER = (1349, 1642, 1691)
"""Seeds of runs that wipe two founding members between the first election and the first commit.

Each run leaves the barrier of a first leader behind in a log.
"""
SHORT_ABANDON_TIME = ConsensusSettings(founding_abandon_s=5.0)


def test_three_replicas_found_a_group_and_further_ones_join_as_learners() -> None:
    cluster = Cluster(1, FIVE)

    leader = cluster.await_leader(limit_s=5.0)
    cluster.settle()

    assert cluster.voters() == {"a", "b", "c"}
    assert {m.node for m in leader.status.members.members if not m.voter} == {"d", "e"}


def test_fewer_replicas_than_expected_found_no_group() -> None:
    cluster = Cluster(1, ("a", "b"))
    cluster.run(60.0)
    assert all(machine.status.group is None for machine in cluster.machines.values())

    cluster.add("c")
    cluster.await_leader(limit_s=5.0)


def test_single_replica_founds_a_group_that_grows_to_three_voters() -> None:
    cluster = Cluster(1, ("a",), ConsensusSettings(controllers_expected=1))
    cluster.commit()
    cluster.add("b")
    cluster.add("c")
    cluster.settle()
    assert cluster.voters() == {"a", "b", "c"}


def test_founding_commit_that_reached_one_member_is_completed_after_a_partition() -> None:
    cluster = Cluster(1, ("a", "b", "c"))
    cluster.run_until(lambda: cluster.machines["a"].status.group is not None, 5.0)
    cluster.isolate("a")
    cluster.run(10.0)
    assert cluster.leader() is None

    cluster.cut_links.clear()
    cluster.settle()


def test_first_leader_needs_every_founding_member() -> None:
    cluster = Cluster(1, ("a", "b", "c"))
    cluster.run_until(lambda: all(m.status.group for m in cluster.machines.values()), 5.0)
    cluster.crash("c")
    cluster.run(15.0)
    assert cluster.leader() is None
    assert not cluster.committed

    cluster.restart("c")
    cluster.await_leader()


def test_group_that_can_not_elect_a_leader_is_given_up_and_another_founded() -> None:
    cluster = Cluster(1, ("a", "b", "c"))
    cluster.run_until(lambda: all(m.status.group for m in cluster.machines.values()), 5.0)
    cluster.wipe("c")

    cluster.await_leader()

    reasons = [reason for machine in cluster.machines.values() for reason in machine.stop_reasons]
    assert reasons and all(reason.startswith(RESTART_AS_NEW) for reason in reasons)
    cluster.settle()


def test_replica_of_a_group_without_commits_yields_to_an_established_one() -> None:
    cluster = Cluster(1, ("a", "b", "c"))
    cluster.run_until(lambda: cluster.machines["a"].status.group is not None, 5.0)
    machine = cluster.machines["a"]
    foreign_group = wire.RaftForeignGroup(machine.disk.replica, "other", 5)

    effects = machine.replica.handle(MessageReceived("x", foreign_group), cluster.now)

    stopped = [effect for effect in effects if isinstance(effect, ReplicaStopped)]
    assert stopped[0].restart_as_new and stopped[0].reason.startswith(RESTART_AS_NEW)


def test_replica_with_commits_never_yields() -> None:
    cluster = Cluster(1, ("a", "b", "c"))
    cluster.commit()
    machine = cluster.await_leader()
    foreign_group = wire.RaftForeignGroup(machine.disk.replica, "other", 1000)

    cluster.handle_event(machine.node, MessageReceived("x", foreign_group))

    assert not machine.stop_reasons
    cluster.commit()


def test_replica_that_knows_an_established_group_helps_to_found_no_other() -> None:
    cluster = Cluster(1, ("a",))
    machine = cluster.machines["a"]
    request = wire.RaftFoundingRequest("g", "rx", machine.disk.replica, 0)
    members = GroupMembers((GroupMember("rx", "x", True), GroupMember(machine.disk.replica, "a", True)))
    commit = wire.RaftFoundingCommit("g", "rx", machine.disk.replica, 0, members)

    machine.replica.handle(FoundingCandidates((), established=True), 0.0)

    assert machine.replica.handle(MessageReceived("x", request), 0.1) == []
    machine.replica.handle(MessageReceived("x", commit), 0.1)
    assert machine.status.group is None


@pytest.mark.parametrize("seed", [*range(40), *SEEDS_LEAVING_A_BARRIER])
def test_at_most_one_group_commits_entries_among_five_replicas(seed: int) -> None:
    """Guards against two groups with commits; ``Cluster`` fails a run if a second one applies an entry."""
    rng = random.Random(seed)
    cluster = Cluster(seed, FIVE, SHORT_ABANDON_TIME)
    cluster.loss = rng.choice((0.0, 0.2, 0.4))
    cluster.delay = (0.001, rng.choice((0.01, 0.5, 2.0)))
    for _ in range(20):
        cluster.cut_links = {
            frozenset((one, other)) for one in FIVE for other in FIVE if one < other and rng.random() < 0.4
        }
        node = rng.choice(FIVE)
        if rng.random() < 0.3:
            cluster.crash(node)
            cluster.restart(node)
        elif rng.random() < 0.3 and not cluster.committed:
            cluster.wipe(node)
        cluster.run(rng.uniform(0.2, 3.0))
    cluster.delay = (0.001, 0.01)
    cluster.settle()
    assert len(cluster.groups_with_commits) == 1


JOINS_ONLY = ConsensusSettings(may_found=False)


def test_replicas_not_created_at_the_first_start_found_no_group() -> None:
    cluster = Cluster(1, FIVE, JOINS_ONLY)

    cluster.run(60.0)

    assert all(machine.status.group is None for machine in cluster.machines.values())


def test_wiped_replica_that_may_not_found_is_no_candidate_and_joins_the_group_of_the_others() -> None:
    cluster = Cluster(1, ("a", "b"))
    cluster.settings = JOINS_ONLY
    cluster.wipe("a")
    cluster.run(5.0)
    cluster.settings = ConsensusSettings()
    cluster.add("c")
    cluster.add("d")

    leader = cluster.await_leader(limit_s=6.0)
    cluster.settle()

    assert cluster.voters() == {"b", "c", "d"}
    assert {m.node for m in leader.status.members.members if not m.voter} == {"a"}


def test_founder_yields_to_one_with_a_lower_name_and_releases_its_promises() -> None:
    cluster = Cluster(1, ("b",))
    machine = cluster.machines["b"]
    own_replica = machine.disk.replica
    others = (GroupMember("rc", "c", True), GroupMember("rd", "d", True))
    machine.replica.handle(FoundingCandidates(others, established=False), 0.0)
    tick_effects = machine.replica.handle(Tick(), 1.0)
    messages = [effect.message for effect in tick_effects if isinstance(effect, Send)]
    requests = [message for message in messages if isinstance(message, wire.RaftFoundingRequest)]
    assert {request.target for request in requests} == {"rc", "rd"}

    request = wire.RaftFoundingRequest("g", "ra", own_replica, 0)
    effects = machine.replica.handle(MessageReceived("a", request), 1.1)

    sent = {(effect.to, type(effect.message)) for effect in effects}
    assert sent == {
        ("c", wire.RaftFoundingRelease),
        ("d", wire.RaftFoundingRelease),
        ("a", wire.RaftFoundingPromise),
    }
    late_promises = [
        wire.RaftFoundingPromise(requests[0].group, replica, own_replica, 0) for replica in ("rc", "rd")
    ]
    for promise in late_promises:
        machine.replica.handle(MessageReceived(promise.source, promise), 1.2)
    assert machine.status.group is None


def test_founder_keeps_its_attempt_against_one_with_a_higher_name() -> None:
    cluster = Cluster(1, ("b",))
    machine = cluster.machines["b"]
    others = (GroupMember("rc", "c", True), GroupMember("rd", "d", True))
    machine.replica.handle(FoundingCandidates(others, established=False), 0.0)
    machine.replica.handle(Tick(), 1.0)

    request = wire.RaftFoundingRequest("g", "rc", machine.disk.replica, 0)

    assert machine.replica.handle(MessageReceived("c", request), 1.1) == []


def test_released_promise_is_available_to_another_founder_immediately() -> None:
    cluster = Cluster(1, ("c",))
    machine = cluster.machines["c"]
    own_replica = machine.disk.replica
    first = wire.RaftFoundingRequest("g1", "ra", own_replica, 0)
    second = wire.RaftFoundingRequest("g2", "rb", own_replica, 0)
    assert machine.replica.handle(MessageReceived("a", first), 0.1)
    assert machine.replica.handle(MessageReceived("b", second), 0.2) == []

    machine.replica.handle(MessageReceived("a", wire.RaftFoundingRelease("g1", "ra", own_replica, 0)), 0.3)

    assert machine.replica.handle(MessageReceived("b", second), 0.4)
