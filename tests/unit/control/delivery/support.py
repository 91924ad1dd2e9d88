"""Simulates state delivery of a small fleet in virtual time.

Delays, message losses, disconnections and kills all derive from one seed.
"""

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
"""Approximate size of a message's envelope and packet headers."""
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
    """One process: its state delivery and its control state."""

    def __init__(self, name: NodeId, seed: int, settings: DeliverySettings) -> None:
        self.name = name
        self.delivery = StateDelivery(name, random.Random(f"{seed}/{name}"), settings)
        self.state = ControlState()
        self.revisions = [0]
        self.replacement_count = 0


class Fleet:
    """Nodes n00, n01, ... distributed over zones in turn. n00 leads and holds the log.

    ``loss`` is the fraction of messages that are lost.
    """

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
        self._sequence = 0
        self.records = [member(f"n{i:02}", f"z{i % zones}", replica=i < controllers) for i in range(count)]
        self.links: dict[NodeId, float] = {}
        """Bytes per second that a node's link carries in each direction; unlimited without an entry."""
        self._link_free_at: dict[tuple[NodeId, str], float] = {}
        self.nodes: dict[NodeId, Node] = {}
        for record in self.records:
            self.start(record.node)

    def start(self, name: NodeId) -> Node:
        """Start or restart a node's process, with nothing on disk."""
        node = Node(name, self.seed, self.settings)
        self.nodes[name] = node
        self.down.discard(name)
        self.handle_event(node, MembershipChanged(view_of(name, self.records)))
        if name == LEADER:
            self.handle_event(node, CommandsCommitted(tuple(self.log)))
        self.handle_event(node, LeadershipKnown(TERM, LEADER, leading=name == LEADER))
        self._schedule(self.rng.uniform(0, 0.2), lambda: self._send_revision(node))
        return node

    def commit(self, *commands: bytes) -> None:
        """Commit commands at the leader, with barrier entries between some of them."""
        entries = []
        for data in commands:
            index = len(self.log) + 1
            if self.rng.random() < 0.3:
                entries.append(Entry(LogIndex(index), TERM, EntryKind.BARRIER, b""))
                self.log.append(entries[-1])
                index += 1
            entries.append(Entry(LogIndex(index), TERM, EntryKind.COMMAND, data))
            self.log.append(entries[-1])
        self.handle_event(self.nodes[LEADER], CommandsCommitted(tuple(entries)))

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = until

    def behind(self) -> list[NodeId]:
        """Return the running nodes whose state differs from the leader's."""
        newest = self.nodes[LEADER].state.snapshot()
        return [
            n.name for n in self.nodes.values() if n.name not in self.down and n.state.snapshot() != newest
        ]

    def handle_event(self, node: Node, event: Event) -> None:
        if self.nodes.get(node.name) is not node or node.name in self.down:
            return
        for effect in node.delivery.handle(event, self.now):
            self._execute(node, effect)
        deadline = node.delivery.next_deadline()
        if deadline != float("inf"):
            self._schedule(max(0.0, deadline - self.now), lambda: self._tick(node, deadline))

    def _tick(self, node: Node, deadline: float) -> None:
        if node.delivery.next_deadline() <= self.now:
            self.handle_event(node, Tick())

    def _execute(self, node: Node, effect: Effect) -> None:
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
                node.replacement_count += 1
                node.revisions.append(revision)
            case ProvideSnapshot():
                view = node.state.view()
                snapshot_provided = SnapshotProvided(view.revision, node.state.snapshot())
                self._schedule(0.02, lambda: self.handle_event(node, snapshot_provided))
            case ConfirmLeaderRevision(correlation_id=correlation_id):
                confirmed = ConfirmedRevision(correlation_id, LogIndex(len(self.log)))
                self._schedule(0.01, lambda: self.handle_event(node, confirmed))
        assert node.delivery.revision >= node.state.view().revision

    def _send(self, node: Node, to: NodeId, message: PeerMessage) -> None:
        self.sent.append((node.name, to, message))
        revision = node.delivery.revision
        if self.rng.random() < self.loss:
            return

        def arrive() -> None:
            if node.name in self.down or to in self.down:
                return
            target = self.nodes[to]
            self.handle_event(target, PeerRevisionObserved(node.name, TERM, revision))
            self.handle_event(target, MessageReceived(node.name, message))

        for _ in range(2 if self.rng.random() < self.loss / 2 else 1):
            self._schedule(self._transfer_s(node.name, to, message) + self.rng.uniform(0.001, 0.03), arrive)

    def _transfer_s(self, sender: NodeId, to: NodeId, message: PeerMessage) -> float:
        """Return how long the message takes over both nodes' links, after the messages queued there."""
        if not self.links:
            return 0.0
        size_bytes = len(msgspec.msgpack.encode(message)) + FRAME_BYTES
        at = self.now
        for node, direction in ((sender, "out"), (to, "in")):
            at = max(at, self._link_free_at.get((node, direction), 0.0))
            at += size_bytes / self.links.get(node, float("inf"))
            self._link_free_at[node, direction] = at
        return at - self.now

    def _send_revision(self, node: Node) -> None:
        """Report the node's revision to a random node, as the envelope of some other message would."""
        if self.nodes.get(node.name) is not node:
            return
        to = self.rng.choice([record.node for record in self.records])
        if node.name not in self.down and to not in self.down and self.rng.random() >= self.loss:
            observed = PeerRevisionObserved(node.name, TERM, node.delivery.revision)
            self.handle_event(self.nodes[to], observed)
        self._schedule(0.2, lambda: self._send_revision(node))

    def _schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (self.now + delay_s, self._sequence, action))
