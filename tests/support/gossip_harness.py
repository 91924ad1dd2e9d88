"""A network of gossip components in virtual time, with message loss, partitions, pauses and restarts."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterable

import msgspec

from springmux.agent.directory.effects import EnginesChanged
from springmux.agent.directory.engine_directory import EngineDirectory
from springmux.agent.events import EngineAnnounced, EngineHeartbeat
from springmux.coordination.identifiers import Address, NodeId, ZoneName
from springmux.coordination.membership.contact_monitor import ContactMonitor
from springmux.coordination.membership.effects import MembershipChanged, SendToAddress
from springmux.coordination.membership.events import MembershipUpdated
from springmux.coordination.membership.membership import Membership
from springmux.coordination.membership.view import NodeRecord, NodeStatus
from springmux.coordination.state_machine import (
    Effect,
    Event,
    LogLine,
    MessageReceived,
    PeerMessage,
    Send,
    Tick,
    message_name,
)
from springmux.vocabulary.engines import EngineLoad, EngineRecord, EngineStatus, EnginesView
from springmux.vocabulary.names import EngineId, ServiceName, VersionName

COMPONENT_BY_PREFIX = {"Member": "membership", "Contact": "contact", "Directory": "directory"}


def component_name(message: PeerMessage) -> str:
    name = message_name(type(message))
    return next(component for prefix, component in COMPONENT_BY_PREFIX.items() if name.startswith(prefix))


def record_of(index: int, zones: int, address: str = "") -> NodeRecord:
    host = address or f"10.0.{index // 250}.{index % 250}"
    return NodeRecord(
        node=NodeId(f"node-{index:03d}"),
        zone=ZoneName(f"zone-{index % zones}"),
        peer_address=Address(f"{host}:7000"),
        client_address=Address(f"{host}:8080"),
        admin_address=Address(f"{host}:8081"),
    )


class VirtualNode:
    """The components of one node; the network's virtual clock drives them."""

    def __init__(self, network: Network, record: NodeRecord, components: dict[str, object]) -> None:
        self.network = network
        self.record = record
        self.components = components
        self.paused = False
        self.buffered: list[tuple[NodeId, PeerMessage]] = []
        self.log_lines: list[tuple[float, LogLine]] = []
        self.engines: EnginesView | None = None

    @property
    def membership(self) -> Membership:
        return self.components["membership"]  # type: ignore[return-value]

    @property
    def contact(self) -> ContactMonitor:
        return self.components["contact"]  # type: ignore[return-value]

    def handle_event(self, component: str, event: Event) -> None:
        for effect in self.components[component].handle(event, self.network.now):  # type: ignore[attr-defined]
            self.execute(effect)
        self.network.schedule_tick(self, component)

    def execute(self, effect: Effect) -> None:
        if isinstance(effect, Send):
            self.network.send(self, effect.to, effect.message)
        elif isinstance(effect, SendToAddress):
            self.network.send_to_address(self, effect.address, effect.message)
        elif isinstance(effect, LogLine):
            self.log_lines.append((self.network.now, effect))
        elif isinstance(effect, EnginesChanged):
            self.engines = effect.view
        elif isinstance(effect, MembershipChanged):
            for name in self.components:
                if name != "membership":
                    self.handle_event(name, MembershipUpdated(effect.view))

    def status_of(self, node: NodeId) -> NodeStatus | None:
        record = self.membership.view.nodes.get(node)
        return record.status if record else None

    def engine_status(self, engine: EngineId) -> EngineStatus | None:
        record = self.engines.engines.get(engine) if self.engines else None
        return record.status if record else None

    def connected(self) -> bool:
        return self.contact.connected(self.network.now)


