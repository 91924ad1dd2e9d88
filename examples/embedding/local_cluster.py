"""The example's driver: members in one process, a queue as the network, virtual time, in-memory disks.

A real program replaces it with sockets, a monotonic clock and a thread for the disk; ``member.py`` stays as
it is.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

from member import Driver, Member, PutText

from springmux.coordination.identifiers import Address, NodeId
from springmux.coordination.state_machine import Event, MessageReceived, PeerMessage, Tick
from springmux.storage.memory_disk import MemoryDisk

LATENCY_S = 0.002
SYNC_TIME_S = 0.003


class ClusterError(Exception):
    """The cluster did not do what was requested."""


class NoLeaderError(ClusterError):
    """No member is the leader."""

    def __init__(self) -> None:
        super().__init__("no member is the leader")


class TimeLimitExceededError(ClusterError):
    """A condition was not met within ``limit_s`` of virtual time."""

    def __init__(self, limit_s: float) -> None:
        super().__init__(f"condition not met within {limit_s} s of virtual time")
        self.limit_s = limit_s


class CommandDroppedError(ClusterError):
    """The leader dropped a command because of ``reason``; the command may still be committed."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class LocalCluster(Driver):
    """Runs members with a virtual clock; the same ``seed`` gives the same run."""

    def __init__(self, seed: int, names: tuple[str, ...]) -> None:
        self.now = 0.0
        self.members: dict[NodeId, Member] = {}
        self._addresses = {
            NodeId(name): Address(f"10.0.0.{number}:7000") for number, name in enumerate(names, 1)
        }
        self._disks = {node: MemoryDisk() for node in self._addresses}
        self._random = random.Random(seed)
        self._sequence = itertools.count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._tick_due: dict[NodeId, float] = {}
        for node in self._addresses:
            self.start(node)

    # Machines

    def start(self, node: NodeId) -> None:
        """Start a member with the contents of its disk."""
        seed_addresses = tuple(self._addresses.values())
        seed = self._random.getrandbits(32)
        self.members[node] = Member(
            node, self._addresses[node], seed_addresses, self._disks[node], seed, self
        )
        self._deliver(node, Tick())

    def power_cut(self, node: NodeId) -> None:
        """Stop a member without warning; its disk keeps only synced data."""
        del self.members[node]
        self._tick_due.pop(node, None)
        self._disks[node].power_cut(self._random)

    # Clients of the replicated map

    def leader(self) -> Member | None:
        """Return the member that leads, ``None`` if none does."""
        return next((member for member in self.members.values() if member.leading), None)

    def await_leader(self, limit_s: float = 10.0) -> Member:
        """Run until a member leads, and return it.

        :raises ClusterError: if none does within ``limit_s`` of virtual time.
        """
        self.run_until(lambda: self.leader() is not None, limit_s)
        leader = self.leader()
        if leader is None:
            raise NoLeaderError
        return leader

    def put(self, name: str, text: str, limit_s: float = 10.0) -> None:
        """Store a text through the leader; return once it is committed.

        :raises ClusterError: if it isn't committed within ``limit_s`` of virtual time, or was dropped.
        """
        leader = self.await_leader(limit_s)
        correlation_id = f"put-{next(self._sequence)}"
        leader.propose(correlation_id, PutText(name, text), self.now)
        self._schedule_tick(leader.node)
        self.run_until(
            lambda: correlation_id in leader.committed or correlation_id in leader.dropped, limit_s
        )
        if correlation_id in leader.dropped:
            raise CommandDroppedError(leader.dropped[correlation_id].reason)

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> None:
        """Run queued actions until ``condition`` holds.

        :raises TimeLimitExceededError: if it doesn't within ``limit_s`` of virtual time.
        """
        end = self.now + limit_s
        while not condition():
            if not self._queue or self._queue[0][0] > end:
                raise TimeLimitExceededError(limit_s)
            self.now, _, action = heapq.heappop(self._queue)
            action()

    # Network, disk and clock

    def send(self, source: NodeId, to: NodeId, message: PeerMessage) -> None:
        """Deliver a message after the latency."""
        self._schedule(LATENCY_S, lambda: self._deliver(to, MessageReceived(source, message)))

    def send_to_address(self, source: NodeId, address: Address, message: PeerMessage) -> None:
        """Deliver a message to the node that listens at an address."""
        for node, own_address in self._addresses.items():
            if own_address == address:
                self.send(source, node, message)

    def deliver_after_write(self, node: NodeId, event: Event) -> None:
        """Deliver ``event`` after the duration of a sync, unless the member was stopped in the meantime."""
        writer = self.members.get(node)

        def deliver() -> None:
            if self.members.get(node) is writer:
                self._deliver(node, event)

        self._schedule(SYNC_TIME_S, deliver)

    def _schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (self.now + delay_s, next(self._sequence), action))

    def _deliver(self, node: NodeId, event: Event) -> None:
        member = self.members.get(node)
        if member is not None:
            member.handle(event, self.now)
            self._schedule_tick(node)

    def _schedule_tick(self, node: NodeId) -> None:
        """Schedule a tick at the member's next deadline, unless an earlier one is scheduled."""
        due = max(self.members[node].next_deadline(), self.now)
        if due < self._tick_due.get(node, float("inf")):
            self._tick_due[node] = due
            self._schedule(due - self.now, lambda: self._tick(node, due))

    def _tick(self, node: NodeId, due: float) -> None:
        # An earlier tick, or a restart of the member, has replaced this one if the times differ.
        if self._tick_due.get(node) == due:
            del self._tick_due[node]
            self._deliver(node, Tick())
