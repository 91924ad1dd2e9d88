"""Violations of a guarantee, and the interface of checkers."""

from __future__ import annotations

from typing import Protocol

import msgspec

from springmux.coordination.identifiers import NodeId


class Violation(msgspec.Struct, frozen=True):
    """One violated guarantee: the rule, the virtual time in seconds, the nodes, and a description."""

    rule: str
    at: float
    nodes: tuple[NodeId, ...]
    text: str


class Checker(Protocol):
    """Checks a complete history against one guarantee."""

    def violations(self) -> list[Violation]:
        """Return all violations, in the order of time."""
        ...
