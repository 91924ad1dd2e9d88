"""Disk space held back, so that a full disk still takes votes, terms and snapshots."""

from __future__ import annotations

from springmux.storage.disk import Disk, DiskFullError

DEFAULT_RESERVE_BYTES = 16 << 20
"""Room for two segments, or for a snapshot of some ten thousand tenants."""
RESERVE_NAME = "reserve"


class SpaceReserve:
    """A file that only takes room, given up when the log needs it and taken again when there is space."""

    def __init__(self, disk: Disk, folder: str, size_bytes: int) -> None:
        self._disk = disk
        self._folder = folder
        self._path = f"{folder}/{RESERVE_NAME}"
        self._size_bytes = size_bytes
        self.held = False

    def take(self) -> None:
        """Take the reserve if the disk has that much and a quarter more (so it doesn't flap)."""
        if self.held:
            return
        wanted = self._size_bytes + self._size_bytes // 4
        if self._disk.free_bytes(self._folder) < wanted:
            return
        try:
            self._disk.preallocate(self._path, self._size_bytes)
            self.held = True
        except DiskFullError:
            self.held = False

    def take_anew(self) -> None:
        """Take the reserve at start; one of an earlier run may be of another size."""
        self.give_up()
        self.take()

    def give_up(self) -> None:
        """Free the reserve for the log's needs."""
        self._disk.remove(self._path)
        self.held = False
