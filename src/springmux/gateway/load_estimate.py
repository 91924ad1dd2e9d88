"""Estimated waiting time of a new request at an engine, from the load known to one node."""

from __future__ import annotations

from springmux.gateway.engine_pool import EngineSlot

REQUEST_TOKENS = 64.0
"""Cost of each request in flight, in prompt tokens, for its part of the decode steps."""
QUEUED_TOKENS = 20_000.0
"""Cost of waiting for a slot, in prompt tokens: more than an uncached long prompt."""


def model_cost(slot: EngineSlot, now: float) -> float:
    """Return a model engine's cost in prompt tokens."""
    requests = slot.requests
    cost = slot.tokens_ahead(now) + requests * REQUEST_TOKENS
    over = requests + 1.0 - slot.record.capacity
    return cost + over * QUEUED_TOKENS if over > 0.0 else cost


def plain_cost(slot: EngineSlot) -> float:
    """Return a plain back end's load with the new request, counting this node's own requests only.

    A call is shorter than the delay of other nodes' load reports. If they counted, a back end that looks free
    to every node would be full when the calls of all of them arrive.
    """
    return (slot.in_flight + 1.0) / max(1, slot.record.capacity)
