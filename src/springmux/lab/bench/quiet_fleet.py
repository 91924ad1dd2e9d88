"""Processor time and memory of the nodes of an idle fleet of real processes."""

from __future__ import annotations

import json
import time
import urllib.error
import urllib.request
from pathlib import Path

from springmux.fleet.layout import FleetLayout, FleetOptions, NodeSpec, create_layout
from springmux.fleet.supervisor import Supervisor
from springmux.lab.bench.processes import usage
from springmux.lab.bench.relay_deployment import BenchProcessError
from springmux.lab.bench.report import BenchResult, Cell, Table

ZONES = ("north", "east", "south", "west")
NODES_PER_ZONE = (3, 9)
"""Fleets of 12 nodes prove contact by round trips, fleets of 36 by the leader's beacon."""
SETTLE_S = 10.0
WINDOW_S = 30.0
CPU_BUDGET = 1.6
MEMORY_BUDGET_MIB = 64
"""Targets for the cost of the control plane at one node: percent of a core, and memory."""
_READY_TIMEOUT_S = 60.0
_POLL_S = 0.2


def measure_quiet_fleet(folder: Path) -> BenchResult:
    """Measure fleets of 12 and 36 nodes, four of them controllers, that run without traffic."""
    tables = tuple(_measure_fleet(folder / f"fleet-{count}", count) for count in NODES_PER_ZONE)
    return BenchResult(name="fleet", command="springmux lab bench --only fleet", tables=tables)


def _measure_fleet(folder: Path, nodes_per_zone: int) -> Table:
    specs = [
        NodeSpec(node=f"{zone}-{number}", zone=zone, controller=number == 1)
        for zone in ZONES
        for number in range(1, nodes_per_zone + 1)
    ]
    layout = create_layout(folder, specs, FleetOptions(log_level="warning"))
    supervisor = Supervisor(layout)
    try:
        supervisor.start_all()
        _wait_until_ready(layout)
        time.sleep(SETTLE_S)
        before = {node.node: usage(node.pid) for node in layout.nodes}
        began = time.monotonic()
        time.sleep(WINDOW_S)
        after = {node.node: usage(node.pid) for node in layout.nodes}
        seconds = time.monotonic() - began
        leader = _leader(layout)
    finally:
        supervisor.stop_all()
    costs_by_role: dict[str, list[tuple[float, float]]] = {}
    for node in layout.nodes:
        role = "leader" if node.node == leader else "other controllers" if node.controller else "routers"
        cpu_percent = 100.0 * (after[node.node].cpu_s - before[node.node].cpu_s) / seconds
        costs_by_role.setdefault(role, []).append((cpu_percent, after[node.node].resident_bytes / 2**20))
    return Table(
        title=f"{len(specs)} quiet nodes as processes",
        columns=("role", "nodes", "percent of a core, mean", "largest", "resident MiB, largest"),
        rows=tuple(_role_row(role, node_costs) for role, node_costs in sorted(costs_by_role.items())),
        notes=(
            f"Over {WINDOW_S:.0f} s. The target is {CPU_BUDGET}% and {MEMORY_BUDGET_MIB} MB for control; "
            "resident memory counts the interpreter and all libraries.",
        ),
    )


def _role_row(role: str, node_costs: list[tuple[float, float]]) -> tuple[Cell, ...]:
    percents = [percent for percent, _ in node_costs]
    return (
        role,
        len(node_costs),
        sum(percents) / len(node_costs),
        max(percents),
        max(resident for _, resident in node_costs),
    )


def _wait_until_ready(layout: FleetLayout) -> None:
    deadline = time.monotonic() + _READY_TIMEOUT_S
    while not all(_get(node.admin_address, "/readyz") is not None for node in layout.nodes):
        if time.monotonic() > deadline:
            raise BenchProcessError("not every node of the fleet became ready in time")
        time.sleep(_POLL_S)


def _leader(layout: FleetLayout) -> str:
    for node in layout.nodes:
        body = _get(node.admin_address, "/v1/status")
        if body is not None and json.loads(body)["node"]["leading"]:
            return node.node
    return ""


def _get(address: str, path: str) -> bytes | None:
    try:
        with urllib.request.urlopen(f"http://{address}{path}", timeout=2.0) as response:
            body: bytes = response.read()
            return body
    except (urllib.error.URLError, OSError):
        return None
