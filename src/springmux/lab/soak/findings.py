"""What a soak found: broken rules with their evidence, and counts of what was looked at."""

from __future__ import annotations

import enum
import time
from collections import Counter

import msgspec


class Rule(enum.StrEnum):
    """What must hold."""

    NEWEST = "newest"
    """Undisturbed nodes handle a request as a configuration allows that is new enough."""
    NO_STEP_BACK = "no step back"
    """Within one life a node never goes back to an older configuration."""
    ACKNOWLEDGED = "acknowledged"
    """An acknowledged configuration stays, of two on one version one wins, a valid one is taken."""
    ANSWERED = "answered"
    """A request that a process has read is answered, though the process is asked to stop."""
    AVAILABLE = "available"
    """Undisturbed nodes serve proper requests."""
    ONCE = "once"
    """Engines run a request once at most, and not at all if it was refused."""
    END = "end"
    """Processes end when they are asked to, in time, with code 0, and not by themselves."""


class Finding(msgspec.Struct, frozen=True):
    """One broken rule. ``at_s``: seconds from the run's beginning."""

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
        """Note a broken rule."""
        self.found.append(Finding(rule, round(time.monotonic() - self._began_at, 3), what))

    def count(self, what: str) -> None:
        """Count something that was looked at."""
        self.counts[what] += 1
