"""``springmux lab soak``: signals, restarts and configuration changes on real processes, in seeded runs."""

from __future__ import annotations

import asyncio
import shutil
import signal
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from springmux.cli.exit_codes import ExitCode
from springmux.cli.output import fail

if TYPE_CHECKING:
    from springmux.lab.soak.run import SoakReport


def soak(
    seeds: Annotated[int, typer.Option(help="Number of seeds to run, one after another.", min=1)] = 1,
    first_seed: Annotated[int, typer.Option(help="Seed of the first run.", min=0)] = 1,
    nodes: Annotated[int, typer.Option(help="Gateway processes.", min=3, max=250)] = 9,
    controllers: Annotated[int, typer.Option(help="Nodes with a data folder.", min=1)] = 3,
    zones: Annotated[int, typer.Option(help="Zones.", min=1)] = 3,
    seconds: Annotated[float, typer.Option(help="Seconds that each run lasts.", min=15)] = 40.0,
    connections: Annotated[int, typer.Option(help="Open connections to each node.", min=1)] = 3,
    change_period_s: Annotated[
        float, typer.Option(help="Mean seconds between configuration changes.", min=0.05)
    ] = 0.4,
    misbehaving: Annotated[
        int, typer.Option(help="Clients of the fleet that send parts of requests and read nothing.", min=0)
    ] = 40,
    keep: Annotated[
        Path | None, typer.Option(help="Folder that keeps the settings, data and logs of failed seeds.")
    ] = None,
) -> None:
    """Run a soak test of gateway processes on loopback; the seed determines every event.

    Clients use open connections until the process has ended, while others misbehave on every listener.

    Exit codes: 0 no violation was found, 1 a rule was violated.

    Example: springmux lab soak --seeds 50 --keep reports/soak
    """
    from springmux.lab.soak.plan import SoakSize
    from springmux.lab.soak.run import soak as run_soak

    if controllers > nodes:
        fail("there can't be more controllers than nodes", ExitCode.INVALID)
    # SIGTERM raises KeyboardInterrupt like SIGINT, so that the run ends its processes.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    size = SoakSize(nodes, controllers, zones, seconds, change_period_s, connections, misbehaving)
    failed: list[int] = []
    for seed in range(first_seed, first_seed + seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"springmux-soak-{seed}-"))
        report = asyncio.run(run_soak(seed, size, folder))
        _print_report(seed, report)
        if report.findings:
            failed.append(seed)
            if keep is not None:
                shutil.copytree(folder, keep / f"seed-{seed}", dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)
    if failed:
        typer.echo(f"failed seeds: {', '.join(map(str, failed))}")
        raise typer.Exit(ExitCode.FAILED)


def _print_report(seed: int, report: SoakReport) -> None:
    counts = ", ".join(f"{name} {count}" for name, count in report.counts.items())
    typer.echo(f"seed {seed}: {len(report.findings)} findings; {counts}")
    for finding in report.findings:
        typer.echo(f"  {finding.at_s:7.2f} s  {finding.rule.value}: {finding.what}")
