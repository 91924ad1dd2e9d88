"""A disk in memory that loses unsynced data at a power cut, for simulation and tests.

It tracks synced and unsynced bytes separately, and so names created or changed since their folder's last
sync, as a journaling file system does. Faults are set by attributes (``capacity_bytes``, ``failing``,
``calls_until_failure``, ``stall_s``) or injected by calls (``power_cut``, ``corrupt``, ``wipe``).
"""

from __future__ import annotations

import posixpath
import random

from springmux.storage.disk import (
    Disk,
    DiskFailedError,
    DiskFile,
    DiskFullError,
    FolderLock,
    FolderLockedError,
)


class _FileContent:
    """A file's bytes. ``before_truncation``: bytes that a power cut restores after an unsynced truncation."""

    def __init__(self) -> None:
        self.current = bytearray()
        self.synced_size = 0
        self.before_truncation: bytes | None = None
        self.reserved_bytes = 0

    def truncate(self, size_bytes: int) -> None:
        if size_bytes < self.synced_size:
            if self.before_truncation is None:
                self.before_truncation = bytes(self.current[: self.synced_size])
            self.synced_size = size_bytes
        del self.current[size_bytes:]

    def fsync(self) -> None:
        self.synced_size = len(self.current)
        self.before_truncation = None

    def lose_unsynced(self, rng: random.Random | None) -> None:
        if self.before_truncation is not None:
            self.current = bytearray(self.before_truncation)
        else:
            unsynced = len(self.current) - self.synced_size
            kept = rng.randint(0, unsynced) if rng else 0
            del self.current[self.synced_size + kept :]
        self.fsync()


_NameChange = tuple[tuple[str, _FileContent | None], ...]


class MemoryFile(DiskFile):
    """An open file of a :class:`MemoryDisk`; unusable after a power cut or the end of the process."""

    def __init__(self, disk: MemoryDisk, path: str, content: _FileContent) -> None:
        self._disk = disk
        self._path = path
        self._content = content
        self._boot_count = disk.boot_count

    def append(self, data: bytes) -> None:
        """Write as much as fits; the rest raises :class:`DiskFullError`, see :meth:`DiskFile.append`."""
        self._check()
        room = self._disk.free_bytes("")
        self._content.current += data[: max(0, room)]
        if len(data) > room:
            raise DiskFullError(self._path, "no space left on device")

    def truncate(self, size_bytes: int) -> None:
        """Truncate the current bytes; durable after the next fsync."""
        self._check()
        self._content.truncate(size_bytes)

    def fsync(self) -> None:
        """Make the current bytes durable; a stall is added to the disk's stalled time."""
        self._check()
        self._disk.record_sync()
        self._content.fsync()

    def close(self) -> None:
        """Do nothing, because there is no resource to release."""

    def _check(self) -> None:
        if self._boot_count != self._disk.boot_count:
            raise DiskFailedError(self._path, "file was open at a power cut or when the process ended")
        self._disk.raise_injected_failure(self._path)


class MemoryLock(FolderLock):
    """A held lock of a :class:`MemoryDisk`."""

    def __init__(self, locked: set[str], path: str) -> None:
        self._locked = locked
        self._path = path

    def release(self) -> None:
        """Allow another store to lock the folder."""
        self._locked.discard(self._path)


