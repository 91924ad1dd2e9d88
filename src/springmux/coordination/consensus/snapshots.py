"""When to take a snapshot of this replica's state, and how much of the log before it to keep."""

from __future__ import annotations

from springmux.coordination.consensus.core import ReplicaCore
from springmux.coordination.consensus.effects import (
    CompactLog,
    SnapshotFailed,
    SnapshotTaken,
    TakeSnapshot,
)
from springmux.coordination.identifiers import LogIndex
from springmux.coordination.state_machine import NEVER, LogLevel


class Snapshots:
    """Requests a snapshot when the log has grown, one at a time (Ongaro 2014, section 5.1)."""

    def __init__(self, core: ReplicaCore) -> None:
        self._core = core
        self._requested: LogIndex | None = None
        self._retry_at = -NEVER

    def deadline(self) -> float:
        """Return when to retry a failed snapshot."""
        return self._retry_at if self._requested is None and self._retry_at > self._core.now else NEVER

    def request_when_due(self) -> None:
        """Request a snapshot when the entries or bytes since the last one reach their limit."""
        core = self._core
        if self._requested is not None or core.now < self._retry_at:
            return
        last_snapshot_index = core.snapshot.index if core.snapshot else LogIndex(0)
        entry_limit_reached = core.applied_index - last_snapshot_index >= core.settings.snapshot_entries
        byte_limit_reached = core.applied_bytes >= core.settings.snapshot_bytes
        term = core.log.term_at(core.applied_index)
        if (
            (entry_limit_reached or byte_limit_reached)
            and core.applied_index > last_snapshot_index
            and term is not None
        ):
            self._requested = core.applied_index
            core.applied_bytes = 0
            core.emit(TakeSnapshot(core.applied_index, term, core.log.members_at(core.applied_index)))

    def on_taken(self, event: SnapshotTaken) -> None:
        """Use the snapshot for slow followers and compact the log before it."""
        core = self._core
        self._requested = None
        if core.snapshot is not None and event.meta.index <= core.snapshot.index:
            return
        core.snapshot = event.meta
        core.snapshot_data = event.data
        first_kept = core.log.first_kept(
            event.meta.index, core.settings.kept_entries, core.settings.kept_bytes
        )
        if first_kept > core.log.base_index + 1:
            core.log.compact(first_kept)
            core.emit(CompactLog(first_kept))

    def on_failed(self, event: SnapshotFailed) -> None:
        """Keep the log and try again later."""
        self._requested = None
        self._core.applied_bytes = self._core.settings.snapshot_bytes
        self._retry_at = self._core.now + self._core.settings.snapshot_retry_s
        self._core.emit_log_line("snapshot_failed", LogLevel.ERROR, index=event.index, reason=event.reason)
