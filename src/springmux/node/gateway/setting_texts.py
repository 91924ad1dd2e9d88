"""Settings that are written as text: what a template or an environment variable can give for any type.

A template that fills ``name = "{{value}}"`` can't know whether the value is there or what it looks like. An
empty text is an absent setting; any other is read as the setting's type says. What can't be read is left as
it is, so that the check of the settings names it.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Annotated, Any, get_args, get_origin

_FLAGS = {"true": True, "false": False}


def base_kind(kind: Any) -> tuple[Any, tuple[Any, ...]]:
    """Return a field's plain type and the bounds that stand beside it."""
    if get_origin(kind) is not Annotated:
        return kind, ()
    base, *metadata = get_args(kind)
    return base, tuple(metadata)


def read_texts(
    table: Mapping[str, Any], kinds: Mapping[str, Any], required: Collection[str]
) -> dict[str, Any]:
    """Return the table with texts read as their settings' types, without the optional ones that are empty."""
    read: dict[str, Any] = {}
    for name, value in table.items():
        if isinstance(value, str) and name in kinds:
            if not value.strip() and name not in required:
                continue
            value = _read(value, base_kind(kinds[name])[0])
        read[name] = value
    return read


def _read(text: str, kind: Any) -> Any:
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
