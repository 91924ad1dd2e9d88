"""Proves again and again that nothing newer than the own control state was acknowledged a moment ago.

The leader is confirmed by a quorum (ReadIndex, Ongaro 2014, section 6.4): all that was acknowledged before
it asked is in its log. Controllers ask the leader, other nodes ask controllers, and each answer says how old
the answering node's own proof is. The asker dates it back from the moment at which it *sent* its question,
so that neither the way of a message, nor a process that was frozen, nor clocks that differ can make a proof
younger than it is (Gray and Cheriton 1989, on leases and clock rates). A node that is cut off, frozen or
freshly started has no proof or an old one, and knows it.
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
"""Requests begin at a random number, so that an answer to an earlier process isn't taken."""
KEPT_QUESTIONS = 8
KEPT_PROOFS = 8
"""Proofs of states that aren't in force yet; they come twice a second, and a state within two seconds."""
ASK_ANYONE_EACH = 3
"""Every third question after one that brought no proof goes to any node: controllers may be cut off."""


class _Proof(msgspec.Struct, frozen=True):
    """All that was acknowledged before ``proven_at`` is in ``revision``."""

    revision: Revision
    proven_at: float


class _Question(msgspec.Struct, frozen=True):
    request: int
    sent_at: float


class FreshnessMonitor:
    """One node's lease on its control state being the newest.

    :param in_force: returns the revision in force at this node.
    :param replica_state: returns up to which log index the own replica's commands were taken over, and the
        revision that they lead to, which may come into force a little later.
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
        self._questions: deque[_Question] = deque(maxlen=KEPT_QUESTIONS)
        self._proofs: deque[_Proof] = deque(maxlen=KEPT_PROOFS)
        self._proven_at = -NEVER
        self._ask_at = NEVER if settings.lease_s is None else 0.0
        self._failed = 0
        self._members = MembershipView(own, {})
        self._leader: NodeId | None = None
        self._leading = False

    def current(self, now: float) -> bool:
        """Say whether the state in force may be relied on; always so where no lease is asked for."""
        lease_s = self._settings.lease_s
        return lease_s is None or now < self._newest_proof() + lease_s

    def proof_age_s(self, now: float) -> float:
        """Return how long ago nothing newer than the state in force had been acknowledged."""
        return now - self._newest_proof()

    def next_deadline(self) -> float:
        """Return when the next question is due."""
        return self._ask_at

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Take one event; see :class:`springmux.coordination.state_machine.StateMachine`."""
        if isinstance(event, Tick):
            return self._ask_by_rhythm(now) if now >= self._ask_at else []
        if isinstance(event, ProofWanted):
            return self._ask(self._leader, now) if not self._leading else []
        if isinstance(event, QuorumConfirmed):
            self._take_quorum(event)
        elif isinstance(event, MembershipChanged):
            self._members = event.view
        elif isinstance(event, LeadershipKnown):
            self._leader, self._leading = event.leader, event.leading
            if not self.current(now):
                self._ask_at = now
        elif isinstance(event, MessageReceived):
            return self._receive(event, now)
        return []

    def _receive(self, event: MessageReceived, now: float) -> list[Effect]:
        message = event.message
        if isinstance(message, FreshnessRequest):
            return [Send(event.sender, self._answer(message.request, now))]
        if isinstance(message, FreshnessReply):
            self._take_answer(message, now)
        return []

    def _answer(self, request: int, now: float) -> FreshnessReply:
        age_s = self.proof_age_s(now)
        if age_s >= self._settings.told_s:
            return FreshnessReply(request, UNPROVEN_MS, self._in_force())
        # Rounded up: a proof may seem older than it is, never younger.
        return FreshnessReply(request, int(age_s * 1000.0) + 1, self._in_force())

    def _take_answer(self, told: FreshnessReply, now: float) -> None:
        question = next((asked for asked in self._questions if asked.request == told.request), None)
        if question is None or told.age_ms < 0:
            return
        proven_at = question.sent_at - told.age_ms / 1000.0
        if proven_at <= self._newest_known():
            return
        self._proofs.append(_Proof(told.revision, proven_at))
        self._failed = 0
        if self._settings.lease_s is not None:
            self._ask_at = now + self._settings.ask_period_s

    def _take_quorum(self, event: QuorumConfirmed) -> None:
        """Take the own quorum's proof, unless entries before it aren't taken over yet: the next is near."""
        index, revision = self._replica_state()
        if index >= event.index:
            self._proofs.append(_Proof(revision, event.asked_at))

    def _ask_by_rhythm(self, now: float) -> list[Effect]:
        """Ask one node; another one if the last didn't answer with a newer proof."""
        if self._leading:
            self._ask_at = now + self._settings.ask_period_s
            return []
        self._ask_at = now + self._settings.answer_s
        asked = self._ask(self._target(now), now)
        self._failed += len(asked)
        return asked

    def _ask(self, target: NodeId | None, now: float) -> list[Effect]:
        if target is None:
            return []
        self._request += 1
        self._questions.append(_Question(self._request, now))
        return [Send(target, FreshnessRequest(self._request))]

    def _target(self, now: float) -> NodeId | None:
        """Return whom to ask: without a proof the leader, each second time; others may have none."""
        record = self._members.nodes.get(self._own)
        is_controller = record is not None and record.replica is not None
        in_need = is_controller or not self.current(now)
        if in_need and self._leader is not None and self._failed % 2 == 0:
            return self._leader
        others = [each.node for each in self._members.controllers() if each.node != self._own]
        if not others or (self._failed and self._failed % ASK_ANYONE_EACH == 0):
            others = [each.node for each in self._members.present() if each.node != self._own]
        return self._random.choice(others) if others else None

    def _newest_proof(self) -> float:
        """Return the time of the newest proof of a state that is in force."""
        in_force = self._in_force()
        while self._proofs and self._proofs[0].revision <= in_force:
            self._proven_at = max(self._proven_at, self._proofs.popleft().proven_at)
        return self._proven_at

    def _newest_known(self) -> float:
        return max([self._newest_proof(), *(proof.proven_at for proof in self._proofs)])
