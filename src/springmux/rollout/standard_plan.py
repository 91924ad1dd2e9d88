"""The plan of an order that names only service, candidate and term: short terms keep canary and comparison.

Terms of :data:`LONG_TERM_S` and more have the ordinary steps. Below, the shares of ``by_s`` would leave steps
shorter than a lap of the token; two steps remain (docs/ROLLOUT.md, "Short terms").
"""

from __future__ import annotations

import msgspec

from springmux.rollout.plan import Pacing, RolloutPlan
from springmux.rollout.told import DONE_SETTLE_S
from springmux.vocabulary.names import ServiceName, VersionName

LONG_TERM_S = 30.0
"""From here on the ordinary steps last for two laps and more."""
SHORT_CANARY = 0.06
"""Below the 8% that accrue as credit, so that the step has some saved, and above the 4% of long terms."""
SHORT_STEP = 0.25
"""On so many engines that each has a stable one's load, which a few percent of the prompts don't give one."""
CANARY_OF_SHARE = 0.6
"""Bounds the canary's weight for small exposure shares: 0.06 of the usual 0.10."""
SHORT_ALLOWANCE_PART = 0.8
"""A quick handover hides the canary's weight for two laps, about 10 prompts at 250 a second: the rest is
spent on evidence, which is what a short term lacks."""
STEP_SHARE, MINIMUM_STEP_S = 0.20, 0.8
LAST_STEP_S = 0.8
"""Two laps of the token."""
RESERVE_SHARE, MINIMUM_RESERVE_S = 0.10, 0.5
"""From the last step's end to the latest finish: a lap or two that are waited for, and the commit."""
LEAST_CAPACITY = 0.25
"""Candidate engines start after the order and may be few at first; a quarter of the capacity is enough."""


def plan_for(
    service: ServiceName,
    candidate: VersionName,
    by_s: float,
    expose_share: float,
    expose_allowance: int,
    rollback_ms: int,
) -> RolloutPlan:
    """Return the plan for a term of ``by_s`` seconds; any positive term gives one.

    A term under 10 s is too short for a leader change; it is done late rather than without evidence.
    """
    long = by_s >= LONG_TERM_S
    plan = RolloutPlan(
        service=service,
        candidate=candidate,
        by_s=by_s,
        expose_share=expose_share,
        expose_allowance=expose_allowance,
        rollback_ms=rollback_ms,
        canary_weight=min(RolloutPlan(service, candidate).canary_weight, CANARY_OF_SHARE * expose_share),
        pacing=Pacing(
            told_after_s=DONE_SETTLE_S,
            last_step_paid=0.0,
            capacity_share=LEAST_CAPACITY,
            needs_evidence=True,
        ),
    )
    return plan if long else _shortened(plan)


def _shortened(plan: RolloutPlan) -> RolloutPlan:
    return msgspec.structs.replace(
        plan,
        canary_weight=min(SHORT_CANARY, CANARY_OF_SHARE * plan.expose_share),
        steps=(SHORT_STEP, 1.0),
        pacing=Pacing(
            step_s=(max(MINIMUM_STEP_S, STEP_SHARE * plan.by_s), LAST_STEP_S),
            reserve_s=max(MINIMUM_RESERVE_S, RESERVE_SHARE * plan.by_s),
            told_after_s=DONE_SETTLE_S,
            last_step_paid=0.0,
            allowance_part=SHORT_ALLOWANCE_PART,
            capacity_share=LEAST_CAPACITY,
            quick_handover=True,
            needs_evidence=True,
            even=True,
        ),
    )
