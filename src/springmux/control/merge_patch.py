"""JSON Merge Patch (RFC 7396): describes a change of a document by its changed members only."""

from __future__ import annotations

from typing import Any

JsonValue = Any
"""A decoded JSON value: ``None``, ``bool``, ``int``, ``float``, ``str``, ``list`` or ``dict``."""


def merge_patch(target: JsonValue, patch: JsonValue) -> JsonValue:
    """Return ``target`` changed by ``patch``; neither is modified (RFC 7396, section 2).

    In objects, ``null`` removes a member. A patch that isn't an object replaces the whole target.
    """
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, dict) else {}
    for name, value in patch.items():
        if value is None:
            merged.pop(name, None)
        else:
            merged[name] = merge_patch(merged.get(name), value)
    return merged
