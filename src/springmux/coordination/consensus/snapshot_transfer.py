"""Sending a snapshot in chunks, and receiving one (Ongaro 2014, section 5.3).

One chunk is in flight for each follower. The follower's reply names the next offset, so after a lost
chunk or a pause the transfer resumes where it stopped; another snapshot starts from the beginning.
"""

from __future__ import annotations

import msgspec

from springmux.coordination.consensus.core import Progress, ReplicaCore, SnapshotTransfer
from springmux.coordination.consensus.effects import InstallSnapshot, SnapshotInstalled
from springmux.coordination.consensus.follower import Follower
from springmux.coordination.consensus.log import build_log
from springmux.coordination.consensus.messages import (
    RaftAppendReply,
    RaftSnapshotChunk,
    RaftSnapshotReply,
)
from springmux.coordination.consensus.types import SnapshotMeta
from springmux.coordination.identifiers import LogIndex, NodeId, ReplicaId, Term
from springmux.coordination.state_machine import LogLevel

SNAPSHOT_INSTALLED = -1
"""Value of ``next_offset`` in the reply after the snapshot was installed."""


class SnapshotSender:
    """Sends snapshots to followers, on the leader."""

    def __init__(self, core: ReplicaCore) -> None:
        self._core = core

    def send(self, progress: Progress) -> None:
        """Send the next chunk unless one is in flight."""
        core = self._core
        if progress.awaiting_reply or core.snapshot is None:
            return
        transfer = progress.transfer
        # An older snapshot is still usable as long as the log continues from it.
        if transfer is None or transfer.meta.index < core.log.base_index:
            transfer = progress.transfer = SnapshotTransfer(
                msgspec.structs.replace(core.snapshot, size_bytes=len(core.snapshot_data)), core.snapshot_data
            )
        assert core.group is not None
        end = transfer.offset + core.settings.chunk_bytes
        message = RaftSnapshotChunk(
            core.group,
            core.replica,
            progress.replica,
            core.term,
            transfer.meta,
            transfer.offset,
            transfer.data[transfer.offset : end],
        )
        core.send(progress.node, message)
        progress.awaiting_reply = True
        progress.resend_at = core.now + progress.resend_wait_s

    def on_reply(self, progress: Progress, message: RaftSnapshotReply) -> LogIndex | None:
        """Continue at the requested offset; return the snapshot's index once the follower installed it."""
        transfer = progress.transfer
        if transfer is None or transfer.meta.index != message.index:
            return None
        if message.next_offset == SNAPSHOT_INSTALLED:
            progress.transfer = None
            progress.awaiting_reply = False
            return message.index
        # A repeated reply requests the chunk that is already in flight; it must not multiply chunks.
        repeated = progress.awaiting_reply and message.next_offset == transfer.offset
        if 0 <= message.next_offset <= len(transfer.data) and not repeated:
            transfer.offset = message.next_offset
            progress.awaiting_reply = False
            progress.resend_wait_s = self._core.settings.resend_after_s
        return None


class _IncomingSnapshot(msgspec.Struct):
    """The chunks of a snapshot received so far."""

    source: ReplicaId
    term: Term
    meta: SnapshotMeta
    data: bytearray


class SnapshotReceiver:
    """Receives a snapshot from the leader, on a follower."""

    def __init__(self, core: ReplicaCore, follower: Follower) -> None:
        self._core = core
        self._follower = follower
        self._incoming: _IncomingSnapshot | None = None
        self._received: _IncomingSnapshot | None = None
        self._installing = False

    def on_chunk(self, message: RaftSnapshotChunk, sender: NodeId) -> None:
        """Append a chunk if it is the next one, and reply with the next offset."""
        core = self._core
        if not self._follower.accepts_leader(message, sender) or self._received is not None:
            return
        if message.meta.index <= core.commit_index:
            self._acknowledge_committed(message, sender)
            return
        incoming = self._incoming
        identity = (message.source, message.term, message.meta)
        if incoming is None or (incoming.source, incoming.term, incoming.meta) != identity:
            incoming = self._incoming = _IncomingSnapshot(*identity, bytearray())
        if message.offset == len(incoming.data):
            incoming.data += message.data
        if len(incoming.data) >= message.meta.size_bytes:
            self._incoming = None
            self._received = incoming
            core.durability.blocked = True
            return
        self._reply(incoming, sender, len(incoming.data))

    def install_when_idle(self) -> None:
        """Pass a complete snapshot to storage once no batch is being written."""
        core = self._core
        if self._received is None or self._installing or not core.durability.idle:
            return
        self._installing = True
        core.emit(InstallSnapshot(self._received.meta, bytes(self._received.data)))

    def on_installed(self, event: SnapshotInstalled) -> None:
        """Continue from the snapshot and notify the leader."""
        core = self._core
        received = self._received
        if received is None or received.meta != event.meta:
            return
        core.snapshot = received.meta
        core.snapshot_data = bytes(received.data)
        core.log = build_log(received.meta, None, ())
        core.durability.replace_log(core.log)
        core.commit_index = core.applied_index = received.meta.index
        core.applied_bytes = 0
        self._received = None
        self._installing = False
        if core.leader_node is not None and core.term == received.term:
            self._reply(received, core.leader_node, SNAPSHOT_INSTALLED)

    def on_failed(self, index: LogIndex, reason: str) -> bool:
        """Drop a snapshot that storage could not install; the leader sends it again."""
        if self._received is None or self._received.meta.index != index:
            return False
        self._core.emit_log_line("snapshot_install_failed", LogLevel.ERROR, index=index, reason=reason)
        self._received = None
        self._installing = False
        self._core.durability.blocked = False
        return True

    def _acknowledge_committed(self, message: RaftSnapshotChunk, sender: NodeId) -> None:
        """Acknowledge the committed entries on disk, because the whole snapshot is committed already."""
        core = self._core
        assert core.group is not None
        match = min(core.commit_index, core.durability.stable_index)
        reply = RaftAppendReply(core.group, core.replica, message.source, core.term, True, match)
        core.send_durably(sender, reply)

    def _reply(self, incoming: _IncomingSnapshot, sender: NodeId, next_offset: int) -> None:
        core = self._core
        assert core.group is not None
        message = RaftSnapshotReply(
            core.group, core.replica, incoming.source, core.term, incoming.meta.index, next_offset
        )
        core.send(sender, message)
