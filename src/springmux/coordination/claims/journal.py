"""Journal entries of a holder with a disk, and their recovery at its start.

The holder's records are a fold over the entries in order; the last entry of a key wins.
:mod:`springmux.storage.claim_journal` stores the entries; this module defines their meaning.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from springmux.coordination.claims.messages import ClaimAttempt, ClaimRecord
from springmux.coordination.claims.ring import ClaimRing
from springmux.coordination.identifiers import NodeId, ReplicaId


class ClaimStored(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True, tag="ClaimKept"):
    """The record of a key changed. ``granted``: the attempt that this holder itself granted, if any."""

    record: ClaimRecord
    granted: ClaimAttempt | None = None


class ClaimReleased(msgspec.Struct, frozen=True, array_like=True, tag="ClaimFreed"):
    """The record of a key was removed: it was withdrawn, evicted or expired."""

    key: str


class HolderState(msgspec.Struct, frozen=True, array_like=True, tag="HolderState"):
    """Extent of the holder's records, written only while they are complete.

    ``rings``: the newest rings without a gap. ``complete``: for each peer the ring version under which all
    its records were pulled; the entries of these records precede this one.
    """

    rings: tuple[ClaimRing, ...]
    complete: tuple[tuple[NodeId, int], ...]


ClaimEntry = ClaimStored | ClaimReleased | HolderState


class RecoveredClaims(msgspec.Struct, frozen=True):
    """Content of a holder's journal at its start.

    ``founded``: whether the journal is as old as the replica ``replica`` and has lost nothing, so that a
    missing key was never granted under this identity. ``damage``: why an earlier journal was set aside, with
    its content ignored; empty otherwise.
    """

    replica: ReplicaId
    founded: bool
    claims: tuple[ClaimStored, ...] = ()
    state: HolderState | None = None
    damage: str = ""


class JournalFold:
    """Folds entries into the resulting records, in the order of their last change."""

    def __init__(self) -> None:
        self._stored: dict[str, ClaimStored] = {}
        self.state: HolderState | None = None

    def apply(self, entries: Iterable[ClaimEntry]) -> None:
        """Apply entries, oldest first."""
        for entry in entries:
            if isinstance(entry, ClaimStored):
                self._stored.pop(entry.record.key, None)
                self._stored[entry.record.key] = entry
            elif isinstance(entry, ClaimReleased):
                self._stored.pop(entry.key, None)
            else:
                self.state = entry

    def claims(self) -> tuple[ClaimStored, ...]:
        """Return the resulting records of keys."""
        return tuple(self._stored.values())

    def entries(self) -> list[ClaimEntry]:
        """Return the shortest journal that results in the same records and state."""
        state: list[ClaimEntry] = [self.state] if self.state is not None else []
        return [*self._stored.values(), *state]
