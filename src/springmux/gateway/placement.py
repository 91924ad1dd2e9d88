"""Engine choice for a forwarded request, at one of many nodes that know each other's load only late.

Long shared prefixes go to the same engine at every node by weighted rendezvous hash, over as many engines
as the prefix's load needs, and not to an engine with clearly more load than the others (bounded load:
Mirrokni, Thorup and Zadimoghaddam 2018). Other prompts go to the best of two engines that cache their shared
parts, by the same hash, and one drawn at random, or of two drawn where nothing is shared. The other nodes'
load reports are tenths of a second old: if every node chose the engine that looks best, all would choose the
same one (Mitzenmacher 2000, "How useful is old information?"). Calls of plain services end before such
reports arrive, so there only this node's own requests count. Nothing here does I/O or reads a clock.
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
"""Expected cached part of the shared tokens at an engine chosen by hash; all of them count as cached at the
session's last engine."""


class Placement:
    """Chooses engines and records the outcomes of dispatches. ``source`` makes nodes choose differently."""

    def __init__(self, zone: str, source: random.Random, policy: PlacementPolicy | None = None) -> None:
        self._policy = policy or DEFAULT_POLICY
        self._zone = zone
        self._random = source
        self._table = EngineTable()
        self._memory = PrefixMemory()
        self._dispatches = DispatchTracker(self._table, self._memory)
        self._reported: list[EngineSlot] = []

    def update_engines(self, view: EnginesView, now: float) -> None:
        """Apply the directory; engines that are not ready get no more requests."""
        self._table.update(view)

    def update_services(self, services: Mapping[ServiceName, GatewayService]) -> None:
        """Apply the configured services; those with an ``engine`` shape run models."""
        self._dispatches.models = frozenset(name for name, service in services.items() if service.engine)

    def set_fleet_size(self, nodes: int) -> None:
        """Set the number of nodes that share the requests."""
        self._memory.fleet_size = max(1, nodes)

    def report_others(self, loads: Mapping[EngineId, tuple[float, float]]) -> None:
        """Apply the other nodes' load on each engine (requests, prompt tokens without a first event)."""
        if not self._policy.others_count:
            return
        for slot in self._reported:
            slot.other_requests = slot.other_tokens = 0.0
        self._reported = [self._table.slots[engine] for engine in loads if engine in self._table.slots]
        for slot in self._reported:
            slot.other_requests, slot.other_tokens = loads[slot.record.engine]

    def changed_loads(self) -> list[tuple[EngineId, int, float]]:
        """Return the engines on which this node's load changed since the last call, with the load.

        The load is the number of requests, and their prompt tokens without a first event.
        """
        return self._dispatches.take_changed()

    def knows_engines(self, service: ServiceName) -> bool:
        """Return whether the service has a known engine that has not left."""
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
        """Return the engine to dispatch to, or ``None`` if all are excluded.

        Suspect and lost engines are a last resort.

        :param versions: in order of preference; empty for any.
        :param engines_limit: most engines of the first version to use; 0 for all.
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
            slot = self._usable(pool, group, service, prompt, excluded, now)
            if slot is not None:
                return slot.record
        return _last_resort(pool, groups, versions, excluded, now)

    def began(self, record: EngineRecord, prompt: PromptMetadata, now: float) -> Dispatch:
        """Count a request dispatched to ``record``; end it with :meth:`ended`."""
        return self._dispatches.began(record, prompt, now)

    def first_event(self, dispatch: Dispatch, now: float) -> None:
        """Record the first byte of a response body, which ends the prefill."""
        self._dispatches.first_event(dispatch, now)

    def heard(self, dispatch: Dispatch, now: float) -> None:
        """Record any further bytes of a response."""
        dispatch.slot.health.heard(now)

    def silent_since(self, dispatch: Dispatch, since: float) -> bool:
        """Return whether the dispatch's engine has sent this node nothing after ``since``."""
        return dispatch.slot.health.heard_at <= since

    def ended(self, dispatch: Dispatch, outcome: ExchangeOutcome, now: float) -> None:
        """Record the end of a dispatch, once."""
        self._dispatches.ended(dispatch, outcome, now)

    def _usable(
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
            slot = self._least_loaded(pool, group, excluded, now)
        else:
            prefix_id, prefix_tokens = prompt.long_prefix()
            slot = None
            if prefix_tokens and self._policy.by_prefix:
                slot = self._by_prefix(group, prefix_id, prefix_tokens, prompt, excluded, now)
            if slot is None:
                slot = self._least_wait(group, prompt, excluded, now)
        return slot or _closed_but_reachable(group, excluded, now)

    def _by_prefix(
        self,
        group: EngineGroup,
        prefix_id: str,
        prefix_tokens: int,
        prompt: PromptMetadata,
        excluded: Collection[EngineId],
        now: float,
    ) -> EngineSlot | None:
        """Return the better of two of the prefix's engines, or a fallback while both are overloaded."""
        count = len(group.slots)
        if not count:
            return None
        own_tokens = prompt.prompt_tokens - prefix_tokens
        engine_count = self._memory.engine_count(prefix_id, own_tokens, group.slots[0].record.capacity, now)
        usable = self._first_of_order(group, prefix_id, engine_count + self._policy.fallbacks, excluded, now)
        if not usable:
            return None
        best = min(self._draw(usable[:engine_count]), key=lambda slot: (model_cost(slot, now), slot.sent_at))
        mean = sum(slot.requests for slot in group.slots) / count
        policy = self._policy
        for slot in (best, *usable[engine_count:]):
            bound = policy.bound_factor * mean + policy.bound_capacity_share * slot.record.capacity
            if slot.requests <= bound:
                return slot
        return best

    def _first_of_order(
        self, group: EngineGroup, prefix_id: str, limit: int, excluded: Collection[EngineId], now: float
    ) -> list[EngineSlot]:
        """Return the first ``limit`` usable engines of the prefix's order."""
        found: list[EngineSlot] = []
        for slot, threshold in group.order(prefix_id):
            if (
                slot.health.closed_until > now
                or slot.record.engine in excluded
                or self._skips(slot, threshold)
            ):
                continue
            found.append(slot)
            if len(found) == limit:
                break
        return found

    def _draw(self, slots: list[EngineSlot]) -> list[EngineSlot]:
        choices = self._policy.choices
        return slots if len(slots) <= choices else self._random.sample(slots, choices)

    def _least_wait(
        self, group: EngineGroup, prompt: PromptMetadata, excluded: Collection[EngineId], now: float
    ) -> EngineSlot | None:
        """Return the engine with the shortest wait among those that may cache shared parts and some drawn."""
        cached = self._probably_cached(group, prompt)
        draws = self._policy.choices if not cached else self._policy.random_draws
        best: EngineSlot | None = None
        best_cost = math.inf
        seen = 0
        for slot in self._in_random_order(group.slots, cached):
            if slot.health.closed_until > now or slot.record.engine in excluded or self._skips_draw(slot):
                continue
            cost = model_cost(slot, now) - cached.get(slot, 0.0)
            if cost < best_cost or (cost == best_cost and best and slot.sent_at < best.sent_at):
                best, best_cost = slot, cost
            seen += slot not in cached
            if seen == draws:
                break
        return best

    def _probably_cached(self, group: EngineGroup, prompt: PromptMetadata) -> dict[EngineSlot, float]:
        """Return the engines that probably cache shared parts of a short prompt, and how many tokens.

        Rendezvous hashing of the last shared part gives the same engines at every node without messages, two
        of them so that the less loaded is taken (Mitzenmacher 2001, "The power of two choices"). The engine
        to which this node last sent the session is added.
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

    def _skips_draw(self, slot: EngineSlot) -> bool:
        """Return whether a warming or slow engine, often the least loaded, sits this choice out."""
        share = slot.ramp * slot.health.weight
        return share < 1.0 and self._random.random() * self._policy.choices >= share

    def _least_loaded(
        self, pool: ServicePool, group: EngineGroup, excluded: Collection[EngineId], now: float
    ) -> EngineSlot | None:
        """Return the least loaded plain back end; ties go to the least recently used."""
        low_load = pool.mean_in_flight * self._memory.fleet_size < self._policy.low_load * pool.capacity
        best: EngineSlot | None = None
        best_key = (math.inf, False, math.inf)
        count = len(group.slots)
        for slot in self._rotated(group.slots):
            if slot.health.closed_until > now or slot.record.engine in excluded or slot.skips_turn(count):
                continue
            key = (plain_cost(slot), low_load and slot.record.zone != self._zone, slot.sent_at)
            if key < best_key:
                best, best_key = slot, key
        return best

    def _last_engine(self, prompt: PromptMetadata) -> tuple[EngineSlot | None, float]:
        """Return the engine that last got this session's parts, and their tokens."""
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

    def _skips(self, slot: EngineSlot, threshold: float) -> bool:
        """Return whether a warming or slow engine leaves this prefix or request to the next in order."""
        if slot.ramp < 1.0 and threshold >= slot.ramp:
            return True
        return slot.health.weight < 1.0 and self._random.random() >= slot.health.weight

    def _in_random_order(
        self, slots: list[EngineSlot], first: Collection[EngineSlot]
    ) -> Iterator[EngineSlot]:
        """Yield those of ``first`` that are among ``slots``, then the others in random order."""
        left = list(slots)
        for slot in first:
            if slot in left:
                left.remove(slot)
                yield slot
        while left:
            drawn = int(self._random.random() * len(left))
            left[drawn], left[-1] = left[-1], left[drawn]
            yield left.pop()

    def _rotated(self, slots: list[EngineSlot]) -> list[EngineSlot]:
        start = int(self._random.random() * len(slots))
        return slots[start:] + slots[:start]


def _due_trial(groups: list[EngineGroup], now: float, trial_allowed: bool) -> EngineSlot | None:
    """Return an engine of the first version whose trial is due."""
    for group in groups[:1]:
        for slot in group.slots:
            health = slot.health
            if (health.suspect or health.ejected) and health.trial_open(now, trial_allowed):
                return slot
    return None


def _closed_but_reachable(
    group: EngineGroup, excluded: Collection[EngineId], now: float
) -> EngineSlot | None:
    """Return an overloaded, ejected, warming or slow engine, for want of a better one."""
    left = [
        slot
        for slot in group.slots
        if not (slot.health.suspect or slot.health.stale(now) or slot.record.engine in excluded)
    ]
    return min(
        left,
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
            slot for slot in group.slots if slot.record.engine not in excluded and not slot.health.stale(now)
        ]
        if suspects:
            return min(suspects, key=lambda slot: slot.health.suspect_until).record
    lost = [slot for slot in pool.lost if slot.record.engine not in excluded and not slot.health.stale(now)]
    if versions:
        lost = [slot for slot in lost if slot.record.version in versions]
        lost.sort(key=lambda slot: versions.index(slot.record.version))
    return lost[0].record if lost else None
