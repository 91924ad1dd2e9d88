"""Admission control: grants each request a slot, queues it, or rejects it.

Slots are counted by traffic class. Interactive and transaction routes have reserved slots and share the rest
with bulk, which has a guaranteed part of it. Queued requests of a class are granted by max-min fairness over
tenants, then keys, so a burst of one key delays that key's own requests. Shares per key and tenant apply only
under pressure. A request whose expected wait exceeds the limit is rejected immediately.
"""

from __future__ import annotations

import enum
from collections import deque
from dataclasses import dataclass, field
from typing import TypeVar

from springmux.control.view import AdmissionLimits, KeyRecord, TrafficClass
from springmux.router.errors import RefusalError
from springmux.vocabulary.errors import ErrorCode
from springmux.vocabulary.names import KeyId, RequestId, TenantName

K = TypeVar("K")

PRESSURE_SHARE = 0.75
"""Utilization of a class's slots from which the shares per key and tenant apply."""
BULK_SHARED_FLOOR = 0.25
"""Part of the shared slots that only bulk may use, so that bursts of other classes cannot starve it."""
LIGHT_KEY_UTILIZATION = 0.9
"""Utilization below which a key with few requests in flight is admitted even if the other keys of its tenant
have used up the tenant's share."""
MIN_IN_FLIGHT_UNDER_PRESSURE = 16
"""Requests of a class in flight below which shares don't apply if only the engines are under pressure."""
HOLD_TIME_SMOOTHING = 0.1
"""Weight of the latest sample in the average time that a request holds its slot."""
INITIAL_HOLD_TIME_S = 1.0
"""Initial value of the average time that a request holds its slot."""
OVERLOAD_RETRY_S = 1.0
"""Minimum delay before a client retries a request that was rejected as overloaded."""

_CLASSES_BY_PRECEDENCE = (TrafficClass.TRANSACTION, TrafficClass.INTERACTIVE, TrafficClass.BULK)


class AdmissionState(enum.Enum):
    """State of a request in admission control."""

    QUEUED = "queued"
    GRANTED = "granted"
    RELEASED = "released"


@dataclass(eq=False, slots=True)
class AdmissionRequest:
    """A request in the queue or in a slot. ``since``: when it was queued or granted (monotonic, s)."""

    request_id: RequestId
    traffic_class: TrafficClass
    key: KeyId
    tenant: TenantName
    tenant_weight: float
    state: AdmissionState
    since: float


@dataclass(slots=True)
class _ClassState:
    in_flight: int = 0
    queued: int = 0
    hold_time_s: float = INITIAL_HOLD_TIME_S
    by_key: dict[KeyId, int] = field(default_factory=dict)
    active_keys: dict[TenantName, int] = field(default_factory=dict)
    by_tenant: dict[TenantName, int] = field(default_factory=dict)
    queues: dict[TenantName, dict[KeyId, deque[AdmissionRequest]]] = field(default_factory=dict)

    def active_key_count(self, tenant: TenantName) -> int:
        """Return the number of a tenant's keys with requests in flight."""
        return self.active_keys.get(tenant, 0)

    def acquire(self, key: KeyId, tenant: TenantName) -> None:
        """Count a granted request."""
        self.in_flight += 1
        if _add_to_count(self.by_key, key, 1) == 1:
            _add_to_count(self.active_keys, tenant, 1)
        _add_to_count(self.by_tenant, tenant, 1)

    def release(self, key: KeyId, tenant: TenantName) -> None:
        """Count a released request."""
        self.in_flight -= 1
        if _add_to_count(self.by_key, key, -1) == 0:
            _add_to_count(self.active_keys, tenant, -1)
        _add_to_count(self.by_tenant, tenant, -1)


