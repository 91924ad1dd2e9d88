"""Runs measurements by name, one after another, and writes one report."""

from __future__ import annotations

import tempfile
from collections.abc import Callable, Sequence
from pathlib import Path

import msgspec

from springmux.lab.bench.control_cost import measure_control_cost
from springmux.lab.bench.placement_ablation import run_placement_ablation
from springmux.lab.bench.quiet_fleet import measure_quiet_fleet
from springmux.lab.bench.quota_cost import measure_quota_cost
from springmux.lab.bench.relay_cost import GROWTH_REQUESTS, measure_relay_cost
from springmux.lab.bench.report import BenchResult, write_report
from springmux.lab.bench.routing_comparison import compare_routing_policies
from springmux.lab.bench.state_size import measure_state_size
from springmux.lab.bench.storage_cost import measure_storage_cost
from springmux.vocabulary.errors import SpringmuxError

MEASUREMENT_NAMES = ("state", "quota", "routing", "placement", "storage", "fleet", "relay", "control")


class BenchError(SpringmuxError):
    """A requested measurement does not exist; the message lists the existing ones."""


class BenchOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Measurements to run.

    ``nodes_max``: number of nodes of the largest simulated fleet. ``growth_requests``: number of requests
    over which a node's memory growth is measured. ``profile``: in ``relay``, only profile the node.
    """

    names: tuple[str, ...] = MEASUREMENT_NAMES
    nodes_max: int = 360
    growth_requests: int = GROWTH_REQUESTS
    profile: bool = False


def check_names(names: Sequence[str]) -> None:
    """Check that every measurement exists.

    :raises BenchError: if names are unknown; the message contains each of them.
    """
    unknown = [name for name in names if name not in MEASUREMENT_NAMES]
    if unknown:
        raise BenchError(
            f"no measurement named {', '.join(unknown)}; there are {', '.join(MEASUREMENT_NAMES)}"
        )


def run_suite(options: BenchOptions, report: Path, progress: Callable[[str], None]) -> Path:
    """Run the measurements, write the report after each one, and return the path of the report file.

    :raises BenchError: if a name is unknown.
    """
    check_names(options.names)
    results: list[BenchResult] = []
    report_file = report
    for name in options.names:
        progress(f"measuring {name}")
        with tempfile.TemporaryDirectory(prefix=f"springmux-bench-{name}-") as folder:
            results.append(_run_measurement(name, options, Path(folder)))
        report_file = write_report(report, results)
    return report_file


def _run_measurement(name: str, options: BenchOptions, folder: Path) -> BenchResult:
    if name == "state":
        return measure_state_size()
    if name == "quota":
        return measure_quota_cost(options.nodes_max)
    if name == "routing":
        return compare_routing_policies()
    if name == "placement":
        return run_placement_ablation()
    if name == "storage":
        return measure_storage_cost(folder)
    if name == "fleet":
        return measure_quiet_fleet(folder)
    if name == "relay":
        return measure_relay_cost(folder, options.growth_requests, options.profile)
    return measure_control_cost(options.nodes_max)
