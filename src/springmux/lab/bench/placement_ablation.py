"""Ablation of the gateway's placement policy: each variant disables one of its rules."""

from __future__ import annotations

import math
import statistics
from collections.abc import Sequence

import msgspec

from springmux.gateway.placement_policy import PlacementPolicy
from springmux.lab.bench.report import BenchResult, Cell, Table
from springmux.simulation.placement.comparison import MixResult, run_mix
from springmux.simulation.placement.engine import EngineShape
from springmux.simulation.placement.trace import PartLevel, PromptKind, mixed_trace
from springmux.simulation.placement.world import LoadExchange, World

SEEDS = (1, 2, 3)
TRACE_S = 30.0
LOAD_FACTORS = (1.0, 1.5)
VARIANTS: dict[str, PlacementPolicy] = {
    "as it is": PlacementPolicy(),
    "long prefixes have no engines of their own": PlacementPolicy(hash_long_prefixes=False),
    "short prompts have no engines of their own": PlacementPolicy(hashed_engines=0),
    "one engine drawn, not the better of two": PlacementPolicy(choices=1),
    "a prefix never leaves its engines": PlacementPolicy(bound_factor=math.inf),
    "other nodes' loads don't count": PlacementPolicy(use_other_loads=False),
}


class FleetCase(msgspec.Struct, frozen=True, kw_only=True):
    """A fleet of nodes and engines, its exchange of load reports, and the prompt kinds of its traffic."""

    title: str
    nodes: int
    engines: int
    shape: EngineShape
    exchange: LoadExchange
    kinds: tuple[PromptKind, ...]


LARGE_BATCHES = FleetCase(
    title="90 nodes, 56 engines of 64 places, prompts with a long tail",
    nodes=90,
    engines=56,
    shape=EngineShape(
        slots=64,
        step_s=0.003,
        step_request_s=0.00012,
        first_event_delay_s=0.06,
        prefill_tokens_per_s=92_000.0,
        attention_pair_s=0.35e-9,
        chunk_tokens=1024,
        cache_tokens=650_000,
    ),
    exchange=LoadExchange(period_s=0.25, delay_s=0.3),
    kinds=(
        PromptKind(
            "long", 107.0, (PartLevel(1, 512), PartLevel(810, 4870)), 6610, 1.4, 54_600, 380, 1.045, 2.0
        ),
        PromptKind(
            "short", 286.0, (PartLevel(16, 341), PartLevel(3238, 227)), 1800, 1.3, 6870, 24, 0.522, 3.0
        ),
    ),
)
SMALL_BATCHES = FleetCase(
    title="9 nodes, 9 engines of 16 places, long shared prefixes",
    nodes=9,
    engines=9,
    shape=EngineShape(
        slots=16,
        step_s=0.0042,
        step_request_s=0.0001,
        prefill_tokens_per_s=64_000.0,
        chunk_tokens=1024,
        cache_tokens=410_000,
    ),
    exchange=LoadExchange(period_s=0.2, delay_s=0.02),
    kinds=(
        PromptKind("long", 9.6, (PartLevel(134, 13_300, 0.7),), 3720, 0.5, 12_000, 120, 0.8, 2.0),
        PromptKind("short", 114.0, (PartLevel(40, 55), PartLevel(1300, 37)), 291, 0.5, 1200, 48, 0.5, 3.0),
    ),
)
CASES = (LARGE_BATCHES, SMALL_BATCHES)


def run_placement_ablation(
    cases: Sequence[FleetCase] = CASES, seeds: Sequence[int] = SEEDS, trace_s: float = TRACE_S
) -> BenchResult:
    """Run every case with every load, variant and seed; ``trace_s``: duration of a trace in seconds."""
    tables = tuple(_table(case, load, seeds, trace_s) for case in cases for load in LOAD_FACTORS)
    return BenchResult(name="placement", command="springmux lab bench --only placement", tables=tables)


def run_case(case: FleetCase, load: float, seed: int, policy: PlacementPolicy, trace_s: float) -> MixResult:
    """Run one trace of a case under one policy; ``load``: factor of the usual request rates."""
    requests = mixed_trace(seed, case.nodes, trace_s, case.kinds, load)
    world = World(case.nodes, case.engines, seed, case.shape, case.exchange, policy)
    return run_mix(requests, case.kinds, world)


def _table(case: FleetCase, load: float, seeds: Sequence[int], trace_s: float) -> Table:
    results_by_variant = {
        name: [run_case(case, load, seed, policy, trace_s) for seed in seeds]
        for name, policy in VARIANTS.items()
    }
    reference = next(iter(results_by_variant.values()))
    kinds = tuple(kind.name for kind in case.kinds)
    columns = ["switched off", "earned", "less than as it is", "standard error"]
    for kind in kinds:
        columns += [f"{kind}: late", "late of the largest tenth", "shared tokens kept"]
    rows = tuple(_row(name, results, reference) for name, results in results_by_variant.items())
    return Table(
        title=f"{case.title}; {load:g} times the usual load",
        columns=tuple(columns),
        rows=rows,
        notes=(f"{len(seeds)} seeds with traces of {trace_s:g} s; differences between runs of equal seed.",),
    )


def _row(name: str, results: Sequence[MixResult], reference: Sequence[MixResult]) -> tuple[Cell, ...]:
    differences = [
        baseline.earned - result.earned for baseline, result in zip(reference, results, strict=True)
    ]
    deviation = statistics.stdev(differences) if len(differences) > 1 else 0.0
    cells: list[Cell] = [
        name,
        statistics.fmean(result.earned for result in results),
        statistics.fmean(differences),
        deviation / math.sqrt(len(differences)),
    ]
    for index in range(len(results[0].kinds)):
        kind_results = [result.kinds[index] for result in results]
        cells += [
            statistics.fmean(kind_result.late for kind_result in kind_results),
            statistics.fmean(kind_result.largest_late for kind_result in kind_results),
            statistics.fmean(kind_result.kept for kind_result in kind_results),
        ]
    return tuple(cells)
