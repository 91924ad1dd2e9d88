"""What storage needs of a disk: append, fsync, atomic rename, free space. Blocking calls.

:class:`springmux.storage.real_disk.RealDisk` is the operating system's;
:class:`springmux.storage.memory_disk.MemoryDisk` is for simulation and tests. Paths are relative,
with ``/`` between parts. A file's bytes survive a power cut once ``fsync`` returned; its name, once
``fsync_folder`` of its folder returned.
"""

from __future__ import annotations

import abc

from springmux.vocabulary.errors import SpringmuxError


class DiskError(SpringmuxError):
    """Root of the disk's errors. ``path`` names the file or folder."""

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class DiskFullError(DiskError):
    """No space is left. Nothing that was synced before is lost, and the call may be tried again later."""


class DiskFailedError(DiskError):
    """The disk failed. After a failed fsync it's unknown what was kept, so the call can't be tried again.

    Source: Rebello et al., "Can Applications Recover from fsync Failures?", USENIX ATC 2020.
    """


class FolderLockedError(DiskError):
    """Another process works in the folder."""


class DiskFile(abc.ABC):
    """A file open for appending."""

    @abc.abstractmethod
    def append(self, data: bytes) -> None:
        """Write ``data`` at the end.

        :raises DiskFullError: part of ``data`` may have been written; cut it off with ``truncate``.
        :raises DiskFailedError: the disk failed.
        """

    @abc.abstractmethod
    def truncate(self, size_bytes: int) -> None:
        """Cut the file down to ``size_bytes``."""

    @abc.abstractmethod
    def fsync(self) -> None:
        """Return once everything written is durable.

        :raises DiskFullError: the file system found no space only now (delayed allocation).
        :raises DiskFailedError: the disk failed.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Release the file; syncs nothing."""


class FolderLock(abc.ABC):
    """An exclusive hold on a folder, until released or the process ends."""

    @abc.abstractmethod
    def release(self) -> None:
        """Let another process in."""


class Disk(abc.ABC):
    """A place for files. Every call may raise :class:`DiskFailedError`."""

    @abc.abstractmethod
    def make_folder(self, path: str) -> None:
        """Make a folder, and those above it; an existing one is no error."""

    @abc.abstractmethod
    def list_folder(self, path: str) -> list[str]:
        """Return the names of the files in a folder, sorted."""

    @abc.abstractmethod
    def exists(self, path: str) -> bool:
        """Return whether there is a file of that name."""

    @abc.abstractmethod
    def open(self, path: str) -> DiskFile:
        """Open a file for appending; make it if it isn't there."""

    @abc.abstractmethod
    def read(self, path: str) -> bytes:
        """Return a file's whole content."""

    @abc.abstractmethod
    def rename(self, source: str, target: str) -> None:
        """Give a file another name, replacing what had that name; atomic."""

    @abc.abstractmethod
    def remove(self, path: str) -> None:
        """Remove a file; a missing one is no error."""

    @abc.abstractmethod
    def fsync_folder(self, path: str) -> None:
        """Return once names made, changed and removed in the folder are durable."""

    @abc.abstractmethod
    def preallocate(self, path: str, size_bytes: int) -> None:
        """Make a file that occupies ``size_bytes``.

        :raises DiskFullError: there is no room; the file isn't left behind.
        """

    @abc.abstractmethod
    def free_bytes(self, path: str) -> int:
        """Return the space left for files in the folder."""

    @abc.abstractmethod
    def lock(self, path: str) -> FolderLock:
        """Take the lock file at ``path``.

        :raises FolderLockedError: another process has it.
        """


def write_atomically(disk: Disk, folder: str, name: str, data: bytes) -> None:
    """Make or replace ``folder/name`` so that after a crash either the old or the whole new is there.

    :raises DiskFullError: there is no room; the old content stays.
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
