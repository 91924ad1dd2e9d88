"""Short rollouts in the simulation's complete fleets, with their own routers, core and operators."""

from __future__ import annotations

import pytest

from springmux.rollout.planning.standard_plan import plan_for
from springmux.simulation.engine_model import VersionBehaviour
from springmux.simulation.rollout_baselines import Variant
from springmux.simulation.rollout_trial import AFTER_END_S, RolloutScenario, RolloutTrial, TrialResult
from springmux.simulation.run import PROMOTED_AT_S, TRAFFIC_BEGINS_S
from springmux.simulation.world.faults import Kill

ENGINES_APPEAR_S = 1.0
LATE_S = 3.0
KILLED_AT_S = 4.0
AFTER_DEADLINE_S = 6.0
LATE_ERRORS = RolloutScenario(name="late errors", behaviour=VersionBehaviour(error_share=0.5, after_s=LATE_S))
SLOW = RolloutScenario(name="slow", behaviour=VersionBehaviour(first_token_factor=8.0, gap_factor=8.0))
GOOD = RolloutScenario(name="good")


class ShortTrial(RolloutTrial):
    """A rollout of a few seconds whose candidate engines start after the order."""

    def __init__(self, scenario: RolloutScenario, seed: int, by_s: float) -> None:
        super().__init__(scenario, "anuario", seed, Variant.SPRINGMUX)
        self.plan = plan_for(self.plan.service, self.plan.candidate, by_s, 0.10, 50, 5000)

    def measure_short(self, kill_leader: bool = False) -> TrialResult:
        self.set_up()
        scheduler, world = self.fleet.world.scheduler, self.fleet.world
        end = PROMOTED_AT_S + self.plan.by_s + AFTER_DEADLINE_S
        scheduler.at(TRAFFIC_BEGINS_S, lambda: self.clients.start(end))
        scheduler.at(PROMOTED_AT_S, self._promote_for_trial)
        scheduler.at(PROMOTED_AT_S + ENGINES_APPEAR_S, self._start_candidates)
        if kill_leader:
            scheduler.at(PROMOTED_AT_S + KILLED_AT_S, self._kill_leader)
        self.fleet.run_until(self._is_over, end - world.now, step_s=0.5)
        world.run_for(AFTER_END_S)
        return self._make_result()

    def _kill_leader(self) -> None:
        leader, world = self.fleet.leader(), self.fleet.world
        assert leader is not None
        world.apply(Kill(at=world.now, node=leader))


@pytest.mark.parametrize("scenario", [LATE_ERRORS, SLOW], ids=["late errors", "slow"])
def test_a_bad_version_is_aborted_in_a_whole_fleet(scenario: RolloutScenario) -> None:
    result = ShortTrial(scenario, 1, 12.0).measure_short()
    assert result.phase == "aborted"
    assert result.sent > 0
    assert result.excess <= 0
    assert result.finished_s is not None and result.finished_s <= 12.0
    assert result.rollback_s is None or result.rollback_s <= 5.0


@pytest.mark.parametrize("by_s", [12.0, 16.0])
@pytest.mark.parametrize("kill_leader", [False, True], ids=["calm", "leader killed"])
def test_a_good_version_is_done_half_a_second_before_the_deadline(by_s: float, kill_leader: bool) -> None:
    result = ShortTrial(GOOD, 2, by_s).measure_short(kill_leader)
    assert result.phase == "done"
    assert result.sent > 0
    assert result.finished_s is not None and result.finished_s <= by_s - 0.5


def test_a_late_fault_is_detected_although_the_leader_was_killed() -> None:
    result = ShortTrial(LATE_ERRORS, 3, 12.0).measure_short(kill_leader=True)
    assert result.phase == "aborted"
    assert result.excess <= 0
