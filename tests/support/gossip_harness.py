"""A small virtual network for the gossip parts: virtual time, loss, cuts, freezes, restarts, counts."""

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

PART_OF_PREFIX = {"Member": "membership", "Contact": "contact", "Directory": "directory"}


def part_name(message: PeerMessage) -> str:
    name = message_name(type(message))
    return next(part for prefix, part in PART_OF_PREFIX.items() if name.startswith(prefix))


def record_of(index: int, zones: int, address: str = "") -> NodeRecord:
    port = address or f"10.0.{index // 250}.{index % 250}"
    return NodeRecord(
        node=NodeId(f"node-{index:03d}"),
        zone=ZoneName(f"zone-{index % zones}"),
        peer_address=Address(f"{port}:7000"),
        client_address=Address(f"{port}:8080"),
        admin_address=Address(f"{port}:8081"),
    )


class VirtualNode:
    """The parts of one node, driven by the network's clock."""

    def __init__(self, network: Network, record: NodeRecord, parts: dict[str, object]) -> None:
        self.network = network
        self.record = record
        self.parts = parts
        self.frozen = False
        self.waiting: list[tuple[NodeId, PeerMessage]] = []
        self.notes: list[tuple[float, LogLine]] = []
        self.engines: EnginesView | None = None

    @property
    def membership(self) -> Membership:
        return self.parts["membership"]  # type: ignore[return-value]

    @property
    def contact(self) -> ContactMonitor:
        return self.parts["contact"]  # type: ignore[return-value]

    def give(self, part: str, event: Event) -> None:
        for effect in self.parts[part].handle(event, self.network.now):  # type: ignore[attr-defined]
            self.carry_out(effect)
        self.network.schedule_tick(self, part)

    def carry_out(self, effect: Effect) -> None:
        if isinstance(effect, Send):
            self.network.send(self, effect.to, effect.message)
        elif isinstance(effect, SendToAddress):
            self.network.send_to_address(self, effect.address, effect.message)
        elif isinstance(effect, LogLine):
            self.notes.append((self.network.now, effect))
        elif isinstance(effect, EnginesChanged):
            self.engines = effect.view
        elif isinstance(effect, MembershipChanged):
            for name in self.parts:
                if name != "membership":
                    self.give(name, MembershipUpdated(effect.view))

    def status_of(self, node: NodeId) -> NodeStatus | None:
        record = self.membership.view.nodes.get(node)
        return record.status if record else None

    def engine_status(self, engine: EngineId) -> EngineStatus | None:
        record = self.engines.engines.get(engine) if self.engines else None
        return record.status if record else None

    def connected(self) -> bool:
        return self.contact.connected(self.network.now)


