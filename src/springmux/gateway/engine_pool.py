"""The engines of each service as seen by one node: load, groups by version, rendezvous orders."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from springmux.coordination.rendezvous import rendezvous_score
from springmux.coordination.slow_start import slow_start_share
from springmux.gateway.engine_health import EngineHealth
from springmux.gateway.outlier_detection import update_outliers
from springmux.vocabulary.engines import EngineRecord, EngineStatus, EnginesView
from springmux.vocabulary.names import EngineId, ServiceName, VersionName

REFRESH_S = 0.25
"""Interval, in seconds, between comparisons of the engines and between updates of their slow start."""
ORDER_LENGTH = 16
"""Engines kept of a prefix's rendezvous order: the maximum that share a prefix, and spares for unavailable
ones."""
MAX_CACHED_ORDERS = 4096
QUEUE_ESTIMATE_DECAY_S = 0.2
"""Time constant, in seconds, of the queue estimated from an observed wait: about one long prefill."""
IN_FLIGHT_SMOOTHING = 0.05
"""Weight of the newest count in the moving average: about the last 20 requests count."""
_HASH_RANGE = float(1 << 64) * (1.0 + 2.0**-50)
"""Slightly above 2**64, so that no score rounds to 1, whose logarithm is 0."""
_THRESHOLD_MASK = (1 << 16) - 1
"""Bits of a score that determine how early in its slow start an engine receives the prefix."""


@dataclass(eq=False, slots=True)
class EngineSlot:
    """One engine incarnation, with this node's view of its load. Times are monotonic seconds.

    ``prefill_tokens``: prompt tokens of this node's requests without a first event. ``queue_tokens``: tokens
    queued ahead of a recent request, estimated from its wait at ``queue_estimated_at``. ``other_requests``
    and ``other_tokens``: load of the other nodes, as reported. ``ramp``: share (0..1) of its usual requests
    during slow start. ``skipped_choices``: choices by load since the last dispatch to it.
    """

    record: EngineRecord
    first_seen_at: float
    health: EngineHealth = field(default_factory=EngineHealth)
    in_flight: int = 0
    prefill_tokens: float = 0.0
    queue_tokens: float = 0.0
    queue_estimated_at: float = -math.inf
    other_requests: float = 0.0
    other_tokens: float = 0.0
    sent_at: float = -math.inf
    skipped_choices: int = 0
    ramp: float = 1.0

    @property
    def requests(self) -> float:
        """Requests of all nodes in flight on the engine, as far as this node knows."""
        return self.in_flight + self.other_requests

    def skips_choice(self, engines: int) -> bool:
        """Count a choice among ``engines`` engines; return whether to skip this one as warming or slow.

        Such an engine is usually the least loaded, so it is limited to one choice in ``engines / share``.
        """
        share = self.ramp * self.health.weight
        if share >= 1.0:
            return False
        self.skipped_choices += 1
        return self.skipped_choices * share < engines

    def tokens_ahead(self, now: float) -> float:
        """Return the estimated prompt tokens queued ahead of a request that is dispatched now."""
        ahead = self.prefill_tokens + self.other_tokens
        age_s = now - self.queue_estimated_at
        if age_s < 5.0 * QUEUE_ESTIMATE_DECAY_S:
            ahead += self.queue_tokens * math.exp(-age_s / QUEUE_ESTIMATE_DECAY_S)
        return ahead


class EngineGroup:
    """Ready engines among which a request's engine is chosen."""

    def __init__(self, slots: Iterable[EngineSlot]) -> None:
        self.slots = sorted(slots, key=lambda slot: slot.record.engine)
        self._same_capacity = len({slot.record.capacity for slot in self.slots}) <= 1
        self._orders: OrderedDict[str, list[tuple[EngineSlot, float]]] = OrderedDict()

    def order(self, prefix_id: str) -> list[tuple[EngineSlot, float]]:
        """Return a prefix's engines in weighted rendezvous order, weighted by capacity.

        Each has a fixed threshold in 0..1 and receives the prefix once its ramp exceeds that, so a new
        engine's set of prefixes only grows. Weighting: Schindelhauer and Schomaker 2005.
        """
        order = self._orders.get(prefix_id)
        if order is None:
            order = self._rank(prefix_id)
            if len(self._orders) >= MAX_CACHED_ORDERS:
                self._orders.popitem(last=False)
            self._orders[prefix_id] = order
        return order

    def _rank(self, prefix_id: str) -> list[tuple[EngineSlot, float]]:
        slots = self.slots
        scores = [rendezvous_score(prefix_id, slot.record.engine) for slot in slots]
        ranks: list[float] | list[int] = scores
        if not self._same_capacity:
            ranks = [_weighted_score(score, slot) for score, slot in zip(scores, slots, strict=True)]
        order = sorted(range(len(slots)), key=ranks.__getitem__, reverse=True)[:ORDER_LENGTH]
        return [
            (slots[number], (scores[number] & _THRESHOLD_MASK) / (_THRESHOLD_MASK + 1)) for number in order
        ]


def _weighted_score(score: int, slot: EngineSlot) -> float:
    """Return -capacity / ln(u), with u the score scaled to 0..1; equal capacities keep the scores' order."""
    return -max(1, slot.record.capacity) / math.log((score + 0.5) / _HASH_RANGE)


