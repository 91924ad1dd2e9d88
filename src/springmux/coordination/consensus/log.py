"""The log in memory: the entries after a base index, and the group's members as of each index."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from springmux.coordination.consensus.types import Entry, EntryKind, GroupMembers, SnapshotMeta
from springmux.coordination.identifiers import LogIndex, Term

ENTRY_OVERHEAD_BYTES = 32
"""Size of an entry in MessagePack without its data.

Index and term take at most 9 bytes each, the kind 8, the array and data headers 6.
"""


def encode_members(members: GroupMembers) -> bytes:
    """Return the data of a ``MEMBERS`` entry."""
    return msgspec.msgpack.encode(members)


def decode_members(data: bytes) -> GroupMembers:
    """Return the members in the data of a ``MEMBERS`` entry."""
    return msgspec.msgpack.decode(data, type=GroupMembers)


def entry_bytes(entry: Entry) -> int:
    """Return the approximate size of an entry in a message."""
    return len(entry.data) + ENTRY_OVERHEAD_BYTES


class ReplicatedLog:
    """Entries from ``base_index + 1`` on; a snapshot has the earlier ones (Ongaro 2014, section 5.1)."""

    def __init__(self, base_index: LogIndex, base_term: Term, base_members: GroupMembers) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self._entries: list[Entry] = []
        self._members: list[tuple[LogIndex, GroupMembers]] = [(base_index, base_members)]

    @property
    def last_index(self) -> LogIndex:
        """Index of the newest entry."""
        return LogIndex(self.base_index + len(self._entries))

    @property
    def last_term(self) -> Term:
        """Term of the newest entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def members(self) -> GroupMembers:
        """The newest members, committed or not (Ongaro 2014, section 4.1)."""
        return self._members[-1][1]

    @property
    def members_index(self) -> LogIndex:
        """Index of the entry that set :attr:`members`."""
        return self._members[-1][0]

    def members_at(self, index: LogIndex) -> GroupMembers:
        """Return the members as of ``index``."""
        return next((m for at, m in reversed(self._members) if at <= index), self._members[0][1])

    def term_at(self, index: LogIndex) -> Term | None:
        """Return the term of the entry at ``index``, or ``None`` if the log doesn't hold it."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def last_index_with_term_at_most(self, index: LogIndex, term: Term) -> LogIndex:
        """Return the greatest index up to ``index`` whose term is at most ``term`` (not below the base)."""
        position = int(min(index, self.last_index))
        while position > self.base_index and (self.term_at(LogIndex(position)) or 0) > term:
            position -= 1
        return LogIndex(max(position, self.base_index))

    def append(self, entry: Entry) -> None:
        """Add the next entry."""
        assert entry.index == self.last_index + 1, "entries are appended without a gap"
        self._entries.append(entry)
        if entry.kind is EntryKind.MEMBERS:
            self._members.append((entry.index, decode_members(entry.data)))

    def holds_only_barriers(self) -> bool:
        """Return whether neither the log nor a snapshot before it holds a command or membership change."""
        return self.base_index == 0 and all(entry.kind is EntryKind.BARRIER for entry in self._entries)

    def truncate_from(self, index: LogIndex) -> None:
        """Drop the entries at and after ``index``."""
        del self._entries[index - self.base_index - 1 :]
        while self._members[-1][0] >= index and len(self._members) > 1:
            self._members.pop()

    def entries_between(self, first: LogIndex, last: LogIndex) -> tuple[Entry, ...]:
        """Return the entries from ``first`` to ``last``, both included."""
        return tuple(self._entries[first - self.base_index - 1 : last - self.base_index])

    def entries_from(self, first: LogIndex, limit_bytes: int) -> tuple[Entry, ...]:
        """Return the entries from ``first`` on that fit in ``limit_bytes``, and at least one if any exist."""
        chosen: list[Entry] = []
        total = 0
        for position in range(first - self.base_index - 1, len(self._entries)):
            entry = self._entries[position]
            total += entry_bytes(entry)
            if chosen and total > limit_bytes:
                break
            chosen.append(entry)
        return tuple(chosen)

    def first_kept(self, snapshot_index: LogIndex, kept_entries: int, kept_bytes: int) -> LogIndex:
        """Return the first index that compaction keeps, so that a margin before the snapshot stays."""
        first = int(snapshot_index) + 1
        total = 0
        while first > self.base_index + 1 and snapshot_index + 1 - first < kept_entries:
            total += entry_bytes(self._entries[first - self.base_index - 2])
            if total > kept_bytes:
                break
            first -= 1
        return LogIndex(first)

    def compact(self, first_kept: LogIndex) -> None:
        """Drop the entries before ``first_kept``."""
        new_base = LogIndex(first_kept - 1)
        term = self.term_at(new_base)
        assert term is not None, "compaction stays within the log"
        base_members = self.members_at(new_base)
        del self._entries[: new_base - self.base_index]
        later = [(at, members) for at, members in self._members if at > new_base]
        self.base_index, self.base_term = new_base, term
        self._members = [(new_base, base_members), *later]


def build_log(
    meta: SnapshotMeta | None, founding: GroupMembers | None, entries: Sequence[Entry]
) -> ReplicatedLog:
    """Build the log that follows a snapshot (or the founding); earlier entries are skipped."""
    if meta is not None:
        log = ReplicatedLog(meta.index, meta.term, meta.members)
    else:
        log = ReplicatedLog(LogIndex(0), Term(0), founding or GroupMembers(()))
    for entry in entries:
        if entry.index > log.base_index:
            log.append(entry)
    return log
