"""Periodic tasks of the leader's node: maintain the claim ring, and have a quorum confirm the leadership."""

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
"""Period at which a leader has a quorum confirm its leadership for the contact rule (``ContactSettings``)."""


class BeaconReadId(str):
    """Correlation id of a read that is requested for the leader beacon; never sent to other nodes."""

    __slots__ = ()


class LeaderTasks:
    """Schedules the tasks of the leader; does nothing on other nodes."""

    def __init__(self) -> None:
        self._ring_manager = ClaimRingManager()
        self._beacon_at = NEVER
        self._read_id = BeaconReadId()
        self._read_requested_at = 0.0

    def next_deadline(self) -> float:
        """Return when the next task is due."""
        return min(self._ring_manager.next_deadline(), self._beacon_at)

    def set_leading(self, leading: bool, now: float) -> None:
        """Start the tasks when this node becomes the leader; stop them when it no longer leads."""
        self._ring_manager.set_leading(leading, now)
        self._beacon_at = now if leading else NEVER

    def ring_change(self, control: ControlView, view: MembershipView, now: float) -> SetClaimRing | None:
        """Return the next change of the claim ring, if one is due."""
        configured = control.configuration.version > 0
        return self._ring_manager.step(control.claim_ring, view, now, configured)

    def beacon_read(self, now: float) -> ConfirmRead | None:
        """Return a read request if one is due; its confirmation proves that a quorum follows this leader."""
        if now < self._beacon_at:
            return None
        self._beacon_at = now + BEACON_PERIOD_S
        self._read_id = BeaconReadId(f"beacon/{now:.3f}")
        self._read_requested_at = now
        return ConfirmRead(self._read_id)

    def beacon(self, read_id: BeaconReadId, term: Term, now: float) -> LeaderBeacon | None:
        """Return the beacon for a confirmed read; ``None`` if a newer read has been requested."""
        if read_id != self._read_id:
            return None
        return LeaderBeacon(term, now - self._read_requested_at)
