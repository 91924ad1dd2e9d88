"""Messages of the rollout between nodes."""

from __future__ import annotations

from springmux.coordination.identifiers import NodeId, Term, ZoneName
from springmux.coordination.state_machine import PeerMessage
from springmux.rollout.plan import RolloutDecision
from springmux.rollout.token import RolloutEntry
from springmux.vocabulary.names import RolloutId, ServiceName


class RolloutToken(PeerMessage, frozen=True, tag="RolloutToken"):
    """The circulating token: one round of one ring.

    ``issuer`` launched the round and gets it back. ``(term, sequence)`` grows with every round; a node
    handles each at most once and ignores older ones (fencing). ``ring``: see
    :mod:`springmux.rollout.token_ring.rings`. ``itinerary``: the nodes still to be visited. ``zones``: names
    behind the accounts' zone indexes.
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
        """Order of rounds, oldest first."""
        return (self.term, self.sequence)


class RolloutTokenAck(PeerMessage, frozen=True, tag="RolloutTokenAck"):
    """The token of this round arrived; its sender need not skip the receiver."""

    term: Term
    sequence: int
    ring: int


class RolloutAbortNotice(PeerMessage, frozen=True, tag="RolloutAbortNotice"):
    """A holder's merged evidence calls for an abort; sent ahead of the token's own flag."""

    service: ServiceName
    rollout: RolloutId
    decision: RolloutDecision


MESSAGES = (RolloutToken, RolloutTokenAck, RolloutAbortNotice)
