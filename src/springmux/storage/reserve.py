"""Reserved disk space, so that a full disk can still store votes, terms and snapshots."""

from __future__ import annotations

from springmux.storage.disk import Disk, DiskFullError

DEFAULT_RESERVE_BYTES = 16 << 20
"""Room for two segments, or for a snapshot of some ten thousand tenants."""
RESERVE_NAME = "reserve"


class SpaceReserve:
    """A file that occupies space; removed when the log needs that space, recreated when there is room."""

    def __init__(self, disk: Disk, folder: str, size_bytes: int) -> None:
        self._disk = disk
        self._folder = folder
        self._path = f"{folder}/{RESERVE_NAME}"
        self._size_bytes = size_bytes
        self.is_allocated = False

    def allocate(self) -> None:
        """Allocate the reserve if a quarter more than its size is free.

        The margin prevents the reserve from being allocated and released again and again.
        """
        if self.is_allocated:
            return
        required_bytes = self._size_bytes + self._size_bytes // 4
        if self._disk.free_bytes(self._folder) < required_bytes:
            return
        try:
            self._disk.preallocate(self._path, self._size_bytes)
            self.is_allocated = True
        except DiskFullError:
            self.is_allocated = False

    def reallocate(self) -> None:
        """Allocate the reserve at start; the one from an earlier run may have another size."""
        self.release()
        self.allocate()

    def release(self) -> None:
        """Remove the reserve, so that the log can use its space."""
        self._disk.remove(self._path)
        self.is_allocated = False
