"""State that the modules of a replica share: identity, term, role, log, timers and collected effects.

Roles and terms change only through the methods here, so that the consequences of a change are in one place.
"""

from __future__ import annotations

import enum
import random
from collections import deque

import msgspec

from springmux.coordination.consensus.durability import Durability
from springmux.coordination.consensus.effects import (
    LeadershipChanged,
    ProposalDropped,
    ReadConfirmed,
    ReplicaStopped,
)
from springmux.coordination.consensus.log import ReplicatedLog, build_log
from springmux.coordination.consensus.settings import ConsensusSettings
from springmux.coordination.consensus.types import GroupMember, HardState, RecoveredState, SnapshotMeta
from springmux.coordination.identifiers import GroupId, LogIndex, NodeId, ReplicaId, Term
from springmux.coordination.state_machine import NEVER, Effect, LogLevel, LogLine, PeerMessage, Send

RESTART_AS_NEW = "restart as a new replica: "
"""Prefix of the stop reasons that operators see when ``restart_as_new`` is set."""


class Role(enum.Enum):
    """Role of a replica in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ProgressState(enum.Enum):
    """How a leader sends entries to a follower."""

    PROBE = "probe"
    """One message at a time, until the leader knows where the follower's log matches its own."""
    REPLICATE = "replicate"
    """Pipelining: many messages are in flight."""
    SNAPSHOT = "snapshot"
    """The follower needs entries that were compacted, so the leader sends chunks of a snapshot."""


class SnapshotTransfer(msgspec.Struct):
    """A snapshot that the leader is sending, and the offset of its next chunk."""

    meta: SnapshotMeta
    data: bytes
    offset: int = 0


class InFlightAppend(msgspec.Struct, frozen=True):
    """Entries that were sent in one message and aren't acknowledged yet; the last is at ``last_index``."""

    last_index: LogIndex
    size_bytes: int


class Progress(msgspec.Struct):
    """Replication state of one follower, on the leader."""

    replica: ReplicaId
    node: NodeId
    next_index: LogIndex
    last_contact: float
    resend_wait_s: float
    match_index: LogIndex = LogIndex(0)
    state: ProgressState = ProgressState.PROBE
    in_flight: deque[InFlightAppend] = msgspec.field(default_factory=deque)
    in_flight_bytes: int = 0
    awaiting_reply: bool = False
    """Whether entries or a snapshot chunk were sent and aren't acknowledged yet."""
    resend_at: float = NEVER
    acknowledged_round: int = 0
    storage_ready: bool = True
    leaving: bool = False
    """Whether the follower's process announced that it is about to stop."""
    backed_off_at: float = -NEVER
    """Monotonic time in seconds at which a rejection last ended pipelining."""
    transfer: SnapshotTransfer | None = None


class PendingProposal(msgspec.Struct, frozen=True):
    """An appended entry whose commit is to be reported to its proposer."""

    index: LogIndex
    correlation_id: str


class ReadBatch(msgspec.Struct, frozen=True):
    """Reads that heartbeat round ``round`` confirms; state applied up to ``index`` is current for them."""

    round: int
    index: LogIndex
    correlation_ids: tuple[str, ...]


class Leadership(msgspec.Struct):
    """State that a replica has only while it leads."""

    barrier_index: LogIndex
    heartbeat_at: float
    since: float
    progress: dict[ReplicaId, Progress] = {}
    round: int = 0
    proposals: deque[PendingProposal] = msgspec.field(default_factory=deque)
    uncommitted_bytes: int = 0
    waiting_reads: list[str] = []
    read_batches: deque[ReadBatch] = msgspec.field(default_factory=deque)
    transfer_target: ReplicaId | None = None
    transfer_deadline: float = NEVER
    transfer_sent: bool = False
    transfer_caused_by_disk: bool = False
    """Whether the transfer began because the leader's own disk is full or stalled.

    Such a transfer is cancelled once the disk accepts writes again.
    """


