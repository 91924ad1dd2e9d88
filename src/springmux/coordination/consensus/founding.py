"""Founding (bootstrapping) a group of empty replicas, so that two groups can never both have a leader.

A group's first leader needs the votes of *all* founding members (``election.py``: a candidate with an
empty log needs every voter). A replica belongs to at most one group, which is stored on disk under an
identity that a wiped folder never uses again. With ``controllers_expected`` = 3 any two sets of three
among at most five replicas share a member, so at most one of two founded groups can ever elect a leader.
The short exclusive promise only prevents races from leaving half-founded groups; safety doesn't depend
on it. Nor does safety depend on a founder that gives up its attempt for that of a founder with a lower
name: only the founder itself could have completed the attempt.

A replica that wasn't created at the system's first start (``may_found`` unset) may have been wiped, and its
machine may have voted in a group under an earlier identity. It founds nothing by itself and is counted only
if no other group can exist: a group's members are ``controllers_expected`` different machines, and the
machines of replicas created at the first start that belong to no group were never among them. So there is
no other group if fewer machines than that remain of all that were ever known.
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
    RaftProvenFoundingRequest,
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
    """A founding attempt that this replica started.

    ``joining_only``: the members that weren't created at the first start.
    """

    group: GroupId
    members: GroupMembers
    joining_only: frozenset[ReplicaId]
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
        """Candidates that already belong to a group, which never changes."""
        self._joining_only: set[ReplicaId] = set()
        """Candidates without a group that weren't created at the first start."""
        self._known_nodes: set[NodeId] = {core.node}
        """Nodes of all controllers that this replica has heard of since its start."""
        self._all_nodes_known = False
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
        self._known_nodes.update(member.node for member in event.members)
        self._known_nodes.update(event.known or ())
        self._all_nodes_known = event.known is not None
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
        if not self._core.settings.may_found:
            self.refuse(message, sender)
            return
        self._promise_to(message, sender)

    def on_proven_request(self, message: RaftProvenFoundingRequest, sender: NodeId) -> None:
        """Promise to take part in the attempt of a founder that answers for there being no other group."""
        self._promise_to(message, sender)

    def _promise_to(self, message: ReplicaMessage, sender: NodeId) -> None:
        core = self._core
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
            if attempt.joining_only and not self._excludes_other_groups(
                len(attempt.members.members) - len(attempt.joining_only)
            ):
                self._abandon_attempt(attempt)
                return
            self._join_group(attempt.group, attempt.members)
            # The founder becomes a candidate first, so that the votes, all of which are needed, aren't split.
            self._core.shorten_election_deadline()
            self._core.durability.run_when_durable(self._send_commits)

    def on_release(self, message: RaftFoundingRelease) -> None:
        """Withdraw the promise, because the founder gave up; another attempt may get it."""
        if self._promised_group == message.group:
            self._promised_until = -NEVER

    def on_commit(self, message: RaftFoundingCommit) -> None:
        """Join a group that all members promised to found, unless another is established by now.

        Who lists this replica has its promise, also if it has restarted since and doesn't remember it.
        """
        if self.established:
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
        self._classify(message.replica, message.own_group, message.joins_only)
        self.established = self.established or message.commit > 0

    def on_join_request(self, message: RaftJoinRequest) -> None:
        """Exclude the sender from the founders if it may not found a group or belongs to one already.

        The remaining members of its group may never elect a leader. If the sender has the lowest name here,
        the other candidates would otherwise wait for it to found a group.
        """
        self._classify(message.replica, message.group, message.joins_only)

    def _classify(self, replica: ReplicaId, group: str, joins_only: bool) -> None:
        if group:
            self._ineligible.add(replica)
        elif joins_only:
            self._joining_only.add(replica)

    def _may_found(self) -> bool:
        return self._core.settings.may_found and not self.established

    def _try_to_found_group(self) -> None:
        core = self._core
        self._postpone_next_attempt()
        expected = core.settings.controllers_expected
        founding_members = self._founding_members()
        if len(founding_members) < expected or founding_members[0].replica != core.replica:
            if self._attempt is not None:
                self._abandon_attempt(self._attempt)
            self._log_wait_for_members(founding_members)
            return
        members = GroupMembers(tuple(GroupMember(m.replica, m.node, voter=True) for m in founding_members))
        joining_only = frozenset(m.replica for m in founding_members if m.replica in self._joining_only)
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
        self._attempt = _FoundingAttempt(group, members, joining_only, expires_at, {core.replica})
        self._request_promises(self._attempt)
        if expected == 1:
            self._join_group(group, members)

    def _founding_members(self) -> list[GroupMember]:
        """Return the members of the next attempt, the founder first; fewer than needed if it must wait.

        Replicas that weren't created at the first start are included only if the others are too few and there
        can be no other group.
        """
        core = self._core
        expected = core.settings.controllers_expected
        own_member = GroupMember(core.replica, core.node, voter=True)
        controllers_by_node = {candidate.node: candidate for candidate in (*self.candidates, own_member)}
        eligible = [
            controllers_by_node[node]
            for node in sorted(controllers_by_node)
            if controllers_by_node[node].replica not in self._ineligible
        ]
        founders = [member for member in eligible if member.replica not in self._joining_only]
        if len(founders) < expected and self._excludes_other_groups(len(founders)):
            founders += [member for member in eligible if member.replica in self._joining_only]
        return founders[:expected]

    def _excludes_other_groups(self, founders: int) -> bool:
        """Return whether too few machines for another group remain beside ``founders`` of the first start."""
        others = len(self._known_nodes) - founders
        return self._all_nodes_known and others < self._core.settings.controllers_expected

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
            if member.replica in attempt.promised:
                continue
            kind = (
                RaftProvenFoundingRequest if member.replica in attempt.joining_only else RaftFoundingRequest
            )
            core.send(member.node, kind(attempt.group, core.replica, member.replica, Term(0)))

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
