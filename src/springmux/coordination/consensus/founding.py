"""Founding (bootstrapping) a group of empty replicas, so that two groups can never both have a leader.

A group's first leader needs the votes of *all* founding members (``election.py``: a candidate with an
empty log needs every voter). A replica belongs to at most one group, which is stored on disk under an
identity that a wiped folder never uses again. With ``controllers_expected`` = 3 any two sets of three
among at most five replicas share a member, so at most one of two founded groups can ever elect a leader.
The short exclusive promise only prevents races from leaving half-founded groups; safety doesn't depend
on it. Nor does safety depend on a founder that gives up its attempt for that of a founder with a lower
name: only the founder itself could have completed the attempt.

A replica that wasn't created at the system's first start (``may_found`` unset) is never counted here.
"""

from __future__ import annotations

import msgspec

from springmux.coordination.consensus.abandonment import Abandonment
from springmux.coordination.consensus.core import ReplicaCore
from springmux.coordination.consensus.events import FoundingCandidates
from springmux.coordination.consensus.log import build_log
from springmux.coordination.consensus.messages import (
    RaftFoundingCommit,
    RaftFoundingPromise,
    RaftFoundingRefusal,
    RaftFoundingRelease,
    RaftFoundingRequest,
    RaftJoinRequest,
    RaftWelcome,
    ReplicaMessage,
)
from springmux.coordination.consensus.types import GroupMember, GroupMembers
from springmux.coordination.consensus.wait_log import WaitLog
from springmux.coordination.identifiers import GroupId, NodeId, ReplicaId, Term
from springmux.coordination.state_machine import NEVER

GROUP_ID_BITS = 64
"""Size of the random part of a group's identity; the other part is the founder's replica identity."""


class _FoundingAttempt(msgspec.Struct):
    """A founding attempt that this replica started."""

    group: GroupId
    members: GroupMembers
    expires_at: float
    promised: set[ReplicaId]


