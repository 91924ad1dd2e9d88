"""The backends of a hollow fleet, their addresses, and the connections from the nodes to them."""

from __future__ import annotations

import random
from typing import NamedTuple

from springmux.coordination.identifiers import Address, NodeId, ZoneName
from springmux.coordination.state_machine import Effect, Event
from springmux.router.effects import CloseUpstream, Dispatch
from springmux.router.events import (
    UpstreamCause,
    UpstreamData,
    UpstreamEvent,
    UpstreamFailed,
    UpstreamHead,
)
from springmux.simulation.deployments import BackendSize, Deployment
from springmux.simulation.engine_model import GOOD, EngineModel, ResponseFault, VersionBehaviour
from springmux.simulation.flow_driver import FlowInput, FlowOutput, ProbeEngine
from springmux.simulation.history import (
    BadResponse,
    Dispatched,
    Executed,
    History,
    StopReported,
    StopWithdrawn,
    Unreached,
)
from springmux.simulation.hollow_fleet import FleetObserver, HollowFleet
from springmux.simulation.hollow_node import HollowNode
from springmux.simulation.traffic.hollow_engine import EngineExchange, HollowEngine, engine_address
from springmux.simulation.world.faults import AnyFault, Kill, PowerCut, Restart
from springmux.simulation.world.world import Process
from springmux.vocabulary.engines import EngineRecord
from springmux.vocabulary.names import EngineId, RequestId, VersionName

NETWORK_DELAY_S = 0.0006
"""One-way delay in seconds between a node and a backend; constant, so that connections keep their order."""

PROBE_DELAY_S = 0.05
"""Seconds before a probe, as in the daemon's prober (``node.engine_prober.DELAY_S``)."""


class ConnectionKey(NamedTuple):
    """Identifies a connection: the node, its boot, the request and the attempt."""

    node: NodeId
    boot: int
    request: RequestId
    attempt: int


class Connection(NamedTuple):
    """An open connection."""

    engine: HollowEngine
    exchange: EngineExchange


