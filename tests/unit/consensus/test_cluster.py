"""Scenarios of a group of controllers under crashes, partitions, lost disks and full or stalled disks."""

import itertools

import pytest

from springmux.coordination.consensus import messages as wire
from springmux.coordination.consensus.effects import PersistFailed, TransferLeadership
from springmux.coordination.consensus.events import ChangeMember, MemberChangeKind, StopAnnounced
from springmux.coordination.consensus.settings import ConsensusSettings
from springmux.coordination.consensus.types import GroupMember
from springmux.coordination.state_machine import Tick
from tests.support.consensus_cluster import Cluster

THREE = ("a", "b", "c")
FAST_REPLACEMENT = ConsensusSettings(lost_after_s=4.0)
MIB = 1024 * 1024


def founded_cluster(
    nodes: tuple[str, ...] = THREE, settings: ConsensusSettings = ConsensusSettings()
) -> Cluster:
    cluster = Cluster(7, nodes, settings)
    cluster.commit(b"first")
    return cluster


def others(cluster: Cluster, node: str) -> list[str]:
    return sorted(set(cluster.machines) - {node})


def test_killed_leader_is_replaced_within_two_election_timeouts() -> None:
    cluster = founded_cluster()
    old = cluster.await_leader().node

    cluster.crash(old)
    begin = cluster.now
    cluster.await_leader(others(cluster, old))

    assert cluster.now - begin < 2 * cluster.settings.election_timeout_max_s
    cluster.commit(b"second")
    cluster.settle()


def test_partitioned_leader_steps_down_and_its_uncommitted_command_is_never_acknowledged() -> None:
    cluster = founded_cluster()
    old = cluster.await_leader().node
    cluster.isolate(old)

    lost = cluster.propose(old, b"lost")
    stale = cluster.read(old)
    cluster.run(2.0)
    cluster.commit(b"committed by the majority")
    cluster.run(20.0)

    assert not cluster.machines[old].status.leading
    assert cluster.dropped[lost].unknown
    assert cluster.reads[stale] is None
    term = cluster.await_leader().status.term
    cluster.settle()
    assert cluster.await_leader().status.term == term, (
        "pre-vote prevents the returning replica from starting a new term"
    )


def test_replica_with_a_live_leader_votes_for_no_other_candidate() -> None:
    cluster = founded_cluster()
    leader = cluster.await_leader()
    first, second = others(cluster, leader.node)
    cluster.cut_links.add(frozenset((leader.node, first)))

    cluster.run(10.0)

    assert cluster.await_leader().node == leader.node
    assert cluster.machines[second].status.term == leader.status.term


def test_command_is_acknowledged_only_when_a_majority_has_it_on_disk() -> None:
    cluster = founded_cluster()
    leader = cluster.await_leader().node
    for node in others(cluster, leader):
        cluster.machines[node].stalled = True

    correlation_id = cluster.propose(leader, b"on one disk only")
    cluster.run(5.0)
    assert correlation_id not in cluster.acknowledged

    for node in others(cluster, leader):
        cluster.unstall(node)
    cluster.run_until(lambda: correlation_id in cluster.acknowledged, 5.0)


def test_power_loss_of_all_replicas_loses_no_acknowledged_command() -> None:
    cluster = founded_cluster()
    correlation_ids = [cluster.commit(b"%d" % number) for number in range(50)]
    for node in THREE:
        cluster.crash(node)
    begin = cluster.now
    for node in THREE:
        cluster.restart(node)

    cluster.await_leader()
    assert cluster.now - begin < 4.0
    cluster.settle()
    assert set(correlation_ids) <= set(cluster.acknowledged)


def test_replicas_apply_committed_entries_before_an_election_after_a_power_loss_of_all() -> None:
    cluster = founded_cluster()
    for number in range(5):
        cluster.commit(b"%d" % number)
    cluster.settle()
    state_before = {node: list(cluster.machines[node].state) for node in THREE}
    for node in THREE:
        cluster.crash(node)
    for node in THREE:
        cluster.restart(node)
        cluster.handle_event(node, Tick())
        # The last commit index isn't on disk, because no batch was written after it.
        assert cluster.machines[node].state == state_before[node][:-1] != []
        assert not cluster.machines[node].status.leading