class MemoryDisk(Disk):
    """Files in memory.

    :param capacity_bytes: total space; may be changed at any time to fill the disk and to free it again.
    """

    def __init__(self, capacity_bytes: int = 1 << 40) -> None:
        self.capacity_bytes = capacity_bytes
        self.failing = False
        self.calls_until_failure: int | None = None
        self.stall_s = 0.0
        self.sync_count = 0
        self.boot_count = 0
        self._stalled_s = 0.0
        self._current: dict[str, _FileContent] = {}
        self._durable: dict[str, _FileContent] = {}
        self._journals: dict[str, list[_NameChange]] = {}
        self._locked: set[str] = set()

    def raise_injected_failure(self, path: str) -> None:
        """Raise the failure that is set on the disk, if any.

        :raises DiskFailedError: while ``failing`` is set, or after ``calls_until_failure`` calls.
        """
        if self.calls_until_failure is not None:
            self.calls_until_failure -= 1
            self.failing = self.failing or self.calls_until_failure < 0
        if self.failing:
            raise DiskFailedError(path, "input/output error")

    def record_sync(self) -> None:
        """Count one sync and add the stall set on the disk to the stalled time."""
        self.sync_count += 1
        self._stalled_s += self.stall_s

    def take_stalled_s(self) -> float:
        """Return the stalled time in seconds of the syncs since the last call, for the driver to simulate."""
        stalled_s, self._stalled_s = self._stalled_s, 0.0
        return stalled_s

    def power_cut(self, rng: random.Random | None = None) -> None:
        """Drop data and names that aren't durable; with ``rng``, a random prefix survives (torn writes)."""
        for folder, changes in self._journals.items():
            kept = rng.randint(0, len(changes)) if rng else 0
            self._apply_journal(changes[:kept])
            self._journals[folder] = []
        self._current = dict(self._durable)
        for content in self._current.values():
            content.lose_unsynced(rng)
        self.boot_count += 1
        self._locked = set()

    def process_killed(self) -> None:
        """End the process only: written bytes and names stay, but open files and locks are lost."""
        self.boot_count += 1
        self._locked = set()

    def corrupt(self, path: str, offset: int) -> None:
        """Flip the bits of one byte."""
        self._content(path).current[offset] ^= 0xFF

    def wipe(self) -> None:
        """Lose all files, as when the disk is replaced."""
        self._current, self._durable, self._journals = {}, {}, {}
        self._locked = set()
        self.boot_count += 1

    def make_folder(self, path: str) -> None:
        """Do nothing except for fault injection, because folders need no creation here."""
        self.raise_injected_failure(path)

    def list_folder(self, path: str) -> list[str]:
        """Return the sorted names of the files in the folder."""
        self.raise_injected_failure(path)
        return sorted(posixpath.basename(name) for name in self._current if posixpath.dirname(name) == path)

    def exists(self, path: str) -> bool:
        """Return whether the file exists."""
        self.raise_injected_failure(path)
        return path in self._current

    def open(self, path: str) -> MemoryFile:
        """Open for appending; a new name is durable after the folder's sync."""
        self.raise_injected_failure(path)
        content = self._current.get(path)
        if content is None:
            content = _FileContent()
            self._change_names(((path, content),))
        return MemoryFile(self, path, content)

    def read(self, path: str) -> bytes:
        """Return the file's current bytes, synced or not."""
        self.raise_injected_failure(path)
        return bytes(self._content(path).current)

    def rename(self, source: str, target: str) -> None:
        """Rename a file; removal of the old name and creation of the new one become durable together."""
        self.raise_injected_failure(source)
        self._change_names(((source, None), (target, self._content(source))))

    def remove(self, path: str) -> None:
        """Remove the file's name; durable after the folder's sync."""
        self.raise_injected_failure(path)
        if path in self._current:
            self._change_names(((path, None),))

    def fsync_folder(self, path: str) -> None:
        """Make the names of the folder's files durable."""
        self.raise_injected_failure(path)
        self.record_sync()
        self._apply_journal(self._journals.pop(path, []))

    def preallocate(self, path: str, size_bytes: int) -> None:
        """Count ``size_bytes`` as used by the file."""
        self.raise_injected_failure(path)
        if self.free_bytes("") < size_bytes:
            raise DiskFullError(path, "no space left on device")
        self.open(path)
        self._content(path).reserved_bytes = size_bytes

    def free_bytes(self, path: str) -> int:
        """Return the unused part of the capacity."""
        used = sum(len(content.current) + content.reserved_bytes for content in self._current.values())
        return max(0, self.capacity_bytes - used)

    def lock(self, path: str) -> MemoryLock:
        """Acquire the lock without waiting."""
        self.raise_injected_failure(path)
        if path in self._locked:
            raise FolderLockedError(path, "another process uses this data folder")
        self._locked.add(path)
        return MemoryLock(self._locked, path)

    def _content(self, path: str) -> _FileContent:
        if path not in self._current:
            raise DiskFailedError(path, "no such file")
        return self._current[path]

    def _change_names(self, change: _NameChange) -> None:
        folder = posixpath.dirname(change[0][0])
        self._journals.setdefault(folder, []).append(change)
        self._set_names(self._current, change)

    def _apply_journal(self, changes: list[_NameChange]) -> None:
        for change in changes:
            self._set_names(self._durable, change)

    @staticmethod
    def _set_names(names: dict[str, _FileContent], change: _NameChange) -> None:
        for path, content in change:
            if content is None:
                names.pop(path, None)
            else:
                names[path] = content
