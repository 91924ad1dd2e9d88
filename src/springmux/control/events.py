"""Events that the order coordinator and the delivery share."""

from __future__ import annotations

from springmux.coordination.identifiers import NodeId, Term
from springmux.coordination.state_machine import Event


class LeadershipKnown(Event, frozen=True):
    """Who leads the control log as far as this node knows.

    ``leading``: it is this node's own replica, confirmed by its barrier.
    """

    term: Term
    leader: NodeId | None
    leading: bool = False
