"""Elections with pre-vote, rejection of candidates while a leader is live, and leadership transfer.

Sources: Raft, section 5.2 and 5.4; Ongaro 2014, sections 3.10, 4.2.3 and 9.6.
"""

from __future__ import annotations

from collections.abc import Callable

from springmux.coordination.consensus.core import ReplicaCore, Role
from springmux.coordination.consensus.messages import (
    RaftPreVote,
    RaftPreVoteReply,
    RaftTimeoutNow,
    RaftVote,
    RaftVoteReply,
)
from springmux.coordination.consensus.types import HardState
from springmux.coordination.identifiers import LogIndex, NodeId, ReplicaId, Term


class Election:
    """Decides when to start an election and for which candidate to vote."""

    def __init__(self, core: ReplicaCore, on_elected: Callable[[], None]) -> None:
        self._core = core
        self._on_elected = on_elected
        self._votes: set[ReplicaId] = set()

    def deadline(self) -> float:
        """Return when this replica would start an election."""
        return self._core.election_deadline

    def on_tick(self) -> None:
        """Start a pre-vote after an election timeout without a message from a leader."""
        core = self._core
        if core.leadership is not None or core.now < core.election_deadline:
            return
        core.reset_election_deadline()
        core.leader = None
        core.leader_node = None
        if self._may_start_election():
            core.shorten_election_deadline()
            self._start_pre_vote()

    def on_pre_vote(self, message: RaftPreVote, sender: NodeId) -> None:
        """Reply whether this replica would vote for the sender; no state changes."""
        core = self._core
        granted = (
            message.term > core.term
            and not core.has_live_leader()
            and self._is_up_to_date(message.last_term, message.last_index)
        )
        term = message.term if granted else core.term
        assert core.group is not None
        reply = RaftPreVoteReply(core.group, core.replica, message.source, term, granted)
        # The reply waits for the disk: a candidate must not use its vote on the strength of a founding member
        # whose founding record isn't durable yet.
        core.send_durably(sender, reply)

    def on_pre_vote_reply(self, message: RaftPreVoteReply) -> None:
        """Count a granted pre-vote; start the election once there are enough."""
        core = self._core
        if not message.granted:
            if message.term > core.term:
                core.become_follower(message.term)
            return
        if core.role is Role.PRE_CANDIDATE and message.term == core.term + 1:
            self._votes.add(message.source)
            if self._has_enough_votes():
                self._start_election(transfer=False)

    def on_vote(self, message: RaftVote, sender: NodeId) -> None:
        """Vote at most once per term, for a log at least as up to date; the reply waits for the disk."""
        core = self._core
        assert core.group is not None
        if message.term > core.term:
            if core.has_live_leader() and not message.transfer:
                return
            core.become_follower(message.term)
        if message.term < core.term or not self._may_vote_for(message):
            core.send(sender, RaftVoteReply(core.group, core.replica, message.source, core.term, False))
            return
        core.durability.hard_state = HardState(core.term, message.source)
        core.reset_election_deadline()
        reply = RaftVoteReply(core.group, core.replica, message.source, core.term, True)
        core.send_durably(sender, reply)

    def on_vote_reply(self, message: RaftVoteReply) -> None:
        """Count a granted vote; become leader once there are enough."""
        core = self._core
        if message.term > core.term:
            core.become_follower(message.term)
        elif core.role is Role.CANDIDATE and message.granted and message.term == core.term:
            self._votes.add(message.source)
            self._lead_if_elected()

    def on_timeout_now(self, message: RaftTimeoutNow) -> None:
        """Start an election immediately: the leader transfers its leadership to this replica."""
        if message.term == self._core.term and self._core.leadership is None and self._may_start_election():
            self._start_election(transfer=True)

    def _may_start_election(self) -> bool:
        core = self._core
        member = core.member
        return core.group is not None and member is not None and member.voter and core.durability.ready

    def _start_pre_vote(self) -> None:
        core = self._core
        core.role = Role.PRE_CANDIDATE
        self._votes = {core.replica}
        if self._has_enough_votes():
            self._start_election(transfer=False)
            return
        self._request_votes(Term(core.term + 1), RaftPreVote)

    def _start_election(self, transfer: bool) -> None:
        core = self._core
        core.durability.hard_state = HardState(Term(core.term + 1), core.replica)
        core.role = Role.CANDIDATE
        core.leader = None
        core.leader_node = None
        core.reset_election_deadline()
        self._votes = set()
        term = core.term
        # This replica's own vote counts, and other votes are requested, only once it is on disk.
        core.durability.run_when_durable(lambda: self._on_own_vote_durable(term, transfer))

    def _on_own_vote_durable(self, term: Term, transfer: bool) -> None:
        core = self._core
        if core.term != term or core.role is not Role.CANDIDATE:
            return
        self._votes.add(core.replica)
        if not self._lead_if_elected():
            self._request_votes(term, RaftVote, transfer)

    def _request_votes(
        self, term: Term, kind: type[RaftPreVote] | type[RaftVote], transfer: bool = False
    ) -> None:
        core = self._core
        assert core.group is not None
        last: tuple[LogIndex, Term] = (core.log.last_index, core.log.last_term)
        for voter in core.log.members.voters():
            if voter.replica == core.replica:
                continue
            if kind is RaftVote:
                vote = RaftVote(core.group, core.replica, voter.replica, term, *last, transfer)
                core.send(voter.node, vote)
            else:
                core.send(voter.node, RaftPreVote(core.group, core.replica, voter.replica, term, *last))

    def _lead_if_elected(self) -> bool:
        if not self._has_enough_votes():
            return False
        self._core.role = Role.LEADER
        self._on_elected()
        return True

    def _has_enough_votes(self) -> bool:
        """Return whether a majority voted; the group's first leader needs all voters (see founding.py)."""
        members = self._core.log.members
        voters = {voter.replica for voter in members.voters()}
        needed = len(voters) if self._core.log.last_index == 0 else members.quorum()
        return len(self._votes & voters) >= needed

    def _may_vote_for(self, message: RaftVote) -> bool:
        voted_for = self._core.durability.hard_state.voted_for
        if voted_for not in (None, message.source):
            return False
        return self._is_up_to_date(message.last_term, message.last_index)

    def _is_up_to_date(self, last_term: Term, last_index: LogIndex) -> bool:
        """Return whether a candidate's log is at least as up to date as this one (Raft, section 5.4.1)."""
        log = self._core.log
        return (last_term, last_index) >= (log.last_term, log.last_index)
