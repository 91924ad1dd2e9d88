"""Fleet, back ends and clients of one experiment as processes on loopback."""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import Callable
from pathlib import Path
from types import TracebackType

import aiohttp
import msgspec

from springmux.fleet.layout import (
    LOOPBACK,
    SEED_COUNT,
    FleetOptions,
    NodeLayout,
    NodeSpec,
    create_layout,
    free_ports,
    write_settings,
)
from springmux.fleet.supervisor import Supervisor
from springmux.lab.admin.operator_client import AdminNode, OperatorClient
from springmux.lab.admin.orders import put_configuration, put_key, put_tenant
from springmux.lab.deployment.child_processes import ChildProcesses
from springmux.lab.load.clients import LoadSettings
from springmux.lab.load.target_node import TargetNode
from springmux.lab.load.traffic import Surge
from springmux.lab.plan import BackEndPlan, ExperimentPlan
from springmux.lab.records import (
    OrderRecord,
    RunRecords,
    TenantQuota,
    back_end_events,
    call_records,
)
from springmux.lab.stand_ins.host import (
    BackEndAction,
    BackEndCommand,
    BackEndHostAddress,
    HostedBackEnd,
    HostSettings,
)
from springmux.simulation.engine_model import GOOD, VersionBehaviour
from springmux.vocabulary.errors import SpringmuxError

READY_TIMEOUT_S = 60.0
"""Allows for a dozen processes that start at the same time on a busy machine."""
POLL_S = 0.1
CONTROL_TIMEOUT_S = 15.0
KEY_BYTES = 24
VOTERS = 3
"""Default number of voters of the control group; further nodes with a data folder are learners."""


class DeploymentError(SpringmuxError):
    """Processes of the experiment failed to start, to respond or to finish; the message names them."""


HOST_COUNTS = {"model": 3, "call": 1}
"""Number of host processes by kind of back end; bursts of prompts need more than one interpreter."""
HOST_SEED_STEP = 1_000_003
"""Difference between the seeds of consecutive hosts; keeps them distinct for any seed of the run."""


