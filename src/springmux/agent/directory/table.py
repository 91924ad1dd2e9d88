"""Table of directory entries with incremental bucket hashes, and the immutable view that it publishes."""

from __future__ import annotations

from collections.abc import Iterable
from types import MappingProxyType

import msgspec
import xxhash

from springmux.agent.directory.entry import DirectoryEntry, merge_entries
from springmux.agent.directory.settings import DirectorySettings
from springmux.vocabulary.engines import EngineLoad, EngineRecord, EngineStatus, EnginesView
from springmux.vocabulary.names import EngineId

BUCKETS = 256
"""Number of hash buckets: the hashes take 1 KB, and at 2,900 engines a bucket has about 11 entries (1 KB)."""
_HASH_BYTES = 4


def bucket_of(engine: EngineId) -> int:
    """Return the digest bucket of ``engine``."""
    return xxhash.xxh32_intdigest(engine.encode()) % BUCKETS


class DirectoryTable:
    """All entries that a node knows.

    Nodes expire the entries of engines that left or are lost at different times. Such entries aren't hashed,
    and a node that doesn't know the engine ignores them, so that expired entries don't return. Nodes
    ask each other about the lost ones (:meth:`lost_entries`), since they may have missed that one stops.
    """

    def __init__(self) -> None:
        self._entries: dict[EngineId, DirectoryEntry] = {}
        self._published_records: dict[EngineId, EngineRecord] = {}
        self._first_seen_at: dict[EngineId, float] = {}
        self._gone_at: dict[EngineId, float] = {}
        self._loads: dict[EngineId, EngineLoad] = {}
        self._hashes = [0] * BUCKETS
        self._hashes_on_wire = bytes(_HASH_BYTES * BUCKETS)
        self._root = xxhash.xxh64_intdigest(self._hashes_on_wire)
        self._hashes_changed = False
        self._engines_by_bucket: list[set[EngineId]] = [set() for _ in range(BUCKETS)]
        self._view: EnginesView | None = None
        self.entries_changed = False
        self.loads_changed = False

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, engine: EngineId) -> DirectoryEntry | None:
        """Return the entry of ``engine``, if known."""
        return self._entries.get(engine)

    def engine_ids(self) -> list[EngineId]:
        """Return all known engines, including those that left."""
        return list(self._entries)

    def merge(self, entry: DirectoryEntry, now: float) -> bool:
        """Merge ``entry`` into the table; return whether the table changed."""
        engine = entry.record.engine
        known = self._entries.get(engine)
        if known is None and entry.gone:
            return False
        newest = entry if known is None else merge_entries(known, entry)
        if newest == known:
            return False
        if known is None or known.record.incarnation != newest.record.incarnation:
            self._first_seen_at[engine] = now
            self._loads.pop(engine, None)
        self._put(engine, known, newest, now)
        return True

    def _put(self, engine: EngineId, known: DirectoryEntry | None, entry: DirectoryEntry, now: float) -> None:
        bucket = bucket_of(engine)
        self._hashes[bucket] ^= _entry_hash(known) ^ _entry_hash(entry)
        self._hashes_changed = True
        self._engines_by_bucket[bucket].add(engine)
        self._entries[engine] = entry
        self._published_records[engine] = entry.published()
        if not entry.gone:
            self._gone_at.pop(engine, None)
        elif known is None or (known.left, known.lost) != (entry.left, entry.lost):
            self._gone_at[engine] = now
        self.entries_changed = True

    def lost_entries(self) -> list[DirectoryEntry]:
        """Return the entries with status LOST, whose engines may still get requests as a last resort."""
        gone = (self._entries[engine] for engine in self._gone_at)
        return [entry for entry in gone if entry.status is EngineStatus.LOST]

    def put_load(self, load: EngineLoad) -> None:
        """Store the load that an engine reported; it isn't relayed to other nodes."""
        self._loads[load.engine] = load
        self.loads_changed = True

    def remove_expired(self, now: float, settings: DirectorySettings) -> list[EngineId]:
        """Remove engines that left or were lost longer ago than the settings allow; return them."""
        expired = [
            engine
            for engine, gone_at in self._gone_at.items()
            if now - gone_at >= _keep_s(self._entries[engine], settings)
        ]
        for engine in expired:
            for mapping in (
                self._entries,
                self._published_records,
                self._first_seen_at,
                self._gone_at,
                self._loads,
            ):
                mapping.pop(engine, None)
            self._engines_by_bucket[bucket_of(engine)].discard(engine)
            self.entries_changed = True
        return expired

    def root_hash(self) -> int:
        """Return the hash of all bucket hashes."""
        self._refresh_hashes()
        return self._root

    def bucket_hashes(self) -> bytes:
        """Return the concatenated bucket hashes in wire format."""
        self._refresh_hashes()
        return self._hashes_on_wire

    def _refresh_hashes(self) -> None:
        if not self._hashes_changed:
            return
        self._hashes_on_wire = b"".join(value.to_bytes(_HASH_BYTES, "big") for value in self._hashes)
        self._root = xxhash.xxh64_intdigest(self._hashes_on_wire)
        self._hashes_changed = False

    def differing_buckets(self, theirs: bytes) -> list[int]:
        """Return the buckets whose hashes differ from ``theirs``."""
        own = self.bucket_hashes()
        slices = (slice(i * _HASH_BYTES, (i + 1) * _HASH_BYTES) for i in range(BUCKETS))
        return [index for index, bucket in enumerate(slices) if own[bucket] != theirs[bucket]]

    def entries_in_buckets(self, buckets: Iterable[int]) -> list[DirectoryEntry]:
        """Return the entries of ``buckets``."""
        return [
            self._entries[engine]
            for bucket in buckets
            if 0 <= bucket < BUCKETS
            for engine in sorted(self._engines_by_bucket[bucket])
        ]

    def view(self) -> EnginesView:
        """Return the immutable view; the same object as long as nothing changed."""
        if self._view is None or self.entries_changed or self.loads_changed:
            self._view = EnginesView(
                engines=MappingProxyType(dict(self._published_records)),
                first_seen_at=MappingProxyType(dict(self._first_seen_at)),
                loads=MappingProxyType(dict(self._loads)),
            )
            self.entries_changed = self.loads_changed = False
        return self._view


def _keep_s(entry: DirectoryEntry, settings: DirectorySettings) -> float:
    return settings.forget_left_s if entry.left else settings.forget_lost_s


def _entry_hash(entry: DirectoryEntry | None) -> int:
    if entry is None or entry.gone:
        return 0
    return xxhash.xxh32_intdigest(msgspec.msgpack.encode(entry))
