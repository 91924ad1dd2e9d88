"""Estimate of prefix caches from one node's dispatches: rates of prefixes, and last engine of each part.

Unlike in the router's index of hashed blocks (:mod:`springmux.router.prefix_index`), clients name the parts.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TypeVar

from springmux.gateway.engine_pool import EngineSlot

T = TypeVar("T")

PREFILL_TOKENS_PER_S = 50_000.0
"""Assumed prefill speed of an engine, in tokens/s."""
RATE_WINDOW_S = 30.0
"""Time constant, in seconds, of a prefix's request count: a few of its requests at usual rates."""
MAX_LOAD_PER_ENGINE = 0.35
"""Fraction of one engine's capacity that a prefix may use before it gets another engine."""
MAX_ENGINES_PER_PREFIX = 8
CACHED_S = 20.0
"""Time, in seconds, for which a prefix sent to an engine is probably cached: caches turn over in 50 to 100
s."""
MAX_PREFIXES = 4096
MAX_PARTS = 8192
DURATION_SMOOTHING = 0.05
INITIAL_DURATION_S = 1.0
"""Assumed duration of a request until one has been measured."""


@dataclass(eq=False, slots=True)
class _PrefixUse:
    """Decayed request count of a prefix at time ``at``, and when it was last sent to each engine."""

    count: float = 0.0
    at: float = 0.0
    last_sent: dict[EngineSlot, float] = field(default_factory=dict)


class PrefixMemory:
    """Bounded record of prefixes and parts; the least recently used ones are dropped first."""

    def __init__(self) -> None:
        self.fleet_size = 1
        self._duration_s = INITIAL_DURATION_S
        self._uses: OrderedDict[str, _PrefixUse] = OrderedDict()
        self._parts: OrderedDict[str, EngineSlot] = OrderedDict()

    def record_dispatch(self, prefix_id: str, slot: EngineSlot, now: float) -> None:
        """Count one request with a prefix."""
        use = self._uses.pop(prefix_id, None) or _PrefixUse()
        use.count = use.count * math.exp((use.at - now) / RATE_WINDOW_S) + 1.0
        use.at = now
        if len(use.last_sent) > 2 * MAX_ENGINES_PER_PREFIX:
            use.last_sent = {other: at for other, at in use.last_sent.items() if now - at < CACHED_S}
        use.last_sent[slot] = now
        _store(self._uses, prefix_id, use, MAX_PREFIXES)

    def record_duration(self, seconds: float) -> None:
        """Record the duration of one request with a shared prefix."""
        self._duration_s += DURATION_SMOOTHING * (seconds - self._duration_s)

    def probably_cached(self, prefix_id: str, slot: EngineSlot, now: float) -> bool:
        """Return whether this node sent the prefix to the engine recently."""
        use = self._uses.get(prefix_id)
        return use is not None and now - use.last_sent.get(slot, -math.inf) < CACHED_S

    def engine_count(self, prefix_id: str, own_tokens: float, capacity: int, now: float) -> int:
        """Return the number of engines that the fleet's load with a prefix needs.

        The fleet's rate is this node's rate times the number of nodes. A single request is not counted as a
        rate, since times many nodes it would look like many requests.
        """
        use = self._uses.get(prefix_id)
        if use is None:
            return 1
        count = use.count * math.exp((use.at - now) / RATE_WINDOW_S) - 1.0
        if count <= 0.0:
            return 1
        rate_per_s = count / RATE_WINDOW_S * self.fleet_size
        load = rate_per_s * (self._duration_s / max(1, capacity) + own_tokens / PREFILL_TOKENS_PER_S)
        return max(1, min(MAX_ENGINES_PER_PREFIX, math.ceil(load / MAX_LOAD_PER_ENGINE)))

    def record_part(self, part_id: str, slot: EngineSlot) -> None:
        """Record that a part was sent to an engine."""
        self._parts.pop(part_id, None)
        _store(self._parts, part_id, slot, MAX_PARTS)

    def last_engine(self, part_id: str) -> EngineSlot | None:
        """Return the engine that a part was last sent to, if known."""
        return self._parts.get(part_id)


def _store(memory: OrderedDict[str, T], key: str, value: T, max_entries: int) -> None:
    if len(memory) >= max_entries:
        memory.popitem(last=False)
    memory[key] = value
