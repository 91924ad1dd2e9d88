"""A disk in memory that forgets what was not synced, for simulation and tests.

It keeps synced and unsynced bytes apart, and names made or changed since their folder's last sync,
as a journalling file system does. Faults are set on the object: ``capacity_bytes``, ``failing``,
``calls_until_failure``, ``stall_s``; and done by calls: ``power_cut``, ``corrupt``, ``wipe``.
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


class _Content:
    """A file's bytes. ``before_truncation`` is what a power cut brings back after an unsynced truncation."""

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


_NameChange = tuple[tuple[str, _Content | None], ...]


class MemoryFile(DiskFile):
    """An open file of a :class:`MemoryDisk`; dead after a power cut."""

    def __init__(self, disk: MemoryDisk, path: str, content: _Content) -> None:
        self._disk = disk
        self._path = path
        self._content = content
        self._boot_count = disk.boot_count

    def append(self, data: bytes) -> None:
        """Write as much as fits; see :meth:`Disk.open`."""
        self._check()
        room = self._disk.free_bytes("")
        self._content.current += data[: max(0, room)]
        if len(data) > room:
            raise DiskFullError(self._path, "no space left on device")

    def truncate(self, size_bytes: int) -> None:
        """Cut the live bytes; durable after the next fsync."""
        self._check()
        self._content.truncate(size_bytes)

    def fsync(self) -> None:
        """Make the live bytes durable; a stall is added to the disk's waiting time."""
        self._check()
        self._disk.record_sync()
        self._content.fsync()

    def close(self) -> None:
        """Do nothing: there is nothing to release."""

    def _check(self) -> None:
        if self._boot_count != self._disk.boot_count:
            raise DiskFailedError(self._path, "file was open when the power went")
        self._disk.check(self._path)


class MemoryLock(FolderLock):
    """A held lock of a :class:`MemoryDisk`."""

    def __init__(self, locked: set[str], path: str) -> None:
        self._locked = locked
        self._path = path

    def release(self) -> None:
        """Let another store in."""
        self._locked.discard(self._path)


class MemoryDisk(Disk):
    """Files in memory.

    :param capacity_bytes: space in all; may be changed at any time (full, and roomy again).
    """

    def __init__(self, capacity_bytes: int = 1 << 40) -> None:
        self.capacity_bytes = capacity_bytes
        self.failing = False
        self.calls_until_failure: int | None = None
        self.stall_s = 0.0
        self.sync_count = 0
        self.boot_count = 0
        self._stalled_s = 0.0
        self._current: dict[str, _Content] = {}
        self._durable: dict[str, _Content] = {}
        self._journals: dict[str, list[_NameChange]] = {}
        self._locked: set[str] = set()

    def check(self, path: str) -> None:
        """Raise the failure that the disk is set to.

        :raises DiskFailedError: while ``failing`` is set, or after ``calls_until_failure`` calls.
        """
        if self.calls_until_failure is not None:
            self.calls_until_failure -= 1
            self.failing = self.failing or self.calls_until_failure < 0
        if self.failing:
            raise DiskFailedError(path, "input/output error")

    def record_sync(self) -> None:
        """Count one sync and the time it would take."""
        self.sync_count += 1
        self._stalled_s += self.stall_s

    def take_stalled_s(self) -> float:
        """Return the time that syncs since the last call would have taken, for the driver to spend."""
        stalled_s, self._stalled_s = self._stalled_s, 0.0
        return stalled_s

    def power_cut(self, rng: random.Random | None = None) -> None:
        """Drop what isn't durable. With ``rng``, a random prefix of it survives (torn writes)."""
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
        """End the process only: written bytes and names stay, open files and locks go."""
        self.boot_count += 1
        self._locked = set()

    def corrupt(self, path: str, offset: int) -> None:
        """Flip the bits of one byte."""
        self._content(path).current[offset] ^= 0xFF

    def wipe(self) -> None:
        """Lose everything, as a swapped disk does."""
        self._current, self._durable, self._journals = {}, {}, {}
        self._locked = set()
        self.boot_count += 1

    def make_folder(self, path: str) -> None:
        """Do nothing: folders need no creation here."""
        self.check(path)

    def list_folder(self, path: str) -> list[str]:
        """Return names in the folder."""
        self.check(path)
        return sorted(posixpath.basename(name) for name in self._current if posixpath.dirname(name) == path)

    def exists(self, path: str) -> bool:
        """Return whether the file is there."""
        self.check(path)
        return path in self._current

    def open(self, path: str) -> MemoryFile:
        """Open for appending; a new name is durable after the folder's sync."""
        self.check(path)
        content = self._current.get(path)
        if content is None:
            content = _Content()
            self._change(((path, content),))
        return MemoryFile(self, path, content)

    def read(self, path: str) -> bytes:
        """Return live bytes."""
        self.check(path)
        return bytes(self._content(path).current)

    def rename(self, source: str, target: str) -> None:
        """Move the name; both halves last or are lost together."""
        self.check(source)
        self._change(((source, None), (target, self._content(source))))

    def remove(self, path: str) -> None:
        """Remove the name."""
        self.check(path)
        if path in self._current:
            self._change(((path, None),))

    def fsync_folder(self, path: str) -> None:
        """Make the folder's names durable."""
        self.check(path)
        self.record_sync()
        self._apply_journal(self._journals.pop(path, []))

    def preallocate(self, path: str, size_bytes: int) -> None:
        """Count ``size_bytes`` as taken."""
        self.check(path)
        if self.free_bytes("") < size_bytes:
            raise DiskFullError(path, "no space left on device")
        self.open(path)
        self._content(path).reserved_bytes = size_bytes

    def free_bytes(self, path: str) -> int:
        """Return what is left of the capacity."""
        used = sum(len(content.current) + content.reserved_bytes for content in self._current.values())
        return max(0, self.capacity_bytes - used)

    def lock(self, path: str) -> MemoryLock:
        """Take the lock."""
        self.check(path)
        if path in self._locked:
            raise FolderLockedError(path, "another process uses this data folder")
        self._locked.add(path)
        return MemoryLock(self._locked, path)

    def _content(self, path: str) -> _Content:
        if path not in self._current:
            raise DiskFailedError(path, "no such file")
        return self._current[path]

    def _change(self, change: _NameChange) -> None:
        folder = posixpath.dirname(change[0][0])
        self._journals.setdefault(folder, []).append(change)
        self._set_names(self._current, change)

    def _apply_journal(self, changes: list[_NameChange]) -> None:
        for change in changes:
            self._set_names(self._durable, change)

    @staticmethod
    def _set_names(names: dict[str, _Content], change: _NameChange) -> None:
        for path, content in change:
            if content is None:
                names.pop(path, None)
            else:
                names[path] = content
