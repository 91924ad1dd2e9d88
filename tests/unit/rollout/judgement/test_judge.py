"""The judge's rules, each tested with the kind of fault that it detects."""

from __future__ import annotations

import math

import msgspec
import pytest

from springmux.rollout.judgement.digest import (
    EMPTY_DIGEST,
    EngineEvidence,
    EpochEvidence,
    EvidenceDigest,
    RouteEvidence,
    merge_all,
)
from springmux.rollout.judgement.judge import Judge
from springmux.rollout.outcome import Ending
from springmux.vocabulary.names import ServiceName, VersionName
from tests.unit.rollout.judgement.support import CANDIDATE, PLAN, STABLE, Stream, judge, new_table, outcome

BAD = Ending.ERROR_STATUS


def test_nothing_is_decided_without_evidence() -> None:
    verdict = judge(EMPTY_DIGEST)
    assert (verdict.abort, verdict.passed, verdict.decision) == (False, False, None)


def test_a_version_that_is_bad_from_the_start_is_aborted_within_six_answers() -> None:
    stream = Stream()
    sent = 0
    while not stream.verdict().abort and sent < 50:
        stream.stable(24)
        stream.canary(ending=BAD, first_token_s=None)
        sent += 1
    assert sent <= 6
    decision = stream.verdict().decision
    assert decision is not None
    assert decision.test == "errors"
    assert f"candidate {sent} bad of {sent}, stable 0 of {24 * sent}" in decision.figures
    assert "\n" not in decision.reason + decision.figures


def test_a_good_version_passes() -> None:
    stream = Stream()
    for _ in range(300):
        stream.stable(8)
        stream.canary()
    verdict = stream.verdict()
    assert (verdict.abort, verdict.passed) == (False, True)


def test_fifty_bad_answers_abort_without_any_reference_but_not_if_stable_is_as_bad() -> None:
    # At the last step all prompts go to the candidate: there is no matched set, so only the guard applies.
    alone = Stream()
    for index in range(50):
        alone.canary(ending=BAD, engine=f"engine-{index % 3}")
    decision = alone.verdict().decision
    assert decision is not None and decision.test == "guard"
    # The candidate is not aborted if the stable version has as many bad answers.
    both = Stream()
    for index in range(100):
        both.stable(4, error_rate=0.6)
        both.canary(ending=BAD if index % 2 else Ending.WHOLE, engine=f"engine-{index % 3}")
    assert both.table.digest().candidate_bad == 50
    assert not both.verdict().abort


def test_a_version_that_turns_bad_late_is_aborted_despite_its_good_start() -> None:
    stream = Stream()
    for index in range(400):
        stream.stable(4, error_rate=0.02)
        stream.now += 0.07
        stream.canary(engine=f"engine-{index % 3}")
    assert not stream.verdict().abort
    sent = 0
    while not stream.verdict().abort and sent < 50:
        stream.stable(4, error_rate=0.02)
        stream.canary(ending=BAD, first_token_s=None, engine=f"engine-{sent % 3}")
        sent += 1
    assert sent < 25


def test_a_fault_on_one_low_traffic_route_is_not_diluted() -> None:
    stream = Stream()
    for index in range(200):
        stream.stable(12)
        stream.canary()
        if index % 10 == 0:
            stream.stable(12, route="dossier-draft")
            stream.canary(route="dossier-draft", ending=BAD)
    decision = stream.verdict().decision
    assert decision is not None and decision.stratum == "dossier-draft"


@pytest.mark.parametrize("metric", ["first_token_s", "token_gap_s"])
def test_slow_answers_beyond_the_ratio_abort_and_within_it_do_not(metric: str) -> None:
    verdicts = {}
    for ratio in (1.2, 3.0):
        stream = Stream(seed=3)
        for _ in range(120):
            stream.stable(8, **{metric: stream.first_token()})
            stream.canary(**{metric: stream.first_token(0.1 * ratio)})
        verdicts[ratio] = stream.verdict()
    assert not verdicts[1.2].abort
    decision = verdicts[3.0].decision
    assert decision is not None and f"{decision.test}_s" == metric


def test_a_cold_cache_does_not_abort_but_a_slow_version_on_it_does() -> None:
    # The stable engines are warm (some prompts miss their caches); all prompts of the candidate miss.
    for slowdown, expected in ((1.0, False), (3.0, True)):
        stream = Stream(seed=5)
        for _ in range(100):
            stream.stable(8, hit=0.9)
            stream.stable(2, hit=0.0, first_token_s=stream.first_token(0.8))
            stream.canary(hit=0.0, first_token_s=stream.first_token(0.8 * slowdown))
        assert stream.verdict().abort is expected


