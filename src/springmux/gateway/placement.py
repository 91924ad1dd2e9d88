"""Choice of the engine for a forwarded request at one of many nodes that don't see each other's load.

Long shared prefixes go to the same engine at every node by weighted rendezvous hash, over as many engines
as the prefix's load needs, and past an engine that holds clearly more than the others (bounded load:
Mirrokni, Thorup and Zadimoghaddam 2018). Other prompts go to the best of two engines that keep their shared
parts, by the same hash, and one drawn at random, or of two drawn where nothing is shared: what is known of
the other nodes' load is some tenths of a second old, and if every node went to the engine that looked best,
all would meet there (Mitzenmacher 2000, "How useful is old information?"). Calls of plain services are over
before such news arrives, so there only the own ones count. Nothing here does I/O or reads a clock.
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
HOME_CERTAINTY = 0.75
"""Part of the shared tokens that an engine keeps for which a hash speaks; in the model it is 0.76 to 0.78.
Where a session was sent last is surer."""


class Placement:
    """Chooses engines and takes what became of the exchanges. ``source`` breaks ties between nodes."""

    def __init__(self, zone: str, source: random.Random, policy: PlacementPolicy | None = None) -> None:
        self._policy = policy or DEFAULT_POLICY
        self._zone = zone
        self._random = source
        self._table = EngineTable()
        self._memory = PrefixMemory()
        self._ledger = DispatchTracker(self._table, self._memory)
        self._reported: list[EngineSlot] = []

    def update_engines(self, view: EnginesView, now: float) -> None:
        """Take the directory; engines that are not ready get nothing from now on."""
        self._table.update(view)

    def update_services(self, services: Mapping[ServiceName, GatewayService]) -> None:
        """Take the configured services; those with an ``engine`` shape run models."""
        self._ledger.models = frozenset(name for name, service in services.items() if service.engine)

    def set_fleet_size(self, nodes: int) -> None:
        """Take the number of nodes that requests are spread over."""
        self._memory.fleet_size = max(1, nodes)

    def report_others(self, loads: Mapping[EngineId, tuple[float, float]]) -> None:
        """Take other nodes' load on each engine (requests, prompt tokens without a first event)."""
        if not self._policy.others_count:
            return
        for slot in self._reported:
            slot.other_requests = slot.other_tokens = 0.0
        self._reported = [self._table.slots[engine] for engine in loads if engine in self._table.slots]
        for slot in self._reported:
            slot.other_requests, slot.other_tokens = loads[slot.record.engine]

    def changed_loads(self) -> list[tuple[EngineId, int, float]]:
        """Return the engines on which this node's load changed since the last call, with the load.

        The load is its requests, and their prompt tokens that have no first event yet.
        """
        return self._ledger.take_changed()

    def knows_engines(self, service: ServiceName) -> bool:
        """Say whether an engine of the service is known that has not left."""
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
        """Return the engine to send to, or ``None`` if there is none that isn't excluded.

        The first of ``versions`` (none: any) with a usable engine counts; ``engines_limit`` (0: none) holds
        for the first version. Suspect and lost engines are a last resort. ``trial_allowed``: the request may
        be the trial of an engine that is out, since it may be repeated.
        """
        pool = self._table.pool(service)
        if pool is None:
            return None
        pool.refresh(now)
        groups = pool.groups(versions, engines_limit)
        if pool.troubled and not excluded:
            trial = _due_trial(groups, now, trial_allowed)
            if trial is not None:
                return trial.record
        for group in groups:
            slot = self._usable(pool, group, service, prompt, excluded, now)
            if slot is not None:
                return slot.record
        return _last_resort(pool, groups, versions, excluded, now)

    def began(self, record: EngineRecord, prompt: PromptMetadata, now: float) -> Dispatch:
        """Count a request that is sent to ``record``; give the dispatch back to :meth:`ended`."""
        return self._ledger.began(record, prompt, now)

    def first_event(self, dispatch: Dispatch, now: float) -> None:
        """Take the first byte of an answer's body: the prefill is over."""
        self._ledger.first_event(dispatch, now)

    def heard(self, dispatch: Dispatch, now: float) -> None:
        """Take any further piece of an answer: the engine is alive."""
        dispatch.slot.health.heard(now)

    def silent_since(self, dispatch: Dispatch, since: float) -> bool:
        """Say whether the dispatch's engine has sent this node nothing after ``since``."""
        return dispatch.slot.health.heard_at <= since

    def ended(self, dispatch: Dispatch, outcome: ExchangeOutcome, now: float) -> None:
        """Take the end of an exchange, once."""
        self._ledger.ended(dispatch, outcome, now)

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
        if not self._ledger.is_model(service, prompt):
            slot = self._least_loaded(pool, group, excluded, now)
        else:
            prefix_id, prefix_tokens = prompt.long_prefix()
            slot = None
            if prefix_tokens and self._policy.by_prefix:
                slot = self._by_prefix(group, prefix_id, prefix_tokens, prompt, excluded, now)
            if slot is None:
                slot = self._least_wait(group, prompt, excluded, now)
        return slot or _sound_but_closed(group, excluded, now)

    def _by_prefix(
        self,
        group: EngineGroup,
        prefix_id: str,
        prefix_tokens: int,
        prompt: PromptMetadata,
        excluded: Collection[EngineId],
        now: float,
    ) -> EngineSlot | None:
        """Return the better of two of the prefix's engines, or a further one while both have too much."""
        count = len(group.slots)
        if not count:
            return None
        own_tokens = prompt.prompt_tokens - prefix_tokens
        spread = self._memory.spread(prefix_id, own_tokens, group.slots[0].record.capacity, now)
        usable = self._first_of_order(group, prefix_id, spread + self._policy.fallbacks, excluded, now)
        if not usable:
            return None
        best = min(self._some_of(usable[:spread]), key=lambda slot: (model_cost(slot, now), slot.sent_at))
        mean = sum(slot.requests for slot in group.slots) / count
        policy = self._policy
        for slot in (best, *usable[spread:]):
            bound = policy.bound_factor * mean + policy.bound_capacity_share * slot.record.capacity
            if slot.requests <= bound:
                return slot
        return best

    def _first_of_order(
        self, group: EngineGroup, prefix_id: str, most: int, excluded: Collection[EngineId], now: float
    ) -> list[EngineSlot]:
        """Return up to ``most`` usable engines of the prefix's order."""
        found: list[EngineSlot] = []
        for slot, gate in group.order(prefix_id):
            if slot.health.closed_until > now or slot.record.engine in excluded or self._skips(slot, gate):
                continue
            found.append(slot)
            if len(found) == most:
                break
        return found

    def _some_of(self, slots: list[EngineSlot]) -> list[EngineSlot]:
        choices = self._policy.choices
        return slots if len(slots) <= choices else self._random.sample(slots, choices)

    def _least_wait(
        self, group: EngineGroup, prompt: PromptMetadata, excluded: Collection[EngineId], now: float
    ) -> EngineSlot | None:
        """Return the one with the least work ahead of those that may hold shared parts and some drawn."""
        kept = self._probably_kept(group, prompt)
        draws = self._policy.choices if not kept else self._policy.draws_beside_homes
        best: EngineSlot | None = None
        best_cost = math.inf
        seen = 0
        for slot in self._in_random_order(group.slots, kept):
            if slot.health.closed_until > now or slot.record.engine in excluded or self._rests(slot):
                continue
            cost = model_cost(slot, now) - kept.get(slot, 0.0)
            if cost < best_cost or (cost == best_cost and best and slot.sent_at < best.sent_at):
                best, best_cost = slot, cost
            seen += slot not in kept
            if seen == draws:
                break
        return best

    def _probably_kept(self, group: EngineGroup, prompt: PromptMetadata) -> dict[EngineSlot, float]:
        """Return the engines that probably keep shared parts of a short prompt, and how many tokens.

        By rendezvous hash of the last shared part these are the same engines at every node, without a
        message, two of them so that the less loaded is taken (Mitzenmacher 2001, "The power of two choices");
        beside them the one to which this node sent the session last.
        """
        if not prompt.prefix:
            return {}
        kept: dict[EngineSlot, float] = {}
        if len(prompt.prefix) >= 2 and self._policy.short_homes:
            shared_tokens = HOME_CERTAINTY * sum(tokens for _, tokens in prompt.prefix[:-1])
            for slot, _ in group.order(prompt.prefix[-2][0])[: self._policy.short_homes]:
                kept[slot] = shared_tokens
        holder, tokens = self._holder(prompt)
        if holder is not None:
            kept[holder] = max(tokens, kept.get(holder, 0.0))
        return kept

    def _rests(self, slot: EngineSlot) -> bool:
        """Say whether a cold or slow engine, the idlest of those drawn, leaves this request to others."""
        share = slot.ramp * slot.health.share
        return share < 1.0 and self._random.random() * self._policy.choices >= share

    def _least_loaded(
        self, pool: ServicePool, group: EngineGroup, excluded: Collection[EngineId], now: float
    ) -> EngineSlot | None:
        """Return the plain back end with the most room, at a tie the least recently used."""
        calm = pool.mean_in_flight * self._memory.fleet_size < self._policy.calm_load * pool.capacity
        best: EngineSlot | None = None
        best_key = (math.inf, False, math.inf)
        count = len(group.slots)
        for slot in self._from_anywhere(group.slots):
            if slot.health.closed_until > now or slot.record.engine in excluded or slot.rests(count):
                continue
            key = (plain_cost(slot), calm and slot.record.zone != self._zone, slot.sent_at)
            if key < best_key:
                best, best_key = slot, key
        return best

    def _holder(self, prompt: PromptMetadata) -> tuple[EngineSlot | None, float]:
        """Return where this session's parts were sent last and how many tokens they hold."""
        if not prompt.prefix:
            return None, 0.0
        holder = self._memory.holder(prompt.prefix[-1][0])
        if holder is not None:
            return holder, float(sum(tokens for _, tokens in prompt.prefix))
        if len(prompt.prefix) < 2:
            return None, 0.0
        return self._memory.holder(prompt.prefix[-2][0]), float(
            sum(tokens for _, tokens in prompt.prefix[:-1])
        )

    def _skips(self, slot: EngineSlot, gate: float) -> bool:
        """Say whether a cold or slow engine leaves this prefix or request to the next of the order."""
        if slot.ramp < 1.0 and gate >= slot.ramp:
            return True
        return slot.health.share < 1.0 and self._random.random() >= slot.health.share

    def _in_random_order(
        self, slots: list[EngineSlot], first: Collection[EngineSlot]
    ) -> Iterator[EngineSlot]:
        """Yield those of ``first`` that are among ``slots``, then the others as they are drawn."""
        left = list(slots)
        for slot in first:
            if slot in left:
                left.remove(slot)
                yield slot
        while left:
            drawn = int(self._random.random() * len(left))
            left[drawn], left[-1] = left[-1], left[drawn]
            yield left.pop()

    def _from_anywhere(self, slots: list[EngineSlot]) -> list[EngineSlot]:
        start = int(self._random.random() * len(slots))
        return slots[start:] + slots[:start]


def _due_trial(groups: list[EngineGroup], now: float, trial_allowed: bool) -> EngineSlot | None:
    """Return an engine of the first version whose trial is due."""
    for group in groups[:1]:
        for slot in group.slots:
            health = slot.health
            if (health.suspect or health.held_out) and health.trial_open(now, trial_allowed):
                return slot
    return None


def _sound_but_closed(group: EngineGroup, excluded: Collection[EngineId], now: float) -> EngineSlot | None:
    """Return an engine that is full, held out, cold or slow, if no better one is left."""
    left = [
        slot
        for slot in group.slots
        if not (slot.health.suspect or slot.health.stale(now) or slot.record.engine in excluded)
    ]
    return min(
        left,
        key=lambda slot: (slot.health.held_out, max(now, slot.health.full_until), slot.in_flight),
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
