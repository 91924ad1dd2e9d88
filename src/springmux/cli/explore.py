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
    deployment: Annotated[str, typer.Option(help="anuario or derwent; empty: drawn from the seed.")] = "",
    nodes: Annotated[int, typer.Option(help="Nodes in each zone; 0: the deployment's own.", min=0)] = 0,
    traffic_share: Annotated[
        float, typer.Option(help="Share of the deployment's requests; 1 is all.", min=0.01, max=2.0)
    ] = 0.4,
    thinning: Annotated[int, typer.Option(help="Tokens in one piece of a stream.", min=1)] = 4,
    faults_s: Annotated[float, typer.Option(help="Virtual seconds with faults.", min=1.0)] = 50.0,
    disturbances: Annotated[int, typer.Option(help="Random faults in a run.", min=0)] = 7,
    workers: Annotated[int, typer.Option(help="Processes.", min=1, max=MAX_WORKERS)] = 2,
    shrink_failures: Annotated[
        bool, typer.Option("--shrink/--no-shrink", help="Leave out what a failure doesn't need.")
    ] = True,
    replay: Annotated[Path | None, typer.Option(help="Run the scenario in this JSON file again.")] = None,
    json_output: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Run seeded scenarios and check every promise; print the seed and a minimal schedule of each failure.

    Example: springmux lab explore --seeds 200 --workers 4
    """
    if deployment and deployment not in DEPLOYMENTS:
        fail(f"no deployment {deployment}; there are {', '.join(DEPLOYMENTS)}", ExitCode.INVALID, json_output)
    knobs = ScenarioSettings(
        deployment=deployment,
        nodes_per_zone=nodes,
        traffic_share=traffic_share,
        tokens_per_chunk=thinning,
        faults_s=faults_s,
        disturbances=disturbances,
    )
    if replay is not None:
        results = [_replay(replay, json_output)]
    else:
        results = list(explore_seeds(seeds, first_seed, knobs, workers))
    failed = 0
    for result in results:
        _show(result, json_output)
        if not result.violations:
            continue
        failed += 1
        if replay is None and shrink_failures:
            smallest = shrink(draw_scenario(result.seed, knobs), result.violations[0].rule)
            typer.echo(smallest.to_json().decode())
    if not json_output:
        typer.echo(f"{len(results)} runs, {failed} with violations")
    if failed:
        raise typer.Exit(ExitCode.FAILED)


def _replay(file: Path, json_output: bool) -> RunResult:
    try:
        scenario = Scenario.from_json(file.read_bytes())
    except OSError as error:
        fail(f"can't read {file}: {error.strerror}", ExitCode.INVALID, json_output)
    except msgspec.DecodeError as error:
        fail(f"{file} is not a scenario: {error}", ExitCode.INVALID, json_output)
    return run_scenario(scenario)


def _show(result: RunResult, json_output: bool) -> None:
    if json_output:
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
