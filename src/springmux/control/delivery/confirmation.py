"""Which revision a node must have reached before it is ready: the newest one acknowledged by a quorum.

A node that starts may hold an old state (from its disk) or none. It asks the leader, which has a
quorum confirm that it still leads (ReadIndex, Ongaro 2014, section 6.4) and answers with its own
revision. Many nodes that start together share one confirmation.
"""

from __future__ import annotations

import random

from springmux.control.delivery.effects import ConfirmLeaderRevision
from springmux.control.delivery.messages import RevisionConfirmed, RevisionRequest
from springmux.control.delivery.settings import DeliverySettings
from springmux.coordination.identifiers import LogIndex, NodeId, Revision
from springmux.coordination.state_machine import NEVER, Effect, Send

REQUEST_BITS = 48
"""Requests begin at a random number, so that an answer to an earlier process isn't taken."""


class RevisionRequester:
    """The asking side, in every node: at the start and after each cut, until it got an answer."""

    def __init__(self, rng: random.Random, settings: DeliverySettings) -> None:
        self._settings = settings
        self._first_request = rng.getrandbits(REQUEST_BITS)
        self._request = self._first_request
        self._ask_at = 0.0
        self.confirmed: Revision | None = None
        self.asking = True
        """Whether an answer to a question asked since the start, or since the last cut, is missing."""

    def next_deadline(self, leader: NodeId | None) -> float:
        """Return when to ask (again)."""
        return self._ask_at if self.asking and leader is not None else NEVER

    def ask_anew(self) -> None:
        """A cut is over: answers to earlier questions no longer count."""
        self.asking = True
        self._ask_at = 0.0
        self._first_request = self._request

    def leader_changed(self) -> None:
        """Ask the new leader at once."""
        self._ask_at = 0.0

    def tick(self, leader: NodeId | None, now: float) -> list[Effect]:
        """Ask the leader if it's time."""
        if leader is None or not self.asking or now < self._ask_at:
            return []
        self._ask_at = now + self._settings.ask_interval_s
        self._request += 1
        return [Send(leader, RevisionRequest(self._request))]

    def take(self, answer: RevisionConfirmed) -> bool:
        """Take an answer to a request since the start or the last cut; say whether it was one."""
        if not self._first_request < answer.request <= self._request:
            return False
        self.asking = False
        self.confirmed = max(self.confirmed or Revision(0), answer.revision)
        return True


class RevisionConfirmer:
    """The answering side, at the leader. One confirmation runs at a time.

    Who asks while one runs waits for the next: it must begin after the question.
    """

    def __init__(self, settings: DeliverySettings) -> None:
        self._settings = settings
        self._running: dict[NodeId, RevisionRequest] = {}
        self._next: dict[NodeId, RevisionRequest] = {}
        self._index: LogIndex | None = None
        self._ticket_number = 0
        self._give_up_at = NEVER

    def next_deadline(self) -> float:
        """Return when a confirmation that got no answer is begun anew."""
        return self._give_up_at

    def ask(self, sender: NodeId, question: RevisionRequest, now: float) -> list[Effect]:
        """Take a question; begin a confirmation if none runs."""
        self._next[sender] = question
        return [] if self._running else self._begin(now)

    def confirmed(
        self, correlation_id: str, index: LogIndex | None, applied: LogIndex, own: Revision, now: float
    ) -> list[Effect]:
        """Take the replica's answer; a refused confirmation is dropped, askers ask again."""
        if correlation_id != self._correlation_id():
            return []
        if index is None:
            self._running = {}
            return self._begin(now)
        self._index = index
        return self.applied(applied, own, now)

    def applied(self, applied: LogIndex, own: Revision, now: float) -> list[Effect]:
        """Answer once the state has everything up to the confirmed index."""
        if self._index is None or applied < self._index:
            return []
        answers: list[Effect] = [
            Send(sender, RevisionConfirmed(question.request, own))
            for sender, question in self._running.items()
        ]
        self._running = {}
        return answers + self._begin(now)

    def tick(self, now: float) -> list[Effect]:
        """Begin anew if the replica gave no answer."""
        if now < self._give_up_at:
            return []
        self._next = {**self._running, **self._next}
        return self._begin(now)

    def stop(self) -> None:
        """Forget all: this node doesn't lead any more."""
        self._running, self._next = {}, {}
        self._index = None
        self._give_up_at = NEVER

    def _begin(self, now: float) -> list[Effect]:
        self._running, self._next = self._next, {}
        self._index = None
        self._give_up_at = NEVER
        if not self._running:
            return []
        self._ticket_number += 1
        self._give_up_at = now + self._settings.ask_interval_s
        return [ConfirmLeaderRevision(self._correlation_id())]

    def _correlation_id(self) -> str:
        return f"revision/{self._ticket_number}"
