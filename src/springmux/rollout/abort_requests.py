"""Aborts in one node: which the control state lacks, and when each is wished again."""

from __future__ import annotations

from collections.abc import Callable

from springmux.coordination.identifiers import NodeId
from springmux.coordination.state_machine import NEVER, Effect, LogLevel, LogLine, Send
from springmux.rollout.effects import ProposeAbort
from springmux.rollout.leadership import Leadership
from springmux.rollout.messages import RolloutAbortNotice, RolloutToken
from springmux.rollout.participant import Participant
from springmux.rollout.registry import RolloutRegistry
from springmux.vocabulary.names import RolloutId

ABORT_REPEAT_S = 1.0
"""A wished abort is wished again after this until the record is terminal."""


class AbortRequests:
    """Aborts wished by one node. ``leadership`` returns the node's leadership while it has it."""

    def __init__(
        self, own: NodeId, registry: RolloutRegistry, leadership: Callable[[], Leadership | None]
    ) -> None:
        self._own = own
        self._registry = registry
        self._leadership = leadership
        self._due_at: dict[RolloutId, float] = {}

    def next_deadline(self) -> float:
        """Return when an abort is to be wished again."""
        return min(self._due_at.values(), default=NEVER)

    def forget(self, rollout: RolloutId) -> None:
        """Wish no more for the abort of ``rollout``."""
        self._due_at.pop(rollout, None)

    def repeat(self, now: float) -> list[Effect]:
        """Wish again for the aborts that are due."""
        effects: list[Effect] = []
        for participant in self._registry.under_way():
            if self._due_at.get(participant.record.rollout, NEVER) <= now:
                effects += self.want(participant, now)
        return effects

    def after_visit(
        self,
        participant: Participant,
        token: RolloutToken,
        was_aborted: bool,
        known_aborted: bool,
        now: float,
    ) -> list[Effect]:
        """Wish for an abort if this visit brought it, and tell the token's issuer unless it knows."""
        self._registry.refresh_rest(participant)
        if was_aborted or not participant.aborted:
            return []
        effects = self.want(participant, now)
        record, decision = participant.record, participant.decision
        if not known_aborted and decision is not None and token.issuer != self._own:
            notice = RolloutAbortNotice(record.service, record.rollout, decision)
            effects.append(Send(token.issuer, notice))
        return effects

    def heed(self, token: RolloutToken, now: float) -> list[Effect]:
        """Take abort flags out of a token whose other content is too old."""
        effects: list[Effect] = []
        for entry in token.entries:
            participant = self._registry.find(entry.service, entry.rollout)
            if participant is not None and entry.aborted and not participant.aborted:
                participant.abort(entry.decision)
                effects += self.want(participant, now)
        return effects

    def heed_notice(self, notice: RolloutAbortNotice, now: float) -> list[Effect]:
        """Take an abort that another node decided."""
        participant = self._registry.find(notice.service, notice.rollout)
        if participant is None or participant.aborted:
            return []
        participant.abort(notice.decision)
        return self.want(participant, now)

    def want(self, participant: Participant, now: float) -> list[Effect]:
        """Wish that the abort be committed: as the leader, or as the node that decided it."""
        record, decision = participant.record, participant.decision
        if participant.terminal or decision is None:
            return []
        self._registry.refresh_rest(participant)
        self._due_at[record.rollout] = now + ABORT_REPEAT_S
        leadership = self._leadership()
        if leadership is not None:
            leadership.hurry()
        elif decision.decided_by != self._own:
            del self._due_at[record.rollout]
            return []
        fields = {
            "service": record.service,
            "rollout": record.rollout,
            "decided_by": decision.decided_by,
            "reason": decision.reason,
            "test": decision.test,
        }
        return [
            ProposeAbort(record.service, record.rollout, decision),
            LogLine("rollout_abort_wanted", LogLevel.WARNING, fields),
        ]
