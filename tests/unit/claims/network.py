"""A network of claim coordinators whose messages are delivered, duplicated or lost in any order."""

from __future__ import annotations

import random

from springmux.coordination.claims.claim_coordinator import ClaimCoordinator
from springmux.coordination.claims.decision import ClaimDecision, ClaimVerdict
from springmux.coordination.claims.events import (
    ClaimEnded,
    ClaimResolved,
    ClaimSettings,
    ClaimsPersisted,
    ClaimsPersistFailed,
    ClaimWanted,
    HoldersChanged,
    PersistClaims,
)
from springmux.coordination.claims.journal import ClaimEntry, JournalFold, RecoveredClaims
from springmux.coordination.claims.ring import ClaimRing, RingMember
from springmux.coordination.identifiers import NodeId, ReplicaId, ZoneName
from springmux.coordination.state_machine import (
    Effect,
    Event,
    LogLine,
    MessageReceived,
    PeerMessage,
    Send,
    Tick,
)

NODES = tuple(NodeId(name) for name in ("a", "b", "c", "d", "e"))


class ClaimDisk:
    """A holder's journal: the synced entries, and the batch that is being written."""

    def __init__(self, replica: ReplicaId) -> None:
        self.replica = replica
        self.synced: list[ClaimEntry] = []
        self.writing: PersistClaims | None = None
        self.stalled = False

    def recover(self) -> RecoveredClaims:
        fold = JournalFold()
        fold.apply(self.synced)
        self.writing = None
        return RecoveredClaims(self.replica, True, fold.claims(), fold.state)


class ClaimNetwork:
    """Claim coordinators, the messages in flight between them, and all their decisions.

    :param durable: whether every node has a disk.
    """

    def __init__(self, seed: int = 1, nodes: tuple[NodeId, ...] = NODES[:3], durable: bool = False) -> None:
        self.random = random.Random(seed)
        self.now = 0.0
        self.disks = {node: ClaimDisk(ReplicaId(f"{node}-1")) for node in NODES} if durable else {}
        self.log_names: list[str] = []
        self.ring = self.ring_of(1, nodes)
        self.coordinators: dict[NodeId, ClaimCoordinator] = {}
        self.paused: set[NodeId] = set()
        self.in_flight: list[tuple[NodeId, NodeId, PeerMessage]] = []
        self.decisions: dict[str, ClaimDecision] = {}
        self.owner: dict[str, tuple[NodeId, ClaimCoordinator, str]] = {}
        for node in NODES:
            self.restart(node)

    def ring_of(self, version: int, nodes: tuple[NodeId, ...]) -> ClaimRing:
        replicas = {node: disk.replica for node, disk in self.disks.items()}
        return ClaimRing(
            version, tuple(RingMember(node, ZoneName(node), replicas.get(node)) for node in nodes)
        )

    def restart(self, node: NodeId) -> None:
        """Start a new incarnation of a node; entries that weren't synced are lost."""
        recovered = self.disks[node].recover() if self.disks else None
        self.coordinators[node] = ClaimCoordinator(
            node, random.Random(self.random.random()), ClaimSettings(), recovered
        )
        self.dispatch(node, HoldersChanged(self.ring))

    def power_cut(self, nodes: tuple[NodeId, ...], wiped: tuple[NodeId, ...] = ()) -> None:
        """Restart nodes together; all messages in flight to or from them are lost."""
        self.in_flight = [entry for entry in self.in_flight if not {entry[0], entry[1]} & set(nodes)]
        for node in wiped:
            self.disks[node] = ClaimDisk(ReplicaId(f"{self.disks[node].replica}+"))
        for node in nodes:
            self.restart(node)

    def sync(self, node: NodeId) -> None:
        """Complete the batch that the node's disk is writing, if any."""
        disk = self.disks[node]
        batch, disk.writing = disk.writing, None
        if batch is not None:
            disk.synced.extend(batch.records)
            self.dispatch(node, ClaimsPersisted(batch.batch))

    def fail_disk(self, node: NodeId, full: bool) -> None:
        batch, self.disks[node].writing = self.disks[node].writing, None
        assert batch is not None
        self.dispatch(node, ClaimsPersistFailed(batch.batch, full, "injected failure"))

    def change_ring(self, nodes: tuple[NodeId, ...]) -> None:
        self.ring = self.ring_of(self.ring.version + 1, nodes)

    def dispatch(self, node: NodeId, event: Event) -> None:
        if node not in self.paused:
            self._execute(node, self.coordinators[node].handle(event, self.now))

    def claim(self, node: NodeId, attempt: str, key: str = "key") -> None:
        self.owner[attempt] = (node, self.coordinators[node], key)
        self.dispatch(node, ClaimWanted(attempt, key))

    def end(self, attempt: str, ran: bool = True, answer: bytes = b"") -> None:
        node, coordinator, key = self.owner[attempt]
        if self.coordinators[node] is coordinator:
            self.dispatch(node, ClaimEnded(attempt, key, ran, answer))

    def deliver(self, index: int, keep: bool = False) -> None:
        sender, to, message = self.in_flight[index] if keep else self.in_flight.pop(index)
        if to not in self.paused:
            self.dispatch(to, MessageReceived(sender, message))
        elif not keep:
            self.in_flight.append((sender, to, message))

    def advance(self, seconds: float) -> None:
        self.now += seconds
        for node in NODES:
            if node not in self.paused and self.coordinators[node].next_deadline() <= self.now:
                self.dispatch(node, Tick())

    def run(self, seconds: float = 1.0, without: tuple[NodeId, ...] = ()) -> None:
        """Advance time and deliver all messages in order; those to or from ``without`` are lost."""
        for _ in range(round(seconds / 0.02)):
            for sender, to, message in self.remove_all_in_flight():
                if sender not in without and to not in without and to not in self.paused:
                    self.dispatch(to, MessageReceived(sender, message))
            for node, disk in self.disks.items():
                if not disk.stalled and node not in self.paused:
                    self.sync(node)
            self.advance(0.02)

    def remove_all_in_flight(self) -> list[tuple[NodeId, NodeId, PeerMessage]]:
        removed, self.in_flight = self.in_flight, []
        return removed

    def verdict(self, attempt: str) -> ClaimVerdict | None:
        decision = self.decisions.get(attempt)
        return decision.verdict if decision else None

    def granted(self) -> list[str]:
        return [attempt for attempt in self.decisions if self.verdict(attempt) is ClaimVerdict.GRANTED]

    def _execute(self, node: NodeId, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self.in_flight.append((node, effect.to, effect.message))
            elif isinstance(effect, PersistClaims):
                assert self.disks[node].writing is None, "two batches in flight"
                self.disks[node].writing = effect
            elif isinstance(effect, LogLine):
                self.log_names.append(effect.name)
            elif isinstance(effect, ClaimResolved):
                assert effect.correlation_id not in self.decisions, "claim decided twice"
                self.decisions[effect.correlation_id] = effect.decision
