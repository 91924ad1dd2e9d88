"""Processor time of a node per request and per streamed chunk, compared with the bare relay."""

from __future__ import annotations

import pstats
import re
import time
import urllib.request
from collections.abc import Callable
from io import StringIO
from pathlib import Path

import msgspec

from springmux.lab.bench.processes import usage
from springmux.lab.bench.relay_client import ClientPlan
from springmux.lab.bench.relay_deployment import (
    PACED_ENGINE,
    RelayDeployment,
    run_client,
    run_relay_deployment,
)
from springmux.lab.bench.report import BenchResult, Table

SHORT_REQUESTS = 4000
STREAMS = 300
FEW_CHUNKS, MANY_CHUNKS = 10, 200
WARM_UP_REQUESTS = 500
REPEATS = 3
GROWTH_REQUESTS = 100_000
PACED_STREAMS = 96
PACED_CONCURRENCY = 16
EXPECTED_RATE_PER_S = 13.0
"""Rate at one node: 153 requests per second over twelve nodes, as documented for the current sizes."""
EXPECTED_RATE_SECONDS = 30.0
REQUEST_GOAL, CHUNK_GOAL = 3.0, 2.0
"""Upper bounds of the cost of a request and of a chunk, as multiples of the bare relay's cost."""
_PROFILE_LINES = 40


class RelayCost(msgspec.Struct, frozen=True, kw_only=True):
    """Processor time of a relaying process in microseconds, and the number of failed requests."""

    request_us: float
    chunk_us: float
    failed: int


def measure_relay_process(pid: int, address: str) -> RelayCost:
    """Measure the process ``pid``, a node or the bare relay, which serves at ``address``."""
    run_client(ClientPlan(address=address, requests=WARM_UP_REQUESTS, chunks=1, stream=False))
    short_us, short_failed = _cpu_us(
        pid, ClientPlan(address=address, requests=SHORT_REQUESTS, chunks=1, stream=False)
    )
    few_us, few_failed = _cpu_us(
        pid, ClientPlan(address=address, requests=STREAMS, chunks=FEW_CHUNKS, stream=True)
    )
    many_us, many_failed = _cpu_us(
        pid, ClientPlan(address=address, requests=STREAMS, chunks=MANY_CHUNKS, stream=True)
    )
    return RelayCost(
        request_us=short_us / SHORT_REQUESTS,
        chunk_us=(many_us - few_us) / STREAMS / (MANY_CHUNKS - FEW_CHUNKS),
        failed=short_failed + few_failed + many_failed,
    )


def _cpu_us(pid: int, plan: ClientPlan) -> tuple[float, int]:
    before = usage(pid)
    result = run_client(plan)
    after = usage(pid)
    return (after.cpu_s - before.cpu_s) * 1e6, result.failed


def measure_relay_cost(
    folder: Path, growth_requests: int = GROWTH_REQUESTS, profile: bool = False
) -> BenchResult:
    """Measure the node and the bare relay alternately; with ``profile`` only profile the node."""
    with run_relay_deployment(folder, profile) as deployment:
        if profile:
            run_client(
                ClientPlan(address=deployment.node.client_address, requests=2000, chunks=1, stream=False)
            )
            run_client(
                ClientPlan(address=deployment.node.client_address, requests=200, chunks=200, stream=True)
            )
            tables: tuple[Table, ...] = ()
        else:
            tables = (
                _measure_ratios(deployment),
                _measure_memory_growth(deployment, growth_requests),
                _measure_loop_lag(deployment),
            )
    if not profile:
        with run_relay_deployment(folder / "paced", spec=PACED_ENGINE) as deployment:
            tables = (*tables, _measure_paced_streams(deployment))
    if profile:
        tables = (_profile_table(Path(deployment.profile_file)),)
    option = " --profile" if profile else f" --growth-requests {growth_requests}"
    return BenchResult(name="relay", command=f"springmux lab bench --only relay{option}", tables=tables)


def _measure_ratios(deployment: RelayDeployment) -> Table:
    node_costs, relay_costs = [], []
    for _ in range(REPEATS):
        relay_costs.append(measure_relay_process(deployment.relay_pid, deployment.relay_address))
        node_costs.append(measure_relay_process(deployment.node.pid, deployment.node.client_address))
    rows = (
        _ratio_row("short request", REQUEST_GOAL, node_costs, relay_costs, lambda cost: cost.request_us),
        _ratio_row("streamed piece", CHUNK_GOAL, node_costs, relay_costs, lambda cost: cost.chunk_us),
    )
    failed = sum(cost.failed for cost in node_costs), sum(cost.failed for cost in relay_costs)
    return Table(
        title="Processor time in the middle",
        columns=("unit", "bare relay us", "node us", "ratio", "goal", "all ratios"),
        rows=rows,
        notes=(
            f"Median of {REPEATS} alternating passes; failed requests: node {failed[0]}, relay {failed[1]}. "
            "The node's values include the idle cost of a fleet of one node.",
        ),
    )