class Backends(FleetObserver):
    """All backends: connects the nodes' dispatches to engines, and delivers the engines' reports to nodes."""

    def __init__(
        self, fleet: HollowFleet, history: History, seed: int, deployment: Deployment, tokens_per_chunk: int
    ) -> None:
        self.engines: dict[EngineId, HollowEngine] = {}
        self._fleet = fleet
        self._history = history
        self._seed = seed
        self._deployment = deployment
        self._tokens_per_chunk = tokens_per_chunk
        self._by_address: dict[Address, HollowEngine] = {}
        self._connections: dict[ConnectionKey, Connection] = {}
        self._backends_started = 0
        fleet.observers.append(self)

    def add_group(self, size: BackendSize, behaviour: VersionBehaviour = GOOD) -> list[HollowEngine]:
        """Start a group of equal backends."""
        return [self.add(size, behaviour) for _ in range(size.count)]

    def add(
        self, size: BackendSize, behaviour: VersionBehaviour = GOOD, address: Address | None = None
    ) -> HollowEngine:
        """Start one backend, at a new address or at the given one, which another backend has left."""
        self._backends_started += 1
        name = EngineId(f"{size.service}-{size.version}-{self._backends_started}")
        zones = self._deployment.zones
        record = EngineRecord(
            engine=name,
            service=size.service,
            version=size.version,
            address=address or engine_address(self._backends_started),
            capacity=size.spec.slots,
            incarnation=self._incarnation(),
            zone=ZoneName(zones[self._backends_started % len(zones)].zone),
        )
        source = random.Random(f"engine {self._seed} {name}")
        engine = HollowEngine(
            record,
            EngineModel(size.spec, behaviour, source) if size.model else None,
            behaviour,
            self._fleet.world.scheduler,
            lambda: self._fleet.world.now,
            self,
            self,
            source,
            work_s=size.work_s,
            tokens_per_chunk=self._tokens_per_chunk,
        )
        self.engines[name] = engine
        self._by_address[record.address] = engine
        engine.start()
        return engine

    def restart(self, engine: HollowEngine) -> None:
        """Restart a crashed backend under its name and address, with an empty cache."""
        incarnation = self._incarnation()
        model = engine.model
        if model is not None:
            source = random.Random(f"again {self._seed} {engine.record.engine} {incarnation}")
            model = EngineModel(model.spec, engine.behaviour, source)
        self._by_address[engine.record.address] = engine
        self._history.stops_withdrawn.append(StopWithdrawn(self._fleet.world.now, engine.record.engine))
        engine.start_again(incarnation, model)

    def of_version(self, version: VersionName) -> list[HollowEngine]:
        """Return the running backends of a version."""
        found = self.engines.values()
        return [engine for engine in found if engine.record.version == version and engine.running]

    def _incarnation(self) -> int:
        """Return an incarnation in milliseconds since the start of the run; engines use Unix milliseconds."""
        return int(self._fleet.world.now * 1000) + 1

    # Reports of engines

    def report(self, event: Event, source: random.Random) -> NodeId | None:
        """Deliver a report to the first running of three random nodes, even if it is partitioned."""
        world = self._fleet.world
        nodes = world.nodes()
        source.shuffle(nodes)
        for node in nodes[:3]:
            if world.is_running(node):
                world.scheduler.after(NETWORK_DELAY_S, lambda node=node: world.deliver(node, event))  # type: ignore[misc]
                return node
        return None

    def executed(self, engine: HollowEngine, action: str, request: RequestId) -> None:
        """Record the execution of a call."""
        record = engine.record
        now = self._fleet.world.now
        self._history.executed.append(Executed(now, record.service, action, request, record.engine))

    def stopping(self, engine: HollowEngine, node: NodeId) -> None:
        """Record that a node received the report of a drain or a departure."""
        self._history.stops.append(StopReported(self._fleet.world.now, node, engine.record.engine))

    # Requests of flows

    def flow_output(self, node: NodeId, output: FlowOutput, now: float) -> None:
        """Execute a dispatch, a close or a probe."""
        effect: Effect = output.effect
        if isinstance(effect, Dispatch):
            self._dispatch(node, output.request, effect, now)
        elif isinstance(effect, CloseUpstream):
            key = ConnectionKey(node, self._fleet.world.boot(node), output.request, effect.attempt)
            self._close(key)
        elif isinstance(effect, ProbeEngine):
            self._fleet.world.scheduler.after(PROBE_DELAY_S, lambda: self._answer_probe(node, effect.record))

    def _answer_probe(self, node: NodeId, record: EngineRecord) -> None:
        engine = self._by_address.get(record.address)
        alive = engine is not None and engine.running

        def report(process: Process) -> None:
            assert isinstance(process, HollowNode)
            process.agent.router.engine_probed(record, alive, self._fleet.world.now)

        self._fleet.world.call(node, report)

    def _dispatch(self, node: NodeId, request: RequestId, effect: Dispatch, now: float) -> None:
        world = self._fleet.world
        process = world.process(node)
        assert isinstance(process, HollowNode)
        record = effect.engine
        self._history.dispatched.append(
            Dispatched(
                now,
                node,
                request,
                effect.attempt,
                record.engine,
                record.service,
                record.version,
                process.agent.view.revision,
            )
        )
        key = ConnectionKey(node, process.boot, request, effect.attempt)
        exchange = EngineExchange(effect, request, lambda event: self._reply(key, event))
        world.scheduler.after(NETWORK_DELAY_S, lambda: self._connect(key, exchange))

    def _connect(self, key: ConnectionKey, exchange: EngineExchange) -> None:
        node, boot, request, attempt = key
        engine = self._by_address.get(exchange.dispatch.engine.address)
        if self._fleet.world.boot(node) != boot or exchange.closed:
            return
        if engine is None or not engine.running:
            self._history.unreached.append(Unreached(request, attempt))
            self._reply(key, UpstreamFailed(attempt, UpstreamCause.REFUSED, sent=False))
            return
        self._connections[key] = Connection(engine, exchange)
        engine.accept(exchange)

    def _reply(self, key: ConnectionKey, event: UpstreamEvent) -> None:
        node, boot, request, _ = key
        world = self._fleet.world
        connection = self._connections.get(key)
        if connection is not None and _reveals_fault(connection.exchange, event):
            self._record_bad_response(key, connection)

        def arrive() -> None:
            if world.boot(node) == boot and world.process(node) is not None:
                world.deliver(node, FlowInput(request, event))

        world.scheduler.after(NETWORK_DELAY_S, arrive)

    def _record_bad_response(self, key: ConnectionKey, connection: Connection) -> None:
        engine, exchange = connection
        exchange.bad = False
        record = engine.record
        now = self._fleet.world.now
        self._history.bad_responses.append(BadResponse(now, record.service, record.version, key.request))

    def _close(self, key: ConnectionKey) -> None:
        connection = self._connections.pop(key, None)
        if connection is None:
            return
        engine, exchange = connection
        if exchange.bad and exchange.fault is ResponseFault.SILENT:
            # A missing response counts as bad once the node has closed the connection.
            self._record_bad_response(key, connection)
        engine.closed(exchange)

    # Faults

    def fault(self, fault: AnyFault, now: float) -> None:
        """Close the connections of a node whose process ends."""
        if not isinstance(fault, Kill | PowerCut | Restart):
            return
        for key in [key for key in self._connections if key.node == fault.node]:
            engine, exchange = self._connections.pop(key)
            engine.closed(exchange)


def _reveals_fault(exchange: EngineExchange, event: UpstreamEvent) -> bool:
    """Return whether ``event`` lets a node observe that a response is bad."""
    if not exchange.bad:
        return False
    if exchange.fault is ResponseFault.CUT:
        return isinstance(event, UpstreamFailed)
    if exchange.fault is ResponseFault.NONE or exchange.fault is ResponseFault.GARBAGE:
        return isinstance(event, UpstreamData)
    return isinstance(event, UpstreamHead)
