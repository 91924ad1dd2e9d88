"""A small fleet of delivery parts in virtual time, with delays, losses, cuts and kills from one seed."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

import msgspec

from springmux.control.delivery.effects import (
    ApplyCommands,
    ConfirmLeaderRevision,
    ProvideSnapshot,
    ReplaceState,
)
from springmux.control.delivery.events import (
    CommandsCommitted,
    ConfirmedRevision,
    MembershipChanged,
    PeerRevisionObserved,
    SnapshotProvided,
)
from springmux.control.delivery.settings import DeliverySettings
from springmux.control.delivery.state_delivery import StateDelivery
from springmux.control.events import LeadershipKnown
from springmux.control.state import ControlState
from springmux.coordination.consensus.types import Entry, EntryKind
from springmux.coordination.identifiers import Address, LogIndex, NodeId, ReplicaId, Term, ZoneName
from springmux.coordination.membership.view import MembershipView, NodeRecord, NodeStatus
from springmux.coordination.state_machine import Effect, Event, MessageReceived, PeerMessage, Send, Tick

LEADER = NodeId("n00")
FRAME_BYTES = 200
"""Envelope and packet headers of a message, roughly."""
TERM = Term(3)


def member(name: str, zone: str, status: NodeStatus = NodeStatus.ALIVE, replica: bool = False) -> NodeRecord:
    nowhere = Address("127.0.0.1:1")
    replica_id = ReplicaId(f"r-{name}") if replica else None
    return NodeRecord(
        NodeId(name), ZoneName(zone), nowhere, nowhere, nowhere, replica=replica_id, status=status
    )


def view_of(own: str, records: list[NodeRecord]) -> MembershipView:
    return MembershipView(NodeId(own), {record.node: record for record in records})


class Node:
    """One process: a delivery part and the state that it feeds."""

    def __init__(self, name: NodeId, seed: int, settings: DeliverySettings) -> None:
        self.name = name
        self.part = StateDelivery(name, random.Random(f"{seed}/{name}"), settings)
        self.state = ControlState()
        self.revisions = [0]
        self.replaced = 0


class Fleet:
    """Nodes n00, n01, ... over zones by turns; n00 leads and holds the log."""

    def __init__(
        self,
        count: int,
        zones: int = 3,
        seed: int = 1,
        settings: DeliverySettings | None = None,
        controllers: int = 0,
    ) -> None:
        self.rng = random.Random(seed)
        self.settings = settings or DeliverySettings()
        self.seed = seed
        self.now = 0.0
        self.loss = 0.0
        self.down: set[NodeId] = set()
        self.sent: list[tuple[NodeId, NodeId, PeerMessage]] = []
        self.log: list[Entry] = []
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0
        self.records = [member(f"n{i:02}", f"z{i % zones}", replica=i < controllers) for i in range(count)]
        self.links: dict[NodeId, float] = {}
        """Bytes a second that a node's link carries each way; without an entry any number."""
        self._link_free_at: dict[tuple[NodeId, str], float] = {}
        self.nodes: dict[NodeId, Node] = {}
        for record in self.records:
            self.start(record.node)

    def start(self, name: NodeId) -> Node:
        """Start a process with nothing on disk (again)."""
        node = Node(name, self.seed, self.settings)
        self.nodes[name] = node
        self.down.discard(name)
        self.give(node, MembershipChanged(view_of(name, self.records)))
        if name == LEADER:
            self.give(node, CommandsCommitted(tuple(self.log)))
        self.give(node, LeadershipKnown(TERM, LEADER, leading=name == LEADER))
        self._later(self.rng.uniform(0, 0.2), lambda: self._gossip(node))
        return node

    def commit(self, *commands: bytes) -> None:
        """Commit commands at the leader, a barrier or members entry between them."""
        entries = []
        for data in commands:
            index = len(self.log) + 1
            if self.rng.random() < 0.3:
                entries.append(Entry(LogIndex(index), TERM, EntryKind.BARRIER, b""))
                self.log.append(entries[-1])
                index += 1
            entries.append(Entry(LogIndex(index), TERM, EntryKind.COMMAND, data))
            self.log.append(entries[-1])
        self.give(self.nodes[LEADER], CommandsCommitted(tuple(entries)))

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = until

    def behind(self) -> list[NodeId]:
        """Return running nodes whose state differs from the leader's."""
        newest = self.nodes[LEADER].state.snapshot()
        return [
            n.name for n in self.nodes.values() if n.name not in self.down and n.state.snapshot() != newest
        ]

    def give(self, node: Node, event: Event) -> None:
        if self.nodes.get(node.name) is not node or node.name in self.down:
            return
        for effect in node.part.handle(event, self.now):
            self._do(node, effect)
        deadline = node.part.next_deadline()
        if deadline != float("inf"):
            self._later(max(0.0, deadline - self.now), lambda: self._tick(node, deadline))

    def _tick(self, node: Node, deadline: float) -> None:
        if node.part.next_deadline() <= self.now:
            self.give(node, Tick())

    def _do(self, node: Node, effect: Effect) -> None:
        match effect:
            case Send(to=to, message=message):
                self._send(node, to, message)
            case ApplyCommands(commands=commands):
                for command in commands:
                    assert command.previous_index == node.state.view().revision
                    assert node.state.apply(command.index, command.data) is not None
                    node.revisions.append(command.index)
            case ReplaceState(snapshot=snapshot, revision=revision):
                assert revision > node.state.view().revision
                node.state.restore(snapshot)
                node.replaced += 1
                node.revisions.append(revision)
            case ProvideSnapshot():
                view = node.state.view()
                provided = SnapshotProvided(view.revision, node.state.snapshot())
                self._later(0.02, lambda: self.give(node, provided))
            case ConfirmLeaderRevision(correlation_id=correlation_id):
                confirmed = ConfirmedRevision(correlation_id, LogIndex(len(self.log)))
                self._later(0.01, lambda: self.give(node, confirmed))
        assert node.part.revision >= node.state.view().revision

    def _send(self, node: Node, to: NodeId, message: PeerMessage) -> None:
        self.sent.append((node.name, to, message))
        revision = node.part.revision
        if self.rng.random() < self.loss:
            return

        def arrive() -> None:
            if node.name in self.down or to in self.down:
                return
            target = self.nodes[to]
            self.give(target, PeerRevisionObserved(node.name, TERM, revision))
            self.give(target, MessageReceived(node.name, message))

        for _ in range(2 if self.rng.random() < self.loss / 2 else 1):
            self._later(self._transfer_s(node.name, to, message) + self.rng.uniform(0.001, 0.03), arrive)

    def _transfer_s(self, sender: NodeId, to: NodeId, message: PeerMessage) -> float:
        """Return how long the message takes over both ends' links, behind what they carry already."""
        if not self.links:
            return 0.0
        size_bytes = len(msgspec.msgpack.encode(message)) + FRAME_BYTES
        at = self.now
        for node, way in ((sender, "out"), (to, "in")):
            at = max(at, self._link_free_at.get((node, way), 0.0))
            at += size_bytes / self.links.get(node, float("inf"))
            self._link_free_at[node, way] = at
        return at - self.now

    def _gossip(self, node: Node) -> None:
        """Some other part's message carries the revision in its envelope, to one node at a time."""
        if self.nodes.get(node.name) is not node:
            return
        to = self.rng.choice([record.node for record in self.records])
        if node.name not in self.down and to not in self.down and self.rng.random() >= self.loss:
            heard = PeerRevisionObserved(node.name, TERM, node.part.revision)
            self.give(self.nodes[to], heard)
        self._later(0.2, lambda: self._gossip(node))

    def _later(self, delay_s: float, action: Callable[[], None]) -> None:
        self._number += 1
        heapq.heappush(self._queue, (self.now + delay_s, self._number, action))