class Network:
    """Nodes, links and the virtual clock; all randomness derives from ``seed``."""

    def __init__(self, nodes: int, zones: int, seed: int, loss: float = 0.0) -> None:
        self.now = 100.0
        self.random = random.Random(seed)
        self.loss = loss
        self.link_is_cut: Callable[[VirtualNode, VirtualNode], bool] = lambda one, other: False
        self.nodes: dict[NodeId, VirtualNode] = {}
        self.bytes_sent: Counter[str] = Counter()
        self.messages_sent: Counter[str] = Counter()
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self._ticks: dict[tuple[int, str], float] = {}
        self._event_numbers = itertools.count()
        self.zones = zones
        self.with_directory = False
        self.records = [record_of(index, zones) for index in range(nodes)]
        self.seeds = tuple(record.peer_address for record in self.records[:3])

    def start(self, records: Iterable[NodeRecord] | None = None) -> None:
        for record in records or self.records:
            source = random.Random(self.random.random())
            components: dict[str, object] = {
                "membership": Membership(record, self.seeds, source),
                "contact": ContactMonitor(record.node, True, source),
            }
            if self.with_directory:
                components["directory"] = EngineDirectory(record.node, source)
            node = VirtualNode(self, record, components)
            self.nodes[record.node] = node
            for component in components:
                self.at(self.now + self.random.random() * 0.5, lambda n=node, p=component: self._tick(n, p))

    def at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._scheduled, (when, next(self._event_numbers), action))

    def run(self, duration_s: float) -> None:
        end = self.now + duration_s
        while self._scheduled and self._scheduled[0][0] <= end:
            when, _, action = heapq.heappop(self._scheduled)
            self.now = max(self.now, when)
            action()
        self.now = end

    def run_until(self, condition: Callable[[], bool], limit_s: float, step_s: float = 0.1) -> float:
        """Run until ``condition()`` holds; return the seconds it took, or infinity if over ``limit_s``."""
        started_at = self.now
        while not condition():
            if self.now - started_at > limit_s:
                return float("inf")
            self.run(step_s)
        return self.now - started_at

    def schedule_tick(self, node: VirtualNode, component: str) -> None:
        deadline = node.components[component].next_deadline()  # type: ignore[attr-defined]
        key = (id(node), component)
        if deadline == float("inf") or self._ticks.get(key, float("inf")) <= deadline:
            return
        self._ticks[key] = deadline
        self.at(max(deadline, self.now), lambda: self._tick(node, component, deadline))

    def _tick(self, node: VirtualNode, component: str, planned: float | None = None) -> None:
        key = (id(node), component)
        if node.paused or self.nodes.get(node.record.node) is not node:
            return
        if planned is not None and self._ticks.get(key) != planned:
            return
        self._ticks.pop(key, None)
        node.handle_event(component, Tick())

    def send(self, sender: VirtualNode, to: NodeId, message: PeerMessage) -> None:
        component = component_name(message)
        self.bytes_sent[component] += len(msgspec.msgpack.encode(message))
        self.messages_sent[component] += 1
        self._deliver_later(sender, self.nodes.get(to), message)

    def send_to_address(self, sender: VirtualNode, address: Address, message: PeerMessage) -> None:
        candidates = (node for node in self.nodes.values() if node.record.peer_address == address)
        self._deliver_later(sender, next(candidates, None), message)

    def _deliver_later(self, sender: VirtualNode, target: VirtualNode | None, message: PeerMessage) -> None:
        if target is None or self.random.random() < self.loss or self.link_is_cut(sender, target):
            return
        delay = self.random.uniform(0.001, 0.01)
        self.at(self.now + delay, lambda: self._deliver(sender.record.node, target, message))

    def _deliver(self, sender: NodeId, target: VirtualNode, message: PeerMessage) -> None:
        if self.nodes.get(target.record.node) is not target:
            return
        if target.paused:
            target.buffered.append((sender, message))
            return
        target.handle_event(component_name(message), MessageReceived(sender, message))

    # --- faults ---

    def node(self, index: int) -> VirtualNode:
        return self.nodes[self.records[index].node]

    def kill(self, index: int) -> None:
        del self.nodes[self.records[index].node]

    def pause(self, index: int) -> None:
        self.node(index).paused = True

    def resume(self, index: int) -> None:
        """Resume a paused node: deliver its buffered messages, then its overdue ticks."""
        node = self.node(index)
        node.paused = False
        buffered, node.buffered = node.buffered, []
        for sender, message in buffered:
            node.handle_event(component_name(message), MessageReceived(sender, message))
        for component in node.components:
            self._ticks.pop((id(node), component), None)
            node.handle_event(component, Tick())

    def isolate(self, indexes: Iterable[int]) -> None:
        inside = {self.records[index].node for index in indexes}
        self.link_is_cut = lambda one, other: (one.record.node in inside) != (other.record.node in inside)

    def heal(self) -> None:
        self.link_is_cut = lambda one, other: False

    # --- checks ---

    def all_have_status(self, index: int, status: NodeStatus | None) -> bool:
        node = self.records[index].node
        others = (each for each in self.nodes.values() if each.record.node != node and not each.paused)
        return all(each.status_of(node) is status for each in others)

    def dead_to_all_others(self, isolated: list[int]) -> list[bool]:
        """Return for each isolated node whether every other node lists it as dead."""
        names = [self.records[index].node for index in isolated]
        outside = [node for name, node in self.nodes.items() if name not in names]
        return [all(node.status_of(name) is NodeStatus.DEAD for node in outside) for name in names]

    def all_alive(self) -> bool:
        names = self.nodes.keys()
        return all(each.status_of(name) is NodeStatus.ALIVE for each in self.nodes.values() for name in names)

    def logged_deaths(self) -> list[str]:
        """Return the nodes that any node has logged as dead so far, once per log line."""
        log_lines = (line for node in self.nodes.values() for _, line in node.log_lines)
        return [
            line.fields["node"] for line in log_lines if line.fields.get("status") == NodeStatus.DEAD.value
        ]

    def reset_counts(self) -> None:
        self.bytes_sent.clear()
        self.messages_sent.clear()


class VirtualEngine:
    """An engine that sends a heartbeat to a node each second, or to the next node that runs."""

    def __init__(self, network: Network, index: int, at_node: int, incarnation: int = 1) -> None:
        self.network = network
        self.at_node = at_node
        self.sends_heartbeats = True
        self.record = EngineRecord(
            engine=EngineId(f"engine-{index:04d}"),
            service=ServiceName("text"),
            version=VersionName("v1"),
            address=Address(f"10.9.{index // 250}.{index % 250}:9000"),
            capacity=8,
            incarnation=incarnation,
        )

    def start(self, delay_s: float = 0.0) -> None:
        self.network.at(self.network.now + delay_s, self._announce)

    def send_event(self, event: Event) -> None:
        """Deliver an event to the engine's node, or to the next node that runs."""
        count = len(self.network.records)
        for step in range(count):
            node = self.network.nodes.get(self.network.records[(self.at_node + step) % count].node)
            if node is not None and not node.paused:
                node.handle_event("directory", event)
                return

    def _announce(self) -> None:
        self.send_event(EngineAnnounced(self.record))
        self.network.at(self.network.now + 1.0, self._send_heartbeat)

    def _send_heartbeat(self) -> None:
        if self.sends_heartbeats:
            load = EngineLoad(self.record.engine, running=1, queued=0)
            self.send_event(EngineHeartbeat(self.record, load))
        self.network.at(self.network.now + self.network.random.uniform(0.95, 1.05), self._send_heartbeat)
