"""What a holder with a disk writes down, and what it finds again at its start.

The holder's memory is a fold over its entries in order: the last word on a key counts. Storage
(:mod:`springmux.storage.claim_journal`) keeps the entries; this module says what they mean.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from springmux.coordination.claims.messages import ClaimAttempt, ClaimRecord
from springmux.coordination.claims.ring import ClaimRing
from springmux.coordination.identifiers import NodeId, ReplicaId


class ClaimStored(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True, tag="ClaimKept"):
    """A key's record as it is now. ``granted``: the attempt that this holder itself granted, if any."""

    record: ClaimRecord
    granted: ClaimAttempt | None = None


class ClaimReleased(msgspec.Struct, frozen=True, array_like=True, tag="ClaimFreed"):
    """A key was withdrawn, pushed out or is past the window."""

    key: str


class HolderState(msgspec.Struct, frozen=True, array_like=True, tag="HolderState"):
    """Written only while the memory is whole: how far it reaches.

    ``rings``: the newest rings without a gap. ``complete``: for each peer the ring version under
    which all its records were pulled; those entries come before this one.
    """

    rings: tuple[ClaimRing, ...]
    complete: tuple[tuple[NodeId, int], ...]


ClaimEntry = ClaimStored | ClaimReleased | HolderState


class RecoveredClaims(msgspec.Struct, frozen=True):
    """A holder's journal at start.

    ``founded``: the journal is as old as the replica ``replica`` and nothing of it was ever lost, so
    a missing key was never granted under this identity. ``damage``: why an earlier journal was set
    aside; then nothing of it counts.
    """

    replica: ReplicaId
    founded: bool
    claims: tuple[ClaimStored, ...] = ()
    state: HolderState | None = None
    damage: str = ""


class JournalFold:
    """Folds entries to what holds in the end, in the order of the last change."""

    def __init__(self) -> None:
        self._kept: dict[str, ClaimStored] = {}
        self.state: HolderState | None = None

    def take(self, entries: Iterable[ClaimEntry]) -> None:
        """Add entries, oldest first."""
        for entry in entries:
            if isinstance(entry, ClaimStored):
                self._kept.pop(entry.record.key, None)
                self._kept[entry.record.key] = entry
            elif isinstance(entry, ClaimReleased):
                self._kept.pop(entry.key, None)
            else:
                self.state = entry

    def claims(self) -> tuple[ClaimStored, ...]:
        """Return the keys that are kept."""
        return tuple(self._kept.values())

    def entries(self) -> list[ClaimEntry]:
        """Return the shortest journal with the same meaning."""
        state: list[ClaimEntry] = [self.state] if self.state is not None else []
        return [*self._kept.values(), *state]
