"""Periodic samples of the status of every node and of every rollout during an experiment."""

from __future__ import annotations

import asyncio
import contextlib
import time

from springmux.lab.admin.operator_client import AdminNode, OperatorClient
from springmux.lab.records import RolloutRun, RunRecords, StatusSample

SAMPLE_PERIOD_S = 0.25
"""An eighth of the 2 s within which a change must be in force; a dozen nodes cost 48 small reads a second."""
TERMINAL_PHASES = frozenset({"done", "aborted"})


class Watcher:
    """Adds samples of nodes to ``records.samples`` and updates unfinished ``records.rollouts``."""

    def __init__(self, operators: OperatorClient, nodes: list[AdminNode], records: RunRecords) -> None:
        self._operators = operators
        self._nodes = nodes
        self._records = records
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start sampling with one task per node, so that a frozen node does not delay other samples."""
        self._tasks = [asyncio.create_task(self._watch_node(node)) for node in self._nodes]
        self._tasks.append(asyncio.create_task(self._watch_rollouts()))

    async def stop(self) -> None:
        """Cancel the tasks and wait for their end."""
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task

    async def _watch_node(self, node: AdminNode) -> None:
        while True:
            requested_at_s = time.monotonic()
            response = await self._operators.status(node)
            now = time.monotonic()
            if response is None:
                sample = StatusSample(requested_at_s, now, node.node, answered=False)
            else:
                sample = StatusSample(
                    requested_at_s,
                    now,
                    node.node,
                    answered=True,
                    ready=response.ready,
                    revision=response.node.revision,
                    configuration_version=response.node.configuration_version,
                    reason=response.reason,
                )
            self._records.samples.append(sample)
            await asyncio.sleep(max(0.0, requested_at_s + SAMPLE_PERIOD_S - time.monotonic()))

    async def _watch_rollouts(self) -> None:
        while True:
            for run in self._records.rollouts:
                if run.ended_at_s == 0.0:
                    await self._update_run(run)
            await asyncio.sleep(SAMPLE_PERIOD_S)

    async def _update_run(self, run: RolloutRun) -> None:
        state = await self._operators.rollout(run.service)
        if state is None or state.candidate != run.candidate:
            return
        run.phase = state.phase
        if state.decision is not None:
            run.reason = f"{state.decision.decided_by}: {state.decision.reason}"
        if state.phase in TERMINAL_PHASES:
            run.ended_at_s = time.monotonic()
