"""Counts and capacity of a version's ready engines."""

from __future__ import annotations

from springmux.vocabulary.engines import EnginesView
from springmux.vocabulary.names import ServiceName, VersionName


def ready_capacity(engines: EnginesView | None, service: ServiceName, version: VersionName) -> int:
    """Return how many requests the ready engines of a version can run concurrently."""
    if engines is None:
        return 0
    return sum(record.capacity for record in engines.ready(service) if record.version == version)


def ready_count(engines: EnginesView | None, service: ServiceName, version: VersionName) -> int:
    """Return how many engines of a version are ready."""
    if engines is None:
        return 0
    return sum(record.version == version for record in engines.ready(service))


def engines_limit(weight: float, stable_count: int, candidate_count: int) -> int:
    """Return how many candidate engines get a stable engine's load each at ``weight``; 0 means all."""
    if weight >= 1.0 or stable_count == 0:
        return 0
    wanted = max(1, round(weight * stable_count / (1.0 - weight)))
    return 0 if wanted >= candidate_count else wanted
