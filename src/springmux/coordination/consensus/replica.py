"""One replica of a log replicated by Raft: a pure state machine that maps events to effects.

This module dispatches each event to the module in charge and then advances all modules in a fixed
order. Sources: Ongaro and Ousterhout, "In search of an understandable consensus algorithm", 2014
(called Raft here); Ongaro, "Consensus: bridging theory and practice", 2014.
"""

from __future__ import annotations

import random

from springmux.coordination.consensus.abandonment import Abandonment
from springmux.coordination.consensus.core import ReplicaCore
from springmux.coordination.consensus.effects import (
    ConfirmRead,
    DiskStalled,
    Persisted,
    PersistFailed,
    ProposalDropped,
    Propose,
    ReadConfirmed,
    ReplicaStatus,
    SnapshotFailed,
    SnapshotInstalled,
    SnapshotTaken,
    TransferLeadership,
)
from springmux.coordination.consensus.election import Election
from springmux.coordination.consensus.events import ChangeMember, FoundingCandidates, StopAnnounced
from springmux.coordination.consensus.follower import Follower
from springmux.coordination.consensus.founding import Founding
from springmux.coordination.consensus.joining import Joining
from springmux.coordination.consensus.leadership_transfer import LeadershipTransfer
from springmux.coordination.consensus.membership_change import MembershipChange
from springmux.coordination.consensus.messages import (
    RaftAppend,
    RaftAppendReply,
    RaftForeignGroup,
    RaftFoundingCommit,
    RaftFoundingPromise,
    RaftFoundingRefusal,
    RaftFoundingRelease,
    RaftFoundingRequest,
    RaftFoundingUnborn,
    RaftHeartbeat,
    RaftHeartbeatReply,
    RaftJoinRequest,
    RaftPreVote,
    RaftPreVoteReply,
    RaftProvenFoundingRequest,
    RaftSnapshotChunk,
    RaftSnapshotReply,
    RaftTimeoutNow,
    RaftVote,
    RaftVoteReply,
    RaftWelcome,
    ReplicaMessage,
)
from springmux.coordination.consensus.proposals import Proposals
from springmux.coordination.consensus.reads import Reads
from springmux.coordination.consensus.replication import Replication
from springmux.coordination.consensus.settings import ConsensusSettings
from springmux.coordination.consensus.snapshot_transfer import SnapshotReceiver, SnapshotSender
from springmux.coordination.consensus.snapshots import Snapshots
from springmux.coordination.consensus.types import RecoveredState
from springmux.coordination.identifiers import NodeId
from springmux.coordination.state_machine import NEVER, Effect, Event, MessageReceived, PeerMessage


