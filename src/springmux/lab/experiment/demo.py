"""The demonstration: a whole deployment under traffic, a good and a bad rollout, a kill and a freeze."""

from __future__ import annotations

import asyncio

from springmux.lab.experiment.rollout_driver import RolloutDriver
from springmux.lab.experiment.script import run_step
from springmux.lab.faults.fault_injector import DeploymentFaultInjector
from springmux.lab.faults.operators import OperatorScenarios
from springmux.simulation.engine_model import GOOD, VersionBehaviour

DEMO_EXPERIMENT = "anuario"
DEMO_SECONDS = 110.0
"""Traffic; with start and end the demonstration stays under three minutes."""
WARM_UP_S = 5.0
BY_S = 40.0
BAD_VERSION = VersionBehaviour(error_share=0.3)
"""Three of ten responses fail."""
KILL_AFTER_S = 8.0
KILL_DOWN_S = 4.0
FREEZE_S = 6.0
TERM_MARGIN_S = 5.0
STABLE, GOOD_CANDIDATE, BAD_CANDIDATE = "v1", "v2", "v3"


async def demonstrate(injector: DeploymentFaultInjector) -> None:
    """Run the script of the demonstration; a step that fails is recorded and the others continue."""
    await asyncio.sleep(WARM_UP_S)
    await asyncio.gather(
        run_step(injector, "good rollout", _release_good(injector)),
        run_step(injector, "faults", _kill_and_race(injector)),
    )
    await asyncio.gather(
        run_step(injector, "bad rollout", _release_bad(injector)),
        run_step(injector, "faults", _freeze(injector)),
    )


async def _release_good(injector: DeploymentFaultInjector) -> None:
    rollouts = RolloutDriver(injector)
    await rollouts.load_version(GOOD_CANDIDATE, GOOD)
    await asyncio.sleep(WARM_UP_S)
    run = await rollouts.start_rollout(STABLE, GOOD_CANDIDATE, bad=False, by_s=BY_S)
    await rollouts.wait_for_rollout(run, BY_S + TERM_MARGIN_S)
    if run.phase == "done":
        await rollouts.retire_version(STABLE)


async def _kill_and_race(injector: DeploymentFaultInjector) -> None:
    operators = OperatorScenarios(injector)
    await asyncio.sleep(WARM_UP_S + KILL_AFTER_S)
    await injector.kill(injector.pick_node(controller=False), KILL_DOWN_S)
    await operators.race()
    await operators.lose_response()
    await operators.revoke_while_streaming()


async def _release_bad(injector: DeploymentFaultInjector) -> None:
    rollouts = RolloutDriver(injector)
    released = any(run.phase == "done" for run in injector.records.rollouts)
    await rollouts.abort_unfinished()
    await rollouts.load_version(BAD_CANDIDATE, BAD_VERSION)
    await asyncio.sleep(WARM_UP_S)
    stable = GOOD_CANDIDATE if released else STABLE
    run = await rollouts.start_rollout(stable, BAD_CANDIDATE, bad=True, by_s=BY_S)
    await rollouts.wait_for_rollout(run, BY_S + TERM_MARGIN_S)


async def _freeze(injector: DeploymentFaultInjector) -> None:
    await asyncio.sleep(WARM_UP_S)
    await injector.freeze(injector.pick_node(controller=True), FREEZE_S)
