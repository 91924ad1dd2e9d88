"""Exploration: many seeded runs with their checks, and a minimal fault schedule for each failure."""

from __future__ import annotations

from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor

import msgspec

from springmux.simulation.run import Run, RunResult
from springmux.simulation.scenario import Scenario, ScenarioSettings, draw_scenario
from springmux.simulation.scenario_faults import ScenarioFault
from springmux.simulation.world.shrink import minimize

MAX_WORKERS = 4
MAX_SHRINK_RUNS = 60
"""Maximum number of runs for shrinking. When it is reached, the smallest schedule found is returned."""


def run_scenario(scenario: Scenario) -> RunResult:
    """Run one scenario and check its history."""
    return Run(scenario).run()


def run_seed(seed: int, settings: ScenarioSettings) -> RunResult:
    """Run the scenario of a seed."""
    return run_scenario(draw_scenario(seed, settings))


def explore_seeds(
    seeds: int, first_seed: int = 1, settings: ScenarioSettings | None = None, workers: int = 1
) -> Iterator[RunResult]:
    """Run ``seeds`` scenarios and yield their results in the order of the seeds."""
    settings = settings or ScenarioSettings()
    numbers = range(first_seed, first_seed + seeds)
    if workers <= 1:
        yield from (run_seed(seed, settings) for seed in numbers)
        return
    with ProcessPoolExecutor(min(workers, MAX_WORKERS)) as pool:
        yield from pool.map(run_seed, numbers, [settings] * seeds)


def shrink(scenario: Scenario, rule: str) -> Scenario:
    """Return the scenario with a minimal set of faults that still violates ``rule``.

    :raises ValueError: if the scenario does not violate ``rule``.
    """
    runs = 0

    def fails(faults: list[ScenarioFault]) -> bool:
        nonlocal runs
        runs += 1
        if runs > MAX_SHRINK_RUNS:
            return False
        result = run_scenario(msgspec.structs.replace(scenario, faults=tuple(faults)))
        return any(violation.rule == rule for violation in result.violations)

    return msgspec.structs.replace(scenario, faults=tuple(minimize(scenario.faults, fails)))
