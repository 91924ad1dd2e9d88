"""Periodic tasks of the leader's node: maintain the claim ring, have a quorum confirm its leadership."""

from __future__ import annotations

from springmux.agent.claim_ring_manager import ClaimRingManager
from springmux.control.commands import SetClaimRing
from springmux.control.view import ControlView
from springmux.coordination.consensus.effects import ConfirmRead
from springmux.coordination.identifiers import Term
from springmux.coordination.membership.events import LeaderBeacon
from springmux.coordination.membership.view import MembershipView
from springmux.coordination.state_machine import NEVER

BEACON_PERIOD_S = 0.4
"""Pace at which a leader has a quorum confirm it for the contact rule (``ContactSettings``)."""


class BeaconReadId(str):
    """Correlation id of a read point requested for the beacon; never leaves the node."""

    __slots__ = ()


class LeaderTasks:
    """Idle on every node but the leader's."""

    def __init__(self) -> None:
        self._ring_manager = ClaimRingManager()
        self._beacon_at = NEVER
        self._read_id = BeaconReadId()
        self._read_requested_at = 0.0

    def next_deadline(self) -> float:
        """Return when a task is due."""
        return min(self._ring_manager.next_deadline(), self._beacon_at)

    def lead(self, leading: bool, now: float) -> None:
        """Start or stop the tasks as this node becomes the leader or no longer is."""
        self._ring_manager.lead(leading, now)
        self._beacon_at = now if leading else NEVER

    def ring_change(self, control: ControlView, view: MembershipView, now: float) -> SetClaimRing | None:
        """Return the next change of the claim ring, if one is due."""
        configured = control.configuration.version > 0
        return self._ring_manager.step(control.claim_ring, view, now, configured)

    def beacon_read(self, now: float) -> ConfirmRead | None:
        """Return the read request whose confirmation proves the quorum, if it is due."""
        if now < self._beacon_at:
            return None
        self._beacon_at = now + BEACON_PERIOD_S
        self._read_id = BeaconReadId(f"beacon/{now:.3f}")
        self._read_requested_at = now
        return ConfirmRead(self._read_id)

    def beacon(self, read_id: BeaconReadId, term: Term, now: float) -> LeaderBeacon | None:
        """Return the beacon of the newest confirmed read; ``None`` for older ones."""
        if read_id != self._read_id:
            return None
        return LeaderBeacon(term, now - self._read_requested_at)