def test_wiped_voters_are_replaced_one_after_another_without_losing_a_command() -> None:
    cluster = founded_cluster()
    for node in THREE:
        old = cluster.machines[node].disk.replica
        cluster.wipe(node)
        new = cluster.machines[node].disk.replica
        cluster.run_until(lambda new=new: _is_voter(cluster, new))
        leader = cluster.await_leader()
        cluster.run_until(lambda leader=leader, old=old: leader.status.members.find(old) is None)
        cluster.commit(b"after " + node.encode())
    cluster.settle()
    assert len(cluster.machines["a"].state) == 4


def _is_voter(cluster: Cluster, replica: str) -> bool:
    leader = cluster.leader()
    if leader is None:
        return False
    return any(voter.replica == replica for voter in leader.status.members.voters())


def test_wiped_machine_never_votes_under_its_old_identity() -> None:
    cluster = founded_cluster()
    leader = cluster.await_leader().node
    wiped, other = others(cluster, leader)
    cluster.isolate(other)
    correlation_id = cluster.commit(b"on the leader and on the machine that is wiped next")
    cluster.wipe(wiped)
    cluster.crash(leader)
    cluster.cut_links.clear()

    cluster.run(20.0)
    assert cluster.leader() is None, "the wiped machine must not vote for the one that lacks the command"

    cluster.restart(leader)
    cluster.settle()
    assert correlation_id in cluster.acknowledged


def test_lost_voter_is_replaced_by_a_learner_at_another_node() -> None:
    cluster = founded_cluster(("a", "b", "c", "d"), FAST_REPLACEMENT)
    leader = cluster.await_leader().node
    cluster.run_until(lambda: len(cluster.machines[leader].status.members.members) == 4)
    lost = next(node for node in sorted(cluster.voters()) if node != leader)

    cluster.crash(lost)
    cluster.run(3.0)
    assert lost in cluster.voters(), "a voter isn't replaced before lost_after_s"
    cluster.run_until(lambda: cluster.voters() == {"a", "b", "c", "d"} - {lost}, 10.0)
    cluster.restart(lost)
    cluster.settle()
    assert len(cluster.voters()) == 3


def test_absent_voter_becomes_a_learner_and_catches_up_after_its_restart() -> None:
    cluster = founded_cluster(("a", "b", "c", "d"), FAST_REPLACEMENT)
    leader = cluster.await_leader()
    cluster.run_until(lambda: len(leader.status.members.members) == 4)
    lost = next(node for node in sorted(cluster.voters()) if node != leader.node)
    cluster.crash(lost)
    cluster.run_until(lambda: cluster.voters() == {"a", "b", "c", "d"} - {lost}, 10.0)
    correlation_id = cluster.commit(b"while it was away")
    member = leader.status.members.find(cluster.machines[lost].disk.replica)
    assert member is not None and not member.voter

    cluster.restart(lost)

    index = cluster.acknowledged[correlation_id]
    cluster.run_until(lambda: cluster.machines[lost].status.applied_index >= index, 0.5)


def test_stopping_voter_is_replaced_by_a_learner_before_it_has_stopped() -> None:
    cluster = founded_cluster(("a", "b", "c", "d"))
    leader = cluster.await_leader()
    cluster.run_until(lambda: len(leader.status.members.members) == 4)
    stopping = next(node for node in sorted(cluster.voters()) if node != leader.node)

    cluster.handle_event(stopping, StopAnnounced())
    cluster.run_until(lambda: cluster.voters() == {"a", "b", "c", "d"} - {stopping}, 0.3)

    cluster.crash(stopping)
    cluster.crash(next(node for node in sorted(cluster.voters()) if node != leader.node))
    cluster.commit(b"with the two remaining voters")


def test_stopping_voter_remains_a_voter_if_there_is_no_learner() -> None:
    cluster = founded_cluster()
    leader = cluster.await_leader()
    stopping = others(cluster, leader.node)[0]

    cluster.handle_event(stopping, StopAnnounced())
    cluster.run(1.0)

    assert cluster.voters() == set(THREE)


def test_leader_without_replies_requests_an_election_by_a_successor_when_it_steps_down() -> None:
    cluster = founded_cluster()
    old = cluster.await_leader()
    cluster.keep_sent = True
    cluster.isolate(old.node)

    cluster.run_until(lambda: not old.status.leading, 2 * cluster.settings.election_timeout_max_s)

    requests = [message for *_, message in cluster.sent if isinstance(message, wire.RaftTimeoutNow)]
    assert len(requests) == 1 and requests[0].source == old.disk.replica


