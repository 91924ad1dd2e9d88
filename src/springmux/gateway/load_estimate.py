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
    requests = slot.requests
    cost = slot.tokens_ahead(now) + requests * REQUEST_TOKENS
    over = requests + 1.0 - slot.record.capacity
    return cost + over * QUEUED_TOKENS if over > 0.0 else cost


def plain_cost(slot: EngineSlot) -> float:
    """Return a plain back end's load with the new request, by this node's own requests.

    A call takes less time than news of other nodes' calls: a back end that looked free to all would be full
    when theirs arrive.
    """
    return (slot.in_flight + 1.0) / max(1, slot.record.capacity)
