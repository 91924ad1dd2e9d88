"""Routing policies under comparison: the router's own chooser and the usual alternatives."""

from __future__ import annotations

from springmux.lab.bench.routing_simulation import SERVICE, VERSION, Policy, RoutingSimulation
from springmux.lab.bench.routing_traces import TracedRequest
from springmux.router.choice import ChoiceConstraints
from springmux.router.engine_table import EngineSlot
from springmux.router.prefix_index import PromptPrefix
from springmux.simulation.engine_model import BYTES_PER_TOKEN


def springmux_policy(
    simulation: RoutingSimulation, request: TracedRequest, prefix: PromptPrefix
) -> EngineSlot:
    """Return the choice of the router's own chooser."""
    tokens = len(request.prompt) // BYTES_PER_TOKEN
    needs = ChoiceConstraints(prefix, tokens, frozenset(), may_probe=False)
    choice = simulation.chooser.choose(simulation.table.pool(SERVICE, VERSION), needs, simulation.now)
    assert choice is not None
    return choice.slot


def random_engine(
    simulation: RoutingSimulation, _request: TracedRequest, _prefix: PromptPrefix
) -> EngineSlot:
    """Return a random engine."""
    return simulation.random.choice(simulation.usable())


def round_robin(simulation: RoutingSimulation, _request: TracedRequest, _prefix: PromptPrefix) -> EngineSlot:
    """Return the engines in turn."""
    slots = simulation.usable()
    return slots[next(simulation.turn) % len(slots)]


def least_loaded(simulation: RoutingSimulation, _request: TracedRequest, _prefix: PromptPrefix) -> EngineSlot:
    """Return the engine with the fewest requests, a random one of several."""
    return min(simulation.usable(), key=lambda slot: (slot.in_flight, simulation.random.random()))


def prefix_only(simulation: RoutingSimulation, _request: TracedRequest, prefix: PromptPrefix) -> EngineSlot:
    """Return the rendezvous choice for the prefix, regardless of load."""
    return max(
        simulation.usable(), key=lambda slot: (prefix.key ^ slot.hash) * 0xBF58476D1CE4E5B9 % (1 << 64)
    )


POLICIES: dict[str, Policy] = {
    "springmux": springmux_policy,
    "random": random_engine,
    "round robin": round_robin,
    "least loaded": least_loaded,
    "prefix only": prefix_only,
}
