"""An append-only file of synced records; shared by the replica's log and the claim journal."""

from __future__ import annotations

from springmux.storage.disk import DiskFailedError, DiskFile, DiskFullError


class AppendedFile:
    """A file that is appended to; its first ``valid_bytes`` are known to be complete records."""

    def __init__(self, file: DiskFile, valid_bytes: int) -> None:
        self._file = file
        self.valid_bytes = valid_bytes

    def append(self, data: bytes) -> None:
        """Write and sync ``data``; on return it is durable.

        :raises DiskFullError: nothing of it counts; the file stays usable.
        :raises DiskFailedError: the file can't be written any more.
        """
        try:
            self._file.append(data)
        except DiskFullError:
            # A partly written record is removed, so that no record is ever written after it.
            self._file.truncate(self.valid_bytes)
            raise
        self.sync()
        self.valid_bytes += len(data)

    def truncate_tail(self) -> None:
        """Remove the rest of a torn write after the complete records.

        :raises DiskFailedError: the file can't be written any more.
        """
        self._file.truncate(self.valid_bytes)
        self.sync()

    def sync(self) -> None:
        """Sync the file. Any failure is final, even a full disk: which bytes were stored is unknown.

        :raises DiskFailedError: the file can't be written any more.
        """
        try:
            self._file.fsync()
        except DiskFullError as error:
            raise DiskFailedError(error.path, error.reason) from error

    def close(self) -> None:
        """Close the file."""
        self._file.close()
