"""The load step: its weight, the number of engines that it uses, and how its answers are compared."""

from __future__ import annotations

import math
import random

import msgspec
import pytest

from springmux.rollout.judgement.evidence_table import LOADED_RATIO, EvidenceTable
from springmux.rollout.outcome import Ending
from springmux.rollout.plan import RolloutPhase
from springmux.rollout.planning.load_step import LOAD_FACTOR, MAX_SLOT_USE, load_weight, loaded_engines
from springmux.rollout.planning.schedule import plan_schedule
from springmux.rollout.planning.standard_plan import plan_for
from springmux.rollout.version_filter import EVEN_LAST_WEIGHT, ServiceGate
from springmux.vocabulary.names import RolloutId, RouteName, VersionName
from tests.unit.rollout.judgement.support import outcome
from tests.unit.rollout.short_rollout_fleet import GOOD, Fault, ShortRolloutFleet
from tests.unit.rollout.virtual_fleet import CANDIDATE, SERVICE, STABLE

CAPTION = RouteName("caption-hint")
AFTER_S = 2.5
BAD_FROM_ONE_AND_A_HALF_LOADS = Fault(errors=0.5, above_stable=1.5)
BAD_FROM_TWO_OTHER_REQUESTS = Fault(errors=0.5, above_running=2)
"""For calls, of which 0.7 or 0.8 on average run concurrently on each of three engines with six slots."""


def calls_fleet(seed: int, by_s: float, calls_per_s: float, fault: Fault) -> ShortRolloutFleet:
    return ShortRolloutFleet(
        seed, by_s, calls_per_s, fault, nodes=9, stable=3, candidates=3, low_traffic_share=0.0,
        answer_s=0.065, capacity=6, calls=True,
    )  # fmt: skip


@pytest.mark.parametrize("stable", [3, 6, 9, 40])
def test_each_loaded_engine_carries_a_multiple_of_a_stable_ones_load(stable: int) -> None:
    weight = load_weight(0.25, stable)
    engines = loaded_engines(weight, stable, stable, capacity=64)
    assert weight * stable / engines == pytest.approx(LOAD_FACTOR, rel=0.2)


def test_the_load_steps_weight_leaves_prompts_to_compare_with() -> None:
    assert load_weight(0.25, 1) < 1.0
    assert load_weight(0.25, 2) < 1.0
    assert load_weight(0.25, 0) == 0.25
    assert load_weight(0.25, 100) == 0.25


def test_the_load_fits_the_slots_as_far_as_the_stable_engines_load_does() -> None:
    """With 6 engines of 16 slots that run 8 requests each, 2.5 times as many would not fit on one engine."""
    engines = loaded_engines(load_weight(0.25, 6), 6, 6, capacity=16, in_flight=48.0)
    assert load_weight(0.25, 6) * 48.0 / engines <= MAX_SLOT_USE * 16
    assert loaded_engines(load_weight(0.25, 6), 6, 6, capacity=16, in_flight=12.0) == 1
    full = loaded_engines(load_weight(0.25, 6), 6, 6, capacity=16, in_flight=120.0)
    assert load_weight(0.25, 6) * 120.0 / full <= 20.0, "no more than a stable engine runs"


def test_all_candidate_engines_are_used_where_few_are_ready() -> None:
    assert loaded_engines(0.25, 40, 2, capacity=64) == 0
    assert loaded_engines(0.25, 0, 4, capacity=64) == 0


def latency_bets(loaded: bool, first_token_s: float, prompt_bytes: int) -> int:
    """Return the steep log bet of a candidate answer that is compared with four stable ones of 0.1 s."""
    table = EvidenceTable(SERVICE, STABLE, VersionName("v2"))
    for number in range(4):
        answer = outcome(STABLE, first_token_s=0.1 + 0.001 * number, prompt_bytes=prompt_bytes)
        table.record(answer, 1.0)
    table.loaded = loaded
    table.record(outcome(CANDIDATE, first_token_s=first_token_s, prompt_bytes=prompt_bytes), 1.5)
    (route,) = table.digest().routes
    return route.epochs[0].first_token_steep


def test_in_the_load_step_only_much_slower_calls_count_against_the_candidate() -> None:
    assert latency_bets(False, 0.3, 0) > 0
    assert latency_bets(True, 0.3, 0) < 0
    assert latency_bets(True, 0.1 * (LOADED_RATIO + 1.0), 0) > 0


