"""A fleet of hollow nodes in one simulated world, with disks, faults and operators' orders."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from springmux.agent.agent import NodeAgent
from springmux.agent.effects import (
    ClaimAnswered,
    ControlChanged,
    FlowsRevoked,
    OrderAnswered,
    PrepareCommands,
    ReadinessChanged,
)
from springmux.agent.events import AgentSettings, CommandsPrepared, OrderSubmitted
from springmux.agent.storage_effects import StorageEffect
from springmux.control.commands import AnyCommand
from springmux.coordination.consensus.effects import ReplicaStopped
from springmux.coordination.identifiers import Address, NodeId, ZoneName
from springmux.coordination.state_machine import Effect, LogLine
from springmux.simulation.flow_driver import FlowOutput
from springmux.simulation.hollow_disk import HollowDisk
from springmux.simulation.hollow_node import HollowNode
from springmux.simulation.world.faults import (
    AnyFault,
    FullDisk,
    Kill,
    PowerCut,
    Restart,
    SlowDisk,
    StallDisk,
    Wipe,
)
from springmux.simulation.world.network import NetworkSettings
from springmux.simulation.world.world import Process, World

SEED_NODES = 3
RESTART_AS_NEW_S = 0.5
"""Seconds within which a supervisor restarts a stopped process."""


class HollowPlace(msgspec.Struct, frozen=True):
    """One machine of a hollow fleet. ``controller``: whether it has a disk for the control state."""

    node: NodeId
    zone: ZoneName
    controller: bool


class FleetObserver:
    """Observer of a fleet; subclasses override the events that they need."""

    def control_changed(self, node: NodeId, agent: NodeAgent, now: float) -> None:
        """Handle a newer control state applied at ``node``."""

    def order_answered(self, node: NodeId, answer: OrderAnswered, now: float) -> None:
        """Handle a node's reply to an operator's order."""

    def claim_answered(self, node: NodeId, answer: ClaimAnswered, now: float) -> None:
        """Handle the decision on a request's claim."""

    def flows_revoked(self, node: NodeId, revoked: FlowsRevoked, now: float) -> None:
        """Handle the revocation of a key that running requests use."""

    def readiness_changed(self, node: NodeId, change: ReadinessChanged, now: float) -> None:
        """Handle a change of a node's readiness."""

    def note(self, node: NodeId, note: LogLine, now: float) -> None:
        """Handle a log line of a node."""

    def fault(self, fault: AnyFault, now: float) -> None:
        """Handle the start of a fault."""

    def flow_output(self, node: NodeId, output: FlowOutput, now: float) -> None:
        """Handle an effect of a request's flow outside its node."""


