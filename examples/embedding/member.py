"""One member of the example: a replicated map of texts over springmux's consensus and membership.

It does what every embedding program has to do: dispatch each event to the component that handles it, and
execute the effects that the component returns. Network and clock belong to the driver (``local_cluster.py``).
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Protocol

import msgspec

from springmux.coordination.consensus import effects as raft
from springmux.coordination.consensus import messages as consensus_messages
from springmux.coordination.consensus.events import FoundingCandidates
from springmux.coordination.consensus.replica import Replica
from springmux.coordination.consensus.types import Entry, EntryKind, GroupMember, SnapshotMeta
from springmux.coordination.identifiers import Address, NodeId, ZoneName
from springmux.coordination.membership import contact_messages
from springmux.coordination.membership import messages as membership_messages
from springmux.coordination.membership.contact_monitor import ContactMonitor
from springmux.coordination.membership.effects import MembershipChanged, SendToAddress
from springmux.coordination.membership.events import MembershipUpdated
from springmux.coordination.membership.membership import Membership
from springmux.coordination.membership.view import NodeRecord
from springmux.coordination.state_machine import (
    Effect,
    Event,
    MessageReceived,
    PeerMessage,
    Send,
    StateMachine,
    Tick,
)
from springmux.storage.disk import Disk, DiskError, DiskFullError
from springmux.storage.replica_store import ReplicaStore

FOLDER = "replica"
"""Folder of the replica on the member's disk."""
RESERVE_BYTES = 64 * 1024
"""Disk space that the store reserves to continue when the disk is full; ample for a few entries."""


class ReplicaStoppedError(Exception):
    """The replica of ``node`` stopped because of ``reason``."""

    def __init__(self, node: NodeId, reason: str) -> None:
        super().__init__(f"{node}: {reason}")
        self.node = node
        self.reason = reason


class PutText(msgspec.Struct, frozen=True, array_like=True):
    """The map's only command: set the text stored under a name."""

    name: str
    text: str


class Driver(Protocol):
    """The network and the queue of completed writes, which the embedding program provides."""

    def send(self, source: NodeId, to: NodeId, message: PeerMessage) -> None:
        """Send a message to a node; it may be lost."""

    def send_to_address(self, source: NodeId, address: Address, message: PeerMessage) -> None:
        """Send a message to an address whose node isn't known yet; it may be lost."""

    def deliver_after_write(self, node: NodeId, event: Event) -> None:
        """Deliver ``event`` to the member after its write has completed, never from within its ``handle``."""


