"""The arithmetic of the schedule, and the leader's next action."""

from __future__ import annotations

import msgspec
import pytest

from springmux.rollout.plan import RolloutPhase
from springmux.rollout.planning.schedule import (
    Progress,
    ScheduleImpossibleError,
    StepKind,
    next_step,
    plan_schedule,
)
from tests.unit.rollout.virtual_fleet import PLAN


def progress(**changes: object) -> Progress:
    base = Progress(
        weight=0.04,
        elapsed_s=41.0,
        in_step_s=10.0,
        committed_elapsed_s=40.0,
        prompts_per_s=123.0,
        prompts=5166,
        committed=207,
        candidate_capacity=48,
        stable_capacity=48,
    )
    return msgspec.structs.replace(base, **changes)


def test_the_worked_example_of_123_prompts_per_second() -> None:
    schedule = plan_schedule(PLAN, 123.0)
    durations = [round(step.end_s - step.start_s, 6) for step in schedule.steps]
    assert durations == [41.0, 12.0, 2.0, 1.0, 1.0]
    assert [step.weight for step in schedule.steps] == [0.04, 0.10, 0.25, 0.50, 1.0]
    canary, last = schedule.steps[0], schedule.steps[-1]
    assert (canary.demand, canary.expected_spent, canary.budget) == (202, 201, 413)
    assert (last.demand, last.expected_spent, last.budget) == (123, 570, 570)
    assert last.funded == pytest.approx((570 - 472.32) / 123)
    assert schedule.reserve_s == pytest.approx(3.0)


def test_ten_prompts_per_second_are_paid_with_whole_credits_and_the_allowance() -> None:
    schedule = plan_schedule(PLAN, 10.0)
    assert [step.demand for step in schedule.steps] == [17, 12, 5, 5, 10]
    assert [step.expected_spent for step in schedule.steps] == [16, 28, 33, 38, 48]
    assert all(step.funded == 1.0 for step in schedule.steps)


def test_a_deadline_too_short_is_refused_with_the_arithmetic() -> None:
    with pytest.raises(ScheduleImpossibleError, match=r"by_s 10 leaves 2\.6 s of canary"):
        plan_schedule(msgspec.structs.replace(PLAN, by_s=10.0), 123.0)


def test_a_share_that_cannot_pay_the_last_step_is_refused() -> None:
    plan = msgspec.structs.replace(PLAN, expose_share=0.045, canary_weight=0.035, expose_allowance=0)
    with pytest.raises(ScheduleImpossibleError, match="give a longer by_s or a larger expose_share"):
        plan_schedule(plan, 123.0)


def test_a_canary_above_the_share_is_refused() -> None:
    with pytest.raises(ScheduleImpossibleError, match="spends more than"):
        plan_schedule(msgspec.structs.replace(PLAN, canary_weight=0.09), 123.0)


def test_a_step_starts_when_it_is_due_and_not_before() -> None:
    assert next_step(PLAN, progress(elapsed_s=40.9)).kind is StepKind.WAIT
    step = next_step(PLAN, progress())
    assert (step.kind, step.weight, step.phase) == (StepKind.STEP, 0.10, RolloutPhase.SHIFTING)


def test_a_step_waits_for_engines_that_can_carry_its_weight_and_reports_them() -> None:
    step = next_step(
        PLAN, progress(weight=0.5, elapsed_s=56.0, committed_elapsed_s=56.0, candidate_capacity=16)
    )
    assert step.kind is StepKind.WAIT
    assert "ready candidate engines run 16 requests" in step.reason
    assert next_step(PLAN, progress(candidate_capacity=0)).kind is StepKind.WAIT


def test_an_overspent_canary_saves_credit_but_only_while_there_is_time() -> None:
    assert "saving" in next_step(PLAN, progress(committed=300)).reason
    assert next_step(PLAN, progress(committed=300, elapsed_s=53.5)).kind is StepKind.STEP


def test_elapsed_time_is_committed_in_checkpoints() -> None:
    step = next_step(PLAN, progress(elapsed_s=20.0, committed_elapsed_s=16.0))
    assert (step.kind, step.weight, step.phase) == (StepKind.CHECKPOINT, 0.04, RolloutPhase.CANARY)


def test_an_overdue_leader_shortens_steps_and_skips_none() -> None:
    late = progress(weight=0.10, elapsed_s=59.0, in_step_s=0.3)
    assert next_step(PLAN, late).kind is StepKind.WAIT
    assert next_step(PLAN, msgspec.structs.replace(late, in_step_s=0.5)).weight == 0.25


def test_bad_answers_in_the_last_step_delay_the_finish_within_the_reserve() -> None:
    suspicious = progress(weight=1.0, elapsed_s=58.5, recent_bad=3)
    assert "3 bad answers" in next_step(PLAN, suspicious).reason
    calm = msgspec.structs.replace(suspicious, recent_bad=2)
    assert next_step(PLAN, calm).kind is StepKind.FINISH
    assert next_step(PLAN, msgspec.structs.replace(calm, evidence_fresh=False)).kind is StepKind.WAIT
    assert next_step(PLAN, msgspec.structs.replace(suspicious, elapsed_s=59.5)).kind is StepKind.FINISH


def test_the_rollout_finishes_at_the_end_of_the_last_step() -> None:
    last = progress(weight=1.0, elapsed_s=56.9)
    assert next_step(PLAN, last).kind is StepKind.WAIT
    assert next_step(PLAN, msgspec.structs.replace(last, elapsed_s=57.0)).kind is StepKind.FINISH
