"""Entry of one back end: its counters only increase, so that any two replicas merge into the newest state.

The entry of one incarnation is a join-semilattice (Shapiro et al. 2011, conflict-free replicated data
types): each component has its own order, and a merge takes the larger of each. Each component is
changed by these parties only:

* ``record`` (version, capacity, address): by the engine, which increases its ``sequence``.
* ``intent``: even while serving, odd while draining. Increased by the engine's drain, announcement or
  heartbeat.
* ``health``: even while alive, odd while lost. Owner nodes increase the value that they know by one: two
  owners that observe the same change write the same number, and a further change by either is newer.
* ``left``: set when the engine leaves; final for the incarnation.
"""

from __future__ import annotations

import msgspec

from springmux.coordination.identifiers import Address
from springmux.vocabulary.engines import EngineRecord, EngineStatus
from springmux.vocabulary.names import EngineId, ServiceName, VersionName

_OLDEST_SEQUENCE = -1
"""Lower than the sequence of any record that an engine reports."""


class DirectoryEntry(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """State of one engine as known to the fleet. ``record.status`` is always READY inside an entry."""

    record: EngineRecord
    intent: int = 0
    health: int = 0
    left: bool = False

    @property
    def draining(self) -> bool:
        """Whether the engine said that it is about to stop."""
        return self.intent % 2 == 1

    @property
    def lost(self) -> bool:
        """Whether the engine's heartbeats stopped."""
        return self.health % 2 == 1

    @property
    def gone(self) -> bool:
        """Whether the engine left or is lost. Such entries expire."""
        return self.left or self.lost

    @property
    def status(self) -> EngineStatus:
        """Return the status that follows from the counters.

        DRAINING goes before LOST: a lost engine is used as a last resort, one that said it stops is not.
        """
        if self.left:
            return EngineStatus.LEFT
        if self.draining:
            return EngineStatus.DRAINING
        return EngineStatus.LOST if self.lost else EngineStatus.READY

    def published(self) -> EngineRecord:
        """Return the record for readers; its ``sequence`` increases with every change."""
        sequence = self.record.sequence + self.intent + self.health + int(self.left)
        return msgspec.structs.replace(self.record, sequence=sequence, status=self.status)


def with_status_ready(record: EngineRecord) -> EngineRecord:
    """Return ``record`` as entries store it, with status READY."""
    if record.status is EngineStatus.READY:
        return record
    return msgspec.structs.replace(record, status=EngineStatus.READY)


def departed_entry(engine: EngineId, incarnation: int) -> DirectoryEntry:
    """Return the entry of an engine that left, for a node that doesn't know the engine's record.

    Its record counts as older than any that the engine reports, so that a merge keeps the engine's own. Nodes
    that don't know the engine ignore the entry, as that of any engine that left.
    """
    record = EngineRecord(
        engine=engine,
        service=ServiceName(""),
        version=VersionName(""),
        address=Address(""),
        capacity=0,
        incarnation=incarnation,
        sequence=_OLDEST_SEQUENCE,
    )
    return DirectoryEntry(record=record, intent=1, left=True)


def merge_entries(one: DirectoryEntry, other: DirectoryEntry) -> DirectoryEntry:
    """Return the least upper bound of both entries; commutative, associative and idempotent."""
    if one.record.incarnation != other.record.incarnation:
        return one if one.record.incarnation > other.record.incarnation else other
    first, second = one.record, other.record
    if first.sequence != second.sequence:
        record = first if first.sequence > second.sequence else second
    else:
        record = max(first, second, key=msgspec.msgpack.encode)
    return DirectoryEntry(
        record=record,
        intent=max(one.intent, other.intent),
        health=max(one.health, other.health),
        left=one.left or other.left,
    )


def refresh_entry(
    known: DirectoryEntry, record: EngineRecord, draining: bool, announced: bool
) -> DirectoryEntry:
    """Return the entry after another announcement or heartbeat of the same incarnation.

    Only an announcement reverts a drain; both show that the engine is not lost.
    """
    intent_changed = draining != known.draining and (draining or announced)
    # A sequence that only counts heartbeats is not a change: only changes of other fields are relayed.
    same_fields = (
        msgspec.structs.replace(with_status_ready(record), sequence=known.record.sequence) == known.record
    )
    newer = not same_fields and record.sequence >= known.record.sequence
    return DirectoryEntry(
        record=with_status_ready(record) if newer else known.record,
        intent=known.intent + int(intent_changed),
        health=known.health + int(known.lost),
    )


def stop_entry(entry: DirectoryEntry, left: bool) -> DirectoryEntry:
    """Return the entry after the engine started draining or left."""
    intent = entry.intent + int(not entry.draining)
    return msgspec.structs.replace(entry, intent=intent, left=entry.left or left)
