"""``springmux lab``: experiments on a complete fleet on loopback, with stand-in back ends and clients."""

from __future__ import annotations

import asyncio
import shutil
import tempfile
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, TypeVar

import msgspec
import typer
from rich.console import Console
from rich.markup import escape
from rich.table import Table

from springmux.cli.bench import bench
from springmux.cli.exit_codes import ExitCode
from springmux.cli.explore import explore
from springmux.cli.output import fail
from springmux.cli.rollout_scenarios import rollout_scenarios
from springmux.cli.soak import soak
from springmux.vocabulary.errors import SpringmuxError

if TYPE_CHECKING:
    from springmux.lab.checks.verdict import Verdict
    from springmux.lab.experiment.experiment import RunOptions, Script
    from springmux.lab.load.traffic import Surge
    from springmux.lab.records import RunRecords

Settings = TypeVar("Settings")

RUN_CODES = "Exit codes: 0 no promise was broken, 1 one was broken or the run failed, 2 wrong usage."

application = typer.Typer(
    help="Run experiments on a complete fleet on loopback.", no_args_is_help=True, epilog=RUN_CODES
)
application.command()(bench)
application.command()(explore)
application.command()(soak)
application.command("rollouts")(rollout_scenarios)

SettingsOption = Annotated[Path, typer.Option("--settings", help="JSON file with the settings.")]
ReportOption = Annotated[Path | None, typer.Option("--report", help="Folder for the report and its plots.")]
SeedOption = Annotated[
    int, typer.Option("--seed", help="Seed of the traffic, the back ends and the targets of faults.", min=0)
]
KeepOption = Annotated[
    Path | None,
    typer.Option("--keep", help="Keep the run's settings, logs, data and records in this folder."),
]


@application.command(epilog=RUN_CODES)
def demo(report: ReportOption = None, keep: KeepOption = None, seed: SeedOption = 1) -> None:
    """Run a complete deployment under traffic with a good and a bad rollout, a kill and a freeze.

    Takes less than three minutes; stops all its processes and deletes all its files except the report.

    Example: springmux lab demo --report reports/demo
    """
    from springmux.lab.experiment.demo import DEMO_EXPERIMENT, DEMO_SECONDS, run_demo
    from springmux.lab.experiment.experiment import RunOptions

    with _work_folder(keep) as folder:
        options = RunOptions(experiment=DEMO_EXPERIMENT, folder=folder, seconds=DEMO_SECONDS, seed=seed)
        _run(options, run_demo, [], report)


@application.command(epilog=RUN_CODES)
def run(
    experiment: Annotated[
        str, typer.Argument(help="Name of a built-in experiment (see 'lab list') or a TOML file.")
    ],
    faults: Annotated[str, typer.Option(help="Names of faults, separated by commas, or 'all'.")] = "",
    seconds: Annotated[
        float, typer.Option(help="Seconds of traffic; 0: as many as the experiment needs.", min=0)
    ] = 0,
    seed: SeedOption = 1,
    report: ReportOption = None,
    keep: KeepOption = None,
) -> None:
    """Run an experiment: good and bad rollouts one after another, together with the named faults.

    Example: springmux lab run anuario --faults leader-killed,hot-tenant --report reports/anuario
    """
    from springmux.lab.experiment import script
    from springmux.lab.experiment.experiment import RunOptions
    from springmux.lab.faults.catalogue import choose_faults
    from springmux.lab.plan import ExperimentError, load_experiment

    try:
        plan = load_experiment(experiment)
        scheduled_faults = script.schedule_faults(choose_faults(faults))
    except ExperimentError as error:
        fail(str(error), ExitCode.INVALID)
    length_s = seconds or script.needed_traffic_s(scheduled_faults, plan)
    scheduled_faults = [
        fault for fault in scheduled_faults if fault.at_s + fault.scenario.duration_s <= length_s
    ]
    with _work_folder(keep) as folder:
        options = RunOptions(experiment=experiment, folder=folder, seconds=length_s, seed=seed)
        _run(
            options,
            script.RunScript(scheduled_faults, length_s).play,
            script.scheduled_surges(scheduled_faults, plan),
            report,
        )


