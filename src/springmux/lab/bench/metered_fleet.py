"""Simulated fleets that count the encoded messages of each node and measure processor time."""

from __future__ import annotations

import random
import time
from collections import Counter
from collections.abc import Callable

from springmux.agent import wire
from springmux.agent.agent import NodeAgent
from springmux.agent.effects import OrderAnswered
from springmux.agent.events import EngineAnnounced, EngineHeartbeat
from springmux.control.commands import PutTenant
from springmux.control.view import Tenant
from springmux.coordination.identifiers import Address, NodeId, ZoneName
from springmux.coordination.state_machine import Effect, Event, PeerMessage, message_name
from springmux.simulation.hollow_fleet import FleetObserver, HollowFleet, HollowPlace, places_by_zone
from springmux.simulation.hollow_node import Enveloped, HollowNode
from springmux.simulation.world.world import Process
from springmux.vocabulary.engines import EngineLoad, EngineRecord
from springmux.vocabulary.names import EngineId, OrderId, ServiceName, TenantName, VersionName

ANNOUNCE_SPREAD_S = 5.0
"""Time within which the engines of a cold start announce themselves."""
HEARTBEAT_S = 1.0
"""Heartbeat period of engines, as docs/API.md requires."""
TENANTS = 50
"""Number of tenants that the scheduled changes cycle through."""


class MessageMeter:
    """Counts messages and bytes by message type, bytes by node, and processor time over all nodes."""

    def __init__(self) -> None:
        self.messages: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        self.bytes_of_node: Counter[str] = Counter()
        self.cpu_ns = 0

    def clear(self) -> None:
        """Reset all counters."""
        self.messages.clear()
        self.bytes.clear()
        self.bytes_of_node.clear()
        self.cpu_ns = 0


class MeteredNode(HollowNode):
    """A simulated node that encodes each message as the daemon does and counts it."""

    meter: MessageMeter
    name: NodeId

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle one event and add the processor time to the meter."""
        began_ns = time.process_time_ns()
        effects = super().handle(event, now)
        self.meter.cpu_ns += time.process_time_ns() - began_ns
        return effects

    def _envelope(self, message: PeerMessage) -> Enveloped:
        enveloped = super()._envelope(message)
        name = message_name(type(message))
        data = wire.encode(enveloped.term, enveloped.leader, enveloped.revision, message)
        self.meter.messages[name] += 1
        self.meter.bytes[name] += len(data)
        self.meter.bytes_of_node[self.name] += len(data)
        return enveloped


class MeteredFleet(HollowFleet):
    """A simulated fleet of metered nodes."""

    def __init__(self, places: list[HollowPlace], seed: int) -> None:
        self.meter = MessageMeter()
        super().__init__(places, seed)

    def _builder(self, place: HollowPlace) -> Callable[[int], Process]:
        build_unmetered = super()._builder(place)

        def build(boot: int) -> Process:
            node = build_unmetered(boot)
            assert isinstance(node, HollowNode)
            node.__class__ = MeteredNode
            assert isinstance(node, MeteredNode)
            node.meter = self.meter
            node.name = place.node
            return node

        return build


class DeliveryObserver(FleetObserver):
    """Measures the delay from a change's acknowledgement until it is in force at the last node."""

    def __init__(self, nodes: int) -> None:
        self._nodes = nodes
        self._acknowledged_at: dict[int, float] = {}
        self._revision_of: dict[NodeId, int] = {}
        self._undelivered_revisions: list[int] = []
        self.delays_s: list[float] = []
        self.refused = 0

    @property
    def undelivered_count(self) -> int:
        """Return the number of acknowledged changes that are not yet in force at every node."""
        return len(self._undelivered_revisions)

    def order_answered(self, node: NodeId, response: OrderAnswered, now: float) -> None:
        """Record the acknowledgement or the rejection of a change."""
        if response.result is None:
            self.refused += 1
            return
        revision = int(response.result.revision)
        self._acknowledged_at[revision] = now
        self._undelivered_revisions.append(revision)
        self._complete_deliveries(now)

    def control_changed(self, node: NodeId, agent: NodeAgent, now: float) -> None:
        """Record the revision in force at a node, and complete the changes that every node now has."""
        self._revision_of[node] = int(agent.view.revision)
        self._complete_deliveries(now)

    def _complete_deliveries(self, now: float) -> None:
        if not self._undelivered_revisions or len(self._revision_of) < self._nodes:
            return
        oldest_revision = min(self._revision_of.values())
        delivered = [revision for revision in self._undelivered_revisions if revision <= oldest_revision]
        self.delays_s += [max(0.0, now - self._acknowledged_at[revision]) for revision in delivered]
        self._undelivered_revisions = [
            revision for revision in self._undelivered_revisions if revision > oldest_revision
        ]


def make_fleet(nodes: int, zones: int, controllers: int, seed: int) -> MeteredFleet:
    """Return a fleet with its nodes spread evenly over zones; it is not started."""
    return MeteredFleet(
        places_by_zone({f"zone-{number}": nodes // zones for number in range(zones)}, controllers), seed
    )


def add_engines(fleet: MeteredFleet, count: int) -> None:
    """Schedule engines, each of which announces itself to one node and then sends that node heartbeats."""
    nodes = fleet.world.nodes()
    source = random.Random(f"engines {count}")
    for number in range(count):
        record = EngineRecord(
            engine=EngineId(f"engine-{number:04}"),
            service=ServiceName(f"model-{number % 14}"),
            version=VersionName("v1"),
            address=Address(f"10.1.{number // 250}.{number % 250 + 1}:8000"),
            capacity=16,
            incarnation=1,
            zone=ZoneName("zone-0"),
        )
        _schedule_engine(fleet, nodes[number % len(nodes)], record, source.uniform(0.0, ANNOUNCE_SPREAD_S))


def _schedule_engine(fleet: MeteredFleet, node: NodeId, record: EngineRecord, delay_s: float) -> None:
    world = fleet.world

    def heartbeat() -> None:
        load = EngineLoad(record.engine, running=4, queued=0, cache_used=0.5, measured_at=world.now)
        world.deliver(node, EngineHeartbeat(record, load))
        world.scheduler.at(world.now + HEARTBEAT_S, heartbeat)

    def announce() -> None:
        world.deliver(node, EngineAnnounced(record))
        world.scheduler.at(world.now + HEARTBEAT_S, heartbeat)

    world.scheduler.at(world.now + delay_s, announce)


def schedule_changes(fleet: MeteredFleet, count: int, period_s: float) -> None:
    """Schedule ``count`` changes of tenants' quotas at varying nodes, one every ``period_s`` seconds."""
    world, nodes = fleet.world, fleet.world.nodes()

    def change(number: int) -> None:
        tenant = Tenant(TenantName(f"tenant-{number % TENANTS}"), 100.0 + number, 1000.0)
        order = OrderId(f"bench-{world.now:.3f}-{number}")
        fleet.submit(nodes[number * 7 % len(nodes)], PutTenant(order=order, tenant=tenant))

    for number in range(count):
        world.scheduler.at(world.now + number * period_s, lambda number=number: change(number))  # type: ignore[misc]
