"""Leader side of replication: probing, bounded pipelining, commit, heartbeats, check-quorum.

Sources: Raft, sections 5.3 and 5.4.2; Ongaro 2014, sections 6.2 (check-quorum) and 10.2 (pipelining,
batching). The three states of a follower's progress are those of the etcd implementation.
"""

from __future__ import annotations

from springmux.coordination.consensus.core import (
    InFlightAppend,
    Leadership,
    Progress,
    ProgressState,
    ReplicaCore,
)
from springmux.coordination.consensus.log import entry_bytes
from springmux.coordination.consensus.messages import (
    RaftAppend,
    RaftAppendReply,
    RaftHeartbeat,
    RaftHeartbeatReply,
    RaftTimeoutNow,
)
from springmux.coordination.consensus.snapshot_transfer import SnapshotSender
from springmux.coordination.consensus.types import Entry, EntryKind, GroupMember
from springmux.coordination.identifiers import LogIndex, ReplicaId, Term


class Replication:
    """Brings the followers' logs up to date with the leader's and advances the commit index."""

    def __init__(self, core: ReplicaCore, snapshots: SnapshotSender) -> None:
        self._core = core
        self._snapshots = snapshots

    def become_leader(self) -> None:
        """Start the leadership with a barrier entry (Ongaro 2014, section 6.4)."""
        core = self._core
        barrier = LogIndex(core.log.last_index + 1)
        core.leadership = Leadership(barrier_index=barrier, heartbeat_at=core.now, since=core.now)
        core.leader = core.replica
        core.leader_node = core.node
        self.track_members()
        self.append(EntryKind.BARRIER, b"")
        self.broadcast_heartbeat()

    def append(self, kind: EntryKind, data: bytes) -> LogIndex:
        """Append an entry of the current term to the leader's log and return its index."""
        core = self._core
        index = LogIndex(core.log.last_index + 1)
        core.log.append(Entry(index, core.term, kind, data))
        if kind is EntryKind.MEMBERS:
            self.track_members()
        return index

    def track_members(self) -> None:
        """Keep one :class:`Progress` for each other member."""
        core = self._core
        leadership = core.leadership
        assert leadership is not None
        others = [member for member in core.log.members.members if member.replica != core.replica]
        known = leadership.progress
        leadership.progress = {
            member.replica: known.get(member.replica) or self._new_progress(member) for member in others
        }
        for member in others:
            leadership.progress[member.replica].node = member.node

    def on_tick(self) -> None:
        """Send heartbeats, resend lost messages, and step down if no majority is reachable."""
        core = self._core
        leadership = core.leadership
        if leadership is None or core.now < leadership.heartbeat_at:
            return
        if not self._reaches_majority():
            core.emit_log_line("leader_lost_majority", term=core.term)
            self._nominate_successor(leadership)
            core.become_follower(core.term)
            return
        for progress in leadership.progress.values():
            self._check_resend(progress)
        self.broadcast_heartbeat()

    def broadcast_heartbeat(self) -> None:
        """Start a new heartbeat round."""
        core = self._core
        leadership = core.leadership
        assert leadership is not None and core.group is not None
        leadership.round += 1
        leadership.heartbeat_at = core.now + core.settings.heartbeat_s
        for progress in leadership.progress.values():
            commit = min(core.commit_index, progress.match_index)
            message = RaftHeartbeat(
                core.group, core.replica, progress.replica, core.term, commit, leadership.round
            )
            core.send(progress.node, message)

    def on_heartbeat_reply(self, message: RaftHeartbeatReply) -> None:
        """Record a follower's reply and the state that it reports."""
        progress = self.record_contact(message.term, message.source)
        if progress is None:
            return
        progress.acknowledged_round = max(progress.acknowledged_round, message.round)
        progress.storage_ready = message.storage_ready
        progress.leaving = message.leaving

    def on_append_reply(self, message: RaftAppendReply) -> None:
        """Advance a follower's window, or move it back to where the follower's log may match."""
        progress = self.record_contact(message.term, message.source)
        if progress is None:
            return
        if message.accepted:
            self.on_acknowledged(progress, message.index)
        elif message.index > progress.match_index:
            self._on_rejected(progress, message)

    def advance_commit(self) -> None:
        """Commit what a majority has on disk, if it is of the current term (Raft, section 5.4.2)."""
        core = self._core
        leadership = core.leadership
        if leadership is None:
            return
        voters = core.log.members.voters()
        matches = sorted((self._match_index_of(voter.replica) for voter in voters), reverse=True)
        if not matches:
            return
        index = matches[core.log.members.quorum() - 1]
        if index > core.commit_index and core.log.term_at(index) == core.term:
            core.commit_index = index

    def send_entries(self) -> None:
        """Send each follower the entries that its window allows."""
        leadership = self._core.leadership
        if leadership is not None:
            for progress in leadership.progress.values():
                self._send_to(progress)

    def is_reachable(self, progress: Progress) -> bool:
        """Return whether the follower replied within an election timeout."""
        return self._core.now - progress.last_contact < self._core.settings.election_timeout_max_s

    def _match_index_of(self, replica: ReplicaId) -> LogIndex:
        core = self._core
        if replica == core.replica:
            return core.durability.stable_index
        assert core.leadership is not None
        return core.leadership.progress[replica].match_index

    def _new_progress(self, member: GroupMember) -> Progress:
        core = self._core
        next_index = LogIndex(core.log.last_index + 1)
        return Progress(member.replica, member.node, next_index, core.now, core.settings.resend_after_s)

    def record_contact(self, term: Term, replica: ReplicaId) -> Progress | None:
        """Record that a follower replied; return its progress, or ``None`` if it isn't this leader's."""
        core = self._core
        if term > core.term:
            core.become_follower(term)
            return None
        if term < core.term or core.leadership is None:
            return None
        progress = core.leadership.progress.get(replica)
        if progress is not None:
            if not self.is_reachable(progress):
                self._begin_probe(progress)
                progress.resend_wait_s = core.settings.resend_after_s
            progress.last_contact = core.now
        return progress

    def _nominate_successor(self, leadership: Leadership) -> None:
        """Request that the most advanced voter starts an election immediately.

        A leader whose messages arrive but that gets no replies would otherwise keep its followers for another
        timeout. The request is valid only in this term, so a late one has no effect.
        """
        core = self._core
        assert core.group is not None
        others = {voter.replica for voter in core.log.members.voters()} - {core.replica}
        candidates = [progress for replica, progress in leadership.progress.items() if replica in others]
        best = max(
            candidates, key=lambda progress: (progress.match_index, progress.last_contact), default=None
        )
        if best is not None:
            core.send(best.node, RaftTimeoutNow(core.group, core.replica, best.replica, core.term))

    def _reaches_majority(self) -> bool:
        core = self._core
        assert core.leadership is not None
        reached = 0
        for voter in core.log.members.voters():
            progress = core.leadership.progress.get(voter.replica)
            reached += voter.replica == core.replica or (progress is not None and self.is_reachable(progress))
        return reached >= core.log.members.quorum()

    def on_acknowledged(self, progress: Progress, index: LogIndex) -> None:
        """Advance the window of a follower that has all entries up to ``index`` on disk."""
        if index > progress.match_index or progress.state is ProgressState.PROBE:
            progress.resend_wait_s = self._core.settings.resend_after_s
        progress.match_index = max(progress.match_index, min(index, self._core.log.last_index))
        progress.next_index = max(progress.next_index, LogIndex(progress.match_index + 1))
        if progress.state is ProgressState.SNAPSHOT and progress.match_index < self._core.log.base_index:
            return
        if progress.state is not ProgressState.REPLICATE:
            progress.state = ProgressState.REPLICATE
            progress.transfer = None
            progress.next_index = LogIndex(progress.match_index + 1)
        while progress.in_flight and progress.in_flight[0].last_index <= progress.match_index:
            progress.in_flight_bytes -= progress.in_flight.popleft().size_bytes
        progress.awaiting_reply = bool(progress.in_flight)
        self._schedule_resend(progress)

    def _on_rejected(self, progress: Progress, message: RaftAppendReply) -> None:
        stale = message.index != progress.next_index - 1
        if progress.state is ProgressState.SNAPSHOT or (progress.state is ProgressState.PROBE and stale):
            return
        if progress.state is ProgressState.REPLICATE:
            # Reordered messages are rejected one by one. Backing off for each of them would send the
            # window again each time and never end.
            if self._core.now - progress.backed_off_at < self._core.settings.heartbeat_s:
                return
            progress.backed_off_at = self._core.now
        match = self._core.log.last_index_with_term_at_most(message.hint_index, message.hint_term)
        if message.hint_index < self._core.log.base_index:
            match = message.hint_index
        self._begin_probe(progress)
        # The next probe is always before the rejected index; otherwise two logs that differ at the base
        # would be probed forever.
        next_index = min(match + 1, message.index)
        progress.next_index = LogIndex(max(progress.match_index + 1, next_index))

    def _begin_probe(self, progress: Progress) -> None:
        if progress.state is not ProgressState.SNAPSHOT:
            progress.state = ProgressState.PROBE
            if progress.match_index:
                progress.next_index = LogIndex(progress.match_index + 1)
        progress.in_flight.clear()
        progress.in_flight_bytes = 0
        progress.awaiting_reply = False

    def _check_resend(self, progress: Progress) -> None:
        if not progress.awaiting_reply or self._core.now < progress.resend_at:
            return
        wait = min(progress.resend_wait_s * 2, self._core.settings.resend_max_s)
        progress.resend_wait_s = wait
        self._begin_probe(progress)

    def _schedule_resend(self, progress: Progress) -> None:
        settings = self._core.settings
        transfer_s = progress.in_flight_bytes / settings.slowest_link_bytes_s
        progress.resend_at = self._core.now + progress.resend_wait_s + transfer_s

    def _send_to(self, progress: Progress) -> None:
        core = self._core
        settings = core.settings
        if not self.is_reachable(progress):
            return
        while True:
            if progress.next_index <= core.log.base_index and progress.state is not ProgressState.SNAPSHOT:
                progress.state = ProgressState.SNAPSHOT
                progress.awaiting_reply = False
            if progress.state is ProgressState.SNAPSHOT:
                self._snapshots.send(progress)
                return
            if progress.state is ProgressState.PROBE and progress.awaiting_reply:
                return
            full = len(progress.in_flight) >= settings.max_inflight_messages
            if full or progress.in_flight_bytes >= settings.max_inflight_bytes:
                return
            if progress.state is ProgressState.REPLICATE and progress.next_index > core.log.last_index:
                return
            self._send_append(progress)

    def _send_append(self, progress: Progress) -> None:
        core = self._core
        previous = LogIndex(progress.next_index - 1)
        previous_term = core.log.term_at(previous)
        assert previous_term is not None and core.group is not None
        entries = core.log.entries_from(progress.next_index, core.settings.max_append_bytes)
        message = RaftAppend(
            core.group,
            core.replica,
            progress.replica,
            core.term,
            previous,
            previous_term,
            core.commit_index,
            entries,
        )
        core.send(progress.node, message)
        size = sum(map(entry_bytes, entries))
        progress.in_flight_bytes += size
        progress.in_flight.append(InFlightAppend(LogIndex(previous + len(entries)), size))
        if progress.state is ProgressState.REPLICATE:
            progress.next_index = LogIndex(progress.next_index + len(entries))
        progress.awaiting_reply = True
        self._schedule_resend(progress)
