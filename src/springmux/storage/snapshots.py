"""Snapshots of the state machine on disk: written atomically, checksummed, with the newest two kept."""

from __future__ import annotations

import re
import struct

import msgspec
import xxhash

from springmux.coordination.consensus.types import SnapshotMeta
from springmux.storage.disk import Disk, write_atomically

MAX_SNAPSHOTS = 2
"""Number of snapshots kept: the newest, and an older one in case the newest is corrupt."""
_MAGIC = b"SMSNAP01"
_HEADER = struct.Struct("<8sQI")
_NAME = re.compile(r"snapshot-(\d{20})\.snapshot")
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(SnapshotMeta)


class StoredSnapshot(msgspec.Struct, frozen=True):
    """An intact snapshot read back from disk."""

    meta: SnapshotMeta
    data: bytes


class SnapshotStore:
    """The snapshots in one folder."""

    def __init__(self, disk: Disk, folder: str) -> None:
        self._disk = disk
        self._folder = folder
        self.damaged: list[str] = []
        """Names of corrupt files, which were renamed with the suffix ``.damaged``."""

    def save(self, meta: SnapshotMeta, data: bytes) -> SnapshotMeta:
        """Store a snapshot durably, then remove all but the newest two.

        :raises DiskFullError: nothing changed.
        """
        stored = msgspec.structs.replace(meta, size_bytes=len(data))
        encoded_meta = _encoder.encode(stored)
        header = _HEADER.pack(_MAGIC, _checksum(encoded_meta, data), len(encoded_meta))
        name = f"snapshot-{meta.index:020d}.snapshot"
        write_atomically(self._disk, self._folder, name, header + encoded_meta + data)
        self._remove_old_snapshots()
        return stored

    def load(self) -> list[StoredSnapshot]:
        """Return the intact snapshots, newest first; corrupt ones are set aside and listed in ``damaged``."""
        intact = []
        for name in reversed(self._names()):
            snapshot = self._read(name)
            if snapshot is None:
                self._set_aside(name)
            else:
                intact.append(snapshot)
        return intact

    def oldest_index(self) -> int | None:
        """Return the index of the oldest kept snapshot, or ``None`` if there is no snapshot."""
        names = self._names()
        return int(names[0][9:29]) if names else None

    def _names(self) -> list[str]:
        return [name for name in self._disk.list_folder(self._folder) if _NAME.fullmatch(name)]

    def _read(self, name: str) -> StoredSnapshot | None:
        content = self._disk.read(f"{self._folder}/{name}")
        if len(content) < _HEADER.size:
            return None
        magic, checksum, meta_bytes = _HEADER.unpack_from(content)
        data_offset = _HEADER.size + meta_bytes
        encoded_meta = content[_HEADER.size : data_offset]
        data = content[data_offset:]
        if magic != _MAGIC or _checksum(encoded_meta, data) != checksum:
            return None
        try:
            return StoredSnapshot(_decoder.decode(encoded_meta), data)
        except msgspec.DecodeError:
            return None

    def _set_aside(self, name: str) -> None:
        self.damaged.append(name)
        self._disk.rename(f"{self._folder}/{name}", f"{self._folder}/{name}.damaged")
        self._disk.fsync_folder(self._folder)

    def _remove_old_snapshots(self) -> None:
        for name in self._names()[:-MAX_SNAPSHOTS]:
            self._disk.remove(f"{self._folder}/{name}")
        self._disk.fsync_folder(self._folder)


def _checksum(encoded_meta: bytes, data: bytes) -> int:
    digest = xxhash.xxh3_64(encoded_meta)
    digest.update(data)
    return digest.intdigest()
