"""Rollouts of 12 and 16 s: bad versions are aborted within the bounds, good ones are done in time."""

from __future__ import annotations

import math

import pytest

from springmux.rollout.plan import RolloutPhase
from springmux.vocabulary.names import EngineId
from tests.unit.rollout.short_rollout_fleet import (
    GOOD,
    HIGH_TRAFFIC,
    LATE_S,
    LOW_TRAFFIC,
    Fault,
    ShortRolloutFleet,
)
from tests.unit.rollout.virtual_fleet import CANDIDATE, STABLE

DEADLINES_S = (12.0, 16.0)
AFTER_S = 8.0
ROLLBACK_S = 5.0
ERRORS = Fault(errors=0.5)
LATE_ERRORS = Fault(errors=0.5, late_s=LATE_S)
SLOW = Fault(slow=8.0)
LATE_SLOW = Fault(slow=8.0, late_s=LATE_S)


def assert_bounds(fleet: ShortRolloutFleet) -> None:
    assert fleet.worst_excess <= 0, "the bound is a tenth of the prompts plus fifty"
    assert fleet.last_send_after_fiftieth_bad_s() <= ROLLBACK_S


def assert_aborted(fleet: ShortRolloutFleet) -> None:
    assert fleet.record.phase is RolloutPhase.ABORTED
    assert fleet.reported_s <= fleet.plan.by_s
    assert len(fleet.sent_at) > 0
    assert fleet.sent_at[-1] <= fleet.started_at + fleet.ended_s + 0.6, (
        "no prompt is sent after all nodes know the abort"
    )
    assert_bounds(fleet)


def assert_done(fleet: ShortRolloutFleet) -> None:
    assert fleet.record.phase is RolloutPhase.DONE
    assert fleet.reported_s <= fleet.plan.by_s
    assert_bounds(fleet)


@pytest.mark.parametrize("by_s", DEADLINES_S)
@pytest.mark.parametrize("prompts_per_s", [60.0, 250.0])
@pytest.mark.parametrize(
    "fault",
    [
        ERRORS,
        LATE_ERRORS,
        SLOW,
        LATE_SLOW,
        Fault(errors=0.5, route=HIGH_TRAFFIC),
        Fault(errors=0.5, above_running=4),
    ],
    ids=["errors", "late errors", "slow", "late slow", "high-traffic route", "under load"],
)
def test_a_bad_version_is_aborted_by_the_deadline(fault: Fault, prompts_per_s: float, by_s: float) -> None:
    for seed in (1, 2):
        fleet = ShortRolloutFleet(seed, by_s, prompts_per_s, fault)
        fleet.run(by_s + AFTER_S)
        assert_aborted(fleet)


@pytest.mark.parametrize("by_s", DEADLINES_S)
@pytest.mark.parametrize("fault", [Fault(errors=0.5, route=LOW_TRAFFIC), Fault(slow=8.0, route=LOW_TRAFFIC)])
def test_a_version_bad_on_a_route_of_seven_percent_is_aborted(fault: Fault, by_s: float) -> None:
    for seed in (1, 2):
        fleet = ShortRolloutFleet(seed, by_s, 120.0, fault)
        fleet.run(by_s + AFTER_S)
        assert_aborted(fleet)


@pytest.mark.parametrize("by_s", DEADLINES_S)
def test_slow_answers_that_take_longer_than_the_deadline_are_detected_while_pending(by_s: float) -> None:
    fleet = ShortRolloutFleet(3, by_s, 60.0, LATE_SLOW, answer_s=2.0)
    fleet.run(by_s + AFTER_S)
    assert_aborted(fleet)
    unwatched = ShortRolloutFleet(3, by_s, 60.0, LATE_SLOW, answer_s=2.0, watched=False)
    unwatched.run(by_s + AFTER_S)
    assert unwatched.record.phase is RolloutPhase.DONE, "without the watch it would be released"


@pytest.mark.parametrize("by_s", DEADLINES_S)
@pytest.mark.parametrize("prompts_per_s", [60.0, 250.0])
@pytest.mark.parametrize("candidates", [2, 6])
def test_a_good_version_on_cold_engines_is_reported_done(
    prompts_per_s: float, by_s: float, candidates: int
) -> None:
    for seed in (1, 2):
        fleet = ShortRolloutFleet(seed, by_s, prompts_per_s, candidates=candidates, base_errors=0.01)
        fleet.run(by_s + AFTER_S)
        assert_done(fleet)


