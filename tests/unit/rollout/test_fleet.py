"""Fleets in virtual time: exposure bound, rollback time and deadline under faults."""

from __future__ import annotations

import random

import msgspec
import pytest

from springmux.control.commands import Outcome
from springmux.rollout.plan import RolloutPhase
from tests.unit.rollout.virtual_fleet import (
    CANDIDATE,
    PLAN,
    SERVICE,
    STABLE,
    BadProbability,
    VirtualFleet,
    always_bad,
    engines_view,
    never_bad,
)

SHORT = msgspec.structs.replace(PLAN, by_s=30.0)


def bad_after(elapsed_s: float, share: float = 1.0) -> BadProbability:
    return lambda elapsed: share if elapsed > elapsed_s else 0.0


def assert_bounds_kept(fleet: VirtualFleet) -> None:
    assert fleet.worst_excess <= 0, "exposure bound"
    assert fleet.last_send_after_fiftieth_bad_s() <= 5.0, "rollback time"


def assert_done_by(fleet: VirtualFleet, deadline_s: float) -> None:
    assert fleet.record.phase is RolloutPhase.DONE
    assert fleet.ended_at is not None
    assert fleet.ended_at - fleet.started_at <= deadline_s


@pytest.mark.parametrize("prompts_per_s", [123.0, 40.0, 10.0])
def test_a_good_rollout_is_done_by_its_deadline(prompts_per_s: float) -> None:
    fleet = VirtualFleet(1, prompts_per_s=prompts_per_s)
    fleet.run(50)
    assert fleet.sent_by_zone["z0"] > 0
    fleet.run(12)
    assert_done_by(fleet, PLAN.by_s)
    assert_bounds_kept(fleet)


def test_control_accepts_every_step_checkpoint_and_finish_of_the_leader() -> None:
    fleet = VirtualFleet(1)
    fleet.run(40)
    assert fleet.record.elapsed_s == pytest.approx(fleet.elapsed(), abs=3.6)
    assert fleet.record.step == 0, "checkpoints are no steps"
    fleet.run(25)
    assert_done_by(fleet, PLAN.by_s)
    assert fleet.record.step == 4
    refused = [result for result in fleet.results if result.outcome is not Outcome.ACCEPTED]
    assert refused == []


def test_the_canary_begins_in_the_zones_with_least_traffic() -> None:
    fleet = VirtualFleet(2)
    fleet.run(35)
    sent = fleet.sent_by_zone
    assert sent["z0"] + sent["z1"] > 10 * (sent["z2"] + sent["z3"])


@pytest.mark.parametrize("seed", range(4))
def test_a_version_that_is_bad_from_the_start_is_aborted(seed: int) -> None:
    fleet = VirtualFleet(seed, bad_probability=always_bad, loss=0.05 * seed, duplicate=0.1)
    fleet.run(40)
    assert fleet.record.phase is RolloutPhase.ABORTED
    assert_bounds_kept(fleet)


@pytest.mark.parametrize("seed", range(4))
def test_a_version_that_turns_bad_at_the_last_step_is_aborted(seed: int) -> None:
    fleet = VirtualFleet(seed, prompts_per_s=600.0, plan=SHORT, bad_probability=bad_after(26.4), loss=0.1)
    fleet.at(26.5, lambda: fleet.freeze(fleet.names[5], 6.0))
    fleet.run(36)
    assert fleet.record.phase is RolloutPhase.ABORTED
    assert len(fleet.bad_at) >= 50
    assert_bounds_kept(fleet)


@pytest.mark.parametrize("before_deadline_s", [57.0, 45.0, 6.0, 4.0, 3.0, 2.5, 2.0])
@pytest.mark.parametrize("by_s", [30.0, 60.0])
def test_a_leader_partitioned_for_twenty_seconds_does_not_delay_the_rollout(
    before_deadline_s: float, by_s: float
) -> None:
    plan = msgspec.structs.replace(PLAN, by_s=by_s)
    fleet = VirtualFleet(int(before_deadline_s), plan=plan)
    fleet.at(max(3.0, by_s - before_deadline_s), lambda: fleet.partition(fleet.names[0], 20.0))
    fleet.run(by_s + 20)
    assert_done_by(fleet, by_s)
    assert_bounds_kept(fleet)


@pytest.mark.parametrize("seed", range(4))
def test_a_new_leader_waits_for_evidence_of_its_own_before_it_finishes(seed: int) -> None:
    fleet = VirtualFleet(seed, bad_probability=bad_after(54.0, 0.4))
    fleet.at(54.0, lambda: fleet.partition(fleet.names[0], 20.0))
    fleet.run(70)
    assert fleet.record.phase is RolloutPhase.ABORTED
    assert_bounds_kept(fleet)


def test_a_frozen_node_sends_nothing_to_the_candidate_when_it_resumes() -> None:
    fleet = VirtualFleet(5)
    fleet.run(20)
    frozen = fleet.names[4]
    fleet.freeze(frozen, 10.0)
    fleet.run(9.9)
    choice = fleet.coordinators[frozen].filter.choose(SERVICE, 1, fleet.now)
    assert choice.versions == (STABLE,)
    fleet.run(33)
    assert_done_by(fleet, PLAN.by_s)


def test_pause_stops_sending_and_the_clock() -> None:
    fleet = VirtualFleet(6, plan=SHORT)
    fleet.run(10)
    fleet.pause()
    fleet.run(2.5)
    sent = len(fleet.sent_at)
    fleet.run(20)
    assert len(fleet.sent_at) == sent
    fleet.resume()
    fleet.run(25)
    assert_done_by(fleet, SHORT.by_s + 22.5 + 0.5)
    assert fleet.record.elapsed_s > 27


