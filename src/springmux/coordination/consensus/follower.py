"""Follower side of replication: accept entries, reject with a hint, acknowledge what is on disk.

Source: Raft, section 5.3.
"""

from __future__ import annotations

from springmux.coordination.consensus.core import ReplicaCore
from springmux.coordination.consensus.messages import (
    RaftAppend,
    RaftAppendReply,
    RaftHeartbeat,
    RaftHeartbeatReply,
    ReplicaMessage,
)
from springmux.coordination.consensus.types import Entry
from springmux.coordination.identifiers import LogIndex, NodeId, Term


class Follower:
    """Receives entries and heartbeats from the leader."""

    def __init__(self, core: ReplicaCore) -> None:
        self._core = core

    def accepts_leader(self, message: ReplicaMessage, sender: NodeId) -> bool:
        """Follow the sender unless its term is over; return whether it is followed."""
        core = self._core
        if message.term < core.term:
            self._reject(message, sender, LogIndex(0), LogIndex(0), Term(0))
            return False
        core.follow(message.term, message.source, sender)
        return True

    def on_heartbeat(self, message: RaftHeartbeat, sender: NodeId) -> None:
        """Reply without waiting for the disk, because the reply confirms only the term."""
        core = self._core
        if not self.accepts_leader(message, sender):
            return
        self._advance_commit(message.commit)
        assert core.group is not None
        reply = RaftHeartbeatReply(
            core.group,
            core.replica,
            message.source,
            core.term,
            message.round,
            core.durability.ready,
            core.leaving,
        )
        core.send(sender, reply)

    def on_stop_announced(self) -> None:
        """Notify the leader, now and in each heartbeat reply, that the process is about to stop."""
        core = self._core
        core.leaving = True
        if core.group is not None and core.leader is not None and core.leader_node not in (None, core.node):
            reply = RaftHeartbeatReply(
                core.group, core.replica, core.leader, core.term, 0, core.durability.ready, leaving=True
            )
            core.send(core.leader_node, reply)

    def on_append(self, message: RaftAppend, sender: NodeId) -> None:
        """Append entries that continue this replica's log; the acknowledgement waits for the disk."""
        core = self._core
        if not self.accepts_leader(message, sender) or core.durability.blocked:
            return
        log = core.log
        previous = message.previous_index
        beyond_base = previous >= log.base_index
        if beyond_base and log.term_at(previous) != message.previous_term:
            hint = log.last_index_with_term_at_most(previous, message.previous_term)
            self._reject(message, sender, previous, hint, log.term_at(hint) or Term(0))
            return
        for entry in message.entries:
            if not self._append_entry(entry):
                return
        match = LogIndex(max(previous + len(message.entries), log.base_index))
        self._advance_commit(min(message.commit, match))
        assert core.group is not None
        reply = RaftAppendReply(core.group, core.replica, message.source, core.term, True, match)
        core.send_durably(sender, reply)

    def _append_entry(self, entry: Entry) -> bool:
        core = self._core
        log = core.log
        if entry.index <= log.base_index or log.term_at(entry.index) == entry.term:
            return True
        if entry.index <= core.commit_index:
            core.stop(f"entry {entry.index} of the leader conflicts with a committed entry")
            return False
        if entry.index <= log.last_index:
            core.durability.truncate(entry.index)
        log.append(entry)
        return True

    def _advance_commit(self, commit: LogIndex) -> None:
        core = self._core
        core.commit_index = max(core.commit_index, min(commit, core.log.last_index))

    def _reject(
        self, message: ReplicaMessage, sender: NodeId, index: LogIndex, hint: LogIndex, hint_term: Term
    ) -> None:
        core = self._core
        assert core.group is not None
        reply = RaftAppendReply(
            core.group, core.replica, message.source, core.term, False, index, hint, hint_term
        )
        core.send(sender, reply)
