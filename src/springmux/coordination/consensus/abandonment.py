"""Giving up a founded group that can't elect its first leader.

A replica of a group that never elected a leader may give the group up if it never cast a vote. It restarts
under a new identity, and the old group can then never have a leader. A replica that did vote gives the
group up only if some members are permanently lost and all others have reported since that became known
that their logs are empty. Then nothing was ever committed, because any former leader is lost and nobody
else can be elected.
"""

from __future__ import annotations

from springmux.coordination.consensus.core import ReplicaCore
from springmux.coordination.consensus.messages import (
    RaftForeignGroup,
    RaftFoundingCommit,
    RaftFoundingRefusal,
    RaftFoundingUnborn,
)
from springmux.coordination.identifiers import NodeId, ReplicaId, Term
from springmux.coordination.state_machine import NEVER


class Abandonment:
    """Decides when this replica gives its group up, which is safe only before the first leader's commit."""

    def __init__(self, core: ReplicaCore) -> None:
        self._core = core
        self._lost_members: set[ReplicaId] = set()
        """Members that are permanently lost."""
        self._members_with_empty_logs: set[ReplicaId] = set()
        """Members that reported an empty log after the newest of ``_lost_members`` was known."""
        self._abandon_at = NEVER

    @property
    def lost_member_count(self) -> int:
        """How many members are known to be permanently lost."""
        return len(self._lost_members)

    def awaits_first_leader(self) -> bool:
        """Return whether, as far as this replica knows, the group never had a leader."""
        return self._core.log.last_index == 0 and self._core.leader is None

    def deadline(self) -> float:
        """Return when to give the group up; never once this replica voted or knew a leader."""
        return self._abandon_at if self._never_voted() else NEVER

    def postpone(self) -> None:
        """Restart the whole waiting time, because the group may be about to elect its first leader."""
        delay_s = self._core.random.uniform(1.0, 2.0) * self._core.settings.founding_abandon_s
        self._abandon_at = self._core.now + delay_s

    def on_refusal(self, message: RaftFoundingRefusal) -> None:
        """Record a permanently lost member, and give the group up if it then can't have a leader."""
        core = self._core
        lost = message.replica != message.addressed or message.own_group not in ("", core.group)
        listed = core.log.members.find(message.addressed) is not None
        if message.group != core.group or not lost or not listed or not self.awaits_first_leader():
            return
        if message.addressed not in self._lost_members:
            self._lost_members.add(message.addressed)
            self._members_with_empty_logs.clear()
        if self._never_voted() or self._no_remaining_member_has_entries():
            core.stop_to_restart_as_new(f"replica {message.addressed} is no longer part of {core.group}")

    def on_repeated_commit(self, message: RaftFoundingCommit, sender: NodeId) -> None:
        """Reply to a member that still waits for the first leader, if this replica's log is empty too."""
        core = self._core
        if core.log.last_index == 0:
            reply = RaftFoundingUnborn(
                message.group, core.replica, message.source, Term(0), message.lost_members
            )
            core.send(sender, reply)

    def on_unborn(self, message: RaftFoundingUnborn) -> None:
        """Give the group up if nothing can ever have been committed in it."""
        core = self._core
        if message.lost_members != len(self._lost_members) or not self.awaits_first_leader():
            return
        self._members_with_empty_logs.add(message.source)
        if self._lost_members and self._no_remaining_member_has_entries():
            core.stop_to_restart_as_new(f"group {core.group} lost members before it committed anything")

    def on_foreign_group(self, message: RaftForeignGroup) -> None:
        """Give the group up for one with commits if this folder holds nothing that may be acknowledged.

        A first leader may have left its barrier in the log. Giving up the folder is then as safe as losing
        the disk: its identity never votes again, and it never acknowledged a command.
        """
        core = self._core
        foreign = message.target == core.replica and message.group != core.group
        never_committed = core.log.holds_only_barriers() and core.commit_index == 0 and core.leader is None
        if core.group is not None and foreign and never_committed and message.commit > 0:
            core.stop_to_restart_as_new(f"group {message.group} is established, {core.group} is not")

    def _never_voted(self) -> bool:
        """Return whether the group never had a leader and this replica never helped to elect one."""
        return self.awaits_first_leader() and self._core.term == 0

    def _no_remaining_member_has_entries(self) -> bool:
        others = {member.replica for member in self._core.log.members.members} - {self._core.replica}
        return others <= self._lost_members | self._members_with_empty_logs
