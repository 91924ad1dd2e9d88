"""Faults that experiments cause inside a node: peers cut off, a bad disk, a wall clock that jumps.

Only with the setting ``fault_injection``; :mod:`springmux.node.admin.fault_endpoint` sets them.
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
    """Faults in force in one node. ``disk_delay_s``: before each write, sync or rename.

    ``cut``: no message comes from or goes to a peer, in silence. ``disk_full``: no space beyond what
    removed files leave. ``clock_offset_s``: added to the process's wall clock.
    """

    cut: bool = False
    disk_delay_s: float = 0.0
    disk_full: bool = False
    clock_offset_s: float = 0.0


class FaultInjector:
    """Holds the faults in force; asked from the event loop and from the storage thread."""

    def __init__(self) -> None:
        self._faults = NodeFaults()
        self._changed = threading.Condition()
        self._room_bytes = 0
        self._real_time = time.time

    def cut(self) -> bool:
        """Whether the node is cut off from its peers."""
        return self._faults.cut

    def set(self, faults: NodeFaults) -> None:
        """Put ``faults`` in place of those in force; a stalled disk goes on at once when it is whole."""
        with self._changed:
            self._faults = faults
            self._room_bytes = 0
            self._changed.notify_all()
        real_time = self._real_time
        offset_s = faults.clock_offset_s
        # The whole process must see the jump, libraries too; the monotonic clock stays.
        time.time = lambda: real_time() + offset_s

    def disk(self, root: Path) -> Disk:
        """Return a disk below ``root`` with these faults."""
        return FaultyDisk(root, self)

    def wait_for_disk(self) -> None:
        """Wait as long as the disk is slow now (blocking)."""
        began = time.monotonic()
        with self._changed:
            while (rest_s := began + self._faults.disk_delay_s - time.monotonic()) > 0:
                self._changed.wait(rest_s)

    def take_room(self, path: str, size_bytes: int) -> None:
        """Use up room for ``size_bytes``.

        :raises DiskFullError: if the disk is full and removed files left less.
        """
        with self._changed:
            if not self._faults.disk_full:
                return
            if size_bytes > self._room_bytes:
                raise DiskFullError(path, "no space left on device (injected)")
            self._room_bytes -= size_bytes

    def leave_room(self, size_bytes: int) -> None:
        """Note that a removed file left room."""
        with self._changed:
            self._room_bytes += size_bytes

    def room_bytes(self, real_bytes: int) -> int:
        """Return the free space that the node may see."""
        with self._changed:
            return self._room_bytes if self._faults.disk_full else real_bytes


class FaultyFile(DiskFile):
    """A file on a disk with faults."""

    def __init__(self, path: str, file: DiskFile, injector: FaultInjector) -> None:
        self._path = path
        self._file = file
        self._injector = injector

    def append(self, data: bytes) -> None:
        """Write, if the disk lets one."""
        self._injector.wait_for_disk()
        self._injector.take_room(self._path, len(data))
        self._file.append(data)

    def truncate(self, size_bytes: int) -> None:
        """Cut the file."""
        self._injector.wait_for_disk()
        self._file.truncate(size_bytes)

    def fsync(self) -> None:
        """Sync, as slowly as the disk is."""
        self._injector.wait_for_disk()
        self._file.fsync()

    def close(self) -> None:
        """Release the file."""
        self._file.close()


class FaultyDisk(Disk):
    """The operating system's disk with the injector's faults before its writes."""

    def __init__(self, root: Path, injector: FaultInjector) -> None:
        self._root = root
        self._disk = RealDisk(root)
        self._injector = injector

    def make_folder(self, path: str) -> None:
        """Make a folder."""
        self._slowly(lambda: self._disk.make_folder(path))

    def list_folder(self, path: str) -> list[str]:
        """Return the names of files."""
        return self._disk.list_folder(path)

    def exists(self, path: str) -> bool:
        """Say whether there is such a file."""
        return self._disk.exists(path)

    def open(self, path: str) -> DiskFile:
        """Open for appending."""
        return FaultyFile(path, self._disk.open(path), self._injector)

    def read(self, path: str) -> bytes:
        """Return the whole file."""
        return self._disk.read(path)

    def rename(self, source: str, target: str) -> None:
        """Give a file another name."""
        self._slowly(lambda: self._disk.rename(source, target))

    def remove(self, path: str) -> None:
        """Remove a file; its bytes are room again."""
        full = self._root / path
        size_bytes = full.stat().st_size if full.is_file() else 0
        self._slowly(lambda: self._disk.remove(path))
        self._injector.leave_room(size_bytes)

    def fsync_folder(self, path: str) -> None:
        """Sync names."""
        self._slowly(lambda: self._disk.fsync_folder(path))

    def preallocate(self, path: str, size_bytes: int) -> None:
        """Take room ahead."""
        self._injector.wait_for_disk()
        self._injector.take_room(path, size_bytes)
        self._disk.preallocate(path, size_bytes)

    def free_bytes(self, path: str) -> int:
        """Return the space left."""
        return self._injector.room_bytes(self._disk.free_bytes(path))

    def lock(self, path: str) -> FolderLock:
        """Take the lock file."""
        return self._disk.lock(path)

    def _slowly(self, call: Callable[[], None]) -> None:
        self._injector.wait_for_disk()
        call()
