"""Suspicion timers and local health (Dadgar, Phillips and Currey 2018, Lifeguard, section III)."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from springmux.coordination.identifiers import NodeId
from springmux.coordination.membership.settings import MembershipSettings


@dataclass
class Suspicion:
    """One suspected node; independent accusers shorten the time that it has to refute."""

    incarnation: int
    started_at: float
    accusers: set[NodeId] = field(default_factory=set)

    def deadline(self, settings: MembershipSettings, health_factor: int) -> float:
        """Return when the suspect is declared dead (Lifeguard, section III-B)."""
        confirmations = max(0, len(self.accusers) - 1)
        span = settings.suspicion_max_s - settings.suspicion_min_s
        share = math.log(confirmations + 1) / math.log(settings.suspicion_confirmations + 1)
        timeout_s = settings.suspicion_max_s - span * min(1.0, share)
        return self.started_at + timeout_s * health_factor


class LocalHealth:
    """Local health of this node: a score that lengthens timeouts, and the outcomes of the latest probes."""

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._score = 0
        self._outcomes: deque[tuple[float, bool]] = deque(maxlen=settings.outcome_window)

    @property
    def factor(self) -> int:
        """Return the multiplier of timeouts; 1 means healthy."""
        return self._score + 1

    def adjust_score(self, points: int) -> None:
        """Add ``points`` to the score; a higher score is worse."""
        self._score = max(0, min(self._settings.health_max, self._score + points))

    def record_probe(self, succeeded: bool, now: float) -> None:
        """Record the outcome of a finished probe."""
        self._outcomes.append((now, succeeded))

    def may_declare_death(self, suspected_at: float) -> bool:
        """Return whether most own probes since ``suspected_at`` succeeded; else this node may be cut off."""
        outcomes = [succeeded for when, succeeded in self._outcomes if when >= suspected_at]
        return 2 * outcomes.count(False) < len(outcomes)

    def reset_after_pause(self) -> None:
        """Discard the outcomes, which a pause of the process invalidates, and lengthen the timeouts."""
        self._outcomes.clear()
        self.adjust_score(2)
