"""Parses settings that are written as strings whatever their type, as templates and variables produce them.

A template that fills ``name = "{{value}}"`` doesn't know whether there is a value, or its type. An empty
string therefore counts as an absent setting, and any other string is parsed as the setting's type. A string
that can't be parsed is left unchanged, so that the validation of the settings reports it.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Annotated, Any, get_args, get_origin

_BOOLEANS = {"true": True, "false": False}


def base_type(field_type: Any) -> tuple[Any, tuple[Any, ...]]:
    """Return a field's type without its annotations, and the annotations."""
    if get_origin(field_type) is not Annotated:
        return field_type, ()
    base, *metadata = get_args(field_type)
    return base, tuple(metadata)


def parse_strings(
    table: Mapping[str, Any], types: Mapping[str, Any], required: Collection[str]
) -> dict[str, Any]:
    """Return ``table`` with its strings parsed as the types in ``types``, without empty optional settings."""
    parsed: dict[str, Any] = {}
    for name, value in table.items():
        if isinstance(value, str) and name in types:
            if not value.strip() and name not in required:
                continue
            value = _parse(value, base_type(types[name])[0])
        parsed[name] = value
    return parsed


def _parse(text: str, field_type: Any) -> Any:
    if field_type is bool:
        return _BOOLEANS.get(text.strip().lower(), text)
    if field_type is int or field_type is float:
        return _number(text, field_type)
    return text


def _number(text: str, field_type: type[int] | type[float]) -> Any:
    try:
        return field_type(text)
    except ValueError:
        return text
