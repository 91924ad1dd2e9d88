"""Engine choice for one request among the ready engines of a version.

Two costs are compared, both in tokens: the work queued at an engine, and the prefill of the part of the
prompt that the engine probably has not cached. No engine may exceed its share of the load by more than
:data:`LOAD_BOUND_RATIO` (Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded loads", 2018),
so a hot prefix spreads to further engines. A prefix that no engine is known to cache is placed by rendezvous
hash: nodes agree on its engines without messages, and the prefixes of a lost engine are distributed over
several others.
"""

from __future__ import annotations

import math
import random
from collections.abc import Set

import msgspec

from springmux.coordination.slow_start import slow_start_share
from springmux.router.ejection import Ejector
from springmux.router.engine_table import EnginePool, EngineSlot, weight
from springmux.router.prefix_index import PrefixIndex, PromptPrefix
from springmux.vocabulary.names import EngineId

LOAD_BOUND_RATIO = 1.25
"""Maximum ratio of an engine's requests in flight to its weighted share (c in the bounded-load paper)."""
MIN_BOUND_REQUESTS = 2
"""Requests in flight that every engine may have. With a lower limit, two concurrent prompts with the same
prefix would be prefilled on two engines at low load."""
TIE_TOKENS = 64.0
"""Cost difference below which two engines are tied; it corresponds to a few milliseconds of prefill."""
OTHER_NODE_REQUEST_TOKENS = 256.0
"""Assumed remaining work of a request that another node sent to the engine."""

_MASK = (1 << 64) - 1
_MIX_FIRST = 0xBF58476D1CE4E5B9
_MIX_SECOND = 0x94D049BB133111EB
"""Multipliers of the splitmix64 finalizer (Steele, Lea and Flood 2014)."""
_FRACTION_BITS = 16


class EngineChoice(msgspec.Struct, frozen=True):
    """The chosen engine. ``expected_hit``: share (0..1) of the prompt that it probably has cached."""

    slot: EngineSlot
    expected_hit: float


class ChoiceConstraints(msgspec.Struct, frozen=True):
    """Constraints of one choice.

    ``prefix``: ``None`` for calls. ``excluded``: engines already tried. ``may_probe``: the request may
    be the probe of a half-open engine.
    """

    prefix: PromptPrefix | None
    prompt_tokens: int
    excluded: Set[EngineId]
    may_probe: bool


def placement_score(prefix_key: int, engine_hash: int) -> int:
    """Return the 64-bit rendezvous weight of an engine for a prefix."""
    mixed = ((prefix_key ^ engine_hash) * _MIX_FIRST) & _MASK
    mixed ^= mixed >> 27
    mixed = (mixed * _MIX_SECOND) & _MASK
    return mixed ^ (mixed >> 31)


