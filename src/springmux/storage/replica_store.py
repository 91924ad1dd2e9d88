"""The durable state of one replica: identity, log, snapshots, space reserve. Blocking; run it in one thread.

A replica's identity is stored in its folder. An empty folder becomes a new replica with a new identity,
so a wiped machine can't vote under an identity whose votes and log it has lost.
"""

from __future__ import annotations

import os
import random
import uuid
from collections.abc import Callable

import msgspec

from springmux.coordination.consensus.effects import Persist
from springmux.coordination.consensus.types import Entry, EntryKind, RecoveredState, SnapshotMeta
from springmux.coordination.identifiers import LogIndex, ReplicaId
from springmux.storage.disk import Disk, DiskFullError, FolderLock, write_atomically
from springmux.storage.errors import FolderWipedError, SnapshotMissingError
from springmux.storage.log_recovery import LogContent, holds_batches, segment_names
from springmux.storage.records import BatchRecord
from springmux.storage.reserve import DEFAULT_RESERVE_BYTES, SpaceReserve
from springmux.storage.snapshots import SnapshotStore, StoredSnapshot
from springmux.storage.write_ahead_log import DEFAULT_SEGMENT_BYTES, WriteAheadLog

IDENTITY_NAME = "replica-id"
FIRST_START_NAME = "first-start"
"""Present if the replica was created at the first start of the whole system.

It is the first file of a new folder, and the first to be removed when a folder is set aside. So in a folder
that isn't in use it means that a first start was interrupted, and the next start keeps it.
"""
IN_USE_NAME = "in-use"
"""Present once the folder is in use; a folder with it but without identity or log was wiped and isn't new."""
LOCK_NAME = "lock"
DAMAGED_SUFFIX = ".damaged"


class RecoveryReport(msgspec.Struct, frozen=True):
    """What ``open`` created, truncated or set aside, for log lines and operators."""

    new_replica: bool = False
    truncated_bytes: int = 0
    damaged_snapshots: tuple[str, ...] = ()