class Replica:
    """A replica of the control log.

    :param recovered: state that storage recovered from the data folder.
    :param node: name of the node on which the replica runs.
    :param random: seeded generator for randomized timeouts and for group identities.
    """

    def __init__(
        self,
        recovered: RecoveredState,
        node: NodeId,
        random: random.Random,
        settings: ConsensusSettings = ConsensusSettings(),
    ) -> None:
        core = self._core = ReplicaCore(recovered, node, random, settings)
        self._snapshot_sender = SnapshotSender(core)
        self._replication = Replication(core, self._snapshot_sender)
        self._election = Election(core, self._replication.become_leader)
        self._follower = Follower(core)
        self._snapshot_receiver = SnapshotReceiver(core, self._follower)
        self._snapshots = Snapshots(core)
        self._proposals = Proposals(core, self._replication)
        self._reads = Reads(core, self._replication)
        self._transfer = LeadershipTransfer(core, self._replication)
        self._membership = MembershipChange(core, self._replication, self._proposals)
        self._abandonment = Abandonment(core)
        self._founding = Founding(core, self._abandonment)
        self._joining = Joining(core, self._founding)

    @property
    def leading(self) -> bool:
        """Whether this replica leads and its state contains every acknowledged command."""
        return self._core.leading

    def leader_node(self) -> NodeId | None:
        """Return the node of the leader that this replica follows or is."""
        return self._core.leader_node

    def status(self) -> ReplicaStatus:
        """Return a summary for status pages."""
        core = self._core
        return ReplicaStatus(
            replica=core.replica,
            group=core.group,
            term=core.term,
            leader=core.leader,
            leading=core.leading,
            commit_index=core.commit_index,
            applied_index=core.applied_index,
            last_index=core.log.last_index,
            members=core.log.members,
            disk_full=core.durability.full,
            stopped=core.stopped,
        )

    def next_deadline(self) -> float:
        """Return the monotonic time in seconds at which the next :class:`Tick` is due."""
        core = self._core
        if core.stopped:
            return NEVER
        if not core.started:
            return 0.0
        role_deadline = core.leadership.heartbeat_at if core.leadership else self._non_leader_deadline()
        return min(
            role_deadline, core.durability.deadline(), self._snapshots.deadline(), self._transfer.deadline()
        )

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle one event at monotonic time ``now`` (seconds); return the effects to execute."""
        core = self._core
        core.now = now
        if core.stopped:
            self._reject(event)
            return core.take_effects()
        if not core.started:
            core.started = True
            core.reset_election_deadline()
            if core.group is not None:
                core.shorten_election_deadline()
            self._founding.start()
            self._joining.start()
        self._dispatch(event)
        self._advance()
        core.announce_leader()
        return core.take_effects()

    def _non_leader_deadline(self) -> float:
        if self._core.group is None:
            return min(self._founding.deadline(), self._joining.deadline())
        return min(self._election.deadline(), self._founding.deadline(), self._joining.deadline())

    def _dispatch(self, event: Event) -> None:
        match event:
            case MessageReceived():
                self._receive(event.message, event.sender)
            case Persisted():
                self._core.durability.on_persisted(event.batch)
            case Propose():
                self._proposals.on_propose(event)
            case ConfirmRead():
                self._reads.on_request(event.correlation_id)
            case TransferLeadership():
                self._transfer.begin(event.target)
            case ChangeMember():
                self._membership.on_change_request(event)
            case FoundingCandidates():
                self._founding.on_candidates(event)
                self._joining.reported_leader_node = event.leader
            case StopAnnounced():
                self._follower.on_stop_announced()
            case _:
                self._dispatch_storage(event)

    def _dispatch_storage(self, event: Event) -> None:
        core = self._core
        match event:
            case PersistFailed(full=True):
                core.durability.on_disk_full(event.batch, core.now)
            case PersistFailed():
                core.stop(f"the disk failed: {event.reason}")
            case DiskStalled():
                core.durability.stalled = not core.durability.idle
            case SnapshotTaken():
                self._snapshots.on_taken(event)
            case SnapshotFailed():
                if not self._snapshot_receiver.on_failed(event.index, event.reason):
                    self._snapshots.on_failed(event)
            case SnapshotInstalled():
                self._snapshot_receiver.on_installed(event)

    def _receive(self, message: PeerMessage, sender: NodeId) -> None:
        core = self._core
        match message:
            case RaftJoinRequest():
                if core.group is not None:
                    self._membership.on_join_request(message)
                else:
                    self._founding.on_join_request(message)
            case RaftFoundingRefusal():
                self._founding.on_refusal(message)
            case RaftForeignGroup():
                self._abandonment.on_foreign_group(message)
            case ReplicaMessage() if message.target != core.replica or message.group != core.group:
                self._receive_from_outside(message, sender)
            case RaftPreVote():
                self._abandonment.postpone()
                self._election.on_pre_vote(message, sender)
            case ReplicaMessage():
                self._receive_from_member(message, sender)

    def _receive_from_outside(self, message: ReplicaMessage, sender: NodeId) -> None:
        """Handle a message that names another group or another replica identity.

        If the identity differs or this replica has a group, founding messages are refused and others dropped.
        """
        core = self._core
        founding = isinstance(message, RaftFoundingRequest | RaftProvenFoundingRequest | RaftFoundingCommit)
        if message.target != core.replica or core.group is not None:
            if founding:
                self._founding.refuse(message, sender)
            return
        match message:
            case RaftFoundingRequest():
                self._founding.on_request(message, sender)
            case RaftProvenFoundingRequest():
                self._founding.on_proven_request(message, sender)
            case RaftFoundingPromise():
                self._founding.on_promise(message)
            case RaftFoundingRelease():
                self._founding.on_release(message)
            case RaftFoundingCommit():
                self._founding.on_commit(message)
            case RaftWelcome():
                self._founding.on_welcome(message)
            case _:
                self._joining.send_request(sender)

    def _receive_from_member(self, message: ReplicaMessage, sender: NodeId) -> None:
        match message:
            case RaftHeartbeat():
                self._follower.on_heartbeat(message, sender)
            case RaftHeartbeatReply():
                self._replication.on_heartbeat_reply(message)
            case RaftAppend():
                self._follower.on_append(message, sender)
            case RaftAppendReply():
                self._replication.on_append_reply(message)
            case RaftSnapshotChunk():
                self._snapshot_receiver.on_chunk(message, sender)
            case RaftSnapshotReply():
                self._on_snapshot_reply(message)
            case RaftFoundingCommit():
                self._abandonment.on_repeated_commit(message, sender)
            case RaftFoundingUnborn():
                self._abandonment.on_unborn(message)
            case _:
                self._receive_election(message, sender)

    def _receive_election(self, message: ReplicaMessage, sender: NodeId) -> None:
        match message:
            case RaftPreVoteReply():
                self._election.on_pre_vote_reply(message)
            case RaftVote():
                self._election.on_vote(message, sender)
            case RaftVoteReply():
                self._election.on_vote_reply(message)
            case RaftTimeoutNow():
                self._election.on_timeout_now(message)

    def _on_snapshot_reply(self, message: RaftSnapshotReply) -> None:
        progress = self._replication.record_contact(message.term, message.source)
        if progress is None:
            return
        installed = self._snapshot_sender.on_reply(progress, message)
        if installed is not None:
            self._replication.on_acknowledged(progress, installed)

    def _advance(self) -> None:
        """Run timers, commit and apply entries, report results, then send to peers and write to disk."""
        core = self._core
        if core.stopped:
            return
        self._replication.on_tick()
        if core.group is not None:
            self._election.on_tick()
        self._founding.on_tick()
        if core.stopped:
            return
        self._joining.on_tick()
        self._replication.advance_commit()
        self._proposals.apply_committed()
        self._membership.step_down_if_removed()
        self._transfer.step()
        self._membership.step()
        self._reads.advance()
        self._replication.send_entries()
        self._snapshot_receiver.install_when_idle()
        self._snapshots.request_when_due()
        batch = core.durability.start_batch(core.now, core.commit_index)
        if batch is not None:
            core.emit(batch)

    def _reject(self, event: Event) -> None:
        core = self._core
        reason = f"the replica has stopped: {core.stopped}"
        match event:
            case Propose() | ChangeMember():
                core.emit(ProposalDropped(event.correlation_id, unknown=False, reason=reason))
            case ConfirmRead():
                core.emit(ReadConfirmed(event.correlation_id, None))
