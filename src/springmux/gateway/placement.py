"""Engine choice for a forwarded request, at one of many nodes that learn of each other's load with a delay.

A prompt with a long shared prefix goes to one of the prefix's engines. They are chosen by weighted rendezvous
hash, the same at every node, and are as many as the prefix's load needs. An engine with clearly more load
than the others is skipped (bounded load: Mirrokni, Thorup and Zadimoghaddam 2018). Any other prompt goes to
the best of three engines: two that cache its shared parts, by the same hash, and one drawn at random. A
prompt without shared parts goes to the better of two drawn at random.

The other nodes' load reports are tenths of a second old: if every node chose the engine that looks best, all
would choose the same one (Mitzenmacher 2000, "How useful is old information?"). Calls of plain services end
before such reports arrive, so for them only this node's own requests count. This module does no I/O and reads
no clock.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Iterator, Mapping

from springmux.control.gateway_configuration import GatewayService
from springmux.gateway.dispatches import Dispatch, DispatchTracker
from springmux.gateway.engine_health import ExchangeOutcome
from springmux.gateway.engine_pool import EngineGroup, EngineSlot, EngineTable, ServicePool
from springmux.gateway.load_estimate import model_cost, plain_cost
from springmux.gateway.placement_policy import DEFAULT_POLICY, PlacementPolicy
from springmux.gateway.prefix_memory import PrefixMemory
from springmux.gateway.prompt_metadata import NO_PROMPT_METADATA, PromptMetadata
from springmux.vocabulary.engines import EngineRecord, EnginesView
from springmux.vocabulary.names import EngineId, ServiceName, VersionName

__all__ = ["NO_PROMPT_METADATA", "Dispatch", "ExchangeOutcome", "Placement", "PromptMetadata"]

HASHED_ENGINE_CACHED_SHARE = 0.75
"""Fraction of the shared tokens that an engine chosen by hash is expected to cache. The session's last engine
is expected to cache all of them."""


class Placement:
    """Chooses engines and records the outcomes of dispatches.

    :param rng: random source; a different seed at each node makes nodes choose differently.
    """

    def __init__(self, zone: str, rng: random.Random, policy: PlacementPolicy | None = None) -> None:
        self._policy = policy or DEFAULT_POLICY
        self._zone = zone
        self._random = rng
        self._table = EngineTable()
        self._memory = PrefixMemory()
        self._dispatches = DispatchTracker(self._table, self._memory)
        self._slots_with_reports: list[EngineSlot] = []

    def update_engines(self, view: EnginesView, now: float) -> None:
        """Apply a directory view. Draining engines get no more requests, lost ones only as a last resort.

        A draining engine whose heartbeats stopped is listed as draining.
        """
        self._table.update(view)

    def update_services(self, services: Mapping[ServiceName, GatewayService]) -> None:
        """Apply the configured services. A service with an ``engine`` shape runs models."""
        self._dispatches.models = frozenset(name for name, service in services.items() if service.engine)

    def set_fleet_size(self, nodes: int) -> None:
        """Set the number of nodes that share the requests."""
        self._memory.fleet_size = max(1, nodes)

    def update_other_loads(self, loads: Mapping[EngineId, tuple[float, float]]) -> None:
        """Apply the other nodes' load on each engine: requests, and prompt tokens without a first event."""
        if not self._policy.use_other_loads:
            return
        for slot in self._slots_with_reports:
            slot.other_requests = slot.other_tokens = 0.0
        self._slots_with_reports = [
            self._table.slots[engine] for engine in loads if engine in self._table.slots
        ]
        for slot in self._slots_with_reports:
            slot.other_requests, slot.other_tokens = loads[slot.record.engine]

    def take_changed_loads(self) -> list[tuple[EngineId, int, float]]:
        """Return the engines whose load from this node changed since the last call, each with its load.

        The load is the number of requests, and their prompt tokens without a first event.
        """
        return self._dispatches.take_changed()

    def knows_engines(self, service: ServiceName) -> bool:
        """Return whether any known engine of the service has not left."""
        return self._table.pool(service) is not None

    def choose(
        self,
        service: ServiceName,
        versions: tuple[VersionName, ...],
        prompt: PromptMetadata,
        excluded: Collection[EngineId],
        now: float,
        engines_limit: int = 0,
        trial_allowed: bool = False,
    ) -> EngineRecord | None:
        """Return the engine to dispatch to, or ``None`` if there is no usable one.

        Suspect and lost engines are a last resort.

        :param versions: versions in order of preference; empty for any version.
        :param excluded: engines that must not be chosen.
        :param engines_limit: maximum number of engines of the first version to use; 0 for all.
        :param trial_allowed: whether the request may be the trial of a suspect or ejected engine, because
            it may be repeated.
        """
        pool = self._table.pool(service)
        if pool is None:
            return None
        pool.refresh(now)
        groups = pool.groups(versions, engines_limit)
        if pool.has_unhealthy and not excluded:
            trial = _due_trial(groups, now, trial_allowed)
            if trial is not None:
                return trial.record
        for group in groups:
            slot = self._choose_from_group(pool, group, service, prompt, excluded, now)
            if slot is not None:
                return slot.record
        return _last_resort(pool, groups, versions, excluded, now)

    def record_dispatch(self, record: EngineRecord, prompt: PromptMetadata, now: float) -> Dispatch:
        """Count a request dispatched to ``record``; :meth:`record_end` must follow."""
        return self._dispatches.record_dispatch(record, prompt, now)

    def record_first_event(self, dispatch: Dispatch, now: float) -> None:
        """Record the first bytes of a response body, which end the prefill."""
        self._dispatches.record_first_event(dispatch, now)

    def record_response_bytes(self, dispatch: Dispatch, now: float) -> None:
        """Record further bytes of a response."""
        dispatch.slot.health.record_received(now)

    def received_nothing_since(self, dispatch: Dispatch, since: float) -> bool:
        """Return whether the engine of the dispatch has sent this node nothing after ``since``."""
        return dispatch.slot.health.last_received_at <= since

    def record_end(self, dispatch: Dispatch, outcome: ExchangeOutcome, now: float) -> None:
        """Record the end of a dispatch; further calls change nothing."""
        self._dispatches.record_end(dispatch, outcome, now)

    def _choose_from_group(
        self,
        pool: ServicePool,
        group: EngineGroup,
        service: ServiceName,
        prompt: PromptMetadata,
        excluded: Collection[EngineId],
        now: float,
    ) -> EngineSlot | None:
        slot: EngineSlot | None
        if not self._dispatches.is_model(service, prompt):
            slot = self._choose_least_loaded(pool, group, excluded, now)
        else:
            prefix_id, prefix_tokens = prompt.long_prefix()
            slot = None
            if prefix_tokens and self._policy.hash_long_prefixes:
                slot = self._choose_by_prefix(group, prefix_id, prefix_tokens, prompt, excluded, now)
            if slot is None:
                slot = self._choose_by_wait(group, prompt, excluded, now)
        return slot or _closed_but_reachable(group, excluded, now)

    def _choose_by_prefix(
        self,
        group: EngineGroup,
        prefix_id: str,
        prefix_tokens: int,
        prompt: PromptMetadata,
        excluded: Collection[EngineId],
        now: float,
    ) -> EngineSlot | None:
        """Return the better of two of the prefix's engines, or a fallback if that one is overloaded.

        If the fallbacks are overloaded as well, the better engine is returned.
        """
        count = len(group.slots)
        if not count:
            return None
        own_tokens = prompt.prompt_tokens - prefix_tokens
        engine_count = self._memory.engine_count(prefix_id, own_tokens, group.slots[0].record.capacity, now)
        usable = self._first_usable(group, prefix_id, engine_count + self._policy.fallbacks, excluded, now)
        if not usable:
            return None
        best = min(
            self._sample(usable[:engine_count]), key=lambda slot: (model_cost(slot, now), slot.sent_at)
        )
        mean = sum(slot.requests for slot in group.slots) / count
        policy = self._policy
        for slot in (best, *usable[engine_count:]):
            bound = policy.bound_factor * mean + policy.bound_capacity_share * slot.record.capacity
            if slot.requests <= bound:
                return slot
        return best

    def _first_usable(
        self, group: EngineGroup, prefix_id: str, limit: int, excluded: Collection[EngineId], now: float
    ) -> list[EngineSlot]:
        """Return the first ``limit`` usable engines in the prefix's rendezvous order."""
        found: list[EngineSlot] = []
        for slot, threshold in group.order(prefix_id):
            if (
                slot.health.closed_until > now
                or slot.record.engine in excluded
                or self._skips_prefix(slot, threshold)
            ):
                continue
            found.append(slot)
            if len(found) == limit:
                break
        return found

    def _sample(self, slots: list[EngineSlot]) -> list[EngineSlot]:
        choices = self._policy.choices
        return slots if len(slots) <= choices else self._random.sample(slots, choices)

    def _choose_by_wait(
        self, group: EngineGroup, prompt: PromptMetadata, excluded: Collection[EngineId], now: float
    ) -> EngineSlot | None:
        """Return the engine with the shortest wait.

        The candidates are the engines that may cache shared parts, and some drawn at random.
        """
        cached = self._probably_cached(group, prompt)
        max_random = self._policy.choices if not cached else self._policy.random_draws
        best: EngineSlot | None = None
        best_cost = math.inf
        random_seen = 0
        for slot in self._in_random_order(group.slots, cached):
            if (
                slot.health.closed_until > now
                or slot.record.engine in excluded
                or self._skips_random_choice(slot)
            ):
                continue
            cost = model_cost(slot, now) - cached.get(slot, 0.0)
            if cost < best_cost or (cost == best_cost and best and slot.sent_at < best.sent_at):
                best, best_cost = slot, cost
            random_seen += slot not in cached
            if random_seen == max_random:
                break
        return best

    def _probably_cached(self, group: EngineGroup, prompt: PromptMetadata) -> dict[EngineSlot, float]:
        """Return the engines that probably cache shared parts of a short prompt, and the number of tokens.

        Rendezvous hashing of the last shared part gives the same engines at every node without messages.
        There are two, so that the less loaded can be chosen (Mitzenmacher 2001, "The power of two choices").
        The engine to which this node last sent the session is added.
        """
        if not prompt.prefix:
            return {}
        cached: dict[EngineSlot, float] = {}
        if len(prompt.prefix) >= 2 and self._policy.hashed_engines:
            shared_tokens = HASHED_ENGINE_CACHED_SHARE * sum(tokens for _, tokens in prompt.prefix[:-1])
            for slot, _ in group.order(prompt.prefix[-2][0])[: self._policy.hashed_engines]:
                cached[slot] = shared_tokens
        last, tokens = self._last_engine(prompt)
        if last is not None:
            cached[last] = max(tokens, cached.get(last, 0.0))
        return cached

    def _skips_random_choice(self, slot: EngineSlot) -> bool:
        """Return whether to skip a warming or slow engine for this choice; it is often the least loaded."""
        share = slot.ramp * slot.health.weight
        return share < 1.0 and self._random.random() * self._policy.choices >= share

    def _choose_least_loaded(
        self, pool: ServicePool, group: EngineGroup, excluded: Collection[EngineId], now: float
    ) -> EngineSlot | None:
        """Return the least loaded plain back end; the least recently used one in case of a tie.

        While the load is low, a back end in this node's zone wins a tie.
        """
        low_load = pool.mean_in_flight * self._memory.fleet_size < self._policy.low_load * pool.capacity
        best: EngineSlot | None = None
        best_key = (math.inf, False, math.inf)
        count = len(group.slots)
        for slot in self._rotated(group.slots):
            if slot.health.closed_until > now or slot.record.engine in excluded or slot.skips_choice(count):
                continue
            key = (plain_cost(slot), low_load and slot.record.zone != self._zone, slot.sent_at)
            if key < best_key:
                best, best_key = slot, key
        return best

    def _last_engine(self, prompt: PromptMetadata) -> tuple[EngineSlot | None, float]:
        """Return the engine that last received the prompt's session or shared parts, and their tokens."""
        if not prompt.prefix:
            return None, 0.0
        last = self._memory.last_engine(prompt.prefix[-1][0])
        if last is not None:
            return last, float(sum(tokens for _, tokens in prompt.prefix))
        if len(prompt.prefix) < 2:
            return None, 0.0
        return self._memory.last_engine(prompt.prefix[-2][0]), float(
            sum(tokens for _, tokens in prompt.prefix[:-1])
        )

    def _skips_prefix(self, slot: EngineSlot, threshold: float) -> bool:
        """Return whether a warming or slow engine is skipped for this prefix or request."""
        if slot.ramp < 1.0 and threshold >= slot.ramp:
            return True
        return slot.health.weight < 1.0 and self._random.random() >= slot.health.weight

    def _in_random_order(
        self, slots: list[EngineSlot], first: Collection[EngineSlot]
    ) -> Iterator[EngineSlot]:
        """Yield those of ``first`` that are among ``slots``, then the others in random order."""
        remaining = list(slots)
        for slot in first:
            if slot in remaining:
                remaining.remove(slot)
                yield slot
        while remaining:
            index = int(self._random.random() * len(remaining))
            remaining[index], remaining[-1] = remaining[-1], remaining[index]
            yield remaining.pop()

    def _rotated(self, slots: list[EngineSlot]) -> list[EngineSlot]:
        start = int(self._random.random() * len(slots))
        return slots[start:] + slots[:start]


