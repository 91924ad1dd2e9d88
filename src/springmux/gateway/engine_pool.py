"""The engines of each service as one node uses them: own load, groups by version, rendezvous orders."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from springmux.coordination.rendezvous import rendezvous_score
from springmux.gateway.engine_health import EngineHealth
from springmux.gateway.outlier_detection import compare
from springmux.vocabulary.engines import EngineRecord, EngineStatus, EnginesView
from springmux.vocabulary.names import EngineId, ServiceName, VersionName

REFRESH_S = 0.25
"""How often engines are compared and ramps advance: a fortieth of a ramp."""
RAMP_S = 10.0
"""Time in which a new engine, whose cache is cold, comes to its full share."""
FIRST_RAMP_SHARE = 0.1
ORDER_LENGTH = 16
"""Engines kept of a prefix's order: the most it spreads over, and some that may be out."""
ORDERS_KEPT = 4096
GUESS_FADE_S = 0.2
"""How fast a wait seen at an engine stops telling of the next: about one long prefill."""
IN_FLIGHT_WEIGHT = 0.05
"""Weight of the newest count in the mean: about the last 20 requests."""
_HASH_RANGE = float(1 << 64) * (1.0 + 2.0**-50)
"""A little above 2**64, so that no score rounds to 1, whose logarithm is 0."""
_GATE_MASK = (1 << 16) - 1
"""Bits of a score that decide how early a new engine takes the prefix."""


@dataclass(eq=False, slots=True)
class EngineSlot:
    """One engine incarnation.

    ``prefill_tokens``: own prompts' tokens that have no first event yet. ``guessed_tokens``: tokens that lay
    before a recent request, judged by its wait, at ``guessed_at``. ``other_requests`` and ``other_tokens``
    are other nodes' load as reported. ``ramp``: share (0..1) that it takes while its cache is cold.
    ``passed``: choices by load since it was last sent to.
    """

    record: EngineRecord
    first_seen_at: float
    health: EngineHealth = field(default_factory=EngineHealth)
    in_flight: int = 0
    prefill_tokens: float = 0.0
    guessed_tokens: float = 0.0
    guessed_at: float = -math.inf
    other_requests: float = 0.0
    other_tokens: float = 0.0
    sent_at: float = -math.inf
    passed: int = 0
    ramp: float = 1.0

    @property
    def requests(self) -> float:
        """Requests of all nodes on the engine, as far as this node knows."""
        return self.in_flight + self.other_requests

    def rests(self, engines: int) -> bool:
        """Say whether a cold or slow engine leaves this choice among ``engines`` to the others.

        It is the idlest of them, so only counting keeps it to its part: one choice in ``engines / share``.
        """
        share = self.ramp * self.health.share
        if share >= 1.0:
            return False
        self.passed += 1
        return self.passed * share < engines

    def tokens_ahead(self, now: float) -> float:
        """Return the prompt tokens that probably lie before a request that comes now."""
        ahead = self.prefill_tokens + self.other_tokens
        age_s = now - self.guessed_at
        if age_s < 5.0 * GUESS_FADE_S:
            ahead += self.guessed_tokens * math.exp(-age_s / GUESS_FADE_S)
        return ahead


class EngineGroup:
    """Ready engines among which one choice is made."""

    def __init__(self, slots: Iterable[EngineSlot]) -> None:
        self.slots = sorted(slots, key=lambda slot: slot.record.engine)
        self._even = len({slot.record.capacity for slot in self.slots}) <= 1
        self._orders: OrderedDict[str, list[tuple[EngineSlot, float]]] = OrderedDict()

    def order(self, prefix_id: str) -> list[tuple[EngineSlot, float]]:
        """Return a prefix's engines by weighted rendezvous, the weights being capacities.

        Each comes with a fixed number in 0..1: it takes the prefix once its ramp is above it, so that the
        prefixes of a new engine only grow. Source of the weights: Schindelhauer and Schomaker 2005.
        """
        order = self._orders.get(prefix_id)
        if order is None:
            order = self._ranked(prefix_id)
            if len(self._orders) >= ORDERS_KEPT:
                self._orders.popitem(last=False)
            self._orders[prefix_id] = order
        return order

    def _ranked(self, prefix_id: str) -> list[tuple[EngineSlot, float]]:
        slots = self.slots
        scores = [rendezvous_score(prefix_id, slot.record.engine) for slot in slots]
        ranks: list[float] | list[int] = scores
        if not self._even:
            ranks = [_weighted(score, slot) for score, slot in zip(scores, slots, strict=True)]
        order = sorted(range(len(slots)), key=ranks.__getitem__, reverse=True)[:ORDER_LENGTH]
        return [(slots[number], (scores[number] & _GATE_MASK) / (_GATE_MASK + 1)) for number in order]


