"""Candidates that start to fail after a cold start, and good ones that a cold start must not abort."""

from __future__ import annotations

import pytest

from springmux.rollout.judgement import evidence_table
from springmux.rollout.judgement.judge import Judge, Verdict
from springmux.rollout.plan import RolloutPhase
from springmux.rollout.version_filter import ServiceGate
from tests.unit.rollout.judgement.support import Stream
from tests.unit.rollout.short_rollout_fleet import Fault, ShortRolloutFleet

TERM_S = 12.0
AFTER_S = 8.0
PROMPTS_PER_S = 250.0
LONGEST_ROLLBACK_S = 5.0
MAX_FAILED_RESPONSES = 20
"""Bound on the failed responses before the judge aborts, where half of all fail."""
COLD_FIRST_TOKEN_S = 0.8
"""Time to first token of a prompt without a cache hit; a warm engine takes an eighth of it."""
LATE_ERRORS = Fault(errors=0.5, late_s=3.0)


def candidate_that_fails_late() -> ShortRolloutFleet:
    """Run a rollout whose candidate engines start cold after its command and fail after three seconds."""
    fleet = ShortRolloutFleet(1, TERM_S, PROMPTS_PER_S, LATE_ERRORS)
    fleet.run(TERM_S + AFTER_S)
    return fleet


def cold_start(slowdown: float) -> Stream:
    """Return outcomes of warm stable engines with some cache misses and of a candidate without cache hits."""
    stream = Stream(seed=5)
    for _ in range(100):
        stream.stable(8, hit=0.9)
        stream.stable(2, hit=0.0, first_token_s=stream.first_token(COLD_FIRST_TOKEN_S))
        stream.canary(hit=0.0, first_token_s=stream.first_token(COLD_FIRST_TOKEN_S * slowdown))
    return stream


def test_a_version_that_starts_to_fail_is_aborted_within_its_bounds() -> None:
    fleet = candidate_that_fails_late()
    assert fleet.record.phase is RolloutPhase.ABORTED
    assert fleet.worst_excess <= 0.0
    assert fleet.last_send_after_fiftieth_bad_s() <= LONGEST_ROLLBACK_S
    assert len(fleet.sent_at) > 20
    assert len(fleet.bad_at) <= MAX_FAILED_RESPONSES


def test_checker_detects_a_bad_version_that_only_the_final_check_rejects(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    _without_judge(monkeypatch)
    assert len(candidate_that_fails_late().bad_at) > MAX_FAILED_RESPONSES


def test_checker_detects_a_bad_version_that_exceeds_its_bounds(monkeypatch: pytest.MonkeyPatch) -> None:
    """Mutation: no judgement, no credits counted, and the whole weight on the candidate from the start."""

    def accept_anything(gate: ServiceGate, granted: int) -> None:
        gate.available = 1_000_000

    renew = ServiceGate.renew
    monkeypatch.setattr(ServiceGate, "renew", lambda gate, weight, *rest: renew(gate, 1.0, *rest))
    monkeypatch.setattr(ServiceGate, "accept_granted", accept_anything)
    _without_judge(monkeypatch)
    fleet = candidate_that_fails_late()
    assert fleet.worst_excess > 0.0
    assert fleet.last_send_after_fiftieth_bad_s() > LONGEST_ROLLBACK_S


def _without_judge(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Judge, "judge", lambda judge, evidence: Verdict(False, False, None))


def test_a_cold_start_neither_causes_an_abort_nor_hides_a_slow_version() -> None:
    assert not cold_start(slowdown=1.0).verdict().abort
    assert cold_start(slowdown=3.0).verdict().abort


def test_checker_detects_cold_engines_compared_with_warm_ones(monkeypatch: pytest.MonkeyPatch) -> None:
    stratum = evidence_table._stratum
    monkeypatch.setattr(evidence_table, "_stratum", lambda prompt_bytes, hit: stratum(prompt_bytes, 0.0))
    assert cold_start(slowdown=1.0).verdict().abort
