"""The claimant's side: asks three holders, needs two grants, and settles the outcome with all of them."""

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


class Phase(enum.Enum):
    """Life of a claim at its claimant."""

    ASKING = "asking"
    GRANTED = "granted"
    SETTLING = "settling"


class Claim:
    """One attempt of this node. Its holders are those of the moment it was wanted."""

    def __init__(self, attempt: ClaimAttempt, key: str, span: HolderSpan, now: float) -> None:
        self.attempt = attempt
        self.key = key
        self.span = span
        self.phase = Phase.ASKING
        self.since = now
        self.next_send = now
        self.grants: dict[NodeId, ClaimReply] = {}
        self.held: dict[NodeId, ClaimReply] = {}
        self.unready: set[NodeId] = set()
        self.settle: ClaimSettle | None = None
        self.unsettled: set[NodeId] = set()
        self.later_holders: set[NodeId] = set()
        self.settle_pace_s = 0.0

    def needed(self) -> int:
        """Return how many grants decide."""
        return len(self.span.holders) // 2 + 1

    def has_majority(self) -> bool:
        """Return whether enough grants stand together (each names the others' boots)."""
        if self.needed() == 1:
            return bool(self.grants)
        return any(
            self._consistent(first, second)
            for first in self.grants
            for second in self.grants
            if first < second
        )

    def _consistent(self, first: NodeId, second: NodeId) -> bool:
        one, two = self.grants[first], self.grants[second]
        return (second, two.boot) in one.peer_boots and (first, one.boot) in two.peer_boots


