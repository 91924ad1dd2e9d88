"""Findings of a soak: broken rules with their evidence, and counts of checks and events."""

from __future__ import annotations

import enum
import time
from collections import Counter

import msgspec


class Rule(enum.StrEnum):
    """A rule that must hold throughout a run."""

    NEWEST = "newest"
    """Undisturbed nodes apply a configuration that is recent enough to each request."""
    NO_REGRESSION = "no step back"
    """Within one incarnation a node never returns to an older configuration."""
    ACKNOWLEDGED = "acknowledged"
    """An acknowledged version is kept, one of two concurrent changes wins, a valid change is accepted."""
    ANSWERED = "answered"
    """A request that a process has read gets a response, also while the process stops."""
    AVAILABLE = "available"
    """Undisturbed nodes serve valid requests."""
    ONCE = "once"
    """Engines run a request at most once, and not at all if it was refused."""
    DRAINED = "drained"
    """Undisturbed nodes send an engine nothing more soon after any node acknowledged that it stops."""
    BOUNDED = "bounded"
    """No process holds more memory than the smallest machine has, whatever its clients do."""
    END = "end"
    """Processes exit only on request, within their grace period, with code 0."""


class Finding(msgspec.Struct, frozen=True):
    """One broken rule. ``at_s``: seconds from the beginning of the run; ``what``: the evidence."""

    rule: Rule
    at_s: float
    what: str


class Findings:
    """Collects findings and counts."""

    def __init__(self) -> None:
        self.found: list[Finding] = []
        self.counts: Counter[str] = Counter()
        self._began_at = time.monotonic()

    def add(self, rule: Rule, what: str) -> None:
        """Record a broken rule with its evidence."""
        self.found.append(Finding(rule, round(time.monotonic() - self._began_at, 3), what))

    def count(self, what: str) -> None:
        """Count one check or event."""
        self.counts[what] += 1
