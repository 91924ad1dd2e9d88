"""The demonstration: a deployment under traffic, a good and a bad rollout, a killed and a frozen node."""

from __future__ import annotations

import asyncio

from springmux.lab.experiment.rollout_driver import RolloutDriver
from springmux.lab.experiment.script import run_step
from springmux.lab.faults.fault_injector import DeploymentFaultInjector
from springmux.lab.faults.operators import OperatorScenarios
from springmux.simulation.engine_model import GOOD, VersionBehaviour

DEMO_EXPERIMENT = "anuario"
DEMO_SECONDS = 110.0
"""Duration of the traffic; with startup and shutdown the demonstration takes less than three minutes."""
WARM_UP_S = 5.0
ROLLOUT_BY_S = 40.0
BAD_VERSION = VersionBehaviour(error_share=0.3)
"""A version of which three in ten responses fail."""
KILL_AFTER_S = 8.0
KILL_DOWN_S = 4.0
FREEZE_S = 6.0
TERM_MARGIN_S = 5.0
STABLE, GOOD_CANDIDATE, BAD_CANDIDATE = "v1", "v2", "v3"


async def run_demo(injector: DeploymentFaultInjector) -> None:
    """Run the script of the demonstration; a failed step is recorded and the other steps continue."""
    await asyncio.sleep(WARM_UP_S)
    await asyncio.gather(
        run_step(injector, "good rollout", _roll_out_good_version(injector)),
        run_step(injector, "faults", _kill_node_and_test_operators(injector)),
    )
    await asyncio.gather(
        run_step(injector, "bad rollout", _roll_out_bad_version(injector)),
        run_step(injector, "faults", _freeze_controller(injector)),
    )


async def _roll_out_good_version(injector: DeploymentFaultInjector) -> None:
    driver = RolloutDriver(injector)
    await driver.load_version(GOOD_CANDIDATE, GOOD)
    await asyncio.sleep(WARM_UP_S)
    run = await driver.start_rollout(STABLE, GOOD_CANDIDATE, bad=False, by_s=ROLLOUT_BY_S)
    await driver.wait_for_rollout(run, ROLLOUT_BY_S + TERM_MARGIN_S)
    if run.phase == "done":
        await driver.retire_version(STABLE)


async def _kill_node_and_test_operators(injector: DeploymentFaultInjector) -> None:
    operators = OperatorScenarios(injector)
    await asyncio.sleep(WARM_UP_S + KILL_AFTER_S)
    await injector.kill(injector.pick_node(controller=False), KILL_DOWN_S)
    await operators.race()
    await operators.lose_response()
    await operators.revoke_while_streaming()


async def _roll_out_bad_version(injector: DeploymentFaultInjector) -> None:
    driver = RolloutDriver(injector)
    good_version_is_stable = any(run.phase == "done" for run in injector.records.rollouts)
    await driver.abort_unfinished()
    await driver.load_version(BAD_CANDIDATE, BAD_VERSION)
    await asyncio.sleep(WARM_UP_S)
    stable = GOOD_CANDIDATE if good_version_is_stable else STABLE
    run = await driver.start_rollout(stable, BAD_CANDIDATE, bad=True, by_s=ROLLOUT_BY_S)
    await driver.wait_for_rollout(run, ROLLOUT_BY_S + TERM_MARGIN_S)


async def _freeze_controller(injector: DeploymentFaultInjector) -> None:
    await asyncio.sleep(WARM_UP_S)
    await injector.freeze(injector.pick_node(controller=True), FREEZE_S)