def test_a_burst_that_slows_both_versions_is_no_fault() -> None:
    # A small canary under low load, then a large one under a burst that is three times as slow.
    stream = Stream(seed=7)
    for _ in range(30):
        stream.stable(24)
        stream.canary()
    for _ in range(300):
        stream.stable(2, first_token_s=stream.first_token(0.3))
        stream.canary(first_token_s=stream.first_token(0.3))
    assert not stream.verdict().abort


@pytest.mark.parametrize("ending", [Ending.ENGINE_LOST, Ending.TIMED_OUT])
def test_one_lost_or_unresponsive_engine_does_not_abort_the_version(ending: Ending) -> None:
    stream = Stream()
    for index in range(30):
        stream.stable(12)
        stream.canary(engine=f"candidate-{index % 3}")
    for _ in range(30):
        stream.stable(12)
        stream.canary(engine="candidate-0", ending=ending, first_token_s=None)
        stream.canary(engine="candidate-1")
    assert not stream.verdict().abort


def test_an_unresponsive_engine_beside_engines_with_ordinary_errors_does_not_abort_the_version() -> None:
    stream = Stream()
    for index in range(300):
        stream.stable(12, error_rate=0.01)
        ordinary = BAD if index % 100 == 50 else Ending.WHOLE
        stream.canary(engine=f"candidate-{1 + index % 2}", ending=ordinary)
        if index > 200:
            stream.canary(engine="candidate-0", ending=Ending.TIMED_OUT, first_token_s=None)
        assert not stream.verdict().abort or stream.table.digest().candidate_bad >= 40


def test_timeouts_of_the_only_engine_after_its_loss_abort_only_by_the_guard() -> None:
    stream = Stream()
    stream.canary(ending=Ending.ENGINE_LOST, first_token_s=None)
    while not stream.verdict().abort:
        stream.stable(12)
        stream.canary(ending=Ending.TIMED_OUT, first_token_s=None)
    assert stream.table.digest().candidate_bad == 40


@pytest.mark.parametrize(
    ("window", "earlier", "aborts"),
    [
        # 14% compared with 10% of stable answers can be chance; twice that rate can not.
        (EpochEvidence(7, 41, 300, 40, 400), EpochEvidence(0), False),
        (EpochEvidence(7, 41, 150, 40, 400), EpochEvidence(0), True),
        # With few stable answers since the last step, earlier ones give the ordinary error rate.
        (EpochEvidence(7, 41, 300, 0, 20), EpochEvidence(0, 0, 0, 600, 6000), False),
        (EpochEvidence(7, 41, 300, 0, 20), EpochEvidence(0, 0, 0, 60, 6000), True),
        # Errors of the stable version that have ended do not excuse the candidate.
        (EpochEvidence(7, 41, 300, 4, 400), EpochEvidence(0, 0, 0, 600, 1000), True),
    ],
)
def test_the_guard_ignores_chance_variations_of_an_ordinary_error_rate(
    window: EpochEvidence, earlier: EpochEvidence, aborts: bool
) -> None:
    engines = (EngineEvidence(7, 0, 41, 300),)
    route = RouteEvidence("caption-hint", (earlier, window), engines)
    verdict = judge(EvidenceDigest((route,)))
    assert verdict.abort is aborts
    assert verdict.decision is None or verdict.decision.test == "guard"


def test_a_version_bad_on_many_engines_is_aborted_at_any_volume() -> None:
    # Thousands of answers on a route, 30% of them bad on all engines; the stable version has 10%.
    rows = [EngineEvidence(7, slot, 1500, 5000) for slot in range(4)]
    epoch = EpochEvidence(7, 6000, 20_000, 4000, 40_000, error_4=90_000)
    decision = judge(EvidenceDigest((RouteEvidence("caption-hint", (epoch,), tuple(rows)),))).decision
    assert decision is not None and decision.test == "guard"


def test_with_one_engine_in_use_timeouts_count_against_the_version() -> None:
    stream = Stream()
    for _ in range(10):
        stream.stable(12)
        stream.canary(ending=Ending.TIMED_OUT, first_token_s=None)
    assert stream.verdict().abort


