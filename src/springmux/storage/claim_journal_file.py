"""The claim journal's file: reading it back, and rewriting it as a shorter file.

A file consists of a start record, entries, a seal, and more entries. Everything up to the seal was synced
before the file got its name, so corruption there is never a torn write.
"""

from __future__ import annotations

from collections.abc import Sequence
from contextlib import suppress

import msgspec

from springmux.coordination.claims.journal import ClaimEntry, JournalFold
from springmux.coordination.identifiers import ReplicaId
from springmux.storage.disk import Disk, DiskError, DiskFile
from springmux.storage.errors import LogCorruptError
from springmux.storage.records import RecordType, encode_record, has_record_after, read_records

JOURNAL_NAME = "claims.journal"
TEMPORARY_NAME = "claims.journal.tmp"
SLICE_ENTRIES = 2000
"""Number of entries written in each step of a rewrite: a few milliseconds besides the sync."""


class JournalStart(msgspec.Struct, frozen=True, array_like=True):
    """First record of a journal: its replica, and whether (``founded``) none of its entries was ever lost."""

    replica: ReplicaId
    founded: bool


class ParsedJournal(msgspec.Struct, frozen=True):
    """A journal read back; complete records end at ``valid_bytes``, a torn write may follow."""

    start: JournalStart
    fold: JournalFold
    valid_bytes: int


_encoder = msgspec.msgpack.Encoder()
_start_decoder = msgspec.msgpack.Decoder(JournalStart)
_entries_decoder = msgspec.msgpack.Decoder(list[ClaimEntry])


def entries_record(entries: Sequence[ClaimEntry]) -> bytes:
    """Return the encoded record of ``entries``."""
    return encode_record(RecordType.CLAIM_ENTRIES, _encoder.encode(entries))


def parse_journal(path: str, data: bytes, replica: ReplicaId) -> ParsedJournal:
    """Return the journal in ``data``.

    :raises LogCorruptError: if durable records are corrupt or belong to another replica.
    """
    start: JournalStart | None = None
    fold, sealed, valid_bytes = JournalFold(), False, 0
    try:
        for record in read_records(data):
            if record.type is RecordType.CLAIMS_START:
                start = _start_decoder.decode(record.payload)
            elif record.type is RecordType.CLAIM_ENTRIES:
                fold.apply(_entries_decoder.decode(record.payload))
            sealed = sealed or record.type is RecordType.CLAIMS_SEAL
            valid_bytes = record.end
    except msgspec.DecodeError as error:
        raise LogCorruptError(path, valid_bytes, f"record can't be read: {error}") from error
    torn = valid_bytes < len(data)
    if start is None or not sealed or (torn and has_record_after(data, valid_bytes)):
        raise LogCorruptError(path, valid_bytes, "checksum or framing is wrong, and it isn't a torn tail")
    if start.replica != replica:
        raise LogCorruptError(path, 0, "journal belongs to another replica")
    return ParsedJournal(start, fold, valid_bytes)


class JournalRewrite:
    """A journal being rewritten slice by slice, while the old file still accepts entries.

    :param entries: the current entries of the old file; later ones are added to ``concurrent_entries``.
    """

    def __init__(self, disk: Disk, folder: str, start: JournalStart, entries: list[ClaimEntry]) -> None:
        self._disk = disk
        self._folder = folder
        self._entries = entries
        self._written = 0
        self._size_bytes = 0
        self.concurrent_entries: list[ClaimEntry] = []
        disk.remove(f"{folder}/{TEMPORARY_NAME}")
        self._file: DiskFile = disk.open(f"{folder}/{TEMPORARY_NAME}")
        self._append(encode_record(RecordType.CLAIMS_START, _encoder.encode(start)))

    def step(self) -> bool:
        """Write and sync the next slice; return whether all of ``entries`` are written.

        :raises DiskError: the rewrite must be abandoned.
        """
        following = self._entries[self._written : self._written + SLICE_ENTRIES]
        self._written += len(following)
        if following:
            self._append(entries_record(following))
            self._file.fsync()
        return self._written >= len(self._entries)

    def seal(self) -> None:
        """Append the concurrent entries and the seal; on return the whole file is durable.

        :raises DiskError: the rewrite must be abandoned.
        """
        if self.concurrent_entries:
            self._append(entries_record(self.concurrent_entries))
        self._append(encode_record(RecordType.CLAIMS_SEAL, b""))
        self._file.fsync()

    def replace_journal(self) -> int:
        """Rename the sealed file to the journal's name; return its size in bytes.

        :raises DiskFailedError: it is unknown which of the two files has the name.
        """
        self._disk.rename(f"{self._folder}/{TEMPORARY_NAME}", f"{self._folder}/{JOURNAL_NAME}")
        self._disk.fsync_folder(self._folder)
        return self._size_bytes

    def close(self) -> None:
        """Close the file."""
        self._file.close()

    def discard(self) -> None:
        """Remove the unfinished file; if that fails, the next rewrite removes it."""
        self.close()
        with suppress(DiskError):
            self._disk.remove(f"{self._folder}/{TEMPORARY_NAME}")

    def _append(self, data: bytes) -> None:
        self._file.append(data)
        self._size_bytes += len(data)
