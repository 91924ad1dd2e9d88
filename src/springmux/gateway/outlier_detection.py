"""Outlier detection: failing engines are ejected, slow ones get a smaller weight.

An engine is compared only with the others of its version. If most engines of a version fail, none is an
outlier: a bad version is detected by the rollout judge (cf. Envoy's outlier detection, success rate method).
The router ejects after consecutive failures instead (:mod:`springmux.router.ejection`): it verifies each
response against its protocol, whereas here an error status may be caused by the request itself.
"""

from __future__ import annotations

import statistics
from collections.abc import Sequence

from springmux.gateway.engine_health import EngineHealth

OUTLIER_FAILURE_RATE = 0.15
"""Failure rate above which an engine may be an outlier."""
HEALTHY_FAILURE_RATE = 0.05
"""The median failure rate of the other engines must be below this for an engine to be an outlier."""
MIN_SAMPLES = 5
MIN_FAILURES = 1.5
"""Smallest decayed count of failures of an outlier; a single failure may be chance."""
MAX_EJECTED_SHARE = 0.5
"""Largest fraction of a service's engines that may be ejected."""
SLOW_FACTOR = 4.0
"""Multiple of the others' median seconds per token above which an engine is slow. An uncached long prompt
takes about this many times as long as a cached one."""
MIN_WEIGHT = 0.05
"""Fraction of its usual requests that a slow engine keeps: enough to detect its recovery."""


def update_outliers(versions: Sequence[Sequence[EngineHealth]], now: float) -> None:
    """Set ``ejected`` and ``weight`` of the engines of a service, grouped by version."""
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
    known = [(health.failure_rate(now), health) for health in group if health.sample_count >= MIN_SAMPLES]
    found = []
    for rate, health in known:
        if rate <= OUTLIER_FAILURE_RATE or health.failures < MIN_FAILURES:
            continue
        others = [other_rate for other_rate, other in known if other is not health]
        if others and statistics.median(others) < HEALTHY_FAILURE_RATE:
            found.append((rate, health))
    return found


def _set_weights(group: Sequence[EngineHealth], now: float) -> None:
    known = [health for health in group if health.pace_sample_count >= MIN_SAMPLES]
    for health in group:
        health.weight = 1.0
    if len(known) < 2:
        return
    fastest = min(health.mean_log_pace for health in known)
    for health in known:
        # The fastest engine bounds the median from below, so that healthy engines need no sorting.
        if health.pace_excess(fastest, now) <= SLOW_FACTOR:
            continue
        others = [other.mean_log_pace for other in known if other is not health]
        excess = health.pace_excess(statistics.median(others), now)
        if excess > SLOW_FACTOR:
            health.weight = max(MIN_WEIGHT, 1.0 / excess)
