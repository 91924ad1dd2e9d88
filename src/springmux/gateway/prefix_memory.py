"""What one node remembers of prompts: how often it sees each prefix, and where parts were sent last."""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TypeVar

from springmux.gateway.engine_pool import EngineSlot

T = TypeVar("T")

PREFILL_TOKENS_PER_S = 50_000.0
"""Prefill speed of the engines that this was built for (51 tokens/ms; a guess for others)."""
HEAT_MEMORY_S = 30.0
"""Time over which a prefix's rate is taken: a few of its requests at the usual rates."""
SPREAD_LOAD = 0.35
"""Part of one engine that one prefix may take before it goes to a further engine."""
MOST_SPREAD = 8
WARM_S = 20.0
"""A part sent to an engine this recently is probably still kept: caches turn over in 50 to 100 s."""
PREFIXES_KEPT = 4096
PARTS_KEPT = 8192
HOLD_WEIGHT = 0.05
FIRST_HOLD_S = 1.0
"""Assumed length of an exchange before any was measured."""


@dataclass(eq=False, slots=True)
class _Heat:
    count: float = 0.0
    at: float = 0.0
    sent: dict[EngineSlot, float] = field(default_factory=dict)


class PrefixMemory:
    """Bounded memory of prefixes and parts; the oldest are forgotten first."""

    def __init__(self) -> None:
        self.fleet_size = 1
        self._hold_s = FIRST_HOLD_S
        self._heats: OrderedDict[str, _Heat] = OrderedDict()
        self._parts: OrderedDict[str, EngineSlot] = OrderedDict()

    def note_sent(self, prefix_id: str, slot: EngineSlot, now: float) -> None:
        """Count one request of a prefix."""
        heat = self._heats.pop(prefix_id, None) or _Heat()
        heat.count = heat.count * math.exp((heat.at - now) / HEAT_MEMORY_S) + 1.0
        heat.at = now
        if len(heat.sent) > 2 * MOST_SPREAD:
            heat.sent = {other: at for other, at in heat.sent.items() if now - at < WARM_S}
        heat.sent[slot] = now
        _keep(self._heats, prefix_id, heat, PREFIXES_KEPT)

    def note_hold(self, seconds: float) -> None:
        """Take the length of one exchange with a shared prefix."""
        self._hold_s += HOLD_WEIGHT * (seconds - self._hold_s)

    def warm(self, prefix_id: str, slot: EngineSlot, now: float) -> bool:
        """Say whether this node sent the prefix to the engine lately."""
        heat = self._heats.get(prefix_id)
        return heat is not None and now - heat.sent.get(slot, -math.inf) < WARM_S

    def spread(self, prefix_id: str, own_tokens: float, capacity: int, now: float) -> int:
        """Return over how many engines the prefix goes, by the fleet's load with it (own rate x nodes).

        One sighting is no rate: at many nodes it would be taken for many a second.
        """
        heat = self._heats.get(prefix_id)
        if heat is None:
            return 1
        count = heat.count * math.exp((heat.at - now) / HEAT_MEMORY_S) - 1.0
        if count <= 0.0:
            return 1
        rate_per_s = count / HEAT_MEMORY_S * self.fleet_size
        load = rate_per_s * (self._hold_s / max(1, capacity) + own_tokens / PREFILL_TOKENS_PER_S)
        return max(1, min(MOST_SPREAD, math.ceil(load / SPREAD_LOAD)))

    def note_part(self, part_id: str, slot: EngineSlot) -> None:
        """Remember where a part was sent last."""
        self._parts.pop(part_id, None)
        _keep(self._parts, part_id, slot, PARTS_KEPT)

    def holder(self, part_id: str) -> EngineSlot | None:
        """Return where a part was sent last, if known."""
        return self._parts.get(part_id)


def _keep(memory: OrderedDict[str, T], key: str, value: T, most: int) -> None:
    if len(memory) >= most:
        memory.popitem(last=False)
    memory[key] = value