@pytest.mark.parametrize("by_s", DEADLINES_S)
@pytest.mark.parametrize("version", [CANDIDATE, STABLE])
def test_a_good_version_is_reported_done_though_an_engine_crashes(version: str, by_s: float) -> None:
    for seed in (1, 2):
        fleet = ShortRolloutFleet(seed, by_s, 100.0)
        fleet.at(5.0, lambda fleet=fleet: fleet.crash(EngineId(f"{version}-0"), back_after_s=4.0))
        fleet.run(by_s + AFTER_S)
        assert_done(fleet)


@pytest.mark.parametrize("by_s", DEADLINES_S)
@pytest.mark.parametrize("fault", [GOOD, LATE_ERRORS, LATE_SLOW], ids=["good", "late errors", "late slow"])
def test_a_leader_killed_after_four_seconds_does_not_delay_the_rollout(fault: Fault, by_s: float) -> None:
    for seed in (1, 2):
        fleet = ShortRolloutFleet(seed, by_s, 100.0, fault)
        fleet.at(4.0, fleet.kill_leader)
        fleet.run(by_s + AFTER_S)
        (assert_done if fault == GOOD else assert_aborted)(fleet)


@pytest.mark.parametrize("fault", [GOOD, LATE_ERRORS], ids=["good", "late errors"])
def test_five_seconds_without_a_quorum_leave_time_before_a_deadline_of_sixteen_seconds(fault: Fault) -> None:
    for seed in (1, 2):
        fleet = ShortRolloutFleet(seed, 16.0, 100.0, fault)
        fleet.at(4.0, fleet.lose_quorum)
        fleet.run(16.0 + AFTER_S)
        (assert_done if fault == GOOD else assert_aborted)(fleet)


def test_without_a_quorum_a_rollout_of_twelve_seconds_ends_late_rather_than_without_evidence() -> None:
    good = ShortRolloutFleet(1, 12.0, 100.0)
    good.at(4.0, good.lose_quorum)
    good.run(12.0 + AFTER_S)
    assert good.record.phase is RolloutPhase.DONE
    bad = ShortRolloutFleet(1, 12.0, 100.0, LATE_ERRORS)
    bad.at(4.0, bad.lose_quorum)
    bad.run(12.0 + AFTER_S)
    assert bad.record.phase is RolloutPhase.ABORTED
    assert_bounds(bad)


@pytest.mark.parametrize("fault", [GOOD, LATE_ERRORS], ids=["good", "late errors"])
def test_a_frozen_node_and_lost_tokens_do_not_change_the_result(fault: Fault) -> None:
    for seed in (1, 2):
        fleet = ShortRolloutFleet(seed, 16.0, 100.0, fault, loss=0.1)
        fleet.at(4.0, lambda fleet=fleet: fleet.freeze(fleet.names[4], 6.0))
        fleet.run(16.0 + AFTER_S)
        (assert_done if fault == GOOD else assert_aborted)(fleet)


@pytest.mark.parametrize("fault", [GOOD, LATE_ERRORS], ids=["good", "late errors"])
def test_eighty_eight_nodes_in_zone_rings_keep_the_bounds(fault: Fault) -> None:
    fleet = ShortRolloutFleet(1, 16.0, 400.0, fault, nodes=88, stable=40, candidates=20)
    fleet.run(16.0 + 3.0)
    (assert_done if fault == GOOD else assert_aborted)(fleet)


def test_an_engine_that_starts_three_seconds_after_the_order_is_still_judged() -> None:
    fleet = ShortRolloutFleet(1, 12.0, 60.0, LATE_ERRORS, appear_s=3.0)
    fleet.run(12.0 + AFTER_S)
    assert_aborted(fleet)


def test_a_rollout_with_a_deadline_of_five_seconds_finishes_within_its_bounds() -> None:
    fleet = ShortRolloutFleet(1, 5.0, 100.0)
    fleet.run(5.0 + AFTER_S)
    assert fleet.record.phase is RolloutPhase.DONE
    assert math.isfinite(fleet.reported_s)
    assert_bounds(fleet)