def _measure_paced_streams(deployment: RelayDeployment) -> Table:
    node_us, relay_us = [], []
    for _ in range(REPEATS):
        relay_us.append(_paced_chunk_us(deployment.relay_pid, deployment.relay_address))
        node_us.append(_paced_chunk_us(deployment.node.pid, deployment.node.client_address))
    node, relay = sorted(node_us)[REPEATS // 2], sorted(relay_us)[REPEATS // 2]
    ratios_text = ", ".join(f"{a / b:.2f}" for a, b in zip(node_us, relay_us, strict=True))
    return Table(
        title="Processor time of a streamed piece that arrives by itself (5 ms apart)",
        columns=("unit", "bare relay us", "node us", "ratio", "goal", "all ratios"),
        rows=(("streamed piece", relay, node, node / relay, f"at most {CHUNK_GOAL:g}", ratios_text),),
        notes=(
            "In `Processor time in the middle` the back end has no delays, and packets carry several chunks.",
        ),
    )


def _paced_chunk_us(pid: int, address: str) -> float:
    few_us, many_us = (
        _cpu_us(
            pid,
            ClientPlan(
                address=address,
                requests=PACED_STREAMS,
                chunks=chunks,
                stream=True,
                concurrency=PACED_CONCURRENCY,
            ),
        )[0]
        for chunks in (FEW_CHUNKS, MANY_CHUNKS)
    )
    return max(0.1, (many_us - few_us) / PACED_STREAMS / (MANY_CHUNKS - FEW_CHUNKS))


def _ratio_row(
    name: str,
    goal: float,
    node_costs: list[RelayCost],
    relay_costs: list[RelayCost],
    select_cost: Callable[[RelayCost], float],
) -> tuple[str | float, ...]:
    node = sorted(select_cost(cost) for cost in node_costs)[len(node_costs) // 2]
    relay = sorted(select_cost(cost) for cost in relay_costs)[len(relay_costs) // 2]
    ratios = [
        select_cost(a) / max(1e-9, select_cost(b)) for a, b in zip(node_costs, relay_costs, strict=True)
    ]
    ratios_text = ", ".join(f"{ratio:.2f}" for ratio in ratios)
    return (name, relay, node, node / max(1e-9, relay), f"at most {goal:g}", ratios_text)


def _measure_memory_growth(deployment: RelayDeployment, requests: int) -> Table:
    before = usage(deployment.node.pid).resident_bytes
    result = run_client(
        ClientPlan(address=deployment.node.client_address, requests=requests, chunks=1, stream=False)
    )
    after = usage(deployment.node.pid).resident_bytes
    return Table(
        title="Resident memory over many requests",
        columns=("requests", "failed", "before MiB", "after MiB", "bytes a request", "requests a second"),
        rows=(
            (
                requests,
                result.failed,
                before / 2**20,
                after / 2**20,
                (after - before) / requests,
                requests / result.seconds,
            ),
        ),
    )


def _measure_loop_lag(deployment: RelayDeployment) -> Table:
    before = _lag_buckets(deployment.node.admin_address)
    requests = int(EXPECTED_RATE_PER_S * EXPECTED_RATE_SECONDS)
    began = time.monotonic()
    result = run_client(
        ClientPlan(
            address=deployment.node.client_address,
            requests=requests,
            chunks=24,
            stream=True,
            concurrency=32,
            rate_per_s=EXPECTED_RATE_PER_S,
        )
    )
    after = _lag_buckets(deployment.node.admin_address)
    grown_bounds = [bound for bound in after if after[bound] > before.get(bound, 0.0)]
    # Buckets are cumulative: the first one that counts every new sample bounds the longest delay.
    new_samples = max((after[bound] - before.get(bound, 0.0) for bound in after), default=0.0)
    bounds_of_all_samples = [
        bound for bound in grown_bounds if after[bound] - before.get(bound, 0.0) >= new_samples
    ]
    return Table(
        title="Longest delay of the node's event loop",
        columns=("requests a second", "seconds", "failed", "samples", "longest at most s"),
        rows=(
            (
                EXPECTED_RATE_PER_S,
                time.monotonic() - began,
                result.failed,
                int(new_samples),
                min(bounds_of_all_samples, default=float("nan")),
            ),
        ),
        notes=("From the buckets of `springmux_loop_lag_seconds`, one sample every 0.25 s.",),
    )


def _lag_buckets(admin_address: str) -> dict[float, float]:
    with urllib.request.urlopen(f"http://{admin_address}/metrics", timeout=5.0) as response:
        text = response.read().decode()
    found = re.findall(r'springmux_loop_lag_seconds_bucket\{le="([^"]+)"\} ([0-9.e+]+)', text)
    return {float(bound.replace("+Inf", "inf")): float(value) for bound, value in found}


def _profile_table(file: Path) -> Table:
    output = StringIO()
    stats = pstats.Stats(str(file), stream=output)
    stats.sort_stats("tottime").print_stats(_PROFILE_LINES)
    rows = []
    for line in output.getvalue().splitlines():
        parts = line.split(None, 5)
        if len(parts) == 6 and re.fullmatch(r"[0-9/]+", parts[0]):
            location = re.sub(r"^.*/(site-packages|src|lib)/", "", parts[5])
            rows.append((location, parts[0], parts[1], parts[3]))
    return Table(
        title="Where the node's time goes (cProfile, own time)",
        columns=("place", "calls", "own s", "with callees s"),
        rows=tuple(rows),
    )
