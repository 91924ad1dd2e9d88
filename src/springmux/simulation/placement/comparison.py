"""Runs a trace under a policy and sums up what came in time."""

from __future__ import annotations

import random
from collections.abc import Sequence

import msgspec

from springmux.gateway.placement_policy import PlacementPolicy
from springmux.simulation.placement.engine import EngineShape, Request
from springmux.simulation.placement.trace import PromptKind
from springmux.simulation.placement.world import Chooser, LoadExchange, World

WARM_UP_S = 15.0
"""Caches are filled and rates known by then."""
LARGEST_PART = 0.1


class Result(msgspec.Struct, frozen=True):
    """Figures after the warm-up. ``hit_share``: of the long prompts' shared tokens."""

    hit_share: float
    short_p95_s: float
    long_p95_s: float


class KindResult(msgspec.Struct, frozen=True):
    """One kind's prompts after the warm-up: late ones, also of its largest tenth, and the 95th percentile."""

    kind: str
    late: float
    largest_late: float
    p95_s: float


def compare(
    policy: str,
    requests: list[Request],
    nodes: int,
    engines: int,
    seed: int,
    shape: EngineShape,
    exchange: LoadExchange | None = None,
) -> Result:
    """Run the trace under ``placement``, ``random`` or ``least_loaded`` (own requests in flight)."""
    world = World(nodes, engines, seed, shape, exchange)
    source = random.Random(seed)

    def least_loaded(node: int, request: Request, now: float) -> int:
        return min(range(engines), key=lambda n: (world.in_flight[node][n], source.random()))

    choosers: dict[str, Chooser] = {
        "placement": world.by_placement,
        "random": lambda node, request, now: source.randrange(engines),
        "least_loaded": least_loaded,
    }
    world.run(requests, choosers[policy])
    measured = [request for request in requests if request.at >= WARM_UP_S]
    return Result(
        hit_share=hit_share(measured),
        short_p95_s=_p95([request.first_event_s for request in measured if not request.long]),
        long_p95_s=_p95([request.first_event_s for request in measured if request.long]),
    )


def hit_share(requests: Sequence[Request]) -> float:
    """Return the part of the long prompts' shared tokens that engines had kept."""
    longs = [request for request in requests if request.long]
    kept = sum(request.kept_tokens for request in longs)
    shared = sum(sum(tokens for _, tokens in request.facts.prefix[:-1]) for request in longs)
    return kept / shared if shared else 0.0


def run_kinds(
    requests: list[Request],
    kinds: tuple[PromptKind, ...],
    nodes: int,
    engines: int,
    seed: int,
    shape: EngineShape,
    exchange: LoadExchange | None,
    policy: PlacementPolicy | None = None,
) -> tuple[float, list[KindResult]]:
    """Run a trace of kinds under the placement; return the hits and what each kind got."""
    world = World(nodes, engines, seed, shape, exchange, policy)
    world.run(requests, world.by_placement)
    measured = [request for request in requests if request.at >= WARM_UP_S]
    results = []
    for index, kind in enumerate(kinds):
        own = sorted(
            (request for request in measured if request.kind == index),
            key=lambda request: request.facts.prompt_tokens,
        )
        largest = own[int((1.0 - LARGEST_PART) * len(own)) :]
        results.append(
            KindResult(
                kind.name, _late(own, kind), _late(largest, kind), _p95([r.first_event_s for r in own])
            )
        )
    return hit_share(measured), results


def _late(requests: Sequence[Request], kind: PromptKind) -> float:
    return sum(request.first_event_s > kind.target_s for request in requests) / max(1, len(requests))


def _p95(values: list[float]) -> float:
    return sorted(values)[int(0.95 * len(values))]
