"""Runs a trace under a policy and sums up what came in time."""

from __future__ import annotations

import random
from collections.abc import Sequence

import msgspec

from springmux.simulation.placement.engine import EngineShape, Request
from springmux.simulation.placement.trace import PromptKind
from springmux.simulation.placement.world import Chooser, LoadExchange, World

WARM_UP_S = 15.0
"""Caches are filled and rates known by then."""
LARGEST_PART = 0.1
LATE_WORTH = 0.3
"""What a late answer earns of its worth."""


class Result(msgspec.Struct, frozen=True):
    """Figures after the warm-up. ``hit_share``: of the long prompts' shared tokens."""

    hit_share: float
    short_p95_s: float
    long_p95_s: float


class KindResult(msgspec.Struct, frozen=True):
    """One kind's prompts after the warm-up: the late ones, also of its largest tenth, the 95th percentile of
    the first event, and the part of the shared tokens that engines had kept."""

    kind: str
    late: float
    largest_late: float
    p95_s: float
    kept: float


class MixResult(msgspec.Struct, frozen=True):
    """What a mix of kinds earned of its worth, and each kind's figures. Late answers earn ``LATE_WORTH``."""

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
        hit_share=hit_share([request for request in measured if request.long]),
        short_p95_s=_p95([request.first_event_s for request in measured if not request.long]),
        long_p95_s=_p95([request.first_event_s for request in measured if request.long]),
    )


def hit_share(requests: Sequence[Request]) -> float:
    """Return the part of the requests' shared tokens that engines had kept."""
    kept = sum(request.kept_tokens for request in requests)
    shared = sum(sum(tokens for _, tokens in request.facts.prefix[:-1]) for request in requests)
    return kept / shared if shared else 0.0


def run_mix(
    requests: list[Request],
    kinds: tuple[PromptKind, ...],
    world: World,
) -> MixResult:
    """Run a trace of kinds under the placement of ``world``, and sum up what came after the warm-up."""
    world.run(requests, world.by_placement)
    measured = [request for request in requests if request.at >= WARM_UP_S]
    results = tuple(_kind_result(index, kind, measured) for index, kind in enumerate(kinds))
    counts = [sum(request.kind == index for request in measured) for index in range(len(kinds))]
    owed = sum(count * kind.worth for count, kind in zip(counts, kinds, strict=True))
    lost = sum(
        count * kind.worth * result.late * (1.0 - LATE_WORTH)
        for count, kind, result in zip(counts, kinds, results, strict=True)
    )
    return MixResult(1.0 - lost / owed, results)


def _kind_result(index: int, kind: PromptKind, measured: Sequence[Request]) -> KindResult:
    own = sorted(
        (request for request in measured if request.kind == index),
        key=lambda request: request.facts.prompt_tokens,
    )
    largest = own[int((1.0 - LARGEST_PART) * len(own)) :]
    p95_s = _p95([request.first_event_s for request in own])
    return KindResult(kind.name, _late(own, kind), _late(largest, kind), p95_s, hit_share(own))


def _late(requests: Sequence[Request], kind: PromptKind) -> float:
    return sum(request.first_event_s > kind.target_s for request in requests) / max(1, len(requests))


def _p95(values: list[float]) -> float:
    return sorted(values)[int(0.95 * len(values))]
