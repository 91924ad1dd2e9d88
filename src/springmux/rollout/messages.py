"""Messages of the rollout between nodes."""

from __future__ import annotations

from springmux.coordination.identifiers import NodeId, Term, ZoneName
from springmux.coordination.state_machine import PeerMessage
from springmux.rollout.plan import RolloutDecision
from springmux.rollout.token import RolloutEntry
from springmux.vocabulary.names import RolloutId, ServiceName


class RolloutToken(PeerMessage, frozen=True, tag="RolloutToken"):
    """The circulating token: one round of one ring.

    ``issuer`` launched the round, and the token returns to it. ``(term, sequence)`` grows with every round; a
    node handles each round at most once and ignores older rounds (fencing). ``ring``: see
    :mod:`springmux.rollout.token_ring.rings`. ``itinerary``: the nodes still to be visited. ``zones``: zone
    names, in the order of the accounts' zone indexes.
    """

    issuer: NodeId
    term: Term
    sequence: int
    ring: int
    itinerary: tuple[NodeId, ...]
    zones: tuple[ZoneName, ...]
    entries: tuple[RolloutEntry, ...]

    @property
    def round_id(self) -> tuple[int, int]:
        """Term and sequence of the round; a newer round has a larger id."""
        return (self.term, self.sequence)


class RolloutTokenAck(PeerMessage, frozen=True, tag="RolloutTokenAck"):
    """Acknowledges the token of a round, so that its sender doesn't skip this node."""

    term: Term
    sequence: int
    ring: int


class RolloutAbortNotice(PeerMessage, frozen=True, tag="RolloutAbortNotice"):
    """Tells the issuer that a node decided an abort from the merged evidence, before the token returns."""

    service: ServiceName
    rollout: RolloutId
    decision: RolloutDecision


MESSAGES = (RolloutToken, RolloutTokenAck, RolloutAbortNotice)
