"""Routing policies to compare: the router's own engine choice and common alternatives."""

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
    """Return the engine that the router's :class:`EngineChooser` selects."""
    tokens = len(request.prompt) // BYTES_PER_TOKEN
    constraints = ChoiceConstraints(prefix, tokens, frozenset(), may_probe=False)
    choice = simulation.chooser.choose(simulation.table.pool(SERVICE, VERSION), constraints, simulation.now)
    assert choice is not None
    return choice.slot


def random_engine(
    simulation: RoutingSimulation, _request: TracedRequest, _prefix: PromptPrefix
) -> EngineSlot:
    """Return a random engine."""
    return simulation.random.choice(simulation.usable_slots())


def round_robin(simulation: RoutingSimulation, _request: TracedRequest, _prefix: PromptPrefix) -> EngineSlot:
    """Return the next engine in a fixed cyclic order."""
    slots = simulation.usable_slots()
    return slots[next(simulation.round_robin_counter) % len(slots)]


def least_loaded(simulation: RoutingSimulation, _request: TracedRequest, _prefix: PromptPrefix) -> EngineSlot:
    """Return the engine with the fewest requests in flight; ties are broken at random."""
    return min(simulation.usable_slots(), key=lambda slot: (slot.in_flight, simulation.random.random()))


def prefix_only(simulation: RoutingSimulation, _request: TracedRequest, prefix: PromptPrefix) -> EngineSlot:
    """Return the engine that rendezvous hashing selects for the prefix, regardless of load."""
    return max(
        simulation.usable_slots(), key=lambda slot: (prefix.key ^ slot.hash) * 0xBF58476D1CE4E5B9 % (1 << 64)
    )


POLICIES: dict[str, Policy] = {
    "springmux": springmux_policy,
    "random": random_engine,
    "round robin": round_robin,
    "least loaded": least_loaded,
    "prefix only": prefix_only,
}
