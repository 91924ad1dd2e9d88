"""The disk interface that storage uses: append, fsync, atomic rename, free space. Calls block.

:class:`springmux.storage.real_disk.RealDisk` implements it with the operating system's files,
:class:`springmux.storage.memory_disk.MemoryDisk` in memory for simulation and tests. Paths are relative,
with ``/`` between parts. A file's bytes survive a power cut once ``fsync`` returned; its name survives
once ``fsync_folder`` of its folder returned.
"""

from __future__ import annotations

import abc

from springmux.vocabulary.errors import SpringmuxError


class DiskError(SpringmuxError):
    """Base of the disk's errors. ``path`` is the file or folder concerned."""

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class DiskFullError(DiskError):
    """No space is left. Nothing that was synced before is lost, and the call may be tried again later."""


class DiskFailedError(DiskError):
    """The disk failed. After a failed fsync it is unknown what was stored, so the call can't be retried.

    Source: Rebello et al., "Can Applications Recover from fsync Failures?", USENIX ATC 2020.
    """


class FolderLockedError(DiskError):
    """Another process holds the folder's lock."""


class DiskFile(abc.ABC):
    """A file open for appending."""

    @abc.abstractmethod
    def append(self, data: bytes) -> None:
        """Write ``data`` at the end.

        :raises DiskFullError: part of ``data`` may have been written; remove it with ``truncate``.
        :raises DiskFailedError: the disk failed.
        """

    @abc.abstractmethod
    def truncate(self, size_bytes: int) -> None:
        """Truncate the file to ``size_bytes``."""

    @abc.abstractmethod
    def fsync(self) -> None:
        """Return once everything written is durable.

        :raises DiskFullError: the file system allocated space only now and found none (delayed allocation).
        :raises DiskFailedError: the disk failed.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Close the file without syncing it."""


class FolderLock(abc.ABC):
    """An exclusive lock on a folder, held until it is released or the process ends."""

    @abc.abstractmethod
    def release(self) -> None:
        """Allow another process to lock the folder."""


class Disk(abc.ABC):
    """Storage for files. Every call may raise :class:`DiskFailedError`."""

    @abc.abstractmethod
    def make_folder(self, path: str) -> None:
        """Create a folder and its parents; an existing folder isn't an error."""

    @abc.abstractmethod
    def list_folder(self, path: str) -> list[str]:
        """Return the names of the files in a folder, sorted."""

    @abc.abstractmethod
    def exists(self, path: str) -> bool:
        """Return whether the path names an existing file."""

    @abc.abstractmethod
    def open(self, path: str) -> DiskFile:
        """Open a file for appending; create it if it doesn't exist."""

    @abc.abstractmethod
    def read(self, path: str) -> bytes:
        """Return a file's whole content."""

    @abc.abstractmethod
    def rename(self, source: str, target: str) -> None:
        """Rename a file atomically, replacing an existing ``target``."""

    @abc.abstractmethod
    def remove(self, path: str) -> None:
        """Remove a file; a missing file isn't an error."""

    @abc.abstractmethod
    def fsync_folder(self, path: str) -> None:
        """Return once the names created, changed and removed in the folder are durable."""

    @abc.abstractmethod
    def preallocate(self, path: str, size_bytes: int) -> None:
        """Create a file that occupies ``size_bytes``.

        :raises DiskFullError: there is not enough space; no file is left behind.
        """

    @abc.abstractmethod
    def free_bytes(self, path: str) -> int:
        """Return the free space in bytes for files in the folder."""

    @abc.abstractmethod
    def lock(self, path: str) -> FolderLock:
        """Acquire the lock file at ``path`` without waiting.

        :raises FolderLockedError: another process holds it.
        """


def write_atomically(disk: Disk, folder: str, name: str, data: bytes) -> None:
    """Create or replace ``folder/name``; after a crash either the old or the complete new file exists.

    :raises DiskFullError: there is not enough space; the old content stays.
    """
    temporary = f"{folder}/{name}.tmp"
    disk.remove(temporary)
    try:
        file = disk.open(temporary)
        try:
            file.append(data)
            file.fsync()
        finally:
            file.close()
    except DiskFullError:
        disk.remove(temporary)
        raise
    disk.rename(temporary, f"{folder}/{name}")
    disk.fsync_folder(folder)
