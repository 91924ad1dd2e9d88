"""Read a write-ahead log back, segment by segment, and distinguish corruption from a torn tail.

A tail without a complete record is the rest of an unacknowledged write after a power failure, and is to be
truncated. Corruption before a complete record is reported (:class:`LogCorruptError`), because truncation
would lose acknowledged entries. Corruption of the very last batch can't be distinguished from a torn write.
See Alagappan et al., "Protocol-Aware Recovery for Consensus-Based Storage", FAST 2018, section 3.
"""

from __future__ import annotations

import itertools
import re

import msgspec

from springmux.coordination.consensus.types import Entry, GroupMembers, HardState
from springmux.coordination.identifiers import GroupId, LogIndex, ReplicaId, Term
from springmux.storage.disk import Disk
from springmux.storage.errors import LogCorruptError
from springmux.storage.records import (
    BatchRecord,
    RawRecord,
    RecordType,
    SegmentStart,
    decode_batch,
    decode_start,
    has_record_after,
    read_records,
)

_SEGMENT_NAME = re.compile(r"log-(\d{10})\.segment")
EMPTY_HARD_STATE = HardState(Term(0), None)


class LogContent(msgspec.Struct):
    """State read from the log so far. ``entries`` are consecutive."""

    hard_state: HardState = EMPTY_HARD_STATE
    group: GroupId | None = None
    founding_members: GroupMembers | None = None
    base_index: LogIndex = LogIndex(0)
    entries: list[Entry] = []
    committed: LogIndex = LogIndex(0)

    def last_index(self) -> LogIndex:
        """Return the newest entry's index, or the base of an empty log."""
        return self.entries[-1].index if self.entries else self.base_index


class Segment(msgspec.Struct):
    """One file of the log. ``last_index`` is the highest index ever written in it, 0 without entries.

    ``valid_bytes``: where its complete records end. ``torn_bytes``: size of a torn write after them.
    """

    number: int
    last_index: int = 0
    batch_count: int = 0
    valid_bytes: int = 0
    torn_bytes: int = 0

    @property
    def name(self) -> str:
        """The segment's file name."""
        return segment_name(self.number)


class ReplayedLog(msgspec.Struct):
    """A log read back. ``empty_segment``: name of a last file without a start record; it is to be removed."""

    content: LogContent
    segments: list[Segment]
    empty_segment: str | None = None


def segment_name(number: int) -> str:
    """Return the file name of a segment."""
    return f"log-{number:010d}.segment"


def segment_names(disk: Disk, folder: str) -> list[str]:
    """Return the names of the folder's segments, oldest first."""
    return [name for name in disk.list_folder(folder) if _SEGMENT_NAME.fullmatch(name)]


def holds_batches(disk: Disk, folder: str) -> bool:
    """Return whether the folder's segments hold any batches besides their start records."""
    return any(
        record.type is RecordType.BATCH
        for name in segment_names(disk, folder)
        for record in read_records(disk.read(f"{folder}/{name}"))
    )


def replay_log(disk: Disk, folder: str, replica: ReplicaId) -> ReplayedLog:
    """Read the log of ``replica`` without changing anything.

    :raises LogCorruptError: if durable state is corrupt or missing.
    """
    names = segment_names(disk, folder)
    _check_segment_numbers(names)
    reader = _LogReader(replica)
    for name in names:
        reader.read_segment(name, disk.read(f"{folder}/{name}"), is_last=name == names[-1])
    if not reader.log.segments:
        raise LogCorruptError(folder, 0, "the log has no segment")
    return reader.log


def _check_segment_numbers(names: list[str]) -> None:
    numbers = [int(name[4:14]) for name in names]
    for earlier, later in itertools.pairwise(numbers):
        if later != earlier + 1:
            raise LogCorruptError(segment_name(earlier + 1), 0, "segment is missing")


class _LogReader:
    """Build a :class:`ReplayedLog` segment by segment."""

    def __init__(self, replica: ReplicaId) -> None:
        self._replica = replica
        self.log = ReplayedLog(LogContent(entries=[]), [])

    def read_segment(self, name: str, data: bytes, *, is_last: bool) -> None:
        segment = Segment(int(name[4:14]))
        for record in read_records(data):
            self._read_record(record, segment)
            segment.valid_bytes = record.end
        segment.torn_bytes = len(data) - segment.valid_bytes
        if segment.torn_bytes and (not is_last or has_record_after(data, segment.valid_bytes)):
            raise LogCorruptError(
                name, segment.valid_bytes, "checksum or framing is wrong, and it isn't a torn tail"
            )
        if segment.valid_bytes:
            self.log.segments.append(segment)
        elif is_last and self.log.segments:
            self.log.empty_segment = name
        else:
            raise LogCorruptError(name, 0, "segment has no start record")

    def _read_record(self, record: RawRecord, segment: Segment) -> None:
        if (record.type is RecordType.SEGMENT_START) != (record.offset == 0):
            raise LogCorruptError(segment.name, record.offset, "start record is missing or misplaced")
        try:
            if record.type is RecordType.SEGMENT_START:
                self._apply_start(decode_start(record.payload), segment)
            else:
                self._apply_batch(decode_batch(record.payload), record.offset, segment)
        except msgspec.DecodeError as error:
            raise LogCorruptError(segment.name, record.offset, f"record can't be read: {error}") from error

    def _apply_start(self, start: SegmentStart, segment: Segment) -> None:
        content = self.log.content
        if start.replica != self._replica or start.number != segment.number:
            raise LogCorruptError(segment.name, 0, "segment belongs to another replica or has another number")
        if start.replaces_log or not self.log.segments:
            content.entries.clear()
            content.base_index = start.base_index
        elif start.base_index != content.last_index():
            reason = f"entries after {content.last_index()} are missing before this segment"
            raise LogCorruptError(segment.name, 0, reason)
        content.hard_state = start.hard_state
        content.group = start.group
        content.founding_members = start.founding_members

    def _apply_batch(self, batch: BatchRecord, offset: int, segment: Segment) -> None:
        content = self.log.content
        segment.batch_count += 1
        if batch.hard_state is not None:
            content.hard_state = batch.hard_state
        if batch.group is not None:
            content.group = batch.group
            content.founding_members = batch.founding_members
        content.committed = max(content.committed, batch.committed)
        if batch.truncate_from is not None:
            _truncate(content, batch.truncate_from)
        for entry in batch.entries:
            expected = content.last_index() + 1
            if entry.index != expected:
                raise LogCorruptError(segment.name, offset, f"entry {entry.index} where {expected} should be")
            content.entries.append(entry)
            segment.last_index = max(segment.last_index, entry.index)


def _truncate(content: LogContent, first_dropped: LogIndex) -> None:
    """Drop entries at and after ``first_dropped``, which may be before the first segment that is kept."""
    content.base_index = min(content.base_index, LogIndex(first_dropped - 1))
    while content.entries and content.entries[-1].index >= first_dropped:
        content.entries.pop()
