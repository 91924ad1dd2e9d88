"""Check that a bad version gets at most its share of prompts, and none soon after its bad responses."""

from __future__ import annotations

from springmux.rollout.plan import RolloutPhase
from springmux.simulation.checkers.violation import Violation
from springmux.simulation.history import Dispatched, History
from springmux.simulation.run_context import RunContext

SMALL_ALLOWANCE = 20
"""Prompts allowed beyond the share, as in a plan's default."""
BAD_RESPONSES = 50
"""The rollback time counts from this bad response."""
ROLLBACK_S = 5.0
ROLLBACK_SLACK_S = 0.25


class ExposureChecker:
    """Checks the share of a bad candidate at every moment of its rollout."""

    def __init__(self, history: History, context: RunContext) -> None:
        self._history = history
        self._context = context

    def violations(self) -> list[Violation]:
        """Return the first moment at which the candidate had more than its share, if there is one."""
        plan = self._context.plan
        if plan is None or not self._context.bad:
            return []
        allowance = max(plan.expose_allowance, SMALL_ALLOWANCE)
        prompts = sent = 0
        for dispatch in _of_rollout(self._history, self._context):
            prompts += dispatch.attempt == 1
            sent += dispatch.version == plan.candidate
            if sent > 0.10 * prompts + allowance:
                text = f"{sent} of {prompts} prompts went to the bad version {plan.candidate}"
                return [Violation("exposure", dispatch.at, (dispatch.node,), text)]
        return []


class RollbackChecker:
    """Checks how long a bad candidate gets prompts after its fiftieth bad response."""

    def __init__(self, history: History, context: RunContext) -> None:
        self._history = history
        self._context = context

    def violations(self) -> list[Violation]:
        """Return the nodes that sent to the candidate too late, each once."""
        plan = self._context.plan
        if plan is None or not self._context.bad:
            return []
        bad_at = [bad.at for bad in self._history.bad_responses if bad.version == plan.candidate]
        if len(bad_at) < BAD_RESPONSES:
            return []
        fiftieth = sorted(bad_at)[BAD_RESPONSES - 1]
        limit = fiftieth + ROLLBACK_S + ROLLBACK_SLACK_S
        late = {
            dispatch.node: dispatch
            for dispatch in _of_rollout(self._history, self._context)
            if dispatch.version == plan.candidate and dispatch.at > limit
        }
        return [
            Violation(
                "rollback time",
                dispatch.at,
                (node,),
                f"sent to {plan.candidate} {dispatch.at - fiftieth:.2f} s after its fiftieth bad answer",
            )
            for node, dispatch in sorted(late.items())
        ]


def _of_rollout(history: History, context: RunContext) -> list[Dispatched]:
    """Return the service's dispatches from the promotion to the rollout's end.

    An aborted rollout has no end here: its candidate must stay without prompts. Once it is done there is no
    way back (brief), and the version is no candidate any more.
    """
    plan = context.plan
    assert plan is not None
    seen = [each for each in history.rollouts if each.service == plan.service]
    begins = min((each.at for each in seen), default=0.0)
    ends = min((each.at for each in seen if each.phase is RolloutPhase.DONE), default=context.ended_at)
    return [
        dispatch
        for dispatch in history.dispatched
        if dispatch.service == plan.service and begins <= dispatch.at <= ends
    ]
