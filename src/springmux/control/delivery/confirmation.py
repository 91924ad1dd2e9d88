"""The revision that a node must reach before it is ready: the newest one acknowledged by a quorum.

A node that starts may have an old state (from its disk) or none. It sends a request to the leader, which
has a quorum confirm its leadership (ReadIndex, Ongaro 2014, section 6.4) and replies with its own revision.
Many nodes that start together share one confirmation.
"""

from __future__ import annotations

import random

from springmux.control.delivery.effects import ConfirmLeaderRevision
from springmux.control.delivery.messages import RevisionConfirmed, RevisionRequest
from springmux.control.delivery.settings import DeliverySettings
from springmux.coordination.identifiers import LogIndex, NodeId, Revision
from springmux.coordination.state_machine import NEVER, Effect, Send

REQUEST_BITS = 48
"""Request numbers start at random, so that a reply to an earlier process isn't accepted."""


class RevisionRequester:
    """Request the revision in every node: at start and after each loss of contact, until a reply comes."""

    def __init__(self, rng: random.Random, settings: DeliverySettings) -> None:
        self._settings = settings
        self._first_request = rng.getrandbits(REQUEST_BITS)
        self._request = self._first_request
        self._request_at = 0.0
        self.confirmed: Revision | None = None
        self.awaiting_reply = True
        """Whether the reply since the start, or since contact was restored, is outstanding."""

    def next_deadline(self, leader: NodeId | None) -> float:
        """Return when the next request is due."""
        return self._request_at if self.awaiting_reply and leader is not None else NEVER

    def restart(self) -> None:
        """Request anew once contact is restored; replies to earlier requests no longer count."""
        self.awaiting_reply = True
        self._request_at = 0.0
        self._first_request = self._request

    def leader_changed(self) -> None:
        """Make a request to the new leader due at once."""
        self._request_at = 0.0

    def tick(self, leader: NodeId | None, now: float) -> list[Effect]:
        """Send a request to the leader if one is due."""
        if leader is None or not self.awaiting_reply or now < self._request_at:
            return []
        self._request_at = now + self._settings.request_interval_s
        self._request += 1
        return [Send(leader, RevisionRequest(self._request))]

    def accept(self, reply: RevisionConfirmed) -> bool:
        """Handle a reply; return whether its request was sent since the start or :meth:`restart`."""
        if not self._first_request < reply.request <= self._request:
            return False
        self.awaiting_reply = False
        self.confirmed = max(self.confirmed or Revision(0), reply.revision)
        return True


class RevisionConfirmer:
    """Answer the requests, at the leader. One confirmation runs at a time.

    A request that arrives while one runs waits for the next: the confirmation must start after it.
    """

    def __init__(self, settings: DeliverySettings) -> None:
        self._settings = settings
        self._running: dict[NodeId, RevisionRequest] = {}
        self._next: dict[NodeId, RevisionRequest] = {}
        self._index: LogIndex | None = None
        self._confirmation_number = 0
        self._timeout_at = NEVER

    def next_deadline(self) -> float:
        """Return when an unanswered confirmation times out."""
        return self._timeout_at

    def request(self, sender: NodeId, request: RevisionRequest, now: float) -> list[Effect]:
        """Queue a request; start a confirmation if none runs."""
        self._next[sender] = request
        return [] if self._running else self._start(now)

    def confirmed(
        self, correlation_id: str, index: LogIndex | None, applied: LogIndex, own: Revision, now: float
    ) -> list[Effect]:
        """Handle the replica's reply. A refused confirmation is dropped; the requesters retry."""
        if correlation_id != self._correlation_id():
            return []
        if index is None:
            self._running = {}
            return self._start(now)
        self._index = index
        return self.applied(applied, own, now)

    def applied(self, applied: LogIndex, own: Revision, now: float) -> list[Effect]:
        """Reply to the requesters once the state has applied the confirmed index."""
        if self._index is None or applied < self._index:
            return []
        replies: list[Effect] = [
            Send(sender, RevisionConfirmed(request.request, own)) for sender, request in self._running.items()
        ]
        self._running = {}
        return replies + self._start(now)

    def tick(self, now: float) -> list[Effect]:
        """Start over if the replica gave no reply in time."""
        if now < self._timeout_at:
            return []
        self._next = {**self._running, **self._next}
        return self._start(now)

    def stop(self) -> None:
        """Drop all requests: this node no longer leads."""
        self._running, self._next = {}, {}
        self._index = None
        self._timeout_at = NEVER

    def _start(self, now: float) -> list[Effect]:
        self._running, self._next = self._next, {}
        self._index = None
        self._timeout_at = NEVER
        if not self._running:
            return []
        self._confirmation_number += 1
        self._timeout_at = now + self._settings.request_interval_s
        return [ConfirmLeaderRevision(self._correlation_id())]

    def _correlation_id(self) -> str:
        return f"revision/{self._confirmation_number}"