def test_a_restart_of_all_nodes_loses_the_ledger_but_grants_no_second_allowance() -> None:
    fleet = VirtualFleet(7, bad_probability=bad_after(20.0))
    fleet.run(18)
    for name in fleet.names:
        fleet.start(name)
    fleet.at(1.5, lambda: fleet.elect(fleet.names[3]))
    fleet.run(50)
    assert fleet.record.phase is RolloutPhase.ABORTED
    assert_bounds_kept(fleet)


@pytest.mark.parametrize("at_s", [10.0, 25.0, 41.0, 50.0])
@pytest.mark.parametrize("down_s", [1.0, 6.0])
def test_a_good_rollout_is_done_by_its_deadline_after_a_restart_of_all_nodes(
    at_s: float, down_s: float
) -> None:
    fleet = VirtualFleet(3)
    fleet.run(at_s)
    fleet.restart_all(down_s)
    fleet.run(65 - at_s)
    assert_done_by(fleet, PLAN.by_s)
    assert_bounds_kept(fleet)


def test_a_restarted_leader_continues_from_the_clocks_of_other_nodes() -> None:
    fleet = VirtualFleet(4)
    fleet.run(20)
    fleet.start(fleet.names[5])
    fleet.elect(fleet.names[5])
    fleet.run(3)
    assert fleet.status().elapsed_s == pytest.approx(23.0, abs=0.8)


def test_a_partitioned_node_uses_the_candidate_once_the_old_engines_are_gone() -> None:
    fleet = VirtualFleet(5, plan=SHORT)
    fleet.run(26.7)
    fleet.partition(fleet.names[4], 10.0)
    fleet.run(4)
    assert fleet.record.phase is RolloutPhase.DONE
    chooser = fleet.coordinators[fleet.names[4]].filter
    assert chooser.choose(SERVICE, 1, fleet.now).versions == (STABLE,)
    fleet.set_engines(engines_view(stable=0))
    choice = chooser.choose(SERVICE, 1, fleet.now)
    assert choice.versions[-1] == CANDIDATE
    assert chooser.recheck(SERVICE, CANDIDATE, fleet.now)


def test_missing_candidate_engines_stop_the_shift_and_are_reported() -> None:
    fleet = VirtualFleet(8, plan=SHORT)
    fleet.set_engines(engines_view(stable=6, candidate=2))
    fleet.run(35)
    assert fleet.record.weight == 0.5
    assert "ready candidate engines run 16" in fleet.status().waiting


def test_samples_and_status_describe_the_rollout() -> None:
    fleet = VirtualFleet(9, plan=SHORT)
    fleet.run(20)
    status = fleet.status()
    assert status.zone_order[0] == "z0"
    assert status.lease_age_s is not None
    assert 0 < status.sent <= status.prompts
    samples = fleet.coordinators[fleet.names[0]].samples(SERVICE)
    assert len(samples) >= 30
    assert samples[-1].elapsed_s == pytest.approx(20.0, abs=1.0)
    assert samples[-1].evidence.stable_total > 1000


def test_zone_rings_keep_the_bounds_when_a_ring_leader_is_lost_and_the_leader_changes() -> None:
    fleet = VirtualFleet(10, nodes=40, prompts_per_s=300.0, plan=SHORT, bad_probability=bad_after(25.0))
    ring_leader = fleet.names[1]
    fleet.at(8.0, lambda: fleet.kill(ring_leader))
    fleet.at(11.0, lambda: fleet.remove_from_membership(ring_leader))
    fleet.at(18.0, lambda: fleet.elect(fleet.names[7]))
    fleet.run(36)
    assert fleet.record.phase is RolloutPhase.ABORTED
    assert_bounds_kept(fleet)


@pytest.mark.parametrize("leader", [0, 17])
def test_zone_rings_finish_a_good_rollout(leader: int) -> None:
    fleet = VirtualFleet(11, nodes=40, prompts_per_s=300.0, plan=SHORT, loss=0.02)
    fleet.elect(fleet.names[leader])
    fleet.run(32)
    assert_done_by(fleet, SHORT.by_s)
    assert_bounds_kept(fleet)


@pytest.mark.parametrize("seed", range(16))
def test_random_faults_never_break_the_bounds(seed: int) -> None:
    rng = random.Random(seed)
    bad_probability = rng.choice(
        [never_bad, always_bad, bad_after(rng.uniform(2, 28), rng.choice([0.3, 1.0]))]
    )
    fleet = VirtualFleet(
        seed,
        prompts_per_s=rng.choice([10.0, 123.0, 300.0]),
        plan=SHORT,
        bad_probability=bad_probability,
        loss=rng.choice([0.0, 0.05, 0.15]),
        duplicate=rng.choice([0.0, 0.2]),
        delay_s=rng.choice([(0.001, 0.006), (0.001, 0.3)]),
    )
    others = fleet.names[1:]
    for _ in range(3):
        name, at_s = rng.choice(others), rng.uniform(1, 29)
        fault = rng.choice(["freeze", "cut", "restart", "cut leader"])
        if fault == "freeze":
            fleet.at(at_s, lambda name=name: fleet.freeze(name, 5.0))
        elif fault == "cut":
            fleet.at(at_s, lambda name=name: fleet.partition(name, 8.0))
        elif fault == "restart":
            fleet.at(at_s, lambda name=name: fleet.start(name))
        else:
            fleet.at(at_s, lambda: fleet.partition(fleet.names[0], 20.0))
    fleet.run(40)
    assert_bounds_kept(fleet)
    if bad_probability is always_bad:
        assert fleet.record.phase is RolloutPhase.ABORTED
