"""``springmux lab rollouts``: named rollouts of simulated fleets in virtual time, reported as Markdown."""

from __future__ import annotations

from typing import Annotated

import typer

from springmux.cli.exit_codes import ExitCode
from springmux.cli.output import fail, print_json


def rollout_scenarios(
    seeds: Annotated[int, typer.Option(help="Runs of each scenario.", min=1)] = 2,
    first_seed: Annotated[int, typer.Option(help="Seed of the first run.", min=0)] = 1,
    deployment: Annotated[str, typer.Option(help="Deployment, anuario or derwent; empty: both.")] = "",
    only: Annotated[
        str, typer.Option(help="Only scenarios whose name contains one of these texts, separated by commas.")
    ] = "",
    way: Annotated[
        str, typer.Option(help="Only rollout methods whose name contains this text; empty: all.")
    ] = "springmux",
    undisturbed: Annotated[
        bool, typer.Option("--undisturbed", help="Only scenarios in which nothing but the new version fails.")
    ] = False,
    workers: Annotated[int, typer.Option(help="Worker processes, 4 at most.", min=1, max=4)] = 2,
    limit_s: Annotated[
        float, typer.Option(help="Start no new seed after this many seconds; 0: no limit.", min=0)
    ] = 0.0,
    as_json: Annotated[bool, typer.Option("--json", help="Print every run as JSON.")] = False,
) -> None:
    """Run named rollouts with many seeds, also with simpler rollout methods, and print a Markdown table.

    Example: springmux lab rollouts --seeds 5 --deployment anuario --only "bad after" --way "" --workers 4
    """
    import msgspec

    from springmux.simulation.deployments import DEPLOYMENTS
    from springmux.simulation.rollout_baselines import Variant
    from springmux.simulation.rollout_scenarios import SCENARIOS, Cell, markdown, measure
    from springmux.simulation.rollout_trial import Disturbance

    if deployment and deployment not in DEPLOYMENTS:
        fail(
            f"unknown deployment {deployment}; choose from {', '.join(DEPLOYMENTS)}",
            ExitCode.INVALID,
            as_json,
        )
    cells = [
        Cell(name, variant, scenario)
        for name in DEPLOYMENTS
        if deployment in ("", name)
        for variant in Variant
        if way in variant.value
        for scenario in SCENARIOS
        if any(text in scenario.name for text in only.split(","))
        and not (undisturbed and scenario.disturbance is not Disturbance.NONE)
    ]
    if not cells:
        fail("no scenario and rollout method match --only and --way", ExitCode.INVALID, as_json)
    rows = measure(cells, seeds, first_seed, workers, limit_s)
    if as_json:
        print_json(msgspec.to_builtins(rows))
    else:
        typer.echo(markdown(rows))