def test_losses_of_most_candidate_engines_abort_unless_stable_engines_are_lost_too() -> None:
    table = new_table()
    for index in range(3):
        table.record(outcome(STABLE, engine=f"stable-{index}"), 0.0)
        for _ in range(40):
            table.record(outcome(CANDIDATE, engine=f"candidate-{index}", ending=Ending.ENGINE_LOST), 0.1)
        if index < 2:
            assert not judge(table.digest()).abort
    decision = judge(table.digest()).decision
    assert decision is not None and decision.test == "lost_engines"
    assert [use.losses for use in table.digest().engines if use.candidate] == [1, 1, 1]
    for index in range(2):
        table.record(outcome(STABLE, engine=f"stable-{index}", ending=Ending.ENGINE_LOST), 0.2)
    assert not judge(table.digest()).abort


def test_outcomes_that_are_no_evidence_are_not_recorded() -> None:
    table = new_table()
    table.record(outcome(CANDIDATE, ending=Ending.CALLER_GONE), 0.0)
    table.record(outcome(VersionName("v0"), ending=BAD), 0.0)
    table.record(outcome(CANDIDATE, ending=BAD, service=ServiceName("pages")), 0.0)
    assert table.digest() == EMPTY_DIGEST


def test_old_stable_answers_are_not_compared() -> None:
    stream = Stream()
    stream.stable(24)
    stream.now += 60.0
    stream.canary(ending=BAD)
    assert all(epoch.error_100 == 0 for route in stream.table.digest().routes for epoch in route.epochs)


def test_a_stable_answer_is_compared_once() -> None:
    stream = Stream()
    stream.stable(24)
    stream.canary(ending=BAD)
    first = stream.table.digest().routes[0].epochs[0]
    stream.canary(ending=BAD)
    second = stream.table.digest().routes[0].epochs[0]
    assert first.error_100 == second.error_100 > 0


@pytest.mark.parametrize(("log_e", "aborts"), [(math.log(590), False), (math.log(610), True)])
def test_the_false_alarm_rate_is_shared_among_all_tests(log_e: float, aborts: bool) -> None:
    # With one route, errors, first token and gap have a sixth of the stake each, pooled and by route.
    # The error bet of one start among eight and one alternative among three has all the evidence.
    bet = int(1000 * (log_e + math.log(8 * 3)))
    epoch = EpochEvidence(7, 10, 20, 0, 400, error_100=bet)
    route = RouteEvidence("caption-hint", (epoch,), (EngineEvidence(7, 0, 10, 20),))
    # So 2/6 of the e-value is compared with 1 / 0.005 = 200: 590 / 3 is below, 610 / 3 above.
    assert judge(EvidenceDigest((route,))).abort is aborts


def test_the_verdict_is_the_same_in_any_merge_order() -> None:
    streams = [Stream(seed) for seed in range(4)]
    for stream in streams:
        for _ in range(2):
            stream.stable(20)
            stream.canary(ending=BAD)
    digests = [stream.table.digest() for stream in streams]
    assert not judge(digests[0]).abort
    assert judge(merge_all(digests)) == judge(merge_all(reversed(digests)))
    assert judge(merge_all(digests)).abort


def false_alarms(seeds: int, first_token_ratio: float, error_rate: float) -> int:
    """Return how many rollouts on the border of the null hypothesis any of twenty checks aborts.

    The limits allow a false-alarm rate of 5%.
    """
    limits = msgspec.structs.replace(PLAN.limits, false_alarm=0.05, error_rise=0.0)
    plan = msgspec.structs.replace(PLAN, limits=limits)
    alarms = 0
    for seed in range(seeds):
        stream = Stream(seed, plan)
        for _ in range(20):
            for _ in range(6):
                stream.stable(5, error_rate=error_rate)
                bad = stream.random.random() < error_rate
                latency = stream.first_token(0.1 * first_token_ratio)
                stream.canary(ending=BAD if bad else Ending.WHOLE, first_token_s=latency)
            if Judge(plan).judge(stream.table.digest()).decision is not None:
                alarms += 1
                break
    return alarms


def test_frequent_judging_keeps_the_false_alarm_rate_on_the_border_of_the_null_hypothesis() -> None:
    # The candidates are exactly as slow as the limit allows, with the error rate of the stable version.
    assert false_alarms(150, first_token_ratio=1.5, error_rate=0.1) <= 150 * 0.05
    # The same checks detect a worse candidate, so the count above is able to rise.
    assert false_alarms(20, first_token_ratio=4.0, error_rate=0.1) == 20
