"""Claimant: requests a key from its three holders, needs two grants, and reports the outcome to all."""

from __future__ import annotations

import enum

from springmux.coordination.claims.decision import ClaimDecision, ClaimVerdict
from springmux.coordination.claims.events import ClaimEnded, ClaimResolved, ClaimSettings, ClaimWanted
from springmux.coordination.claims.messages import (
    ClaimAttempt,
    ClaimRecord,
    ClaimReply,
    ClaimRequest,
    ClaimSettle,
    ClaimSettleAck,
    ClaimState,
    HolderStatus,
)
from springmux.coordination.claims.ring import HolderSpan
from springmux.coordination.identifiers import NodeId
from springmux.coordination.state_machine import NEVER, Effect, Send


class ClaimPhase(enum.Enum):
    """Phase of a claim at the claimant."""

    REQUESTING = "requesting"
    GRANTED = "granted"
    SETTLING = "settling"


class Claim:
    """One attempt of this node. ``span``: the holders of the key at the time of the request."""

    def __init__(self, attempt: ClaimAttempt, key: str, span: HolderSpan, now: float) -> None:
        self.attempt = attempt
        self.key = key
        self.span = span
        self.phase = ClaimPhase.REQUESTING
        self.phase_started_at = now
        self.next_send_at = now
        self.grants: dict[NodeId, ClaimReply] = {}
        self.rejections: dict[NodeId, ClaimReply] = {}
        self.not_ready: set[NodeId] = set()
        self.settle: ClaimSettle | None = None
        self.unacknowledged: set[NodeId] = set()
        self.added_holders: set[NodeId] = set()
        self.settle_interval_s = 0.0

    def majority(self) -> int:
        """Return the number of grants that decide the claim."""
        return len(self.span.holders) // 2 + 1

    def has_majority(self) -> bool:
        """Return whether a majority of the grants is consistent: each contains the other's incarnation."""
        if self.majority() == 1:
            return bool(self.grants)
        return any(
            self._consistent(first, second)
            for first in self.grants
            for second in self.grants
            if first < second
        )

    def _consistent(self, first: NodeId, second: NodeId) -> bool:
        one, two = self.grants[first], self.grants[second]
        first_knows_second = (second, two.incarnation) in one.peer_incarnations
        return first_knows_second and (first, one.incarnation) in two.peer_incarnations