class ServicePool:
    """All engines of one service.

    ``has_unhealthy``: whether some engine may be suspect or ejected. ``mean_in_flight``: moving average of
    this node's requests on the ready engines.
    """

    def __init__(self, slots: Sequence[EngineSlot], mean_in_flight: float = 0.0) -> None:
        ready = [slot for slot in slots if slot.record.status is EngineStatus.READY]
        self.ready = EngineGroup(ready)
        self.lost = [slot for slot in slots if slot.record.status is EngineStatus.LOST]
        self.versions = frozenset(slot.record.version for slot in slots)
        self.capacity = sum(max(1, slot.record.capacity) for slot in ready)
        self._by_version: dict[VersionName, EngineGroup] = {}
        for version in self.versions:
            members = [slot for slot in ready if slot.record.version == version]
            if members:
                self._by_version[version] = EngineGroup(members)
        self._healths = [[slot.health for slot in group.slots] for group in self._by_version.values()]
        self._subsets: dict[tuple[VersionName, int], EngineGroup] = {}
        self._refresh_at = -math.inf
        self.has_unhealthy = True
        self.mean_in_flight = mean_in_flight

    def groups(self, versions: tuple[VersionName, ...], engines_limit: int) -> list[EngineGroup]:
        """Return the groups in order of preference; ``engines_limit`` applies to the first version."""
        if not versions:
            return [self.ready]
        found = []
        for position, version in enumerate(versions):
            group = self._by_version.get(version)
            if group is not None:
                limit = engines_limit if position == 0 else 0
                found.append(self._subset(version, group, limit) if limit else group)
        return found

    def refresh(self, now: float) -> None:
        """Compare the engines and advance their slow start, at most once per :data:`REFRESH_S`."""
        if now < self._refresh_at:
            return
        self._refresh_at = now + REFRESH_S
        update_outliers(self._healths, now)
        for group in self._by_version.values():
            ramps = [slow_start_share(slot.first_seen_at, now) for slot in group.slots]
            # If all engines of a version are new, none should get less than the others.
            largest = max(ramps)
            for slot, ramp in zip(group.slots, ramps, strict=True):
                slot.ramp = ramp / largest
        self.has_unhealthy = any(slot.health.is_suspect or slot.health.ejected for slot in self.ready.slots)

    def update_mean_in_flight(self) -> None:
        """Update the moving average of this node's requests on the pool."""
        in_flight = sum(slot.in_flight for slot in self.ready.slots)
        self.mean_in_flight += IN_FLIGHT_SMOOTHING * (in_flight - self.mean_in_flight)

    def force_refresh(self) -> None:
        """Force a comparison of the engines at the next choice."""
        self._refresh_at = -math.inf

    def _subset(self, version: VersionName, group: EngineGroup, count: int) -> EngineGroup:
        """Return the first ``count`` engines of a version in rendezvous order, the same at every node."""
        if count >= len(group.slots):
            return group
        key = (version, count)
        subset = self._subsets.get(key)
        if subset is None:
            service = group.slots[0].record.service
            ordered = sorted(group.slots, key=lambda slot: -rendezvous_score(service, slot.record.engine))
            subset = self._subsets[key] = EngineGroup(ordered[:count])
        return subset


class EngineTable:
    """All engines by service.

    A restarted engine gets a new slot, since its cache is empty and its earlier failures no longer matter.
    """

    def __init__(self) -> None:
        self.slots: dict[EngineId, EngineSlot] = {}
        self._records: Mapping[EngineId, EngineRecord] = {}
        self._pools: dict[ServiceName, ServicePool] = {}

    def pool(self, service: ServiceName) -> ServicePool | None:
        """Return a service's engines, or ``None`` if there are none."""
        return self._pools.get(service)

    def update(self, view: EnginesView) -> None:
        """Apply a newer directory view; rebuild only the pools of services that changed."""
        known = self._records
        if view.engines is known:
            return
        changed_services: set[ServiceName] = set()
        for engine, record in view.engines.items():
            old = known.get(engine)
            if record is old or record == old:
                continue
            changed_services.add(record.service)
            if old is not None:
                changed_services.add(old.service)
            self._update_record(record, view.first_seen_at.get(engine, -math.inf))
        for engine in known.keys() - view.engines.keys():
            changed_services.add(known[engine].service)
            del self.slots[engine]
        self._records = dict(view.engines)
        self._rebuild_pools(changed_services)

    def _update_record(self, record: EngineRecord, first_seen_at: float) -> None:
        slot = self.slots.get(record.engine)
        if slot is None:
            self.slots[record.engine] = EngineSlot(record, first_seen_at)
            return
        old = slot.record
        if record.incarnation != old.incarnation:
            slot = _restarted(slot, record, first_seen_at)
            self.slots[record.engine] = slot
        slot.record = record
        moved = record.address != old.address
        if moved or record.age_key > old.age_key:
            slot.health.apply_new_record(moved)

    def _rebuild_pools(self, services: set[ServiceName]) -> None:
        members: dict[ServiceName, list[EngineSlot]] = {service: [] for service in services}
        for slot in self.slots.values():
            record = slot.record
            if record.service in members and record.status is not EngineStatus.LEFT:
                members[record.service].append(slot)
        for service, slots in members.items():
            if slots:
                old = self._pools.get(service)
                self._pools[service] = ServicePool(slots, old.mean_in_flight if old is not None else 0.0)
            else:
                self._pools.pop(service, None)


def _restarted(old: EngineSlot, record: EngineRecord, first_seen_at: float) -> EngineSlot:
    slot = EngineSlot(record, first_seen_at)
    # A record that arrives right after a misdirection may be older than the misdirection.
    slot.health.misdirected_at = old.health.misdirected_at
    slot.health.stale_until = old.health.stale_until
    return slot
