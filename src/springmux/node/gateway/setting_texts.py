"""Settings written as strings, as templates and environment variables give them for any type.

A template that fills ``name = "{{value}}"`` doesn't know whether there is a value, or its type. An empty
string is an absent setting; any other is parsed as the setting's type. What can't be parsed is left as it is,
so that the validation of the settings reports it.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Annotated, Any, get_args, get_origin

_FLAGS = {"true": True, "false": False}


def base_kind(kind: Any) -> tuple[Any, tuple[Any, ...]]:
    """Return a field's type without its annotations, and these."""
    if get_origin(kind) is not Annotated:
        return kind, ()
    base, *metadata = get_args(kind)
    return base, tuple(metadata)


def parse_strings(
    table: Mapping[str, Any], kinds: Mapping[str, Any], required: Collection[str]
) -> dict[str, Any]:
    """Return the table with its strings parsed as their settings' types, without the optional empty ones."""
    parsed: dict[str, Any] = {}
    for name, value in table.items():
        if isinstance(value, str) and name in kinds:
            if not value.strip() and name not in required:
                continue
            value = _parse(value, base_kind(kinds[name])[0])
        parsed[name] = value
    return parsed


def _parse(text: str, kind: Any) -> Any:
    if kind is bool:
        return _FLAGS.get(text.strip().lower(), text)
    if kind is int or kind is float:
        return _number(text, kind)
    return text


def _number(text: str, kind: type[int] | type[float]) -> Any:
    try:
        return kind(text)
    except ValueError:
        return text
