"""A holder's records by key, bounded in number and size, with a change log for incremental pulls."""

from __future__ import annotations

import bisect
from collections import OrderedDict
from collections.abc import Callable, Iterator

from springmux.coordination.claims.events import ClaimSettings
from springmux.coordination.claims.journal import ClaimEntry, ClaimReleased, ClaimStored
from springmux.coordination.claims.messages import ClaimAttempt, ClaimRecord, ClaimState

COMPACTION_SLACK = 1024
"""Number of stale entries, beyond that of records, above which the change log is compacted."""


class ClaimStore:
    """Records of the keys that this node holds; decisions on them are up to the caller.

    :param write: called with every change, in order; on a node with a disk it writes the journal.
    """

    def __init__(self, settings: ClaimSettings, write: Callable[[ClaimEntry], None] | None = None) -> None:
        self._settings = settings
        self._write = write or _discard_entry
        self._records: dict[str, ClaimRecord] = {}
        self._changed_at: dict[str, float] = {}
        self._positions: dict[str, int] = {}
        self._finished: OrderedDict[str, None] = OrderedDict()
        self._answers: OrderedDict[str, int] = OrderedDict()
        self._answer_bytes = 0
        self._change_log: list[tuple[int, str]] = []
        self._position = 0
        self._tombstones: OrderedDict[ClaimAttempt, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    @property
    def position(self) -> int:
        """Return the change log position of the newest change."""
        return self._position

    @property
    def answer_bytes(self) -> int:
        """Return the total size of all stored responses."""
        return self._answer_bytes

    def find(self, key: str) -> ClaimRecord | None:
        """Return the record of ``key``, or ``None``."""
        return self._records.get(key)

    def has_room(self) -> bool:
        """Return whether one more key can be stored; running keys are never evicted."""
        return len(self._records) < self._settings.max_entries or bool(self._finished)

    def position_of(self, key: str) -> int | None:
        """Return the change log position of a key's newest change, or ``None`` for an unknown key."""
        return self._positions.get(key)

    def newest_finished(self) -> Iterator[str]:
        """Return the finished keys, newest first."""
        return reversed(self._finished)

    def put(self, record: ClaimRecord, now: float, granted: ClaimAttempt | None = None) -> None:
        """Store or replace the record of a key, and journal it.

        :param granted: the attempt that this node itself granted, if any; it is only journaled.
        """
        self._write(ClaimStored(record, granted))
        self._put(record, now)

    def restore(self, record: ClaimRecord, now: float) -> None:
        """Store a record from the journal. Its age is unknown, so its claim window starts anew."""
        self._put(record, now)

    def _put(self, record: ClaimRecord, now: float) -> None:
        self._drop(record.key)
        self._position += 1
        self._records[record.key] = record
        self._changed_at[record.key] = now
        self._positions[record.key] = self._position
        self._change_log.append((self._position, record.key))
        if record.state is ClaimState.FINISHED:
            self._finished[record.key] = None
        if record.answer:
            self._answers[record.key] = len(record.answer)
            self._answer_bytes += len(record.answer)
        self._evict(record.key)

    def remove(self, key: str) -> None:
        """Remove the record of a key, if any, and journal that."""
        if key in self._records:
            self._write(ClaimReleased(key))
            self._drop(key)

    def _drop(self, key: str) -> None:
        if self._records.pop(key, None) is None:
            return
        del self._changed_at[key]
        del self._positions[key]
        self._finished.pop(key, None)
        self._answer_bytes -= self._answers.pop(key, 0)
        if len(self._change_log) > 2 * len(self._records) + COMPACTION_SLACK:
            self._change_log = [
                entry for entry in self._change_log if self._positions.get(entry[1]) == entry[0]
            ]

    def withdraw(self, attempt: ClaimAttempt, now: float) -> None:
        """Record that an attempt is withdrawn, and evict the oldest such records over the limit."""
        self._tombstones[attempt] = now
        self._tombstones.move_to_end(attempt)
        while len(self._tombstones) > self._settings.max_tombstones:
            self._tombstones.popitem(last=False)

    def is_withdrawn(self, attempt: ClaimAttempt) -> bool:
        """Return whether the attempt was withdrawn and its tombstone has not expired."""
        return attempt in self._tombstones

    def expire(self, now: float) -> None:
        """Remove expired keys and tombstones; only the oldest entries are examined."""
        horizon = now - self._settings.window_s
        while self._records:
            key = next(iter(self._records))
            if self._changed_at[key] > horizon:
                break
            self.remove(key)
        while self._tombstones:
            if next(iter(self._tombstones.values())) > now - self._settings.tombstone_s:
                break
            self._tombstones.popitem(last=False)

    def changes_after(self, after: int) -> Iterator[tuple[int, ClaimRecord]]:
        """Yield the records changed after a change log position with the position of their newest change.

        The oldest change comes first, and each record comes once.
        """
        start = bisect.bisect_right(self._change_log, after, key=lambda entry: entry[0])
        for index in range(start, len(self._change_log)):
            position, key = self._change_log[index]
            if self._positions.get(key) == position:
                yield position, self._records[key]

    def _evict(self, newest: str) -> None:
        while self._answer_bytes > self._settings.max_answers_bytes:
            key, size_bytes = self._answers.popitem(last=False)
            self._answer_bytes -= size_bytes
            record = self._records[key]
            shortened = ClaimRecord(key, record.attempts, record.state)
            self._records[key] = shortened
            self._write(ClaimStored(shortened))
        while len(self._records) > self._settings.max_entries and self._finished:
            oldest = next(iter(self._finished))
            if oldest == newest and len(self._finished) == 1:
                break
            self.remove(oldest)


def _discard_entry(entry: ClaimEntry) -> None:
    """Discard an entry on a node without a disk."""
