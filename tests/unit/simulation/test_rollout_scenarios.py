"""Table of named rollout scenarios: its columns distinguish a kept bound from a violated one."""

from __future__ import annotations

import pytest

from springmux.rollout import issuer, participant
from springmux.simulation.engine_model import VersionBehaviour
from springmux.simulation.rollout_baselines import Variant, variant_applied
from springmux.simulation.rollout_scenarios import SCENARIOS, Cell, Row, markdown, run_cell
from springmux.simulation.rollout_trial import Disturbance, RolloutScenario, TrialResult

BAD = RolloutScenario(name="bad", behaviour=VersionBehaviour(error_share=0.5))
GOOD = RolloutScenario(name="good")


def result(**changes: object) -> TrialResult:
    fields = {
        "seed": 1,
        "phase": "done",
        "prompts": 1000,
        "sent": 50,
        "excess": -20.0,
        "rollback_s": None,
        "finished_s": 57.0,
        "orders_ok": True,
    }
    return TrialResult(**{**fields, **changes})


def row(scenario: RolloutScenario, *results: TrialResult) -> Row:
    return Row(Cell("anuario", Variant.SPRINGMUX, scenario), results)


def test_a_row_of_a_bad_version_shows_its_worst_run() -> None:
    worst = result(phase="aborted", sent=120, excess=3.0, rollback_s=2.5)
    measured = row(BAD, result(phase="aborted", rollback_s=1.0), worst, result())
    assert measured.largest_share == 0.12
    assert measured.largest_excess == 3.0
    assert measured.slowest_rollback_s == 2.5
    assert (measured.missed, measured.false_aborts) == (1, 0)
    assert "| 0.120 | +3 | 2.5 | - | 57.0 | - | 1 | 0 |" in markdown([measured])


def test_a_row_of_a_good_version_counts_late_ends_and_false_aborts() -> None:
    measured = row(GOOD, result(), result(finished_s=60.1), result(phase="aborted"), result(orders_ok=False))
    assert (measured.done_by_deadline, measured.false_aborts, measured.wrong_orders) == (2, 1, 1)
    by_order = RolloutScenario(name="order", disturbance=Disturbance.ABORT)
    assert row(by_order, result(phase="aborted")).false_aborts == 0


@pytest.mark.parametrize("variant", Variant)
def test_a_variant_is_applied_only_within_its_block(variant: Variant) -> None:
    before = (participant.Judge, participant.EvidenceTable, issuer.credit_pool)
    with variant_applied(variant):
        within = (participant.Judge, participant.EvidenceTable, issuer.credit_pool)
        assert (within == before) is (variant is Variant.SPRINGMUX)
    assert (participant.Judge, participant.EvidenceTable, issuer.credit_pool) == before


def test_scenario_names_are_unique() -> None:
    assert len({scenario.name for scenario in SCENARIOS}) == len(SCENARIOS)


def test_a_complete_fleet_aborts_a_bad_version_within_its_bound() -> None:
    scenario = next(scenario for scenario in SCENARIOS if scenario.name == "bad at once: errors")
    measured = run_cell(Cell("derwent", Variant.SPRINGMUX, scenario), 1)
    assert measured.phase == "aborted"
    assert measured.orders_ok
    assert measured.sent > 0
    assert measured.excess <= 0