class Network:
    """Nodes, links and the virtual clock; everything follows from ``seed``."""

    def __init__(self, nodes: int, zones: int, seed: int, loss: float = 0.0) -> None:
        self.now = 100.0
        self.random = random.Random(seed)
        self.loss = loss
        self.cut: Callable[[VirtualNode, VirtualNode], bool] = lambda one, other: False
        self.nodes: dict[NodeId, VirtualNode] = {}
        self.bytes_sent: Counter[str] = Counter()
        self.messages_sent: Counter[str] = Counter()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._ticks: dict[tuple[int, str], float] = {}
        self._order = itertools.count()
        self.zones = zones
        self.with_directory = False
        self.records = [record_of(index, zones) for index in range(nodes)]
        self.seeds = tuple(record.peer_address for record in self.records[:3])

    def start(self, records: Iterable[NodeRecord] | None = None) -> None:
        for record in records or self.records:
            source = random.Random(self.random.random())
            parts: dict[str, object] = {
                "membership": Membership(record, self.seeds, source),
                "contact": ContactMonitor(record.node, True, source),
            }
            if self.with_directory:
                parts["directory"] = EngineDirectory(record.node, source)
            node = VirtualNode(self, record, parts)
            self.nodes[record.node] = node
            for part in parts:
                self.at(self.now + self.random.random() * 0.5, lambda n=node, p=part: self._tick(n, p))

    def at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (when, next(self._order), action))

    def run(self, duration_s: float) -> None:
        end = self.now + duration_s
        while self._queue and self._queue[0][0] <= end:
            when, _, action = heapq.heappop(self._queue)
            self.now = max(self.now, when)
            action()
        self.now = end

    def run_until(self, true: Callable[[], bool], limit_s: float, step_s: float = 0.1) -> float:
        """Run until ``true()``; return the time it took, infinite if it took longer than ``limit_s``."""
        begun = self.now
        while not true():
            if self.now - begun > limit_s:
                return float("inf")
            self.run(step_s)
        return self.now - begun

    def schedule_tick(self, node: VirtualNode, part: str) -> None:
        deadline = node.parts[part].next_deadline()  # type: ignore[attr-defined]
        key = (id(node), part)
        if deadline == float("inf") or self._ticks.get(key, float("inf")) <= deadline:
            return
        self._ticks[key] = deadline
        self.at(max(deadline, self.now), lambda: self._tick(node, part, deadline))

    def _tick(self, node: VirtualNode, part: str, planned: float | None = None) -> None:
        key = (id(node), part)
        if node.frozen or self.nodes.get(node.record.node) is not node:
            return
        if planned is not None and self._ticks.get(key) != planned:
            return
        self._ticks.pop(key, None)
        node.give(part, Tick())

    def send(self, sender: VirtualNode, to: NodeId, message: PeerMessage) -> None:
        part = part_name(message)
        self.bytes_sent[part] += len(msgspec.msgpack.encode(message))
        self.messages_sent[part] += 1
        self._deliver_later(sender, self.nodes.get(to), message)

    def send_to_address(self, sender: VirtualNode, address: Address, message: PeerMessage) -> None:
        found = (node for node in self.nodes.values() if node.record.peer_address == address)
        self._deliver_later(sender, next(found, None), message)

    def _deliver_later(self, sender: VirtualNode, target: VirtualNode | None, message: PeerMessage) -> None:
        if target is None or self.random.random() < self.loss or self.cut(sender, target):
            return
        delay = self.random.uniform(0.001, 0.01)
        self.at(self.now + delay, lambda: self._deliver(sender.record.node, target, message))

    def _deliver(self, sender: NodeId, target: VirtualNode, message: PeerMessage) -> None:
        if self.nodes.get(target.record.node) is not target:
            return
        if target.frozen:
            target.waiting.append((sender, message))
            return
        target.give(part_name(message), MessageReceived(sender, message))

    # --- faults ---

    def node(self, index: int) -> VirtualNode:
        return self.nodes[self.records[index].node]

    def kill(self, index: int) -> None:
        del self.nodes[self.records[index].node]

    def freeze(self, index: int) -> None:
        self.node(index).frozen = True

    def thaw(self, index: int) -> None:
        """Wake a frozen node: first what waited in its buffers, then its overdue ticks."""
        node = self.node(index)
        node.frozen = False
        waiting, node.waiting = node.waiting, []
        for sender, message in waiting:
            node.give(part_name(message), MessageReceived(sender, message))
        for part in node.parts:
            self._ticks.pop((id(node), part), None)
            node.give(part, Tick())

    def cut_off(self, indexes: Iterable[int]) -> None:
        inside = {self.records[index].node for index in indexes}
        self.cut = lambda one, other: (one.record.node in inside) != (other.record.node in inside)

    def heal(self) -> None:
        self.cut = lambda one, other: False

    # --- verdicts ---

    def all_see(self, index: int, status: NodeStatus | None) -> bool:
        node = self.records[index].node
        others = (each for each in self.nodes.values() if each.record.node != node and not each.frozen)
        return all(each.status_of(node) is status for each in others)

    def all_see_from_outside(self, cut: list[int]) -> list[bool]:
        """Tell for each cut-off node whether every node outside the cut holds it as dead."""
        names = [self.records[index].node for index in cut]
        outside = [node for name, node in self.nodes.items() if name not in names]
        return [all(node.status_of(name) is NodeStatus.DEAD for node in outside) for name in names]

    def all_alive(self) -> bool:
        names = self.nodes.keys()
        return all(each.status_of(name) is NodeStatus.ALIVE for each in self.nodes.values() for name in names)

    def deaths_noted(self) -> list[str]:
        """Return the nodes that anyone declared or believed dead so far."""
        notes = (note for node in self.nodes.values() for _, note in node.notes)
        return [n.fields["node"] for n in notes if n.fields.get("status") == NodeStatus.DEAD.value]

    def reset_counts(self) -> None:
        self.bytes_sent.clear()
        self.messages_sent.clear()


class VirtualEngine:
    """A back end that heartbeats once a second at a node, and at the next node if that one is gone."""

    def __init__(self, network: Network, index: int, at_node: int, incarnation: int = 1) -> None:
        self.network = network
        self.at_node = at_node
        self.speaks = True
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

    def tell(self, event: Event) -> None:
        """Give an event to the engine's node, or the next that answers."""
        count = len(self.network.records)
        for step in range(count):
            node = self.network.nodes.get(self.network.records[(self.at_node + step) % count].node)
            if node is not None and not node.frozen:
                node.give("directory", event)
                return

    def _announce(self) -> None:
        self.tell(EngineAnnounced(self.record))
        self.network.at(self.network.now + 1.0, self._beat)

    def _beat(self) -> None:
        if self.speaks:
            load = EngineLoad(self.record.engine, running=1, queued=0)
            self.tell(EngineHeartbeat(self.record, load))
        self.network.at(self.network.now + self.network.random.uniform(0.95, 1.05), self._beat)