class ReplicaCore:
    """Shared state of one replica."""

    def __init__(
        self, recovered: RecoveredState, node: NodeId, rng: random.Random, settings: ConsensusSettings
    ) -> None:
        self.replica = recovered.replica
        self.node = node
        self.group: GroupId | None = recovered.group
        self.settings = settings
        self.random = rng
        self.now = 0.0
        self.started = False
        self.log: ReplicatedLog = build_log(recovered.snapshot, recovered.founding_members, recovered.entries)
        self.durability = Durability(recovered, self.log, settings.disk_retry_s)
        self.snapshot = recovered.snapshot
        self.snapshot_data = recovered.snapshot_data
        # Committed entries stay committed: after a power loss of all replicas they are applied before a
        # leader is elected.
        self.commit_index = max(self.log.base_index, min(recovered.committed, self.log.last_index))
        self.applied_index = self.log.base_index
        self.applied_bytes = 0
        """Size of the entries applied since the last snapshot was requested."""
        self.role = Role.FOLLOWER
        self.leader: ReplicaId | None = None
        self.leader_node: NodeId | None = None
        self.last_leader_contact = -NEVER
        self.election_deadline = NEVER
        self.leadership: Leadership | None = None
        self.stopped = ""
        self.leaving = False
        """Whether the process is about to stop."""
        self._announced_leadership: tuple[Term, ReplicaId | None, bool] = (self.term, None, False)
        self._effects: list[Effect] = []

    @property
    def term(self) -> Term:
        """The current term."""
        return self.durability.hard_state.term

    @property
    def leading(self) -> bool:
        """Whether this replica leads and has committed and applied its barrier entry."""
        return self.leadership is not None and self.applied_index >= self.leadership.barrier_index

    @property
    def member(self) -> GroupMember | None:
        """This replica's entry in the newest membership, or ``None`` if it isn't a member."""
        return self.log.members.find(self.replica)

    def emit(self, effect: Effect) -> None:
        """Add an effect to those of the event being handled."""
        self._effects.append(effect)

    def emit_log_line(self, name: str, level: LogLevel = LogLevel.INFO, **fields: object) -> None:
        """Add a structured log line to the effects of the event being handled."""
        self.emit(LogLine(name, level, dict(fields)))

    def send(self, node: NodeId, message: PeerMessage) -> None:
        """Send a message without waiting for the disk."""
        self.emit(Send(node, message))

    def send_durably(self, node: NodeId, message: PeerMessage) -> None:
        """Send a message once all changes made so far are on disk, unless the term has changed by then."""
        term = self.term

        def deliver() -> None:
            if self.term == term:
                self.send(node, message)

        self.durability.run_when_durable(deliver)

    def take_effects(self) -> list[Effect]:
        """Return the collected effects and start a new list."""
        effects, self._effects = self._effects, []
        return effects

    def reset_election_deadline(self) -> None:
        """Set the election deadline to a random election timeout from now (Raft, section 5.2)."""
        low, high = self.settings.election_timeout_min_s, self.settings.election_timeout_max_s
        self.election_deadline = self.now + self.random.uniform(low, high)

    def shorten_election_deadline(self) -> None:
        """Set the election deadline to a short random time, because no leader is known.

        Early requests for pre-votes do no harm: a pre-vote changes no state at the voters.
        """
        low, high = self.settings.first_election_min_s, self.settings.first_election_max_s
        self.election_deadline = self.now + self.random.uniform(low, high)

    def has_live_leader(self) -> bool:
        """Return whether this replica leads or recently had contact with a leader.

        Source: Ongaro 2014, section 4.2.3.
        """
        recent = self.now - self.last_leader_contact < self.settings.election_timeout_min_s
        return self.leadership is not None or (self.leader is not None and recent)

    def become_follower(self, term: Term, leader: ReplicaId | None = None) -> None:
        """Follow ``leader`` in ``term``; ``None`` if the leader of the term isn't known yet."""
        if term > self.term:
            self.durability.hard_state = HardState(term, None)
        self._end_leadership()
        self.role = Role.FOLLOWER
        self.leader = leader
        self.leader_node = None
        self.reset_election_deadline()

    def follow(self, term: Term, leader: ReplicaId, node: NodeId) -> None:
        """Follow the leader of ``term``, from which a message arrived."""
        if term > self.term or self.role is not Role.FOLLOWER:
            self.become_follower(term, leader)
        self.leader = leader
        self.leader_node = node
        self.last_leader_contact = self.now
        self.reset_election_deadline()

    def stop(self, reason: str, restart_as_new: bool = False) -> None:
        """Stop permanently; later requests are rejected."""
        if self.stopped:
            return
        self._end_leadership()
        self.leader = None
        self.leader_node = None
        self.stopped = reason
        self.emit(ReplicaStopped(reason, restart_as_new))

    def stop_to_restart_as_new(self, reason: str) -> None:
        """Stop permanently, so that the driver restarts with an emptied folder as a new replica.

        Only for a replica whose folder holds nothing that was acknowledged.
        """
        self.stop(RESTART_AS_NEW + reason, restart_as_new=True)

    def announce_leader(self) -> None:
        """Notify the driver if the known leader, the term or this replica's leadership changed."""
        present = (self.term, self.leader, self.leading)
        if present != self._announced_leadership:
            self._announced_leadership = present
            self.emit(LeadershipChanged(*present))

    def _end_leadership(self) -> None:
        leadership = self.leadership
        self.leadership = None
        if leadership is None:
            return
        for proposal in leadership.proposals:
            self.emit(ProposalDropped(proposal.correlation_id, unknown=True, reason="leadership lost"))
        correlation_ids = [
            correlation_id for batch in leadership.read_batches for correlation_id in batch.correlation_ids
        ]
        for correlation_id in [*correlation_ids, *leadership.waiting_reads]:
            self.emit(ReadConfirmed(correlation_id, None))
