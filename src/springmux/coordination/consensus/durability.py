"""Durability of hard state and log: one batch in flight, later changes gather for the next.

One batch at a time gives group commit for free and makes a full disk simple: the failed batch is
merged with what gathered since, and written again.
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
    """The batch that storage is writing, and what the disk held before it."""

    number: int
    last_index: LogIndex
    previous_hard_state: HardState
    previous_last_index: LogIndex
    truncate_from: LogIndex | None
    founding: FoundingRecord | None
    actions: list[Action]


class Durability:
    """Knows which part of the hard state and of the log is durable."""

    def __init__(self, recovered: RecoveredState, log: ReplicatedLog, retry_s: float) -> None:
        self.hard_state = recovered.hard_state
        """The newest hard state, on disk or not."""
        self.log = log
        self.stable_index = log.last_index
        """Entries up to here are on disk as they are in memory."""
        self.full = False
        self.stalled = False
        self.blocked = False
        """A snapshot is being installed: storage replaces the log, so nothing is written meanwhile."""
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
        """Whether the disk accepts writes at present."""
        return not (self.full or self.stalled or self.blocked)

    @property
    def idle(self) -> bool:
        """Whether no batch is being written."""
        return self._in_flight is None

    def deadline(self) -> float:
        """Return when a failed batch is to be written again."""
        # While a snapshot is being installed nothing is written; its end is an event.
        return NEVER if self.blocked else self._retry_at

    def set_founding(self, group: GroupId, members: GroupMembers) -> None:
        """Record that the data folder belongs to ``group``."""
        self._founding = (group, members)

    def truncate(self, index: LogIndex) -> None:
        """Drop the log from ``index`` on, also on disk."""
        self.log.truncate_from(index)
        if index <= self._written_last_index:
            self._truncate_from = min(index, self._truncate_from or index)
            self._written_last_index = LogIndex(index - 1)
        self.stable_index = min(self.stable_index, LogIndex(index - 1))
        if self._in_flight is not None:
            self._in_flight.last_index = min(self._in_flight.last_index, LogIndex(index - 1))

    def run_when_durable(self, action: Action) -> None:
        """Run ``action`` once everything up to now is on disk (at once if it already is)."""
        if self._has_unwritten_changes():
            self._pending_actions.append(action)
        elif self._in_flight is not None:
            self._in_flight.actions.append(action)
        else:
            action()

    def flush(self, now: float, committed: LogIndex) -> Persist | None:
        """Return the next batch to write, if there is one and storage is free.

        :param committed: the commit index. It goes along with a batch, and is no reason for one.
        """
        if self._in_flight is not None or self.blocked:
            return None
        if not self._has_unwritten_changes():
            if now >= self._retry_at:
                # What found no space was truncated by a leader meanwhile: the next write will show.
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
        """Put a batch that found no space back, to be written again later."""
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
        """Use ``log``, with which storage replaced the former one: all of it is on disk."""
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
