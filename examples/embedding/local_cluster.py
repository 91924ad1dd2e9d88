"""The example's driver: members in one process, a queue for a network, virtual time, disks in memory.

A program of its own would put sockets, a monotonic clock and threads for the disk in its place; the
members stay as they are.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

from member import Member, Outside, PutText

from springmux.coordination.identifiers import Address, NodeId
from springmux.coordination.state_machine import Event, MessageReceived, PeerMessage, Tick
from springmux.storage.memory_disk import MemoryDisk

LATENCY_S = 0.002
SYNC_S = 0.003


class NotReached(Exception):
    """What was waited for did not happen in time."""


class LocalCluster(Outside):
    """Runs members; everything follows from ``seed``."""

    def __init__(self, seed: int, names: tuple[str, ...]) -> None:
        self.now = 0.0
        self.members: dict[NodeId, Member] = {}
        self._addresses = {NodeId(name): Address(f"10.0.0.{i}:7000") for i, name in enumerate(names, 1)}
        self._disks = {node: MemoryDisk() for node in self._addresses}
        self._random = random.Random(seed)
        self._order = itertools.count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._ticks: dict[NodeId, float] = {}
        for node in self._addresses:
            self.start(node)

    # Machines

    def start(self, node: NodeId) -> None:
        """Start a member on its disk."""
        seeds = tuple(self._addresses.values())
        seed = self._random.getrandbits(32)
        self.members[node] = Member(node, self._addresses[node], seeds, self._disks[node], seed, self)
        self._give(node, Tick())

    def power_cut(self, node: NodeId) -> None:
        """Stop a member at once; its disk keeps what was synced."""
        del self.members[node]
        self._ticks.pop(node, None)
        self._disks[node].power_cut(self._random)

    # What the program around it would do

    def leader(self) -> Member | None:
        """Return the member that leads."""
        return next((member for member in self.members.values() if member.leading), None)

    def await_leader(self, limit_s: float = 10.0) -> Member:
        """Run until a member leads."""
        self.run_until(lambda: self.leader() is not None, limit_s)
        leader = self.leader()
        if leader is None:
            raise NotReached("no member leads")
        return leader

    def put(self, name: str, text: str, limit_s: float = 10.0) -> None:
        """Have the leader agree on a text with the others; returns once it is acknowledged."""
        leader = self.await_leader(limit_s)
        correlation_id = f"put-{next(self._order)}"
        leader.propose(correlation_id, PutText(name, text), self.now)
        self._plan_tick(leader.node)
        self.run_until(
            lambda: correlation_id in leader.committed or correlation_id in leader.dropped, limit_s
        )
        if correlation_id in leader.dropped:
            raise NotReached(leader.dropped[correlation_id].reason)

    def run_until(self, done: Callable[[], bool], limit_s: float) -> None:
        """Let time pass until ``done``.

        :raises NotReached: it wasn't within ``limit_s`` of virtual time.
        """
        end = self.now + limit_s
        while not done():
            if not self._queue or self._queue[0][0] > end:
                raise NotReached(f"not within {limit_s} s of virtual time")
            self.now, _, action = heapq.heappop(self._queue)
            action()

    # Network and clock

    def send(self, source: NodeId, to: NodeId, message: PeerMessage) -> None:
        """Deliver a message after the latency."""
        self._later(LATENCY_S, lambda: self._give(to, MessageReceived(source, message)))

    def send_to_address(self, source: NodeId, address: Address, message: PeerMessage) -> None:
        """Deliver a message to whoever listens at an address."""
        for node, own in self._addresses.items():
            if own == address:
                self.send(source, node, message)

    def written(self, node: NodeId, event: Event) -> None:
        """Report a write after the time of a sync, unless the member was stopped meanwhile."""
        writer = self.members.get(node)
        self._later(SYNC_S, lambda: self._give(node, event) if self.members.get(node) is writer else None)

    def _later(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (self.now + delay_s, next(self._order), action))

    def _give(self, node: NodeId, event: Event) -> None:
        member = self.members.get(node)
        if member is not None:
            member.handle(event, self.now)
            self._plan_tick(node)

    def _plan_tick(self, node: NodeId) -> None:
        due = max(self.members[node].next_deadline(), self.now)
        if due < self._ticks.get(node, float("inf")):
            self._ticks[node] = due
            self._later(due - self.now, lambda: self._tick(node, due))

    def _tick(self, node: NodeId, due: float) -> None:
        if self._ticks.get(node) == due:
            del self._ticks[node]
            self._give(node, Tick())
