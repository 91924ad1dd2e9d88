"""Proposals: admission of commands, application of committed entries, and replies."""

from __future__ import annotations

from springmux.coordination.consensus.core import PendingProposal, ReplicaCore
from springmux.coordination.consensus.effects import Apply, ProposalCommitted, ProposalDropped, Propose
from springmux.coordination.consensus.log import entry_bytes
from springmux.coordination.consensus.replication import Replication
from springmux.coordination.consensus.types import EntryKind
from springmux.coordination.identifiers import LogIndex

STORAGE_FULL = "storage full"
NOT_LEADER = "not the leader"


class Proposals:
    """Admits commands on the leader; applies committed entries on every replica."""

    def __init__(self, core: ReplicaCore, replication: Replication) -> None:
        self._core = core
        self._replication = replication

    def on_propose(self, event: Propose) -> None:
        """Append the command, or reject it with a reason."""
        reason = self._rejection_reason(event)
        if reason:
            self._core.emit(ProposalDropped(event.correlation_id, unknown=False, reason=reason))
            return
        self.append(event.correlation_id, EntryKind.COMMAND, event.data)

    def append(self, correlation_id: str, kind: EntryKind, data: bytes) -> None:
        """Append an entry whose commit is reported under ``correlation_id``."""
        leadership = self._core.leadership
        assert leadership is not None
        index = self._replication.append(kind, data)
        leadership.proposals.append(PendingProposal(index, correlation_id))
        leadership.uncommitted_bytes += len(data)

    def apply_committed(self) -> None:
        """Apply the entries that are committed and on this replica's disk, then report their proposals.

        Waiting for the disk ensures that a snapshot is never ahead of the log on the same disk.
        """
        core = self._core
        last = min(core.commit_index, core.durability.stable_index)
        if last <= core.applied_index:
            return
        entries = core.log.entries_between(LogIndex(core.applied_index + 1), last)
        core.applied_index = last
        core.applied_bytes += sum(map(entry_bytes, entries))
        core.emit(Apply(entries))
        leadership = core.leadership
        if leadership is None:
            return
        leadership.uncommitted_bytes = max(
            0, leadership.uncommitted_bytes - sum(len(entry.data) for entry in entries)
        )
        while leadership.proposals and leadership.proposals[0].index <= last:
            proposal = leadership.proposals.popleft()
            core.emit(ProposalCommitted(proposal.correlation_id, proposal.index))

    def _rejection_reason(self, event: Propose) -> str:
        core = self._core
        leadership = core.leadership
        if leadership is None:
            return NOT_LEADER
        if core.durability.full:
            return STORAGE_FULL
        if leadership.transfer_target is not None:
            return "leadership is being transferred"
        if len(event.data) > core.settings.max_entry_bytes:
            return f"command of {len(event.data)} bytes exceeds {core.settings.max_entry_bytes}"
        if leadership.uncommitted_bytes + len(event.data) > core.settings.max_uncommitted_bytes:
            return "too many bytes are waiting for commit"
        return ""
