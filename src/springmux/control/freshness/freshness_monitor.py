"""Prove periodically that nothing newer than this node's control state was acknowledged a moment ago.

The leader is confirmed by a quorum (ReadIndex, Ongaro 2014, section 6.4): all that was acknowledged before
the confirmation began is in its log. Controllers ask the leader, other nodes ask controllers, and each reply
states the age of the replying node's own proof. The requester dates it back from the moment at which it
*sent* the request, so that neither network delay, nor a frozen process, nor clocks that differ can make a
proof younger than it is (Gray and Cheriton 1989, on leases and clock rates). A node that is partitioned,
frozen or freshly started has no proof or an old one, and knows it.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable

import msgspec

from springmux.control.delivery.events import MembershipChanged
from springmux.control.events import LeadershipKnown
from springmux.control.freshness.events import ProofWanted, QuorumConfirmed
from springmux.control.freshness.messages import FreshnessReply, FreshnessRequest
from springmux.control.freshness.settings import FreshnessSettings
from springmux.coordination.identifiers import LogIndex, NodeId, Revision
from springmux.coordination.membership.view import MembershipView
from springmux.coordination.state_machine import NEVER, Effect, Event, MessageReceived, Send, Tick

UNPROVEN_MS = -1
REQUEST_BITS = 48
"""Request numbers start at random, so that a reply to an earlier process isn't accepted."""
MAX_PENDING_REQUESTS = 8
MAX_PROOFS = 8
"""Proofs of states not yet in force: two a second, and a state comes into force within two seconds."""
ASK_ANY_NODE_EVERY = 3
"""Every third request in a row without a new proof goes to any node: controllers may be unreachable."""


class _Proof(msgspec.Struct, frozen=True):
    """Everything acknowledged before ``proven_at`` is in ``revision``."""

    revision: Revision
    proven_at: float


class _PendingRequest(msgspec.Struct, frozen=True):
    request: int
    sent_at: float


class FreshnessMonitor:
    """One node's lease on its control state being the newest.

    :param in_force: returns the revision in force at this node.
    :param replica_state: returns the log index up to which the own replica's commands were applied, and the
        resulting revision, which may come into force a little later.
    """

    def __init__(
        self,
        own: NodeId,
        rng: random.Random,
        settings: FreshnessSettings,
        in_force: Callable[[], Revision],
        replica_state: Callable[[], tuple[LogIndex, Revision]],
    ) -> None:
        self._own = own
        self._random = rng
        self._settings = settings
        self._in_force = in_force
        self._replica_state = replica_state
        self._request = rng.getrandbits(REQUEST_BITS)
        self._pending_requests: deque[_PendingRequest] = deque(maxlen=MAX_PENDING_REQUESTS)
        self._proofs: deque[_Proof] = deque(maxlen=MAX_PROOFS)
        self._proven_at = -NEVER
        self._request_at = NEVER if settings.lease_s is None else 0.0
        self._unanswered = 0
        self._members = MembershipView(own, {})
        self._leader: NodeId | None = None
        self._leading = False

    def current(self, now: float) -> bool:
        """Return whether the state in force may be relied on; always true without a lease."""
        lease_s = self._settings.lease_s
        return lease_s is None or now < self._newest_proof_at() + lease_s

    def proof_age_s(self, now: float) -> float:
        """Return how long ago nothing newer than the state in force had been acknowledged."""
        return now - self._newest_proof_at()

    def next_deadline(self) -> float:
        """Return when the next request is due."""
        return self._request_at

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle one event; return the effects to execute."""
        if isinstance(event, Tick):
            return self._request_periodically(now) if now >= self._request_at else []
        if isinstance(event, ProofWanted):
            return self._send_request(self._leader, now) if not self._leading else []
        if isinstance(event, QuorumConfirmed):
            self._on_quorum_confirmed(event)
        elif isinstance(event, MembershipChanged):
            self._members = event.view
        elif isinstance(event, LeadershipKnown):
            self._leader, self._leading = event.leader, event.leading
            if not self.current(now):
                self._request_at = now
        elif isinstance(event, MessageReceived):
            return self._receive(event, now)
        return []

    def _receive(self, event: MessageReceived, now: float) -> list[Effect]:
        message = event.message
        if isinstance(message, FreshnessRequest):
            return [Send(event.sender, self._reply_to(message.request, now))]
        if isinstance(message, FreshnessReply):
            self._accept_reply(message, now)
        return []

    def _reply_to(self, request: int, now: float) -> FreshnessReply:
        age_s = self.proof_age_s(now)
        if age_s >= self._settings.max_reported_age_s:
            return FreshnessReply(request, UNPROVEN_MS, self._in_force())
        # Rounded up: a proof may be reported older than it is, never younger.
        return FreshnessReply(request, int(age_s * 1000.0) + 1, self._in_force())

    def _accept_reply(self, reply: FreshnessReply, now: float) -> None:
        pending = next((sent for sent in self._pending_requests if sent.request == reply.request), None)
        if pending is None or reply.age_ms < 0:
            return
        proven_at = pending.sent_at - reply.age_ms / 1000.0
        if proven_at <= self._newest_known_at():
            return
        self._proofs.append(_Proof(reply.revision, proven_at))
        self._unanswered = 0
        if self._settings.lease_s is not None:
            self._request_at = now + self._settings.request_interval_s

    def _on_quorum_confirmed(self, event: QuorumConfirmed) -> None:
        """Record the own quorum's proof, unless earlier entries aren't applied yet; the next follows soon."""
        index, revision = self._replica_state()
        if index >= event.index:
            self._proofs.append(_Proof(revision, event.requested_at))

    def _request_periodically(self, now: float) -> list[Effect]:
        """Send a request to one node, and to another one if the last reply brought no newer proof."""
        if self._leading:
            self._request_at = now + self._settings.request_interval_s
            return []
        self._request_at = now + self._settings.reply_timeout_s
        sent = self._send_request(self._choose_target(now), now)
        self._unanswered += len(sent)
        return sent

    def _send_request(self, target: NodeId | None, now: float) -> list[Effect]:
        if target is None:
            return []
        self._request += 1
        self._pending_requests.append(_PendingRequest(self._request, now))
        return [Send(target, FreshnessRequest(self._request))]

    def _choose_target(self, now: float) -> NodeId | None:
        """Return the node to ask: every second time the leader, for controllers and nodes without a proof."""
        record = self._members.nodes.get(self._own)
        is_controller = record is not None and record.replica is not None
        needs_leader = is_controller or not self.current(now)
        if needs_leader and self._leader is not None and self._unanswered % 2 == 0:
            return self._leader
        others = [each.node for each in self._members.controllers() if each.node != self._own]
        if not others or (self._unanswered and self._unanswered % ASK_ANY_NODE_EVERY == 0):
            others = [each.node for each in self._members.present() if each.node != self._own]
        return self._random.choice(others) if others else None

    def _newest_proof_at(self) -> float:
        """Return the time of the newest proof of a state that is in force."""
        in_force = self._in_force()
        while self._proofs and self._proofs[0].revision <= in_force:
            self._proven_at = max(self._proven_at, self._proofs.popleft().proven_at)
        return self._proven_at

    def _newest_known_at(self) -> float:
        return max([self._newest_proof_at(), *(proof.proven_at for proof in self._proofs)])
