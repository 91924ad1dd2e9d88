"""Outlier detection: failing engines are ejected, slow ones get a smaller weight.

An engine is compared with the others of its version only. If most of a version fail, none is an outlier: a
bad version is the rollout judge's concern (cf. Envoy's outlier detection, success rate method). The router
ejects after consecutive failures instead (:mod:`springmux.router.ejection`): there each response is verified
against its protocol, here an error status may be the request's own fault.
"""

from __future__ import annotations

import statistics
from collections.abc import Sequence

from springmux.gateway.engine_health import EngineHealth

OUTLIER_FAILURE_RATE = 0.15
"""Failure rate above which an engine may be an outlier."""
HEALTHY_FAILURE_RATE = 0.05
"""The other engines' median must be below."""
MIN_SAMPLES = 5
MIN_FAILURES = 1.5
"""Weight of recent failures; a single one is chance."""
MAX_EJECTED_SHARE = 0.5
"""Of a service's engines."""
SLOW_FACTOR = 4.0
"""Times the others' median pace; an uncached long prompt takes about this much longer than a cached one."""
MIN_WEIGHT = 0.05
"""Share of its usual requests that a slow engine keeps, enough to notice that it has recovered."""


def update_outliers(versions: Sequence[Sequence[EngineHealth]], now: float) -> None:
    """Set ``ejected`` and ``weight`` of a service's engines, which are grouped by version."""
    count = 0
    outliers: list[tuple[float, EngineHealth]] = []
    for group in versions:
        count += len(group)
        outliers.extend(_failing(group, now))
        _set_weights(group, now)
        for health in group:
            health.ejected = False
    outliers.sort(key=lambda item: -item[0])
    for _, health in outliers[: int(count * MAX_EJECTED_SHARE)]:
        health.ejected = True
    for group in versions:
        for health in group:
            health.update_closed_until()


def _failing(group: Sequence[EngineHealth], now: float) -> list[tuple[float, EngineHealth]]:
    known = [(health.failure_rate(now), health) for health in group if health.counted >= MIN_SAMPLES]
    found = []
    for rate, health in known:
        if rate <= OUTLIER_FAILURE_RATE or health.failures < MIN_FAILURES:
            continue
        others = [other_rate for other_rate, other in known if other is not health]
        if others and statistics.median(others) < HEALTHY_FAILURE_RATE:
            found.append((rate, health))
    return found


def _set_weights(group: Sequence[EngineHealth], now: float) -> None:
    known = [health for health in group if health.paced >= MIN_SAMPLES]
    for health in group:
        health.weight = 1.0
    if len(known) < 2:
        return
    quickest = min(health.log_pace for health in known)
    for health in known:
        # The quickest bounds the median from below, which saves sorting for healthy engines.
        if health.pace_excess(quickest, now) <= SLOW_FACTOR:
            continue
        others = [other.log_pace for other in known if other is not health]
        excess = health.pace_excess(statistics.median(others), now)
        if excess > SLOW_FACTOR:
            health.weight = max(MIN_WEIGHT, 1.0 / excess)
