"""Preview of a plan: bounds, warnings, and refusals with their arithmetic."""

from __future__ import annotations

import msgspec

from springmux.rollout.plan import RolloutPlan
from springmux.rollout.planning.preview import EngineCapacity, preview
from springmux.vocabulary.names import ServiceName, VersionName

PLAN = RolloutPlan(ServiceName("text"), VersionName("v2"))
ENOUGH = EngineCapacity(candidate=48, stable=48, candidate_engines=6)


def test_an_ordinary_plan_is_shown_with_its_bounds() -> None:
    result = preview(PLAN, 123.0, ENOUGH)
    assert result.refusal == ""
    assert result.schedule is not None and result.schedule.done_s <= PLAN.by_s
    assert result.expected_prompts == 7380
    assert result.exposure_bound == 758
    assert 150 < result.canary_prompts < 250
    assert result.worst_bad_prompts == 50 + 25  # 4% of 123 prompts/s during 5 s of rollback
    assert result.canary_prompts < result.exposure_bound


def test_a_deadline_too_short_is_refused_with_the_arithmetic() -> None:
    result = preview(msgspec.structs.replace(PLAN, by_s=10.0), 123.0)
    assert result.schedule is None
    assert "by_s 10" in result.refusal


def test_too_few_candidate_engines_are_refused_and_a_single_engine_gives_a_warning() -> None:
    result = preview(PLAN, 123.0, EngineCapacity(candidate=8, stable=48, candidate_engines=1))
    assert "8 requests at once" in result.refusal and "48" in result.refusal
    assert any("one candidate engine" in warning for warning in result.warnings)


def test_low_traffic_gives_warnings_and_no_traffic_no_division_by_zero() -> None:
    assert any("no traffic" in warning for warning in preview(PLAN, 0.0).warnings)
    quiet = preview(PLAN, 10.0)
    assert any("small faults will be missed" in warning for warning in quiet.warnings)
    assert quiet.exposure_bound == 80
