"""The script of ``springmux lab run``: runs scheduled faults and, concurrently, consecutive rollouts."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Sequence

import aiohttp
import msgspec

from springmux.lab.experiment.rollout_driver import RolloutDriver
from springmux.lab.faults.catalogue import FaultScenario
from springmux.lab.faults.fault_injector import DeploymentFaultInjector
from springmux.lab.load.traffic import Surge
from springmux.lab.plan import ExperimentPlan
from springmux.lab.records import ScriptFailure
from springmux.simulation.engine_model import GOOD, VersionBehaviour
from springmux.vocabulary.errors import SpringmuxError

WARM_UP_S = 10.0
SETTLE_S = 5.0
TERM_MARGIN_S = 10.0
SHORTEST_RUN_S = 60.0
BAD_BEHAVIOURS = (
    VersionBehaviour(error_share=0.3),
    VersionBehaviour(error_share=0.3, after_s=10.0),
    VersionBehaviour(cut_share=0.3, above_running=2),
    VersionBehaviour(gap_factor=4.0),
)
"""Behaviours of bad versions: errors from the start, errors after 10 s, cut responses only under load, and
slow tokens. The script adds errors that occur only on the plan's first route."""


class ScheduledFault(msgspec.Struct, frozen=True):
    """A fault and the time at which its slot begins, in seconds from the beginning of the run."""

    at_s: float
    scenario: FaultScenario


def schedule_faults(scenarios: Sequence[FaultScenario]) -> list[ScheduledFault]:
    """Return consecutive slots for the scenarios, the first after the warm-up."""
    slots = []
    at_s = WARM_UP_S
    for scenario in scenarios:
        slots.append(ScheduledFault(at_s, scenario))
        at_s += scenario.duration_s
    return slots


def needed_traffic_s(slots: Sequence[ScheduledFault], plan: ExperimentPlan) -> float:
    """Return the duration of traffic that all slots, a good and a bad rollout need, in seconds."""
    faults_s = slots[-1].at_s + slots[-1].scenario.duration_s if slots else 0.0
    rollouts_s = WARM_UP_S + 2 * (plan.rollout_by_s + TERM_MARGIN_S) + 2 * SETTLE_S
    return max(SHORTEST_RUN_S, faults_s, rollouts_s)


def scheduled_surges(slots: Sequence[ScheduledFault], plan: ExperimentPlan) -> list[Surge]:
    """Return the additional traffic of the slots' faults."""
    return [slot.scenario.surge(plan, slot.at_s) for slot in slots if slot.scenario.surge is not None]


class RunScript:
    """Runs scheduled faults and rollouts for ``seconds``; a failed step is recorded and the run continues."""

    def __init__(self, slots: Sequence[ScheduledFault], seconds: float) -> None:
        self._slots = slots
        self._seconds = seconds

    async def play(self, injector: DeploymentFaultInjector) -> None:
        """Run the faults and the rollouts concurrently until both are complete."""
        await asyncio.gather(self._run_faults(injector), self._run_rollouts(injector))

    async def _run_faults(self, injector: DeploymentFaultInjector) -> None:
        for slot in self._slots:
            injector.slot_began_at_s = injector.records.began_at_s + slot.at_s
            await asyncio.sleep(max(0.0, injector.slot_began_at_s - time.monotonic()))
            await run_step(injector, slot.scenario.name, slot.scenario.run(injector))

    async def _run_rollouts(self, injector: DeploymentFaultInjector) -> None:
        await asyncio.sleep(WARM_UP_S)
        await run_step(injector, "rollouts", self._run_consecutive_rollouts(injector))

    async def _run_consecutive_rollouts(self, injector: DeploymentFaultInjector) -> None:
        driver = RolloutDriver(injector)
        plan = injector.deployment.plan
        by_s = plan.rollout_by_s
        route_fault = VersionBehaviour(error_share=0.5, route=plan.traffic[0].route)
        behaviours = [GOOD, *BAD_BEHAVIOURS, route_fault]
        end_s = injector.records.began_at_s + self._seconds
        stable = next(group.version for group in plan.back_ends if group.service == plan.rollout_service)
        for number, behaviour in enumerate(behaviours):
            if time.monotonic() + by_s + SETTLE_S > end_s:
                return
            candidate = f"v{number + 2}"
            await driver.load_version(candidate, behaviour)
            await asyncio.sleep(SETTLE_S)
            run = await driver.start_rollout(stable, candidate, bad=behaviour is not GOOD, by_s=by_s)
            await driver.wait_for_rollout(run, by_s + TERM_MARGIN_S)
            if run.phase == "done":
                stable, candidate = candidate, stable
            await driver.abort_unfinished()
            await driver.retire_version(candidate)


async def run_step(injector: DeploymentFaultInjector, step_name: str, step: Awaitable[None]) -> None:
    """Run one step of the script; record an expected error as a failure of the step."""
    try:
        await step
    except (SpringmuxError, aiohttp.ClientError, TimeoutError) as error:
        reason = str(error) or type(error).__name__
        injector.records.script_failures.append(ScriptFailure(time.monotonic(), step_name, reason))
        injector.progress(f"step {step_name} failed: {reason}")
