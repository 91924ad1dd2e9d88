"""One run of an experiment: deployment, clients, a script of rollouts and faults, and the records."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec

from springmux.lab.admin.operator_client import AdminNode
from springmux.lab.deployment.deployment import Deployment
from springmux.lab.experiment.watcher import Watcher
from springmux.lab.faults.fault_injector import DeploymentFaultInjector
from springmux.lab.load.traffic import Surge
from springmux.lab.plan import load_experiment
from springmux.lab.records import RunRecords

CLIENTS_START_S = 2.0
"""Time for the client process to start and to generate its prefixes."""
CLIENTS_END_S = 45.0
"""Time after the last request: a client's longest timeout (30 s), with a margin."""


class RunOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of a run. ``folder``: for all files of the run. ``seconds``: duration of the traffic."""

    experiment: str
    folder: Path
    seconds: float
    seed: int = 1


Script = Callable[[DeploymentFaultInjector], Awaitable[None]]


async def run_experiment(
    options: RunOptions, script: Script, surges: list[Surge], progress: Callable[[str], None]
) -> RunRecords:
    """Run ``script`` during the traffic and return the records. No process of the run remains.

    :raises ExperimentError: if there is no such experiment.
    :raises DeploymentError: if a process of the run does not start, or fails.
    :raises OrderFailedError: if the fleet rejects an order that must be accepted.
    """
    plan = load_experiment(options.experiment)
    _cancel_on_sigterm()
    async with Deployment(plan, options.folder, options.seed) as deployment:
        await deployment.start_all(progress)
        records = deployment.records
        nodes = [AdminNode(node.node, node.admin_address) for node in deployment.nodes]
        watcher = Watcher(deployment.operators, nodes, records)
        await watcher.start()
        try:
            records.began_at_s = time.monotonic() + CLIENTS_START_S
            deployment.start_clients(options.seconds, records.began_at_s, surges, options.experiment)
            injector = DeploymentFaultInjector(deployment, random.Random(options.seed), progress)
            await asyncio.sleep(CLIENTS_START_S)
            progress(f"traffic for {options.seconds:.0f} s")
            await script(injector)
            progress("waiting for the last responses")
            remaining_s = max(0.0, records.began_at_s + options.seconds - time.monotonic())
            await deployment.wait_for_clients(remaining_s + CLIENTS_END_S)
        finally:
            await watcher.stop()
        records.ended_at_s = time.monotonic()
        return deployment.collect()


def _cancel_on_sigterm() -> None:
    """Cancel the run on SIGTERM, as on Ctrl-C, so that the deployment ends its processes."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
