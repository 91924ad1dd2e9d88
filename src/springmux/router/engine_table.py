"""Load and health of each engine as seen by this node: one mutable slot per engine incarnation.

A restarted engine gets a new slot: its cache is empty, its ejection is dropped, and index entries for the old
slot are ignored.
"""

from __future__ import annotations

import bisect
from collections.abc import Mapping
from dataclasses import dataclass, field

import xxhash

from springmux.coordination.rendezvous import rendezvous_score
from springmux.coordination.slow_start import slow_start_share
from springmux.vocabulary.engines import EngineLoad, EngineRecord, EngineStatus, EnginesView
from springmux.vocabulary.names import EngineId, ServiceName, VersionName

LOAD_REPORT_LIFETIME_S = 3.0
"""Age at which a load report is ignored; engines report about once a second, with some delay."""
WEIGHTS_REFRESH_S = 0.25
"""Interval at which the sum of a pool's weights is recomputed while one of its engines is in slow start."""
PLACEMENT_WINDOW = 24
"""Maximum number of engines considered for one prefix; a lost engine's prefixes move to as many others."""


@dataclass(eq=False, slots=True)
class EngineSlot:
    """One engine incarnation as this node uses it. Owned by :class:`EngineTable`.

    All times are monotonic seconds, negative if the event has not happened.

    ``outstanding_tokens``: estimated unfinished work of this node's requests.
    ``last_response_byte_at``: when a response byte last arrived.
    ``responded_request_sent_at``: when the latest request was sent for which a response byte arrived.
    ``reset_request_sent_at``: when the latest request was sent that the engine accepted and then reset.
    ``refused_at``: when a connection was last refused.
    ``accepted_probe_began_at``: when the latest probe began whose connection the engine accepted.
    ``failures``, ``ejections`` and ``ejected_until`` belong to the ejector.
    ``probing``: the one request that probes a half-open engine is running.
    """

    record: EngineRecord
    first_seen_at: float
    hash: int
    usable: bool = True
    in_flight: int = 0
    outstanding_tokens: int = 0
    load: EngineLoad | None = None
    last_response_byte_at: float = -1.0
    responded_request_sent_at: float = -1.0
    reset_request_sent_at: float = -1.0
    refused_at: float = -1.0
    accepted_probe_began_at: float = -1.0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = -1.0
    probing: bool = False

    def begin(self, tokens: int) -> None:
        """Count a dispatched request."""
        self.in_flight += 1
        self.outstanding_tokens += tokens

    def end(self, tokens: int) -> None:
        """Count a finished request. ``tokens``: the part of its estimate that is still outstanding."""
        self.in_flight -= 1
        self.outstanding_tokens -= tokens

    def other_nodes_requests(self, now: float) -> float:
        """Return the estimated requests of other nodes, from the engine's load report, decayed by its age."""
        load = self.load
        if load is None:
            return 0.0
        age_s = now - load.measured_at
        if not 0.0 <= age_s < LOAD_REPORT_LIFETIME_S:
            return 0.0
        foreign = load.running + load.queued - self.in_flight
        return max(0, foreign) * (1.0 - age_s / LOAD_REPORT_LIFETIME_S)

    def last_activity_at(self) -> float:
        """Return when the engine last sent response bytes or a load report (monotonic s)."""
        reported_at = self.load.measured_at if self.load is not None else -1.0
        return max(self.last_response_byte_at, reported_at)

    def reports_full_queue(self, now: float) -> bool:
        """Return whether a recent report shows a queue as long as the engine's capacity."""
        load = self.load
        if load is None or not 0.0 <= now - load.measured_at < LOAD_REPORT_LIFETIME_S:
            return False
        return load.queued >= max(1, self.record.capacity)