class Deployment:
    """The processes of one experiment, with their files under one folder; an asynchronous context manager.

    Leaving the context ends every process, also after an exception or a cancellation.
    """

    def __init__(self, plan: ExperimentPlan, folder: Path, seed: int) -> None:
        self.plan = plan
        self.folder = folder
        self.seed = seed
        self.records = RunRecords(experiment=plan.name, began_at_s=0.0, ended_at_s=0.0)
        self.records.prompt_services = tuple(
            sorted({back_end.service for back_end in plan.back_ends if back_end.kind == "model"})
        )
        self.records.tenants = [
            TenantQuota(tenant.name, tenant.tokens_per_s, tenant.burst_tokens) for tenant in plan.tenants
        ]
        self.keys = {tenant.name: secrets.token_urlsafe(KEY_BYTES) for tenant in plan.tenants}
        placements = [
            NodeSpec(node=name, zone=zone.name, controller=controller)
            for name, zone, controller in plan.node_names()
        ]
        controllers = sum(placement.controller for placement in placements)
        self._options = FleetOptions(
            fleet=plan.name, controllers_expected=min(VOTERS, controllers), fault_injection=True
        )
        self.supervisor = Supervisor(create_layout(folder, placements, self._options))
        self.operators: OperatorClient
        self.back_ends: dict[str, HostedBackEnd] = {}
        self._session: aiohttp.ClientSession
        self._children = ChildProcesses(folder)
        self._hosts: dict[str, BackEndHostAddress] = {}
        self._host_of: dict[str, str] = {}

    @property
    def nodes(self) -> list[NodeLayout]:
        """Return the nodes' layouts."""
        return self.supervisor.layout.nodes

    async def __aenter__(self) -> Deployment:
        self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_S))
        admin_nodes = [AdminNode(node.node, node.admin_address) for node in self.nodes]
        self.operators = OperatorClient(admin_nodes, self._record_order)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        # The blocking calls are intended: no cancellation can interrupt the shutdown of the processes.
        try:
            self._children.stop_all()
        finally:
            self.supervisor.stop_all()
        await self.operators.close()
        await self._session.close()

    async def start_all(self, progress: Callable[[str], None]) -> None:
        """Start nodes and back ends, apply configuration, tenants and keys, and wait until all are ready.

        :raises DeploymentError: if a process is not ready in time.
        :raises OrderFailedError: if the fleet rejects the configuration, a tenant or a key.
        """
        progress(f"starting {len(self.nodes)} nodes")
        await asyncio.to_thread(self.supervisor.start_all)
        await self.wait_ready([node.node for node in self.nodes])
        progress("applying configuration, tenants and keys")
        await self._configure()
        progress("starting back ends")
        self._start_hosts()
        await self._wait_for_engines(len(self.back_ends))

    async def wait_ready(self, names: list[str], within_s: float = READY_TIMEOUT_S) -> None:
        """Wait until every named node is ready.

        :raises DeploymentError: naming the nodes that are not ready in time or have exited.
        """
        waiting = [AdminNode(node.node, node.admin_address) for node in self.nodes if node.node in names]
        deadline = time.monotonic() + within_s
        while waiting:
            readiness = await asyncio.gather(*(self.operators.ready(node) for node in waiting))
            waiting = [node for node, ready in zip(waiting, readiness, strict=True) if not ready]
            if waiting and time.monotonic() > deadline:
                unready = ", ".join(node.node for node in waiting)
                raise DeploymentError(f"not ready within {within_s:.0f} s: {unready}; logs in {self.folder}")
            exited = [node.node for node in waiting if not self.supervisor.running(node.node)]
            if exited:
                raise DeploymentError(
                    f"exited during startup: {', '.join(exited)}; logs in {self.folder}/logs"
                )
            await asyncio.sleep(POLL_S)

    async def start_back_ends(
        self, plan: BackEndPlan, behaviour: VersionBehaviour = GOOD
    ) -> list[HostedBackEnd]:
        """Start another group of back ends, for instance of a candidate version."""
        started = self._assign_hosts(plan, behaviour)
        for back_end in started:
            await self.command_back_end(
                BackEndCommand(action=BackEndAction.START, engine=back_end.engine, back_end=back_end)
            )
        return started

    async def command_back_end(self, order: BackEndCommand) -> None:
        """Send a command to the host of the back end that it names.

        :raises DeploymentError: if the host rejects it or does not respond.
        """
        host = self._hosts[self._host_of[order.engine]]
        url = f"http://{host.control_address}/control"
        try:
            async with self._session.post(url, data=msgspec.json.encode(order)) as response:
                if response.status != 204:
                    raise DeploymentError(f"{order.action} {order.engine}: {await response.text()}")
        except (aiohttp.ClientError, TimeoutError) as error:
            raise DeploymentError(f"{order.action} {order.engine}: {type(error).__name__}") from error

    def engines(self, service: str, version: str) -> list[str]:
        """Return the names of the back ends that were started for a version."""
        return [
            name
            for name, back_end in self.back_ends.items()
            if back_end.plan.service == service and back_end.plan.version == version
        ]

    def start_clients(self, seconds: float, began_at_s: float, surges: list[Surge], experiment: str) -> None:
        """Start the client process; it exits when every request has ended."""
        settings = LoadSettings(
            experiment=experiment,
            targets=[
                TargetNode(
                    node=node.node,
                    zone=node.zone,
                    client_address=node.client_address,
                    admin_address=node.admin_address,
                )
                for node in self.nodes
            ],
            keys=self.keys,
            seed=self.seed,
            seconds=seconds,
            began_at_s=began_at_s,
            record_file=str(self.folder / "callers.jsonl"),
            surges=surges,
        )
        self._children.start("callers", "callers", msgspec.json.encode(settings))

    async def wait_for_clients(self, within_s: float) -> None:
        """Wait until the client process has exited.

        :raises DeploymentError: if it does not exit in time, or fails.
        """
        deadline = time.monotonic() + within_s
        while self._children.running("callers"):
            if time.monotonic() > deadline:
                raise DeploymentError(f"the load clients did not exit within {within_s:.0f} s")
            await asyncio.sleep(POLL_S)
        if self._children.exit_code("callers") != 0:
            raise DeploymentError(f"the load clients failed; see {self.folder / 'logs' / 'callers.log'}")

    def collect(self) -> RunRecords:
        """Stop back ends and clients, read the records of all processes, and return them sorted by time."""
        self._children.stop_all()
        for host in self._hosts.values():
            for event in back_end_events(Path(host.record_file)):
                self.records.add_back_end_event(event)
        self.records.calls = list(call_records(self.folder / "callers.jsonl"))
        self.records.sort()
        return self.records

    def move_node(self, node: NodeLayout) -> None:
        """Assign a stopped node new ports, as if its machine came back at another address."""
        client, peer, admin = free_ports(3)
        node.client_address = f"{LOOPBACK}:{client}"
        node.peer_address = f"{LOOPBACK}:{peer}"
        node.admin_address = f"{LOOPBACK}:{admin}"
        self.supervisor.layout.save()
        seeds = [other.peer_address for other in self.nodes if other.controller and other is not node]
        write_settings(node, seeds[:SEED_COUNT], self._options)

    def _record_order(self, record: OrderRecord) -> None:
        self.records.orders.append(record)

    async def _configure(self) -> None:
        document = msgspec.json.encode(self.plan.configuration)
        await self.operators.submit_accepted(put_configuration(1, document))
        for tenant in self.plan.tenants:
            await self.operators.submit_accepted(
                put_tenant(tenant.name, tenant.tokens_per_s, tenant.burst_tokens)
            )
            await self.operators.submit_accepted(
                put_key(f"{tenant.name}-key", tenant.name, self.keys[tenant.name])
            )

    def _assign_hosts(self, plan: BackEndPlan, behaviour: VersionBehaviour) -> list[HostedBackEnd]:
        ports = free_ports(plan.count)
        hosted_back_ends = [
            HostedBackEnd(
                engine=f"{plan.service}-{plan.version}-{number + 1}",
                address=f"{LOOPBACK}:{port}",
                plan=plan,
                behaviour=behaviour,
            )
            for number, port in enumerate(ports)
        ]
        hosts = [name for name, host in self._hosts.items() if host.kind == plan.kind]
        for number, back_end in enumerate(hosted_back_ends):
            self.back_ends[back_end.engine] = back_end
            self._host_of[back_end.engine] = hosts[number % len(hosts)]
        return hosted_back_ends

    def _start_hosts(self) -> None:
        """Start the host processes and distribute the plan's back ends over them."""
        kinds = {plan.kind for plan in self.plan.back_ends}
        names = [(kind, number) for kind in sorted(kinds) for number in range(HOST_COUNTS[kind])]
        for (kind, number), port in zip(names, free_ports(len(names)), strict=True):
            name = f"back-ends-{kind}-{number + 1}"
            record_file = str(self.folder / f"{name}.jsonl")
            self._hosts[name] = BackEndHostAddress(kind, f"{LOOPBACK}:{port}", record_file)
        hosted_back_ends = [
            back_end for plan in self.plan.back_ends for back_end in self._assign_hosts(plan, GOOD)
        ]
        for number, (name, host) in enumerate(self._hosts.items()):
            settings = HostSettings(
                control_address=host.control_address,
                admin_addresses=[node.admin_address for node in self.nodes],
                back_ends=[
                    back_end for back_end in hosted_back_ends if self._host_of[back_end.engine] == name
                ],
                record_file=host.record_file,
                seed=self.seed + HOST_SEED_STEP * number,
            )
            self._children.start(name, "backends", msgspec.json.encode(settings))

    async def _wait_for_engines(self, expected_count: int) -> None:
        """Wait until every node has ``expected_count`` ready back ends in its directory."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not await self._all_nodes_have_engines(expected_count):
            if time.monotonic() > deadline:
                raise DeploymentError(f"not every node has all {expected_count} back ends in its directory")
            await asyncio.sleep(POLL_S)

    async def _all_nodes_have_engines(self, expected_count: int) -> bool:
        for node in self.nodes:
            if await self.operators.count_engines(AdminNode(node.node, node.admin_address)) < expected_count:
                return False
        return True
