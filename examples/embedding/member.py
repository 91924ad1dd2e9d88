"""One process of the example: a replicated map of texts over springmux's consensus and membership parts.

It does what every embedding program has to do: hand each event to the part that it is for, and carry out the
effects that come back. Network and clock belong to the driver (``local_cluster.py``).
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

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
RESERVE_BYTES = 64 * 1024
"""Enough for the few entries of an example."""


class PutText(msgspec.Struct, frozen=True, array_like=True):
    """The one command of the map."""

    name: str
    text: str


class Outside:
    """What a member asks of its driver."""

    def send(self, source: NodeId, to: NodeId, message: PeerMessage) -> None:
        """Carry a message to a node; it may be lost."""
        raise NotImplementedError

    def send_to_address(self, source: NodeId, address: Address, message: PeerMessage) -> None:
        """Carry a message to an address whose node isn't known yet."""
        raise NotImplementedError

    def written(self, node: NodeId, event: Event) -> None:
        """Give ``event`` back to the member when its write is on disk; never from within ``handle``."""
        raise NotImplementedError


class Member:
    """One node.

    :raises StorageDamagedError: the disk holds a damaged replica; see ``ReplicaStore.set_aside``.
    """

    def __init__(
        self,
        node: NodeId,
        address: Address,
        seeds: tuple[Address, ...],
        disk: Disk,
        seed: int,
        outside: Outside,
    ) -> None:
        source = random.Random(seed)
        self.node = node
        self.texts: dict[str, str] = {}
        self.committed: set[str] = set()
        self.dropped: dict[str, raft.ProposalDropped] = {}
        self._outside = outside
        self._store = ReplicaStore(disk, FOLDER, random.Random(source.random()), reserve_bytes=RESERVE_BYTES)
        recovered = self._store.open()
        if recovered.snapshot is not None:
            self.texts = msgspec.msgpack.decode(recovered.snapshot_data, type=dict[str, str])
        record = NodeRecord(node, ZoneName("here"), address, address, address, replica=recovered.replica)
        self._membership = Membership(record, seeds, random.Random(source.random()))
        self._contact = ContactMonitor(node, True, random.Random(source.random()))
        self._replica = Replica(recovered, node, random.Random(source.random()))
        self._candidates = FoundingCandidates((), False)
        self._part_of = self._make_part_of()
        self._carry = self._make_carry()

    @property
    def leading(self) -> bool:
        """Whether proposals belong here now."""
        return self._replica.leading

    def next_deadline(self) -> float:
        """Return when a tick is due."""
        return min(part.next_deadline() for part in self._parts())

    def handle(self, event: Event, now: float) -> None:
        """Take one event at monotonic time ``now``."""
        if isinstance(event, Tick):
            for part in self._parts():
                if part.next_deadline() <= now:
                    self._give(part, event, now)
        elif isinstance(event, MessageReceived):
            self._give(self._part_of[type(event.message)], event, now)
        else:
            self._give(self._replica, event, now)
        self._tell_candidates(now)

    def propose(self, correlation_id: str, command: PutText, now: float) -> None:
        """Have ``command`` agreed on; ``committed`` or ``dropped`` will hold ``correlation_id``."""
        self.handle(raft.Propose(correlation_id, msgspec.msgpack.encode(command)), now)

    def _parts(self) -> tuple[StateMachine, ...]:
        return (self._membership, self._contact, self._replica)

    def _make_part_of(self) -> dict[type[PeerMessage], StateMachine]:
        owners: tuple[tuple[Any, StateMachine], ...] = (
            (membership_messages, self._membership),
            (contact_messages, self._contact),
            (consensus_messages, self._replica),
        )
        return {message: part for module, part in owners for message in module.MESSAGES}

    def _give(self, part: StateMachine, event: Event, now: float) -> None:
        for effect in part.handle(event, now):
            carry = self._carry.get(type(effect))
            if carry is not None:
                carry(effect, now)

    def _tell_candidates(self, now: float) -> None:
        """Tell the replica whom it may found a group with: nobody until most known nodes are heard."""
        members: tuple[GroupMember, ...] = ()
        if self._contact.connected(now):
            controllers = self._membership.view.controllers()
            members = tuple(
                GroupMember(r.replica, r.node, True) for r in controllers if r.replica is not None
            )
        candidates = FoundingCandidates(members, self._replica.leader_node() is not None)
        if candidates != self._candidates:
            self._candidates = candidates
            self._give(self._replica, candidates, now)

    # Effects

    def _make_carry(self) -> dict[type[Effect], Callable[[Any, float], None]]:
        return {
            Send: lambda effect, _: self._outside.send(self.node, effect.to, effect.message),
            SendToAddress: self._on_send_to_address,
            MembershipChanged: self._on_membership_changed,
            raft.Persist: self._on_persist,
            raft.Apply: self._on_apply,
            raft.TakeSnapshot: self._on_take_snapshot,
            raft.CompactLog: lambda effect, _: self._store.compact(effect.first_kept),
            raft.InstallSnapshot: self._on_install,
            raft.ProposalCommitted: lambda effect, _: self.committed.add(effect.correlation_id),
            raft.ProposalDropped: lambda effect, _: self.dropped.update({effect.correlation_id: effect}),
            raft.ReplicaStopped: self._on_stopped,
        }

    def _on_send_to_address(self, effect: SendToAddress, now: float) -> None:
        self._outside.send_to_address(self.node, effect.address, effect.message)

    def _on_membership_changed(self, effect: MembershipChanged, now: float) -> None:
        self._give(self._contact, MembershipUpdated(effect.view), now)

    def _on_persist(self, effect: raft.Persist, now: float) -> None:
        outcome: Event = raft.Persisted(effect.batch)
        try:
            self._store.persist(effect)
        except DiskError as error:
            outcome = raft.PersistFailed(effect.batch, isinstance(error, DiskFullError), str(error))
        self._outside.written(self.node, outcome)

    def _on_apply(self, effect: raft.Apply, now: float) -> None:
        for entry in effect.entries:
            self._apply(entry)

    def _apply(self, entry: Entry) -> None:
        if entry.kind is EntryKind.COMMAND:
            command = msgspec.msgpack.decode(entry.data, type=PutText)
            self.texts[command.name] = command.text

    def _on_take_snapshot(self, effect: raft.TakeSnapshot, now: float) -> None:
        data = msgspec.msgpack.encode(self.texts)
        meta = SnapshotMeta(effect.index, effect.term, effect.members)
        outcome: Event
        try:
            outcome = raft.SnapshotTaken(self._store.take_snapshot(meta, data), data)
        except DiskError as error:
            outcome = raft.SnapshotFailed(effect.index, str(error))
        self._outside.written(self.node, outcome)

    def _on_install(self, effect: raft.InstallSnapshot, now: float) -> None:
        outcome: Event = raft.SnapshotInstalled(effect.meta)
        try:
            self._store.install_snapshot(effect.meta, effect.data)
            self.texts = msgspec.msgpack.decode(effect.data, type=dict[str, str])
        except DiskError as error:
            outcome = raft.SnapshotFailed(effect.meta.index, str(error))
        self._outside.written(self.node, outcome)

    def _on_stopped(self, effect: raft.ReplicaStopped, now: float) -> None:
        raise RuntimeError(f"{self.node}: {effect.reason}")
