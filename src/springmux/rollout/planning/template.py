"""Rollout templates: typed parameters with bounds, from which a plan is made with a tenant's values.

A template is a JSON document; each field of its ``plan`` is a literal or ``{"parameter": "name"}``.
Invalid input is rejected with a list of all errors, each with its path.
"""

from __future__ import annotations

import enum
import json
import re
from collections.abc import Mapping
from typing import Any, TypeVar

import msgspec
import pydantic

from springmux.rollout.plan import JudgeLimits, RolloutPlan
from springmux.rollout.planning.plan_checks import validate_plan
from springmux.vocabulary.errors import FieldError, SpringmuxError

MAX_DOCUMENT_BYTES = 64 * 1024
"""Largest template or promote body, which is usually a page of text; larger documents aren't parsed."""
MAXIMUM_NUMBER = 1e15
"""Bound of numeric parameters. No plan needs more, and whole numbers below it are exact as floats."""
STANDARD_TEMPLATE_NAME = "standard"

_DURATION = re.compile(r"(\d+(?:\.\d+)?)\s*(ms|s|m|h)")
_DURATION_UNITS_S = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}


class TemplateError(SpringmuxError):
    """A template, its parameters or the resulting plan are invalid; ``errors`` names every field."""

    def __init__(self, errors: tuple[FieldError, ...]) -> None:
        super().__init__("; ".join(f"{error.path}: {error.message}" for error in errors))
        self.errors = errors


class ParameterType(enum.StrEnum):
    """Type of a template's parameter."""

    NUMBER = "number"
    INTEGER = "integer"
    STRING = "string"
    ZONES = "zones"
    """A list of zone names."""
    DURATION = "duration"
    """Seconds as a number, or text such as ``"90s"``, ``"5m"``; bounds are in seconds."""


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Parameter(_Model):
    """One typed parameter. It is required if it has no default. Bounds are inclusive."""

    name: str = pydantic.Field(pattern=r"^[a-z][a-z0-9_]{0,63}$")
    type: ParameterType
    default: Any = None
    minimum: float | None = None
    maximum: float | None = None
    description: str = ""


class RolloutTemplate(_Model):
    """A parsed template. ``plan`` maps fields of :class:`RolloutPlan` to literals or parameters."""

    name: str = pydantic.Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,63}$")
    description: str = ""
    parameters: tuple[Parameter, ...] = ()
    plan: dict[str, Any] = {}


class PromoteBody(_Model):
    """Body of promote and preview: a template's name and the values of its parameters."""

    template: str = STANDARD_TEMPLATE_NAME
    parameters: dict[str, Any] = {}


_M = TypeVar("_M", bound=pydantic.BaseModel)


def parse_template(data: bytes) -> RolloutTemplate:
    """Return the template in a JSON document.

    :raises TemplateError: if the document is invalid; it lists all errors, including invalid defaults.
    """
    template = _parse(data, RolloutTemplate)
    errors = _template_errors(template)
    if errors:
        raise TemplateError(tuple(errors))
    return template


def parse_promote_body(data: bytes) -> PromoteBody:
    """Return the body of a promote or preview order; an empty ``template`` means the standard one.

    :raises TemplateError: if the document is not a valid body.
    """
    return _parse(data, PromoteBody)


def instantiate(template: RolloutTemplate, parameters: Mapping[str, object]) -> RolloutPlan:
    """Return the plan that ``template`` defines for ``parameters``.

    :raises TemplateError: naming every unknown, missing or invalid parameter, or every invalid plan field.
    """
    values: dict[str, object] = {}
    known = {parameter.name for parameter in template.parameters}
    errors = [
        FieldError(f"parameters.{name}", f"unknown; template {template.name!r} has {sorted(known)}")
        for name in sorted(set(parameters) - known)
    ]
    for parameter in template.parameters:
        path = f"parameters.{parameter.name}"
        raw_value = parameters.get(parameter.name, parameter.default)
        if raw_value is None:
            errors.append(FieldError(path, f"missing; give a {parameter.type}"))
            continue
        try:
            values[parameter.name] = _parse_value(parameter, raw_value)
        except ValueError as error:
            errors.append(FieldError(path, str(error)))
    if errors:
        raise TemplateError(tuple(errors))
    plan = _build_plan(template, values)
    plan_errors = validate_plan(plan)
    if plan_errors:
        raise TemplateError(plan_errors)
    return plan


def _parse(data: bytes, model: type[_M]) -> _M:
    if len(data) > MAX_DOCUMENT_BYTES:
        raise TemplateError((FieldError("", f"{len(data)} bytes, at most {MAX_DOCUMENT_BYTES} are allowed"),))
    try:
        return model.model_validate_json(data, strict=False)
    except pydantic.ValidationError as error:
        raise TemplateError(tuple(_field_error(item) for item in error.errors())) from None


def _field_error(item: Mapping[str, Any]) -> FieldError:
    return FieldError(".".join(str(part) for part in item["loc"]), item["msg"])


