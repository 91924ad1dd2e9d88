"""The operating system's disk below one root folder."""

from __future__ import annotations

import errno
import fcntl
import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from springmux.storage.disk import (
    Disk,
    DiskFailedError,
    DiskFile,
    DiskFullError,
    FolderLock,
    FolderLockedError,
)

FULL_ERRORS = frozenset({errno.ENOSPC, errno.EDQUOT})
FILE_MODE = 0o600
FOLDER_MODE = 0o700


@contextmanager
def _translated_errors(path: str) -> Iterator[None]:
    """Translate the operating system's errors into those of :mod:`springmux.storage.disk`."""
    try:
        yield
    except OSError as error:
        reason = error.strerror or str(error)
        if error.errno in FULL_ERRORS:
            raise DiskFullError(path, reason) from error
        raise DiskFailedError(path, reason) from error


class RealFile(DiskFile):
    """A file descriptor open for appending."""

    def __init__(self, path: str, descriptor: int) -> None:
        self._path = path
        self._descriptor = descriptor

    def append(self, data: bytes) -> None:
        """Write all of ``data``, with more than one system call if necessary."""
        remaining = memoryview(data)
        with _translated_errors(self._path):
            while remaining:
                written = os.write(self._descriptor, remaining)
                remaining = remaining[written:]

    def truncate(self, size_bytes: int) -> None:
        """Truncate the file (``ftruncate``)."""
        with _translated_errors(self._path):
            os.ftruncate(self._descriptor, size_bytes)

    def fsync(self) -> None:
        """Flush content and size (``fdatasync`` covers both; modification times aren't needed)."""
        with _translated_errors(self._path):
            os.fdatasync(self._descriptor)

    def close(self) -> None:
        """Close the descriptor; further calls have no effect."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1


class RealLock(FolderLock):
    """An advisory ``flock``; the kernel releases it when the process ends, even after a crash."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor

    def release(self) -> None:
        """Close the descriptor, which releases the lock."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1


class RealDisk(Disk):
    """Files below ``root``."""

    def __init__(self, root: Path) -> None:
        self._root = root

    def _absolute(self, path: str) -> Path:
        return self._root / path

    def make_folder(self, path: str) -> None:
        """Create the folder and sync its parent, so that the name is durable."""
        target = self._absolute(path)
        with _translated_errors(path):
            target.mkdir(mode=FOLDER_MODE, parents=True, exist_ok=True)
            self._fsync_descriptor(target.parent)

    def list_folder(self, path: str) -> list[str]:
        """Return the names of the files, without subfolders."""
        with _translated_errors(path):
            return sorted(entry.name for entry in os.scandir(self._absolute(path)) if entry.is_file())

    def exists(self, path: str) -> bool:
        """Return whether the path names a file."""
        return self._absolute(path).is_file()

    def open(self, path: str) -> RealFile:
        """Open with ``O_APPEND``."""
        with _translated_errors(path):
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
            return RealFile(path, os.open(self._absolute(path), flags, FILE_MODE))

    def read(self, path: str) -> bytes:
        """Return the whole file."""
        with _translated_errors(path):
            return self._absolute(path).read_bytes()

    def rename(self, source: str, target: str) -> None:
        """Rename a file (``rename``, which replaces ``target``)."""
        with _translated_errors(source):
            os.replace(self._absolute(source), self._absolute(target))

    def remove(self, path: str) -> None:
        """Remove a file (``unlink``)."""
        with _translated_errors(path):
            self._absolute(path).unlink(missing_ok=True)

    def fsync_folder(self, path: str) -> None:
        """Sync the folder through a descriptor of the folder itself."""
        with _translated_errors(path):
            self._fsync_descriptor(self._absolute(path))

    def preallocate(self, path: str, size_bytes: int) -> None:
        """Allocate blocks with ``posix_fallocate``, so that they stay available if others fill the disk."""
        try:
            with _translated_errors(path):
                descriptor = os.open(self._absolute(path), os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
                try:
                    os.posix_fallocate(descriptor, 0, size_bytes)
                finally:
                    os.close(descriptor)
        except DiskFullError:
            self.remove(path)
            raise

    def free_bytes(self, path: str) -> int:
        """Return the space available to an unprivileged user."""
        with _translated_errors(path):
            stats = os.statvfs(self._absolute(path))
        return stats.f_bavail * stats.f_frsize

    def lock(self, path: str) -> RealLock:
        """Acquire an exclusive ``flock`` without waiting."""
        with _translated_errors(path):
            descriptor = os.open(self._absolute(path), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(descriptor)
            if error.errno in (errno.EAGAIN, errno.EACCES):
                raise FolderLockedError(path, "another process uses this data folder") from error
            raise DiskFailedError(path, error.strerror or str(error)) from error
        return RealLock(descriptor)

    @staticmethod
    def _fsync_descriptor(folder: Path) -> None:
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
