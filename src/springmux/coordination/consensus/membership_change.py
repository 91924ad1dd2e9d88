"""Membership changes, one member at a time, on request and automatic (Ongaro 2014, chapter 4).

A change waits until the leader has committed an entry of its own term and the previous change; this
avoids the flaw in the original single-server change (raft-dev 2015). A lost voter is replaced by a
caught-up learner: first the learner becomes a voter, then the lost voter becomes a learner. Either step
is taken only if the voters that are reachable now are a majority both before and after it. A voter whose
process is stopping counts as lost before it has stopped, so that it can still vote for its replacement.
"""

from __future__ import annotations

from springmux.coordination.consensus.core import Leadership, Progress, ReplicaCore
from springmux.coordination.consensus.effects import ProposalDropped
from springmux.coordination.consensus.events import ChangeMember, MemberChangeKind
from springmux.coordination.consensus.log import encode_members
from springmux.coordination.consensus.messages import RaftForeignGroup, RaftJoinRequest, RaftWelcome
from springmux.coordination.consensus.proposals import NOT_LEADER, STORAGE_FULL, Proposals
from springmux.coordination.consensus.replication import Replication
from springmux.coordination.consensus.types import EntryKind, GroupMember, GroupMembers
from springmux.coordination.identifiers import LogIndex, NodeId, ReplicaId


def with_member(members: GroupMembers, changed: GroupMember) -> GroupMembers:
    """Return ``members`` with ``changed`` in place of the same replica, or at the end if it is new."""
    if members.find(changed.replica) is None:
        return GroupMembers((*members.members, changed))
    return GroupMembers(tuple(changed if m.replica == changed.replica else m for m in members.members))


def without_member(members: GroupMembers, replica: ReplicaId) -> GroupMembers:
    """Return ``members`` without ``replica``."""
    return GroupMembers(tuple(m for m in members.members if m.replica != replica))


def is_superseded(members: GroupMembers, member: GroupMember) -> bool:
    """Return whether the member's node has a newer replica identity; newer members come later in the list."""
    position = members.members.index(member)
    return any(later.node == member.node for later in members.members[position + 1 :])


