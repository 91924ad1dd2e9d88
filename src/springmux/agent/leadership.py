"""The newest leader of the control log known to a node, from its own replica and from peers' envelopes."""

from __future__ import annotations

from springmux.control.events import LeadershipKnown
from springmux.coordination.identifiers import NodeId, Term


class LeadershipKnowledge:
    """Stores the newest (term, leader). A term has at most one leader, so the first one received is final."""

    def __init__(self, own: NodeId) -> None:
        self._own = own
        self.known = LeadershipKnown(Term(0), None, False)

    @property
    def leading(self) -> bool:
        """Whether this node's own replica is the leader and has committed its barrier entry."""
        return self.known.leading

    def observe(self, term: Term, leader: NodeId) -> bool:
        """Handle the leader named by a peer; return whether it is newer. Never makes this node the leader."""
        if not leader or leader == self._own:
            return False
        newer = term > self.known.term or (term == self.known.term and self.known.leader is None)
        if newer:
            self.known = LeadershipKnown(term, leader, False)
        return newer

    def observe_replica(self, term: Term, leader: NodeId | None, leading: bool) -> bool:
        """Handle the state of the node's own replica; return whether the known leadership changed."""
        if term < self.known.term:
            return False
        if term == self.known.term and leader is None and self.known.leader not in (None, self._own):
            return False
        changed = LeadershipKnown(term, leader, leading)
        if changed == self.known:
            return False
        self.known = changed
        return True