@application.command("list")
def list_all() -> None:
    """List the built-in experiments and the faults."""
    from springmux.lab.faults.catalogue import FAULTS
    from springmux.lab.plan import built_in_experiments

    typer.echo("Experiments:")
    for plan in built_in_experiments():
        typer.echo(f"  {plan.name:<22} {plan.title}")
    typer.echo("Faults:")
    for scenario in FAULTS.values():
        typer.echo(f"  {scenario.name:<22} {scenario.description} ({scenario.duration_s:g} s)")


@application.command()
def backends(settings: SettingsOption) -> None:
    """Run stand-in back ends until SIGTERM (experiments start this command)."""
    from springmux.lab.stand_ins.host import BackEndHost, load_host_settings

    loaded = _load_settings(settings, load_host_settings)
    asyncio.run(BackEndHost(loaded).run())


@application.command()
def callers(settings: SettingsOption) -> None:
    """Send an experiment's traffic and record every response (experiments start this command)."""
    from springmux.lab.load.clients import load_client_settings, run_clients

    loaded = _load_settings(settings, load_client_settings)
    asyncio.run(run_clients(loaded))


def _load_settings(file: Path, load: Callable[[Path], Settings]) -> Settings:
    """Return the settings in a file, or print the error and exit."""
    try:
        return load(file)
    except (OSError, msgspec.DecodeError) as error:
        fail(f"{file}: {error}", ExitCode.INVALID)


@contextmanager
def _work_folder(keep: Path | None) -> Iterator[Path]:
    """Yield the folder of a run: the one to keep, or a temporary one that is deleted afterwards."""
    if keep is not None:
        if keep.exists() and any(keep.iterdir()):
            fail(f"{keep} is not empty; choose a new folder", ExitCode.INVALID)
        yield keep
        return
    temporary = Path(tempfile.mkdtemp(prefix="springmux-lab-"))
    try:
        yield temporary
    finally:
        shutil.rmtree(temporary, ignore_errors=True)


def _run(options: RunOptions, script: Script, surges: list[Surge], report: Path | None) -> None:
    """Run an experiment, print its verdicts and write its report; exit with 1 if a promise was broken."""
    from springmux.lab.checks.run_checks import check_all
    from springmux.lab.experiment.experiment import run_experiment
    from springmux.lab.reporting.report import write_report

    console = Console()
    try:
        records = asyncio.run(run_experiment(options, script, surges, _progress(console)))
    except SpringmuxError as error:
        fail(str(error), ExitCode.FAILED)
    except asyncio.CancelledError:
        fail("interrupted by a signal; every process of the run was stopped", ExitCode.FAILED)
    verdicts = check_all(records)
    _print_verdicts(console, records, verdicts)
    for folder in (report, options.folder):
        if folder is not None:
            write_report(folder, records, verdicts)
    if report is not None:
        console.print(f"report in {report}")
    if any(verdict.kept is False for verdict in verdicts):
        raise typer.Exit(ExitCode.FAILED)


def _progress(console: Console) -> Callable[[str], None]:
    started_at_s = time.monotonic()

    def print_progress(line: str) -> None:
        console.print(f"[dim]{time.monotonic() - started_at_s:6.1f} s[/dim]  {escape(line)}", highlight=False)

    return print_progress


def _print_verdicts(console: Console, records: RunRecords, verdicts: Sequence[Verdict]) -> None:
    from springmux.lab.reporting.report import verdict_label

    table = Table(title=f"{records.experiment}: {len(records.calls)} requests")
    for header in ("promise", "bound", "measured", "verdict"):
        table.add_column(header, overflow="fold")
    for verdict in verdicts:
        style = {True: "green", False: "bold red", None: "dim"}[verdict.kept]
        cells = [escape(cell) for cell in (verdict.promise, verdict.bound, verdict.measured)]
        table.add_row(*cells, f"[{style}]{verdict_label(verdict)}[/{style}]")
    console.print(table)
    for verdict in verdicts:
        for item in verdict.evidence:
            console.print(f"{escape(verdict.promise)}: {escape(item)}", style="red", highlight=False)
