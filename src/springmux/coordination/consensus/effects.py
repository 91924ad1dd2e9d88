"""Effects of a replica, and the events by which its driver reports their results or makes requests."""

from __future__ import annotations

import msgspec

from springmux.coordination.consensus.types import Entry, GroupMembers, HardState, SnapshotMeta
from springmux.coordination.identifiers import GroupId, LogIndex, ReplicaId, Term
from springmux.coordination.state_machine import Effect, Event


class Persist(Effect, frozen=True):
    """Write and fsync, then report :class:`Persisted` with the same ``batch``. Batches are in order.

    ``truncate_from``: first drop every entry at or after this index. ``founding``: the group to which this
    folder now belongs, with its first members. ``committed``: the commit index known now; entries up to it
    may be applied at the next start before a leader is known.
    """

    batch: int
    hard_state: HardState | None = None
    truncate_from: LogIndex | None = None
    entries: tuple[Entry, ...] = ()
    founding: tuple[GroupId, GroupMembers] | None = None
    committed: LogIndex = LogIndex(0)


class Persisted(Event, frozen=True):
    """The batch is on disk (fsync returned)."""

    batch: int


class PersistFailed(Event, frozen=True):
    """The batch could not be written; nothing of it counts. ``full``: the disk has no space left.

    After any other failure the replica stops with a reason for the operator (fsync errors can't be retried).
    """

    batch: int
    full: bool
    reason: str


class DiskStalled(Event, frozen=True):
    """A write has been pending for ``waited_s`` seconds; a leader transfers its leadership."""

    waited_s: float


class Apply(Effect, frozen=True):
    """These entries are committed; apply them in order to the state machine, on every replica."""

    entries: tuple[Entry, ...]


class TakeSnapshot(Effect, frozen=True):
    """Serialize the state machine at ``index``, store it, then report :class:`SnapshotTaken`."""

    index: LogIndex
    term: Term
    members: GroupMembers


class SnapshotTaken(Event, frozen=True):
    """A snapshot is durable; the log before it, except for a margin, may be compacted."""

    meta: SnapshotMeta
    data: bytes


class SnapshotFailed(Event, frozen=True):
    """Taking the snapshot failed; the log stays, and the replica tries again later."""

    index: LogIndex
    reason: str


class CompactLog(Effect, frozen=True):
    """Entries before ``first_kept`` are in a durable snapshot and may be removed from disk."""

    first_kept: LogIndex


class InstallSnapshot(Effect, frozen=True):
    """Store a leader's complete snapshot, replace log and state by it, then report ``SnapshotInstalled``."""

    meta: SnapshotMeta
    data: bytes


class SnapshotInstalled(Event, frozen=True):
    """The received snapshot is durable and the state machine was replaced by it."""

    meta: SnapshotMeta


class Propose(Event, frozen=True):
    """Append a command (leader only). ``correlation_id`` identifies the command in the reply."""

    correlation_id: str
    data: bytes


class ProposalCommitted(Effect, frozen=True):
    """The command is committed at ``index``; it is applied by the ``Apply`` effect before this one."""

    correlation_id: str
    index: LogIndex


class ProposalDropped(Effect, frozen=True):
    """The command was rejected (``unknown=False``) or its outcome is unknown (``unknown=True``)."""

    correlation_id: str
    unknown: bool
    reason: str


class ConfirmRead(Event, frozen=True):
    """Request a linearizable read point (ReadIndex, Ongaro 2014, section 6.4)."""

    correlation_id: str


class ReadConfirmed(Effect, frozen=True):
    """State applied up to ``index`` is current as of the request; ``None``: the read was rejected."""

    correlation_id: str
    index: LogIndex | None


class TransferLeadership(Event, frozen=True):
    """Transfer leadership to ``target``, or to the most advanced voter."""

    target: ReplicaId | None = None


class LeadershipChanged(Effect, frozen=True):
    """The leader known to this replica changed. ``leading``: this replica leads and committed its barrier."""

    term: Term
    leader: ReplicaId | None
    leading: bool


class ReplicaStopped(Effect, frozen=True):
    """The replica can't continue (corrupt or failing disk, foreign group); operators read the reason.

    ``restart_as_new``: the data folder may be emptied and the replica restarted under a new identity,
    because the folder holds nothing that was acknowledged.
    """

    reason: str
    restart_as_new: bool = False


class ReplicaStatus(msgspec.Struct, frozen=True):
    """Summary of a replica for status pages."""

    replica: ReplicaId
    group: GroupId | None
    term: Term
    leader: ReplicaId | None
    leading: bool
    commit_index: LogIndex
    applied_index: LogIndex
    last_index: LogIndex
    members: GroupMembers
    disk_full: bool = False
    stopped: str = ""
