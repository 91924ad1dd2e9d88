"""Preview: the outlook of a plan, warnings, and refusals with their arithmetic."""

from __future__ import annotations

import msgspec

from springmux.rollout.plan import RolloutPlan
from springmux.rollout.planning.preview import EngineCapacity, preview
from springmux.vocabulary.names import ServiceName, VersionName

PLAN = RolloutPlan(ServiceName("text"), VersionName("v2"))
ENOUGH = EngineCapacity(candidate=48, stable=48, candidate_engines=6)


def test_an_ordinary_plan_is_shown_with_its_bounds() -> None:
    outlook = preview(PLAN, 123.0, ENOUGH)
    assert outlook.refusal == ""
    assert outlook.schedule is not None and outlook.schedule.done_s <= PLAN.by_s
    assert outlook.expected_prompts == 7380
    assert outlook.exposure_bound == 758
    assert 150 < outlook.canary_prompts < 250
    assert outlook.worst_bad_prompts == 50 + 25  # 4% of 123 prompts/s during 5 s of rollback
    assert outlook.canary_prompts < outlook.exposure_bound


def test_a_term_too_short_is_refused_with_the_arithmetic() -> None:
    outlook = preview(msgspec.structs.replace(PLAN, by_s=10.0), 123.0)
    assert outlook.schedule is None
    assert "by_s 10" in outlook.refusal


def test_too_few_candidate_engines_are_refused_and_one_engine_is_warned_of() -> None:
    outlook = preview(PLAN, 123.0, EngineCapacity(candidate=8, stable=48, candidate_engines=1))
    assert "8 requests at once" in outlook.refusal and "48" in outlook.refusal
    assert any("one candidate engine" in warning for warning in outlook.warnings)


def test_quiet_services_are_warned_of_and_never_divide_by_zero() -> None:
    assert any("no traffic" in warning for warning in preview(PLAN, 0.0).warnings)
    quiet = preview(PLAN, 10.0)
    assert any("small faults will be missed" in warning for warning in quiet.warnings)
    assert quiet.exposure_bound == 80
