"""The world: runs processes in virtual time over the network model, and applies faults."""

from __future__ import annotations

import hashlib
import random
from collections.abc import Callable
from typing import Protocol

from springmux.coordination.identifiers import NodeId, ZoneName
from springmux.coordination.state_machine import (
    NEVER,
    Effect,
    Event,
    MessageReceived,
    PeerMessage,
    Send,
    Tick,
)
from springmux.simulation.world.clock import VirtualClock, WallClocks
from springmux.simulation.world.faults import (
    AnyFault,
    ClockJump,
    CutNode,
    CutPair,
    CutZone,
    Fault,
    Freeze,
    Heal,
    Kill,
    PowerCut,
    Restart,
    Thaw,
)
from springmux.simulation.world.network import Network, NetworkSettings
from springmux.simulation.world.scheduler import Scheduler


class Process(Protocol):
    """A process on a node: a state machine, or a composition of several."""

    def start(self, now: float) -> list[Effect]:
        """Start at monotonic time ``now``; return the effects to execute."""
        ...

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle one event; return the effects to execute."""
        ...

    def next_deadline(self) -> float:
        """Return the time of the next tick, or ``NEVER``."""
        ...


class Hooks(Protocol):
    """Handles the effects and faults that the world itself does not."""

    def on_effect(self, node: NodeId, effect: Effect, now: float) -> None:
        """Execute an effect other than ``Send``."""
        ...

    def on_fault(self, fault: AnyFault, now: float) -> None:
        """Apply a fault to components outside the world (disks); called before the world applies it."""
        ...


class NoHooks:
    """Hooks that do nothing, for processes that only send."""

    def on_effect(self, node: NodeId, effect: Effect, now: float) -> None:
        """Ignore the effect."""

    def on_fault(self, fault: AnyFault, now: float) -> None:
        """Ignore the fault."""


class Host:
    """A node's machine: its process while it runs, and the events queued while it is frozen."""

    __slots__ = ("boot", "build", "frozen", "node", "process", "queue", "tick_at", "zone")

    def __init__(self, node: NodeId, zone: ZoneName, build: Callable[[int], Process]) -> None:
        self.node = node
        self.zone = zone
        self.build = build
        self.process: Process | None = None
        self.boot = 0
        self.frozen = False
        self.queue: list[Event] = []
        self.tick_at = NEVER


