"""Messages between replicas.

Every message inside a group names the group, the sending replica and the addressed replica. A message
to another identity is dropped, so a wiped machine never replies under its former identity.
"""

from __future__ import annotations

from springmux.coordination.consensus.types import Entry, GroupMembers, SnapshotMeta
from springmux.coordination.identifiers import GroupId, LogIndex, NodeId, ReplicaId, Term
from springmux.coordination.state_machine import PeerMessage


class ReplicaMessage(PeerMessage, frozen=True):
    """Base of the messages inside a group. ``term`` is the sender's unless stated otherwise."""

    group: GroupId
    source: ReplicaId
    target: ReplicaId
    term: Term


class RaftPreVote(ReplicaMessage, frozen=True, tag="RaftPreVote"):
    """Request for a pre-vote in ``term``, the sender's next term (Ongaro 2014, section 9.6)."""

    last_index: LogIndex
    last_term: Term


class RaftPreVoteReply(ReplicaMessage, frozen=True, tag="RaftPreVoteReply"):
    """Reply to a pre-vote: ``term`` is the requested one if granted, otherwise the voter's own."""

    granted: bool


class RaftVote(ReplicaMessage, frozen=True, tag="RaftVote"):
    """RequestVote (Raft, figure 2). ``transfer``: the former leader requested this election."""

    last_index: LogIndex
    last_term: Term
    transfer: bool = False


class RaftVoteReply(ReplicaMessage, frozen=True, tag="RaftVoteReply"):
    """Reply to a vote request; a vote is on disk before the reply that grants it is sent."""

    granted: bool


class RaftAppend(ReplicaMessage, frozen=True, tag="RaftAppend"):
    """AppendEntries (Raft, figure 2)."""

    previous_index: LogIndex
    previous_term: Term
    commit: LogIndex
    entries: tuple[Entry, ...] = ()


class RaftAppendReply(ReplicaMessage, frozen=True, tag="RaftAppendReply"):
    """Reply to an append. Accepted: entries up to ``index`` match and are on disk.

    Rejected: ``index`` echoes ``previous_index``; ``hint_index`` and ``hint_term`` identify the
    follower's newest entry that may match (Raft, section 5.3).
    """

    accepted: bool
    index: LogIndex
    hint_index: LogIndex = LogIndex(0)
    hint_term: Term = Term(0)


class RaftHeartbeat(ReplicaMessage, frozen=True, tag="RaftHeartbeat"):
    """Heartbeat, never queued behind entries; replies to its ``round`` confirm reads (Ongaro 2014, 6.4)."""

    commit: LogIndex
    round: int


class RaftHeartbeatReply(ReplicaMessage, frozen=True, tag="RaftHeartbeatReply"):
    """Reply to a heartbeat. ``storage_ready``: the disk is neither stalled nor full.

    ``leaving``: the sender's process is about to stop.
    """

    round: int
    storage_ready: bool = True
    leaving: bool = False


class RaftSnapshotChunk(ReplicaMessage, frozen=True, tag="RaftSnapshotChunk"):
    """A chunk of a snapshot (Ongaro 2014, section 5.3)."""

    meta: SnapshotMeta
    offset: int
    data: bytes


class RaftSnapshotReply(ReplicaMessage, frozen=True, tag="RaftSnapshotReply"):
    """Reply to a chunk: ``next_offset`` is the offset in bytes to send next, or -1 after installation."""

    index: LogIndex
    next_offset: int


class RaftTimeoutNow(ReplicaMessage, frozen=True, tag="RaftTimeoutNow"):
    """Request to start an election immediately (Ongaro 2014, section 3.10)."""


class RaftWelcome(ReplicaMessage, frozen=True, tag="RaftWelcome"):
    """Notification from the group's leader to a new replica that it is a member."""

    members: GroupMembers


class RaftFoundingRequest(ReplicaMessage, frozen=True, tag="RaftFoundingRequest"):
    """Request to promise, for a short time, to help found only the proposed group ``group``."""


class RaftProvenFoundingRequest(ReplicaMessage, frozen=True, tag="RaftProvenFoundingRequest"):
    """The same request to a replica that wasn't created at the first start.

    The founder commits only if enough other members were, so that no other group can exist.
    """


class RaftFoundingPromise(ReplicaMessage, frozen=True, tag="RaftFoundingPromise"):
    """Reply that promises to help found ``group`` and no other."""


class RaftFoundingRelease(ReplicaMessage, frozen=True, tag="RaftFoundingRelease"):
    """Notification that the founder gave up the attempt before it was complete: the promise is void."""


class RaftFoundingCommit(ReplicaMessage, frozen=True, tag="RaftFoundingCommit"):
    """Notification that all members promised: the group exists with these members."""

    members: GroupMembers
    lost_members: int = 0
    """How many of the members the sender knows to be permanently lost."""


class RaftFoundingUnborn(ReplicaMessage, frozen=True, tag="RaftFoundingUnborn"):
    """Reply to a founding commit by a member whose log is empty; ``lost_members`` echoes the commit's."""

    lost_members: int = 0


class RaftFoundingRefusal(PeerMessage, frozen=True, tag="RaftFoundingRefusal"):
    """Reply that the addressed replica can't be part of ``group``: it has another identity or group.

    ``own_group`` is empty for a replica without a group; ``commit`` is the sender's commit index.
    ``joins_only``: the replica may not found any group.
    """

    group: GroupId
    addressed: ReplicaId
    replica: ReplicaId
    own_group: str
    commit: LogIndex
    joins_only: bool = False


class RaftJoinRequest(PeerMessage, frozen=True, tag="RaftJoinRequest"):
    """Request of a replica to become a member; any controller forwards it once to its leader.

    ``joins_only``: the replica may not found any group.
    """

    replica: ReplicaId
    node: NodeId
    group: str = ""
    forwarded: bool = False
    joins_only: bool = False


class RaftForeignGroup(PeerMessage, frozen=True, tag="RaftForeignGroup"):
    """Notification from an established group to a replica of another group, which never committed."""

    target: ReplicaId
    group: GroupId
    commit: LogIndex


MESSAGES: tuple[type[PeerMessage], ...] = (
    RaftPreVote,
    RaftPreVoteReply,
    RaftVote,
    RaftVoteReply,
    RaftAppend,
    RaftAppendReply,
    RaftHeartbeat,
    RaftHeartbeatReply,
    RaftSnapshotChunk,
    RaftSnapshotReply,
    RaftTimeoutNow,
    RaftWelcome,
    RaftFoundingRequest,
    RaftProvenFoundingRequest,
    RaftFoundingPromise,
    RaftFoundingRelease,
    RaftFoundingCommit,
    RaftFoundingUnborn,
    RaftFoundingRefusal,
    RaftJoinRequest,
    RaftForeignGroup,
)