@dataclass(eq=False, slots=True)
class EnginePool:
    """The ready engines of one version (or a subset), with their weights for bounded load."""

    slots: list[EngineSlot]
    members: frozenset[EngineId] = field(init=False)
    _hashes: list[int] = field(init=False)
    _weight_sum: float = 0.0
    _valid_until: float = -1.0

    def __post_init__(self) -> None:
        self.slots.sort(key=lambda slot: slot.hash)
        self._hashes = [slot.hash for slot in self.slots]
        self.members = frozenset(slot.record.engine for slot in self.slots)

    def placement_candidates(self, key: int) -> list[EngineSlot]:
        """Return the engines considered for a prefix: all of a small pool, else a window.

        The window is the next engines on the hash ring (Karger et al. 1997), so that placement in a pool of
        hundreds of engines costs no more than in one of tens.
        """
        if len(self.slots) <= PLACEMENT_WINDOW:
            return self.slots
        start = bisect.bisect(self._hashes, key)
        window = self.slots[start : start + PLACEMENT_WINDOW]
        return window + self.slots[: PLACEMENT_WINDOW - len(window)]

    def under_pressure(self, now: float) -> bool:
        """Return whether most engines report a queue as long as their capacity."""
        queueing = sum(1 for slot in self.slots if slot.reports_full_queue(now))
        return queueing * 2 > len(self.slots)

    def weight_sum(self, now: float) -> float:
        """Return the sum of the engines' weights."""
        if now >= self._valid_until:
            self._weight_sum = sum(weight(slot, now) for slot in self.slots)
            in_slow_start = any(slow_start_share(slot.first_seen_at, now) < 1.0 for slot in self.slots)
            self._valid_until = now + WEIGHTS_REFRESH_S if in_slow_start else float("inf")
        return self._weight_sum

    def total_in_flight(self) -> int:
        """Return the number of this node's requests in flight on the pool's engines."""
        return sum(slot.in_flight for slot in self.slots)


def weight(slot: EngineSlot, now: float) -> float:
    """Return an engine's weight: its capacity, scaled by its slow start."""
    return max(1, slot.record.capacity) * slow_start_share(slot.first_seen_at, now)


class EngineTable:
    """All slots by engine, and the pools by service and version."""

    def __init__(self) -> None:
        self.slots: dict[EngineId, EngineSlot] = {}
        self._records: Mapping[EngineId, EngineRecord] = {}
        self._pools: dict[tuple[ServiceName, VersionName], EnginePool] = {}
        self._subsets: dict[tuple[ServiceName, VersionName, int], EnginePool] = {}

    def update(self, view: EnginesView) -> None:
        """Apply a directory view; engines that are not ready get no more requests.

        Views arrive with every round of load reports. Unchanged records are the same objects, so that
        comparing whole directories costs one pointer comparison per engine.
        """
        if view.engines != self._records:
            self._apply_records(view)
        for engine, load in view.loads.items():
            slot = self.slots.get(engine)
            if slot is not None:
                slot.load = load

    def pool(self, service: ServiceName, version: VersionName) -> EnginePool:
        """Return the ready engines of a version (possibly none)."""
        return self._pools.get((service, version)) or _EMPTY_POOL

    def service_under_pressure(self, service: ServiceName, now: float) -> bool:
        """Return whether the engines of every version of a service are under pressure."""
        pools = [pool for (name, _), pool in self._pools.items() if name == service]
        return bool(pools) and all(pool.under_pressure(now) for pool in pools)

    def subset(self, service: ServiceName, version: VersionName, count: int) -> EnginePool:
        """Return the first ``count`` engines of a version, the same at every node.

        The order is by rendezvous hash of the service's name, so a larger subset contains a smaller one.
        """
        pool = self.pool(service, version)
        if count >= len(pool.slots):
            return pool
        key = (service, version, count)
        subset = self._subsets.get(key)
        if subset is None:
            ordered = sorted(pool.slots, key=lambda slot: -rendezvous_score(service, slot.record.engine))
            subset = EnginePool(ordered[:count])
            self._subsets[key] = subset
        return subset

    def _apply_records(self, view: EnginesView) -> None:
        previous = self._records
        for engine, record in view.engines.items():
            if record is previous.get(engine):
                continue
            slot = self.slots.get(engine)
            if slot is None or slot.record.incarnation != record.incarnation:
                self._replace_slot(slot, record, view)
            else:
                slot.record = record
                slot.usable = record.status is EngineStatus.READY
        for engine in previous.keys() - view.engines.keys():
            self.slots.pop(engine).usable = False
        self._records = view.engines
        self._build_pools()

    def _replace_slot(self, old: EngineSlot | None, record: EngineRecord, view: EnginesView) -> None:
        if old is not None:
            old.usable = False
        self.slots[record.engine] = EngineSlot(
            record=record,
            first_seen_at=view.first_seen_at.get(record.engine, float("-inf")),
            hash=xxhash.xxh3_64_intdigest(record.engine.encode()),
            usable=record.status is EngineStatus.READY,
        )

    def _build_pools(self) -> None:
        groups: dict[tuple[ServiceName, VersionName], list[EngineSlot]] = {}
        for slot in self.slots.values():
            if slot.usable:
                groups.setdefault((slot.record.service, slot.record.version), []).append(slot)
        self._pools = {key: EnginePool(group) for key, group in groups.items()}
        self._subsets = {}


_EMPTY_POOL = EnginePool([])
