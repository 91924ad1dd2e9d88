"""Complete runs without a mutation: no rule is violated, and the same seed gives the same history."""

from __future__ import annotations

import pytest

from springmux.simulation import exploration
from springmux.simulation.checkers.violation import Violation
from springmux.simulation.exploration import run_seed
from springmux.simulation.run import Run, RunResult
from springmux.simulation.scenario import Scenario, draw_scenario
from springmux.simulation.world.faults import CutNode, Heal, Kill, PowerCut, Restart, Wipe
from unit.simulation.support import SMALL, small_run, violated_rules


def test_good_rollout_without_faults_is_done_and_serves_everyone() -> None:
    """Guards against checkpoints of the leader that consume the plan's steps."""
    run = small_run()
    result = run.run()
    assert result.violations == ()
    assert result.rollout == "done"
    assert result.executed > 0
    assert result.complete > 0.9 * result.calls


def test_bad_candidate_is_aborted_within_its_share() -> None:
    result = small_run("errors").run()
    assert result.violations == ()
    assert result.rollout == "aborted"


def test_no_rule_is_violated_by_a_lost_disk_and_a_power_cut_soon_after() -> None:
    faults = [
        Kill(at=13.0, node="fell-1"),
        Wipe(at=13.01, node="fell-1"),
        Restart(at=14.0, node="fell-1"),
        PowerCut(at=20.0, node="lake-1"),
        Restart(at=21.0, node="lake-1"),
        CutNode(at=22.0, node="town-1"),
        Heal(at=24.0),
    ]
    assert violated_rules(small_run(faults=faults)) == set()


@pytest.mark.parametrize("seed", [3, 5])
def test_generated_scenarios_violate_no_rule(seed: int) -> None:
    assert [violation.text for violation in run_seed(seed, SMALL).violations] == []


def test_a_scenario_read_from_json_gives_the_same_transcript() -> None:
    scenario = draw_scenario(4, SMALL)
    again = Scenario.from_json(scenario.to_json())
    assert again == scenario
    assert Run(again).run().transcript == Run(scenario).run().transcript


def test_shrinking_keeps_only_the_faults_that_violate_the_rule(monkeypatch: pytest.MonkeyPatch) -> None:
    kill = Kill(at=13.0, node="fell-1")
    others = [CutNode(at=14.0 + number, node="town-1") for number in range(6)]
    scenario = small_run(faults=[*others[:3], kill, *others[3:]]).scenario

    def run_scenario(tried: Scenario) -> RunResult:
        broken = (Violation("in force", 13.0, ("fell-1",), "text"),) if kill in tried.faults else ()
        return RunResult(tried.seed, broken, "", 0, 0, 0, 0, 0, "")

    monkeypatch.setattr(exploration, "run_scenario", run_scenario)

    assert exploration.shrink(scenario, "in force").faults == (kill,)
