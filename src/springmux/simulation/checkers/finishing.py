"""Check that a good rollout is done by its term, and that its end rejects no request."""

from __future__ import annotations

from springmux.coordination.identifiers import NodeId
from springmux.rollout.plan import RolloutPhase
from springmux.simulation.checkers.violation import Violation
from springmux.simulation.history import History, NodeSample, RolloutPhaseChanged
from springmux.simulation.run_context import RunContext
from springmux.vocabulary.errors import ErrorCode

TERM_SLACK_S = 0.5


class DoneByTermChecker:
    """A good candidate is stable by ``by_s``, plus the time in which no leader could commit anything."""

    def __init__(self, history: History, context: RunContext) -> None:
        self._history = history
        self._context = context

    def violations(self) -> list[Violation]:
        """Return a good rollout that was late or aborted."""
        plan = self._context.plan
        if plan is None or self._context.bad:
            return []
        seen = [each for each in self._history.rollouts if each.service == plan.service]
        begun = next((each.at for each in seen if each.phase is RolloutPhase.CANARY), None)
        if begun is None:
            return []
        aborted = next((each for each in seen if each.phase is RolloutPhase.ABORTED), None)
        if aborted is not None:
            text = f"the good version {plan.candidate} was aborted {aborted.at - begun:.1f} s after promotion"
            return [Violation("good rollout done", aborted.at, (aborted.node,), text)]
        return self._late(begun, next((each for each in seen if each.phase is RolloutPhase.DONE), None))

    def _late(self, begun: float, done: RolloutPhaseChanged | None) -> list[Violation]:
        plan = self._context.plan
        assert plan is not None
        term = begun + plan.by_s + TERM_SLACK_S + self.stalled_s(begun) + self._paused_s()
        if done is not None and done.at <= term:
            return []
        if done is None and self._context.ended_at <= term:
            return []
        when = f"{done.at - begun:.1f} s after promotion" if done else "never"
        text = f"the good version {plan.candidate} was done {when}, its term was {term - begun:.1f} s"
        return [Violation("good rollout done", term, (), text)]

    def stalled_s(self, since: float) -> float:
        """Return how long no node led, or the one that did committed nothing that it had to, by samples."""
        works: dict[float, bool] = {}
        before: dict[NodeId, NodeSample] = {}
        for sample in self._history.samples:
            if sample.at < since:
                continue
            works.setdefault(sample.at, False)
            if sample.leading:
                works[sample.at] |= not _stalled(before.get(sample.node), sample)
                before[sample.node] = sample
        times = sorted(works)
        return sum(times[i + 1] - at for i, at in enumerate(times[:-1]) if not works[at])

    def _paused_s(self) -> float:
        total = 0.0
        paused_at: float | None = None
        for seen in self._history.rollouts:
            if seen.phase is RolloutPhase.PAUSED and paused_at is None:
                paused_at = seen.at
            elif seen.phase in (RolloutPhase.CANARY, RolloutPhase.SHIFTING) and paused_at is not None:
                total += seen.at - paused_at
                paused_at = None
        return total


class EndTrapsChecker:
    """Once a rollout is done and the old engines leave, no connected node is left without an engine."""

    def __init__(self, history: History, context: RunContext) -> None:
        self._history = history
        self._context = context

    def violations(self) -> list[Violation]:
        """Return refusals for want of an engine, and prompts to the old version, after the end."""
        context = self._context
        plan = context.plan
        if plan is None or context.removed_at is None:
            return []
        found = []
        for call in self._history.calls:
            if call.code is ErrorCode.NO_ENGINE and call.prompt and call.sent_at >= context.removed_at:
                text = f"{call.request} found no engine after the rollout was done"
                found.append(Violation("end of a rollout", call.ended_at, (call.node,), text))
        return found


def _stalled(before: NodeSample | None, sample: NodeSample) -> bool:
    """Return whether a leader's commit index did not advance despite pending entries."""
    if before is None or before.term != sample.term:
        return False
    return sample.commit_index == before.commit_index < before.last_index
