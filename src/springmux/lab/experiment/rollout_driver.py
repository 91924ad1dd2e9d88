"""Rollouts of an experiment: loads a version, promotes it, waits for the end, retires old engines."""

from __future__ import annotations

import asyncio
import time

import msgspec

from springmux.lab.admin.orders import promote, steer_rollout
from springmux.lab.faults.fault_injector import DeploymentFaultInjector
from springmux.lab.plan import BackEndPlan
from springmux.lab.records import RolloutRun
from springmux.rollout.plan import RolloutPlan
from springmux.simulation.engine_model import VersionBehaviour
from springmux.vocabulary.names import ServiceName, VersionName

POLL_S = 0.1


class RolloutDriver:
    """Drives rollouts of the experiment's service in one deployment.

    :param injector: provides the deployment and its records, and excludes engines that retire from faults.
    """

    def __init__(self, injector: DeploymentFaultInjector) -> None:
        self._injector = injector

    async def load_version(self, version: str, behaviour: VersionBehaviour) -> None:
        """Start engines of a candidate, of the same number and size as those of the stable version."""
        plan = self._injector.deployment.plan
        stable = next(group for group in plan.back_ends if group.service == plan.rollout_service)
        group: BackEndPlan = msgspec.structs.replace(stable, version=version)
        self._injector.progress(f"loading {group.count} engines of {group.service} {version}")
        await self._injector.deployment.start_back_ends(group, behaviour)

    async def start_rollout(self, stable: str, candidate: str, bad: bool, by_s: float) -> RolloutRun:
        """Promote a loaded version; return its record, which the watcher updates."""
        service = self._injector.deployment.plan.rollout_service
        response = await self._injector.operators.submit_accepted(promote(service, candidate, by_s))
        defaults = RolloutPlan(service=ServiceName(service), candidate=VersionName(candidate))
        run = RolloutRun(
            service=service,
            stable=stable,
            candidate=candidate,
            bad=bad,
            by_s=by_s,
            allowance=defaults.expose_allowance,
            expose_share=defaults.expose_share,
            began_at_s=response.answered_at_s,
        )
        self._injector.records.rollouts.append(run)
        self._injector.progress(f"promoted {service} {candidate} (to complete within {by_s:g} s)")
        return run

    async def wait_for_rollout(self, run: RolloutRun, within_s: float) -> None:
        """Wait until the rollout has ended, at most ``within_s``."""
        deadline = time.monotonic() + within_s
        while run.ended_at_s == 0.0 and time.monotonic() < deadline:
            await asyncio.sleep(POLL_S)
        duration_s = (run.ended_at_s or time.monotonic()) - run.began_at_s
        self._injector.progress(
            f"rollout of {run.candidate}: {run.phase} after {duration_s:.1f} s; {run.reason}"
        )

    async def abort_unfinished(self) -> None:
        """Abort rollouts that have not ended, so that another one can start."""
        for run in self._injector.records.rollouts:
            if run.ended_at_s == 0.0:
                await self._injector.operators.submit_accepted(steer_rollout(run.service, "abort"))
                run.ended_at_s = time.monotonic()

    async def retire_version(self, version: str) -> None:
        """Drain and deregister all engines of a version at the same time."""
        service = self._injector.deployment.plan.rollout_service
        engines = self._injector.deployment.engines(service, version)
        await asyncio.gather(*(self._injector.retire_engine(engine) for engine in engines))