class Admission:
    """Owns the slots and queues of one node. ``rejections``: by traffic class, since the start."""

    def __init__(self, limits: AdmissionLimits) -> None:
        self.limits = limits
        self.rejections = dict.fromkeys(TrafficClass, 0)
        self._classes = {traffic_class: _ClassState() for traffic_class in TrafficClass}

    def in_flight(self, traffic_class: TrafficClass) -> int:
        """Return the number of a class's requests in a slot."""
        return self._classes[traffic_class].in_flight

    def queued(self, traffic_class: TrafficClass) -> int:
        """Return the number of a class's queued requests."""
        return self._classes[traffic_class].queued

    def request_slot(
        self,
        request_id: RequestId,
        traffic_class: TrafficClass,
        key: KeyRecord,
        tenant_weight: float,
        engines_under_pressure: bool,
        now: float,
    ) -> AdmissionRequest:
        """Grant or queue a request.

        :param engines_under_pressure: whether the engines of the route's service report queues.
        :raises RefusalError: ``overloaded``, with status 429 over a share or 503 when the node is full.
        """
        state = self._classes[traffic_class]
        try:
            self._check_shares(state, traffic_class, key, engines_under_pressure)
            granted = state.queued == 0 and self._has_free_slot(traffic_class)
            if not granted:
                self._check_queue(state, key)
        except RefusalError:
            self.rejections[traffic_class] += 1
            raise
        request = AdmissionRequest(
            request_id, traffic_class, key.key, key.tenant, tenant_weight, AdmissionState.QUEUED, now
        )
        if granted:
            self._grant(state, request, now)
        else:
            keys = state.queues.setdefault(request.tenant, {})
            keys.setdefault(request.key, deque()).append(request)
            state.queued += 1
        return request

    def release(self, request: AdmissionRequest, now: float) -> list[AdmissionRequest]:
        """Release a request, granted or not; return the queued requests granted in its place."""
        state = self._classes[request.traffic_class]
        if request.state is AdmissionState.GRANTED:
            state.release(request.key, request.tenant)
            state.hold_time_s += HOLD_TIME_SMOOTHING * (now - request.since - state.hold_time_s)
        elif request.state is AdmissionState.QUEUED:
            self._remove(state, request)
        request.state = AdmissionState.RELEASED
        return self._grant_queued(now)

    def count_rejection(self, traffic_class: TrafficClass) -> None:
        """Count a request that was rejected after waiting."""
        self.rejections[traffic_class] += 1

    def _capacity(self, traffic_class: TrafficClass) -> int:
        """Return the maximum number of slots that a class can occupy."""
        limits = self.limits
        shared = limits.max_in_flight - limits.interactive_reserved - limits.transaction_reserved
        if traffic_class is TrafficClass.BULK:
            return max(1, shared)
        usable = int(shared * (1.0 - BULK_SHARED_FLOOR))
        return max(1, self._reserved(traffic_class) + max(0, usable))

    def _reserved(self, traffic_class: TrafficClass) -> int:
        if traffic_class is TrafficClass.INTERACTIVE:
            return self.limits.interactive_reserved
        if traffic_class is TrafficClass.TRANSACTION:
            return self.limits.transaction_reserved
        return 0

    def _has_free_slot(self, traffic_class: TrafficClass) -> bool:
        in_flight = self._classes[traffic_class].in_flight
        if in_flight < self._reserved(traffic_class):
            return True
        limits = self.limits
        shared = max(1, limits.max_in_flight - limits.interactive_reserved - limits.transaction_reserved)
        shared_in_use = self._above_reserve(TrafficClass.INTERACTIVE) + self._above_reserve(
            TrafficClass.TRANSACTION
        )
        if traffic_class is not TrafficClass.BULK and shared_in_use >= shared * (1.0 - BULK_SHARED_FLOOR):
            return False
        return shared_in_use + self._classes[TrafficClass.BULK].in_flight < shared

    def _above_reserve(self, traffic_class: TrafficClass) -> int:
        return max(0, self._classes[traffic_class].in_flight - self._reserved(traffic_class))

    def _check_shares(
        self, state: _ClassState, traffic_class: TrafficClass, key: KeyRecord, engines_under_pressure: bool
    ) -> None:
        key_in_flight = state.by_key.get(key.key, 0)
        tenant_in_flight = state.by_tenant.get(key.tenant, 0)
        capacity = self._capacity(traffic_class)
        full = state.in_flight >= capacity * PRESSURE_SHARE
        if not full:
            if not engines_under_pressure or state.in_flight < MIN_IN_FLIGHT_UNDER_PRESSURE:
                return
            capacity = state.in_flight
        if (
            full or key_in_flight < state.in_flight
        ) and key_in_flight >= capacity * self.limits.per_key_share:
            raise _over_share("key", state.hold_time_s)
        tenant_share = capacity * self.limits.per_tenant_share
        if tenant_in_flight < tenant_share or not (full or tenant_in_flight < state.in_flight):
            return
        light_key = key_in_flight < tenant_share / (state.active_key_count(key.tenant) + 1)
        if not light_key or state.in_flight >= capacity * LIGHT_KEY_UTILIZATION:
            raise _over_share("tenant", state.hold_time_s)

    def _check_queue(self, state: _ClassState, key: KeyRecord) -> None:
        limits = self.limits
        keys = state.queues.get(key.tenant, {})
        queued_of_tenant = sum(len(queue) for queue in keys.values())
        queued_of_key = len(keys.get(key.key, ()))
        if queued_of_key >= limits.queue_length * limits.per_key_share:
            raise _over_share("key", state.hold_time_s)
        if queued_of_tenant >= limits.queue_length * limits.per_tenant_share:
            raise _over_share("tenant", state.hold_time_s)
        ahead = min(state.queued, queued_of_tenant * max(1, len(state.queues)))
        wait_s = (ahead + 1) * state.hold_time_s / max(1, state.in_flight)
        if state.queued >= limits.queue_length or wait_s > limits.queue_timeout_s:
            raise RefusalError(
                ErrorCode.OVERLOADED, "the node is full", retry_after_s=max(OVERLOAD_RETRY_S, wait_s)
            )

    def _grant(self, state: _ClassState, request: AdmissionRequest, now: float) -> None:
        request.state = AdmissionState.GRANTED
        request.since = now
        state.acquire(request.key, request.tenant)

    def _grant_queued(self, now: float) -> list[AdmissionRequest]:
        granted: list[AdmissionRequest] = []
        for traffic_class in _CLASSES_BY_PRECEDENCE:
            state = self._classes[traffic_class]
            while state.queued and self._has_free_slot(traffic_class):
                request = self._next_queued(state)
                self._remove(state, request)
                self._grant(state, request, now)
                granted.append(request)
        return granted

    def _next_queued(self, state: _ClassState) -> AdmissionRequest:
        """Return the oldest request of the key and tenant with the least in flight."""

        def weighted_load(tenant: TenantName) -> float:
            first = next(iter(next(iter(state.queues[tenant].values()))))
            return state.by_tenant.get(tenant, 0) / max(1e-6, first.tenant_weight)

        tenant = min(state.queues, key=weighted_load)
        keys = state.queues[tenant]
        key = min(keys, key=lambda name: state.by_key.get(name, 0))
        return keys[key][0]

    def _remove(self, state: _ClassState, request: AdmissionRequest) -> None:
        keys = state.queues[request.tenant]
        keys[request.key].remove(request)
        state.queued -= 1
        if not keys[request.key]:
            del keys[request.key]
        if not keys:
            del state.queues[request.tenant]


def _add_to_count(counts: dict[K, int], name: K, change: int) -> int:
    value = counts.get(name, 0) + change
    if value:
        counts[name] = value
    else:
        counts.pop(name, None)
    return value


def _over_share(owner: str, hold_time_s: float) -> RefusalError:
    return RefusalError(
        ErrorCode.OVERLOADED,
        f"the {owner} has its share of a full node",
        status=429,
        retry_after_s=max(OVERLOAD_RETRY_S, hold_time_s),
    )
