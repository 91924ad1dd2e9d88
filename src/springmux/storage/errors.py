"""Errors of the storage above the disk: damage that a replica must not go on with."""

from __future__ import annotations

from springmux.vocabulary.errors import SpringmuxError


class StorageDamagedError(SpringmuxError):
    """What was durable is damaged or gone. The replica stops, and rejoins as a new one."""


class LogCorruptError(StorageDamagedError):
    """A segment holds damage that no torn write explains. ``offset`` is in bytes from its beginning."""

    def __init__(self, file: str, offset: int, reason: str) -> None:
        super().__init__(f"{file} at byte {offset}: {reason}")
        self.file = file
        self.offset = offset
        self.reason = reason


class SnapshotMissingError(StorageDamagedError):
    """No sound snapshot reaches the log's beginning."""


class FolderWipedError(StorageDamagedError):
    """The folder was in use before, but its identity or log is gone."""
