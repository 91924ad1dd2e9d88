"""Back ends (engines and small services) as known to the fleet."""

from __future__ import annotations

import enum
from collections.abc import Mapping

import msgspec

from springmux.coordination.identifiers import Address, ZoneName
from springmux.vocabulary.names import EngineId, ServiceName, VersionName


class EngineStatus(enum.StrEnum):
    """Status of a back end, which decides about new requests.

    ``READY`` back ends get them. ``LOST`` ones, whose heartbeats stopped, get them only as a last resort.
    ``DRAINING`` ones, lost or not, and those that ``LEFT`` get none: both announced their end.
    """

    READY = "ready"
    DRAINING = "draining"
    LOST = "lost"
    LEFT = "left"


class EngineRecord(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """One back end. The newer of two records is the one with the higher ``(incarnation, sequence)``.

    The engine process chooses ``incarnation`` at its start, and ``sequence`` counts changes within an
    incarnation. ``capacity`` is the number of requests that the engine runs concurrently.
    """

    engine: EngineId
    service: ServiceName
    version: VersionName
    address: Address
    capacity: int
    incarnation: int
    sequence: int = 0
    status: EngineStatus = EngineStatus.READY
    zone: ZoneName = ZoneName("")

    @property
    def age_key(self) -> tuple[int, int]:
        """Sort key of the records of one engine; the newer record has the larger key."""
        return (self.incarnation, self.sequence)


class EngineLoad(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """Load reported by an engine; it may be seconds old, so it is only a hint."""

    engine: EngineId
    running: int
    queued: int
    cache_used: float = 0.0
    measured_at: float = 0.0


class EnginesView(msgspec.Struct, frozen=True):
    """Immutable snapshot of the directory of back ends.

    ``first_seen_at`` holds the local monotonic time at which each engine's present incarnation
    became known here, for slow start.
    """

    engines: Mapping[EngineId, EngineRecord]
    first_seen_at: Mapping[EngineId, float]
    loads: Mapping[EngineId, EngineLoad]

    def ready(self, service: ServiceName) -> list[EngineRecord]:
        """Return the ready back ends of ``service``, sorted by id."""
        found = (r for r in self.engines.values() if r.service == service and r.status is EngineStatus.READY)
        return sorted(found, key=lambda record: record.engine)
