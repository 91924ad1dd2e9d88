"""Tracks which committed commands this node has applied, and accepts only those that follow them."""

from __future__ import annotations

from collections.abc import Sequence

from springmux.control.delivery.effects import ApplyCommands, ReplaceState
from springmux.control.delivery.messages import DeliveredCommand
from springmux.control.delivery.recent_log import RecentLog
from springmux.control.state_snapshot import snapshot_revision
from springmux.coordination.consensus.types import Entry, EntryKind
from springmux.coordination.identifiers import Revision
from springmux.coordination.state_machine import Effect


class AppliedCommands:
    """The revision up to which commands were passed to the agent.

    :param recent: keeps the newest commands, to serve peers that are behind.
    """

    def __init__(self, recent: RecentLog) -> None:
        self._recent = recent
        self._revision = Revision(0)

    @property
    def revision(self) -> Revision:
        """Log index of the newest command passed to the agent."""
        return self._revision

    def select_new(self, entries: Sequence[Entry]) -> tuple[DeliveredCommand, ...]:
        """Return the commands among ``entries`` that are newer than the current revision.

        The first one gets the current revision as its predecessor, since ``entries`` continue the log.
        """
        commands: list[DeliveredCommand] = []
        previous = self._revision
        for entry in entries:
            if entry.kind is EntryKind.COMMAND and entry.index > previous:
                commands.append(DeliveredCommand(previous, Revision(entry.index), entry.data))
                previous = Revision(entry.index)
        return tuple(commands)

    def apply(self, commands: Sequence[DeliveredCommand]) -> list[Effect]:
        """Pass the agent those commands that follow the current revision without a gap."""
        following: list[DeliveredCommand] = []
        revision = self._revision
        for command in commands:
            if command.index <= revision:
                continue
            if command.previous_index > revision:
                break
            following.append(command)
            revision = command.index
        if not following:
            return []
        self._revision = revision
        self._recent.extend(following)
        return [ApplyCommands(tuple(following))]

    def replace(self, snapshot: bytes) -> list[Effect]:
        """Replace the state by ``snapshot`` if that is newer.

        :raises UnreadableSnapshotError: if the revision of ``snapshot`` can't be read.
        """
        revision = snapshot_revision(snapshot)
        if revision <= self._revision:
            return []
        self._revision = revision
        self._recent.clear()
        return [ReplaceState(snapshot, revision)]
