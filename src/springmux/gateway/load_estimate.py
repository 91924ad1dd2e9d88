"""What a new request would wait for at an engine, as one node can tell."""

from __future__ import annotations

from springmux.gateway.engine_pool import EngineSlot

REQUEST_TOKENS = 64.0
"""Cost of a request beside others, in prompt tokens: its share of the steps; also the least difference
that is worth a move."""
QUEUED_TOKENS = 20_000.0
"""Cost of waiting for a slot: some hundred milliseconds, more than a cold long prompt."""


def model_cost(slot: EngineSlot, now: float) -> float:
    """Return a model engine's cost in prompt tokens."""
    requests = slot.in_flight + slot.other_requests
    cost = slot.tokens_ahead(now) + requests * REQUEST_TOKENS
    over = requests + 1.0 - slot.record.capacity
    return cost + over * QUEUED_TOKENS if over > 0.0 else cost


def plain_cost(slot: EngineSlot) -> float:
    """Return a plain back end's load with the new request, 1 meaning that it is just full."""
    return (slot.in_flight + slot.other_requests + 1.0) / max(1, slot.record.capacity)