class HollowFleet:
    """Machines with their disks and addresses; implements the world's hooks."""

    def __init__(
        self,
        places: list[HollowPlace],
        seed: int,
        network: NetworkSettings | None = None,
        controllers_expected: int = 3,
        record: bool = False,
        losses_tolerated: int | None = None,
    ) -> None:
        self.world = World(seed, network, hooks=self, record=record)
        self.observers: list[FleetObserver] = []
        self.addresses: dict[NodeId, Address] = {}
        self._listeners: dict[Address, NodeId] = {}
        self._places = {place.node: place for place in places}
        self._seed = seed
        self._controllers_expected = controllers_expected
        self._losses_tolerated = losses_tolerated
        self.first_start = True
        """Whether nodes started from now on take part in the first start of the system."""
        self.seeds: tuple[Address, ...] = ()
        """Seed addresses in the settings of nodes started from now on."""
        self._disks: dict[NodeId, HollowDisk] = {}
        self._correlation_ids = 0
        for number, place in enumerate(places):
            self._add(place, Address(f"10.0.{number // 250}.{number % 250 + 1}:7000"))
        self.seeds = self._first_seeds()

    def add_machine(self, place: HollowPlace) -> None:
        """Add an empty machine at a new address; its first ``Restart`` starts it."""
        number = len(self._places)
        self._places[place.node] = place
        self._add(place, Address(f"10.1.{number // 250}.{number % 250 + 1}:7000"))

    def _add(self, place: HollowPlace, address: Address) -> None:
        self.move(place.node, address)
        if place.controller:
            self._disks[place.node] = self._make_disk(place.node)
        self.world.add(place.node, place.zone, self._builder(place))

    def _make_disk(self, node: NodeId) -> HollowDisk:
        world = self.world
        return HollowDisk(
            world.scheduler,
            lambda: world.now,
            lambda event: world.deliver(node, event),
            f"{self._seed} {node}",
        )

    def _builder(self, place: HollowPlace) -> Callable[[int], Process]:
        def build(boot: int) -> Process:
            disk = self._disks.get(place.node)
            recovered = disk.open(self.first_start) if disk is not None else None
            source = random.Random(f"{self._seed} {place.node} {boot}")
            claims = disk.claims if disk is not None else None
            remembered = disk.remembered if disk is not None else ()
            return HollowNode(
                self._settings(place), recovered, source, self._find_node, boot, claims, remembered
            )

        return build

    def _settings(self, place: HollowPlace) -> AgentSettings:
        address = self.addresses[place.node]
        return AgentSettings(
            node=place.node,
            zone=place.zone,
            region="",
            peer_address=address,
            client_address=address,
            admin_address=address,
            seeds=self.seeds,
            controllers_expected=self._controllers_expected,
            losses_tolerated=self._losses_tolerated,
            first_start=self.first_start,
        )

    def _first_seeds(self) -> tuple[Address, ...]:
        controllers = [node for node, place in self._places.items() if place.controller]
        return tuple(self.addresses[node] for node in controllers[:SEED_NODES])

    def _find_node(self, address: Address) -> NodeId | None:
        return self._listeners.get(address)

    def move(self, node: NodeId, address: Address) -> None:
        """Assign a machine another address, which takes effect at its next start."""
        left = self.addresses.get(node)
        if left is not None and self._listeners.get(left) == node:
            del self._listeners[left]
        self.addresses[node] = address
        self._listeners[address] = node

    def agent(self, node: NodeId) -> NodeAgent | None:
        """Return the agent of a node, or ``None`` if the node is down."""
        process = self.world.process(node)
        return process.agent if isinstance(process, HollowNode) else None

    def remembers_first_start(self, node: NodeId) -> bool:
        """Return whether a machine's replica was created at the first start of the system."""
        return self._disks[node].first_start

    def places(self) -> list[HollowPlace]:
        """Return all machines."""
        return list(self._places.values())

    def agents(self) -> dict[NodeId, NodeAgent]:
        """Return the agents of all running nodes."""
        found = {node: self.agent(node) for node in self.world.nodes()}
        return {node: agent for node, agent in found.items() if agent is not None}

    def leader(self) -> NodeId | None:
        """Return the node that considers itself the leader, if there is exactly one."""
        leading = [node for node, agent in self.agents().items() if agent.status().leading]
        return leading[0] if len(leading) == 1 else None

    def submit(self, node: NodeId, command: AnyCommand) -> str:
        """Submit a command to a node; return its correlation id. The reply goes to the observers."""
        correlation_id = self.next_correlation_id()
        self.submit_as(correlation_id, node, command)
        return correlation_id

    def next_correlation_id(self) -> str:
        """Return a new correlation id for :meth:`submit_as`."""
        self._correlation_ids += 1
        return f"order-{self._correlation_ids}"

    def submit_as(self, correlation_id: str, node: NodeId, command: AnyCommand) -> None:
        """Submit a command to a node under a correlation id that the caller already knows."""
        self.world.deliver(node, OrderSubmitted(correlation_id, command))

    def run_until(self, condition: Callable[[], bool], within_s: float, step_s: float = 0.05) -> bool:
        """Run the world until ``condition`` holds; return whether it did within ``within_s`` seconds."""
        end = self.world.now + within_s
        while not condition():
            if self.world.now >= end:
                return False
            self.world.run_for(step_s)
        return True

    def all_ready(self) -> bool:
        """Return whether every machine runs and is ready."""
        agents = self.agents()
        return len(agents) == len(self._places) and all(agent.ready for agent in agents.values())

    # World hooks

    def on_effect(self, node: NodeId, effect: Effect, now: float) -> None:
        """Execute an effect that the world itself does not handle."""
        if isinstance(effect, FlowOutput):
            for observer in self.observers:
                observer.flow_output(node, effect, now)
        elif isinstance(effect, StorageEffect):
            self._disks[node].submit(effect)
        elif isinstance(effect, PrepareCommands):
            self._prepare(node, effect)
        elif isinstance(effect, ReplicaStopped):
            self._replica_stopped(node, effect)
        else:
            self._notify_observers(node, effect, now)

    def _prepare(self, node: NodeId, effect: PrepareCommands) -> None:
        agent = self.agent(node)
        if agent is not None:
            for command in effect.commands:
                agent.control.prepare(command)
            self.world.scheduler.at(self.world.now, lambda: self.world.deliver(node, CommandsPrepared()))

    def _replica_stopped(self, node: NodeId, effect: ReplicaStopped) -> None:
        """Wipe and restart a replica that may start as new, as the daemon does."""
        if not effect.restart_as_new:
            return
        self._disks[node].wipe()
        restart = Restart(at=self.world.now + RESTART_AS_NEW_S, node=node)
        self.world.scheduler.at(restart.at, lambda: self.world.apply(restart))

    def _notify_observers(self, node: NodeId, effect: Effect, now: float) -> None:
        agent = self.agent(node)
        for observer in self.observers:
            if isinstance(effect, ControlChanged) and agent is not None:
                observer.control_changed(node, agent, now)
            elif isinstance(effect, OrderAnswered):
                observer.order_answered(node, effect, now)
            elif isinstance(effect, ClaimAnswered):
                observer.claim_answered(node, effect, now)
            elif isinstance(effect, FlowsRevoked):
                observer.flows_revoked(node, effect, now)
            elif isinstance(effect, ReadinessChanged):
                observer.readiness_changed(node, effect, now)
            elif isinstance(effect, LogLine):
                observer.note(node, effect, now)

    def on_fault(self, fault: AnyFault, now: float) -> None:
        """Apply a fault to the disks."""
        for observer in self.observers:
            observer.fault(fault, now)
        disk = self._disks.get(fault.node) if hasattr(fault, "node") else None
        if disk is None:
            return
        match fault:
            case Kill() | Restart():
                disk.stop()
            case PowerCut():
                disk.power_cut()
            case Wipe():
                disk.wipe()
            case SlowDisk(sync_s=sync_s):
                disk.sync_s = max(sync_s, 0.002)
            case StallDisk(stall_s=stall_s):
                disk.stall(stall_s)
            case FullDisk(full=full):
                disk.fill(full)


def places_by_zone(zones: dict[str, int], controllers: int) -> list[HollowPlace]:
    """Return machines distributed over zones; the first ones, by zones in turn, are controllers."""
    rows = [
        (number, zone)
        for number in range(max(zones.values()))
        for zone, count in zones.items()
        if number < count
    ]
    return [
        HollowPlace(NodeId(f"{zone}-{number + 1}"), ZoneName(zone), controller=position < controllers)
        for position, (number, zone) in enumerate(rows)
    ]
