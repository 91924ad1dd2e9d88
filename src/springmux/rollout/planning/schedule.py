"""Schedule of the weight's steps, planned backwards from the deadline and paid for by the exposure ledger.

The paper runs a canary "for some minutes" and then shifts step by step (section V.C); here ``by_s`` bounds
both. A canary with a low weight takes most of the time and saves credit; the steps that follow are short.
The preview and the leader use the same pure functions.
"""

from __future__ import annotations

import enum
import math

import msgspec

from springmux.rollout.ledger import EXPOSE_TARGET, accruing_share, allowance_part
from springmux.rollout.plan import RolloutPhase, RolloutPlan
from springmux.vocabulary.errors import SpringmuxError

STEP_SHARES = (12 / 60, 2 / 60, 1 / 60, 1 / 60)
"""Share of ``by_s`` for each step, from the first (10%) to the last (100%): 12, 2, 1 and 1 s of 60 s."""
RESERVE_SHARE = 3 / 60
MINIMUM_RESERVE_S = 3.0
"""Time between the last step's end and the deadline. A leader change takes about 1.5 s, the new leader's
first round 0.4 s, and a lost round before it 0.8 s. The cost in exposure is in docs/ROLLOUT.md."""
MINIMUM_STEP_S = 0.8
"""Two rounds of the token: one distributes the weight, one returns evidence."""
MINIMUM_CANARY_S = 5.0
"""A shorter canary collects little evidence; this is ten rounds."""
SHORT_DEADLINE_CANARY_SHARE = 0.5
SHORT_DEADLINE_S = 10.0
"""A deadline below this is too short for :data:`MINIMUM_CANARY_S`; then a canary of
:data:`SHORT_DEADLINE_CANARY_SHARE` of it is enough."""
OVERDUE_STEP_S = 0.4
"""Shortest step when the schedule is overdue, after a leader change: one round."""
FIRST_ANSWERS_S = 0.6
"""Time until the first answers under a new weight: a round to distribute it, and a short answer."""
SUSPICIOUS_BAD_ANSWERS = 3
"""With this many bad answers since the last step, the finish waits within the reserve for further answers."""
FINISH_MARGIN_S = 0.5
"""Time before the deadline at which the finish waits for bad answers no longer; the commit takes a few round
trips and an fsync."""
CHECKPOINT_SHARE = 1 / 20
MINIMUM_CHECKPOINT_S = 3.0
"""Interval of checkpoints within a long step, as a share of ``by_s`` and at least in seconds. A checkpoint
commits the elapsed time, so that it survives a restart of all nodes."""
FIRST_CHECKPOINT_S = 0.5
"""Time of the first checkpoint, which shows a later leader that the allowance was granted already."""


class ScheduledStep(msgspec.Struct, frozen=True):
    """One step. Times are in seconds of unpaused time from promotion.

    ``demand``: prompts in this step at its weight. ``budget``: credits that accrue by the step's end,
    including the allowance. ``expected_spent``: credits spent by its end, at most ``budget``. ``funded``:
    share of the demand that the credits cover.
    """

    start_s: float
    end_s: float
    weight: float
    demand: int
    expected_spent: int
    budget: int
    funded: float


class Schedule(msgspec.Struct, frozen=True):
    """All steps of a rollout. ``done_s``: time of the finish; ``reserve_s``: time from then to ``by_s``."""

    steps: tuple[ScheduledStep, ...]
    done_s: float
    reserve_s: float
    prompts_per_s: float


class ScheduleImpossibleError(SpringmuxError):
    """The plan can't keep its deadline and exposure bound; the message contains the arithmetic."""


def plan_schedule(plan: RolloutPlan, prompts_per_s: float) -> Schedule:
    """Return the schedule of ``plan`` at a given prompt rate of the service.

    The first step is shortened and the canary lengthened as far as needed to save credit for the last step.

    :raises ScheduleImpossibleError: if the time is too short or the exposure share too small for the steps.
    """
    durations = step_durations(plan)
    _check_canary(plan, durations)
    while True:
        schedule = _build_schedule(plan, prompts_per_s, durations)
        last = schedule.steps[-1]
        if last.funded >= plan.pacing.last_step_paid or prompts_per_s <= 0:
            return schedule
        if durations[0] <= MINIMUM_STEP_S:
            raise ScheduleImpossibleError(
                f"the step to weight {last.weight:g} needs {last.demand} credits in"
                f" {last.end_s - last.start_s:.1f} s at {prompts_per_s:g} prompts/s, and only"
                f" {last.funded:.0%} of them are there ({last.budget} accrued by {last.end_s:.0f} s):"
                " give a longer by_s or a larger expose_share"
            )
        durations = (max(MINIMUM_STEP_S, durations[0] * 0.8), *durations[1:])


