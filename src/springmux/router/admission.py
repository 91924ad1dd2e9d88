"""Admission: which requests get one of the node's slots, which wait a little, which are refused at once.

Slots are counted by class. Interactive and transaction routes have reserved slots and share the rest
with bulk, which keeps a part of the rest. Waiting requests of a class are served tenant by tenant and
key by key, whoever has least first (max-min fairness), so one that swells waits behind itself. Shares
per key and tenant bind only under pressure. Expected waiting beyond the limit is refused at once.
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
"""Use of a class's slots from which shares bind; below it nobody is hurt by a large one."""
BULK_SHARED_FLOOR = 0.25
"""Part of the shared slots that only bulk may use, so that a burst of short work cannot stop it."""
MODEST_KEY_LIMIT = 0.9
"""Use of a class's slots up to which a key with little in flight is let in although another key of its
tenant took the tenant's share; the rest is left to other tenants."""
PRESSED_MINIMUM = 16
"""Requests in flight below which shares say nothing, when it is the engines that are pressed."""
HOLD_SMOOTHING = 0.1
FIRST_HOLD_S = 1.0
"""Assumed time that a request holds its slot until some have been measured."""
OVERLOAD_RETRY_S = 1.0

_SERVED_FIRST = (TrafficClass.TRANSACTION, TrafficClass.INTERACTIVE, TrafficClass.BULK)


class TicketState(enum.Enum):
    """State of a request towards admission."""

    QUEUED = "queued"
    GRANTED = "granted"
    GONE = "gone"


@dataclass(eq=False, slots=True)
class Ticket:
    """One request's place. ``since``: when it was queued, then when it was granted (monotonic, s)."""

    request_id: RequestId
    traffic_class: TrafficClass
    key: KeyId
    tenant: TenantName
    tenant_weight: float
    state: TicketState
    since: float


@dataclass(slots=True)
class _ClassState:
    in_flight: int = 0
    queued: int = 0
    hold_s: float = FIRST_HOLD_S
    by_key: dict[KeyId, int] = field(default_factory=dict)
    active_keys: dict[TenantName, int] = field(default_factory=dict)
    by_tenant: dict[TenantName, int] = field(default_factory=dict)
    queues: dict[TenantName, dict[KeyId, deque[Ticket]]] = field(default_factory=dict)

    def keys_of(self, tenant: TenantName) -> int:
        """Return how many keys of a tenant have requests in flight."""
        return self.active_keys.get(tenant, 0)

    def enter(self, key: KeyId, tenant: TenantName) -> None:
        """Count a request that got a slot."""
        self.in_flight += 1
        if _count(self.by_key, key, 1) == 1:
            _count(self.active_keys, tenant, 1)
        _count(self.by_tenant, tenant, 1)

    def leave(self, key: KeyId, tenant: TenantName) -> None:
        """Count a request that gave its slot back."""
        self.in_flight -= 1
        if _count(self.by_key, key, -1) == 0:
            _count(self.active_keys, tenant, -1)
        _count(self.by_tenant, tenant, -1)


