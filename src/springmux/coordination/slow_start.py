"""Slow start: a new engine's cache is empty, so its share of the traffic grows linearly.

The engine choice of both the router and the gateway applies it. A hash decides which prefixes a new engine
receives, so all nodes agree, and its set of prefixes only grows. If another engine is lost right after a
replacement, the new engines therefore already have some of the prefixes cached.
"""

from __future__ import annotations

SLOW_START_S = 10.0
"""Time until the full share: about the time in which an engine receives each of its prefixes once."""
INITIAL_SHARE = 0.1
"""Share of the usual requests at the start: enough to show whether the engine works."""


def slow_start_share(first_seen_at: float, now: float) -> float:
    """Return the share (0..1) of its usual requests that an engine receives at ``now``.

    :param first_seen_at: time (s) since which the engine is known, on the clock of ``now``.
    """
    age_s = now - first_seen_at
    if age_s >= SLOW_START_S:
        return 1.0
    return max(INITIAL_SHARE, age_s / SLOW_START_S)
