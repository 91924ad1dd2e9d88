"""Group commit of a holder's journal: one batch in flight, the next one gathers meanwhile.

A grant is answered only after the batch with it was synced. Everything else is written in order but
not waited for: losing it only leaves a key more firmly claimed than it is.
"""

from __future__ import annotations

import msgspec

from springmux.coordination.claims.events import ClaimSettings, ClaimsPersistFailed, PersistClaims
from springmux.coordination.claims.journal import ClaimEntry
from springmux.coordination.claims.messages import ClaimAttempt
from springmux.coordination.identifiers import NodeId
from springmux.coordination.state_machine import NEVER, Effect, LogLevel, LogLine


class PendingGrant(msgspec.Struct, frozen=True):
    """A grant that waits for the disk."""

    attempt: ClaimAttempt
    key: str
    claimant: NodeId


class ClaimPersistence:
    """The journal as the holder sees it. After a failure that isn't a full disk it's broken for good."""

    def __init__(self, settings: ClaimSettings) -> None:
        self._settings = settings
        self._queue: list[ClaimEntry] = []
        self._queued_grants: list[PendingGrant] = []
        self._flying: tuple[ClaimEntry, ...] = ()
        self._flying_grants: list[PendingGrant] = []
        self._pending: set[ClaimAttempt] = set()
        self._batch = 0
        self._sent_at = NEVER
        self._retry_at = NEVER
        self._stalled = False
        self._broken = False
        self._notes: list[Effect] = []

    @property
    def deadline(self) -> float:
        """Return when a stall is to be noticed or a full disk to be tried again."""
        stall_at = NEVER if self._stalled else self._sent_at + self._settings.disk_stall_s
        return min(stall_at, self._retry_at)

    def write(self, entry: ClaimEntry) -> None:
        """Add an entry to the gathering batch; after it is broken, to nothing."""
        if self._broken:
            return
        self._queue.append(entry)
        if len(self._queue) > self._settings.max_entries:
            # An entry left out would make the journal's later entries untrue, so it ends here.
            self._break("the journal waits for too long", "queue")

    def answer_later(self, grant: PendingGrant) -> None:
        """Answer a grant once everything written so far is durable."""
        self._pending.add(grant.attempt)
        self._queued_grants.append(grant)

    def is_pending(self, attempt: ClaimAttempt) -> bool:
        """Return whether a grant of this attempt waits for the disk."""
        return attempt in self._pending

    def is_usable(self) -> bool:
        """Return whether new grants have a prospect of being synced soon."""
        return not (self._broken or self._stalled or self._retry_at < NEVER)

    def flush(self, now: float) -> list[Effect]:
        """Send the next batch if none is in flight; notice a stall."""
        notes, self._notes = self._notes, []
        if self._sent_at < NEVER:
            return [*notes, *self._watch(now)]
        if now >= self._retry_at:
            self._retry_at = NEVER
            return [*notes, self._send(self._flying, now)]
        if self._broken or not self._queue or self._retry_at < NEVER:
            return notes
        entries, self._queue = tuple(self._queue), []
        self._flying_grants, self._queued_grants = self._queued_grants, []
        return [*notes, self._send(entries, now)]

    def persisted(self, batch: int) -> list[PendingGrant]:
        """Take the news of a synced batch; return the grants that may be answered now."""
        if batch != self._batch or self._sent_at == NEVER:
            return []
        if self._stalled:
            self._notes.append(LogLine("claims_disk_resumed"))
        self._sent_at, self._stalled, self._flying = NEVER, False, ()
        grants, self._flying_grants = self._flying_grants, []
        self._pending.difference_update(grant.attempt for grant in grants)
        return grants

    def failed(self, event: ClaimsPersistFailed, now: float) -> None:
        """Try a full disk again later; anything else can't be retried (fsync semantics)."""
        if event.batch != self._batch or self._sent_at == NEVER:
            return
        self._sent_at, self._stalled = NEVER, False
        if event.full:
            self._retry_at = now + self._settings.disk_retry_s
            self._notes.append(LogLine("claims_disk_full", LogLevel.ERROR, {"reason": event.reason}))
        else:
            self._break("this holder grants nothing until it is restarted with a sound disk", event.reason)

    def _send(self, entries: tuple[ClaimEntry, ...], now: float) -> PersistClaims:
        self._batch += 1
        self._flying = entries
        self._sent_at = now
        return PersistClaims(self._batch, entries)

    def _watch(self, now: float) -> list[Effect]:
        waited_s = now - self._sent_at
        if self._stalled or waited_s < self._settings.disk_stall_s:
            return []
        self._stalled = True
        return [LogLine("claims_disk_stalled", LogLevel.WARNING, {"waited_s": round(waited_s, 3)})]

    def _break(self, effect: str, reason: str) -> None:
        self._broken = True
        self._queue.clear()
        self._queued_grants.clear()
        self._notes.append(
            LogLine("claims_disk_failed", LogLevel.ERROR, {"reason": reason, "effect": effect})
        )
