"""Preview of a plan before its promotion: schedule, exposure bound and warnings, or the refusal."""

from __future__ import annotations

import math

import msgspec

from springmux.rollout.judgement.judge import GUARD_BAD_ANSWERS_ONE_ENGINE
from springmux.rollout.plan import RolloutPlan
from springmux.rollout.planning.schedule import Schedule, ScheduleImpossibleError, can_carry, plan_schedule

FEW_CANARY_PROMPTS = 50
"""With fewer canary answers the judge often misses a fault in a tenth of the answers."""
ROLLBACK_START_BAD_ANSWERS = 50
"""Number of bad answers at which the guaranteed rollback time starts."""


class EngineCapacity(msgspec.Struct, frozen=True):
    """Concurrent requests of each version's ready engines, and the number of candidate engines."""

    candidate: int
    stable: int
    candidate_engines: int


class Preview(msgspec.Struct, frozen=True):
    """Expected course of a plan at a rate of ``prompts_per_s``.

    ``exposure_bound``: largest number of prompts that a bad candidate can get by the deadline.
    ``expected_prompts``: the service's prompts by the deadline. ``canary_prompts``: the candidate's prompts
    in the canary. ``worst_bad_prompts``: largest number of bad answers if every answer is bad from the start,
    by the judge's guard and ``rollback_ms``. ``refusal``: why the plan can't be promoted; empty if it can.
    """

    plan: RolloutPlan
    prompts_per_s: float
    schedule: Schedule | None
    exposure_bound: int
    expected_prompts: int
    canary_prompts: int
    worst_bad_prompts: int
    warnings: tuple[str, ...] = ()
    refusal: str = ""


def preview(plan: RolloutPlan, prompts_per_s: float, capacity: EngineCapacity | None = None) -> Preview:
    """Return the preview of ``plan``; if it can't keep its bounds, the refusal contains the arithmetic."""
    expected = math.floor(prompts_per_s * plan.by_s)
    bound = math.floor(plan.expose_share * expected) + plan.expose_allowance
    refusal = ""
    schedule: Schedule | None = None
    try:
        schedule = plan_schedule(plan, prompts_per_s)
    except ScheduleImpossibleError as error:
        refusal = str(error)
    if not refusal and capacity is not None:
        refusal = _capacity_refusal(plan, capacity)
    canary_prompts = schedule.steps[0].expected_spent if schedule else 0
    return Preview(
        plan=plan,
        prompts_per_s=prompts_per_s,
        schedule=schedule,
        exposure_bound=bound,
        expected_prompts=expected,
        canary_prompts=canary_prompts,
        worst_bad_prompts=min(bound, _bad_until_rollback(plan, prompts_per_s)),
        warnings=_warnings(prompts_per_s, schedule, capacity),
        refusal=refusal,
    )


def _capacity_refusal(plan: RolloutPlan, capacity: EngineCapacity) -> str:
    if can_carry(1.0, capacity.candidate, capacity.stable, plan.pacing.capacity_share):
        return ""
    return (
        f"the candidate's ready engines run {capacity.candidate} requests at once, the stable version's"
        f" {capacity.stable}: too few for the last step; load more candidate engines first"
    )


def _bad_until_rollback(plan: RolloutPlan, prompts_per_s: float) -> int:
    """Return the prompts until the guard must abort, plus those sent until the last node stops sending."""
    during_rollback = plan.canary_weight * prompts_per_s * plan.rollback_ms / 1000
    return max(GUARD_BAD_ANSWERS_ONE_ENGINE, ROLLBACK_START_BAD_ANSWERS) + math.ceil(during_rollback)


def _warnings(
    prompts_per_s: float, schedule: Schedule | None, capacity: EngineCapacity | None
) -> tuple[str, ...]:
    warnings: list[str] = []
    if prompts_per_s <= 0:
        warnings.append("the service has no traffic: the rollout will finish without evidence")
    elif schedule is not None:
        canary = schedule.steps[0]
        if canary.expected_spent < FEW_CANARY_PROMPTS:
            warnings.append(
                f"the canary gets about {canary.expected_spent} prompts in {canary.end_s:.0f} s,"
                f" fewer than {FEW_CANARY_PROMPTS}: small faults will be missed; give a longer by_s"
            )
        warnings += [
            f"the step to weight {step.weight:g} has credit for {step.funded:.0%} of its prompts;"
            " the others go to the stable version"
            for step in schedule.steps
            if step.funded < 1
        ]
    if capacity is not None and capacity.candidate_engines == 1:
        warnings.append("one candidate engine: its loss can't be told from a fault of the version")
    return tuple(warnings)
