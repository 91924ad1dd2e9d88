"""Forwarding of a token from node to node: acknowledgements, skipped hops, and its return to the issuer."""

from __future__ import annotations

import msgspec

from springmux.coordination.identifiers import NodeId
from springmux.coordination.state_machine import NEVER, Effect, LogLevel, LogLine, Send
from springmux.rollout.messages import RolloutToken, RolloutTokenAck

HOP_TIMEOUT_S = 0.12
"""A hop not acknowledged within this time is skipped; it is several round trips and a third of a round."""
SKIPPED_NODE_BACKOFF_S = 0.6
"""A skipped node isn't tried again for this time, which is one or two rounds and well within the lease."""
RETURN_ATTEMPTS = 3
"""Attempts at the last hop, to the issuer, which reissues the token if all of them fail."""


class PendingHop(msgspec.Struct):
    """A forwarded token that has not been acknowledged yet."""

    token: RolloutToken
    to: NodeId
    deadline: float
    attempts: int = 1


class ForwardResult(msgspec.Struct, frozen=True):
    """Effects of forwarding, and the token if this node is its issuer and the round is complete."""

    effects: tuple[Effect, ...] = ()
    returned: RolloutToken | None = None


class TokenForwarder:
    """Forwards tokens. Each ring has at most one pending hop; that of a newer round replaces an older one."""

    def __init__(self, own: NodeId) -> None:
        self._own = own
        self._pending: dict[int, PendingHop] = {}
        self._avoid_until: dict[NodeId, float] = {}

    def next_deadline(self) -> float:
        """Return when the earliest pending hop times out."""
        return min((hop.deadline for hop in self._pending.values()), default=NEVER)

    def forward(self, token: RolloutToken, now: float) -> ForwardResult:
        """Send ``token`` to the next node of its itinerary that wasn't skipped recently, or to its issuer."""
        itinerary = token.itinerary
        while itinerary and self._avoid_until.get(itinerary[0], -NEVER) > now:
            itinerary = itinerary[1:]
        to = itinerary[0] if itinerary else token.issuer
        next_token = msgspec.structs.replace(token, itinerary=itinerary[1:])
        if to == self._own:
            self._pending.pop(token.ring, None)
            return ForwardResult(returned=next_token)
        self._pending[token.ring] = PendingHop(next_token, to, now + HOP_TIMEOUT_S)
        return ForwardResult(effects=(Send(to, next_token),))

    def acknowledged(self, sender: NodeId, ack: RolloutTokenAck) -> None:
        """Handle an acknowledgement; ignore a late one, or one of another hop."""
        hop = self._pending.get(ack.ring)
        if hop is not None and hop.to == sender and hop.token.round_id == (ack.term, ack.sequence):
            del self._pending[ack.ring]
            self._avoid_until.pop(sender, None)

    def expire(self, now: float) -> list[ForwardResult]:
        """Skip the hops that have timed out."""
        due = [hop for hop in self._pending.values() if hop.deadline <= now]
        return [self._skip(hop, now) for hop in due]

    def _skip(self, hop: PendingHop, now: float) -> ForwardResult:
        if hop.to == hop.token.issuer:
            return self._retry_return(hop, now)
        self._avoid_until[hop.to] = now + SKIPPED_NODE_BACKOFF_S
        skipped = LogLine(
            "rollout_token_hop_skipped",
            LogLevel.WARNING,
            {"to": hop.to, "term": hop.token.term, "sequence": hop.token.sequence},
        )
        forwarded = self.forward(hop.token, now)
        return ForwardResult(effects=(skipped, *forwarded.effects), returned=forwarded.returned)

    def _retry_return(self, hop: PendingHop, now: float) -> ForwardResult:
        if hop.attempts >= RETURN_ATTEMPTS:
            del self._pending[hop.token.ring]
            return ForwardResult()
        hop.attempts += 1
        hop.deadline = now + HOP_TIMEOUT_S
        return ForwardResult(effects=(Send(hop.to, hop.token),))
