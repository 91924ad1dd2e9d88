"""Versions that turn bad on engines that started cold, and good ones that a cold start must not condemn."""

from __future__ import annotations

import pytest

from springmux.rollout.judgement import evidence_table as book
from springmux.rollout.judgement.judge import Judge, Verdict
from springmux.rollout.plan import RolloutPhase
from springmux.rollout.version_filter import ServiceGate
from tests.unit.rollout.judgement.support import Stream
from tests.unit.rollout.short_rollout_fleet import Fault, ShortRolloutFleet

TERM_S = 12.0
AFTER_S = 8.0
PROMPTS_PER_S = 250.0
LONGEST_ROLLBACK_S = 5.0
MOST_BAD = 20
"""Bad answers until the judge is sure, where half of all are bad."""
COLD_FIRST_TOKEN_S = 0.8
"""Of a prompt that the engine has to read whole; a warm one takes an eighth."""
LATE_ERRORS = Fault(errors=0.5, late_s=3.0)


def turns_bad_late() -> ShortRolloutFleet:
    """The candidate's engines start cold after the order and fail from their third second on."""
    fleet = ShortRolloutFleet(1, TERM_S, PROMPTS_PER_S, LATE_ERRORS)
    fleet.run(TERM_S + AFTER_S)
    return fleet


def cold_start(slowdown: float) -> Stream:
    """Warm stable engines, some prompts of which miss their caches, beside a candidate that always misses."""
    stream = Stream(seed=5)
    for _ in range(100):
        stream.stable(8, hit=0.9)
        stream.stable(2, hit=0.0, first_token_s=stream.first_token(COLD_FIRST_TOKEN_S))
        stream.canary(hit=0.0, first_token_s=stream.first_token(COLD_FIRST_TOKEN_S * slowdown))
    return stream


def test_a_version_that_turns_bad_is_aborted_within_its_bounds() -> None:
    fleet = turns_bad_late()
    assert fleet.record.phase is RolloutPhase.ABORTED
    assert fleet.worst_excess <= 0.0
    assert fleet.last_send_after_fiftieth_bad_s() <= LONGEST_ROLLBACK_S
    assert len(fleet.sent_at) > 20
    assert len(fleet.bad_at) <= MOST_BAD


def test_the_checker_sees_a_bad_version_that_only_the_last_look_refuses(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    _without_judge(monkeypatch)
    assert len(turns_bad_late().bad_at) > MOST_BAD


def test_the_checker_sees_a_bad_version_beyond_its_bounds(monkeypatch: pytest.MonkeyPatch) -> None:
    """Nobody judges or counts, and everything goes to the candidate at once."""

    def accept_anything(gate: ServiceGate, granted: int) -> None:
        gate.available = 1_000_000

    renew = ServiceGate.renew
    monkeypatch.setattr(ServiceGate, "renew", lambda gate, weight, *rest: renew(gate, 1.0, *rest))
    monkeypatch.setattr(ServiceGate, "accept_granted", accept_anything)
    _without_judge(monkeypatch)
    fleet = turns_bad_late()
    assert fleet.worst_excess > 0.0
    assert fleet.last_send_after_fiftieth_bad_s() > LONGEST_ROLLBACK_S


def _without_judge(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Judge, "judge", lambda judge, evidence: Verdict(False, False, None))


def test_a_cold_start_is_no_fault_and_hides_none() -> None:
    assert not cold_start(slowdown=1.0).verdict().abort
    assert cold_start(slowdown=3.0).verdict().abort


def test_the_checker_sees_cold_engines_compared_with_warm_ones(monkeypatch: pytest.MonkeyPatch) -> None:
    stratum = book._stratum
    monkeypatch.setattr(book, "_stratum", lambda prompt_bytes, hit: stratum(prompt_bytes, 0.0))
    assert cold_start(slowdown=1.0).verdict().abort