class Claimant:
    """All attempts of this node that are asked, running or being settled."""

    def __init__(self, own: NodeId, boot: int, settings: ClaimSettings) -> None:
        self._own = own
        self._boot = boot
        self._settings = settings
        self._claims: dict[str, Claim] = {}
        self._deadline = NEVER

    @property
    def deadline(self) -> float:
        """Return when the next resend or timeout is due."""
        return self._deadline

    def want(self, event: ClaimWanted, span: HolderSpan | None, now: float) -> list[Effect]:
        """Ask the holders; without a ring the answer is known at once."""
        if span is None or not span.holders or event.correlation_id in self._claims:
            return [_resolved(event.correlation_id, ClaimVerdict.UNAVAILABLE)]
        attempt = ClaimAttempt(self._own, self._boot, event.correlation_id)
        claim = Claim(attempt, event.key, span, now)
        self._claims[event.correlation_id] = claim
        return self._ask(claim, now)

    def reply(self, sender: NodeId, message: ClaimReply, now: float) -> list[Effect]:
        """Count a holder's answer; replies to attempts no longer asked are ignored."""
        claim = self._find(message.attempt)
        if claim is None or sender not in claim.span.holders:
            return []
        if claim.phase is Phase.GRANTED and message.status is HolderStatus.GRANTED:
            claim.grants[sender] = message
        if claim.phase is not Phase.ASKING:
            return []
        if message.status is HolderStatus.GRANTED:
            claim.grants[sender] = message
        elif message.status is HolderStatus.HELD:
            claim.held[sender] = message
        else:
            claim.unready.add(sender)
        return self._judge(claim, now)

    def end(self, event: ClaimEnded, now: float) -> list[Effect]:
        """Settle a granted claim with all its holders."""
        claim = self._claims.get(event.correlation_id)
        if claim is None or claim.phase is not Phase.GRANTED:
            return []
        answer = event.answer if len(event.answer) <= self._settings.max_answer_bytes else b""
        return self._begin_settle(claim, event.ran, answer, now)

    def abandon(self, name: str, now: float) -> list[Effect]:
        """Withdraw a claim that nobody waits for; a granted one must be ended instead."""
        claim = self._claims.get(name)
        if claim is None or claim.phase is not Phase.ASKING:
            return []
        return self._begin_settle(claim, False, b"", now)

    def settled(self, sender: NodeId, message: ClaimSettleAck) -> None:
        """Note a holder's acknowledgement; with the last one the claim is forgotten."""
        claim = self._find(message.attempt)
        if claim is not None and claim.phase is Phase.SETTLING:
            claim.unsettled.discard(sender)
            if not claim.unsettled:
                del self._claims[claim.attempt.name]

    def include(self, holders: dict[str, HolderSpan]) -> None:
        """Settle also with holders that a ring change brought in (they may have pulled the claim)."""
        for claim in self._claims.values():
            span = holders.get(claim.key)
            if span is None:
                continue
            claim.later_holders.update(span.holders)
            if claim.phase is Phase.SETTLING:
                claim.unsettled.update(span.holders)

    def open_keys(self) -> set[str]:
        """Return the keys of all open claims."""
        return {claim.key for claim in self._claims.values()}

    def records(self) -> list[ClaimRecord]:
        """Return this node's own granted or ended claims, for a holder that refills its memory."""
        found = []
        for claim in self._claims.values():
            settle = claim.settle
            if claim.phase is Phase.GRANTED:
                found.append(ClaimRecord(claim.key, (claim.attempt,), ClaimState.RUNNING))
            elif settle is not None and settle.ran:
                found.append(ClaimRecord(claim.key, (claim.attempt,), ClaimState.FINISHED, settle.answer))
        return found

    def tick(self, now: float) -> list[Effect]:
        """Resend what is unanswered and time out what stays undecided."""
        if now < self._deadline:
            return []
        self._deadline = NEVER
        effects: list[Effect] = []
        for claim in list(self._claims.values()):
            effects += self._tick_claim(claim, now)
        return effects

    def _tick_claim(self, claim: Claim, now: float) -> list[Effect]:
        if claim.phase is Phase.ASKING and now >= claim.since + self._settings.decision_timeout_s:
            return self._give_up(claim, now)
        if claim.phase is Phase.SETTLING and now >= claim.since + self._settings.settle_give_up_s:
            del self._claims[claim.attempt.name]
            return []
        effects: list[Effect] = []
        if now >= claim.next_send:
            effects = self._send_settle(claim, now) if claim.settle else self._ask(claim, now)
        else:
            self._wake(claim)
        return effects

    def _judge(self, claim: Claim, now: float) -> list[Effect]:
        finished = next((each for each in claim.held.values() if each.state is ClaimState.FINISHED), None)
        if finished is not None:
            effects = self._begin_settle(claim, False, b"", now)
            return [_resolved(claim.attempt.name, ClaimVerdict.FINISHED, finished.answer), *effects]
        if claim.has_majority():
            claim.phase = Phase.GRANTED
            return [_resolved(claim.attempt.name, ClaimVerdict.GRANTED)]
        refusing = len(set(claim.held) | claim.unready - set(claim.grants))
        if len(claim.span.holders) - refusing < claim.needed():
            return self._give_up(claim, now)
        return []

    def _give_up(self, claim: Claim, now: float) -> list[Effect]:
        """Refuse and withdraw. A key seen in another's hands is never called refused: it may be running."""
        verdict = ClaimVerdict.RUNNING if claim.held else ClaimVerdict.UNAVAILABLE
        effects = self._begin_settle(claim, False, b"", now)
        return [_resolved(claim.attempt.name, verdict), *effects]

    def _begin_settle(self, claim: Claim, ran: bool, answer: bytes, now: float) -> list[Effect]:
        claim.phase = Phase.SETTLING
        claim.since = now
        claim.settle = ClaimSettle(claim.attempt, claim.key, ran, answer)
        claim.unsettled = claim.later_holders.union(claim.span.holders)
        claim.settle_pace_s = self._settings.settle_resend_s
        return self._send_settle(claim, now)

    def _ask(self, claim: Claim, now: float) -> list[Effect]:
        asking = claim.phase is Phase.ASKING
        pace_s = self._settings.resend_s if asking else self._settings.settle_resend_s
        claim.next_send = now + pace_s
        request = ClaimRequest(claim.attempt, claim.key, claim.span.since, claim.span.until)
        silent = [holder for holder in claim.span.holders if holder not in claim.grants]
        self._wake(claim)
        return [Send(holder, request) for holder in silent if not (asking and holder in claim.held)]

    def _send_settle(self, claim: Claim, now: float) -> list[Effect]:
        assert claim.settle is not None
        claim.next_send = now + claim.settle_pace_s
        claim.settle_pace_s = min(2.0 * claim.settle_pace_s, self._settings.settle_resend_limit_s)
        self._wake(claim)
        return [Send(holder, claim.settle) for holder in sorted(claim.unsettled)]

    def _wake(self, claim: Claim) -> None:
        deadline = claim.next_send
        if claim.phase is Phase.ASKING:
            deadline = min(deadline, claim.since + self._settings.decision_timeout_s)
        self._deadline = min(self._deadline, deadline)

    def _find(self, attempt: ClaimAttempt) -> Claim | None:
        if attempt.node != self._own or attempt.boot != self._boot:
            return None
        return self._claims.get(attempt.name)


def _resolved(name: str, verdict: ClaimVerdict, answer: bytes = b"") -> ClaimResolved:
    return ClaimResolved(name, ClaimDecision(verdict, answer))
