"""Effects of a single replica in reply to single events, from a given recovered state."""

import random

from springmux.coordination.consensus import messages as wire
from springmux.coordination.consensus.core import RESTART_AS_NEW
from springmux.coordination.consensus.effects import (
    Apply,
    LeadershipChanged,
    Persist,
    Persisted,
    PersistFailed,
    ReplicaStopped,
    SnapshotInstalled,
)
from springmux.coordination.consensus.replica import Replica
from springmux.coordination.consensus.types import (
    Entry,
    EntryKind,
    GroupMember,
    GroupMembers,
    HardState,
    RecoveredState,
    SnapshotMeta,
)
from springmux.coordination.state_machine import MessageReceived, PeerMessage, Send, Tick

MEMBERS = GroupMembers(tuple(GroupMember(f"r{n}", n, True) for n in "abc"))


def entry(index: int, term: int, data: bytes = b"x") -> Entry:
    return Entry(index, term, EntryKind.COMMAND, data)


def replica_b(
    term: int = 2, entries: tuple[Entry, ...] = (entry(1, 1),), voted_for: str | None = None
) -> Replica:
    recovered = RecoveredState("rb", "g", HardState(term, voted_for), None, b"", entries, MEMBERS)
    replica = Replica(recovered, "b", random.Random(1))
    replica.handle(Tick(), 0.0)
    return replica


def sent(effects: list) -> list[PeerMessage]:
    return [effect.message for effect in effects if isinstance(effect, Send)]


def persist(effects: list) -> Persist:
    return next(effect for effect in effects if isinstance(effect, Persist))


def vote(source: str, term: int = 3, last: tuple[int, int] = (1, 1), target: str = "rb") -> MessageReceived:
    return MessageReceived(source[1:], wire.RaftVote("g", source, target, term, *last))


def test_vote_is_sent_only_after_it_is_on_disk() -> None:
    replica = replica_b()

    effects = replica.handle(vote("ra"), 0.1)
    assert sent(effects) == []
    assert persist(effects).hard_state == HardState(3, "ra")

    effects = replica.handle(Persisted(persist(effects).batch), 0.2)
    assert sent(effects) == [wire.RaftVoteReply("g", "rb", "ra", 3, True)]


def test_replica_votes_once_per_term_even_after_a_restart() -> None:
    replica = replica_b(term=3, voted_for="ra")

    assert sent(replica.handle(vote("rc"), 0.1)) == [wire.RaftVoteReply("g", "rb", "rc", 3, False)]
    assert sent(replica.handle(vote("ra"), 0.1)) == [wire.RaftVoteReply("g", "rb", "ra", 3, True)]


def test_vote_for_another_identity_of_this_node_is_dropped() -> None:
    replica = replica_b()

    assert replica.handle(vote("ra", target="old-rb"), 0.1) == []
    assert replica.status().term == 2


def test_conflicting_entries_are_replaced_and_acknowledged_once_durable() -> None:
    replica = replica_b(entries=(entry(1, 1), entry(2, 1), entry(3, 1)))
    append = wire.RaftAppend("g", "ra", "rb", 2, 1, 1, 0, (entry(2, 2),))

    effects = replica.handle(MessageReceived("a", append), 0.1)
    batch = persist(effects)
    assert sent(effects) == []
    assert (batch.truncate_from, batch.entries) == (2, (entry(2, 2),))

    effects = replica.handle(Persisted(batch.batch), 0.2)
    assert sent(effects) == [wire.RaftAppendReply("g", "rb", "ra", 2, True, 2)]


def test_append_after_a_gap_is_rejected_with_a_hint() -> None:
    replica = replica_b()
    append = wire.RaftAppend("g", "ra", "rb", 2, 9, 2, 0, ())

    effects = replica.handle(MessageReceived("a", append), 0.1)

    assert sent(effects) == [wire.RaftAppendReply("g", "rb", "ra", 2, False, 9, 1, 1)]


def test_batch_that_found_no_space_is_written_again_with_later_entries() -> None:
    replica = replica_b()
    first = wire.RaftAppend("g", "ra", "rb", 2, 1, 1, 0, (entry(2, 2),))
    second = wire.RaftAppend("g", "ra", "rb", 2, 2, 2, 0, (entry(3, 2),))
    batch = persist(replica.handle(MessageReceived("a", first), 0.1))
    replica.handle(MessageReceived("a", second), 0.1)

    replica.handle(PersistFailed(batch.batch, True, "no space"), 0.2)
    assert replica.status().disk_full
    effects = replica.handle(Tick(), 0.2 + 0.5)

    assert persist(effects).entries == (entry(2, 2), entry(3, 2))
    assert len(sent(replica.handle(Persisted(persist(effects).batch), 0.8))) == 2


def leader_b(entries: tuple[Entry, ...]) -> tuple[Replica, float]:
    """Return a replica that won the election of term 3, with its barrier not on disk yet."""
    replica = replica_b(entries=entries)
    now = replica.next_deadline()
    replica.handle(Tick(), now)
    effects = replica.handle(MessageReceived("a", wire.RaftPreVoteReply("g", "ra", "rb", 3, True)), now)
    replica.handle(Persisted(persist(effects).batch), now)
    effects = replica.handle(MessageReceived("a", wire.RaftVoteReply("g", "ra", "rb", 3, True)), now)
    assert replica.status().leader == "rb"
    assert persist(effects).entries[0].kind is EntryKind.BARRIER
    return replica, now


