"""Check that a bad version gets at most its share of the prompts, and none after its rollback time."""

from __future__ import annotations

from springmux.rollout.plan import RolloutPhase
from springmux.simulation.checkers.violation import Violation
from springmux.simulation.history import Dispatched, History
from springmux.simulation.run_context import RunContext

MIN_EXPOSE_ALLOWANCE = 20
"""Smallest number of prompts allowed beyond the share; the default of a rollout plan."""
BAD_RESPONSES_BEFORE_ROLLBACK = 50
"""The rollback time is measured from this bad response of the candidate on."""
ROLLBACK_S = 5.0
"""Seconds from that response within which the candidate must get its last prompt."""
ROLLBACK_SLACK_S = 0.25


class ExposureChecker:
    """Checks a bad candidate's share of the prompts at every dispatch of its rollout."""

    def __init__(self, history: History, context: RunContext) -> None:
        self._history = history
        self._context = context

    def violations(self) -> list[Violation]:
        """Return the first dispatch that exceeded the candidate's share, if there is one."""
        plan = self._context.plan
        if plan is None or not self._context.bad:
            return []
        allowance = max(plan.expose_allowance, MIN_EXPOSE_ALLOWANCE)
        prompts = sent = 0
        for dispatch in _rollout_dispatches(self._history, self._context):
            prompts += dispatch.attempt == 1
            sent += dispatch.version == plan.candidate
            if sent > 0.10 * prompts + allowance:
                text = f"{sent} of {prompts} prompts went to the bad version {plan.candidate}"
                return [Violation("exposure", dispatch.at, (dispatch.node,), text)]
        return []


class RollbackChecker:
    """Checks for how long a bad candidate still gets prompts after its fiftieth bad response."""

    def __init__(self, history: History, context: RunContext) -> None:
        self._history = history
        self._context = context

    def violations(self) -> list[Violation]:
        """Return one violation for each node that sent prompts to the candidate too late."""
        plan = self._context.plan
        if plan is None or not self._context.bad:
            return []
        bad_at = [bad.at for bad in self._history.bad_responses if bad.version == plan.candidate]
        if len(bad_at) < BAD_RESPONSES_BEFORE_ROLLBACK:
            return []
        fiftieth = sorted(bad_at)[BAD_RESPONSES_BEFORE_ROLLBACK - 1]
        limit = fiftieth + ROLLBACK_S + ROLLBACK_SLACK_S
        late = {
            dispatch.node: dispatch
            for dispatch in _rollout_dispatches(self._history, self._context)
            if dispatch.version == plan.candidate and dispatch.at > limit
        }
        return [
            Violation(
                "rollback time",
                dispatch.at,
                (node,),
                f"sent to {plan.candidate} {dispatch.at - fiftieth:.2f} s after its fiftieth bad response",
            )
            for node, dispatch in sorted(late.items())
        ]


def _rollout_dispatches(history: History, context: RunContext) -> list[Dispatched]:
    """Return the service's dispatches from the promotion to the end of the rollout.

    An aborted rollout has no end here, because its candidate must not get prompts again. A finished rollout
    cannot be rolled back (brief), so its version is no longer a candidate.
    """
    plan = context.plan
    assert plan is not None
    changes = [change for change in history.rollouts if change.service == plan.service]
    begins = min((change.at for change in changes), default=0.0)
    ends = min(
        (change.at for change in changes if change.phase is RolloutPhase.DONE), default=context.ended_at
    )
    return [
        dispatch
        for dispatch in history.dispatched
        if dispatch.service == plan.service and begins <= dispatch.at <= ends
    ]
