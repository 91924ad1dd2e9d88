"""The journal of a claim holder on disk: entries are appended and synced, and a grown journal is rewritten.

It is one file in the replica's folder, under the replica's lock, so that it is wiped, moved and set aside
together with the replica's identity. A torn tail is truncated. Corruption before the tail can't be
repaired: the file is set aside and the holder counts as wiped (it pulls from the other holders before it
grants). Blocking; run it in the storage thread. No call takes long, because that thread also serves the
replicated log: a rewrite advances by one slice with each append.
"""

from __future__ import annotations

from collections.abc import Sequence

from springmux.coordination.claims.journal import ClaimEntry, JournalFold, RecoveredClaims
from springmux.coordination.identifiers import ReplicaId
from springmux.storage.appended_file import AppendedFile
from springmux.storage.claim_journal_file import (
    JOURNAL_NAME,
    JournalRewrite,
    JournalStart,
    entries_record,
    parse_journal,
)
from springmux.storage.disk import Disk, DiskError, DiskFailedError, DiskFullError
from springmux.storage.errors import LogCorruptError

DAMAGED_NAME = "claims.journal.damaged"
REWRITE_MIN_BYTES = 4 << 20
"""A smaller journal isn't rewritten, because it can be read in a tenth of a second."""
REWRITE_GROWTH = 2
"""The journal is rewritten at this multiple of its size after the last rewrite.

Each byte is thus copied about once.
"""
MAX_BYTES = 1 << 30
"""Maximum size of the journal; appends beyond it are rejected.

200,000 keys and 64 MiB of answers take about a tenth of this size.
"""


class ClaimJournal:
    """The journal of ``replica`` in ``folder``. Not safe for concurrent use by several threads."""

    def __init__(
        self, disk: Disk, folder: str, replica: ReplicaId, rewrite_min_bytes: int = REWRITE_MIN_BYTES
    ) -> None:
        self._disk = disk
        self._folder = folder
        self._path = f"{folder}/{JOURNAL_NAME}"
        self._replica = replica
        self._rewrite_min_bytes = rewrite_min_bytes
        self._rewrite_at_bytes = rewrite_min_bytes
        self._rewrite: JournalRewrite | None = None
        self._founded = False
        self._fold = JournalFold()
        self._file: AppendedFile | None = None
        self._failure_reason = ""
        self.truncated_bytes = 0
        """Bytes of a torn write that :meth:`open` removed."""

    def open(self, new_replica: bool) -> RecoveredClaims:
        """Read or create the journal, and prepare it for appends.

        :param new_replica: the folder was just created, so that no journal can be missing from it.
        :raises DiskError: the disk failed, or has no room for a new journal.
        """
        damage = ""
        if self._disk.exists(self._path):
            try:
                return self._read()
            except LogCorruptError as error:
                damage = str(error)
                self._disk.rename(self._path, f"{self._folder}/{DAMAGED_NAME}")
                self._disk.fsync_folder(self._folder)
        elif not new_replica:
            damage = f"{self._path} is missing from a folder that was in use"
        self._founded = not damage
        self._fold = JournalFold()
        self._begin_rewrite().step()
        self._finish_rewrite()
        return RecoveredClaims(self._replica, self._founded, damage=damage)

    def append(self, entries: Sequence[ClaimEntry]) -> None:
        """Write entries and sync them; on return they are durable.

        :raises DiskFullError: none of them is kept; the journal stays usable.
        :raises DiskFailedError: the journal can't be written any more.
        """
        if self._failure_reason or self._file is None:
            raise DiskFailedError(self._path, self._failure_reason or "the journal is not open")
        data = entries_record(entries)
        if self._file.valid_bytes + len(data) > MAX_BYTES:
            raise DiskFullError(self._path, f"the journal would exceed {MAX_BYTES} bytes")
        try:
            self._file.append(data)
        except DiskFailedError as error:
            self._failure_reason = error.reason
            raise
        self._fold.apply(entries)
        if self._rewrite is not None:
            self._rewrite.concurrent_entries.extend(entries)
        if self._rewrite is not None or self._file.valid_bytes > self._rewrite_at_bytes:
            self._continue_rewrite()

    def close(self) -> None:
        """Close the journal's file and that of an unfinished rewrite."""
        if self._rewrite is not None:
            self._rewrite.close()
            self._rewrite = None
        if self._file is not None:
            self._file.close()
            self._file = None

    def _read(self) -> RecoveredClaims:
        data = self._disk.read(self._path)
        parsed = parse_journal(self._path, data, self._replica)
        self._founded = parsed.start.founded
        self._fold = parsed.fold
        self._file = AppendedFile(self._disk.open(self._path), parsed.valid_bytes)
        self.truncated_bytes = len(data) - parsed.valid_bytes
        if self.truncated_bytes:
            self._file.truncate_tail()
        return RecoveredClaims(self._replica, self._founded, self._fold.claims(), self._fold.state)

    def _begin_rewrite(self) -> JournalRewrite:
        start = JournalStart(self._replica, self._founded)
        self._rewrite = JournalRewrite(self._disk, self._folder, start, self._fold.entries())
        return self._rewrite

    def _continue_rewrite(self) -> None:
        """Rewrite one slice. On a failure the old file stays in use; if it failed too, an append shows it."""
        try:
            rewrite = self._rewrite or self._begin_rewrite()
            if rewrite.step():
                self._finish_rewrite()
        except DiskError:
            self._abandon_rewrite()

    def _finish_rewrite(self) -> None:
        """Replace the old file by the new one.

        :raises DiskFailedError: which of the two files persists is unknown, so the journal is unusable.
        """
        assert self._rewrite is not None
        self._rewrite.seal()
        try:
            size_bytes = self._rewrite.replace_journal()
            file = AppendedFile(self._disk.open(self._path), size_bytes)
        except DiskFailedError as error:
            self._failure_reason = error.reason
            raise
        self.close()
        self._file = file
        self._rewrite_at_bytes = max(self._rewrite_min_bytes, REWRITE_GROWTH * size_bytes)

    def _abandon_rewrite(self) -> None:
        if self._rewrite is not None:
            self._rewrite.discard()
            self._rewrite = None
        size_bytes = self._file.valid_bytes if self._file is not None else 0
        self._rewrite_at_bytes = REWRITE_GROWTH * size_bytes
