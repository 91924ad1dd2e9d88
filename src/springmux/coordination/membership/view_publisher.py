"""Publishing of views: each change immediately in a small fleet, in batches in a large one."""

from __future__ import annotations

from springmux.coordination.membership.effects import MembershipChanged
from springmux.coordination.membership.settings import MembershipSettings
from springmux.coordination.membership.table import MemberTable
from springmux.coordination.state_machine import NEVER, Effect


class ViewPublisher:
    """Decides when a changed view is published to the other components."""

    def __init__(self, table: MemberTable, settings: MembershipSettings) -> None:
        self._table = table
        self._settings = settings
        self._pending = False
        self._published_at = -NEVER

    def next_deadline(self) -> float:
        """Return when a changed view is to be published."""
        return self._due_at() if self._pending else NEVER

    def mark_changed(self) -> None:
        """Mark the view as changed since the last publication."""
        self._pending = True

    def publish(self, now: float) -> list[Effect]:
        """Publish a changed view if it is due."""
        if not self._pending or now < self._due_at():
            return []
        self._pending = False
        self._published_at = now
        return [MembershipChanged(self._table.view())]

    def _due_at(self) -> float:
        nodes = len(self._table)
        batch_s = nodes * self._settings.batch_s_per_node if nodes > self._settings.small_fleet_max else 0.0
        return self._published_at + batch_s
