"""Faults that experiments inject into a node: a network partition, a faulty disk, a wall clock that jumps.

They are available only with the setting ``fault_injection``, and set by
:mod:`springmux.node.admin.fault_endpoint`.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from springmux.storage.disk import Disk, DiskFile, DiskFullError, FolderLock
from springmux.storage.real_disk import RealDisk


class NodeFaults(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Active faults of one node.

    ``cut``: whether messages from and to peers are dropped silently. ``disk_delay_s``: delay of each write,
    sync and rename. ``disk_full``: whether writes have only the space that removed files free.
    ``clock_offset_s``: offset added to the process's wall clock.
    """

    cut: bool = False
    disk_delay_s: float = 0.0
    disk_full: bool = False
    clock_offset_s: float = 0.0


class FaultInjector:
    """Holds the active faults. The event loop and the storage thread read them."""

    def __init__(self) -> None:
        self._faults = NodeFaults()
        self._changed = threading.Condition()
        self._space_bytes = 0
        self._real_time = time.time

    def partitioned(self) -> bool:
        """Return whether messages from and to peers are to be dropped."""
        return self._faults.cut

    def set(self, faults: NodeFaults) -> None:
        """Replace the active faults. Waiting disk operations continue as soon as their delay is removed."""
        with self._changed:
            self._faults = faults
            self._space_bytes = 0
            self._changed.notify_all()
        real_time = self._real_time
        offset_s = faults.clock_offset_s
        # The offset must affect the whole process, libraries included; the monotonic clock is unchanged.
        time.time = lambda: real_time() + offset_s

    def disk(self, root: Path) -> Disk:
        """Return a disk below ``root`` that is subject to the active faults."""
        return FaultyDisk(root, self)

    def wait_for_disk(self) -> None:
        """Block for the disk delay that is active."""
        began_at = time.monotonic()
        with self._changed:
            while (remaining_s := began_at + self._faults.disk_delay_s - time.monotonic()) > 0:
                self._changed.wait(remaining_s)

    def use_space(self, path: str, size_bytes: int) -> None:
        """Reserve ``size_bytes`` of disk space.

        :raises DiskFullError: if the disk is full and removed files have freed less.
        """
        with self._changed:
            if not self._faults.disk_full:
                return
            if size_bytes > self._space_bytes:
                raise DiskFullError(path, "no space left on device (injected)")
            self._space_bytes -= size_bytes

    def free_space(self, size_bytes: int) -> None:
        """Add the space that a removed file freed."""
        with self._changed:
            self._space_bytes += size_bytes

    def space_bytes(self, real_bytes: int) -> int:
        """Return the free space to report to the node, given ``real_bytes`` on the real disk."""
        with self._changed:
            return self._space_bytes if self._faults.disk_full else real_bytes


class FaultyFile(DiskFile):
    """A file of a :class:`FaultyDisk`."""

    def __init__(self, path: str, file: DiskFile, injector: FaultInjector) -> None:
        self._path = path
        self._file = file
        self._injector = injector

    def append(self, data: bytes) -> None:
        """Append after the disk's delay.

        :raises DiskFullError: if the disk is full.
        """
        self._injector.wait_for_disk()
        self._injector.use_space(self._path, len(data))
        self._file.append(data)

    def truncate(self, size_bytes: int) -> None:
        """Truncate the file after the disk's delay."""
        self._injector.wait_for_disk()
        self._file.truncate(size_bytes)

    def fsync(self) -> None:
        """Sync the file after the disk's delay."""
        self._injector.wait_for_disk()
        self._file.fsync()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class FaultyDisk(Disk):
    """The operating system's disk, with the injector's faults applied before each write."""

    def __init__(self, root: Path, injector: FaultInjector) -> None:
        self._root = root
        self._disk = RealDisk(root)
        self._injector = injector

    def make_folder(self, path: str) -> None:
        """Make a folder after the disk's delay."""
        self._after_delay(lambda: self._disk.make_folder(path))

    def list_folder(self, path: str) -> list[str]:
        """Return the names of the folder's files."""
        return self._disk.list_folder(path)

    def exists(self, path: str) -> bool:
        """Return whether the file exists."""
        return self._disk.exists(path)

    def open(self, path: str) -> DiskFile:
        """Open a file for appending."""
        return FaultyFile(path, self._disk.open(path), self._injector)

    def read(self, path: str) -> bytes:
        """Return the file's content."""
        return self._disk.read(path)

    def rename(self, source: str, target: str) -> None:
        """Rename a file after the disk's delay."""
        self._after_delay(lambda: self._disk.rename(source, target))

    def remove(self, path: str) -> None:
        """Remove a file and free its space."""
        full = self._root / path
        size_bytes = full.stat().st_size if full.is_file() else 0
        self._after_delay(lambda: self._disk.remove(path))
        self._injector.free_space(size_bytes)

    def fsync_folder(self, path: str) -> None:
        """Sync a folder after the disk's delay."""
        self._after_delay(lambda: self._disk.fsync_folder(path))

    def preallocate(self, path: str, size_bytes: int) -> None:
        """Reserve space for a file.

        :raises DiskFullError: if the disk is full.
        """
        self._injector.wait_for_disk()
        self._injector.use_space(path, size_bytes)
        self._disk.preallocate(path, size_bytes)

    def free_bytes(self, path: str) -> int:
        """Return the free space in bytes."""
        return self._injector.space_bytes(self._disk.free_bytes(path))

    def lock(self, path: str) -> FolderLock:
        """Lock the folder by its lock file."""
        return self._disk.lock(path)

    def _after_delay(self, call: Callable[[], None]) -> None:
        self._injector.wait_for_disk()
        call()
