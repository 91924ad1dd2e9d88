"""Network model: latency per zone pair, loss, duplication, reordering, partitions and counters."""

from __future__ import annotations

import random
from collections import Counter

import msgspec

from springmux.coordination.identifiers import NodeId, ZoneName
from springmux.coordination.state_machine import PeerMessage, message_name


class Latency(msgspec.Struct, frozen=True):
    """One-way delay: ``base_s`` plus an exponentially distributed part with mean ``jitter_s``.

    The jitter is drawn for each message independently, so messages may be reordered.
    """

    base_s: float = 0.0005
    jitter_s: float = 0.0003


class ZoneLink(msgspec.Struct, frozen=True):
    """Latency from one zone to another, where it differs from the default."""

    source: ZoneName
    target: ZoneName
    latency: Latency


class NetworkSettings(msgspec.Struct, frozen=True):
    """Settings of the network; probabilities apply to each message."""

    within_zone: Latency = Latency()
    between_zones: Latency = Latency(0.002, 0.001)
    links: tuple[ZoneLink, ...] = ()
    loss: float = 0.0
    duplication: float = 0.0
    reordering: float = 0.0
    reordering_delay_s: float = 0.05
    """Maximum additional delay of a reordered message, in seconds."""
    bytes_per_s: float = 0.0
    """Outgoing bandwidth of each node; 0 means unlimited. Requires ``count_bytes``."""
    count_bytes: bool = False
    """Whether to encode each message with msgspec to count its bytes, which makes runs slower."""


class NetworkCounters:
    """Counters of sent messages and bytes by node and type, and of lost and duplicated messages."""

    def __init__(self) -> None:
        self.messages: Counter[tuple[NodeId, str]] = Counter()
        self.bytes: Counter[tuple[NodeId, str]] = Counter()
        self.lost = 0
        self.partitioned = 0
        self.duplicated = 0

    def messages_of(self, node: NodeId) -> int:
        """Return the number of messages that a node sent."""
        return sum(count for (sender, _), count in self.messages.items() if sender == node)

    def bytes_of(self, node: NodeId) -> int:
        """Return the number of bytes that a node sent; 0 unless ``count_bytes`` is set."""
        return sum(count for (sender, _), count in self.bytes.items() if sender == node)

    def bytes_by_type(self) -> dict[str, int]:
        """Return the bytes sent by all nodes, by message type."""
        return _by_type(self.bytes)


class Partitions:
    """Directed partitions between nodes. They are counted: each one must be healed separately."""

    def __init__(self) -> None:
        self._pairs: Counter[tuple[NodeId, NodeId]] = Counter()
        self._out: Counter[NodeId] = Counter()
        self._into: Counter[NodeId] = Counter()
        self._zone_out: Counter[ZoneName] = Counter()
        self._zone_into: Counter[ZoneName] = Counter()

    def partition_pair(self, source: NodeId, target: NodeId, change: int = 1) -> None:
        """Partition one direction between two nodes, or heal it with ``change`` -1."""
        self._pairs[(source, target)] += change

    def partition_node(self, node: NodeId, outward: bool, inward: bool, change: int = 1) -> None:
        """Partition a node from all others, in one direction or both."""
        self._out[node] += change * outward
        self._into[node] += change * inward

    def partition_zone(self, zone: ZoneName, outward: bool, inward: bool, change: int = 1) -> None:
        """Partition a zone from all others, in one direction or both; traffic within it continues."""
        self._zone_out[zone] += change * outward
        self._zone_into[zone] += change * inward

    def heal_all(self) -> None:
        """Heal every partition."""
        for counter in (self._pairs, self._out, self._into, self._zone_out, self._zone_into):
            counter.clear()

    def separates(self, source: NodeId, source_zone: ZoneName, target: NodeId, target_zone: ZoneName) -> bool:
        """Return whether messages from ``source`` to ``target`` are dropped now."""
        if self._out.get(source, 0) > 0 or self._into.get(target, 0) > 0:
            return True
        if self._pairs and self._pairs.get((source, target), 0) > 0:
            return True
        if source_zone == target_zone:
            return False
        return self._zone_out.get(source_zone, 0) > 0 or self._zone_into.get(target_zone, 0) > 0


class Network:
    """Determines the arrival times of each message: none if it is lost, two if it is duplicated."""

    def __init__(self, settings: NetworkSettings, random: random.Random) -> None:
        self.settings = settings
        self.partitions = Partitions()
        self.counters = NetworkCounters()
        self._random = random
        self._zones: dict[NodeId, ZoneName] = {}
        self._links = {(link.source, link.target): link.latency for link in settings.links}
        self._encoder = msgspec.msgpack.Encoder()
        self._busy_until: dict[NodeId, float] = {}

    def place(self, node: NodeId, zone: ZoneName) -> None:
        """Set the zone of a node."""
        self._zones[node] = zone

    def is_partitioned(self, source: NodeId, target: NodeId) -> bool:
        """Return whether messages from ``source`` to ``target`` are dropped now."""
        return self.partitions.separates(source, self._zones[source], target, self._zones[target])

    def arrivals(self, source: NodeId, target: NodeId, message: PeerMessage, now: float) -> list[float]:
        """Return the arrival times of a message sent now: none, one or two.

        Raise ``KeyError`` for a node whose zone was never set.
        """
        kind = message_name(type(message))
        counters, settings, draw = self.counters, self.settings, self._random.random
        counters.messages[(source, kind)] += 1
        queued_s = self._count_bytes(source, kind, message, now) if settings.count_bytes else 0.0
        if self.is_partitioned(source, target):
            counters.partitioned += 1
            return []
        if settings.loss and draw() < settings.loss:
            counters.lost += 1
            return []
        times = [now + queued_s + self._delay_s(source, target)]
        if settings.duplication and draw() < settings.duplication:
            counters.duplicated += 1
            times.append(now + queued_s + self._delay_s(source, target))
        return times

    def _count_bytes(self, source: NodeId, kind: str, message: PeerMessage, now: float) -> float:
        size_bytes = len(self._encoder.encode(message))
        self.counters.bytes[(source, kind)] += size_bytes
        if not self.settings.bytes_per_s:
            return 0.0
        begins = max(now, self._busy_until.get(source, 0.0))
        ends = begins + size_bytes / self.settings.bytes_per_s
        self._busy_until[source] = ends
        return ends - now

    def _delay_s(self, source: NodeId, target: NodeId) -> float:
        latency = self._latency(self._zones[source], self._zones[target])
        delay_s = latency.base_s
        if latency.jitter_s:
            delay_s += self._random.expovariate(1.0 / latency.jitter_s)
        if self.settings.reordering and self._random.random() < self.settings.reordering:
            delay_s += self._random.random() * self.settings.reordering_delay_s
        return delay_s

    def _latency(self, source: ZoneName, target: ZoneName) -> Latency:
        found = self._links.get((source, target)) if self._links else None
        if found is not None:
            return found
        return self.settings.within_zone if source == target else self.settings.between_zones


def _by_type(counts: Counter[tuple[NodeId, str]]) -> dict[str, int]:
    totals: Counter[str] = Counter()
    for (_, kind), count in counts.items():
        totals[kind] += count
    return dict(totals)
