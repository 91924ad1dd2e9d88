"""Cost of a node in an idle fleet of real processes."""

from __future__ import annotations

import json
import time
import urllib.error
import urllib.request
from pathlib import Path

from springmux.fleet.layout import FleetLayout, FleetOptions, NodePlace, lay_out
from springmux.fleet.supervisor import Supervisor
from springmux.lab.bench.processes import usage
from springmux.lab.bench.relay_deployment import BenchProcessError
from springmux.lab.bench.report import BenchResult, Cell, Table

ZONES = ("north", "east", "south", "west")
NODES_PER_ZONE = (3, 9)
"""Twelve nodes prove contact by round trips, 36 by the leader's beacon."""
SETTLE_S = 10.0
WINDOW_S = 30.0
CPU_BUDGET = 1.6
MEMORY_BUDGET_MIB = 64
"""The target: percent of a core, and memory, that a node spends on control."""
_READY_TIMEOUT_S = 60.0
_POLL_S = 0.2


def quiet_fleet(folder: Path) -> BenchResult:
    """Run fleets of 12 and 36 nodes, four of them controllers, without traffic, and read their usage."""
    tables = tuple(_measure(folder / f"fleet-{count}", count) for count in NODES_PER_ZONE)
    return BenchResult(name="fleet", command="springmux lab bench --only fleet", tables=tables)


def _measure(folder: Path, nodes_per_zone: int) -> Table:
    places = [
        NodePlace(node=f"{zone}-{number}", zone=zone, controller=number == 1)
        for zone in ZONES
        for number in range(1, nodes_per_zone + 1)
    ]
    layout = lay_out(folder, places, FleetOptions(log_level="warning"))
    supervisor = Supervisor(layout)
    try:
        supervisor.start_all()
        _await_ready(layout)
        time.sleep(SETTLE_S)
        before = {node.node: usage(node.pid) for node in layout.nodes}
        began = time.monotonic()
        time.sleep(WINDOW_S)
        after = {node.node: usage(node.pid) for node in layout.nodes}
        seconds = time.monotonic() - began
        leader = _leader(layout)
    finally:
        supervisor.stop_all()
    costs: dict[str, list[tuple[float, float]]] = {}
    for node in layout.nodes:
        role = "leader" if node.node == leader else "other controllers" if node.controller else "routers"
        cpu = 100.0 * (after[node.node].cpu_s - before[node.node].cpu_s) / seconds
        costs.setdefault(role, []).append((cpu, after[node.node].resident_bytes / 2**20))
    return Table(
        title=f"{len(places)} quiet nodes as processes",
        columns=("role", "nodes", "percent of a core, mean", "largest", "resident MiB, largest"),
        rows=tuple(_role_row(role, found) for role, found in sorted(costs.items())),
        notes=(
            f"Over {WINDOW_S:.0f} s. The target is {CPU_BUDGET}% and {MEMORY_BUDGET_MIB} MB for control; "
            "resident memory counts the interpreter and all libraries.",
        ),
    )


def _role_row(role: str, found: list[tuple[float, float]]) -> tuple[Cell, ...]:
    percents = [percent for percent, _ in found]
    return (
        role,
        len(found),
        sum(percents) / len(found),
        max(percents),
        max(resident for _, resident in found),
    )


def _await_ready(layout: FleetLayout) -> None:
    deadline = time.monotonic() + _READY_TIMEOUT_S
    while not all(_get(node.admin_address, "/readyz") is not None for node in layout.nodes):
        if time.monotonic() > deadline:
            raise BenchProcessError("the fleet didn't become ready")
        time.sleep(_POLL_S)


def _leader(layout: FleetLayout) -> str:
    for node in layout.nodes:
        data = _get(node.admin_address, "/v1/status")
        if data is not None and json.loads(data)["node"]["leading"]:
            return node.node
    return ""


def _get(address: str, path: str) -> bytes | None:
    try:
        with urllib.request.urlopen(f"http://{address}{path}", timeout=2.0) as response:
            data: bytes = response.read()
            return data
    except (urllib.error.URLError, OSError):
        return None
