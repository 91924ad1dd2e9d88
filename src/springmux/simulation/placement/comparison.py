"""Run a trace under a placement policy and summarize latencies and cache hits."""

from __future__ import annotations

import random
from collections.abc import Sequence

import msgspec

from springmux.simulation.placement.engine import EngineShape, Request
from springmux.simulation.placement.trace import PromptKind
from springmux.simulation.placement.world import Chooser, LoadExchange, World

WARM_UP_S = 15.0
"""Seconds after which caches are filled and rates are known; earlier requests are not measured."""
LARGEST_FRACTION = 0.1
LATE_VALUE = 0.3
"""Fraction of its weight that a late response earns; one within its target earns all."""


class Result(msgspec.Struct, frozen=True):
    """Results after the warm-up. ``hit_share``: fraction of the long prompts' shared tokens in the cache."""

    hit_share: float
    short_p95_s: float
    long_p95_s: float


class KindResult(msgspec.Struct, frozen=True):
    """Results of one kind's prompts after the warm-up.

    ``late``: fraction beyond the latency target. ``largest_late``: the same among the largest tenth.
    ``p95_s``: 95th percentile of the time to the first event. ``kept``: fraction of the shared tokens that
    were in the cache.
    """

    kind: str
    late: float
    largest_late: float
    p95_s: float
    kept: float


class MixResult(msgspec.Struct, frozen=True):
    """Fraction of the total weight that a mix of kinds earned, and the results of each kind."""

    earned: float
    kinds: tuple[KindResult, ...]


def compare(
    policy: str,
    requests: list[Request],
    nodes: int,
    engines: int,
    seed: int,
    shape: EngineShape,
    exchange: LoadExchange | None = None,
) -> Result:
    """Run the trace under one policy and return its results.

    :param policy: ``placement``, ``random``, or ``least_loaded`` by the node's own requests in flight.
    """
    world = World(nodes, engines, seed, shape, exchange)
    source = random.Random(seed)

    def least_loaded(node: int, _request: Request, _now: float) -> int:
        return min(range(engines), key=lambda n: (world.in_flight[node][n], source.random()))

    choosers: dict[str, Chooser] = {
        "placement": world.by_placement,
        "random": lambda _node, _request, _now: source.randrange(engines),
        "least_loaded": least_loaded,
    }
    world.run(requests, choosers[policy])
    measured = [request for request in requests if request.at >= WARM_UP_S]
    return Result(
        hit_share=hit_share([request for request in measured if request.long]),
        short_p95_s=_p95([request.first_event_s for request in measured if not request.long]),
        long_p95_s=_p95([request.first_event_s for request in measured if request.long]),
    )


def hit_share(requests: Sequence[Request]) -> float:
    """Return the fraction of the requests' shared tokens that engines had cached."""
    cached = sum(request.cached_tokens for request in requests)
    shared = sum(sum(tokens for _, tokens in request.metadata.prefix[:-1]) for request in requests)
    return cached / shared if shared else 0.0


def run_mix(
    requests: list[Request],
    kinds: tuple[PromptKind, ...],
    world: World,
) -> MixResult:
    """Run a trace of kinds under the placement of ``world``; return the results after the warm-up."""
    world.run(requests, world.by_placement)
    measured = [request for request in requests if request.at >= WARM_UP_S]
    results = tuple(_kind_result(index, kind, measured) for index, kind in enumerate(kinds))
    counts = [sum(request.kind == index for request in measured) for index in range(len(kinds))]
    total = sum(count * kind.weight for count, kind in zip(counts, kinds, strict=True))
    lost = sum(
        count * kind.weight * result.late * (1.0 - LATE_VALUE)
        for count, kind, result in zip(counts, kinds, results, strict=True)
    )
    return MixResult(1.0 - lost / total, results)


def _kind_result(index: int, kind: PromptKind, measured: Sequence[Request]) -> KindResult:
    own = sorted(
        (request for request in measured if request.kind == index),
        key=lambda request: request.metadata.prompt_tokens,
    )
    largest = own[int((1.0 - LARGEST_FRACTION) * len(own)) :]
    p95_s = _p95([request.first_event_s for request in own])
    return KindResult(
        kind.name, _late_fraction(own, kind), _late_fraction(largest, kind), p95_s, hit_share(own)
    )


def _late_fraction(requests: Sequence[Request], kind: PromptKind) -> float:
    return sum(request.first_event_s > kind.target_s for request in requests) / max(1, len(requests))


def _p95(values: list[float]) -> float:
    return sorted(values)[int(0.95 * len(values))]