class Member:
    """One node: membership, contact monitor and consensus replica over one disk.

    :raises StorageDamagedError: if the disk holds a damaged replica; see ``ReplicaStore.set_aside``.
    """

    def __init__(
        self,
        node: NodeId,
        address: Address,
        seed_addresses: tuple[Address, ...],
        disk: Disk,
        seed: int,
        driver: Driver,
    ) -> None:
        seed_generator = random.Random(seed)
        self.node = node
        self.texts: dict[str, str] = {}
        self.committed: set[str] = set()
        self.dropped: dict[str, raft.ProposalDropped] = {}
        self._driver = driver
        self._store = ReplicaStore(
            disk, FOLDER, random.Random(seed_generator.random()), reserve_bytes=RESERVE_BYTES
        )
        recovered = self._store.open()
        if recovered.snapshot is not None:
            self.texts = msgspec.msgpack.decode(recovered.snapshot_data, type=dict[str, str])
        record = NodeRecord(node, ZoneName("here"), address, address, address, replica=recovered.replica)
        self._membership = Membership(record, seed_addresses, random.Random(seed_generator.random()))
        self._contact = ContactMonitor(node, True, random.Random(seed_generator.random()))
        self._replica = Replica(recovered, node, random.Random(seed_generator.random()))
        self._components: tuple[StateMachine, ...] = (self._membership, self._contact, self._replica)
        self._component_by_message = self._route_messages()
        self._candidates = FoundingCandidates((), False)

    @property
    def leading(self) -> bool:
        """Whether this member is the leader and accepts proposals."""
        return self._replica.leading

    def next_deadline(self) -> float:
        """Return the monotonic time at which the next tick is due."""
        return min(component.next_deadline() for component in self._components)

    def handle(self, event: Event, now: float) -> None:
        """Handle one event at monotonic time ``now`` and execute the effects."""
        if isinstance(event, Tick):
            for component in self._components:
                if component.next_deadline() <= now:
                    self._dispatch(component, event, now)
        elif isinstance(event, MessageReceived):
            self._dispatch(self._component_by_message[type(event.message)], event, now)
        else:
            self._dispatch(self._replica, event, now)  # results of the replica's writes, and proposals
        self._update_founding_candidates(now)

    def propose(self, correlation_id: str, command: PutText, now: float) -> None:
        """Propose ``command``; ``correlation_id`` is later in ``committed`` or in ``dropped``."""
        self.handle(raft.Propose(correlation_id, msgspec.msgpack.encode(command)), now)

    def _route_messages(self) -> dict[type[PeerMessage], StateMachine]:
        """Return the component that handles each type of message."""
        components: dict[StateMachine, tuple[type[PeerMessage], ...]] = {
            self._membership: membership_messages.MESSAGES,
            self._contact: contact_messages.MESSAGES,
            self._replica: consensus_messages.MESSAGES,
        }
        return {message: component for component, messages in components.items() for message in messages}

    def _dispatch(self, component: StateMachine, event: Event, now: float) -> None:
        """Pass an event to a component and execute the returned effects in order."""
        for effect in component.handle(event, now):
            self._execute(effect, now)

    def _update_founding_candidates(self, now: float) -> None:
        """Update the members with which the replica may found a group.

        There are none until this node is in contact with a majority of the known nodes, because the two sides
        of a network partition must not found two groups.
        """
        members: tuple[GroupMember, ...] = ()
        if self._contact.connected(now):
            members = tuple(
                GroupMember(record.replica, record.node, True)
                for record in self._membership.view.controllers()
                if record.replica is not None
            )
        candidates = FoundingCandidates(members, self._replica.leader_node() is not None)
        if candidates != self._candidates:
            self._candidates = candidates
            self._dispatch(self._replica, candidates, now)

    # Effects

    def _execute(self, effect: Effect, now: float) -> None:
        match effect:
            case Send():
                self._driver.send(self.node, effect.to, effect.message)
            case SendToAddress():
                self._driver.send_to_address(self.node, effect.address, effect.message)
            case MembershipChanged():
                self._dispatch(self._contact, MembershipUpdated(effect.view), now)
            case _:
                self._execute_for_replica(effect)

    def _execute_for_replica(self, effect: Effect) -> None:
        match effect:
            case raft.Persist():
                self._persist(effect)
            case raft.Apply():
                self._apply(effect.entries)
            case raft.TakeSnapshot():
                self._take_snapshot(effect)
            case raft.InstallSnapshot():
                self._install_snapshot(effect)
            case raft.CompactLog():
                self._store.compact(effect.first_kept)
            case raft.ProposalCommitted():
                self.committed.add(effect.correlation_id)
            case raft.ProposalDropped():
                self.dropped[effect.correlation_id] = effect
            case raft.ReplicaStopped():
                raise ReplicaStoppedError(self.node, effect.reason)

    def _persist(self, effect: raft.Persist) -> None:
        outcome: Event = raft.Persisted(effect.batch)
        try:
            self._store.persist(effect)
        except DiskError as error:
            outcome = raft.PersistFailed(effect.batch, isinstance(error, DiskFullError), str(error))
        self._driver.deliver_after_write(self.node, outcome)

    def _apply(self, entries: Sequence[Entry]) -> None:
        for entry in entries:
            if entry.kind is EntryKind.COMMAND:
                command = msgspec.msgpack.decode(entry.data, type=PutText)
                self.texts[command.name] = command.text

    def _take_snapshot(self, effect: raft.TakeSnapshot) -> None:
        data = msgspec.msgpack.encode(self.texts)
        meta = SnapshotMeta(effect.index, effect.term, effect.members)
        outcome: Event
        try:
            outcome = raft.SnapshotTaken(self._store.take_snapshot(meta, data), data)
        except DiskError as error:
            outcome = raft.SnapshotFailed(effect.index, str(error))
        self._driver.deliver_after_write(self.node, outcome)

    def _install_snapshot(self, effect: raft.InstallSnapshot) -> None:
        outcome: Event = raft.SnapshotInstalled(effect.meta)
        try:
            self._store.install_snapshot(effect.meta, effect.data)
            self.texts = msgspec.msgpack.decode(effect.data, type=dict[str, str])
        except DiskError as error:
            outcome = raft.SnapshotFailed(effect.meta.index, str(error))
        self._driver.deliver_after_write(self.node, outcome)
