"""Components of short rollouts: plan, reported state, route weights, first-token watch, final analysis."""

from __future__ import annotations

import random

import msgspec
import pytest

from springmux.coordination.identifiers import NodeId, Revision, ZoneName
from springmux.rollout.events import ControlViewChanged, RolloutSettings
from springmux.rollout.judgement.digest import (
    EngineEvidence,
    EngineUse,
    EpochEvidence,
    EvidenceDigest,
    RouteEvidence,
)
from springmux.rollout.judgement.evidence_table import EvidenceTable
from springmux.rollout.judgement.final_analysis import final_analysis
from springmux.rollout.outcome import FirstTokenWatch
from springmux.rollout.plan import JudgeLimits, RolloutPhase
from springmux.rollout.planning.plan_checks import validate_plan
from springmux.rollout.planning.schedule import plan_schedule
from springmux.rollout.planning.standard_plan import plan_for
from springmux.rollout.reported_state import DONE_SETTLE_S, RolloutState, may_report_done, state_of
from springmux.rollout.rollout_coordinator import RolloutCoordinator
from springmux.rollout.version_filter import LOW_TRAFFIC_ROUTE_WEIGHT, NO_VERSIONS, route_weights
from springmux.vocabulary.names import RouteName, VersionName
from tests.unit.rollout.judgement.support import outcome
from tests.unit.rollout.virtual_fleet import CANDIDATE, SERVICE, STABLE, record_of

CAPTION, DOSSIER = RouteName("caption-hint"), RouteName("dossier")


@pytest.mark.parametrize("by_s", [10.0, 12.0, 16.0, 29.0, 30.0, 60.0])
@pytest.mark.parametrize("prompts_per_s", [1.0, 60.0, 250.0, 400.0])
def test_every_deadline_from_ten_seconds_has_a_valid_plan_and_a_schedule(
    by_s: float, prompts_per_s: float
) -> None:
    plan = plan_for(SERVICE, CANDIDATE, by_s, 0.1, 50, 5000)
    assert validate_plan(plan) == ()
    schedule = plan_schedule(plan, prompts_per_s)
    assert schedule.done_s + DONE_SETTLE_S < by_s
    assert schedule.steps[-1].weight == 1.0
    assert schedule.steps[-1].expected_spent <= 0.1 * prompts_per_s * by_s + 50


def test_long_deadlines_keep_all_steps_and_short_ones_keep_the_canary() -> None:
    assert plan_for(SERVICE, CANDIDATE, 60.0, 0.1, 50, 5000).steps == (0.10, 0.25, 0.50, 1.0)
    short = plan_schedule(plan_for(SERVICE, CANDIDATE, 12.0, 0.1, 50, 5000), 120.0)
    times = [(step.weight, round(step.start_s, 3), round(step.end_s, 3)) for step in short.steps]
    assert times == [(0.045, 0.0, 6.66), (0.1, 6.66, 8.46), (0.25, 8.46, 9.9), (1.0, 9.9, 10.7)]


@pytest.mark.parametrize("by_s", [1.0, 4.0, 9.9])
def test_a_deadline_under_ten_seconds_still_gives_a_plan(by_s: float) -> None:
    plan = plan_for(SERVICE, CANDIDATE, by_s, 0.1, 50, 5000)
    assert plan.by_s == by_s
    assert plan.pacing.needs_evidence


def test_done_is_reported_after_the_settling_time_and_an_abort_immediately() -> None:
    done = record_of(phase=RolloutPhase.DONE, stable=CANDIDATE, weight=1.0)
    assert not may_report_done(done, since=10.0, now=10.0 + 0.9 * DONE_SETTLE_S)
    assert may_report_done(done, since=10.0, now=10.0 + DONE_SETTLE_S)
    assert DONE_SETTLE_S >= 0.4  # a change reaches every connected node well within this time
    assert not may_report_done(record_of(), since=10.0, now=99.0)
    assert state_of(done, confirmed=False) is RolloutState.RUNNING
    assert state_of(done, confirmed=True) is RolloutState.DONE
    assert state_of(record_of(phase=RolloutPhase.ABORTED), confirmed=False) is RolloutState.ABORTED
    assert state_of(record_of(phase=RolloutPhase.PAUSED), confirmed=True) is RolloutState.RUNNING


def unconfigured_coordinator() -> RolloutCoordinator:
    return RolloutCoordinator(NodeId("n00"), ZoneName("z0"), random.Random(1), RolloutSettings())


def view(revision: int, **changes: object) -> ControlViewChanged:
    return ControlViewChanged({SERVICE: record_of(**changes)}, {}, Revision(revision))


def test_a_service_without_configuration_is_routed_by_its_rollout_record() -> None:
    coordinator = unconfigured_coordinator()
    assert coordinator.filter.choose(SERVICE, 1, 0.0) is NO_VERSIONS
    coordinator.handle(view(1), 0.0)
    assert coordinator.status(SERVICE, 0.0) is not None
    assert coordinator.filter.choose(SERVICE, 1, 0.0).versions == (STABLE,)
    assert not coordinator.filter.recheck(SERVICE, CANDIDATE, 0.0), "no lease yet"
    coordinator.handle(view(2, phase=RolloutPhase.DONE, stable=CANDIDATE, weight=1.0), 1.0)
    assert coordinator.filter.choose(SERVICE, 1, 1.0).versions == (CANDIDATE,)
    assert coordinator.filter.recheck(SERVICE, CANDIDATE, 1.0)