class EngineChooser:
    """Chooses engines by prefix index, ejector state and a random source; has no state of its own."""

    def __init__(self, index: PrefixIndex, ejector: Ejector, source: random.Random) -> None:
        self._index = index
        self._ejector = ejector
        self._random = source

    def choose(self, pool: EnginePool, constraints: ChoiceConstraints, now: float) -> EngineChoice | None:
        """Return the engine of ``pool`` with the lowest cost, or ``None`` if no engine may be used."""
        if not pool.slots:
            return None
        shares = self._candidates(pool, constraints, now)
        weight_sum = pool.weight_sum(now)
        # Maximum requests in flight per unit of weight, including this request.
        bound = LOAD_BOUND_RATIO * (pool.total_in_flight() + 1) / weight_sum
        mean_weight = weight_sum / len(pool.slots)
        best: EngineSlot | None = None
        best_cost = math.inf
        for slot, share in shares.items():
            own_weight = weight(slot, now)
            if slot.in_flight >= MIN_BOUND_REQUESTS and slot.in_flight >= math.ceil(bound * own_weight):
                continue
            cost = _cost(slot, own_weight / mean_weight, constraints.prompt_tokens * (1.0 - share), now)
            if cost < best_cost - (TIE_TOKENS if best is not None else 0.0):
                best, best_cost = slot, cost
        if best is None:
            best = self._least_loaded(pool, constraints, now)
        if best is None:
            return None
        return EngineChoice(best, shares.get(best, 0.0))

    def _candidates(
        self, pool: EnginePool, constraints: ChoiceConstraints, now: float
    ) -> dict[EngineSlot, float]:
        """Return the engines to compare, each with the share of the prompt that it probably has cached.

        At a tie, the engine that comes first is preferred.
        """
        shares: dict[EngineSlot, float] = {}
        if constraints.prefix is not None:
            holders = self._index.lookup(constraints.prefix)
            holders.sort(key=lambda holder: -holder.share)
            for holder in holders:
                if holder.slot.record.engine in pool.members and self._allowed(holder.slot, constraints, now):
                    shares[holder.slot] = holder.share
            for slot in self._placed_by_hash(pool, constraints.prefix.key, constraints, now):
                shares.setdefault(slot, 0.0)
        for slot in self._two_random(pool, constraints, now):
            shares.setdefault(slot, 0.0)
        return shares

    def _placed_by_hash(
        self, pool: EnginePool, key: int, constraints: ChoiceConstraints, now: float
    ) -> list[EngineSlot]:
        """Return the two engines with the highest rendezvous weights that accept the prefix."""
        first: EngineSlot | None = None
        second: EngineSlot | None = None
        first_score = second_score = -1
        for slot in pool.placement_candidates(key):
            score = placement_score(key, slot.hash)
            if score <= second_score or not self._allowed(slot, constraints, now):
                continue
            if not _accepts_prefix(slot, score, now):
                continue
            if score > first_score:
                second, second_score = first, first_score
                first, first_score = slot, score
            else:
                second, second_score = slot, score
        return [slot for slot in (first, second) if slot is not None]

    def _two_random(self, pool: EnginePool, constraints: ChoiceConstraints, now: float) -> list[EngineSlot]:
        """Return at most two random engines, the less loaded one first (Mitzenmacher 2001)."""
        slots = pool.slots
        picked = [slots[int(self._random.random() * len(slots))] for _ in range(2)]
        usable = [slot for slot in picked if self._allowed(slot, constraints, now)]
        usable = [
            slot for slot in usable if self._random.random() < slow_start_share(slot.first_seen_at, now)
        ]
        usable.sort(key=lambda slot: slot.in_flight / max(1, slot.record.capacity))
        return usable

    def _least_loaded(
        self, pool: EnginePool, constraints: ChoiceConstraints, now: float
    ) -> EngineSlot | None:
        usable = [slot for slot in pool.slots if self._allowed(slot, constraints, now)]
        if not usable and all(slot.ejected_until >= 0.0 for slot in pool.slots):
            # If every engine is ejected, trying one is better than rejecting the request.
            usable = [slot for slot in pool.slots if slot.record.engine not in constraints.excluded]
        if not usable:
            return None
        return min(usable, key=lambda slot: slot.in_flight / weight(slot, now))

    def _allowed(self, slot: EngineSlot, constraints: ChoiceConstraints, now: float) -> bool:
        if not slot.usable or slot.record.engine in constraints.excluded:
            return False
        return slot.ejected_until < 0.0 or self._ejector.allows(slot, now, constraints.may_probe)


def _cost(slot: EngineSlot, relative_weight: float, uncached_tokens: float, now: float) -> float:
    """Return the tokens that an engine must process before this request's first response token."""
    waiting = slot.outstanding_tokens + slot.other_nodes_requests(now) * OTHER_NODE_REQUEST_TOKENS
    return waiting / relative_weight + uncached_tokens


def _accepts_prefix(slot: EngineSlot, score: int, now: float) -> bool:
    """Return whether an engine accepts this prefix; during slow start its set of prefixes only grows."""
    share = slow_start_share(slot.first_seen_at, now)
    return share >= 1.0 or (score & ((1 << _FRACTION_BITS) - 1)) < share * (1 << _FRACTION_BITS)