class Claimant:
    """All attempts of this node that are being requested, running or being settled."""

    def __init__(self, own: NodeId, incarnation: int, settings: ClaimSettings) -> None:
        self._own = own
        self._incarnation = incarnation
        self._settings = settings
        self._claims: dict[str, Claim] = {}
        self._deadline = NEVER

    @property
    def deadline(self) -> float:
        """Return when the next resend or timeout is due."""
        return self._deadline

    def request(self, event: ClaimWanted, span: HolderSpan | None, now: float) -> list[Effect]:
        """Request the key from its holders; while no ring is known it is unavailable immediately."""
        if span is None or not span.holders or event.correlation_id in self._claims:
            return [_resolved(event.correlation_id, ClaimVerdict.UNAVAILABLE)]
        attempt = ClaimAttempt(self._own, self._incarnation, event.correlation_id)
        claim = Claim(attempt, event.key, span, now)
        self._claims[event.correlation_id] = claim
        return self._send_request(claim, now)

    def handle_reply(self, sender: NodeId, message: ClaimReply, now: float) -> list[Effect]:
        """Count a holder's reply. Replies to decided attempts are ignored, except further grants."""
        claim = self._find(message.attempt)
        if claim is None or sender not in claim.span.holders:
            return []
        if claim.phase is ClaimPhase.GRANTED and message.status is HolderStatus.GRANTED:
            claim.grants[sender] = message
        if claim.phase is not ClaimPhase.REQUESTING:
            return []
        if message.status is HolderStatus.GRANTED:
            claim.grants[sender] = message
        elif message.status is HolderStatus.HELD:
            claim.rejections[sender] = message
        else:
            claim.not_ready.add(sender)
        return self._evaluate(claim, now)

    def end(self, event: ClaimEnded, now: float) -> list[Effect]:
        """Report the outcome of a granted claim to all its holders."""
        claim = self._claims.get(event.correlation_id)
        if claim is None or claim.phase is not ClaimPhase.GRANTED:
            return []
        answer = event.answer if len(event.answer) <= self._settings.max_answer_bytes else b""
        return self._begin_settle(claim, event.ran, answer, now)

    def abandon(self, correlation_id: str, now: float) -> list[Effect]:
        """Withdraw an undecided claim whose client disconnected; a granted one must be ended instead."""
        claim = self._claims.get(correlation_id)
        if claim is None or claim.phase is not ClaimPhase.REQUESTING:
            return []
        return self._begin_settle(claim, False, b"", now)

    def handle_settle_ack(self, sender: NodeId, message: ClaimSettleAck) -> None:
        """Record a holder's acknowledgement, and remove the claim after the last one."""
        claim = self._find(message.attempt)
        if claim is not None and claim.phase is ClaimPhase.SETTLING:
            claim.unacknowledged.discard(sender)
            if not claim.unacknowledged:
                del self._claims[claim.attempt.name]

    def add_holders(self, holders: dict[str, HolderSpan]) -> None:
        """Also report outcomes to holders added by a ring change, since they may have pulled the claim.

        :param holders: the current holders of each open key.
        """
        for claim in self._claims.values():
            span = holders.get(claim.key)
            if span is None:
                continue
            claim.added_holders.update(span.holders)
            if claim.phase is ClaimPhase.SETTLING:
                claim.unacknowledged.update(span.holders)

    def open_keys(self) -> set[str]:
        """Return the keys of all claims that aren't removed yet."""
        return {claim.key for claim in self._claims.values()}

    def own_records(self) -> list[ClaimRecord]:
        """Return this node's own granted or ended claims, for a holder that restores its records."""
        found = []
        for claim in self._claims.values():
            settle = claim.settle
            if claim.phase is ClaimPhase.GRANTED:
                found.append(ClaimRecord(claim.key, (claim.attempt,), ClaimState.RUNNING))
            elif settle is not None and settle.ran:
                found.append(ClaimRecord(claim.key, (claim.attempt,), ClaimState.FINISHED, settle.answer))
        return found

    def tick(self, now: float) -> list[Effect]:
        """Resend unanswered messages and time out undecided claims."""
        if now < self._deadline:
            return []
        self._deadline = NEVER
        effects: list[Effect] = []
        for claim in list(self._claims.values()):
            effects += self._tick_claim(claim, now)
        return effects

    def _tick_claim(self, claim: Claim, now: float) -> list[Effect]:
        if (
            claim.phase is ClaimPhase.REQUESTING
            and now >= claim.phase_started_at + self._settings.decision_timeout_s
        ):
            return self._reject(claim, now)
        if (
            claim.phase is ClaimPhase.SETTLING
            and now >= claim.phase_started_at + self._settings.settle_give_up_s
        ):
            del self._claims[claim.attempt.name]
            return []
        effects: list[Effect] = []
        if now >= claim.next_send_at:
            effects = self._send_settle(claim, now) if claim.settle else self._send_request(claim, now)
        else:
            self._schedule(claim)
        return effects

    def _evaluate(self, claim: Claim, now: float) -> list[Effect]:
        finished = next(
            (rejection for rejection in claim.rejections.values() if rejection.state is ClaimState.FINISHED),
            None,
        )
        if finished is not None:
            effects = self._begin_settle(claim, False, b"", now)
            return [_resolved(claim.attempt.name, ClaimVerdict.FINISHED, finished.answer), *effects]
        if claim.has_majority():
            claim.phase = ClaimPhase.GRANTED
            return [_resolved(claim.attempt.name, ClaimVerdict.GRANTED)]
        rejecting = len(set(claim.rejections) | claim.not_ready - set(claim.grants))
        if len(claim.span.holders) - rejecting < claim.majority():
            return self._reject(claim, now)
        return []

    def _reject(self, claim: Claim, now: float) -> list[Effect]:
        """Resolve a claim without a grant, and withdraw it. A key of another attempt counts as running."""
        verdict = ClaimVerdict.RUNNING if claim.rejections else ClaimVerdict.UNAVAILABLE
        effects = self._begin_settle(claim, False, b"", now)
        return [_resolved(claim.attempt.name, verdict), *effects]

    def _begin_settle(self, claim: Claim, ran: bool, answer: bytes, now: float) -> list[Effect]:
        claim.phase = ClaimPhase.SETTLING
        claim.phase_started_at = now
        claim.settle = ClaimSettle(claim.attempt, claim.key, ran, answer)
        claim.unacknowledged = claim.added_holders.union(claim.span.holders)
        claim.settle_interval_s = self._settings.settle_resend_s
        return self._send_settle(claim, now)

    def _send_request(self, claim: Claim, now: float) -> list[Effect]:
        is_requesting = claim.phase is ClaimPhase.REQUESTING
        interval_s = self._settings.resend_s if is_requesting else self._settings.settle_resend_s
        claim.next_send_at = now + interval_s
        request = ClaimRequest(claim.attempt, claim.key, claim.span.since, claim.span.until)
        pending = [holder for holder in claim.span.holders if holder not in claim.grants]
        self._schedule(claim)
        return [
            Send(holder, request) for holder in pending if not (is_requesting and holder in claim.rejections)
        ]

    def _send_settle(self, claim: Claim, now: float) -> list[Effect]:
        assert claim.settle is not None
        claim.next_send_at = now + claim.settle_interval_s
        claim.settle_interval_s = min(2.0 * claim.settle_interval_s, self._settings.settle_resend_limit_s)
        self._schedule(claim)
        return [Send(holder, claim.settle) for holder in sorted(claim.unacknowledged)]

    def _schedule(self, claim: Claim) -> None:
        deadline = claim.next_send_at
        if claim.phase is ClaimPhase.REQUESTING:
            deadline = min(deadline, claim.phase_started_at + self._settings.decision_timeout_s)
        self._deadline = min(self._deadline, deadline)

    def _find(self, attempt: ClaimAttempt) -> Claim | None:
        if attempt.node != self._own or attempt.incarnation != self._incarnation:
            return None
        return self._claims.get(attempt.name)


def _resolved(name: str, verdict: ClaimVerdict, answer: bytes = b"") -> ClaimResolved:
    return ClaimResolved(name, ClaimDecision(verdict, answer))
