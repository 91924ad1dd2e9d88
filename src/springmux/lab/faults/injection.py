"""What faults and operators of an experiment can do to a running deployment, each action recorded."""

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
from springmux.lab.admin.orders import promote, steer_rollout
from springmux.lab.deployment.deployment import Deployment
from springmux.lab.plan import BackEndPlan
from springmux.lab.records import DrainRecord, FaultEvent, RolloutRun, RunRecords
from springmux.lab.stand_ins.host import BackEndAction, BackEndOrder
from springmux.node.admin.fault_endpoint import FAULTS_PATH
from springmux.node.fault_injection import NodeFaults
from springmux.rollout.plan import RolloutPlan
from springmux.simulation.engine_model import VersionBehaviour
from springmux.vocabulary.names import ServiceName, VersionName

READY_AGAIN_S = 30.0
"""A restarted node is given so long before the experiment goes on without it."""
DRAIN_STAY_S = 3.0
"""A little over the 2 s in which new requests may still come."""
DRAIN_GRACE_S = 8.0
"""Longer than the longest stream of the experiments (180 pieces of 22 ms)."""
INJECTION_TIMEOUT_S = 3.0
POLL_S = 0.1


class FaultBench:
    """Actions on one deployment. ``source`` picks victims; the same seed picks the same ones.

    :param progress: takes a line for people.
    """

    def __init__(
        self, deployment: Deployment, source: random.Random, progress: Callable[[str], None]
    ) -> None:
        self.deployment = deployment
        self.records: RunRecords = deployment.records
        self.operators = deployment.operators
        self.random = source
        self.progress = progress
        self.slot_from_s = 0.0
        """When the slot of the fault now played began by the plan; surges of traffic keep to it."""
        self._supervisor = deployment.supervisor
        self._busy: set[str] = set()

    def note(self, fault: str, target: str, began: bool, detail: str = "") -> None:
        """Record a fault's beginning or end."""
        event = FaultEvent(at_s=time.monotonic(), fault=fault, target=target, began=began, detail=detail)
        self.records.faults.append(event)
        self.progress(f"{'begin' if began else 'end'} {fault} {target} {detail}".rstrip())

    def pick_node(self, controller: bool) -> NodeLayout:
        """Return a running node that is, or is not, a controller."""
        return self.random.choice(
            [
                node
                for node in self.deployment.nodes
                if node.controller == controller and self._supervisor.running(node.node)
            ]
        )

    def pick_engine(self, kind: str) -> str:
        """Return a back end of the kind that nothing is being done to."""
        names = [name for name, found in self.deployment.back_ends.items() if found.plan.kind == kind]
        return self.random.choice(sorted(set(names) - self._busy))

    def present_engines(self) -> list[str]:
        """Return the engines of the rollout's service that nothing is being done to."""
        service = self.deployment.plan.rollout_service
        names = [name for name, found in self.deployment.back_ends.items() if found.plan.service == service]
        return sorted(set(names) - self._busy)

    async def find_leader(self) -> NodeLayout:
        """Return the leading controller, or any controller while there is none."""
        for node in self.deployment.nodes:
            if node.controller:
                state = await self.operators.status(AdminNode(node.node, node.admin_address))
                if state is not None and state.node.leading:
                    return node
        return self.pick_node(controller=True)

    async def kill(self, node: NodeLayout, down_s: float) -> None:
        """End a node without warning, start it again after ``down_s`` and wait until it is ready."""
        self.note("kill", node.node, began=True)
        await asyncio.to_thread(self._supervisor.kill, node.node)
        await asyncio.sleep(down_s)
        await self.start(node)
        self.note("kill", node.node, began=False)

    async def freeze(self, node: NodeLayout, for_s: float) -> None:
        """Stop a node's process for ``for_s``."""
        self.note("freeze", node.node, began=True)
        self._supervisor.freeze(node.node)
        try:
            await asyncio.sleep(for_s)
        finally:
            self._supervisor.thaw(node.node)
        self.note("freeze", node.node, began=False)

    async def restart(self, node: NodeLayout) -> None:
        """Stop a node in order and start it again."""
        self.note("restart", node.node, began=True)
        await asyncio.to_thread(self._supervisor.stop, node.node)
        await self.start(node)
        self.note("restart", node.node, began=False)

    async def wipe(self, node: NodeLayout, new_addresses: bool) -> None:
        """Kill a controller and bring it back with an empty disk, perhaps at other addresses."""
        fault = "back_empty_elsewhere" if new_addresses else "wipe_disk"
        self.note(fault, node.node, began=True)
        await asyncio.to_thread(self._supervisor.kill, node.node)
        self._supervisor.wipe(node.node)
        if new_addresses:
            self.deployment.move(node)
        await self.start(node)
        self.note(fault, node.node, began=False)

    async def start(self, node: NodeLayout) -> None:
        """Start a node and wait until it takes requests."""
        await asyncio.to_thread(self._supervisor.start, node.node)
        await self.deployment.wait_ready([node.node], READY_AGAIN_S)

    async def inject(self, node: NodeLayout, fault: str, faults: NodeFaults, for_s: float) -> None:
        """Put the node's own faults in force for ``for_s`` (fault injection in the daemon)."""
        self.note(fault, node.node, began=True)
        await self._post_faults(node, faults)
        try:
            await asyncio.sleep(for_s)
        finally:
            await self._post_faults(node, NodeFaults())
        self.note(fault, node.node, began=False)

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
        """Have a back end vanish, and come back cold after ``down_s``."""
        with self._occupied(engine):
            self.note("engine_crash", engine, began=True)
            await self._order(BackEndAction.CRASH, engine)
            await asyncio.sleep(down_s)
            await self.start_engine(engine)
            self.note("engine_crash", engine, began=False)

    async def start_engine(self, engine: str) -> None:
        """Start a back end again, with an empty cache."""
        back_end = self.deployment.back_ends[engine]
        order = BackEndOrder(action=BackEndAction.START, engine=engine, back_end=back_end)
        await self.deployment.order_back_end(order)

    async def darken_engine(self, engine: str, for_s: float) -> None:
        """Have a back end accept connections and answer nothing for ``for_s``."""
        with self._occupied(engine):
            self.note("engine_dark", engine, began=True)
            await self._order(BackEndAction.DARK, engine)
            try:
                await asyncio.sleep(for_s)
            finally:
                await self._order(BackEndAction.LIGHT, engine)
            self.note("engine_dark", engine, began=False)

    async def replace_engine(self, engine: str) -> None:
        """Drain a back end in order and start it again, cold."""
        with self._occupied(engine):
            await self._drain(engine)
            await self.start_engine(engine)

    async def _drain(self, engine: str) -> None:
        """Drain a back end, let its streams finish, have it leave."""
        self.note("engine_drain", engine, began=True)
        await self._order(BackEndAction.DRAIN, engine)
        told_at_s = time.monotonic()
        # New requests may come for so long; a real engine stays as long, and the record shows later ones.
        await asyncio.sleep(DRAIN_STAY_S)
        order = BackEndOrder(action=BackEndAction.LEAVE, engine=engine, grace_s=DRAIN_GRACE_S)
        await self.deployment.order_back_end(order)
        self.records.drains.append(DrainRecord(engine, told_at_s, time.monotonic()))
        self.note("engine_drain", engine, began=False)

    @contextlib.contextmanager
    def _occupied(self, engine: str) -> Iterator[None]:
        """Keep other parts of the script away from a back end."""
        self._busy.add(engine)
        try:
            yield
        finally:
            self._busy.discard(engine)

    async def _order(self, action: BackEndAction, engine: str) -> None:
        await self.deployment.order_back_end(BackEndOrder(action=action, engine=engine))

    async def load_version(self, version: str, behaviour: VersionBehaviour) -> None:
        """Start a candidate version's engines beside those of the stable one, as many and as large."""
        plan = self.deployment.plan
        stable = next(group for group in plan.back_ends if group.service == plan.rollout_service)
        group: BackEndPlan = msgspec.structs.replace(stable, version=version)
        self.progress(f"loading {group.count} engines of {group.service} {version}")
        await self.deployment.start_back_ends(group, behaviour)

    async def roll_out(self, stable: str, candidate: str, bad: bool, by_s: float) -> RolloutRun:
        """Promote a loaded version; returns the record that the watcher keeps up to date."""
        service = self.deployment.plan.rollout_service
        answer = await self.operators.give_accepted(promote(service, candidate, by_s))
        defaults = RolloutPlan(service=ServiceName(service), candidate=VersionName(candidate))
        run = RolloutRun(
            service=service,
            stable=stable,
            candidate=candidate,
            bad=bad,
            by_s=by_s,
            allowance=defaults.expose_allowance,
            expose_share=defaults.expose_share,
            began_at_s=answer.answered_at_s,
        )
        self.records.rollouts.append(run)
        self.progress(f"promoted {service} {candidate} (by {by_s:g} s)")
        return run

    async def wait_rollout(self, run: RolloutRun, within_s: float) -> None:
        """Return when the rollout has ended, or after ``within_s``."""
        deadline = time.monotonic() + within_s
        while run.ended_at_s == 0.0 and time.monotonic() < deadline:
            await asyncio.sleep(POLL_S)
        took_s = (run.ended_at_s or time.monotonic()) - run.began_at_s
        self.progress(f"rollout of {run.candidate}: {run.phase} after {took_s:.1f} s; {run.reason}")

    async def abort_unfinished(self) -> None:
        """Abort a rollout that did not end by itself, so that another can begin."""
        for run in self.records.rollouts:
            if run.ended_at_s == 0.0:
                await self.operators.give_accepted(steer_rollout(run.service, "abort"))
                run.ended_at_s = time.monotonic()

    async def retire_version(self, version: str) -> None:
        """Have the engines of a version that is no more needed drain and leave, all at once."""
        service = self.deployment.plan.rollout_service
        engines = self.deployment.engines(service, version)
        await asyncio.gather(*(self._retire(engine) for engine in engines))

    async def _retire(self, engine: str) -> None:
        while engine in self._busy:
            await asyncio.sleep(POLL_S)
        with self._occupied(engine):
            await self._drain(engine)
            del self.deployment.back_ends[engine]
