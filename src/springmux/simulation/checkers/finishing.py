"""Check that a good rollout is done by its deadline, and that no request is rejected at its end."""

from __future__ import annotations

from springmux.coordination.identifiers import NodeId
from springmux.rollout.plan import RolloutPhase
from springmux.simulation.checkers.violation import Violation
from springmux.simulation.history import History, NodeSample, RolloutPhaseChanged
from springmux.simulation.run_context import RunContext
from springmux.vocabulary.errors import ErrorCode

DEADLINE_SLACK_S = 0.5
"""Tolerance of the rollout's deadline, in seconds."""


class RolloutDeadlineChecker:
    """Checks that a good candidate is stable by ``by_s``.

    The time in which no leader could commit entries, and the time in which the rollout was paused, is added
    to the deadline.
    """

    def __init__(self, history: History, context: RunContext) -> None:
        self._history = history
        self._context = context

    def violations(self) -> list[Violation]:
        """Return a violation if a good rollout was late or aborted."""
        plan = self._context.plan
        if plan is None or self._context.bad:
            return []
        changes = [change for change in self._history.rollouts if change.service == plan.service]
        begun = next((change.at for change in changes if change.phase is RolloutPhase.CANARY), None)
        if begun is None:
            return []
        aborted = next((change for change in changes if change.phase is RolloutPhase.ABORTED), None)
        if aborted is not None:
            text = f"the good version {plan.candidate} was aborted {aborted.at - begun:.1f} s after promotion"
            return [Violation("good rollout done", aborted.at, (aborted.node,), text)]
        return self._check_deadline(
            begun, next((change for change in changes if change.phase is RolloutPhase.DONE), None)
        )

    def _check_deadline(self, begun: float, done: RolloutPhaseChanged | None) -> list[Violation]:
        plan = self._context.plan
        assert plan is not None
        deadline = begun + plan.by_s + DEADLINE_SLACK_S + self.stalled_s(begun) + self._paused_s()
        if done is not None and done.at <= deadline:
            return []
        if done is None and self._context.ended_at <= deadline:
            return []
        when = f"{done.at - begun:.1f} s after promotion" if done else "never"
        text = f"the good version {plan.candidate} was done {when}, its deadline was {deadline - begun:.1f} s"
        return [Violation("good rollout done", deadline, (), text)]

    def stalled_s(self, since: float) -> float:
        """Return for how many seconds no leader committed its pending entries, according to the samples."""
        progressing: dict[float, bool] = {}
        before: dict[NodeId, NodeSample] = {}
        for sample in self._history.samples:
            if sample.at < since:
                continue
            progressing.setdefault(sample.at, False)
            if sample.leading:
                progressing[sample.at] |= not _stalled(before.get(sample.node), sample)
                before[sample.node] = sample
        times = sorted(progressing)
        return sum(times[i + 1] - at for i, at in enumerate(times[:-1]) if not progressing[at])

    def _paused_s(self) -> float:
        total = 0.0
        paused_at: float | None = None
        for change in self._history.rollouts:
            if change.phase is RolloutPhase.PAUSED and paused_at is None:
                paused_at = change.at
            elif change.phase in (RolloutPhase.CANARY, RolloutPhase.SHIFTING) and paused_at is not None:
                total += change.at - paused_at
                paused_at = None
        return total


class RolloutEndChecker:
    """Checks that no connected node lacks an engine after a rollout is done and the old engines leave."""

    def __init__(self, history: History, context: RunContext) -> None:
        self._history = history
        self._context = context

    def violations(self) -> list[Violation]:
        """Return the prompts rejected with ``no_engine`` after the old engines began to leave."""
        context = self._context
        plan = context.plan
        if plan is None or context.removed_at is None:
            return []
        violations = []
        for call in self._history.calls:
            if call.code is ErrorCode.NO_ENGINE and call.prompt and call.sent_at >= context.removed_at:
                text = f"{call.request} found no engine after the rollout was done"
                violations.append(Violation("end of a rollout", call.ended_at, (call.node,), text))
        return violations


def _stalled(before: NodeSample | None, sample: NodeSample) -> bool:
    """Return whether a leader's commit index did not advance despite pending entries."""
    if before is None or before.term != sample.term:
        return False
    return sample.commit_index == before.commit_index < before.last_index
