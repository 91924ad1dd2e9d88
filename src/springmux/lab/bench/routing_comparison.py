"""Comparison of routing policies on the same traces, in virtual time."""

from __future__ import annotations

from springmux.lab.bench.report import BenchResult, Line, Plot, Table
from springmux.lab.bench.routing_policies import POLICIES
from springmux.lab.bench.routing_simulation import RoutingSimulation, ServedRequest
from springmux.lab.bench.routing_traces import CASES, TraceCase, make_trace
from springmux.lab.bench.slopes import quantile
from springmux.simulation.engine_model import EngineSpec

ENGINES = 12
ENGINE_SPEC = EngineSpec(slots=24, prefill_tokens_per_s=40_000.0, cache_blocks=600)
"""As the engines of the deployments, but the cache holds only about 24 dossiers, not all prefixes."""
FIRST_TOKEN_GOAL_S = 1.2
"""Upper bound that the target sets for the time to first token."""
TIGHT_GOAL_S = 0.3
"""A tighter bound, with which the policies differ at the speed of these engines."""
SEEDS = (1, 2, 3)


def compare_routing_policies() -> BenchResult:
    """Run every case with every policy and three seeds."""
    tables = [_case_table(case) for case in CASES]
    return BenchResult(
        name="routing",
        command="springmux lab bench --only routing",
        tables=tuple(tables),
        plots=(_plot(tables),),
    )


def _case_table(case: TraceCase) -> Table:
    rows = []
    from_s, to_s = case.counted_s
    for name, policy in POLICIES.items():
        served: list[ServedRequest] = []
        lost = 0
        for seed in SEEDS:
            simulation = RoutingSimulation(ENGINES, ENGINE_SPEC, policy, seed)
            simulation.run(make_trace(case, seed), case.replacements)
            served += [request for request in simulation.served if from_s <= request.arrived_at < to_s]
            lost += simulation.lost
        rows.append(_row(name, case, served, lost))
    return Table(
        title=case.name,
        columns=(
            "policy",
            "requests",
            "lost",
            "cache hits (share of prompt bytes)",
            "first token p50 s",
            "p95 s",
            "p99 s",
            "captions p95 s",
            f"goodput under {FIRST_TOKEN_GOAL_S} s, a second",
            f"goodput under {TIGHT_GOAL_S} s, a second",
        ),
        rows=tuple(rows),
        notes=(
            f"{ENGINES} engines, {len(SEEDS)} seeds, arrivals from {from_s:.0f} to {to_s:.0f} s. "
            "Lost: requests on an engine that was lost; retries by the router are not simulated.",
        ),
    )


def _row(name: str, case: TraceCase, served: list[ServedRequest], lost: int) -> tuple[str | int | float, ...]:
    first_s = [request.first_token_s for request in served]
    captions_s = [request.first_token_s for request in served if request.kind == "caption"]
    hit_bytes = sum(request.cached_share * request.prompt_bytes for request in served)
    seconds = (case.counted_s[1] - case.counted_s[0]) * len(SEEDS)
    return (
        name,
        len(served),
        lost,
        hit_bytes / max(1, sum(request.prompt_bytes for request in served)),
        quantile(first_s, 0.5),
        quantile(first_s, 0.95),
        quantile(first_s, 0.99),
        quantile(captions_s, 0.95),
        sum(delay <= FIRST_TOKEN_GOAL_S for delay in first_s) / seconds,
        sum(delay <= TIGHT_GOAL_S for delay in first_s) / seconds,
    )


def _plot(tables: list[Table]) -> Plot:
    cases = tuple(float(number) for number in range(len(tables)))
    lines = [
        Line(label=name, x=cases, y=tuple(float(table.rows[row][5]) for table in tables))
        for row, name in enumerate(POLICIES)
    ]
    return Plot(
        name="routing-p95",
        title="First token, 95 in 100 (cases in the tables' order)",
        x_label="case",
        y_label="seconds",
        lines=tuple(lines),
    )