class Admission:
    """Owns the slots and queues of one node. ``sheds``: refusals so far, by class."""

    def __init__(self, limits: AdmissionLimits) -> None:
        self.limits = limits
        self.sheds = dict.fromkeys(TrafficClass, 0)
        self._classes = {traffic_class: _ClassState() for traffic_class in TrafficClass}

    def in_flight(self, traffic_class: TrafficClass) -> int:
        """Return how many requests of a class hold a slot."""
        return self._classes[traffic_class].in_flight

    def queued(self, traffic_class: TrafficClass) -> int:
        """Return how many requests of a class wait."""
        return self._classes[traffic_class].queued

    def ask(
        self,
        request_id: RequestId,
        traffic_class: TrafficClass,
        key: KeyRecord,
        tenant_weight: float,
        pressed: bool,
        now: float,
    ) -> Ticket:
        """Return a granted or queued ticket.

        :param pressed: the engines of the route's service report queues.
        :raises RefusalError: ``overloaded``, 429 over a share or 503 when the node is full.
        """
        state = self._classes[traffic_class]
        try:
            self._check_shares(state, traffic_class, key, pressed)
            granted = state.queued == 0 and self._has_free(traffic_class)
            if not granted:
                self._check_queue(state, key)
        except RefusalError:
            self.sheds[traffic_class] += 1
            raise
        ticket = Ticket(
            request_id, traffic_class, key.key, key.tenant, tenant_weight, TicketState.QUEUED, now
        )
        if granted:
            self._grant(state, ticket, now)
        else:
            keys = state.queues.setdefault(ticket.tenant, {})
            keys.setdefault(ticket.key, deque()).append(ticket)
            state.queued += 1
        return ticket

    def leave(self, ticket: Ticket, now: float) -> list[Ticket]:
        """Give the ticket back, granted or not; return the waiting tickets that are granted for it."""
        state = self._classes[ticket.traffic_class]
        if ticket.state is TicketState.GRANTED:
            state.leave(ticket.key, ticket.tenant)
            state.hold_s += HOLD_SMOOTHING * (now - ticket.since - state.hold_s)
        elif ticket.state is TicketState.QUEUED:
            self._remove(state, ticket)
        ticket.state = TicketState.GONE
        return self._grant_waiting(now)

    def count_shed(self, traffic_class: TrafficClass) -> None:
        """Count a request that was refused after it had waited."""
        self.sheds[traffic_class] += 1

    def _capacity(self, traffic_class: TrafficClass) -> int:
        """Return the most slots that a class can have."""
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

    def _has_free(self, traffic_class: TrafficClass) -> bool:
        in_flight = self._classes[traffic_class].in_flight
        if in_flight < self._reserved(traffic_class):
            return True
        limits = self.limits
        shared = max(1, limits.max_in_flight - limits.interactive_reserved - limits.transaction_reserved)
        short = self._above_reserve(TrafficClass.INTERACTIVE) + self._above_reserve(TrafficClass.TRANSACTION)
        if traffic_class is not TrafficClass.BULK and short >= shared * (1.0 - BULK_SHARED_FLOOR):
            return False
        return short + self._classes[TrafficClass.BULK].in_flight < shared

    def _above_reserve(self, traffic_class: TrafficClass) -> int:
        return max(0, self._classes[traffic_class].in_flight - self._reserved(traffic_class))

    def _check_shares(
        self, state: _ClassState, traffic_class: TrafficClass, key: KeyRecord, pressed: bool
    ) -> None:
        own_of_key = state.by_key.get(key.key, 0)
        own_of_tenant = state.by_tenant.get(key.tenant, 0)
        capacity = self._capacity(traffic_class)
        full = state.in_flight >= capacity * PRESSURE_SHARE
        if not full:
            if not pressed or state.in_flight < PRESSED_MINIMUM:
                return
            capacity = state.in_flight
        if (full or own_of_key < state.in_flight) and own_of_key >= capacity * self.limits.per_key_share:
            raise _over_share("key", state.hold_s)
        tenant_share = capacity * self.limits.per_tenant_share
        if own_of_tenant < tenant_share or not (full or own_of_tenant < state.in_flight):
            return
        modest = own_of_key < tenant_share / (state.keys_of(key.tenant) + 1)
        if not modest or state.in_flight >= capacity * MODEST_KEY_LIMIT:
            raise _over_share("tenant", state.hold_s)

    def _check_queue(self, state: _ClassState, key: KeyRecord) -> None:
        limits = self.limits
        keys = state.queues.get(key.tenant, {})
        queued_of_tenant = sum(len(queue) for queue in keys.values())
        queued_of_key = len(keys.get(key.key, ()))
        if queued_of_key >= limits.queue_length * limits.per_key_share:
            raise _over_share("key", state.hold_s)
        if queued_of_tenant >= limits.queue_length * limits.per_tenant_share:
            raise _over_share("tenant", state.hold_s)
        ahead = min(state.queued, queued_of_tenant * max(1, len(state.queues)))
        wait_s = (ahead + 1) * state.hold_s / max(1, state.in_flight)
        if state.queued >= limits.queue_length or wait_s > limits.queue_timeout_s:
            raise RefusalError(
                ErrorCode.OVERLOADED, "the node is full", retry_after_s=max(OVERLOAD_RETRY_S, wait_s)
            )

    def _grant(self, state: _ClassState, ticket: Ticket, now: float) -> None:
        ticket.state = TicketState.GRANTED
        ticket.since = now
        state.enter(ticket.key, ticket.tenant)

    def _grant_waiting(self, now: float) -> list[Ticket]:
        granted: list[Ticket] = []
        for traffic_class in _SERVED_FIRST:
            state = self._classes[traffic_class]
            while state.queued and self._has_free(traffic_class):
                ticket = self._next_waiting(state)
                self._remove(state, ticket)
                self._grant(state, ticket, now)
                granted.append(ticket)
        return granted

    def _next_waiting(self, state: _ClassState) -> Ticket:
        """Return the oldest ticket of the least served key of the least served tenant."""

        def served(tenant: TenantName) -> float:
            first = next(iter(next(iter(state.queues[tenant].values()))))
            return state.by_tenant.get(tenant, 0) / max(1e-6, first.tenant_weight)

        tenant = min(state.queues, key=served)
        keys = state.queues[tenant]
        key = min(keys, key=lambda name: state.by_key.get(name, 0))
        return keys[key][0]

    def _remove(self, state: _ClassState, ticket: Ticket) -> None:
        keys = state.queues[ticket.tenant]
        keys[ticket.key].remove(ticket)
        state.queued -= 1
        if not keys[ticket.key]:
            del keys[ticket.key]
        if not keys:
            del state.queues[ticket.tenant]


def _count(counts: dict[K, int], name: K, change: int) -> int:
    value = counts.get(name, 0) + change
    if value:
        counts[name] = value
    else:
        counts.pop(name, None)
    return value


def _over_share(whose: str, hold_s: float) -> RefusalError:
    return RefusalError(
        ErrorCode.OVERLOADED,
        f"the {whose} has its share of a full node",
        status=429,
        retry_after_s=max(OVERLOAD_RETRY_S, hold_s),
    )
