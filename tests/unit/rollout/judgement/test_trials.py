"""The offline trials run the real judge on a good and a bad scenario from fixed seeds."""

from __future__ import annotations

from springmux.lab.judge.judge_trials import METHODS, run_trials
from springmux.lab.judge.simulated_rollouts import Scenario

GOOD = Scenario("good", True, base_errors=0.02)
BAD = Scenario("bad", False, errors=0.5)


def test_trials_distinguish_good_from_bad_and_are_reproducible_from_their_seeds() -> None:
    rows = run_trials(2, (GOOD, BAD))
    assert [row.method for row in rows] == [*METHODS, *METHODS]
    good, bad = rows[0], rows[len(METHODS)]
    assert (good.rollouts, good.aborted) == (2, 0)
    assert (bad.aborted, bad.aborted_early) == (2, 0)
    assert 0 < bad.bad_p95 <= bad.prompts_p95 < 50
    assert run_trials(2, (BAD,), methods=("judge",)) == [bad]
