"""Comparison of engines with the others of their version: failing ones are held out, slow ones get less.

Only engines of one version are compared. If most of a version fail, none stands out: a bad version is the
rollout judge's business (cf. Envoy's outlier detection, success rate method).
"""

from __future__ import annotations

import statistics
from collections.abc import Sequence

from springmux.gateway.engine_health import EngineHealth

GREY_RATE = 0.15
"""Failure rate from which an engine may stand out."""
SOUND_RATE = 0.05
"""The others' median must be below."""
LEAST_SAMPLES = 5
LEAST_FAILURES = 1.5
"""Weight of recent failures; a single one is chance."""
LARGEST_HELD_OUT_SHARE = 0.5
"""Of a service's engines."""
SLOW_FACTOR = 4.0
"""Times the others' median pace; a cold long prompt alone takes about this much longer than a kept one."""
LEAST_SHARE = 0.05
"""Of its usual requests, for a slow engine: enough to see that it has recovered."""


def compare(versions: Sequence[Sequence[EngineHealth]], now: float) -> None:
    """Set ``held_out`` and ``share`` of a service's engines, given by version."""
    count = 0
    grey: list[tuple[float, EngineHealth]] = []
    for group in versions:
        count += len(group)
        grey.extend(_failing(group, now))
        _share_by_pace(group, now)
        for health in group:
            health.held_out = False
    grey.sort(key=lambda item: -item[0])
    for _, health in grey[: int(count * LARGEST_HELD_OUT_SHARE)]:
        health.held_out = True
    for group in versions:
        for health in group:
            health.settle()


def _failing(group: Sequence[EngineHealth], now: float) -> list[tuple[float, EngineHealth]]:
    known = [(health.failure_rate(now), health) for health in group if health.counted >= LEAST_SAMPLES]
    found = []
    for rate, health in known:
        if rate <= GREY_RATE or health.failures < LEAST_FAILURES:
            continue
        others = [other_rate for other_rate, other in known if other is not health]
        if others and statistics.median(others) < SOUND_RATE:
            found.append((rate, health))
    return found


def _share_by_pace(group: Sequence[EngineHealth], now: float) -> None:
    known = [health for health in group if health.paced >= LEAST_SAMPLES]
    for health in group:
        health.share = 1.0
    if len(known) < 2:
        return
    quickest = min(health.log_pace for health in known)
    for health in known:
        # The quickest is a bound on the median, so that sound engines cost no sorting.
        if health.pace_excess(quickest, now) <= SLOW_FACTOR:
            continue
        others = [other.log_pace for other in known if other is not health]
        excess = health.pace_excess(statistics.median(others), now)
        if excess > SLOW_FACTOR:
            health.share = max(LEAST_SHARE, 1.0 / excess)
