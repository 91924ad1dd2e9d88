"""Proves periodically that no control state newer than this node's had been acknowledged shortly before.

A quorum confirms the leader (ReadIndex, Ongaro 2014, section 6.4): everything acknowledged before the
confirmation began is in the leader's log. Controllers send requests to the leader, other nodes to
controllers, and each reply states the age of the replying node's own proof. The requester subtracts that age
from the time at which it *sent* the request. So neither network delay, nor a frozen process, nor differing
clocks can make a proof seem younger than it is (Gray and Cheriton 1989, on leases and clock rates). A node
that is partitioned, frozen or just started has an old proof or none, and detects that by the proof's age.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable

import msgspec

from springmux.control.delivery.events import MembershipChanged
from springmux.control.events import LeadershipKnown
from springmux.control.freshness.events import ProofRequested, QuorumConfirmed
from springmux.control.freshness.messages import FreshnessReply, FreshnessRequest
from springmux.control.freshness.settings import FreshnessSettings
from springmux.coordination.identifiers import LogIndex, NodeId, Revision
from springmux.coordination.membership.view import MembershipView
from springmux.coordination.state_machine import NEVER, Effect, Event, MessageReceived, Send, Tick

UNPROVEN_MS = -1
REQUEST_BITS = 48
"""Bits of the first request number. It is random, so that replies to an earlier process aren't accepted."""
MAX_PENDING_REQUESTS = 8
MAX_PROOFS = 8
"""Bounds the proofs of states not yet in force: two come per second, and a state is in force within two."""
ASK_ANY_NODE_EVERY = 3
"""After this many requests without a newer proof, one goes to any node: controllers may be unreachable."""


class _Proof(msgspec.Struct, frozen=True):
    """``revision`` includes everything acknowledged before ``proven_at`` (monotonic time)."""

    revision: Revision
    proven_at: float


class _PendingRequest(msgspec.Struct, frozen=True):
    request: int
    sent_at: float


class FreshnessMonitor:
    """State machine of one node's lease on its control state being the newest.

    :param in_force: returns the revision of the state that this node uses.
    :param replica_state: returns the log index up to which the commands of this node's replica were applied,
        and the resulting revision, which may come into force a little later.
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
        self._rng = rng
        self._settings = settings
        self._in_force = in_force
        self._replica_state = replica_state
        self._request = rng.getrandbits(REQUEST_BITS)
        self._pending_requests: deque[_PendingRequest] = deque(maxlen=MAX_PENDING_REQUESTS)
        self._proofs: deque[_Proof] = deque(maxlen=MAX_PROOFS)
        self._proven_at = -NEVER
        self._request_at = NEVER if settings.lease_s is None else 0.0
        self._requests_without_proof = 0
        self._members = MembershipView(own, {})
        self._leader: NodeId | None = None
        self._leading = False

    def is_current(self, now: float) -> bool:
        """Return whether the node may rely on the state in force. Without a lease it always may."""
        lease_s = self._settings.lease_s
        return lease_s is None or now < self._newest_proof_at() + lease_s

    def proof_age_s(self, now: float) -> float:
        """Return how many seconds ago the state in force was proven to include everything acknowledged."""
        return now - self._newest_proof_at()

    def next_deadline(self) -> float:
        """Return the monotonic time of the next request."""
        return self._request_at

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle one event and return the effects to execute."""
        if isinstance(event, Tick):
            return self._request_periodically(now) if now >= self._request_at else []
        if isinstance(event, ProofRequested):
            return self._send_request(self._leader, now) if not self._leading else []
        if isinstance(event, QuorumConfirmed):
            self._on_quorum_confirmed(event)
        elif isinstance(event, MembershipChanged):
            self._members = event.view
        elif isinstance(event, LeadershipKnown):
            self._leader, self._leading = event.leader, event.leading
            if not self.is_current(now):
                self._request_at = now
        elif isinstance(event, MessageReceived):
            return self._on_message(event, now)
        return []

    def _on_message(self, event: MessageReceived, now: float) -> list[Effect]:
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
        # Rounded up, since a proof may be reported as older than it is, but never as younger.
        return FreshnessReply(request, int(age_s * 1000.0) + 1, self._in_force())

    def _accept_reply(self, reply: FreshnessReply, now: float) -> None:
        pending = next((sent for sent in self._pending_requests if sent.request == reply.request), None)
        if pending is None or reply.age_ms < 0:
            return
        proven_at = pending.sent_at - reply.age_ms / 1000.0
        if proven_at <= self._newest_received_at():
            return
        self._proofs.append(_Proof(reply.revision, proven_at))
        self._requests_without_proof = 0
        if self._settings.lease_s is not None:
            self._request_at = now + self._settings.request_interval_s

    def _on_quorum_confirmed(self, event: QuorumConfirmed) -> None:
        """Record the proof of this node's quorum, unless entries up to its index aren't applied yet.

        A skipped proof does no harm, since the next one follows soon.
        """
        index, revision = self._replica_state()
        if index >= event.index:
            self._proofs.append(_Proof(revision, event.requested_at))

    def _request_periodically(self, now: float) -> list[Effect]:
        """Send a request; if no newer proof arrives within ``reply_timeout_s``, another node gets one."""
        if self._leading:
            self._request_at = now + self._settings.request_interval_s
            return []
        self._request_at = now + self._settings.reply_timeout_s
        sent = self._send_request(self._choose_target(now), now)
        self._requests_without_proof += len(sent)
        return sent

    def _send_request(self, target: NodeId | None, now: float) -> list[Effect]:
        if target is None:
            return []
        self._request += 1
        self._pending_requests.append(_PendingRequest(self._request, now))
        return [Send(target, FreshnessRequest(self._request))]

    def _choose_target(self, now: float) -> NodeId | None:
        """Return the node that gets the next request.

        Controllers, and nodes without a valid proof, send every second request to the leader.
        """
        record = self._members.nodes.get(self._own)
        is_controller = record is not None and record.replica is not None
        needs_leader = is_controller or not self.is_current(now)
        if needs_leader and self._leader is not None and self._requests_without_proof % 2 == 0:
            return self._leader
        others = [each.node for each in self._members.controllers() if each.node != self._own]
        if not others or (
            self._requests_without_proof and self._requests_without_proof % ASK_ANY_NODE_EVERY == 0
        ):
            others = [each.node for each in self._members.present() if each.node != self._own]
        return self._rng.choice(others) if others else None

    def _newest_proof_at(self) -> float:
        """Return the time of the newest proof whose state is in force."""
        in_force = self._in_force()
        while self._proofs and self._proofs[0].revision <= in_force:
            self._proven_at = max(self._proven_at, self._proofs.popleft().proven_at)
        return self._proven_at

    def _newest_received_at(self) -> float:
        return max([self._newest_proof_at(), *(proof.proven_at for proof in self._proofs)])