def test_folder_under_another_node_name_keeps_its_identity_and_vote() -> None:
    cluster = founded_cluster()
    moved = others(cluster, cluster.await_leader().node)[0]
    replica = cluster.machines[moved].disk.replica

    cluster.move(moved, "elsewhere")
    cluster.run_until(lambda: "elsewhere" in cluster.voters(), 10.0)
    cluster.settle()

    member = cluster.await_leader().status.members.find(replica)
    assert member == GroupMember(replica, cluster.machines["elsewhere"].node, voter=True)
    assert len(cluster.voters()) == 3


def test_loss_of_a_second_disk_before_the_first_is_replaced_stops_the_group_without_data_loss() -> None:
    cluster = founded_cluster(("a", "b", "c", "d"), ConsensusSettings(superseded_after_s=2.0))
    leader = cluster.await_leader()
    first, second = sorted(cluster.voters() - {leader.node})
    members = leader.status.members

    cluster.wipe(first)
    cluster.run(0.5)
    cluster.wipe(second)
    cluster.run(60.0)

    assert cluster.leader() is None
    assert {v.replica for v in leader.status.members.voters()} == {v.replica for v in members.voters()}
    assert [data for _, data in leader.state] == [b"first"]


def test_no_voter_is_removed_while_the_reachable_voters_are_no_majority() -> None:
    cluster = founded_cluster(("a", "b", "c", "d"), FAST_REPLACEMENT)
    cluster.run(2.0)
    leader = cluster.await_leader().node
    members = cluster.machines[leader].status.members
    for node in sorted(cluster.voters() - {leader}):
        cluster.crash(node)

    cluster.run(20.0)

    assert not cluster.machines[leader].status.leading
    assert cluster.machines[leader].status.members == members
    cluster.settle()


def test_operator_changes_members_one_at_a_time() -> None:
    cluster = founded_cluster()
    leader = cluster.await_leader()
    node = others(cluster, leader.node)[0]
    voter = leader.status.members.find(cluster.machines[node].disk.replica)
    ghost = GroupMember(voter.replica.__class__("ghost"), voter.node, voter=False)

    cluster.handle_event(leader.node, ChangeMember("one", MemberChangeKind.ADD_LEARNER, ghost))
    cluster.handle_event(leader.node, ChangeMember("two", MemberChangeKind.REMOVE, voter))
    cluster.run(0.2)
    cluster.handle_event(leader.node, ChangeMember("three", MemberChangeKind.PROMOTE, ghost))

    assert "one" in cluster.acknowledged
    assert cluster.dropped["two"].reason == "another change is under way; try again"
    assert cluster.dropped["three"].reason == "the learner is not caught up"


def test_leadership_transfer_on_request_takes_less_than_an_election_timeout() -> None:
    cluster = founded_cluster()
    old = cluster.await_leader().node
    target = others(cluster, old)[1]
    begin = cluster.now

    cluster.handle_event(old, TransferLeadership(cluster.machines[target].disk.replica))
    cluster.await_leader([target])

    assert cluster.now - begin < cluster.settings.election_timeout_min_s / 2


def test_leader_with_a_stalled_disk_transfers_leadership() -> None:
    cluster = founded_cluster()
    old = cluster.await_leader()
    old.stalled = True

    cluster.propose(old.node, b"waits for the disk")
    cluster.await_leader(others(cluster, old.node), 2.0)
    cluster.commit(b"after the transfer")
    cluster.settle()


def test_full_disks_reject_commands_with_a_reason_and_recover() -> None:
    cluster = founded_cluster()
    for machine in cluster.machines.values():
        machine.full = True
    leader = cluster.await_leader().node
    held = cluster.propose(leader, b"meets the full disk")
    cluster.run(1.0)

    refused = cluster.propose(cluster.await_leader().node, b"refused")
    assert cluster.dropped[refused].reason == "storage full"
    assert not cluster.dropped[refused].unknown
    assert held not in cluster.acknowledged

    cluster.heal()
    cluster.run_until(lambda: held in cluster.acknowledged or held in cluster.dropped, 5.0)
    cluster.run(2.0)
    cluster.commit(b"space again")
    cluster.settle()


