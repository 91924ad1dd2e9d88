"""Cost of the control plane per node at several fleet sizes, in virtual time."""

from __future__ import annotations

import gc
import tracemalloc
from collections.abc import Sequence

import msgspec

from springmux.lab.bench.leader_loss import LeaderLoss, measure_leader_loss
from springmux.lab.bench.metered_fleet import (
    ANNOUNCE_SPREAD_S,
    DeliveryObserver,
    MeteredFleet,
    add_engines,
    make_fleet,
    schedule_changes,
)
from springmux.lab.bench.report import BenchResult, Cell, Line, Plot, Table
from springmux.lab.bench.slopes import fit, quantile

CHANGES_A_DAY = 13_000
"""Rate of control-state changes of the target size."""
DAY_S = 86_400.0
JOIN_TIMEOUT_S = 60.0
SETTLE_S = 20.0
"""Time within which the gossip of a cold start ends, after the last announcement of an engine."""
PROBE_CHANGES = 20
"""Number of changes whose delivery is timed, submitted at two per second."""
SEED = 1


class FleetSize(msgspec.Struct, frozen=True, kw_only=True):
    """One fleet size to measure.

    ``window_s``: duration of a measurement in virtual seconds. ``losses``: number of losses of the leader, of
    each kind.
    """

    nodes: int
    zones: int
    controllers: int
    engines: int
    window_s: float
    losses: int


SIZES = (
    FleetSize(nodes=12, zones=4, controllers=4, engines=10, window_s=60.0, losses=10),
    FleetSize(nodes=36, zones=4, controllers=4, engines=290, window_s=40.0, losses=10),
    FleetSize(nodes=120, zones=10, controllers=9, engines=967, window_s=20.0, losses=5),
    FleetSize(nodes=360, zones=10, controllers=18, engines=2900, window_s=10.0, losses=3),
)
"""The current size, two sizes in between, and the target. Sizes other than the current one have
engines in the target's proportion."""


class SizeCost(msgspec.Struct, frozen=True, kw_only=True):
    """Costs of one fleet size. Bytes, messages and processor time are per node and second.

    ``joined_s``: time until all nodes are ready. ``busiest_bytes``: bytes per second of the node that sends
    most in the quiet fleet. ``delays_s``: times from a change's acknowledgement until every node has it.
    """

    size: FleetSize
    joined_s: float
    quiet_bytes: float
    busiest_bytes: float
    quiet_messages: float
    quiet_cpu_ms: float
    busy_bytes: float
    busy_messages: float
    busy_cpu_ms: float
    bytes_by_type: dict[str, float]
    delays_s: tuple[float, ...]
    undelivered: int
    refused: int
    losses: tuple[LeaderLoss, ...]


def measure_size(size: FleetSize) -> SizeCost:
    """Measure a fleet while it forms, while it is quiet, during changes and after losses of its leader."""
    fleet = make_fleet(size.nodes, size.zones, size.controllers, SEED)
    observer = DeliveryObserver(size.nodes)
    fleet.observers.append(observer)
    fleet.world.start_all()
    joined = fleet.run_until(fleet.all_ready, JOIN_TIMEOUT_S)
    joined_s = fleet.world.now if joined else float("nan")
    add_engines(fleet, size.engines)
    fleet.world.run_for(ANNOUNCE_SPREAD_S + SETTLE_S)
    quiet = _measure_window(fleet, size)
    busiest_bytes = max(fleet.meter.bytes_of_node.values()) / size.window_s
    by_type = {name: count / size.nodes / size.window_s for name, count in fleet.meter.bytes.most_common()}
    period_s = DAY_S / CHANGES_A_DAY
    schedule_changes(fleet, int(size.window_s / period_s) + 1, period_s)
    busy = _measure_window(fleet, size)
    schedule_changes(fleet, PROBE_CHANGES, 0.5)
    fleet.world.run_for(0.5 * PROBE_CHANGES + 5.0)
    losses = tuple(measure_leader_loss(fleet, kind, size.losses) for kind in ("kill", "freeze", "cut"))
    return SizeCost(
        size=size,
        joined_s=joined_s,
        quiet_bytes=quiet[0],
        busiest_bytes=busiest_bytes,
        quiet_messages=quiet[1],
        quiet_cpu_ms=quiet[2],
        busy_bytes=busy[0],
        busy_messages=busy[1],
        busy_cpu_ms=busy[2],
        bytes_by_type=by_type,
        delays_s=tuple(observer.delays_s),
        undelivered=observer.undelivered_count,
        refused=observer.refused,
        losses=losses,
    )


def _measure_window(fleet: MeteredFleet, size: FleetSize) -> tuple[float, float, float]:
    """Return bytes, messages and milliseconds of processor time per node and second over one window."""
    fleet.meter.clear()
    fleet.world.run_for(size.window_s)
    node_seconds = size.nodes * size.window_s
    meter = fleet.meter
    return (
        meter.bytes.total() / node_seconds,
        meter.messages.total() / node_seconds,
        meter.cpu_ns / 1e6 / node_seconds,
    )


def measure_memory(size: FleetSize) -> float:
    """Return the traced memory of a node in a quiet fleet, in KiB.

    Simulated nodes share the records and entries that they exchange; the value excludes these and covers
    only a node's own tables, indexes and views.
    """
    gc.collect()
    tracemalloc.start()
    try:
        fleet = make_fleet(size.nodes, size.zones, size.controllers, SEED)
        fleet.world.start_all()
        fleet.run_until(fleet.all_ready, JOIN_TIMEOUT_S)
        add_engines(fleet, size.engines)
        fleet.world.run_for(ANNOUNCE_SPREAD_S + 5.0)
        gc.collect()
        traced_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return traced_bytes / 1024 / size.nodes


