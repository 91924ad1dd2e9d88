"""Templates: parsing that reports all errors, and plans made within the parameters' bounds."""

from __future__ import annotations

import json
from typing import Any

import msgspec
import pytest

from springmux.rollout.plan import JudgeLimits, RolloutPlan
from springmux.rollout.planning.plan_checks import validate_plan
from springmux.rollout.planning.standard_template import STANDARD_TEMPLATE
from springmux.rollout.planning.template import (
    MAX_DOCUMENT_BYTES,
    TemplateError,
    instantiate,
    parse_promote_body,
    parse_template,
)
from springmux.vocabulary.names import ServiceName, VersionName

REQUIRED = {"service": "text", "candidate": "v2"}
PLAN = RolloutPlan(ServiceName("text"), VersionName("v2"))


def paths(error: pytest.ExceptionInfo[TemplateError]) -> list[str]:
    return [item.path for item in error.value.errors]


def document(**changes: Any) -> bytes:
    base = {
        "name": "careful",
        "parameters": [
            {"name": "service", "type": "string"},
            {"name": "term", "type": "duration", "default": "2m", "minimum": 30, "maximum": 600},
        ],
        "plan": {"service": {"parameter": "service"}, "candidate": "v2", "by_s": {"parameter": "term"}},
    }
    return json.dumps({**base, **changes}).encode()


def test_the_standard_template_needs_only_service_and_candidate() -> None:
    plan = instantiate(STANDARD_TEMPLATE, REQUIRED)
    assert plan == msgspec.structs.replace(PLAN, template="standard")
    values = {"by_s": "5m", "first_zones": ["north"], "latency_ratio": 2, "error_rise": 0.01}
    plan = instantiate(STANDARD_TEMPLATE, {**REQUIRED, **values})
    assert (plan.by_s, plan.first_zones) == (300.0, ("north",))
    assert plan.limits == JudgeLimits(error_rise=0.01, first_token_ratio=2.0, token_gap_ratio=2.0)


def test_the_standard_template_parses_from_its_own_document() -> None:
    assert parse_template(STANDARD_TEMPLATE.model_dump_json().encode()) == STANDARD_TEMPLATE


def test_all_invalid_parameters_are_reported_together() -> None:
    wrong = {"service": 7, "by_s": "soon", "expose_share": 0.5, "rollback_ms": 4000.5, "first_zones": "north",
             "canary_weight": True, "weights": 1}  # fmt: skip
    with pytest.raises(TemplateError) as error:
        instantiate(STANDARD_TEMPLATE, wrong)
    names = [
        "weights",
        "service",
        "candidate",
        "by_s",
        "expose_share",
        "rollback_ms",
        "canary_weight",
        "first_zones",
    ]
    assert paths(error) == [f"parameters.{name}" for name in names]


@pytest.mark.parametrize("number", [10**400, -(10**400), float("inf"), "9" * 400 + "s"])
def test_a_number_beyond_all_bounds_is_an_invalid_parameter(number: object) -> None:
    with pytest.raises(TemplateError) as error:
        instantiate(STANDARD_TEMPLATE, {**REQUIRED, "by_s": number})
    assert paths(error) == ["parameters.by_s"]


def test_inconsistent_parameters_are_rejected() -> None:
    with pytest.raises(TemplateError) as error:
        instantiate(STANDARD_TEMPLATE, {**REQUIRED, "expose_share": 0.02})
    assert paths(error) == ["canary_weight"]


def test_a_template_is_parsed_and_instantiated() -> None:
    plan = instantiate(parse_template(document()), {"service": "pages"})
    assert (plan.service, plan.candidate, plan.by_s, plan.template) == ("pages", "v2", 120.0, "careful")


def test_all_errors_of_a_template_are_reported_together() -> None:
    bad = document(
        parameters=[
            {"name": "term", "type": "duration", "default": 5, "minimum": 30},
            {"name": "term", "type": "number", "minimum": 3, "maximum": 2},
        ],
        plan={
            "service": {"parameter": "servce"},
            "by_s": "soon",
            "steps": [0.1, "x"],
            "limits": {"error_rise": None, "pace": 1},
            "template": "x",
        },
    )
    with pytest.raises(TemplateError) as error:
        parse_template(bad)
    assert paths(error) == [
        "parameters.0.default",
        "parameters.1.name",
        "parameters.1.minimum",
        "plan.service",
        "plan.by_s",
        "plan.steps",
        "plan.limits.error_rise",
        "plan.limits.pace",
        "plan.template",
        "plan.candidate",
    ]


@pytest.mark.parametrize(
    ("data", "path"),
    [
        (b"{", ""),
        (b"[]", ""),
        (b'{"name": "Bad Name"}', "name"),
        (b'{"name": "x", "colour": 1}', "colour"),
        (b'{"name": "x", "parameters": [{"name": "a", "type": "date"}]}', "parameters.0.type"),
        (b" " * (MAX_DOCUMENT_BYTES + 1), ""),
    ],
)
def test_malformed_documents_are_rejected_with_a_path(data: bytes, path: str) -> None:
    with pytest.raises(TemplateError) as error:
        parse_template(data)
    assert path in paths(error)


def test_a_parameter_of_the_wrong_type_for_its_field_is_rejected() -> None:
    template = parse_template(document(plan={"service": {"parameter": "term"}, "candidate": "v2"}))
    with pytest.raises(TemplateError) as error:
        instantiate(template, {"service": "text"})
    assert paths(error) == ["plan.service"]


def test_a_promote_body_has_default_template_and_rejects_unknown_fields() -> None:
    body = parse_promote_body(b'{"parameters": {"service": "text"}}')
    assert (body.template, body.parameters) == ("standard", {"service": "text"})
    with pytest.raises(TemplateError) as error:
        parse_promote_body(b'{"template": 4, "parameters": [], "go": true}')
    assert sorted(paths(error)) == ["go", "parameters", "template"]


@pytest.mark.parametrize(
    ("change", "path"),
    [
        ({"service": ""}, "service"),
        ({"by_s": 1.0}, "by_s"),
        ({"by_s": float("nan")}, "by_s"),
        ({"expose_share": 0.11}, "expose_share"),
        ({"expose_allowance": -1}, "expose_allowance"),
        ({"rollback_ms": 6000}, "rollback_ms"),
        ({"canary_weight": 0.0}, "canary_weight"),
        ({"steps": ()}, "steps"),
        ({"steps": (0.5, 0.25, 1.0)}, "steps.1"),
        ({"steps": (0.01, 1.0)}, "steps.0"),
        ({"steps": (0.5,)}, "steps.0"),
        ({"steps": (0.5, 1.5)}, "steps.1"),
        ({"first_zones": ("a", "a")}, "first_zones"),
        ({"limits": JudgeLimits(false_alarm=0.5)}, "limits.false_alarm"),
        ({"limits": JudgeLimits(token_gap_ratio=1.0)}, "limits.token_gap_ratio"),
    ],
)
def test_each_plan_field_out_of_range_is_reported(change: dict[str, Any], path: str) -> None:
    assert validate_plan(PLAN) == ()
    assert path in [error.path for error in validate_plan(msgspec.structs.replace(PLAN, **change))]