def _weighted(score: int, slot: EngineSlot) -> float:
    """Return -capacity / ln(u) for the score as u in 0..1; its order at even capacities is the scores'."""
    return -max(1, slot.record.capacity) / math.log((score + 0.5) / _HASH_RANGE)


class ServicePool:
    """All engines of one service.

    ``troubled``: some may be suspect or held out. ``mean_in_flight``: this node's usual requests on them.
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
        self._parts: dict[tuple[VersionName, int], EngineGroup] = {}
        self._refresh_at = -math.inf
        self.troubled = True
        self.mean_in_flight = mean_in_flight

    def groups(self, versions: tuple[VersionName, ...], engines_limit: int) -> list[EngineGroup]:
        """Return the groups to try in turn; the limit holds for the first version."""
        if not versions:
            return [self.ready]
        found = []
        for position, version in enumerate(versions):
            group = self._by_version.get(version)
            if group is not None:
                limit = engines_limit if position == 0 else 0
                found.append(self._part(version, group, limit) if limit else group)
        return found

    def refresh(self, now: float) -> None:
        """Compare the engines and advance their ramps, if it is time."""
        if now < self._refresh_at:
            return
        self._refresh_at = now + REFRESH_S
        compare(self._healths, now)
        for group in self._by_version.values():
            ramps = [_ramp(slot.first_seen_at, now) for slot in group.slots]
            # If all of a version are new, none is colder than the others.
            most = max(ramps)
            for slot, ramp in zip(group.slots, ramps, strict=True):
                slot.ramp = ramp / most
        self.troubled = any(slot.health.suspect or slot.health.held_out for slot in self.ready.slots)

    def note_in_flight(self) -> None:
        """Take this node's requests on the pool into their mean."""
        in_flight = sum(slot.in_flight for slot in self.ready.slots)
        self.mean_in_flight += IN_FLIGHT_WEIGHT * (in_flight - self.mean_in_flight)

    def refresh_soon(self) -> None:
        """Have the engines compared again at the next choice."""
        self._refresh_at = -math.inf

    def _part(self, version: VersionName, whole: EngineGroup, count: int) -> EngineGroup:
        if count >= len(whole.slots):
            return whole
        key = (version, count)
        part = self._parts.get(key)
        if part is None:
            service = whole.slots[0].record.service
            ordered = sorted(whole.slots, key=lambda slot: -rendezvous_score(service, slot.record.engine))
            part = self._parts[key] = EngineGroup(ordered[:count])
        return part


class EngineTable:
    """All engines by service. A restarted engine is a new slot: cold, and nothing is held against it."""

    def __init__(self) -> None:
        self.slots: dict[EngineId, EngineSlot] = {}
        self._records: Mapping[EngineId, EngineRecord] = {}
        self._pools: dict[ServiceName, ServicePool] = {}

    def pool(self, service: ServiceName) -> ServicePool | None:
        """Return a service's engines, or ``None`` if there are none."""
        return self._pools.get(service)

    def update(self, view: EnginesView) -> None:
        """Take the directory as it is now; only services with changes are built anew."""
        known = self._records
        if view.engines is known:
            return
        touched: set[ServiceName] = set()
        for engine, record in view.engines.items():
            old = known.get(engine)
            if record is old or record == old:
                continue
            touched.add(record.service)
            if old is not None:
                touched.add(old.service)
            self._take(record, view.first_seen_at.get(engine, -math.inf))
        for engine in known.keys() - view.engines.keys():
            touched.add(known[engine].service)
            del self.slots[engine]
        self._records = dict(view.engines)
        self._build(touched)

    def _take(self, record: EngineRecord, first_seen_at: float) -> None:
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
            slot.health.record_changed(moved)

    def _build(self, services: set[ServiceName]) -> None:
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
    # News that comes right after a misdirection may be older than it.
    slot.health.misdirected_at = old.health.misdirected_at
    slot.health.stale_until = old.health.stale_until
    return slot


def _ramp(first_seen_at: float, now: float) -> float:
    return min(1.0, max(FIRST_RAMP_SHARE, (now - first_seen_at) / RAMP_S))