def measure_control_cost(nodes_max: int = 360, memory_nodes_max: int = 120) -> BenchResult:
    """Measure sizes up to ``nodes_max``, and memory, which is slow to trace, up to ``memory_nodes_max``."""
    sizes = [size for size in SIZES if size.nodes <= nodes_max]
    costs = [measure_size(size) for size in sizes]
    memory = {size.nodes: measure_memory(size) for size in sizes if size.nodes <= memory_nodes_max}
    return BenchResult(
        name="control",
        command=f"springmux lab bench --only control --nodes-max {nodes_max}",
        tables=(_cost_table(costs, memory), _type_table(costs), _loss_table(costs), _slope_table(costs)),
        plots=(_plot(costs),),
    )


def _cost_table(costs: Sequence[SizeCost], memory: dict[int, float]) -> Table:
    rows: list[tuple[Cell, ...]] = []
    for cost in costs:
        size, delays_s = cost.size, cost.delays_s
        traced_kib = memory.get(size.nodes)
        rows.append(
            (
                size.nodes,
                size.engines,
                cost.joined_s,
                cost.quiet_bytes,
                cost.busiest_bytes,
                cost.busy_bytes,
                cost.quiet_messages,
                cost.busy_messages,
                cost.quiet_cpu_ms,
                cost.busy_cpu_ms,
                "not run" if traced_kib is None else traced_kib,
                f"{quantile(delays_s, 0.5):.3f} / {quantile(delays_s, 0.99):.3f} / "
                f"{max(delays_s, default=float('nan')):.3f}",
                f"{len(delays_s)}, {cost.undelivered}, {cost.refused}",
            )
        )
    return Table(
        title="A node a second, quiet and at 13,000 changes a day (virtual time)",
        columns=(
            "nodes",
            "engines",
            "all ready after s",
            "bytes quiet",
            "of them at the busiest node (the leader)",
            "bytes busy",
            "messages quiet",
            "messages busy",
            "CPU ms quiet",
            "CPU ms busy",
            "traced KiB a node",
            "in force everywhere after s (p50 / p99 / max)",
            "changes timed, not delivered, refused",
        ),
        rows=tuple(rows),
        notes=(
            "Bytes are those of the encoded envelope, without WebSocket, TCP and IP headers. CPU is "
            "that of the agent and the encoding, without sockets and the event loop. "
            "Traced memory excludes the objects that simulated nodes share.",
        ),
    )


def _type_table(costs: Sequence[SizeCost]) -> Table:
    names = sorted({name for cost in costs for name in cost.bytes_by_type})
    rows: list[tuple[Cell, ...]] = [
        (name, *(cost.bytes_by_type.get(name, 0.0) for cost in costs))
        for name in names
        if any(cost.bytes_by_type.get(name, 0.0) >= 0.05 for cost in costs)
    ]
    return Table(
        title="Quiet bytes a node a second by message type, with the envelope",
        columns=("message", *(f"{cost.size.nodes} nodes" for cost in costs)),
        rows=tuple(rows),
    )


def _loss_table(costs: Sequence[SizeCost]) -> Table:
    rows = [
        (
            cost.size.nodes,
            loss.kind,
            quantile(loss.gaps_s, 0.5),
            max(loss.gaps_s, default=float("nan")),
            f"{len(loss.gaps_s)}, {loss.failed}",
        )
        for cost in costs
        for loss in cost.losses
    ]
    return Table(
        title="Time without a leader",
        columns=("nodes", "loss", "p50 s", "max s", "losses, without a new leader"),
        rows=tuple(rows),
    )


def _slope_table(costs: Sequence[SizeCost]) -> Table:
    large_fleets = [cost for cost in costs if cost.size.nodes > 24]
    if len(large_fleets) < 2:
        return Table(title="Slopes", columns=("figure",), rows=(("too few sizes were run",),))
    nodes = [float(cost.size.nodes) for cost in large_fleets]
    values_by_name = {
        "bytes quiet": [cost.quiet_bytes for cost in large_fleets],
        "bytes busy": [cost.busy_bytes for cost in large_fleets],
        "messages quiet": [cost.quiet_messages for cost in large_fleets],
        "CPU ms quiet": [cost.quiet_cpu_ms for cost in large_fleets],
        "CPU ms busy": [cost.busy_cpu_ms for cost in large_fleets],
    }
    rows = []
    for name, values in values_by_name.items():
        slope = fit(nodes, values)
        rows.append((name, slope.base, slope.per_unit, slope.at(360.0), slope.largest_residual))
    return Table(
        title="Slopes over fleets above 24 nodes (least squares)",
        columns=("a node a second", "base", "for each node", "at 360", "largest residual"),
        rows=tuple(rows),
        notes=("Fleets of up to 24 nodes prove contact by round trips and are excluded from the fit.",),
    )


def _plot(costs: Sequence[SizeCost]) -> Plot:
    nodes = tuple(float(cost.size.nodes) for cost in costs)
    return Plot(
        name="control-bytes",
        title="Control bytes a node a second",
        x_label="nodes",
        y_label="bytes",
        lines=(
            Line(label="quiet", x=nodes, y=tuple(cost.quiet_bytes for cost in costs)),
            Line(label="13,000 changes a day", x=nodes, y=tuple(cost.busy_bytes for cost in costs)),
        ),
    )
