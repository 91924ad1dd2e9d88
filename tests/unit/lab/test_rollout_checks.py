"""The rollout checks pass a good run and report a planted violation."""

from __future__ import annotations

from springmux.lab.checks import rollout_checks
from springmux.lab.checks.verdict import Verdict
from springmux.lab.records import Arrival
from tests.unit.lab.support import bad_endings, evidence, prompt_arrivals, records, rollout


def test_exposure_is_the_candidates_share_of_all_prompts_until_its_last() -> None:
    run = rollout(bad=True, ended_at_s=120.0, phase="aborted")
    ordinary = prompt_arrivals("v1", 1000, 110.0, 120.0)

    def verdict(exposed: int) -> Verdict:
        arrivals = [*ordinary, *prompt_arrivals("v2", exposed, 111.0, 112.0)]
        arrivals.sort(key=lambda arrival: arrival.at_s)
        return rollout_checks.bounded_exposure(records(rollouts=[run], arrivals=arrivals))

    assert verdict(130).kept
    assert "140 prompts of 1140, at most 134" in evidence(verdict(140))


def test_exposure_ignores_prompts_before_the_rollout() -> None:
    run = rollout(bad=True, ended_at_s=120.0, phase="aborted")
    arrivals = [*prompt_arrivals("v1", 5000, 100.0, 109.0), *prompt_arrivals("v2", 30, 111.0, 112.0)]
    verdict = rollout_checks.bounded_exposure(records(rollouts=[run], arrivals=arrivals))
    assert "30 prompts of 30" in evidence(verdict)


def test_rollback_check_reports_a_prompt_long_after_the_fiftieth_bad_response() -> None:
    run = rollout(bad=True, ended_at_s=120.0, phase="aborted")
    endings = bad_endings("v2", 60, from_s=112.0, step_s=0.1)

    def verdict(last_s: float) -> Verdict:
        arrivals = [Arrival(last_s, "e1", "text", "v2", "caption-hint", "r")]
        return rollout_checks.prompt_rollback(records(rollouts=[run], endings=endings, arrivals=arrivals))

    assert verdict(121.8).kept
    assert "5.10 s after" in evidence(verdict(122.0))


def test_release_check_reports_a_released_bad_version() -> None:
    aborted = rollout(bad=True, ended_at_s=120.0, phase="aborted")
    released = rollout(bad=True, ended_at_s=165.0, phase="done")
    assert rollout_checks.bad_version_not_released(records(rollouts=[aborted])).kept
    assert rollout_checks.bad_version_not_released(records(rollouts=[released])).kept is False


def test_completion_check_reports_a_good_rollout_that_is_late_or_aborted() -> None:
    for ended_at_s, phase, kept in (
        (169.0, "done", True),
        (171.0, "done", False),
        (120.0, "aborted", False),
        (0.0, "shifting", False),
    ):
        run = rollout(bad=False, ended_at_s=ended_at_s, phase=phase)
        assert rollout_checks.good_rollout_completed(records(rollouts=[run])).kept is kept
