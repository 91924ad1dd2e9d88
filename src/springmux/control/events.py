"""Events that several state machines of ``control`` handle."""

from __future__ import annotations

from springmux.coordination.identifiers import NodeId, Term
from springmux.coordination.state_machine import Event


class LeadershipKnown(Event, frozen=True):
    """The leader of the control log as far as this node knows.

    ``leading``: this node's own replica leads, confirmed by its barrier entry.
    """

    term: Term
    leader: NodeId | None
    leading: bool = False
