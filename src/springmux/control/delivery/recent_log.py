"""A bounded log of the newest committed commands, which brings peers up to date without a snapshot."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from springmux.control.delivery.messages import DeliveredCommand
from springmux.coordination.identifiers import Revision


class RecentLog:
    """The newest commands, consecutive and bounded in number and bytes; the newest one is always kept."""

    def __init__(self, max_commands: int, max_bytes: int) -> None:
        self._max_commands = max_commands
        self._max_bytes = max_bytes
        self._commands: deque[DeliveredCommand] = deque()
        self._size_bytes = 0

    def extend(self, commands: Iterable[DeliveredCommand]) -> None:
        """Append commands that follow the newest one; evict the oldest while the log exceeds its bounds."""
        for command in commands:
            self._commands.append(command)
            self._size_bytes += len(command.data)
        while len(self._commands) > 1 and self._exceeds_bounds():
            self._size_bytes -= len(self._commands.popleft().data)

    def clear(self) -> None:
        """Remove all commands, because the state was replaced."""
        self._commands.clear()
        self._size_bytes = 0

    def after(self, revision: Revision, max_bytes: int) -> tuple[DeliveredCommand, ...] | None:
        """Return the commands after ``revision``: at least one, and more up to ``max_bytes`` in total.

        Return ``None`` if there are none, or the log doesn't reach back to ``revision``.
        """
        later = self._commands_after(revision)
        if not later or later[0].previous_index > revision:
            return None
        size_bytes = 0
        for count, command in enumerate(later):
            size_bytes += len(command.data)
            if count and size_bytes > max_bytes:
                return tuple(later[:count])
        return tuple(later)

    def _commands_after(self, revision: Revision) -> list[DeliveredCommand]:
        later: list[DeliveredCommand] = []
        for command in reversed(self._commands):
            if command.index <= revision:
                break
            later.append(command)
        later.reverse()
        return later

    def _exceeds_bounds(self) -> bool:
        return len(self._commands) > self._max_commands or self._size_bytes > self._max_bytes
