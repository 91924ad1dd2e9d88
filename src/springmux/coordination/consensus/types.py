"""Shared types of the replicated log: entries, hard state, group membership, snapshots."""

from __future__ import annotations

import enum

import msgspec

from springmux.coordination.identifiers import GroupId, LogIndex, NodeId, ReplicaId, Term


class EntryKind(enum.StrEnum):
    """What a log entry holds."""

    COMMAND = "command"
    """Bytes for the application's state machine."""
    MEMBERS = "members"
    """An encoded :class:`GroupMembers`; takes effect when appended (Ongaro 2014, section 4.1)."""
    BARRIER = "barrier"
    """Empty entry that a new leader commits first (Ongaro 2014, section 6.4)."""


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log."""

    index: LogIndex
    term: Term
    kind: EntryKind
    data: bytes


class GroupMember(msgspec.Struct, frozen=True, array_like=True):
    """One replica of a group. Messages to it are sent to ``node``."""

    replica: ReplicaId
    node: NodeId
    voter: bool


class GroupMembers(msgspec.Struct, frozen=True, array_like=True):
    """The replicas of a group; changed by one member at a time."""

    members: tuple[GroupMember, ...]

    def voters(self) -> tuple[GroupMember, ...]:
        """Return the members whose votes and acknowledgements count."""
        return tuple(member for member in self.members if member.voter)

    def quorum(self) -> int:
        """Return how many voters are a majority."""
        return len(self.voters()) // 2 + 1

    def find(self, replica: ReplicaId) -> GroupMember | None:
        """Return the member with this identity, if any."""
        return next((member for member in self.members if member.replica == replica), None)


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """State that a replica must have on disk before it replies (Raft, figure 2)."""

    term: Term
    voted_for: ReplicaId | None


class SnapshotMeta(msgspec.Struct, frozen=True, array_like=True):
    """Identity of a snapshot, which contains the state up to ``index``."""

    index: LogIndex
    term: Term
    members: GroupMembers
    size_bytes: int = 0


class RecoveredState(msgspec.Struct, frozen=True):
    """State that storage recovered from a data folder at start.

    ``group`` is ``None`` in a folder that was never part of a group. ``entries`` follow the snapshot
    without a gap. Those up to ``committed`` were known to be committed at the newest write.
    ``first_start``: the replica was created at the first start of the whole system.
    """

    replica: ReplicaId
    group: GroupId | None
    hard_state: HardState
    snapshot: SnapshotMeta | None
    snapshot_data: bytes
    entries: tuple[Entry, ...]
    founding_members: GroupMembers | None = None
    committed: LogIndex = LogIndex(0)
    first_start: bool = False