class Founding:
    """Founds a group, or takes part in one that another replica founds."""

    def __init__(self, core: ReplicaCore, abandonment: Abandonment) -> None:
        self._core = core
        self._abandonment = abandonment
        self.candidates: tuple[GroupMember, ...] = ()
        self.established = False
        """Whether a group exists already: this replica then joins it and never founds another."""
        self._attempt: _FoundingAttempt | None = None
        self._ineligible: set[ReplicaId] = set()
        """Candidates that already belong to a group or may not found one; neither ever changes."""
        self._promised_group: GroupId | None = None
        self._promised_until = -NEVER
        self._next_attempt_at = NEVER
        self._wait_log = WaitLog(core)

    def deadline(self) -> float:
        """Return when to try again to found a group, or to continue or give up an incomplete founding."""
        if self._core.group is None:
            return self._next_attempt_at if self._may_found() else NEVER
        if not self._abandonment.awaits_first_leader():
            return NEVER
        return min(self._next_attempt_at, self._abandonment.deadline())

    def start(self) -> None:
        """Set the timers at the first event."""
        self._next_attempt_at = self._core.now if self._core.group else NEVER
        self._abandonment.postpone()

    def on_candidates(self, event: FoundingCandidates) -> None:
        """Record the controllers that the membership protocol reports."""
        self.candidates = event.members
        self.established = event.established
        self._next_attempt_at = min(
            self._next_attempt_at, self._core.now + self._core.settings.founding_retry_s
        )

    def on_tick(self) -> None:
        """Try to found a group, complete the founding of the group that was joined, or give that group up."""
        core = self._core
        if core.group is None:
            if self._may_found() and core.now >= self._next_attempt_at:
                self._try_to_found_group()
            return
        if not self._abandonment.awaits_first_leader():
            return
        if core.now >= self._abandonment.deadline():
            core.stop_to_restart_as_new(f"group {core.group} never elected a leader")
        elif core.now >= self._next_attempt_at:
            self._postpone_next_attempt()
            self._send_commits()

    def on_request(self, message: RaftFoundingRequest, sender: NodeId) -> None:
        """Promise to take part in one attempt at a time, and in none if a group is established.

        This replica's attempt yields to that of a founder with a lower name: two founders that wait for each
        other's members would otherwise wait until the promises expire.
        """
        core = self._core
        if not core.settings.may_found:
            self.refuse(message, sender)
            return
        if self._attempt is not None and self._attempt.group != message.group and sender < core.node:
            self._abandon_attempt(self._attempt)
        if self.established or self._has_promised_other_group(message.group):
            return
        self._promise(message.group)
        core.send(sender, RaftFoundingPromise(message.group, core.replica, message.source, Term(0)))

    def on_promise(self, message: RaftFoundingPromise) -> None:
        """Found the group once all members promised."""
        attempt = self._attempt
        if attempt is None or attempt.group != message.group or self._core.now >= attempt.expires_at:
            return
        attempt.promised.add(message.source)
        if len(attempt.promised) == len(attempt.members.members):
            self._join_group(attempt.group, attempt.members)
            # The founder becomes a candidate first, so that the votes, all of which are needed, aren't split.
            self._core.shorten_election_deadline()
            self._core.durability.run_when_durable(self._send_commits)

    def on_release(self, message: RaftFoundingRelease) -> None:
        """Withdraw the promise, because the founder gave up; another attempt may get it."""
        if self._promised_group == message.group:
            self._promised_until = -NEVER

    def on_commit(self, message: RaftFoundingCommit) -> None:
        """Join a group that all members promised to found, unless another is established by now."""
        if not self._may_found():
            return
        listed = message.members.find(self._core.replica) is not None
        if listed and not self._has_promised_other_group(message.group):
            self._join_group(message.group, message.members)

    def on_welcome(self, message: RaftWelcome) -> None:
        """Join an established group that added this replica."""
        if message.members.find(self._core.replica) is not None:
            self._join_group(message.group, message.members)

    def refuse(self, message: ReplicaMessage, sender: NodeId) -> None:
        """Notify a founder that the addressed replica can't be part of its group."""
        core = self._core
        refusal = RaftFoundingRefusal(
            message.group,
            message.target,
            core.replica,
            core.group or "",
            core.commit_index,
            not core.settings.may_found,
        )
        core.send(sender, refusal)

    def on_refusal(self, message: RaftFoundingRefusal) -> None:
        """Record that a replica can't take part in a founding, or that this replica's group lost a member."""
        core = self._core
        if core.group is not None:
            self._abandonment.on_refusal(message)
            return
        if self._attempt is not None and self._attempt.group == message.group:
            self._abandon_attempt(self._attempt)
        if message.own_group or message.joins_only:
            self._ineligible.add(message.replica)
        self.established = self.established or message.commit > 0

    def on_join_request(self, message: RaftJoinRequest) -> None:
        """Exclude the sender from the candidates if it may not found a group or belongs to one already.

        The remaining members of its group may never elect a leader. If the sender has the lowest name here,
        the other candidates would otherwise wait for it to found a group.
        """
        if message.group or message.joins_only:
            self._ineligible.add(message.replica)

    def _may_found(self) -> bool:
        return self._core.settings.may_found and not self.established

    def _try_to_found_group(self) -> None:
        core = self._core
        self._postpone_next_attempt()
        expected = core.settings.controllers_expected
        own_member = GroupMember(core.replica, core.node, voter=True)
        controllers_by_node = {candidate.node: candidate for candidate in (*self.candidates, own_member)}
        eligible = [
            controllers_by_node[node]
            for node in sorted(controllers_by_node)
            if controllers_by_node[node].replica not in self._ineligible
        ]
        founding_members = eligible[:expected]
        if len(founding_members) < expected or founding_members[0].replica != core.replica:
            if self._attempt is not None:
                self._abandon_attempt(self._attempt)
            self._log_wait_for_members(founding_members)
            return
        members = GroupMembers(tuple(GroupMember(m.replica, m.node, voter=True) for m in founding_members))
        group = GroupId(f"{core.replica}-{core.random.getrandbits(GROUP_ID_BITS):016x}")
        if self._attempt is not None:
            if self._attempt.members == members and core.now < self._attempt.expires_at:
                self._request_promises(self._attempt)
                return
            # The group was never founded, so the new attempt reuses its identity and promises stay valid.
            group = self._attempt.group
        if self._has_promised_other_group(group):
            self._wait_log.record("promised to help another founder", group=self._promised_group)
            return
        self._promise(group)
        expires_at = core.now + core.settings.founding_promise_s
        self._attempt = _FoundingAttempt(group, members, expires_at, {core.replica})
        self._request_promises(self._attempt)
        if expected == 1:
            self._join_group(group, members)

    def _log_wait_for_members(self, eligible: list[GroupMember]) -> None:
        nodes = [member.node for member in eligible]
        if len(eligible) < self._core.settings.controllers_expected:
            self._wait_log.record("too few controllers that may found", eligible=nodes)
        else:
            self._wait_log.record("another controller is the founder", founder=nodes[0])

    def _request_promises(self, attempt: _FoundingAttempt) -> None:
        core = self._core
        missing = [m.node for m in attempt.members.members if m.replica not in attempt.promised]
        self._wait_log.record("asked for promises", missing=missing)
        for member in attempt.members.members:
            if member.replica not in attempt.promised:
                request = RaftFoundingRequest(attempt.group, core.replica, member.replica, Term(0))
                core.send(member.node, request)

    def _abandon_attempt(self, attempt: _FoundingAttempt) -> None:
        """Give up this replica's attempt; nothing can complete it afterwards."""
        core = self._core
        self._attempt = None
        if self._promised_group == attempt.group:
            self._promised_until = -NEVER
        for member in attempt.members.members:
            if member.replica != core.replica:
                release = RaftFoundingRelease(attempt.group, core.replica, member.replica, Term(0))
                core.send(member.node, release)

    def _send_commits(self) -> None:
        core = self._core
        if core.group is None:
            return
        for member in core.log.members.members:
            if member.replica != core.replica:
                members = core.log.members
                commit = RaftFoundingCommit(
                    core.group,
                    core.replica,
                    member.replica,
                    Term(0),
                    members,
                    self._abandonment.lost_member_count,
                )
                core.send(member.node, commit)

    def _join_group(self, group: GroupId, members: GroupMembers) -> None:
        core = self._core
        core.group = group
        core.log = build_log(None, members, ())
        core.durability.log = core.log
        core.durability.set_founding(group, members)
        core.reset_election_deadline()
        self._attempt = None
        self._postpone_next_attempt()
        self._abandonment.postpone()
        core.emit_log_line("group_joined", group=group, members=len(members.members))

    def _promise(self, group: GroupId) -> None:
        self._promised_group = group
        self._promised_until = self._core.now + self._core.settings.founding_promise_s

    def _has_promised_other_group(self, group: GroupId) -> bool:
        return self._promised_group != group and self._core.now < self._promised_until

    def _postpone_next_attempt(self) -> None:
        factor = self._core.random.uniform(1.0, 1.5)
        self._next_attempt_at = self._core.now + factor * self._core.settings.founding_retry_s
