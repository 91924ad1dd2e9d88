"""Messages in flight between claim coordinators, delivered, duplicated or lost in any order."""

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
    """A holder's journal: synced entries, and the one batch that is being written."""

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
    """Claim coordinators, the messages between them, and every decision that they made.

    :param durable: every node has a disk.
    """

    def __init__(self, seed: int = 1, nodes: tuple[NodeId, ...] = NODES[:3], durable: bool = False) -> None:
        self.random = random.Random(seed)
        self.now = 0.0
        self.disks = {node: ClaimDisk(ReplicaId(f"{node}-1")) for node in NODES} if durable else {}
        self.log_names: list[str] = []
        self.ring = self.ring_of(1, nodes)
        self.coordinators: dict[NodeId, ClaimCoordinator] = {}
        self.frozen: set[NodeId] = set()
        self.bag: list[tuple[NodeId, NodeId, PeerMessage]] = []
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
        """Start another incarnation; what was not synced is lost."""
        recovered = self.disks[node].recover() if self.disks else None
        self.coordinators[node] = ClaimCoordinator(
            node, random.Random(self.random.random()), ClaimSettings(), recovered
        )
        self.give(node, HoldersChanged(self.ring))

    def power_cut(self, nodes: tuple[NodeId, ...], wiped: tuple[NodeId, ...] = ()) -> None:
        """Restart nodes at once; every message to or from them is lost."""
        self.bag = [entry for entry in self.bag if not {entry[0], entry[1]} & set(nodes)]
        for node in wiped:
            self.disks[node] = ClaimDisk(ReplicaId(f"{self.disks[node].replica}+"))
        for node in nodes:
            self.restart(node)

    def sync(self, node: NodeId) -> None:
        """Let the disk finish the batch that it writes."""
        disk = self.disks[node]
        batch, disk.writing = disk.writing, None
        if batch is not None:
            disk.synced.extend(batch.records)
            self.give(node, ClaimsPersisted(batch.batch))

    def fail_disk(self, node: NodeId, full: bool) -> None:
        batch, self.disks[node].writing = self.disks[node].writing, None
        assert batch is not None
        self.give(node, ClaimsPersistFailed(batch.batch, full, "on purpose"))

    def change_ring(self, nodes: tuple[NodeId, ...]) -> None:
        self.ring = self.ring_of(self.ring.version + 1, nodes)

    def give(self, node: NodeId, event: Event) -> None:
        if node not in self.frozen:
            self._carry_out(node, self.coordinators[node].handle(event, self.now))

    def claim(self, node: NodeId, attempt: str, key: str = "key") -> None:
        self.owner[attempt] = (node, self.coordinators[node], key)
        self.give(node, ClaimWanted(attempt, key))

    def end(self, attempt: str, ran: bool = True, answer: bytes = b"") -> None:
        node, coordinator, key = self.owner[attempt]
        if self.coordinators[node] is coordinator:
            self.give(node, ClaimEnded(attempt, key, ran, answer))

    def deliver(self, index: int, keep: bool = False) -> None:
        sender, to, message = self.bag[index] if keep else self.bag.pop(index)
        if to not in self.frozen:
            self.give(to, MessageReceived(sender, message))
        elif not keep:
            self.bag.append((sender, to, message))

    def advance(self, seconds: float) -> None:
        self.now += seconds
        for node in NODES:
            if node not in self.frozen and self.coordinators[node].next_deadline() <= self.now:
                self.give(node, Tick())

    def settle_down(self, seconds: float = 1.0, without: tuple[NodeId, ...] = ()) -> None:
        """Deliver everything in order while time passes; messages to or from ``without`` are lost."""
        for _ in range(round(seconds / 0.02)):
            for sender, to, message in self.take_all():
                if sender not in without and to not in without and to not in self.frozen:
                    self.give(to, MessageReceived(sender, message))
            for node, disk in self.disks.items():
                if not disk.stalled and node not in self.frozen:
                    self.sync(node)
            self.advance(0.02)

    def take_all(self) -> list[tuple[NodeId, NodeId, PeerMessage]]:
        taken, self.bag = self.bag, []
        return taken

    def verdict(self, attempt: str) -> ClaimVerdict | None:
        decision = self.decisions.get(attempt)
        return decision.verdict if decision else None

    def granted(self) -> list[str]:
        return [attempt for attempt in self.decisions if self.verdict(attempt) is ClaimVerdict.GRANTED]

    def _carry_out(self, node: NodeId, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self.bag.append((node, effect.to, effect.message))
            elif isinstance(effect, PersistClaims):
                assert self.disks[node].writing is None, "two batches in flight"
                self.disks[node].writing = effect
            elif isinstance(effect, LogLine):
                self.log_names.append(effect.name)
            elif isinstance(effect, ClaimResolved):
                assert effect.correlation_id not in self.decisions, "decided twice"
                self.decisions[effect.correlation_id] = effect.decision
