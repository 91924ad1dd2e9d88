"""Errors of the storage above the disk: corruption after which a replica must not continue."""

from __future__ import annotations

from springmux.vocabulary.errors import SpringmuxError


class StorageDamagedError(SpringmuxError):
    """Durable state is corrupt or missing. The replica stops and rejoins as a new one."""


class LogCorruptError(StorageDamagedError):
    """A file is corrupt in a way that a torn write can't explain. ``offset``: bytes from its beginning."""

    def __init__(self, file: str, offset: int, reason: str) -> None:
        super().__init__(f"{file} at byte {offset}: {reason}")
        self.file = file
        self.offset = offset
        self.reason = reason


class SnapshotMissingError(StorageDamagedError):
    """No intact snapshot reaches the beginning of the log, so entries are missing."""

    def __init__(self, folder: str, base_index: int) -> None:
        super().__init__(f"{folder}: the log begins after {base_index}, and no intact snapshot reaches it")
        self.folder = folder
        self.base_index = base_index


class FolderWipedError(StorageDamagedError):
    """The folder was in use before, but ``missing`` (such as its identity or log) no longer exists."""

    def __init__(self, folder: str, missing: str) -> None:
        super().__init__(f"{folder}: {missing} is missing from a folder that was in use")
        self.folder = folder
        self.missing = missing
