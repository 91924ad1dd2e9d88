"""Segmented write-ahead log of one replica: append and sync, rotation, removal.

:mod:`springmux.storage.log_recovery` reads the log back; :mod:`springmux.storage.records` has the records.
"""

from __future__ import annotations

import msgspec

from springmux.coordination.identifiers import LogIndex, ReplicaId
from springmux.storage.appended_file import AppendedFile
from springmux.storage.disk import Disk, DiskFailedError, DiskFile, DiskFullError
from springmux.storage.log_recovery import (
    LogContent,
    ReplayedLog,
    Segment,
    replay_log,
    segment_name,
    segment_names,
)
from springmux.storage.records import BatchRecord, SegmentStart, encode_batch, encode_start

DEFAULT_SEGMENT_BYTES = 8 << 20
"""Size at which a new segment begins.

It limits how much a removal frees and how much a recovery reads into memory, each at a time.
"""


class WriteAheadLog:
    """The log in ``folder``. Not safe for concurrent use by several threads."""

    def __init__(
        self, disk: Disk, folder: str, replica: ReplicaId, segment_bytes: int = DEFAULT_SEGMENT_BYTES
    ) -> None:
        self._disk = disk
        self._folder = folder
        self._replica = replica
        self._segment_bytes = segment_bytes
        self._segments: list[Segment] = []
        self._file: AppendedFile | None = None
        self._failure_reason = ""
        self._latest_state = LogContent()
        self._last_index = LogIndex(0)
        self.truncated_bytes = 0
        """Bytes of a torn write that :meth:`open` removed."""

    def create(self) -> None:
        """Create an empty log and remove the segments of an interrupted first start."""
        for name in segment_names(self._disk, self._folder):
            self._disk.remove(self._path(name))
        self._begin_segment(1, replaces_log=False)

    def open(self) -> LogContent:
        """Read the log, truncate a torn tail, and prepare for appends.

        :raises LogCorruptError: if durable state is corrupt or missing.
        """
        replayed = replay_log(self._disk, self._folder, self._replica)
        self._segments = replayed.segments
        self._latest_state = msgspec.structs.replace(replayed.content, entries=[])
        self._last_index = replayed.content.last_index()
        last = self._segments[-1]
        self._file = AppendedFile(self._disk.open(self._path(last.name)), last.valid_bytes)
        self._truncate_torn_tail(replayed)
        return replayed.content

    def append(self, batch: BatchRecord) -> None:
        """Write one batch and sync it; on return it is durable.

        :raises DiskFullError: nothing of the batch is kept; the log stays usable.
        :raises DiskFailedError: the log can't be written any more.
        :raises ValueError: if the entries don't continue the log.
        """
        self._check_usable()
        self._check_sequence(batch)
        data = encode_batch(batch)
        active = self._segments[-1]
        if active.batch_count and active.valid_bytes + len(data) > self._segment_bytes:
            self._sync()
            self._begin_segment(active.number + 1, replaces_log=False)
        self._write(data)
        self._record_batch(batch)

    def reset(self, base_index: LogIndex) -> None:
        """Drop every entry and continue after ``base_index`` (a snapshot was installed).

        :raises DiskFullError: nothing changed.
        """
        self._check_usable()
        before = self._last_index
        self._last_index = base_index
        try:
            self._begin_segment(self._segments[-1].number + 1, replaces_log=True)
        except DiskFullError:
            self._last_index = before
            raise
        self._remove_segments(len(self._segments) - 1)

    def remove_segments_before(self, first_kept: LogIndex) -> None:
        """Remove the oldest segments that hold no entry at or after ``first_kept``."""
        self._check_usable()
        removable = 0
        while removable < len(self._segments) - 1 and self._segments[removable].last_index < first_kept:
            removable += 1
        self._remove_segments(removable)

    def close(self) -> None:
        """Close the file of the active segment."""
        if self._file is not None:
            self._file.close()
            self._file = None

    def _check_usable(self) -> None:
        if self._failure_reason or self._file is None:
            raise DiskFailedError(self._folder, self._failure_reason or "the log is not open")

    def _check_sequence(self, batch: BatchRecord) -> None:
        """Reject a batch that would leave a gap, which would look like corruption when read back."""
        last_index = int(self._last_index)
        if batch.truncate_from is not None:
            last_index = min(last_index, batch.truncate_from - 1)
        for expected, entry in enumerate(batch.entries, start=last_index + 1):
            if entry.index != expected:
                raise ValueError(f"entry {entry.index} does not follow {expected - 1}")

    def _write(self, data: bytes) -> None:
        assert self._file is not None
        try:
            self._file.append(data)
        except DiskFailedError as error:
            self._failure_reason = error.reason
            raise
        self._segments[-1].valid_bytes = self._file.valid_bytes
        self._segments[-1].batch_count += 1

    def _sync(self) -> None:
        assert self._file is not None
        try:
            self._file.sync()
        except DiskFailedError as error:
            self._failure_reason = error.reason
            raise

    def _record_batch(self, batch: BatchRecord) -> None:
        if batch.hard_state is not None:
            self._latest_state.hard_state = batch.hard_state
        if batch.group is not None:
            self._latest_state.group = batch.group
            self._latest_state.founding_members = batch.founding_members
        if batch.truncate_from is not None:
            self._last_index = min(self._last_index, LogIndex(batch.truncate_from - 1))
        if batch.entries:
            self._last_index = batch.entries[-1].index
            active = self._segments[-1]
            active.last_index = max(active.last_index, self._last_index)

    def _begin_segment(self, number: int, *, replaces_log: bool) -> None:
        """Create a segment with a durable name and start record, and make it the active one."""
        data = encode_start(self._start_record(number, replaces_log=replaces_log))
        try:
            file = self._create_file(self._path(segment_name(number)), data)
        except DiskFailedError as error:
            self._failure_reason = error.reason
            raise
        self.close()
        self._file = AppendedFile(file, len(data))
        self._sync()
        self._disk.fsync_folder(self._folder)
        self._segments.append(Segment(number, valid_bytes=len(data)))

    def _start_record(self, number: int, *, replaces_log: bool) -> SegmentStart:
        latest = self._latest_state
        return SegmentStart(
            number=number,
            replica=self._replica,
            hard_state=latest.hard_state,
            group=latest.group,
            founding_members=latest.founding_members,
            base_index=self._last_index,
            replaces_log=replaces_log,
        )

    def _create_file(self, path: str, data: bytes) -> DiskFile:
        file = self._disk.open(path)
        try:
            file.append(data)
        except DiskFullError:
            file.close()
            self._disk.remove(path)
            raise
        return file

    def _remove_segments(self, count: int) -> None:
        for segment in self._segments[:count]:
            self._disk.remove(self._path(segment.name))
        del self._segments[:count]
        if count:
            self._disk.fsync_folder(self._folder)

    def _truncate_torn_tail(self, replayed: ReplayedLog) -> None:
        assert self._file is not None
        if replayed.empty_segment is not None:
            self._disk.remove(self._path(replayed.empty_segment))
            self._disk.fsync_folder(self._folder)
        last = self._segments[-1]
        if last.torn_bytes:
            self.truncated_bytes = last.torn_bytes
            self._file.truncate_tail()

    def _path(self, name: str) -> str:
        return f"{self._folder}/{name}"
