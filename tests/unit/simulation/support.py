"""Small explored runs: four nodes, little traffic, few seconds; and what their checkers found."""

from __future__ import annotations

from collections.abc import Iterable

from springmux.simulation.run import Run
from springmux.simulation.scenario import Scenario, ScenarioSettings
from springmux.simulation.scenario_faults import ScenarioFault

SMALL = ScenarioSettings(
    nodes_per_zone=1, traffic_share=0.2, tokens_per_chunk=8, faults_s=10.0, by_s=20.0, calm_s=8.0
)


def small_run(
    candidate: str = "good",
    faults: Iterable[ScenarioFault] = (),
    seed: int = 1,
    deployment: str = "derwent",
    surging_tenant: int = -1,
    settings: ScenarioSettings = SMALL,
) -> Run:
    """Return a run that has not begun."""
    scenario = Scenario(
        seed=seed,
        settings=settings,
        deployment=deployment,
        candidate=candidate,
        surging_tenant=surging_tenant,
        faults=tuple(faults),
    )
    return Run(scenario)


def broken_rules(run: Run) -> set[str]:
    """Run to the end and return the names of the rules that were broken."""
    return {violation.rule for violation in run.run().violations}