def test_slow_follower_receives_a_snapshot_in_chunks_and_resumes_after_a_partition() -> None:
    settings = ConsensusSettings(snapshot_entries=30, kept_entries=5, chunk_bytes=500)
    cluster = founded_cluster(settings=settings)
    slow = others(cluster, cluster.await_leader().node)[0]
    cluster.crash(slow)
    for _ in range(60):
        cluster.commit(bytes(100))
    cluster.keep_sent = True
    cluster.restart(slow)
    cluster.run_until(lambda: any(_is_chunk(cluster, item, 1000) for item in cluster.sent))
    cluster.isolate(slow)
    cluster.run(3.0)
    before_heal = len(cluster.sent)
    cluster.cut_links.clear()
    cluster.settle()

    chunks = [m for *_, m in cluster.sent if isinstance(m, wire.RaftSnapshotChunk)]
    resumed = [m for *_, m in cluster.sent[before_heal:] if isinstance(m, wire.RaftSnapshotChunk)]
    assert all(len(chunk.data) <= 500 for chunk in chunks)
    assert resumed[0].offset >= 1000, "chunks that had arrived aren't sent again"
    assert cluster.machines[slow].disk.snapshot is not None


def _is_chunk(cluster: Cluster, item: tuple, offset: int) -> bool:
    return isinstance(item[3], wire.RaftSnapshotChunk) and item[3].offset >= offset


def test_entry_of_eight_mib_is_replicated_while_heartbeats_continue() -> None:
    cluster = founded_cluster()
    term = cluster.await_leader().status.term
    cluster.keep_sent = True

    cluster.commit(bytes(8 * MIB))
    cluster.settle()
    assert 8 * MIB < cluster.largest_message_bytes < 8 * MIB + 1024
    cluster.largest_message_bytes = 0
    for _ in range(30):
        cluster.propose(cluster.await_leader().node, bytes(100_000))
    cluster.settle()

    assert cluster.largest_message_bytes <= 512 * 1024 + 1024
    assert cluster.await_leader().status.term == term
    heartbeats = [at for at, _, _, message in cluster.sent if isinstance(message, wire.RaftHeartbeat)]
    assert max(b - a for a, b in itertools.pairwise(heartbeats)) < 0.11


def test_command_above_the_size_limit_is_rejected() -> None:
    cluster = founded_cluster()

    correlation_id = cluster.propose(cluster.await_leader().node, bytes(12 * MIB + 1))

    assert "exceeds" in cluster.dropped[correlation_id].reason


def test_reads_share_one_heartbeat_round_and_only_the_leader_confirms_them() -> None:
    cluster = founded_cluster()
    leader = cluster.await_leader().node
    cluster.run(0.01)
    cluster.keep_sent = True

    correlation_ids = [cluster.read(leader) for _ in range(20)]
    refused = cluster.read(others(cluster, leader)[0])
    cluster.run_until(
        lambda: all(cluster.reads.get(correlation_id) for correlation_id in correlation_ids), 0.2
    )

    assert cluster.reads[refused] is None
    heartbeats = [message for *_, message in cluster.sent if isinstance(message, wire.RaftHeartbeat)]
    assert len(heartbeats) <= 3 * 2, "one round for the first read, one for the others, one periodic"


def test_disk_failure_stops_the_replica_with_a_reason_and_the_others_continue() -> None:
    cluster = founded_cluster()
    broken = cluster.await_leader()
    broken.stalled = True
    correlation_id = cluster.propose(broken.node, b"x")
    batch = broken.replica._core.durability._in_flight.number

    cluster.handle_event(broken.node, PersistFailed(batch, False, "input/output error"))
    assert broken.stop_reasons == ["the disk failed: input/output error"]
    assert cluster.dropped[correlation_id].unknown
    refused = cluster.propose(broken.node, b"y")
    assert not cluster.dropped[refused].unknown
    cluster.await_leader(others(cluster, broken.node))


@pytest.mark.parametrize("lost", [1, 2])
def test_idle_group_sends_only_heartbeats(lost: int) -> None:
    cluster = founded_cluster()
    cluster.run(3.0)
    cluster.keep_sent = True
    for node in others(cluster, cluster.await_leader().node)[: lost - 1]:
        cluster.crash(node)

    cluster.run(10.0)

    kinds = {type(message) for *_, message in cluster.sent}
    assert kinds == {wire.RaftHeartbeat, wire.RaftHeartbeatReply}
    assert len(cluster.sent) <= 10 * 10 * 4 + 8
