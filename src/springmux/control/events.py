"""Events that several of the state machines in ``control`` handle."""

from __future__ import annotations

from springmux.coordination.identifiers import NodeId, Term
from springmux.coordination.state_machine import Event


class LeadershipKnown(Event, frozen=True):
    """The leader of the control log and its term, as far as this node knows.

    ``leading``: this node's own replica leads, and has committed the barrier entry of its term.
    """

    term: Term
    leader: NodeId | None
    leading: bool = False
