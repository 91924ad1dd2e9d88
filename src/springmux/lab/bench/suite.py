"""All measurements by name, run one after another into one report."""

from __future__ import annotations

import tempfile
from collections.abc import Callable, Sequence
from pathlib import Path

import msgspec

from springmux.lab.bench.control_cost import control_cost
from springmux.lab.bench.placement_ablation import placement_ablation
from springmux.lab.bench.quiet_fleet import quiet_fleet
from springmux.lab.bench.quota_cost import quota_cost
from springmux.lab.bench.relay_cost import GROWTH_REQUESTS, relay_cost
from springmux.lab.bench.report import BenchResult, write_report
from springmux.lab.bench.routing_comparison import compare_routing_policies
from springmux.lab.bench.state_size import state_size
from springmux.lab.bench.storage_cost import storage_cost
from springmux.vocabulary.errors import SpringmuxError

NAMES = ("state", "quota", "routing", "placement", "storage", "fleet", "relay", "control")


class BenchError(SpringmuxError):
    """A requested measurement does not exist."""


class BenchOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Measurements to run. ``nodes_max``: largest simulated fleet; ``profile``: of the relay's node only."""

    names: tuple[str, ...] = NAMES
    nodes_max: int = 360
    growth_requests: int = GROWTH_REQUESTS
    profile: bool = False


def check_names(names: Sequence[str]) -> None:
    """Check the names of measurements.

    :raises BenchError: naming every unknown one.
    """
    unknown = [name for name in names if name not in NAMES]
    if unknown:
        raise BenchError(f"no measurement named {', '.join(unknown)}; there are {', '.join(NAMES)}")


def run_suite(options: BenchOptions, report: Path, say: Callable[[str], None]) -> Path:
    """Run the measurements and write the report after each; return its file.

    :raises BenchError: for an unknown name.
    """
    check_names(options.names)
    results: list[BenchResult] = []
    written = report
    for name in options.names:
        say(f"measuring {name}")
        with tempfile.TemporaryDirectory(prefix=f"springmux-bench-{name}-") as folder:
            results.append(_measure(name, options, Path(folder)))
        written = write_report(report, results)
    return written


def _measure(name: str, options: BenchOptions, folder: Path) -> BenchResult:
    if name == "state":
        return state_size()
    if name == "quota":
        return quota_cost(options.nodes_max)
    if name == "routing":
        return compare_routing_policies()
    if name == "placement":
        return placement_ablation()
    if name == "storage":
        return storage_cost(folder)
    if name == "fleet":
        return quiet_fleet(folder)
    if name == "relay":
        return relay_cost(folder, options.growth_requests, options.profile)
    return control_cost(options.nodes_max)
