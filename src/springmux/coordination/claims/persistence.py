"""Group commit of a holder's journal: while one batch is written, entries collect for the next one.

A grant is sent only after its batch was synced. Nothing waits for other entries, which are written in order:
losing one can at worst leave a released key claimed.
"""

from __future__ import annotations

import msgspec

from springmux.coordination.claims.events import ClaimSettings, ClaimsPersistFailed, PersistClaims
from springmux.coordination.claims.journal import ClaimEntry
from springmux.coordination.claims.messages import ClaimAttempt
from springmux.coordination.identifiers import NodeId
from springmux.coordination.state_machine import NEVER, Effect, LogLevel, LogLine


class PendingGrant(msgspec.Struct, frozen=True):
    """A grant that isn't durable yet, so that it has not been sent."""

    attempt: ClaimAttempt
    key: str
    claimant: NodeId


class ClaimPersistence:
    """Writes the holder's journal. Any failure other than a full disk is permanent."""

    def __init__(self, settings: ClaimSettings) -> None:
        self._settings = settings
        self._queue: list[ClaimEntry] = []
        self._queued_grants: list[PendingGrant] = []
        self._in_flight: tuple[ClaimEntry, ...] = ()
        self._in_flight_grants: list[PendingGrant] = []
        self._pending: set[ClaimAttempt] = set()
        self._batch = 0
        self._sent_at = NEVER
        self._retry_at = NEVER
        self._stalled = False
        self._failed = False
        self._log_lines: list[Effect] = []

    @property
    def deadline(self) -> float:
        """Return when a batch in flight counts as stalled, or a full disk is retried."""
        stall_at = NEVER if self._stalled else self._sent_at + self._settings.disk_stall_s
        return min(stall_at, self._retry_at)

    def write(self, entry: ClaimEntry) -> None:
        """Add an entry to the next batch; after a permanent failure the entry is dropped."""
        if self._failed:
            return
        self._queue.append(entry)
        if len(self._queue) > self._settings.max_entries:
            # Later entries would be invalid without a dropped one, so the journal ends here.
            self._fail("too many journal entries wait for the disk", "queue")

    def defer_grant(self, grant: PendingGrant) -> None:
        """Queue a grant that may be sent once everything written so far is durable."""
        self._pending.add(grant.attempt)
        self._queued_grants.append(grant)

    def is_pending(self, attempt: ClaimAttempt) -> bool:
        """Return whether a grant of this attempt isn't durable yet."""
        return attempt in self._pending

    def is_usable(self) -> bool:
        """Return whether new grants can be synced: the disk has not failed, stalled or filled up."""
        return not (self._failed or self._stalled or self._retry_at < NEVER)

    def flush(self, now: float) -> list[Effect]:
        """Write the next batch if none is in flight; otherwise check whether the batch in flight stalls."""
        log_lines, self._log_lines = self._log_lines, []
        if self._sent_at < NEVER:
            return [*log_lines, *self._check_stall(now)]
        if now >= self._retry_at:
            self._retry_at = NEVER
            return [*log_lines, self._send(self._in_flight, now)]
        if self._failed or not self._queue or self._retry_at < NEVER:
            return log_lines
        entries, self._queue = tuple(self._queue), []
        self._in_flight_grants, self._queued_grants = self._queued_grants, []
        return [*log_lines, self._send(entries, now)]

    def handle_persisted(self, batch: int) -> list[PendingGrant]:
        """Handle a synced batch, and return the grants that may be sent now."""
        if batch != self._batch or self._sent_at == NEVER:
            return []
        if self._stalled:
            self._log_lines.append(LogLine("claims_disk_resumed"))
        self._sent_at, self._stalled, self._in_flight = NEVER, False, ()
        grants, self._in_flight_grants = self._in_flight_grants, []
        self._pending.difference_update(grant.attempt for grant in grants)
        return grants

    def handle_failure(self, event: ClaimsPersistFailed, now: float) -> None:
        """Schedule a retry on a full disk; after other failures a retry isn't safe (fsync semantics)."""
        if event.batch != self._batch or self._sent_at == NEVER:
            return
        self._sent_at, self._stalled = NEVER, False
        if event.full:
            self._retry_at = now + self._settings.disk_retry_s
            self._log_lines.append(LogLine("claims_disk_full", LogLevel.ERROR, {"reason": event.reason}))
        else:
            self._fail("this holder grants no claims until it is restarted with a working disk", event.reason)

    def _send(self, entries: tuple[ClaimEntry, ...], now: float) -> PersistClaims:
        self._batch += 1
        self._in_flight = entries
        self._sent_at = now
        return PersistClaims(self._batch, entries)

    def _check_stall(self, now: float) -> list[Effect]:
        waited_s = now - self._sent_at
        if self._stalled or waited_s < self._settings.disk_stall_s:
            return []
        self._stalled = True
        return [LogLine("claims_disk_stalled", LogLevel.WARNING, {"waited_s": round(waited_s, 3)})]

    def _fail(self, effect: str, reason: str) -> None:
        self._failed = True
        self._queue.clear()
        self._queued_grants.clear()
        self._log_lines.append(
            LogLine("claims_disk_failed", LogLevel.ERROR, {"reason": reason, "effect": effect})
        )
