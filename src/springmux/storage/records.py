"""Framing of append-only files: one checksummed record per batch, so that a batch is complete or absent."""

from __future__ import annotations

import enum
import struct
import zlib
from collections.abc import Iterator

import msgspec

from springmux.coordination.consensus.types import Entry, GroupMembers, HardState
from springmux.coordination.identifiers import GroupId, LogIndex, ReplicaId

MAGIC = b"\xc5SM1"
"""First bytes of each record, by which a reader finds records after a corrupt one."""
_HEADER = struct.Struct("<4sBII")
HEADER_BYTES = _HEADER.size
MAX_PAYLOAD_BYTES = 1 << 30
"""A greater length is corruption, not a batch: commands are limited to a few MiB."""


class RecordType(enum.IntEnum):
    """What a record holds."""

    SEGMENT_START = 1
    BATCH = 2
    CLAIMS_START = 3
    """First record of a claim journal (:mod:`springmux.storage.claim_journal_file`)."""
    CLAIM_ENTRIES = 4
    CLAIMS_SEAL = 5
    PEERS = 6
    """The only record of a list of peers (:mod:`springmux.storage.peer_list`)."""


class SegmentStart(msgspec.Struct, frozen=True, array_like=True):
    """First record of a segment: all state that is needed if the earlier segments are removed.

    ``replaces_log``: entries of earlier segments are void; the log begins after ``base_index``.
    """

    number: int
    replica: ReplicaId
    hard_state: HardState
    group: GroupId | None
    founding_members: GroupMembers | None
    base_index: LogIndex
    replaces_log: bool


class BatchRecord(msgspec.Struct, frozen=True, array_like=True):
    """One batch: hard state, truncation and entries, as in ``Persist``."""

    hard_state: HardState | None
    truncate_from: LogIndex | None
    entries: tuple[Entry, ...]
    group: GroupId | None = None
    founding_members: GroupMembers | None = None
    committed: LogIndex = LogIndex(0)


class RawRecord(msgspec.Struct, frozen=True):
    """A record with a correct checksum. ``end`` is the offset after it."""

    type: RecordType
    payload: bytes
    offset: int
    end: int


_encoder = msgspec.msgpack.Encoder()
_start_decoder = msgspec.msgpack.Decoder(SegmentStart)
_batch_decoder = msgspec.msgpack.Decoder(BatchRecord)


def encode_start(start: SegmentStart) -> bytes:
    """Return the encoded start record of a segment."""
    return encode_record(RecordType.SEGMENT_START, _encoder.encode(start))


def encode_batch(batch: BatchRecord) -> bytes:
    """Return the encoded record of a batch."""
    return encode_record(RecordType.BATCH, _encoder.encode(batch))


def decode_start(payload: bytes) -> SegmentStart:
    """Return the segment start in ``payload``.

    :raises msgspec.DecodeError: if it holds something else.
    """
    return _start_decoder.decode(payload)


def decode_batch(payload: bytes) -> BatchRecord:
    """Return the batch in ``payload``.

    :raises msgspec.DecodeError: if it holds something else.
    """
    return _batch_decoder.decode(payload)


def read_records(data: bytes) -> Iterator[RawRecord]:
    """Yield records from the file's beginning up to the first offset without a complete record."""
    offset = 0
    record = record_at(data, offset)
    while record is not None:
        yield record
        record = record_at(data, record.end)


def record_at(data: bytes, offset: int) -> RawRecord | None:
    """Return the record at ``offset``, or ``None`` if it is incomplete or its checksum is wrong."""
    body = offset + HEADER_BYTES
    if body > len(data):
        return None
    magic, kind, length, checksum = _HEADER.unpack_from(data, offset)
    if magic != MAGIC or length > MAX_PAYLOAD_BYTES or body + length > len(data):
        return None
    payload = data[body : body + length]
    if _checksum(kind, payload) != checksum or kind not in RecordType.__members__.values():
        return None
    return RawRecord(RecordType(kind), payload, offset, body + length)


def has_record_after(data: bytes, offset: int) -> bool:
    """Return whether there is a complete record anywhere after ``offset``.

    A batch is written only after the previous one was synced. A record after unreadable bytes thus proves
    that those bytes had been synced, so they are corrupt and not a torn write.
    """
    found = data.find(MAGIC, offset + 1)
    while found >= 0:
        if record_at(data, found) is not None:
            return True
        found = data.find(MAGIC, found + 1)
    return False


def encode_record(kind: RecordType, payload: bytes) -> bytes:
    """Return a record with header and checksum around ``payload``."""
    return _HEADER.pack(MAGIC, kind, len(payload), _checksum(kind, payload)) + payload


def _checksum(kind: int, payload: bytes) -> int:
    return zlib.crc32(payload, zlib.crc32(kind.to_bytes(1, "little")))
