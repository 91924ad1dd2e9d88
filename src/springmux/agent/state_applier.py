"""Applies committed commands to the control state in order without blocking the event loop.

Parsing an 8 MiB configuration takes most of a second, longer than an election timeout. Large commands
are therefore first parsed off the event loop; later work stays queued until then.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from springmux.agent.effects import PrepareCommands, WriteSnapshot
from springmux.control.commands import UnknownCommandError
from springmux.control.compression import uncompressed_size_bytes
from springmux.control.delivery.effects import ApplyCommands, ProvideSnapshot, ReplaceState
from springmux.control.delivery.events import SnapshotProvided
from springmux.control.order_events import CommandDecided, StateReplaced
from springmux.control.state import ControlState
from springmux.control.state_snapshot import UnreadableSnapshotError
from springmux.coordination.consensus.effects import TakeSnapshot
from springmux.coordination.consensus.types import SnapshotMeta
from springmux.coordination.identifiers import Revision
from springmux.coordination.state_machine import Effect, Event, LogLevel, LogLine
from springmux.vocabulary.errors import SpringmuxError

LARGE_COMMAND_BYTES = 64 * 1024
"""Commands of this size or more are parsed off the event loop; smaller ones take a few milliseconds."""

StateWork = ApplyCommands | ReplaceState | TakeSnapshot | ProvideSnapshot


class AppliedWork(NamedTuple):
    """Result of executed work: events for other components, and effects for the driver."""

    events: list[Event]
    effects: list[Effect]


class StateApplier:
    """Owns the control state; work on the complete state is executed in order through one queue."""

    def __init__(self) -> None:
        self.state = ControlState()
        self._queue: deque[StateWork] = deque()
        self._preparing = False
        self._prepared = False
        self.unreadable_reason = ""
        """Why no more commands are applied: a newer program version wrote the next one. Empty otherwise."""

    def enqueue(self, work: StateWork) -> AppliedWork:
        """Queue ``work``, and execute all queued work that doesn't wait for parsing."""
        if self.unreadable_reason:
            return AppliedWork([], [])
        self._queue.append(work)
        return self._drain_queue()

    def resume(self) -> AppliedWork:
        """Continue after the driver has parsed the commands at the head of the queue."""
        self._preparing = False
        self._prepared = True
        return self._drain_queue()

    def _drain_queue(self) -> AppliedWork:
        events: list[Event] = []
        effects: list[Effect] = []
        while self._queue and not self._preparing and not self.unreadable_reason:
            work = self._queue[0]
            large = () if self._prepared else _large_commands(work)
            if large:
                self._preparing = True
                effects.append(PrepareCommands(large))
                break
            self._prepared = False
            self._queue.popleft()
            try:
                self._execute(work, events, effects)
            except (UnknownCommandError, UnreadableSnapshotError) as error:
                effects.append(self._stop_applying(error))
        return AppliedWork(events, effects)

    def _stop_applying(self, error: SpringmuxError) -> Effect:
        """Stop applying: skipping a command would make the state diverge from that of other nodes."""
        self.unreadable_reason = str(error)
        self._queue.clear()
        return LogLine("control_state_unreadable", LogLevel.ERROR, {"reason": self.unreadable_reason})

    def _execute(self, work: StateWork, events: list[Event], effects: list[Effect]) -> None:
        if isinstance(work, ApplyCommands):
            self._apply(work, events)
        elif isinstance(work, ReplaceState):
            self.state.restore(work.snapshot)
            events.append(StateReplaced())
        elif isinstance(work, TakeSnapshot):
            meta = SnapshotMeta(work.index, work.term, work.members)
            effects.append(WriteSnapshot(meta, self.state.snapshot()))
        else:
            revision = Revision(self.state.view().revision)
            events.append(SnapshotProvided(revision, self.state.snapshot()))

    def _apply(self, work: ApplyCommands, events: list[Event]) -> None:
        for command in work.commands:
            result = self.state.apply(command.index, command.data)
            if result is not None:
                events.append(CommandDecided(command.data, result))


def _large_commands(work: StateWork) -> tuple[bytes, ...]:
    if not isinstance(work, ApplyCommands):
        return ()
    return tuple(
        command.data
        for command in work.commands
        if uncompressed_size_bytes(command.data) >= LARGE_COMMAND_BYTES
    )