def step_durations(plan: RolloutPlan) -> tuple[float, ...]:
    """Return the seconds of each of the plan's steps, by default according to :data:`STEP_SHARES`."""
    if len(plan.pacing.step_s) == len(plan.steps):
        return plan.pacing.step_s
    count = len(plan.steps)
    shares = (STEP_SHARES[0],) * max(0, count - len(STEP_SHARES)) + STEP_SHARES[-count:]
    return tuple(max(MINIMUM_STEP_S, share * plan.by_s) for share in shares)


def reserve_of(plan: RolloutPlan) -> float:
    """Return the seconds between the last step's end and the deadline, including the delay of reporting."""
    pacing = plan.pacing
    reserve_s = pacing.reserve_s or max(MINIMUM_RESERVE_S, RESERVE_SHARE * plan.by_s)
    return reserve_s + pacing.done_delay_s


def _check_canary(plan: RolloutPlan, durations: tuple[float, ...]) -> None:
    canary_s = plan.by_s - reserve_of(plan) - sum(durations)
    needed_s = MINIMUM_CANARY_S if plan.by_s >= SHORT_DEADLINE_S else SHORT_DEADLINE_CANARY_SHARE * plan.by_s
    if canary_s < needed_s:
        raise ScheduleImpossibleError(
            f"by_s {plan.by_s:g} leaves {canary_s:.1f} s of canary after steps of {sum(durations):.1f} s and"
            f" {reserve_of(plan):.1f} s of reserve; at least {needed_s:g} s are needed"
        )
    share = EXPOSE_TARGET * plan.expose_share
    if plan.canary_weight > share:
        raise ScheduleImpossibleError(
            f"canary_weight {plan.canary_weight:g} spends more than the {share:g} of the prompts that accrue"
            f" as credit ({EXPOSE_TARGET:g} of expose_share {plan.expose_share:g})"
        )


def _build_schedule(plan: RolloutPlan, prompts_per_s: float, durations: tuple[float, ...]) -> Schedule:
    done_s = plan.by_s - reserve_of(plan)
    canary_s = done_s - sum(durations)
    accrual = accruing_share(plan) * prompts_per_s
    steps: list[ScheduledStep] = []
    spent = 0.0
    start_s = 0.0
    for weight, duration_s in zip((plan.canary_weight, *plan.steps), (canary_s, *durations), strict=True):
        end_s = start_s + duration_s
        demand = weight * prompts_per_s * duration_s
        budget = math.floor(accrual * end_s + allowance_part(plan))
        paid = max(0.0, min(demand, budget - spent))
        spent += paid
        funded = paid / demand if demand > 0 else 1.0
        steps.append(
            ScheduledStep(start_s, end_s, weight, math.ceil(demand - 1e-9), int(spent), budget, funded)
        )
        start_s = end_s
    return Schedule(tuple(steps), done_s, plan.by_s - done_s, prompts_per_s)


class StepKind(enum.StrEnum):
    """The leader's possible next actions."""

    WAIT = "wait"
    STEP = "step"
    CHECKPOINT = "checkpoint"
    FINISH = "finish"


class Progress(msgspec.Struct, frozen=True):
    """Progress of a rollout, as the leader measures it.

    ``in_step_s``: time since the present weight was committed. ``prompts`` and ``committed`` are the ledger's
    sums. ``candidate_capacity`` and ``stable_capacity``: requests that the ready engines can run
    concurrently. ``recent_bad``: the candidate's bad answers under the present weight. ``evidence_fresh``:
    whether a round has returned that was launched at least :data:`FIRST_ANSWERS_S` after the present weight
    was committed and after this leader could grant credits.
    """

    weight: float
    elapsed_s: float
    in_step_s: float
    committed_elapsed_s: float
    prompts_per_s: float
    prompts: int
    committed: int
    candidate_capacity: int
    stable_capacity: int
    recent_bad: int = 0
    evidence_fresh: bool = True


class NextStep(msgspec.Struct, frozen=True):
    """The leader's next action; ``reason``: why it waits."""

    kind: StepKind
    weight: float = 0.0
    phase: RolloutPhase = RolloutPhase.CANARY
    reason: str = ""


CAPACITY_NEEDED = 0.5
"""Share of the stable engines' capacity that the candidate's engines need to carry the full weight, unless
the plan sets another share."""


def next_step(plan: RolloutPlan, progress: Progress) -> NextStep:
    """Return the leader's next action.

    Steps are never skipped. A late leader takes them two rounds apart, or one round apart if the schedule is
    overdue.

    Unless the plan's pacing needs evidence, a rollout finishes by its deadline with or without enough
    evidence. Only evidence against the candidate (an abort) or engines that can't carry the weight stop it.
    """
    upcoming = _upcoming_weight(plan, progress.weight)
    if upcoming is None:
        return _finish_or_wait(plan, progress)
    if progress.elapsed_s < _step_start_s(plan, upcoming):
        return _checkpoint_or_wait(plan, progress, "on schedule")
    if progress.weight > 0 and progress.in_step_s < _minimum_step_s(plan, progress):
        return NextStep(StepKind.WAIT, reason="the last step is too recent")
    if not _can_carry_weight(plan, upcoming, progress):
        reason = (
            f"ready candidate engines run {progress.candidate_capacity} requests at once, weight {upcoming:g}"
            f" needs {plan.pacing.capacity_share * upcoming * progress.stable_capacity:.1f}"
        )
        return _checkpoint_or_wait(plan, progress, reason)
    if _should_save_credit(plan, progress, upcoming):
        return _checkpoint_or_wait(plan, progress, "saving credit for the last step")
    phase = RolloutPhase.CANARY if upcoming <= plan.canary_weight else RolloutPhase.SHIFTING
    return NextStep(StepKind.STEP, upcoming, phase)


