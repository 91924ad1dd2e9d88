"""``springmux lab bench``: measure the costs of routing, storage, gossip, relaying and control."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from springmux.cli.exit_codes import ExitCode
from springmux.cli.output import fail

DEFAULT_REPORT = Path("reports/bench")


def bench(
    report: Annotated[Path, typer.Option(help="Folder for the report and its plots.")] = DEFAULT_REPORT,
    only: Annotated[str, typer.Option(help="Measurements to run, separated by commas; empty: all.")] = "",
    nodes_max: Annotated[
        int, typer.Option(help="Nodes of the largest hollow fleet: 12, 36, 120 or 360.", min=12)
    ] = 360,
    growth_requests: Annotated[
        int, typer.Option(help="Requests in the memory measurement.", min=100)
    ] = 100_000,
    profile: Annotated[
        bool, typer.Option(help="Only profile the relaying node and report where its time goes.")
    ] = False,
) -> None:
    """Measure routing, storage, an idle fleet, relaying in comparison with a bare relay, and control.

    Exit codes: 0 all measurements ran, 1 a measurement could not run, 2 unknown measurement name.

    Example: springmux lab bench --only relay,routing --report reports/bench
    """
    from springmux.lab.bench.suite import MEASUREMENT_NAMES, BenchError, BenchOptions, check_names, run_suite
    from springmux.vocabulary.errors import SpringmuxError

    names = tuple(name.strip() for name in only.split(",") if name.strip()) or MEASUREMENT_NAMES
    try:
        check_names(names)
    except BenchError as error:
        fail(str(error), ExitCode.INVALID)
    options = BenchOptions(names=names, nodes_max=nodes_max, growth_requests=growth_requests, profile=profile)
    try:
        report_file = run_suite(options, report, typer.echo)
    except (SpringmuxError, OSError) as error:
        fail(f"a measurement failed: {error}", ExitCode.FAILED)
    typer.echo(str(report_file))
