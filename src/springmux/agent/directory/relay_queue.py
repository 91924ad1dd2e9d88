"""Queue of directory changes to relay; those relayed around a loss of contact are relayed a second time."""

from __future__ import annotations

from springmux.agent.directory.entry import DirectoryEntry
from springmux.agent.directory.settings import DirectorySettings
from springmux.agent.directory.table import DirectoryTable
from springmux.coordination.state_machine import NEVER
from springmux.vocabulary.names import EngineId


class RelayQueue:
    """Changes that originated at this node, until they are relayed in a batch.

    A node notices a loss of contact with a delay and applies reports of engines without contact, too. What it
    relayed from shortly before the loss on may have reached nobody, so it is relayed again afterwards.
    """

    def __init__(self, table: DirectoryTable, settings: DirectorySettings) -> None:
        self._table = table
        self._settings = settings
        self._pending: dict[EngineId, DirectoryEntry] = {}
        self._changed_at: dict[EngineId, float] = {}
        self._batch_due_at = 0.0
        self._connected = True

    @property
    def due_at(self) -> float:
        """Time at which the next batch is due."""
        return self._batch_due_at if self._pending else NEVER

    def add(self, entry: DirectoryEntry, now: float) -> None:
        """Queue a change."""
        engine = entry.record.engine
        self._pending[engine] = entry
        if self._table.get(engine) is not None:
            self._changed_at[engine] = now

    def take(self, batch_s: float, now: float) -> list[DirectoryEntry]:
        """Return the batch that is due; the next one is due ``batch_s`` seconds later."""
        if now < self.due_at:
            return []
        self._batch_due_at = now + batch_s
        entries = list(self._pending.values())
        self._pending.clear()
        return entries

    def change_contact(self, connected: bool) -> None:
        """Apply a change of contact; when contact is regained, queue the changes that may have been lost."""
        self._connected = connected
        if not connected:
            return
        for engine in self._changed_at:
            entry = self._table.get(engine)
            if entry is not None:
                self._pending.setdefault(engine, entry)

    def expire(self, now: float) -> None:
        """Drop changes that were relayed long enough before any loss of contact."""
        if not self._connected:
            return
        oldest = now - self._settings.contact_loss_s
        self._changed_at = {engine: at for engine, at in self._changed_at.items() if at > oldest}
