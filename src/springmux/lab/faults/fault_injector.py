"""Injection of faults into the processes, disks and back ends of a running deployment, and their records."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable, Iterator

import aiohttp
import msgspec

from springmux.fleet.layout import NodeLayout
from springmux.lab.admin.operator_client import AdminNode
from springmux.lab.deployment.deployment import Deployment
from springmux.lab.records import DrainRecord, FaultEvent, RunRecords
from springmux.lab.stand_ins.host import BackEndAction, BackEndCommand
from springmux.node.admin.fault_endpoint import FAULTS_PATH
from springmux.node.fault_injection import NodeFaults

RESTART_READY_TIMEOUT_S = 30.0
"""Time within which a restarted node must be ready; otherwise the scenario fails."""
DRAIN_WAIT_S = 3.0
"""Time from the acknowledgement of a drain to the engine's leave.

Slightly longer than the 2 s in which new requests may still arrive.
"""
DRAIN_GRACE_S = 8.0
"""Time for running streams to finish: more than the longest of the experiments (180 chunks of 22 ms)."""
INJECTION_TIMEOUT_S = 3.0
POLL_S = 0.1


class DeploymentFaultInjector:
    """Injects faults into one deployment.

    :param source: chooses the targets; the same seed chooses the same ones.
    :param progress: receives human-readable progress lines.
    """

    def __init__(
        self, deployment: Deployment, source: random.Random, progress: Callable[[str], None]
    ) -> None:
        self.deployment = deployment
        self.records: RunRecords = deployment.records
        self.operators = deployment.operators
        self.random = source
        self.progress = progress
        self.slot_began_at_s = 0.0
        """Monotonic time at which the slot of the current fault begins by the plan, as does its surge."""
        self._supervisor = deployment.supervisor
        self._reserved_engines: set[str] = set()

    def record_fault(self, fault: str, target: str, began: bool, detail: str = "") -> None:
        """Record the beginning or end of a fault."""
        event = FaultEvent(at_s=time.monotonic(), fault=fault, target=target, began=began, detail=detail)
        self.records.faults.append(event)
        self.progress(f"{'begin' if began else 'end'} {fault} {target} {detail}".rstrip())

    def pick_node(self, controller: bool) -> NodeLayout:
        """Return a random running node that is a controller, or one that is not."""
        return self.random.choice(
            [
                node
                for node in self.deployment.nodes
                if node.controller == controller and self._supervisor.running(node.node)
            ]
        )

    def pick_engine(self, kind: str) -> str:
        """Return a random back end of the kind that no other step of the script has reserved."""
        names = [name for name, back_end in self.deployment.back_ends.items() if back_end.plan.kind == kind]
        return self.random.choice(sorted(set(names) - self._reserved_engines))

    def unreserved_engines(self) -> list[str]:
        """Return the engines of the rollout's service that no other step of the script has reserved."""
        service = self.deployment.plan.rollout_service
        names = [
            name for name, back_end in self.deployment.back_ends.items() if back_end.plan.service == service
        ]
        return sorted(set(names) - self._reserved_engines)

    async def find_leader(self) -> NodeLayout:
        """Return the leading controller, or a random running one if none reports that it leads."""
        for node in self.deployment.nodes:
            if node.controller:
                state = await self.operators.status(AdminNode(node.node, node.admin_address))
                if state is not None and state.node.leading:
                    return node
        return self.pick_node(controller=True)

    async def kill(self, node: NodeLayout, down_s: float) -> None:
        """Kill a node (SIGKILL), start it again after ``down_s`` and wait until it is ready."""
        self.record_fault("kill", node.node, began=True)
        await asyncio.to_thread(self._supervisor.kill, node.node)
        await asyncio.sleep(down_s)
        await self.start(node)
        self.record_fault("kill", node.node, began=False)

    async def freeze(self, node: NodeLayout, for_s: float) -> None:
        """Freeze a node's process for ``for_s``, then thaw it."""
        self.record_fault("freeze", node.node, began=True)
        self._supervisor.freeze(node.node)
        try:
            await asyncio.sleep(for_s)
        finally:
            self._supervisor.thaw(node.node)
        self.record_fault("freeze", node.node, began=False)

    async def restart(self, node: NodeLayout) -> None:
        """Stop a node gracefully and start it again."""
        self.record_fault("restart", node.node, began=True)
        await asyncio.to_thread(self._supervisor.stop, node.node)
        await self.start(node)
        self.record_fault("restart", node.node, began=False)

    async def wipe(self, node: NodeLayout, new_addresses: bool) -> None:
        """Kill a controller and restart it with an empty disk, at other addresses if asked."""
        fault = "back_empty_elsewhere" if new_addresses else "wipe_disk"
        self.record_fault(fault, node.node, began=True)
        await asyncio.to_thread(self._supervisor.kill, node.node)
        self._supervisor.wipe(node.node)
        if new_addresses:
            self.deployment.move_node(node)
        await self.start(node)
        self.record_fault(fault, node.node, began=False)

    async def start(self, node: NodeLayout) -> None:
        """Start a node and wait until it is ready."""
        await asyncio.to_thread(self._supervisor.start, node.node)
        await self.deployment.wait_ready([node.node], RESTART_READY_TIMEOUT_S)

    async def inject(self, node: NodeLayout, fault: str, faults: NodeFaults, for_s: float) -> None:
        """Activate faults inside the node's daemon for ``for_s``."""
        self.record_fault(fault, node.node, began=True)
        await self._post_faults(node, faults)
        try:
            await asyncio.sleep(for_s)
        finally:
            await self._post_faults(node, NodeFaults())
        self.record_fault(fault, node.node, began=False)

    async def _post_faults(self, node: NodeLayout, faults: NodeFaults) -> None:
        timeout = aiohttp.ClientTimeout(total=INJECTION_TIMEOUT_S)
        url = f"http://{node.admin_address}{FAULTS_PATH}"
        data = msgspec.json.encode(faults)
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.post(url, data=data) as response,
        ):
            response.raise_for_status()

    async def crash_engine(self, engine: str, down_s: float) -> None:
        """Crash a back end; restart it with an empty cache after ``down_s``."""
        with self._reserved(engine):
            self.record_fault("engine_crash", engine, began=True)
            await self._send_command(BackEndAction.CRASH, engine)
            await asyncio.sleep(down_s)
            await self.start_engine(engine)
            self.record_fault("engine_crash", engine, began=False)

    async def start_engine(self, engine: str) -> None:
        """Restart a back end with an empty cache."""
        back_end = self.deployment.back_ends[engine]
        command = BackEndCommand(action=BackEndAction.START, engine=engine, back_end=back_end)
        await self.deployment.command_back_end(command)

    async def hang_engine(self, engine: str, for_s: float) -> None:
        """Make a back end accept connections but not respond for ``for_s``."""
        with self._reserved(engine):
            self.record_fault("engine_dark", engine, began=True)
            await self._send_command(BackEndAction.HANG, engine)
            try:
                await asyncio.sleep(for_s)
            finally:
                await self._send_command(BackEndAction.RESUME, engine)
            self.record_fault("engine_dark", engine, began=False)

    async def replace_engine(self, engine: str) -> None:
        """Drain a back end, then restart it with an empty cache."""
        with self._reserved(engine):
            await self._drain(engine)
            await self.start_engine(engine)

    async def _drain(self, engine: str) -> None:
        """Drain a back end, let its running streams finish, then deregister and stop it."""
        self.record_fault("engine_drain", engine, began=True)
        await self._send_command(BackEndAction.DRAIN, engine)
        acknowledged_at_s = time.monotonic()
        # New requests may still arrive in this time, as at a real engine; later ones appear in the records.
        await asyncio.sleep(DRAIN_WAIT_S)
        command = BackEndCommand(action=BackEndAction.LEAVE, engine=engine, grace_s=DRAIN_GRACE_S)
        await self.deployment.command_back_end(command)
        self.records.drains.append(DrainRecord(engine, acknowledged_at_s, time.monotonic()))
        self.record_fault("engine_drain", engine, began=False)

    @contextlib.contextmanager
    def _reserved(self, engine: str) -> Iterator[None]:
        """Reserve a back end for one step of the script, so that no other step chooses it."""
        self._reserved_engines.add(engine)
        try:
            yield
        finally:
            self._reserved_engines.discard(engine)

    async def _send_command(self, action: BackEndAction, engine: str) -> None:
        await self.deployment.command_back_end(BackEndCommand(action=action, engine=engine))

    async def retire_engine(self, engine: str) -> None:
        """Drain a back end without restarting it, once no other step of the script has reserved it."""
        while engine in self._reserved_engines:
            await asyncio.sleep(POLL_S)
        with self._reserved(engine):
            await self._drain(engine)
            del self.deployment.back_ends[engine]
