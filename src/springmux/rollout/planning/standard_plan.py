"""The plan of an order that specifies only service, candidate and deadline.

Deadlines of :data:`LONG_DEADLINE_S` and more have the ordinary steps. With a shorter deadline the shares of
``by_s`` would give steps that are shorter than a round of the token, so a short rollout has a canary and
three steps: comparison, load and full weight (docs/ROLLOUT.md, "Short terms").
"""

from __future__ import annotations

import msgspec

from springmux.rollout.ledger import EXPOSE_TARGET, accruing_share, allowance_part
from springmux.rollout.plan import Pacing, RolloutPlan
from springmux.rollout.planning.schedule import reserve_of
from springmux.rollout.reported_state import DONE_SETTLE_S
from springmux.vocabulary.names import ServiceName, VersionName

LONG_DEADLINE_S = 30.0
"""From this deadline on, each ordinary step takes two rounds or more."""
SHORT_CANARY_WEIGHT, SHORT_COMPARISON_WEIGHT = 0.045, 0.10
"""Weights if the service's rate is unknown; that of the canary is below the 8% that accrue as credit."""
LOAD_STEP_WEIGHT = 0.25
"""Smallest weight of the load step; with few stable engines it is larger (:mod:`.load_step`)."""
CANARY_PART_OF_SHARE = 0.6
"""Largest canary weight as a part of the exposure share, which limits it if the share is small: 0.06 of the
usual 0.10."""
CANARY_PART_OF_CREDIT, COMPARISON_PART_OF_CREDIT = 0.3, 0.25
"""Parts of the credit before *done* that the canary and the comparison use. The rest is for the load step:
detecting a fault that occurs only under load takes about thirty prompts on one engine in a second or two."""
MAX_COMPARISON_WEIGHT = 0.2
"""Largest weight of the comparison step, which must be below that of the load step."""
MIN_WEIGHT_RISE = 1.25
"""Smallest factor by which the weight rises from the canary to the comparison."""
AFTER_DONE_S = 1.3
"""Time from the commit of *done* to the deadline, in which a version that turns out bad gets all prompts.
They count towards its exposure too, so a short rollout reserves credit for them."""
MIN_SHARE_PART = 0.25
"""Smallest part of the exposure share that may be spent before *done*."""
ALLOWANCE_BEFORE_DONE = 0.95
"""Part of the allowance that is granted before *done*. The rest covers the two rounds of the canary that a
quick handover hides, and a late end."""
COMPARISON_TIME_SHARE, LOAD_TIME_SHARE, MINIMUM_STEP_S = 0.15, 0.12, 0.8
"""Parts of ``by_s`` for the comparison step, in which latencies are compared once more, and for the load
step; and the shortest step in seconds."""
LAST_STEP_S = 0.8
"""Two rounds of the token."""
RESERVE_SHARE, MINIMUM_RESERVE_S = 0.05, 0.9
"""Time from the last step's end to the latest finish, as a share of ``by_s`` and at least in seconds. It
allows for waiting one or two rounds, and for the commit."""
MIN_CAPACITY_SHARE = 0.25
"""Share of the stable capacity that is enough; candidate engines start after the order, few at first."""


def plan_for(
    service: ServiceName,
    candidate: VersionName,
    by_s: float,
    expose_share: float,
    expose_allowance: int,
    rollback_ms: int,
    prompts_per_s: float = 0.0,
) -> RolloutPlan:
    """Return the plan for a deadline of ``by_s`` seconds; any positive deadline gives a plan.

    :param prompts_per_s: the service's prompt rate as the ordering node estimates it; 0 if it is unknown.
        The canary of a low-traffic service is larger and that of a high-traffic one smaller, so that enough
        credit is left for the load step.

    A deadline under 10 s is too short for a leader change; then the rollout finishes late rather than without
    evidence.
    """
    long = by_s >= LONG_DEADLINE_S
    plan = RolloutPlan(
        service=service,
        candidate=candidate,
        by_s=by_s,
        expose_share=expose_share,
        expose_allowance=expose_allowance,
        rollback_ms=rollback_ms,
        canary_weight=min(RolloutPlan(service, candidate).canary_weight, CANARY_PART_OF_SHARE * expose_share),
        pacing=Pacing(
            done_delay_s=DONE_SETTLE_S,
            last_step_paid=0.0,
            capacity_share=MIN_CAPACITY_SHARE,
            needs_evidence=True,
        ),
    )
    return plan if long else _short_plan(plan, prompts_per_s)


def _short_weights(plan: RolloutPlan, prompts_per_s: float) -> tuple[float, float]:
    """Return the weights of a short rollout's canary and comparison; ``plan`` must have its final pacing."""
    if prompts_per_s <= 0.0:
        return min(SHORT_CANARY_WEIGHT, CANARY_PART_OF_SHARE * plan.expose_share), SHORT_COMPARISON_WEIGHT
    done_s = plan.by_s - reserve_of(plan)
    comparison_s = plan.pacing.step_s[0]
    canary_s = done_s - sum(plan.pacing.step_s)
    credit = accruing_share(plan) * prompts_per_s * done_s + allowance_part(plan)
    canary = min(
        EXPOSE_TARGET * plan.expose_share, CANARY_PART_OF_CREDIT * credit / (prompts_per_s * canary_s)
    )
    comparison = COMPARISON_PART_OF_CREDIT * credit / (prompts_per_s * comparison_s)
    return canary, min(MAX_COMPARISON_WEIGHT, max(MIN_WEIGHT_RISE * canary, comparison))


def _share_before_done(plan: RolloutPlan) -> float:
    """Return the part of the exposure share that may be spent before *done*."""
    left = plan.expose_share - AFTER_DONE_S / plan.by_s
    return max(MIN_SHARE_PART, left / (EXPOSE_TARGET * plan.expose_share))


def _short_plan(plan: RolloutPlan, prompts_per_s: float) -> RolloutPlan:
    paced = msgspec.structs.replace(
        plan,
        steps=(SHORT_COMPARISON_WEIGHT, LOAD_STEP_WEIGHT, 1.0),
        pacing=Pacing(
            step_s=(
                max(MINIMUM_STEP_S, COMPARISON_TIME_SHARE * plan.by_s),
                max(MINIMUM_STEP_S, LOAD_TIME_SHARE * plan.by_s),
                LAST_STEP_S,
            ),
            reserve_s=max(MINIMUM_RESERVE_S, RESERVE_SHARE * plan.by_s),
            done_delay_s=DONE_SETTLE_S,
            last_step_paid=0.0,
            allowance_part=ALLOWANCE_BEFORE_DONE,
            share_part=_share_before_done(plan),
            capacity_share=MIN_CAPACITY_SHARE,
            quick_handover=True,
            needs_evidence=True,
            even=True,
        ),
    )
    canary, comparison = _short_weights(paced, prompts_per_s)
    return msgspec.structs.replace(paced, canary_weight=canary, steps=(comparison, *paced.steps[1:]))