def test_in_the_load_step_errors_of_prompts_are_judged_and_latencies_are_not() -> None:
    """With cold caches and more load than on a stable engine, a good version is many times slower."""
    assert latency_bets(False, 0.9, 600) > 0
    assert latency_bets(True, 0.9, 600) == 0
    table = EvidenceTable(SERVICE, STABLE, VersionName("v2"))
    table.record(outcome(STABLE), 1.0)
    table.loaded = True
    assert table.watch(CAPTION, 600, 0.0, 1.1) is None
    table.record(outcome(CANDIDATE, ending=Ending.ERROR_STATUS, first_token_s=None), 1.2)
    (route,) = table.digest().routes
    assert route.epochs[0].candidate_bad == 1
    assert route.epochs[0].error_100 > 0


def test_the_mean_time_of_stable_answers_is_known_from_the_first_one() -> None:
    table = EvidenceTable(SERVICE, STABLE, VersionName("v2"))
    assert table.stable_answer_s == 0.0
    answer = msgspec.structs.replace(outcome(STABLE, first_token_s=0.1), token_gap_s=0.02, tokens=21)
    table.record(answer, 1.0)
    assert table.stable_answer_s == pytest.approx(0.5)
    table.record(msgspec.structs.replace(answer, version=CANDIDATE, first_token_s=9.0), 1.0)
    assert table.stable_answer_s == pytest.approx(0.5), "candidate answers don't count"


@pytest.mark.parametrize("prompts_per_s", [30.0, 60.0, 130.0, 250.0])
@pytest.mark.parametrize("by_s", [12.0, 16.0])
def test_most_credit_is_left_for_the_load_step(by_s: float, prompts_per_s: float) -> None:
    plan = plan_for(SERVICE, CANDIDATE, by_s, 0.1, 50, 5000, prompts_per_s)
    canary, *_, last = plan_schedule(plan, prompts_per_s).steps
    assert 9 <= canary.expected_spent <= 0.3 * last.budget + 1
    comparison_prompts = plan.steps[0] * plan.pacing.step_s[0] * prompts_per_s
    assert canary.expected_spent + comparison_prompts <= 0.56 * last.budget + 1
    assert plan.canary_weight < plan.steps[0] < plan.steps[1] < 1.0


@pytest.mark.parametrize("by_s", [12.0, 16.0])
@pytest.mark.parametrize("prompts_per_s", [60.0, 120.0])
def test_errors_from_one_and_a_half_times_a_stable_engines_load_are_detected(
    prompts_per_s: float, by_s: float
) -> None:
    for seed in (1, 2):
        fleet = ShortRolloutFleet(seed, by_s, prompts_per_s, BAD_FROM_ONE_AND_A_HALF_LOADS)
        fleet.run(by_s + AFTER_S)
        assert_aborted_in_time(fleet)


@pytest.mark.parametrize("by_s", [12.0, 16.0])
@pytest.mark.parametrize("calls_per_s", [30.0, 36.0])
def test_errors_under_load_of_a_low_traffic_service_of_calls_are_detected(
    calls_per_s: float, by_s: float
) -> None:
    for seed in (1, 2):
        fleet = calls_fleet(seed, by_s, calls_per_s, BAD_FROM_TWO_OTHER_REQUESTS)
        fleet.run(by_s + AFTER_S)
        assert_aborted_in_time(fleet)


@pytest.mark.parametrize("by_s", [12.0, 16.0])
@pytest.mark.parametrize("calls_per_s", [10.0, 36.0])
def test_a_good_service_of_calls_is_reported_done(calls_per_s: float, by_s: float) -> None:
    for seed in (1, 2):
        fleet = calls_fleet(seed, by_s, calls_per_s, GOOD)
        fleet.run(by_s + AFTER_S)
        assert fleet.record.phase is RolloutPhase.DONE
        assert fleet.reported_s <= by_s
        assert fleet.worst_excess <= 0


def assert_aborted_in_time(fleet: ShortRolloutFleet) -> None:
    assert fleet.record.phase is RolloutPhase.ABORTED
    assert math.isfinite(fleet.ended_s)
    assert fleet.reported_s <= fleet.plan.by_s
    assert fleet.worst_excess <= 0


def candidate_prompts(last_step: bool) -> int:
    """Return how many of 1,000 prompts of one route choose the candidate at a weight widened to 1."""
    gate = ServiceGate(STABLE)
    gate.begin(RolloutId("r1"), CANDIDATE, 7, EvidenceTable(SERVICE, STABLE, CANDIDATE), even_routes=True)
    keys = random.Random(1)
    gate.choose(keys.getrandbits(64), 0.0, CAPTION)
    gate.renew(1.0, 1, 0.0, last_step=last_step)
    gate.accept_granted(10_000)
    return sum(gate.choose(keys.getrandbits(64), 0.1, CAPTION).candidate for _ in range(1000))


def test_a_widened_load_step_sends_all_its_prompts_and_only_the_last_step_saves_credit() -> None:
    assert candidate_prompts(last_step=False) == 1000
    assert candidate_prompts(last_step=True) == pytest.approx(1000 * EVEN_LAST_WEIGHT, abs=50)
