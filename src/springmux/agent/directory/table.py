"""The table of entries with incremental bucket hashes, and the view over it."""

from __future__ import annotations

from collections.abc import Iterable
from types import MappingProxyType

import msgspec
import xxhash

from springmux.agent.directory.entry import DirectoryEntry, merged
from springmux.agent.directory.settings import DirectorySettings
from springmux.vocabulary.engines import EngineLoad, EngineRecord, EngineStatus, EnginesView
from springmux.vocabulary.names import EngineId

BUCKETS = 256
"""1 KB of bucket hashes; at 2,900 engines a bucket has about 11 entries (1 KB)."""
_HASH_BYTES = 4
GONE = (EngineStatus.LEFT, EngineStatus.LOST)


def bucket_of(engine: EngineId) -> int:
    """Return the digest bucket of ``engine``."""
    return xxhash.xxh32_intdigest(engine.encode()) % BUCKETS


class DirectoryTable:
    """All entries that a node knows.

    Those of engines that left or are lost aren't hashed and aren't merged where they are unknown: they
    expire at different times, and so die out.
    """

    def __init__(self) -> None:
        self._entries: dict[EngineId, DirectoryEntry] = {}
        self._published: dict[EngineId, EngineRecord] = {}
        self._first_seen_at: dict[EngineId, float] = {}
        self._gone_at: dict[EngineId, float] = {}
        self._loads: dict[EngineId, EngineLoad] = {}
        self._hashes = [0] * BUCKETS
        self._hashes_on_wire = bytes(_HASH_BYTES * BUCKETS)
        self._root = xxhash.xxh64_intdigest(self._hashes_on_wire)
        self._hashes_changed = False
        self._members: list[set[EngineId]] = [set() for _ in range(BUCKETS)]
        self._view: EnginesView | None = None
        self.entries_changed = False
        self.loads_changed = False

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, engine: EngineId) -> DirectoryEntry | None:
        """Return the entry of ``engine``, if known."""
        return self._entries.get(engine)

    def names(self) -> list[EngineId]:
        """Return all known engines, those that left too."""
        return list(self._entries)

    def merge(self, entry: DirectoryEntry, now: float) -> bool:
        """Merge ``entry`` in; return whether that changed the table."""
        engine = entry.record.engine
        known = self._entries.get(engine)
        if known is None and entry.status in GONE:
            return False
        newest = entry if known is None else merged(known, entry)
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
        self._members[bucket].add(engine)
        self._entries[engine] = entry
        self._published[engine] = entry.published()
        if entry.status not in GONE:
            self._gone_at.pop(engine, None)
        elif known is None or known.status is not entry.status:
            self._gone_at[engine] = now
        self.entries_changed = True

    def put_load(self, load: EngineLoad) -> None:
        """Store a load hint; it isn't relayed to other nodes."""
        self._loads[load.engine] = load
        self.loads_changed = True

    def forget_gone(self, now: float, settings: DirectorySettings) -> list[EngineId]:
        """Drop engines that left or are lost for long; return them."""
        keep_s = {EngineStatus.LEFT: settings.forget_left_s, EngineStatus.LOST: settings.forget_lost_s}
        old = [e for e, gone_at in self._gone_at.items() if now - gone_at >= keep_s[self._entries[e].status]]
        for engine in old:
            for mapping in (self._entries, self._published, self._first_seen_at, self._gone_at, self._loads):
                mapping.pop(engine, None)
            self._members[bucket_of(engine)].discard(engine)
            self.entries_changed = True
        return old

    def root(self) -> int:
        """Return the hash of the complete directory."""
        self._refresh_hashes()
        return self._root

    def hashes(self) -> bytes:
        """Return the bucket hashes."""
        self._refresh_hashes()
        return self._hashes_on_wire

    def _refresh_hashes(self) -> None:
        if not self._hashes_changed:
            return
        self._hashes_on_wire = b"".join(value.to_bytes(_HASH_BYTES, "big") for value in self._hashes)
        self._root = xxhash.xxh64_intdigest(self._hashes_on_wire)
        self._hashes_changed = False

    def differing(self, theirs: bytes) -> list[int]:
        """Return the buckets whose hashes differ from ``theirs``."""
        own = self.hashes()
        slices = (slice(i * _HASH_BYTES, (i + 1) * _HASH_BYTES) for i in range(BUCKETS))
        return [index for index, bucket in enumerate(slices) if own[bucket] != theirs[bucket]]

    def in_buckets(self, buckets: Iterable[int]) -> list[DirectoryEntry]:
        """Return the entries of ``buckets``."""
        return [
            self._entries[engine]
            for bucket in buckets
            if 0 <= bucket < BUCKETS
            for engine in sorted(self._members[bucket])
        ]

    def view(self) -> EnginesView:
        """Return the view; the same object while nothing changed."""
        if self._view is None or self.entries_changed or self.loads_changed:
            self._view = EnginesView(
                engines=MappingProxyType(dict(self._published)),
                first_seen_at=MappingProxyType(dict(self._first_seen_at)),
                loads=MappingProxyType(dict(self._loads)),
            )
            self.entries_changed = self.loads_changed = False
        return self._view


def _entry_hash(entry: DirectoryEntry | None) -> int:
    if entry is None or entry.status in GONE:
        return 0
    return xxhash.xxh32_intdigest(msgspec.msgpack.encode(entry))
