"""``springmux lab explore``: seeded runs of a simulated fleet in virtual time, with faults and checks."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec
import typer

from springmux.cli.exit_codes import ExitCode
from springmux.cli.output import fail, print_json
from springmux.simulation.deployments import DEPLOYMENTS
from springmux.simulation.exploration import MAX_WORKERS, explore_seeds, run_scenario, shrink
from springmux.simulation.run import RunResult
from springmux.simulation.scenario import Scenario, ScenarioSettings, draw_scenario


def explore(
    seeds: Annotated[int, typer.Option(help="Number of runs.", min=1)] = 20,
    first_seed: Annotated[int, typer.Option(help="Seed of the first run.", min=0)] = 1,
    deployment: Annotated[
        str, typer.Option(help="Deployment, anuario or derwent; empty: the seed decides.")
    ] = "",
    nodes: Annotated[
        int, typer.Option(help="Nodes in each zone; 0: as many as the deployment has.", min=0)
    ] = 0,
    traffic_share: Annotated[
        float,
        typer.Option(help="Fraction of the deployment's requests to simulate; 1 is all.", min=0.01, max=2.0),
    ] = 0.4,
    thinning: Annotated[int, typer.Option(help="Tokens in each chunk of a stream.", min=1)] = 4,
    faults_s: Annotated[
        float, typer.Option(help="Virtual seconds during which faults occur.", min=1.0)
    ] = 50.0,
    disturbances: Annotated[int, typer.Option(help="Random faults in each run.", min=0)] = 7,
    workers: Annotated[int, typer.Option(help="Worker processes.", min=1, max=MAX_WORKERS)] = 2,
    shrink_failures: Annotated[
        bool,
        typer.Option(
            "--shrink/--no-shrink", help="Reduce each failing scenario to the parts that the failure needs."
        ),
    ] = True,
    replay: Annotated[Path | None, typer.Option(help="Replay the scenario in this JSON file.")] = None,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Run seeded scenarios and check every invariant; print the seed and a minimal schedule of each failure.

    Example: springmux lab explore --seeds 200 --workers 4
    """
    if deployment and deployment not in DEPLOYMENTS:
        fail(
            f"unknown deployment {deployment}; choose from {', '.join(DEPLOYMENTS)}",
            ExitCode.INVALID,
            as_json,
        )
    knobs = ScenarioSettings(
        deployment=deployment,
        nodes_per_zone=nodes,
        traffic_share=traffic_share,
        tokens_per_chunk=thinning,
        faults_s=faults_s,
        disturbances=disturbances,
    )
    if replay is not None:
        results = [_replay(replay, as_json)]
    else:
        results = list(explore_seeds(seeds, first_seed, knobs, workers))
    failed = 0
    for result in results:
        _print_result(result, as_json)
        if not result.violations:
            continue
        failed += 1
        if replay is None and shrink_failures:
            minimal_scenario = shrink(draw_scenario(result.seed, knobs), result.violations[0].rule)
            typer.echo(minimal_scenario.to_json().decode())
    if not as_json:
        typer.echo(f"{len(results)} runs, {failed} with violations")
    if failed:
        raise typer.Exit(ExitCode.FAILED)


def _replay(file: Path, as_json: bool) -> RunResult:
    try:
        scenario = Scenario.from_json(file.read_bytes())
    except OSError as error:
        fail(f"can't read {file}: {error.strerror}", ExitCode.INVALID, as_json)
    except msgspec.DecodeError as error:
        fail(f"{file} is not a scenario: {error}", ExitCode.INVALID, as_json)
    return run_scenario(scenario)


def _print_result(result: RunResult, as_json: bool) -> None:
    if as_json:
        print_json(msgspec.to_builtins(result))
        return
    state = "ok" if not result.violations else f"{len(result.violations)} violations"
    typer.echo(
        f"seed {result.seed}: {state}; {result.calls} calls, {result.complete} whole,"
        f" {result.refused} refused, {result.executed} executions,"
        f" rollout {result.rollout}, transcript {result.transcript}"
    )
    for violation in result.violations:
        nodes = ", ".join(violation.nodes)
        typer.echo(f"  {violation.at:8.3f} s  {violation.rule}  [{nodes}]  {violation.text}")
