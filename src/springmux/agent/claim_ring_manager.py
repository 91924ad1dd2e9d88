"""Maintains the committed claim ring on the control leader: the nodes that may hold at-most-once claims."""

from __future__ import annotations

from springmux.control.commands import SetClaimRing
from springmux.coordination.claims.ring import HOLDERS_PER_KEY, ClaimRing, first_ring, next_ring
from springmux.coordination.identifiers import NodeId
from springmux.coordination.membership.view import MembershipView, NodeStatus
from springmux.coordination.state_machine import NEVER
from springmux.vocabulary.names import OrderId

FIRST_RING_WAIT_S = 1.0
"""Time for the nodes of a starting fleet to discover each other, so that most are in the first ring."""

FEW_DISKS_WAIT_S = 3.0
"""How long the first ring is delayed while fewer than three nodes with disks are known."""

CHECK_PERIOD_S = 0.5
"""Period of membership checks."""

CHANGE_PERIOD_S = 10.0
"""Minimum time between two rings. Nodes receive a ring within 2 s and then pull claims from its members, so
that a claim is known to the remaining members before another of its holders is removed."""

UNCONFIGURED_CHANGE_PERIOD_S = 0.5
"""The same while there is no configuration: without routes there are no claims that a change could lose. At
most one change can follow a first claim so soon: one in flight when the configuration is committed."""

GONE_AFTER_S = 600.0
"""Absence after which a node is removed from the ring, so that a restart or a partition never moves a holder
set."""

LEFT_AFTER_S = 60.0
"""The same for a node that left gracefully: one that isn't back by then was not merely restarted."""


class ClaimRingManager:
    """Proposes the next ring while this node leads. A new leader needs no state but the committed ring."""

    def __init__(self) -> None:
        self._due_at = NEVER
        self._leading_since = NEVER
        self._changed_at = NEVER
        self._absent_since: dict[NodeId, float] = {}

    def next_deadline(self) -> float:
        """Return when the next check is due."""
        return self._due_at

    def set_leading(self, leading: bool, now: float) -> None:
        """Start when this node becomes the leader; stop when it no longer leads.

        The previous leader may have just changed the ring, so the minimum time between rings starts again.
        """
        self._due_at = now + FIRST_RING_WAIT_S if leading else NEVER
        self._leading_since = now
        self._changed_at = now
        self._absent_since.clear()

    def step(
        self, ring: ClaimRing | None, view: MembershipView, now: float, configured: bool = True
    ) -> SetClaimRing | None:
        """Return the next change of the ring, if one is due.

        :param configured: whether a configuration is committed, so that there may be claims.
        """
        if now < self._due_at:
            return None
        self._due_at = now + CHECK_PERIOD_S
        if ring is None:
            return self._first_ring_command(view, now)
        absent_s = self._absent_s(ring, view, now)
        if now - self._changed_at < (CHANGE_PERIOD_S if configured else UNCONFIGURED_CHANGE_PERIOD_S):
            return None
        gone = frozenset(node for node, absent in absent_s.items() if absent >= GONE_AFTER_S)
        changed = next_ring(ring, view, gone, _departed_nodes(absent_s, view))
        if changed is None:
            return None
        self._changed_at = now
        return _ring_command(changed)

    def _first_ring_command(self, view: MembershipView, now: float) -> SetClaimRing | None:
        few = len(view.controllers()) < HOLDERS_PER_KEY
        if few and now < self._leading_since + FEW_DISKS_WAIT_S:
            return None
        self._changed_at = now
        return _ring_command(first_ring(view))

    def _absent_s(self, ring: ClaimRing, view: MembershipView, now: float) -> dict[NodeId, float]:
        present = {record.node for record in view.present()}
        absent = ring.nodes() - present
        self._absent_since = {node: self._absent_since.get(node, now) for node in absent}
        return {node: now - since for node, since in self._absent_since.items()}


def _departed_nodes(absent_s: dict[NodeId, float], view: MembershipView) -> frozenset[NodeId]:
    """Return the nodes that left gracefully and have been absent for ``LEFT_AFTER_S``."""
    records = [record for node in absent_s if (record := view.nodes.get(node)) is not None]
    return frozenset(
        record.node
        for record in records
        if record.status is NodeStatus.LEFT and absent_s[record.node] >= LEFT_AFTER_S
    )


def _ring_command(ring: ClaimRing) -> SetClaimRing:
    return SetClaimRing(order=OrderId(f"claim-ring/{ring.version}"), issued_by="system", ring=ring)