def can_carry(
    weight: float, candidate_capacity: int, stable_capacity: int, share: float = CAPACITY_NEEDED
) -> bool:
    """Return whether the candidate's ready engines can carry ``weight`` of the service's load.

    :param share: share of the stable engines' capacity that is needed for the full weight.
    """
    return candidate_capacity > 0 and candidate_capacity >= share * weight * stable_capacity


def _can_carry_weight(plan: RolloutPlan, weight: float, progress: Progress) -> bool:
    share = plan.pacing.capacity_share
    return can_carry(weight, progress.candidate_capacity, progress.stable_capacity, share)


def _minimum_step_s(plan: RolloutPlan, progress: Progress) -> float:
    overdue = progress.elapsed_s >= plan.by_s - reserve_of(plan)
    return OVERDUE_STEP_S if overdue else MINIMUM_STEP_S


def _upcoming_weight(plan: RolloutPlan, weight: float) -> float | None:
    return next((step for step in (plan.canary_weight, *plan.steps) if step > weight), None)


def _step_start_s(plan: RolloutPlan, weight: float) -> float:
    """Return when the step to ``weight`` is due, in seconds from promotion; planned from the deadline."""
    if weight <= plan.canary_weight:
        return 0.0
    remaining = zip(plan.steps, step_durations(plan), strict=True)
    return plan.by_s - reserve_of(plan) - sum(duration for step, duration in remaining if step >= weight)


def _should_save_credit(plan: RolloutPlan, progress: Progress, upcoming: float) -> bool:
    """Return whether the first step has to wait so that the credit suffices for the last step."""
    if upcoming != plan.steps[0] or len(plan.steps) == 1:
        return False
    if plan.pacing.even:
        # A short rollout saves credit for the load step; its last step needs no separate credit.
        return False
    tail = step_durations(plan)[1:]
    done_s = plan.by_s - reserve_of(plan)
    first_s = done_s - sum(tail) - progress.elapsed_s
    if first_s <= MINIMUM_STEP_S:
        return False
    rate = progress.prompts_per_s
    accrual = accruing_share(plan) * (progress.prompts + rate * (done_s - progress.elapsed_s))
    credit = accrual + allowance_part(plan) - progress.committed
    demand = rate * (plan.steps[0] * first_s + sum(w * s for w, s in zip(plan.steps[1:], tail, strict=True)))
    last_demand = rate * plan.steps[-1] * tail[-1]
    return credit < demand - (1 - plan.pacing.last_step_paid) * last_demand


def _finish_or_wait(plan: RolloutPlan, progress: Progress) -> NextStep:
    if progress.elapsed_s < plan.by_s - reserve_of(plan):
        return NextStep(StepKind.WAIT, reason="on schedule")
    if progress.in_step_s < _minimum_step_s(plan, progress):
        return NextStep(StepKind.WAIT, reason="the last step is too recent")
    if not _can_carry_weight(plan, 1.0, progress):
        return NextStep(StepKind.WAIT, reason="ready candidate engines can't carry the whole load")
    latest = progress.elapsed_s >= plan.by_s - plan.pacing.done_delay_s - FINISH_MARGIN_S
    if not progress.evidence_fresh and (plan.pacing.needs_evidence or not latest):
        return NextStep(StepKind.WAIT, reason="evidence of the last step is still to come")
    if progress.recent_bad >= SUSPICIOUS_BAD_ANSWERS and not latest:
        return NextStep(StepKind.WAIT, reason=f"{progress.recent_bad} bad answers since the last step")
    return NextStep(StepKind.FINISH, progress.weight, RolloutPhase.SHIFTING)


def _checkpoint_or_wait(plan: RolloutPlan, progress: Progress, reason: str) -> NextStep:
    interval_s = max(MINIMUM_CHECKPOINT_S, CHECKPOINT_SHARE * plan.by_s)
    if progress.committed_elapsed_s <= 0:
        interval_s = FIRST_CHECKPOINT_S
    if progress.weight > 0 and progress.elapsed_s - progress.committed_elapsed_s >= interval_s:
        phase = RolloutPhase.CANARY if progress.weight <= plan.canary_weight else RolloutPhase.SHIFTING
        return NextStep(StepKind.CHECKPOINT, progress.weight, phase, reason)
    return NextStep(StepKind.WAIT, reason=reason)
