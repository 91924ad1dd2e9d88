"""Bound on the nesting depth of operators' JSON documents.

The decoder's own limit depends on the depth of the caller's stack, so one node could reject a document that
another accepts. Recursion over a document that the decoder just accepts could crash a node.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

MAX_DEPTH = 32
"""Largest number of levels. A template has three, a configuration document four."""


def is_within_max_depth(value: Any) -> bool:
    """Return whether a decoded JSON value has at most :data:`MAX_DEPTH` levels."""
    level = [value]
    for _ in range(MAX_DEPTH):
        level = [inner for outer in level for inner in _children(outer)]
    return not level


def _children(value: Any) -> Iterable[Any]:
    if isinstance(value, dict):
        return value.values()
    return value if isinstance(value, list) else ()
