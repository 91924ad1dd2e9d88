"""Aborts that this node proposes until they are committed to the control state."""

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

ABORT_RETRY_S = 1.0
"""Interval at which an abort is proposed again until the record is terminal."""


class AbortRequests:
    """Aborts proposed by one node.

    :param leadership: returns the node's leadership, ``None`` while it isn't the leader.
    """

    def __init__(
        self, own: NodeId, registry: RolloutRegistry, leadership: Callable[[], Leadership | None]
    ) -> None:
        self._own = own
        self._registry = registry
        self._leadership = leadership
        self._due_at: dict[RolloutId, float] = {}

    def next_deadline(self) -> float:
        """Return when the next repeated proposal is due."""
        return min(self._due_at.values(), default=NEVER)

    def forget(self, rollout: RolloutId) -> None:
        """Stop proposing the abort of ``rollout``."""
        self._due_at.pop(rollout, None)

    def retry(self, now: float) -> list[Effect]:
        """Propose again the aborts that are due."""
        effects: list[Effect] = []
        for participant in self._registry.under_way():
            if self._due_at.get(participant.record.rollout, NEVER) <= now:
                effects += self.request(participant, now)
        return effects

    def after_visit(
        self,
        participant: Participant,
        token: RolloutToken,
        was_aborted: bool,
        known_aborted: bool,
        now: float,
    ) -> list[Effect]:
        """Request an abort that this visit caused; notify the issuer unless the token had the flag."""
        self._registry.refresh_default_choice(participant)
        if was_aborted or not participant.aborted:
            return []
        effects = self.request(participant, now)
        record, decision = participant.record, participant.decision
        if not known_aborted and decision is not None and token.issuer != self._own:
            notice = RolloutAbortNotice(record.service, record.rollout, decision)
            effects.append(Send(token.issuer, notice))
        return effects

    def apply_token_aborts(self, token: RolloutToken, now: float) -> list[Effect]:
        """Apply the abort flags of a token whose other content is outdated."""
        effects: list[Effect] = []
        for entry in token.entries:
            participant = self._registry.find(entry.service, entry.rollout)
            if participant is not None and entry.aborted and not participant.aborted:
                participant.abort(entry.decision)
                effects += self.request(participant, now)
        return effects

    def handle_notice(self, notice: RolloutAbortNotice, now: float) -> list[Effect]:
        """Handle the notice of an abort that another node decided."""
        participant = self._registry.find(notice.service, notice.rollout)
        if participant is None or participant.aborted:
            return []
        participant.abort(notice.decision)
        return self.request(participant, now)

    def request(self, participant: Participant, now: float) -> list[Effect]:
        """Propose the abort if this node is the leader or decided it; other nodes propose nothing."""
        record, decision = participant.record, participant.decision
        if participant.terminal or decision is None:
            return []
        self._registry.refresh_default_choice(participant)
        self._due_at[record.rollout] = now + ABORT_RETRY_S
        leadership = self._leadership()
        if leadership is not None:
            leadership.launch_now()
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
