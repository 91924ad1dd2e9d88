"""Applies committed commands to the control state in order, without stalling the node.

Parsing an 8 MiB configuration takes most of a second, longer than an election timeout. Large commands
are therefore parsed off the event loop first; whatever comes after them waits its turn.
"""

from __future__ import annotations

from collections import deque

from springmux.agent.effects import PrepareCommands, WriteSnapshot
from springmux.control.commands import UnknownCommandError
from springmux.control.compression import plain_size_bytes
from springmux.control.delivery.effects import ApplyCommands, ProvideSnapshot, ReplaceState
from springmux.control.delivery.events import SnapshotProvided
from springmux.control.order_events import CommandDecided
from springmux.control.state import ControlState
from springmux.control.state_image import UnreadableImageError
from springmux.coordination.consensus.effects import TakeSnapshot
from springmux.coordination.consensus.types import SnapshotMeta
from springmux.coordination.identifiers import Revision
from springmux.coordination.state_machine import Effect, Event, LogLevel, LogLine
from springmux.vocabulary.errors import SpringmuxError

LARGE_COMMAND_BYTES = 64 * 1024
"""Smaller documents parse within a few milliseconds."""

StateWork = ApplyCommands | ReplaceState | TakeSnapshot | ProvideSnapshot


class StateApplier:
    """Owns the control state; everything that reads or changes it as a whole goes through the queue."""

    def __init__(self) -> None:
        self.state = ControlState()
        self._waiting: deque[StateWork] = deque()
        self._preparing = False
        self._prepared = False
        self.unreadable = ""
        """Why nothing more is applied: a newer program wrote what comes next. Empty while all is well."""

    def take(self, work: StateWork) -> tuple[list[Event], list[Effect]]:
        """Queue ``work``; return events for the other components and effects for the driver."""
        if self.unreadable:
            return [], []
        self._waiting.append(work)
        return self._go_on()

    def prepared(self) -> tuple[list[Event], list[Effect]]:
        """The driver has parsed what the head of the queue needs."""
        self._preparing = False
        self._prepared = True
        return self._go_on()

    def _go_on(self) -> tuple[list[Event], list[Effect]]:
        events: list[Event] = []
        effects: list[Effect] = []
        while self._waiting and not self._preparing and not self.unreadable:
            work = self._waiting[0]
            large = () if self._prepared else _large_commands(work)
            if large:
                self._preparing = True
                effects.append(PrepareCommands(large))
                break
            self._prepared = False
            self._waiting.popleft()
            try:
                self._carry_out(work, events, effects)
            except (UnknownCommandError, UnreadableImageError) as error:
                effects.append(self._give_up(error))
        return events, effects

    def _give_up(self, error: SpringmuxError) -> Effect:
        """Stop applying: to go on without a command would be another state than everyone else's."""
        self.unreadable = str(error)
        self._waiting.clear()
        return LogLine("control_state_unreadable", LogLevel.ERROR, {"reason": self.unreadable})

    def _carry_out(self, work: StateWork, events: list[Event], effects: list[Effect]) -> None:
        if isinstance(work, ApplyCommands):
            self._apply(work, events)
        elif isinstance(work, ReplaceState):
            self.state.restore(work.snapshot)
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
        command.data for command in work.commands if plain_size_bytes(command.data) >= LARGE_COMMAND_BYTES
    )