def _due_trial(groups: list[EngineGroup], now: float, trial_allowed: bool) -> EngineSlot | None:
    """Return an engine of the first group whose trial is due."""
    for group in groups[:1]:
        for slot in group.slots:
            health = slot.health
            if (health.is_suspect or health.ejected) and health.may_start_trial(now, trial_allowed):
                return slot
    return None


def _closed_but_reachable(
    group: EngineGroup, excluded: Collection[EngineId], now: float
) -> EngineSlot | None:
    """Return the best of the overloaded, ejected, warming and slow engines, if no other is usable."""
    remaining = [
        slot
        for slot in group.slots
        if not (slot.health.is_suspect or slot.health.is_stale(now) or slot.record.engine in excluded)
    ]
    return min(
        remaining,
        key=lambda slot: (slot.health.ejected, max(now, slot.health.overloaded_until), slot.in_flight),
        default=None,
    )


def _last_resort(
    pool: ServicePool,
    groups: list[EngineGroup],
    versions: tuple[VersionName, ...],
    excluded: Collection[EngineId],
    now: float,
) -> EngineRecord | None:
    for group in groups:
        suspects = [
            slot
            for slot in group.slots
            if slot.record.engine not in excluded and not slot.health.is_stale(now)
        ]
        if suspects:
            return min(suspects, key=lambda slot: slot.health.suspect_until).record
    lost = [
        slot for slot in pool.lost if slot.record.engine not in excluded and not slot.health.is_stale(now)
    ]
    if versions:
        lost = [slot for slot in lost if slot.record.version in versions]
        lost.sort(key=lambda slot: versions.index(slot.record.version))
    return lost[0].record if lost else None
