"""What the control leader's node does beside leading: keep the claim ring, have its quorum confirmed."""

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


class LeaderTasks:
    """Idle on every node but the leader's."""

    def __init__(self) -> None:
        self._ring_keeper = ClaimRingManager()
        self._beacon_at = NEVER
        self._asked: tuple[str, float] = ("", 0.0)

    def next_deadline(self) -> float:
        """Return when a chore is due."""
        return min(self._ring_keeper.next_deadline(), self._beacon_at)

    def lead(self, leading: bool, now: float) -> None:
        """This node became the leader, or no longer is."""
        self._ring_keeper.lead(leading, now)
        self._beacon_at = now if leading else NEVER

    def ring_change(self, control: ControlView, view: MembershipView, now: float) -> SetClaimRing | None:
        """Return the next change of the claim ring, if one is due."""
        configured = control.configuration.version > 0
        return self._ring_keeper.step(control.claim_ring, view, now, configured)

    def beacon_question(self, now: float) -> ConfirmRead | None:
        """Return the question whose answer proves the quorum, if it is time to ask."""
        if now < self._beacon_at:
            return None
        self._beacon_at = now + BEACON_PERIOD_S
        self._asked = (f"beacon/{now:.3f}", now)
        return ConfirmRead(self._asked[0])

    def is_beacon(self, correlation_id: str) -> bool:
        """Say whether a confirmed read was asked for the beacon."""
        return correlation_id.startswith("beacon/")

    def beacon(self, correlation_id: str, term: Term, now: float) -> LeaderBeacon | None:
        """Return the beacon for the newest question's answer; older answers are dropped."""
        asked, asked_at = self._asked
        return LeaderBeacon(term, now - asked_at) if correlation_id == asked else None
