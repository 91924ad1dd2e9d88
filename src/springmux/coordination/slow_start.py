"""Slow start: a new engine's cache is empty, so its share of the traffic grows linearly.

Both the router's and the gateway's engine choice apply it. Which prefixes a new engine takes is decided by
hash, so all nodes agree, and its set of prefixes only grows. A loss right after a replacement therefore meets
engines that already have some of the prefixes cached.
"""

from __future__ import annotations

SLOW_START_S = 10.0
"""Time to the full share: about the time in which an engine receives each of its prefixes once."""
INITIAL_SHARE = 0.1
"""Share at the start: enough to show whether the engine works."""


def slow_start_share(first_seen_at: float, now: float) -> float:
    """Return the share (0..1) of its usual requests for an engine known since ``first_seen_at`` (seconds)."""
    age_s = now - first_seen_at
    if age_s >= SLOW_START_S:
        return 1.0
    return max(INITIAL_SHARE, age_s / SLOW_START_S)
