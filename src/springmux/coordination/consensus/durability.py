"""Durability of hard state and log: one batch is in flight while later changes collect for the next.

Writing one batch at a time gives group commit without further logic and makes a full disk simple to
handle: the failed batch is merged with the changes made since, and written again.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from springmux.coordination.consensus.effects import Persist
from springmux.coordination.consensus.log import ReplicatedLog
from springmux.coordination.consensus.types import GroupMembers, HardState, RecoveredState
from springmux.coordination.identifiers import GroupId, LogIndex
from springmux.coordination.state_machine import NEVER

Action = Callable[[], None]
FoundingRecord = tuple[GroupId, GroupMembers]


class _Batch(msgspec.Struct):
    """The batch that storage is writing, and the state that the disk held before it."""

    number: int
    last_index: LogIndex
    previous_hard_state: HardState
    previous_last_index: LogIndex
    truncate_from: LogIndex | None
    founding: FoundingRecord | None
    actions: list[Action]


class Durability:
    """Tracks which parts of the hard state and the log are durable."""

    def __init__(self, recovered: RecoveredState, log: ReplicatedLog, retry_s: float) -> None:
        self.hard_state = recovered.hard_state
        """The newest hard state, whether on disk yet or not."""
        self.log = log
        self.stable_index = log.last_index
        """Entries up to this index are on disk as they are in memory."""
        self.full = False
        self.stalled = False
        self.blocked = False
        """Whether a snapshot is being installed: storage replaces the log, so no batch is written then."""
        self._retry_s = retry_s
        self._retry_at = NEVER
        self._written_hard_state = recovered.hard_state
        self._written_last_index = log.last_index
        self._truncate_from: LogIndex | None = None
        self._founding: FoundingRecord | None = None
        self._in_flight: _Batch | None = None
        self._pending_actions: list[Action] = []
        self._next_batch = 1

    @property
    def ready(self) -> bool:
        """Whether the disk currently accepts writes."""
        return not (self.full or self.stalled or self.blocked)

    @property
    def idle(self) -> bool:
        """Whether no batch is being written."""
        return self._in_flight is None

    def deadline(self) -> float:
        """Return when a failed batch is to be written again."""
        # Nothing is written while a snapshot is being installed, and an event reports the end of that.
        return NEVER if self.blocked else self._retry_at

    def set_founding(self, group: GroupId, members: GroupMembers) -> None:
        """Record that the data folder belongs to ``group``, whose first members are ``members``."""
        self._founding = (group, members)

    def truncate(self, index: LogIndex) -> None:
        """Drop the entries at and after ``index``, in memory and on disk."""
        self.log.truncate_from(index)
        if index <= self._written_last_index:
            self._truncate_from = min(index, self._truncate_from or index)
            self._written_last_index = LogIndex(index - 1)
        self.stable_index = min(self.stable_index, LogIndex(index - 1))
        if self._in_flight is not None:
            self._in_flight.last_index = min(self._in_flight.last_index, LogIndex(index - 1))

    def run_when_durable(self, action: Action) -> None:
        """Run ``action`` once all changes made so far are on disk; immediately if they already are."""
        if self._has_unwritten_changes():
            self._pending_actions.append(action)
        elif self._in_flight is not None:
            self._in_flight.actions.append(action)
        else:
            action()

    def start_batch(self, now: float, committed: LogIndex) -> Persist | None:
        """Return the next batch to write, or ``None`` if nothing changed or storage isn't ready for one.

        :param committed: the commit index. It is written with a batch, but a change of it causes none.
        """
        if self._in_flight is not None or self.blocked:
            return None
        if not self._has_unwritten_changes():
            if now >= self._retry_at:
                # The entries that found no space were truncated by a leader meanwhile. The next write shows
                # whether the disk is still full.
                self.full = False
                self._retry_at = NEVER
            return None
        if self.full and now < self._retry_at:
            return None
        changed = self.hard_state != self._written_hard_state
        batch = Persist(
            batch=self._next_batch,
            hard_state=self.hard_state if changed else None,
            truncate_from=self._truncate_from,
            entries=self.log.entries_between(LogIndex(self._written_last_index + 1), self.log.last_index),
            founding=self._founding,
            committed=committed,
        )
        self._in_flight = _Batch(
            batch.batch,
            self.log.last_index,
            self._written_hard_state,
            self._written_last_index,
            self._truncate_from,
            self._founding,
            self._pending_actions,
        )
        self._next_batch += 1
        self._pending_actions = []
        self._written_hard_state = self.hard_state
        self._written_last_index = self.log.last_index
        self._truncate_from = None
        self._founding = None
        self._retry_at = NEVER
        return batch

    def on_persisted(self, number: int) -> None:
        """Record that a batch is on disk, and run the actions that waited for it."""
        batch = self._in_flight
        if batch is None or batch.number != number:
            return
        self._in_flight = None
        self.full = self.stalled = False
        self.stable_index = batch.last_index
        for action in batch.actions:
            action()

    def on_disk_full(self, number: int, now: float) -> None:
        """Merge a batch that found no space into the unwritten changes, to be written again later."""
        batch = self._in_flight
        if batch is None or batch.number != number:
            return
        self._in_flight = None
        self.full = True
        self._retry_at = now + self._retry_s
        self._written_hard_state = batch.previous_hard_state
        self._written_last_index = min(batch.previous_last_index, self._written_last_index)
        if batch.truncate_from is not None:
            self._truncate_from = min(batch.truncate_from, self._truncate_from or batch.truncate_from)
        self._founding = self._founding or batch.founding
        self._pending_actions = batch.actions + self._pending_actions

    def replace_log(self, log: ReplicatedLog) -> None:
        """Use ``log`` from now on: storage has replaced the former log by it, so all of it is on disk."""
        self.log = log
        self.blocked = False
        self.stable_index = self._written_last_index = log.last_index
        self._truncate_from = None

    def _has_unwritten_changes(self) -> bool:
        return (
            self.hard_state != self._written_hard_state
            or self.log.last_index > self._written_last_index
            or self._truncate_from is not None
            or self._founding is not None
        )