class MembershipChange:
    """Decides, on the leader, which member changes next."""

    def __init__(self, core: ReplicaCore, replication: Replication, proposals: Proposals) -> None:
        self._core = core
        self._replication = replication
        self._proposals = proposals
        self._pending_joins: dict[ReplicaId, GroupMember] = {}

    def on_change_request(self, event: ChangeMember) -> None:
        """Append an operator's change, or reject it with a reason."""
        changed = self._requested_members(event)
        if isinstance(changed, str):
            self._core.emit(ProposalDropped(event.correlation_id, unknown=False, reason=changed))
        else:
            self._proposals.append(event.correlation_id, EntryKind.MEMBERS, encode_members(changed))

    def on_join_request(self, message: RaftJoinRequest) -> None:
        """Add a replica as a learner, record its new node, or forward its request to the leader."""
        core = self._core
        if core.leadership is None:
            known_leader = core.leader_node is not None and core.leader_node != message.node
            if known_leader and not message.forwarded and core.leader_node is not None:
                forwarded = RaftJoinRequest(message.replica, message.node, message.group, forwarded=True)
                core.send(core.leader_node, forwarded)
            return
        assert core.group is not None
        if message.group not in ("", core.group):
            self._reply_to_foreign_group(message)
            return
        member = core.log.members.find(message.replica)
        if member is None or member.node != message.node:
            voter = member.voter if member else False
            self._pending_joins[message.replica] = GroupMember(message.replica, message.node, voter)
        elif not message.group:
            self._welcome(member)

    def step(self) -> None:
        """Start the next change if one is due and allowed."""
        core = self._core
        leadership = core.leadership
        if leadership is None:
            self._pending_joins.clear()
            return
        if not self._may_change() or core.durability.full:
            return
        members = self._next_members(leadership)
        if members is not None:
            self._replication.append(EntryKind.MEMBERS, encode_members(members))

    def step_down_if_removed(self) -> None:
        """Step down as leader once the change that ends this replica's role as a voter is committed."""
        core = self._core
        if core.leadership is None or core.log.members_index > core.commit_index:
            return
        member = core.member
        if member is None or not member.voter:
            core.become_follower(core.term)

    def _may_change(self) -> bool:
        core = self._core
        leadership = core.leadership
        return (
            leadership is not None
            and core.commit_index >= leadership.barrier_index
            and core.log.members_index <= core.commit_index
            and leadership.transfer_target is None
        )

    def _next_members(self, leadership: Leadership) -> GroupMembers | None:
        return (
            self._members_after_join()
            or self._members_after_promotion(leadership)
            or self._members_after_reduction(leadership)
        )

    def _members_after_join(self) -> GroupMembers | None:
        members = self._core.log.members
        while self._pending_joins:
            replica, joining = self._pending_joins.popitem()
            present = members.find(replica)
            if present == joining:
                continue
            voter = present.voter if present else False
            member = GroupMember(replica, joining.node, voter)
            changed = GroupMembers((*without_member(members, replica).members, member))
            self._welcome(member, changed)
            return changed
        return None

    def _members_after_promotion(self, leadership: Leadership) -> GroupMembers | None:
        members = self._core.log.members
        voters = members.voters()
        healthy = [voter for voter in voters if not self._is_lost(voter)]
        desired = self._core.settings.voters_desired
        if len(healthy) >= desired or len(voters) > desired:
            return None
        candidates = [
            progress
            for member in members.members
            if not member.voter and (progress := leadership.progress.get(member.replica)) is not None
            if self._caught_up(progress) and not progress.leaving and not is_superseded(members, member)
        ]
        best = max(candidates, key=lambda progress: (progress.match_index, progress.replica), default=None)
        if best is None:
            return None
        changed = with_member(members, GroupMember(best.replica, best.node, voter=True))
        return changed if self._keeps_quorum(changed) else None

    def _members_after_reduction(self, leadership: Leadership) -> GroupMembers | None:
        members = self._core.log.members
        for member in members.members:
            if not member.voter and self._is_expired(member):
                return without_member(members, member.replica)
        if len(members.voters()) <= self._core.settings.voters_desired:
            return None
        lost = [voter for voter in members.voters() if self._is_lost(voter)]
        others = lost or [v for v in members.voters() if v.replica != self._core.replica]
        slowest = min(others, key=lambda v: (leadership.progress[v.replica].match_index, v.replica))
        if is_superseded(members, slowest):
            changed = without_member(members, slowest.replica)
        else:
            changed = with_member(members, GroupMember(slowest.replica, slowest.node, voter=False))
        return changed if self._keeps_quorum(changed) else None

    def _caught_up(self, progress: Progress) -> bool:
        core = self._core
        lag = core.log.last_index - progress.match_index
        within_lag = progress.match_index > 0 and lag <= core.settings.promotion_lag_entries
        return within_lag and progress.storage_ready and self._replication.is_reachable(progress)

    def _is_lost(self, voter: GroupMember) -> bool:
        """Return whether a voter is to be replaced as soon as there is a caught-up learner."""
        core = self._core
        if core.leadership is None or voter.replica == core.replica:
            return False
        return core.leadership.progress[voter.replica].leaving or self._has_timed_out(
            core.leadership, voter, core.settings.lost_after_s
        )

    def _is_expired(self, learner: GroupMember) -> bool:
        core = self._core
        if core.leadership is None or learner.replica == core.replica:
            return False
        return self._has_timed_out(core.leadership, learner, core.settings.learner_removed_after_s)

    def _has_timed_out(self, leadership: Leadership, member: GroupMember, limit_s: float) -> bool:
        core = self._core
        if is_superseded(core.log.members, member):
            limit_s = core.settings.superseded_after_s
        return core.now - leadership.progress[member.replica].last_contact >= limit_s

    def _keeps_quorum(self, changed: GroupMembers) -> bool:
        """Return whether the reachable voters are a majority before and after the change.

        If the change adds a voter, voters that are about to stop or were recently unresponsive don't count.
        Otherwise they count: a smaller group needs fewer voters, and waiting would only keep the group large.
        """
        before = self._core.log.members
        grows = len(changed.voters()) > len(before.voters())
        return all(self._reachable_voters(m, only_stable=grows) >= m.quorum() for m in (before, changed))

    def _reachable_voters(self, members: GroupMembers, only_stable: bool) -> int:
        core = self._core
        assert core.leadership is not None
        count = 0
        for voter in members.voters():
            progress = core.leadership.progress.get(voter.replica)
            is_self = voter.replica == core.replica
            if is_self:
                count += 1
            elif progress is not None:
                count += (
                    self._is_stable(progress) if only_stable else self._replication.is_reachable(progress)
                )
        return count

    def _is_stable(self, progress: Progress) -> bool:
        """Return whether a voter isn't stopping and replied so recently that it is unlikely to be lost."""
        since_contact_s = self._core.now - progress.last_contact
        return not progress.leaving and since_contact_s < self._core.settings.election_timeout_min_s

    def _requested_members(self, event: ChangeMember) -> GroupMembers | str:
        core = self._core
        if core.leadership is None:
            return NOT_LEADER
        if core.durability.full:
            return STORAGE_FULL
        if not self._may_change():
            return "another change is under way; try again"
        members = core.log.members
        present = members.find(event.member.replica)
        if event.kind is MemberChangeKind.ADD_LEARNER:
            learner = GroupMember(event.member.replica, event.member.node, voter=False)
            return "already a member" if present else with_member(members, learner)
        if present is None:
            return "not a member"
        if event.kind is MemberChangeKind.REMOVE:
            changed = without_member(members, present.replica)
        else:
            voter = event.kind is MemberChangeKind.PROMOTE
            changed = with_member(members, GroupMember(present.replica, present.node, voter))
        return self._validated_change(event, changed)

    def _validated_change(self, event: ChangeMember, changed: GroupMembers) -> GroupMembers | str:
        core = self._core
        if event.kind is MemberChangeKind.PROMOTE and core.leadership is not None:
            progress = core.leadership.progress.get(event.member.replica)
            if progress is not None and not self._caught_up(progress):
                return "the learner is not caught up"
        if not changed.voters():
            return "the last voter can't be removed"
        return changed if self._keeps_quorum(changed) else "the reachable voters would not be a majority"

    def _welcome(self, member: GroupMember, members: GroupMembers | None = None) -> None:
        core = self._core
        assert core.group is not None
        listed_members = members or core.log.members
        message = RaftWelcome(core.group, core.replica, member.replica, core.term, listed_members)
        core.send(member.node, message)

    def _reply_to_foreign_group(self, message: RaftJoinRequest) -> None:
        core = self._core
        assert core.group is not None
        commit: LogIndex = core.commit_index
        node: NodeId = message.node
        if commit > 0:
            core.send(node, RaftForeignGroup(message.replica, core.group, commit))
