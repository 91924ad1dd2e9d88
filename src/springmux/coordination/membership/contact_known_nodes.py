"""The known nodes, of which the contact rule needs a majority.

Every node counts until it has LEFT. A DEAD node stops counting once this node has been connected for
``settle_s`` since the death. A majority may thus reduce the number of nodes that are needed for a majority,
as in dynamic voting (Jajodia and Mutchler 1990); a minority partition may not, however long it lasts.
"""

from __future__ import annotations

from collections.abc import Iterator

from springmux.coordination.identifiers import NodeId
from springmux.coordination.membership.settings import ContactSettings
from springmux.coordination.membership.table import PRESENT_STATUSES
from springmux.coordination.membership.view import MembershipView, NodeStatus


class KnownNodes:
    """The nodes that count, including this one, and the others of them that are present."""

    def __init__(self, own: NodeId, settings: ContactSettings) -> None:
        self._own = own
        self._settings = settings
        self._known: set[NodeId] = {own}
        self._gone_at: dict[NodeId, float] = {}
        self._excluded: set[NodeId] = set()
        self.present: tuple[NodeId, ...] = ()
        self.has_met_others = False

    def __len__(self) -> int:
        return len(self._known)

    def __iter__(self) -> Iterator[NodeId]:
        return iter(self._known)

    def names(self) -> list[NodeId]:
        """Return the known nodes, sorted by name."""
        return sorted(self._known)

    def update(self, view: MembershipView, now: float) -> None:
        """Apply a newer view."""
        present: list[NodeId] = []
        for node, record in view.nodes.items():
            if record.status in PRESENT_STATUSES:
                self._known.add(node)
                self._gone_at.pop(node, None)
                self._excluded.discard(node)
                present.append(node)
            elif record.status is NodeStatus.LEFT and node != self._own:
                self._exclude(node)
            elif node not in self._excluded:
                self._known.add(node)
                self._gone_at.setdefault(node, now)
        for node in self._known - view.nodes.keys():
            self._gone_at.setdefault(node, now)
        self._excluded &= view.nodes.keys()
        self.present = tuple(sorted(node for node in present if node != self._own))
        self.has_met_others = self.has_met_others or bool(self.present)

    def expire(self, now: float, connected_since: float | None) -> None:
        """Exclude nodes that have been gone for ``settle_s`` while this node was in contact."""
        if connected_since is None:
            return
        for node, gone_at in list(self._gone_at.items()):
            if now - max(connected_since, gone_at) >= self._settings.settle_s:
                self._exclude(node)

    def _exclude(self, node: NodeId) -> None:
        self._known.discard(node)
        self._gone_at.pop(node, None)
        self._excluded.add(node)

    def majority(self) -> int:
        """Return the number of nodes, including this one, that are a majority."""
        return len(self._known) // 2 + 1
