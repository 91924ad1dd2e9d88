"""History of submitted and acknowledged configuration versions; which may be in force at a time."""

from __future__ import annotations

import msgspec

from springmux.lab.soak.configurations import Version


class SentVersion(msgspec.Struct):
    """A version with the times (monotonic seconds) of its first submission and its acknowledgement.

    ``refused``: a node rejected it, for instance because it lost a race, so it is never in force.
    """

    version: Version
    sent_at: float
    acknowledged_at: float | None = None
    refused: bool = False


class ConfigurationHistory:
    """All submitted versions by number."""

    def __init__(self) -> None:
        self.sent: dict[int, SentVersion] = {}

    def record_sent(self, version: Version, now: float) -> SentVersion:
        """Record the first submission of a version."""
        return self.sent.setdefault(version.number, SentVersion(version, now))

    def newest_acknowledged_number(self, before: float) -> int:
        """Return the number of the newest version acknowledged by time ``before``; 0 if there is none."""
        newest = self.newest_acknowledged(before)
        return newest.number if newest is not None else 0

    def newest_acknowledged(self, before: float) -> Version | None:
        """Return the newest version acknowledged by time ``before``; ``None`` if there is none."""
        versions = [
            sent.version
            for sent in self.sent.values()
            if sent.acknowledged_at is not None and sent.acknowledged_at <= before
        ]
        return max(versions, key=lambda version: version.number, default=None)

    def acknowledged(self, number: int) -> SentVersion | None:
        """Return the version with a number; ``None`` if it was not acknowledged."""
        sent = self.sent.get(number)
        return sent if sent is not None and sent.acknowledged_at is not None else None

    def possibly_in_force(self, oldest: int, before: float) -> list[Version]:
        """Return the versions from number ``oldest`` on that may be in force at time ``before``."""
        return [
            sent.version
            for number, sent in sorted(self.sent.items())
            if number >= oldest and sent.sent_at <= before and not sent.refused
        ]
