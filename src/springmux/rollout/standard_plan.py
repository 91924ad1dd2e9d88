"""The plan of an order that names only service, candidate and term: short terms keep canary and comparison.

Terms of :data:`LONG_TERM_S` and more have the ordinary steps. Below, the shares of ``by_s`` would leave steps
shorter than a lap of the token; two steps remain (docs/ROLLOUT.md, "Short terms").
"""

from __future__ import annotations

import msgspec

from springmux.rollout.ledger import EXPOSE_TARGET
from springmux.rollout.plan import Pacing, RolloutPlan
from springmux.rollout.told import DONE_SETTLE_S
from springmux.vocabulary.names import ServiceName, VersionName

LONG_TERM_S = 30.0
"""From here on the ordinary steps last for two laps and more."""
SHORT_CANARY = 0.045
"""Below the 8% that accrue as credit, so that the step has some saved, and above the 4% of long terms."""
SHORT_STEP = 0.25
"""On so many engines that each has a stable one's load, which a few percent of the prompts don't give one."""
CANARY_OF_SHARE = 0.6
"""Bounds the canary's weight for small exposure shares: 0.06 of the usual 0.10."""
CANARY_OF_EXPOSURE = 0.35
"""Part of all that a bad version may get, share and allowance, that a short term's canary may use."""
LARGEST_SHORT_CANARY = 0.2
"""Below the step that follows."""
AFTER_DONE_S = 1.3
"""From the commit of *done* to the term, in which a version that turned out bad would get all prompts. They
count as its exposure too, so a short term keeps credit for them."""
LEAST_PART_BEFORE_DONE = 0.25
ALLOWANCE_BEFORE_DONE = 0.95
"""The rest is for what a quick handover hides of the canary's weight, two laps of it, and for a late end."""
STEP_SHARE, MINIMUM_STEP_S = 0.20, 0.8
LAST_STEP_S = 0.8
"""Two laps of the token."""
RESERVE_SHARE, MINIMUM_RESERVE_S = 0.05, 0.9
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
    prompts_per_s: float = 0.0,
) -> RolloutPlan:
    """Return the plan for a term of ``by_s`` seconds; any positive term gives one.

    :param prompts_per_s: the service's prompts a second, as the ordering node guesses; 0 if it can't tell.
        A thin service's canary is larger, paid for by the allowance: 6% of 30 prompts a second would be too
        few to judge within a short term.

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
    return plan if long else _shortened(plan, prompts_per_s)


def _short_canary(plan: RolloutPlan, prompts_per_s: float) -> float:
    """Return the weight of a short term's canary."""
    usual = min(SHORT_CANARY, CANARY_OF_SHARE * plan.expose_share)
    prompts = prompts_per_s * plan.by_s
    if prompts <= 0.0:
        return usual
    exposure = plan.expose_share + plan.expose_allowance / prompts
    return max(usual, min(LARGEST_SHORT_CANARY, CANARY_OF_EXPOSURE * exposure))


def _share_before_done(plan: RolloutPlan) -> float:
    """Return the part of the exposure share that may be spent before *done*."""
    left = plan.expose_share - AFTER_DONE_S / plan.by_s
    return max(LEAST_PART_BEFORE_DONE, left / (EXPOSE_TARGET * plan.expose_share))


def _shortened(plan: RolloutPlan, prompts_per_s: float) -> RolloutPlan:
    return msgspec.structs.replace(
        plan,
        canary_weight=_short_canary(plan, prompts_per_s),
        steps=(SHORT_STEP, 1.0),
        pacing=Pacing(
            step_s=(max(MINIMUM_STEP_S, STEP_SHARE * plan.by_s), LAST_STEP_S),
            reserve_s=max(MINIMUM_RESERVE_S, RESERVE_SHARE * plan.by_s),
            told_after_s=DONE_SETTLE_S,
            last_step_paid=0.0,
            allowance_part=ALLOWANCE_BEFORE_DONE,
            share_part=_share_before_done(plan),
            capacity_share=LEAST_CAPACITY,
            quick_handover=True,
            needs_evidence=True,
            even=True,
        ),
    )