class World:
    """Simulated machines, the network between them, and one event queue.

    The same seed, processes and schedule give the same run, which :meth:`transcript_hash` verifies.
    """

    def __init__(
        self,
        seed: int,
        network: NetworkSettings | None = None,
        hooks: Hooks | None = None,
        record: bool = False,
    ) -> None:
        self.clock = VirtualClock()
        self.scheduler = Scheduler(self.clock)
        self.wall_clocks = WallClocks(self.clock)
        self.network = Network(network or NetworkSettings(), random.Random(f"network {seed}"))
        self._hooks = hooks or NoHooks()
        self._hosts: dict[NodeId, Host] = {}
        self._digest = hashlib.blake2b(digest_size=16) if record else None

    @property
    def now(self) -> float:
        """Return the virtual monotonic time in seconds."""
        return self.clock.now

    def add(self, node: NodeId, zone: ZoneName, build: Callable[[int], Process]) -> None:
        """Add a machine. ``build`` creates a new process for each boot; boots are counted from 1."""
        self.network.place(node, zone)
        self._hosts[node] = Host(node, zone, build)

    def nodes(self) -> list[NodeId]:
        """Return the names of all machines."""
        return list(self._hosts)

    def process(self, node: NodeId) -> Process | None:
        """Return the process of a node, frozen or not, or ``None`` if it is down."""
        return self._hosts[node].process

    def is_running(self, node: NodeId) -> bool:
        """Return whether the node has a process that is not frozen."""
        host = self._hosts[node]
        return host.process is not None and not host.frozen

    def boot(self, node: NodeId) -> int:
        """Return how many times the node was started."""
        return self._hosts[node].boot

    def start_all(self) -> None:
        """Start every machine whose process is not running."""
        for host in self._hosts.values():
            if host.process is None:
                self._start(host)

    def deliver(self, node: NodeId, event: Event) -> None:
        """Deliver an event to a node now; dropped if the node is down, queued while it is frozen."""
        self._deliver(self._hosts[node], event)

    def call(self, node: NodeId, action: Callable[[Process], None]) -> bool:
        """Call ``action`` with a running process; return ``False`` if it is down or frozen."""
        host = self._hosts[node]
        if host.process is None or host.frozen:
            return False
        action(host.process)
        self._schedule_tick(host)
        return True

    def run_until(self, end: float) -> None:
        """Run the world to virtual time ``end``."""
        self.scheduler.run_until(end)

    def run_for(self, seconds: float) -> None:
        """Run the world for a number of virtual seconds."""
        self.scheduler.run_until(self.clock.now + seconds)

    def apply(self, fault: AnyFault) -> None:
        """Apply a fault now."""
        self._record("fault", fault)
        self._hooks.on_fault(fault, self.clock.now)
        match fault:
            case Kill() | PowerCut():
                self._stop(self._hosts[fault.node])
            case Restart():
                self._stop(self._hosts[fault.node])
                self._start(self._hosts[fault.node])
            case Freeze():
                self._hosts[fault.node].frozen = self._hosts[fault.node].process is not None
            case Thaw():
                self._thaw(self._hosts[fault.node])
            case CutNode():
                self.network.partitions.partition_node(fault.node, fault.outward, fault.inward)
            case CutZone():
                self.network.partitions.partition_zone(fault.zone, fault.outward, fault.inward)
            case CutPair():
                self.network.partitions.partition_pair(fault.source, fault.target)
            case Heal():
                self.network.partitions.heal_all()
            case ClockJump():
                self.wall_clocks.jump(fault.node, fault.by_s)

    def transcript_hash(self) -> str:
        """Return a digest of all events and faults so far, in order.

        Raise ``RuntimeError`` if the world was created without ``record=True``.
        """
        if self._digest is None:
            raise RuntimeError("the world was created without record=True")
        return self._digest.hexdigest()

    def _start(self, host: Host) -> None:
        host.boot += 1
        host.frozen = False
        host.process = host.build(host.boot)
        self._execute(host, host.process.start(self.clock.now))

    def _stop(self, host: Host) -> None:
        host.process = None
        host.frozen = False
        host.queue = []
        host.tick_at = NEVER

    def _thaw(self, host: Host) -> None:
        if not host.frozen:
            return
        host.frozen = False
        queued, host.queue = host.queue, []
        for event in queued:
            self._deliver(host, event)
        self._schedule_tick(host)

    def _deliver(self, host: Host, event: Event) -> None:
        process = host.process
        if process is None:
            return
        if host.frozen:
            host.queue.append(event)
            return
        if self._digest is not None:
            self._record(host.node, event)
        self._execute(host, process.handle(event, self.clock.now))

    def _execute(self, host: Host, effects: list[Effect]) -> None:
        process = host.process
        for effect in effects:
            if isinstance(effect, Send):
                self._send(host.node, effect.to, effect.message)
            else:
                self._hooks.on_effect(host.node, effect, self.clock.now)
        if host.process is process and process is not None:
            self._schedule_tick(host)

    def _send(self, source: NodeId, target: NodeId, message: PeerMessage) -> None:
        receiver = self._hosts.get(target)
        if receiver is None:
            return
        event = MessageReceived(source, message)
        for time in self.network.arrivals(source, target, message, self.clock.now):
            self.scheduler.at(time, lambda: self._deliver(receiver, event))

    def _schedule_tick(self, host: Host) -> None:
        """Schedule a tick at the process's deadline. Ticks scheduled for a superseded time do nothing."""
        if host.process is None or host.frozen:
            return
        deadline = max(host.process.next_deadline(), self.clock.now)
        if deadline < host.tick_at:
            host.tick_at = deadline
            boot = host.boot
            self.scheduler.at(deadline, lambda: self._tick(host, boot, deadline))

    def _tick(self, host: Host, boot: int, planned: float) -> None:
        if host.boot != boot or host.tick_at != planned:
            return
        host.tick_at = NEVER
        if host.process is None or host.frozen:
            return
        if host.process.next_deadline() <= self.clock.now:
            self._deliver(host, Tick())
        else:
            self._schedule_tick(host)

    def _record(self, where: str, what: Event | Fault) -> None:
        if self._digest is not None:
            self._digest.update(f"{self.clock.now!r} {where} {what!r}\n".encode())
