"""State of the engine table that tests compare after dispatches."""

from __future__ import annotations

from springmux.gateway.placement import Placement
from springmux.vocabulary.names import ServiceName, VersionName


def free_capacity(
    placement: Placement, service: ServiceName, versions: tuple[VersionName, ...], now: float
) -> int:
    """Return the number of further requests that the usable engines can take, as far as this node knows."""
    pool = placement._table.pool(service)
    if pool is None:
        return 0
    pool.refresh(now)
    free = 0.0
    for group in pool.groups(versions, 0):
        for slot in group.slots:
            if slot.health.closed_until <= now:
                free += max(0.0, slot.record.capacity - slot.in_flight - slot.other_requests)
    return int(free)


def known_versions(placement: Placement, service: ServiceName) -> frozenset[VersionName]:
    """Return the versions of the service's engines that haven't left."""
    pool = placement._table.pool(service)
    return pool.versions if pool is not None else frozenset()
