"""Builders for storage tests."""

from __future__ import annotations

import random

from springmux.coordination.consensus.effects import Persist
from springmux.coordination.consensus.types import (
    Entry,
    EntryKind,
    GroupMember,
    GroupMembers,
    HardState,
    SnapshotMeta,
)
from springmux.coordination.identifiers import LogIndex, NodeId, ReplicaId, Term
from springmux.storage.memory_disk import MemoryDisk
from springmux.storage.replica_store import ReplicaStore

FOLDER = "data"
MEMBERS = GroupMembers((GroupMember(ReplicaId("r1"), NodeId("n1"), True),))
SMALL_SEGMENT_BYTES = 600
RESERVE_BYTES = 4096


def store_on(disk: MemoryDisk, seed: int = 7, first_start: bool = False) -> ReplicaStore:
    return ReplicaStore(
        disk,
        FOLDER,
        random.Random(seed),
        segment_bytes=SMALL_SEGMENT_BYTES,
        reserve_bytes=RESERVE_BYTES,
        first_start=first_start,
    )


def entry(index: int, term: int = 1, data: bytes = b"x" * 40, kind: EntryKind = EntryKind.COMMAND) -> Entry:
    return Entry(LogIndex(index), Term(term), kind, data)


def batch_with(*entries: Entry, truncate_from: int | None = None, term: int | None = None) -> Persist:
    hard_state = HardState(Term(term), ReplicaId("r1")) if term is not None else None
    first = LogIndex(truncate_from) if truncate_from is not None else None
    return Persist(1, hard_state=hard_state, truncate_from=first, entries=entries)


def meta(index: int, term: int = 1) -> SnapshotMeta:
    return SnapshotMeta(LogIndex(index), Term(term), MEMBERS)
