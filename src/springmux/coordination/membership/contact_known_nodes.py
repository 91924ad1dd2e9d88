"""A set of known nodes, of which the contact rule needs a majority.

Every node counts until it has LEFT. A DEAD node stops counting once this node has been in contact with a
majority of the set for ``settle_s`` since the death. A majority may thus reduce the number of nodes that are
needed for a majority, as in dynamic voting (Jajodia and Mutchler 1990); a minority partition may not, however
long it lasts.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterator

from springmux.coordination.identifiers import NodeId
from springmux.coordination.membership.settings import ContactSettings
from springmux.coordination.membership.table import PRESENT_STATUSES
from springmux.coordination.membership.view import MembershipView, NodeRecord, NodeStatus


def is_any_node(_record: NodeRecord) -> bool:
    """Accept every node."""
    return True


def is_controller(record: NodeRecord) -> bool:
    """Accept the nodes that hold a replica of the control log."""
    return record.replica is not None


class KnownNodes:
    """The nodes that count, and those of them, other than this one, that are present.

    Before the first view this node counts.

    :param counts: whether a node belongs to the set.
    :param min_size: number of nodes that the set is known to have, even while fewer have been met.
    """

    def __init__(
        self,
        own: NodeId,
        settings: ContactSettings,
        counts: Callable[[NodeRecord], bool] = is_any_node,
        min_size: int = 1,
    ) -> None:
        self._own = own
        self._settings = settings
        self._counts = counts
        self._min_size = min_size
        self._known: set[NodeId] = {own}
        self._connected_since: float | None = None
        self._gone_at: dict[NodeId, float] = {}
        self._excluded: set[NodeId] = set()
        self.present: tuple[NodeId, ...] = ()
        self.has_met_others = False

    def __len__(self) -> int:
        return len(self._known)

    def __contains__(self, node: NodeId) -> bool:
        return node in self._known

    def __iter__(self) -> Iterator[NodeId]:
        return iter(self._known)

    def names(self) -> list[NodeId]:
        """Return the known nodes, sorted by name."""
        return sorted(self._known)

    def update(self, view: MembershipView, now: float) -> None:
        """Apply a newer view."""
        present: list[NodeId] = []
        for node, record in view.nodes.items():
            if not self._counts(record):
                self._known.discard(node)
                self._gone_at.pop(node, None)
            elif record.status in PRESENT_STATUSES:
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

    def expire(self, connected: bool, now: float) -> None:
        """Exclude nodes that have been gone for ``settle_s`` while this node was in contact.

        :param connected: whether this node is in contact with a majority of the set.
        """
        if not connected:
            self._connected_since = None
            return
        if self._connected_since is None:
            self._connected_since = now
        for node, gone_at in list(self._gone_at.items()):
            if now - max(self._connected_since, gone_at) >= self._settings.settle_s:
                self._exclude(node)

    def _exclude(self, node: NodeId) -> None:
        self._known.discard(node)
        self._gone_at.pop(node, None)
        self._excluded.add(node)

    def majority(self) -> int:
        """Return the number of nodes that are a majority of the set."""
        return max(len(self._known), self._min_size) // 2 + 1

    def is_majority(self, nodes: Collection[NodeId]) -> bool:
        """Return whether ``nodes`` contain a majority of the set."""
        return sum(1 for node in nodes if node in self._known) >= self.majority()

    def proven_at(self, evidence_at: Callable[[NodeId], float]) -> float:
        """Return the time at which this node was last in contact with a majority of the set.

        The result is infinity if this node is a majority by itself, and minus infinity without a majority.

        :param evidence_at: time of the newest evidence of contact with another node, or minus infinity.
        """
        needed = self.majority() - (self._own in self._known)
        if needed == 0:
            return math.inf
        times = sorted((evidence_at(node) for node in self._known if node != self._own), reverse=True)
        return times[needed - 1] if len(times) >= needed else -math.inf