@pytest.mark.parametrize("seen_running", [True, False], ids=["seen running", "seen aborted only"])
def test_an_aborted_candidate_of_an_unconfigured_service_is_never_sent_to_again(seen_running: bool) -> None:
    coordinator = unconfigured_coordinator()
    if seen_running:
        coordinator.handle(view(1), 0.0)
    coordinator.handle(view(2, phase=RolloutPhase.ABORTED, weight=0.0), 1.0)
    coordinator.handle(ControlViewChanged({}, {}, Revision(3)), 2.0)
    for key in range(100):
        assert coordinator.filter.choose(SERVICE, key, 3.0).versions == (STABLE,)
    assert not coordinator.filter.recheck(SERVICE, CANDIDATE, 3.0)
    assert coordinator.filter.recheck(SERVICE, STABLE, 3.0)


def test_routes_get_equal_candidate_prompts_as_far_as_a_low_traffic_route_can() -> None:
    weights = route_weights({CAPTION: 930, DOSSIER: 70}, 0.06)
    assert weights[DOSSIER] == pytest.approx(LOW_TRAFFIC_ROUTE_WEIGHT)
    assert weights[CAPTION] * 930 + weights[DOSSIER] * 70 == pytest.approx(60)
    assert route_weights({CAPTION: 500, DOSSIER: 500}, 0.06) == pytest.approx({CAPTION: 0.06, DOSSIER: 0.06})
    assert route_weights({}, 0.06) == {}


def watched_table() -> tuple[EvidenceTable, FirstTokenWatch]:
    table = EvidenceTable(SERVICE, STABLE, VersionName("v2"))
    for number in range(4):
        table.record(outcome(STABLE, first_token_s=0.1 + 0.01 * number), 1.0)
    watch = table.watch(CAPTION, 600, 0.0, 1.5)
    assert watch is not None
    return table, watch


def first_token_bets(table: EvidenceTable) -> list[int]:
    return [epoch.first_token_steep for route in table.digest().routes for epoch in route.epochs]


def test_an_overdue_first_token_is_the_same_bet_as_at_the_prompts_end_and_is_made_once() -> None:
    table, watch = watched_table()
    assert watch.overdue_after_s == pytest.approx(0.13 * JudgeLimits().first_token_ratio)
    table.record_overdue(watch, 1.8)
    early = first_token_bets(table)
    assert early[0] > 0
    table.record_overdue(watch, 1.9)
    table.record(outcome(CANDIDATE, first_token_s=5.0), 6.0, watch)
    assert first_token_bets(table) == early
    at_end, watch_at_end = watched_table()
    at_end.record(outcome(CANDIDATE, first_token_s=5.0), 6.0, watch_at_end)
    assert first_token_bets(at_end) == early


def test_the_references_of_a_watch_are_compared_with_no_other_prompt() -> None:
    table, watch = watched_table()
    assert table.watch(CAPTION, 600, 0.0, 1.5) is None
    table.record(outcome(CANDIDATE, first_token_s=0.1), 1.7)
    assert first_token_bets(table) == [0]
    table.record(outcome(CANDIDATE, first_token_s=0.1), 1.7, watch)
    assert first_token_bets(table)[0] < 0


def evidence(*routes: tuple[RouteName, EpochEvidence]) -> EvidenceDigest:
    return EvidenceDigest(
        tuple(
            RouteEvidence(name, (sums,), (EngineEvidence(0, 1, sums.candidate_bad, sums.candidate_total),))
            for name, sums in routes
        )
    )


def sums(bad: int, total: int, stable_bad: int, stable_total: int) -> EpochEvidence:
    return EpochEvidence(0, bad, total, stable_bad, stable_total)


def test_the_final_analysis_refuses_a_fault_on_a_low_traffic_route_and_accepts_ordinary_errors() -> None:
    captions = sums(0, 50, 0, 500)
    refused = final_analysis(JudgeLimits(), evidence((CAPTION, captions), (DOSSIER, sums(5, 10, 0, 25))))
    assert refused is not None
    assert (refused.test, refused.stratum) == ("final errors", DOSSIER)
    few = evidence((CAPTION, captions), (DOSSIER, sums(1, 10, 0, 25)))
    assert final_analysis(JudgeLimits(), few) is None
    ordinary = evidence((CAPTION, sums(2, 50, 12, 500)), (DOSSIER, sums(1, 10, 2, 25)))
    assert final_analysis(JudgeLimits(), ordinary) is None
    assert final_analysis(JudgeLimits(), EvidenceDigest()) is None


def test_bad_answers_of_a_lost_engine_do_not_count_against_the_version() -> None:
    found = evidence((CAPTION, sums(6, 50, 0, 500)))
    assert final_analysis(JudgeLimits(), found) is not None
    lost = msgspec.structs.replace(found, engines=(EngineUse(1, True, 50, 1),))
    assert final_analysis(JudgeLimits(), lost) is None


def test_the_final_analysis_refuses_slow_first_tokens() -> None:
    slow = msgspec.structs.replace(sums(0, 30, 0, 300), first_token_steep=7000)
    refused = final_analysis(JudgeLimits(), evidence((CAPTION, slow)))
    assert refused is not None
    assert refused.test == "final first_token"
