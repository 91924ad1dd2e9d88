"""Bound on how deep operators' JSON documents may be nested.

The decoder's own limit differs with the depth of the caller's stack, so that one node could refuse what
another takes; recursion over what it lets through could end a node.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

MAX_DEPTH = 32
"""A template has three levels, a configuration document four."""


def is_shallow(value: Any) -> bool:
    """Return whether a decoded JSON value has at most :data:`MAX_DEPTH` levels."""
    level = [value]
    for _ in range(MAX_DEPTH):
        level = [inner for outer in level for inner in _members(outer)]
    return not level


def _members(value: Any) -> Iterable[Any]:
    if isinstance(value, dict):
        return value.values()
    return value if isinstance(value, list) else ()
