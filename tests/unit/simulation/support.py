"""Small runs with one node per zone, little traffic and a short duration, and the rules that they violate."""

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
    """Return a run that has not been started."""
    scenario = Scenario(
        seed=seed,
        settings=settings,
        deployment=deployment,
        candidate=candidate,
        surging_tenant=surging_tenant,
        faults=tuple(faults),
    )
    return Run(scenario)


def violated_rules(run: Run) -> set[str]:
    """Run to the end and return the names of the violated rules."""
    return {violation.rule for violation in run.run().violations}
