"""Finds the revision that a node must reach before it is ready: the newest one acknowledged by a quorum.

A node that starts may have an old state (from its disk) or none. It sends a request to the leader, which
has a quorum confirm its leadership (ReadIndex, Ongaro 2014, section 6.4) and replies with its own revision.
Nodes that start at the same time share one confirmation.
"""

from __future__ import annotations

import random

from springmux.control.delivery.effects import ConfirmLeaderRevision
from springmux.control.delivery.messages import RevisionConfirmed, RevisionRequest
from springmux.control.delivery.settings import DeliverySettings
from springmux.coordination.identifiers import LogIndex, NodeId, Revision
from springmux.coordination.state_machine import NEVER, Effect, Send

REQUEST_BITS = 48
"""Bits of the first request number. It is random, so that replies to an earlier process aren't accepted."""


class RevisionRequester:
    """Requests the confirmed revision from the leader until a reply arrives. Every node has one.

    Requests are sent after the start, and again after each loss of contact.
    """

    def __init__(self, rng: random.Random, settings: DeliverySettings) -> None:
        self._settings = settings
        self._first_request = rng.getrandbits(REQUEST_BITS)
        self._request = self._first_request
        self._request_at = 0.0
        self.confirmed_revision: Revision | None = None
        self.awaiting_reply = True
        """Whether no reply has arrived since the start, or since contact was restored."""

    def next_deadline(self, leader: NodeId | None) -> float:
        """Return the monotonic time of the next request."""
        return self._request_at if self.awaiting_reply and leader is not None else NEVER

    def restart(self) -> None:
        """Start over after contact was restored; replies to earlier requests are no longer accepted."""
        self.awaiting_reply = True
        self._request_at = 0.0
        self._first_request = self._request

    def handle_leader_change(self) -> None:
        """Make the next request due immediately, since it goes to a new leader."""
        self._request_at = 0.0

    def tick(self, leader: NodeId | None, now: float) -> list[Effect]:
        """Send a request to the leader if one is due."""
        if leader is None or not self.awaiting_reply or now < self._request_at:
            return []
        self._request_at = now + self._settings.request_interval_s
        self._request += 1
        return [Send(leader, RevisionRequest(self._request))]

    def accept_reply(self, reply: RevisionConfirmed) -> bool:
        """Handle a reply; return whether its request was sent since the start or the last :meth:`restart`."""
        if not self._first_request < reply.request <= self._request:
            return False
        self.awaiting_reply = False
        self.confirmed_revision = max(self.confirmed_revision or Revision(0), reply.revision)
        return True


class RevisionConfirmer:
    """Replies to the requests at the leader. One confirmation runs at a time.

    A request that arrives during a confirmation waits for the next one, because only a confirmation that
    starts after the request covers it.
    """

    def __init__(self, settings: DeliverySettings) -> None:
        self._settings = settings
        self._running: dict[NodeId, RevisionRequest] = {}
        self._next: dict[NodeId, RevisionRequest] = {}
        self._index: LogIndex | None = None
        self._confirmation_number = 0
        self._timeout_at = NEVER

    def next_deadline(self) -> float:
        """Return the monotonic time at which the running confirmation times out."""
        return self._timeout_at

    def add_request(self, sender: NodeId, request: RevisionRequest, now: float) -> list[Effect]:
        """Queue a request; start a confirmation unless one is running."""
        self._next[sender] = request
        return [] if self._running else self._start(now)

    def handle_confirmation(
        self, correlation_id: str, index: LogIndex | None, applied: LogIndex, own: Revision, now: float
    ) -> list[Effect]:
        """Handle the replica's reply. If it refused, the requests are dropped and the requesters retry."""
        if correlation_id != self._correlation_id():
            return []
        if index is None:
            self._running = {}
            return self._start(now)
        self._index = index
        return self.handle_applied_index(applied, own, now)

    def handle_applied_index(self, applied: LogIndex, own: Revision, now: float) -> list[Effect]:
        """Reply to the requesters once the state has applied the confirmed index."""
        if self._index is None or applied < self._index:
            return []
        replies: list[Effect] = [
            Send(sender, RevisionConfirmed(request.request, own)) for sender, request in self._running.items()
        ]
        self._running = {}
        return replies + self._start(now)

    def tick(self, now: float) -> list[Effect]:
        """Start a new confirmation if the replica didn't reply in time."""
        if now < self._timeout_at:
            return []
        self._next = {**self._running, **self._next}
        return self._start(now)

    def stop(self) -> None:
        """Drop all requests, because this node no longer leads."""
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