def test_entry_of_an_earlier_term_is_not_committed_by_counting_replicas() -> None:
    """Guards against the lost commit of figure 8 in the Raft paper."""
    replica, now = leader_b((entry(1, 1), entry(2, 2)))

    replica.handle(MessageReceived("a", wire.RaftAppendReply("g", "ra", "rb", 3, True, 2)), now)
    assert replica.status().commit_index == 0

    replica.handle(Persisted(2), now)
    effects = replica.handle(MessageReceived("a", wire.RaftAppendReply("g", "ra", "rb", 3, True, 3)), now)
    applied = next(effect for effect in effects if isinstance(effect, Apply))
    assert [item.index for item in applied.entries] == [1, 2, 3]
    assert replica.leading


def test_leader_counts_itself_only_for_entries_on_its_disk() -> None:
    replica, now = leader_b((entry(1, 1),))

    replica.handle(MessageReceived("a", wire.RaftAppendReply("g", "ra", "rb", 3, True, 2)), now)
    assert replica.status().commit_index == 0

    replica.handle(Persisted(2), now)
    assert replica.status().commit_index == 2


def test_leader_with_a_failed_disk_reports_the_end_of_its_leadership() -> None:
    replica, now = leader_b((entry(1, 1),))

    effects = replica.handle(PersistFailed(2, False, "input/output error"), now)

    assert effects[-1] == LeadershipChanged(3, None, False)


def test_log_with_only_a_barrier_yields_to_an_established_group_and_one_with_a_command_does_not() -> None:
    barrier = Entry(1, 2, EntryKind.BARRIER, b"")
    foreign_group = MessageReceived("x", wire.RaftForeignGroup("rb", "other", 5))

    (stopped,) = replica_b(entries=(barrier,)).handle(foreign_group, 0.1)

    assert isinstance(stopped, ReplicaStopped) and stopped.restart_as_new
    assert stopped.reason.startswith(RESTART_AS_NEW)
    assert replica_b(entries=(barrier, entry(2, 2))).handle(foreign_group, 0.1) == []


def test_window_limits_the_bytes_in_flight() -> None:
    replica, now = leader_b(tuple(entry(n, 1, bytes(400_000)) for n in range(1, 41)))

    effects = replica.handle(
        MessageReceived("a", wire.RaftAppendReply("g", "ra", "rb", 3, False, 40, 0, 0)), now
    )
    assert [len(m.entries) for m in sent(effects) if isinstance(m, wire.RaftAppend)] == [1]
    effects = replica.handle(MessageReceived("a", wire.RaftAppendReply("g", "ra", "rb", 3, True, 1)), now)

    frames = [m for m in sent(effects) if isinstance(m, wire.RaftAppend)]
    window = replica._core.settings.max_inflight_bytes
    assert window <= sum(len(m.entries) * 400_000 for m in frames) < window + 500_000


def test_snapshot_installed_on_a_full_disk_leaves_no_deadline_in_the_past() -> None:
    replica = replica_b(voted_for="ra")
    append = wire.RaftAppend("g", "ra", "rb", 2, 1, 1, 0, (entry(2, 2),))
    batch = persist(replica.handle(MessageReceived("a", append), 0.1))
    replica.handle(PersistFailed(batch.batch, True, "no space"), 0.2)
    assert replica.status().disk_full
    meta = SnapshotMeta(9, 2, MEMBERS, 4)
    chunk = wire.RaftSnapshotChunk("g", "ra", "rb", 2, meta, 0, b"data")
    replica.handle(MessageReceived("a", chunk), 0.3)

    replica.handle(Tick(), 0.75)
    assert replica.next_deadline() > 0.75, "no deadline in the past while the snapshot is being installed"

    replica.handle(SnapshotInstalled(meta), 0.8)
    replica.handle(Tick(), 0.8)
    assert replica.next_deadline() > 0.8, "no deadline in the past when nothing is left to write"
    assert not replica.status().disk_full


def test_commit_index_is_written_with_a_batch_but_causes_none() -> None:
    replica = replica_b(entries=(entry(1, 1), entry(2, 2)))
    appended = wire.RaftAppend("g", "ra", "rb", 2, 2, 2, 2, ())
    effects = replica.handle(MessageReceived("a", appended), 0.1)
    assert Apply((entry(1, 1), entry(2, 2))) in effects
    assert not any(isinstance(effect, Persist) for effect in effects)
    assert persist(replica.handle(vote("rc", last=(2, 2), term=4), 5.0)).committed == 2


def test_recovered_commit_index_beyond_a_torn_log_applies_the_remaining_entries() -> None:
    entries = (entry(1, 1), entry(2, 1))
    recovered = RecoveredState("rb", "g", HardState(2, None), None, b"", entries, MEMBERS, committed=9)
    assert Apply(entries) in Replica(recovered, "b", random.Random(1)).handle(Tick(), 0.0)