def _template_errors(template: RolloutTemplate) -> list[FieldError]:
    errors: list[FieldError] = []
    names: set[str] = set()
    for index, parameter in enumerate(template.parameters):
        path = f"parameters.{index}"
        if parameter.name in names:
            errors.append(FieldError(f"{path}.name", f"{parameter.name!r} is defined twice"))
        names.add(parameter.name)
        low, high = parameter.minimum, parameter.maximum
        if low is not None and high is not None and low > high:
            errors.append(FieldError(f"{path}.minimum", f"{low:g} is above the maximum {high:g}"))
        elif parameter.default is not None:
            try:
                _parse_value(parameter, parameter.default)
            except ValueError as error:
                errors.append(FieldError(f"{path}.default", str(error)))
    errors += _plan_field_errors(template.plan, RolloutPlan, "plan", names)
    errors += [
        FieldError(f"plan.{needed}", "missing")
        for needed in ("service", "candidate")
        if needed not in template.plan
    ]
    return errors


def _plan_field_errors(
    fields: Mapping[str, Any], target: type[msgspec.Struct], path: str, names: set[str]
) -> list[FieldError]:
    errors: list[FieldError] = []
    types = {field.name: field.type for field in msgspec.structs.fields(target)}
    for name, value in fields.items():
        field_path = f"{path}.{name}"
        if name not in types or name == "template":
            errors.append(FieldError(field_path, "unknown field of a plan"))
        elif name == "limits" and isinstance(value, dict):
            errors += _plan_field_errors(value, JudgeLimits, field_path, names)
        elif not isinstance(value, dict):
            errors += _type_errors(field_path, value, types[name])
        elif set(value) != {"parameter"} or str(value["parameter"]) not in names:
            errors.append(FieldError(field_path, 'give a value or {"parameter": NAME} of this template'))
    return errors


def _type_errors(path: str, value: object, expected_type: Any) -> list[FieldError]:
    try:
        msgspec.convert(value, expected_type)
    except msgspec.ValidationError as error:
        return [FieldError(path, str(error))]
    return []


def _build_plan(template: RolloutTemplate, values: Mapping[str, object]) -> RolloutPlan:
    document = _substitute(template.plan, values)
    errors = _plan_field_errors(document, RolloutPlan, "plan", set())
    if errors:
        raise TemplateError(tuple(errors))
    return msgspec.convert({**document, "template": template.name}, RolloutPlan)


def _substitute(fields: Mapping[str, Any], values: Mapping[str, object]) -> dict[str, Any]:
    document: dict[str, Any] = {}
    for name, value in fields.items():
        if not isinstance(value, dict):
            document[name] = value
        elif name == "limits":
            document[name] = _substitute(value, values)
        else:
            document[name] = values[str(value["parameter"])]
    return document


def _parse_value(parameter: Parameter, raw_value: object) -> object:
    """Return ``raw_value`` converted to the parameter's type.

    :raises ValueError: if it is of another type or out of bounds.
    """
    if parameter.type is ParameterType.STRING:
        if not isinstance(raw_value, str) or not raw_value:
            raise ValueError(f"must be a string, not {json.dumps(raw_value, default=str)}")
        return raw_value
    if parameter.type is ParameterType.ZONES:
        if not isinstance(raw_value, list | tuple) or not all(isinstance(z, str) and z for z in raw_value):
            raise ValueError("must be a list of zone names")
        return list(raw_value)
    number = _duration_s(raw_value) if parameter.type is ParameterType.DURATION else _number(raw_value)
    if parameter.type is ParameterType.INTEGER and number != int(number):
        raise ValueError(f"must be a whole number, not {number:g}")
    if parameter.minimum is not None and number < parameter.minimum:
        raise ValueError(f"{number:g} is below the minimum {parameter.minimum:g}")
    if parameter.maximum is not None and number > parameter.maximum:
        raise ValueError(f"{number:g} is above the maximum {parameter.maximum:g}")
    return int(number) if parameter.type is ParameterType.INTEGER else number


def _number(raw_value: object) -> float:
    if isinstance(raw_value, bool) or not isinstance(raw_value, int | float):
        raise ValueError(f"must be a number, not {json.dumps(raw_value, default=str)}")
    # Check the bounds first: an integer too large for a float can't be converted.
    if not -MAXIMUM_NUMBER <= raw_value <= MAXIMUM_NUMBER:
        raise ValueError(f"must be a number of magnitude at most {MAXIMUM_NUMBER:g}")
    return float(raw_value)


def _duration_s(raw_value: object) -> float:
    if not isinstance(raw_value, str):
        return _number(raw_value)
    match = _DURATION.fullmatch(raw_value.strip())
    if match is None:
        raise ValueError(f"must be seconds or a string such as 90s, 5m or 1h, not {json.dumps(raw_value)}")
    return float(match[1]) * _DURATION_UNITS_S[match[2]]
