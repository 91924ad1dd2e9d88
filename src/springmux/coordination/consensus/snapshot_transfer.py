"""Sending a snapshot in chunks, and receiving one (Ongaro 2014, section 5.3).

One chunk is in flight for each follower. The follower says which offset it wants next, so a lost
chunk or a pause resumes where it stopped; another snapshot begins anew.
"""

from __future__ import annotations

import msgspec

from springmux.coordination.consensus.core import Progress, ReplicaCore, SnapshotTransfer
from springmux.coordination.consensus.effects import InstallSnapshot, SnapshotInstalled
from springmux.coordination.consensus.following import Following
from springmux.coordination.consensus.log import log_after
from springmux.coordination.consensus.messages import (
    RaftAppendReply,
    RaftSnapshotChunk,
    RaftSnapshotReply,
)
from springmux.coordination.consensus.types import SnapshotMeta
from springmux.coordination.identifiers import LogIndex, NodeId, ReplicaId, Term
from springmux.coordination.state_machine import LogLevel

INSTALLED = -1
"""``wanted`` of the reply after the snapshot was installed."""


class SnapshotSender:
    """The leader's side."""

    def __init__(self, core: ReplicaCore) -> None:
        self._core = core

    def send(self, progress: Progress) -> None:
        """Send the next chunk unless one is in flight."""
        core = self._core
        if progress.waiting or core.snapshot is None:
            return
        transfer = progress.transfer
        # An older snapshot is still good as long as the log follows on it.
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
        progress.waiting = True
        progress.resend_at = core.now + progress.resend_wait_s

    def on_reply(self, progress: Progress, message: RaftSnapshotReply) -> LogIndex | None:
        """Continue at the wanted offset; return the follower's index once the snapshot is installed."""
        transfer = progress.transfer
        if transfer is None or transfer.meta.index != message.index:
            return None
        if message.wanted == INSTALLED:
            progress.transfer = None
            progress.waiting = False
            return message.index
        # The chunk that is in flight is wanted: a repeated reply, which must not multiply chunks.
        repeated = progress.waiting and message.wanted == transfer.offset
        if 0 <= message.wanted <= len(transfer.data) and not repeated:
            transfer.offset = message.wanted
            progress.waiting = False
            progress.resend_wait_s = self._core.settings.resend_after_s
        return None


class _Incoming(msgspec.Struct):
    """Chunks received so far."""

    source: ReplicaId
    term: Term
    meta: SnapshotMeta
    data: bytearray


class SnapshotReceiver:
    """The follower's side."""

    def __init__(self, core: ReplicaCore, following: Following) -> None:
        self._core = core
        self._following = following
        self._incoming: _Incoming | None = None
        self._ready: _Incoming | None = None
        self._installing = False

    def on_chunk(self, message: RaftSnapshotChunk, sender: NodeId) -> None:
        """Append a chunk if it is the next one, and reply with the offset that is wanted next."""
        core = self._core
        if not self._following.accepts_leader(message, sender) or self._ready is not None:
            return
        if message.meta.index <= core.commit_index:
            self._decline(message, sender)
            return
        incoming = self._incoming
        identity = (message.source, message.term, message.meta)
        if incoming is None or (incoming.source, incoming.term, incoming.meta) != identity:
            incoming = self._incoming = _Incoming(*identity, bytearray())
        if message.offset == len(incoming.data):
            incoming.data += message.data
        if len(incoming.data) >= message.meta.size_bytes:
            self._incoming = None
            self._ready = incoming
            core.durability.blocked = True
            return
        self._reply(incoming, sender, len(incoming.data))

    def install_when_idle(self) -> None:
        """Hand a complete snapshot to storage once no batch is being written."""
        core = self._core
        if self._ready is None or self._installing or not core.durability.idle:
            return
        self._installing = True
        core.emit(InstallSnapshot(self._ready.meta, bytes(self._ready.data)))

    def on_installed(self, event: SnapshotInstalled) -> None:
        """Continue from the snapshot and notify the leader."""
        core = self._core
        ready = self._ready
        if ready is None or ready.meta != event.meta:
            return
        core.snapshot = ready.meta
        core.snapshot_data = bytes(ready.data)
        core.log = log_after(ready.meta, None, ())
        core.durability.replaced(core.log)
        core.commit_index = core.applied_index = ready.meta.index
        core.applied_bytes = 0
        self._ready = None
        self._installing = False
        if core.leader_node is not None and core.term == ready.term:
            self._reply(ready, core.leader_node, INSTALLED)

    def on_failed(self, index: LogIndex, reason: str) -> bool:
        """Drop a snapshot that storage could not install; the leader sends it again."""
        if self._ready is None or self._ready.meta.index != index:
            return False
        self._core.emit_log_line("snapshot_install_failed", LogLevel.ERROR, index=index, reason=reason)
        self._ready = None
        self._installing = False
        self._core.durability.blocked = False
        return True

    def _decline(self, message: RaftSnapshotChunk, sender: NodeId) -> None:
        """Acknowledge up to where the log on disk matches, since all of the snapshot is committed already."""
        core = self._core
        assert core.group is not None
        match = min(core.commit_index, core.durability.stable_index)
        reply = RaftAppendReply(core.group, core.replica, message.source, core.term, True, match)
        core.send_durably(sender, reply)

    def _reply(self, incoming: _Incoming, sender: NodeId, wanted: int) -> None:
        core = self._core
        assert core.group is not None
        message = RaftSnapshotReply(
            core.group, core.replica, incoming.source, core.term, incoming.meta.index, wanted
        )
        core.send(sender, message)