class ReplicaStore:
    """The data folder of one replica.

    :param rng: source of a new identity in simulations; by default the operating system's randomness.
    :param first_start: whether a replica created now belongs to the first start of the whole system.
    """

    def __init__(
        self,
        disk: Disk,
        folder: str,
        rng: random.Random | None = None,
        segment_bytes: int = DEFAULT_SEGMENT_BYTES,
        reserve_bytes: int = DEFAULT_RESERVE_BYTES,
        first_start: bool = False,
    ) -> None:
        self._disk = disk
        self._folder = folder
        self._rng = rng
        self._segment_bytes = segment_bytes
        self._first_start = first_start
        self._snapshots = SnapshotStore(disk, folder)
        self._reserve = SpaceReserve(disk, folder, reserve_bytes)
        self._log: WriteAheadLog | None = None
        self._lock: FolderLock | None = None
        self.recovery_report = RecoveryReport()

    def open(self) -> RecoveredState:
        """Lock the folder and create or recover the replica.

        :raises FolderLockedError: another process uses the folder.
        :raises StorageDamagedError: durable state is corrupt or missing; see :meth:`set_aside`.
        :raises DiskError: the disk failed, or has no room for a first start.
        """
        self._disk.make_folder(self._folder)
        self._lock = self._disk.lock(self._path(LOCK_NAME))
        try:
            return self._open_locked()
        except BaseException:
            self.close()
            raise

    def persist(self, batch: Persist) -> None:
        """Make a batch durable with one sync.

        Batches with commands are rejected while the reserve isn't allocated; those with only hard state,
        truncations and the group's own entries may use its space.

        :raises DiskFullError: nothing of the batch counts; later ones may succeed.
        :raises DiskFailedError: the store can't continue.
        """
        record = _batch_record(batch)
        self._reserve.allocate()
        if _has_commands(batch.entries):
            if not self._reserve.is_allocated:
                raise DiskFullError(self._folder, "free space is below the reserve; commands are rejected")
            self._opened_log().append(record)
            return
        self._with_reserve(lambda: self._opened_log().append(record))

    def accepts_commands(self) -> bool:
        """Return whether batches with commands are accepted now (the reserve is or can be allocated)."""
        self._reserve.allocate()
        return self._reserve.is_allocated

    def take_snapshot(self, meta: SnapshotMeta, data: bytes) -> SnapshotMeta:
        """Store a snapshot of the state machine; the log stays until :meth:`compact`.

        :returns: the metadata with the data's size.
        :raises DiskFullError: nothing changed.
        """
        saved: list[SnapshotMeta] = []
        self._with_reserve(lambda: saved.append(self._snapshots.save(meta, data)))
        return saved[0]

    def install_snapshot(self, meta: SnapshotMeta, data: bytes) -> None:
        """Store a leader's snapshot and restart the log after it."""
        self.take_snapshot(meta, data)
        self._with_reserve(lambda: self._opened_log().reset(meta.index))

    def compact(self, first_kept: LogIndex) -> None:
        """Remove segments before ``first_kept``, except those that recovery from the older snapshot needs."""
        oldest_index = self._snapshots.oldest_index()
        if oldest_index is not None:
            self._opened_log().remove_segments_before(LogIndex(min(first_kept, oldest_index + 1)))
        self._reserve.allocate()

    def set_aside(self) -> None:
        """Rename the files of a corrupt folder, so that the next :meth:`open` creates a new replica.

        The files stay under ``.damaged`` for inspection.
        """
        lock = self._disk.lock(self._path(LOCK_NAME))
        try:
            self._disk.remove(self._path(FIRST_START_NAME))
            self._disk.fsync_folder(self._folder)
            self._reserve.release()
            for name in self._disk.list_folder(self._folder):
                if name != LOCK_NAME and not name.endswith(DAMAGED_SUFFIX):
                    self._disk.rename(self._path(name), self._path(name + DAMAGED_SUFFIX))
            self._disk.fsync_folder(self._folder)
        finally:
            lock.release()

    def close(self) -> None:
        """Close the log's file and release the folder's lock."""
        if self._log is not None:
            self._log.close()
            self._log = None
        if self._lock is not None:
            self._lock.release()
            self._lock = None

    def _open_locked(self) -> RecoveredState:
        if not self._disk.exists(self._path(IN_USE_NAME)):
            self._create_replica()
        elif not self._disk.exists(self._path(IDENTITY_NAME)):
            raise FolderWipedError(self._folder, IDENTITY_NAME)
        self._remove_temporary_files()
        self._reserve.reallocate()
        replica = ReplicaId(self._disk.read(self._path(IDENTITY_NAME)).decode().strip())
        self._log = WriteAheadLog(self._disk, self._folder, replica, self._segment_bytes)
        if not segment_names(self._disk, self._folder):
            raise FolderWipedError(self._folder, "the log")
        content = self._log.open()
        return self._recover(replica, content, self._snapshots.load())

    def _remove_temporary_files(self) -> None:
        for name in self._disk.list_folder(self._folder):
            if name.endswith(".tmp"):
                self._disk.remove(self._path(name))

    def _create_replica(self) -> None:
        """Create a replica: mark, log, identity and, last, the in-use file that makes them valid."""
        if holds_batches(self._disk, self._folder) or self._snapshots.oldest_index():
            raise FolderWipedError(self._folder, IN_USE_NAME)
        if self._first_start:
            write_atomically(self._disk, self._folder, FIRST_START_NAME, b"1\n")
        replica = self._new_identity()
        log = WriteAheadLog(self._disk, self._folder, replica, self._segment_bytes)
        log.create()
        log.close()
        write_atomically(self._disk, self._folder, IDENTITY_NAME, replica.encode())
        write_atomically(self._disk, self._folder, IN_USE_NAME, b"1\n")
        self.recovery_report = RecoveryReport(new_replica=True)

    def _new_identity(self) -> ReplicaId:
        random_bytes = self._rng.randbytes(16) if self._rng else os.urandom(16)
        return ReplicaId(str(uuid.UUID(bytes=random_bytes, version=4)))

    def _recover(
        self, replica: ReplicaId, content: LogContent, snapshots: list[StoredSnapshot]
    ) -> RecoveredState:
        chosen = next((s for s in snapshots if _continues_snapshot(content, s.meta)), None)
        if chosen is None and (snapshots or self._snapshots.damaged or content.base_index > 0):
            raise SnapshotMissingError(self._folder, content.base_index)
        self.recovery_report = RecoveryReport(
            new_replica=self.recovery_report.new_replica,
            truncated_bytes=self._opened_log().truncated_bytes,
            damaged_snapshots=tuple(self._snapshots.damaged),
        )
        entries = tuple(content.entries)
        if chosen is not None:
            entries = _entries_after(content.entries, chosen.meta)
            if _must_reset_log(content, chosen.meta):
                self._opened_log().reset(chosen.meta.index)
        return RecoveredState(
            replica=replica,
            group=content.group,
            hard_state=content.hard_state,
            snapshot=chosen.meta if chosen else None,
            snapshot_data=chosen.data if chosen else b"",
            entries=entries,
            founding_members=content.founding_members,
            committed=content.committed,
            first_start=self._disk.exists(self._path(FIRST_START_NAME)),
        )

    def _with_reserve(self, write: Callable[[], None]) -> None:
        """Perform a write; if the disk is full, release the reserve and retry once."""
        try:
            write()
        except DiskFullError:
            if not self._reserve.is_allocated:
                raise
            self._reserve.release()
            write()

    def _opened_log(self) -> WriteAheadLog:
        if self._log is None:
            raise RuntimeError("the store is not open")
        return self._log

    def _path(self, name: str) -> str:
        return f"{self._folder}/{name}"


def _batch_record(batch: Persist) -> BatchRecord:
    group, founding_members = batch.founding if batch.founding else (None, None)
    return BatchRecord(
        batch.hard_state, batch.truncate_from, batch.entries, group, founding_members, batch.committed
    )


def _has_commands(entries: tuple[Entry, ...]) -> bool:
    return any(entry.kind is EntryKind.COMMAND for entry in entries)


def _continues_snapshot(content: LogContent, meta: SnapshotMeta) -> bool:
    """Return whether the log continues from the snapshot without a gap."""
    return content.base_index <= meta.index


def _must_reset_log(content: LogContent, meta: SnapshotMeta) -> bool:
    """Return whether the log doesn't continue from the snapshot, as after an interrupted installation."""
    return content.last_index() < meta.index or _conflicts(content.entries, meta)


def _conflicts(entries: list[Entry], meta: SnapshotMeta) -> bool:
    return any(entry.index == meta.index and entry.term != meta.term for entry in entries)


def _entries_after(entries: list[Entry], meta: SnapshotMeta) -> tuple[Entry, ...]:
    """Return the entries after the snapshot: none if the log conflicts with it (Raft, figure 13)."""
    if _conflicts(entries, meta):
        return ()
    return tuple(entry for entry in entries if entry.index > meta.index)
