"""The script of ``springmux lab run``: faults in their slots beside one rollout after another."""

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
"""Bad at once, late, only under load, and slow; a fault of the plan's first route alone is added."""


class ScheduledFault(msgspec.Struct, frozen=True):
    """A fault and when its slot begins, in seconds of the run."""

    at_s: float
    scenario: FaultScenario


def schedule(scenarios: Sequence[FaultScenario]) -> list[ScheduledFault]:
    """Give each scenario its slot, one after another."""
    slots = []
    at_s = WARM_UP_S
    for scenario in scenarios:
        slots.append(ScheduledFault(at_s, scenario))
        at_s += scenario.duration_s
    return slots


def needed_seconds(slots: Sequence[ScheduledFault], plan: ExperimentPlan) -> float:
    """Return a length of traffic that has room for all slots, a good and a bad rollout."""
    faults_s = slots[-1].at_s + slots[-1].scenario.duration_s if slots else 0.0
    rollouts_s = WARM_UP_S + 2 * (plan.rollout_by_s + TERM_MARGIN_S) + 2 * SETTLE_S
    return max(SHORTEST_RUN_S, faults_s, rollouts_s)


def surges(slots: Sequence[ScheduledFault], plan: ExperimentPlan) -> list[Surge]:
    """Return the extra traffic of the slots."""
    return [slot.scenario.surge(plan, slot.at_s) for slot in slots if slot.scenario.surge is not None]


class RunScript:
    """Plays fault slots and rollouts for ``seconds``; a step that fails is recorded and the run continues."""

    def __init__(self, slots: Sequence[ScheduledFault], seconds: float) -> None:
        self._slots = slots
        self._seconds = seconds

    async def play(self, injector: DeploymentFaultInjector) -> None:
        """Play everything."""
        await asyncio.gather(self._play_faults(injector), self._play_rollouts(injector))

    async def _play_faults(self, injector: DeploymentFaultInjector) -> None:
        for slot in self._slots:
            injector.slot_began_at_s = injector.records.began_at_s + slot.at_s
            await asyncio.sleep(max(0.0, injector.slot_began_at_s - time.monotonic()))
            await run_step(injector, slot.scenario.name, slot.scenario.run(injector))

    async def _play_rollouts(self, injector: DeploymentFaultInjector) -> None:
        await asyncio.sleep(WARM_UP_S)
        await run_step(injector, "rollouts", self._roll_out_in_turn(injector))

    async def _roll_out_in_turn(self, injector: DeploymentFaultInjector) -> None:
        rollouts = RolloutDriver(injector)
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
            await rollouts.load_version(candidate, behaviour)
            await asyncio.sleep(SETTLE_S)
            run = await rollouts.start_rollout(stable, candidate, bad=behaviour is not GOOD, by_s=by_s)
            await rollouts.wait_for_rollout(run, by_s + TERM_MARGIN_S)
            if run.phase == "done":
                stable, candidate = candidate, stable
            await rollouts.abort_unfinished()
            await rollouts.retire_version(candidate)


async def run_step(injector: DeploymentFaultInjector, what: str, step: Awaitable[None]) -> None:
    """Run one step of the script; record an expected error as its failure."""
    try:
        await step
    except (SpringmuxError, aiohttp.ClientError, TimeoutError) as error:
        reason = str(error) or type(error).__name__
        injector.records.script_failures.append(ScriptFailure(time.monotonic(), what, reason))
        injector.progress(f"trouble in {what}: {reason}")
