"""Range checks of a rollout plan, which apply to every template."""

from __future__ import annotations

from springmux.rollout.plan import JudgeLimits, RolloutPlan
from springmux.vocabulary.errors import FieldError

MINIMUM_BY_S, MAXIMUM_BY_S = 10.0, 7 * 86_400.0
MAXIMUM_EXPOSE_SHARE = 0.10
"""A bad version is guaranteed never to get more than about a tenth of its service's prompts."""
MAXIMUM_ALLOWANCE = 100
MINIMUM_ROLLBACK_MS, MAXIMUM_ROLLBACK_MS = 3000, 5000
"""At most the guaranteed 5 s after the fiftieth bad answer. Below 3 s, the 2 s lease leaves too little time
to spread an abort."""
MAXIMUM_STEPS = 12
MAXIMUM_ERROR_RISE = 0.5
MAXIMUM_RATIO = 10.0
MAXIMUM_FALSE_ALARM = 0.01
"""At most one good rollout in a hundred may be aborted."""

_Check = tuple[str, bool, str]
"""A field's path, whether its value is valid, and the allowed values."""


def validate_plan(plan: RolloutPlan) -> tuple[FieldError, ...]:
    """Return an error for every field of ``plan`` that is out of range or inconsistent with the others."""
    checks = (
        ("service", bool(plan.service), "must not be empty"),
        ("candidate", bool(plan.candidate), "must not be empty"),
        ("by_s", MINIMUM_BY_S <= plan.by_s <= MAXIMUM_BY_S, f"{MINIMUM_BY_S:g} to {MAXIMUM_BY_S:g} s"),
        (
            "expose_share",
            0 < plan.expose_share <= MAXIMUM_EXPOSE_SHARE,
            f"above 0, at most {MAXIMUM_EXPOSE_SHARE:g}",
        ),
        (
            "expose_allowance",
            0 <= plan.expose_allowance <= MAXIMUM_ALLOWANCE,
            f"0 to {MAXIMUM_ALLOWANCE} prompts",
        ),
        (
            "rollback_ms",
            MINIMUM_ROLLBACK_MS <= plan.rollback_ms <= MAXIMUM_ROLLBACK_MS,
            f"{MINIMUM_ROLLBACK_MS} to {MAXIMUM_ROLLBACK_MS} ms",
        ),
        (
            "canary_weight",
            0 < plan.canary_weight < plan.expose_share,
            f"above 0 and below expose_share {plan.expose_share:g}",
        ),
        ("first_zones", len(set(plan.first_zones)) == len(plan.first_zones), "zones must not repeat"),
    )
    errors = [
        FieldError(path, f"out of range: {allowed}")
        for path, valid, allowed in (*checks, *_limit_checks(plan.limits))
        if not valid
    ]
    return (*errors, *_step_errors(plan))


def _limit_checks(limits: JudgeLimits) -> tuple[_Check, ...]:
    return (
        (
            "limits.error_rise",
            0 < limits.error_rise <= MAXIMUM_ERROR_RISE,
            f"above 0, at most {MAXIMUM_ERROR_RISE:g}",
        ),
        (
            "limits.first_token_ratio",
            1 < limits.first_token_ratio <= MAXIMUM_RATIO,
            f"above 1, at most {MAXIMUM_RATIO:g}",
        ),
        (
            "limits.token_gap_ratio",
            1 < limits.token_gap_ratio <= MAXIMUM_RATIO,
            f"above 1, at most {MAXIMUM_RATIO:g}",
        ),
        (
            "limits.false_alarm",
            0 < limits.false_alarm <= MAXIMUM_FALSE_ALARM,
            f"above 0, at most {MAXIMUM_FALSE_ALARM:g}",
        ),
    )


def _step_errors(plan: RolloutPlan) -> list[FieldError]:
    steps = plan.steps
    if not 1 <= len(steps) <= MAXIMUM_STEPS:
        return [FieldError("steps", f"give 1 to {MAXIMUM_STEPS} steps")]
    errors: list[FieldError] = []
    previous_weight = plan.canary_weight
    for index, step in enumerate(steps):
        if not previous_weight < step <= 1:
            errors.append(
                FieldError(f"steps.{index}", f"{step:g} must be above {previous_weight:g} and at most 1")
            )
        previous_weight = step
    if steps[-1] != 1.0:
        errors.append(FieldError(f"steps.{len(steps) - 1}", f"the last step must be 1, not {steps[-1]:g}"))
    return errors
