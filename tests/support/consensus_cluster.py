"""Replicas with a virtual clock, network and disks, driven by one seed, with Raft's invariants checked."""

from __future__ import annotations

import functools
import heapq
import operator
import random
from collections.abc import Callable, Iterable

import msgspec

from springmux.coordination.consensus import effects as fx
from springmux.coordination.consensus.core import RESTART_AS_NEW
from springmux.coordination.consensus.events import FoundingCandidates
from springmux.coordination.consensus.messages import MESSAGES
from springmux.coordination.consensus.replica import Replica
from springmux.coordination.consensus.settings import ConsensusSettings
from springmux.coordination.consensus.types import (
    Entry,
    EntryKind,
    GroupMember,
    GroupMembers,
    HardState,
    RecoveredState,
    SnapshotMeta,
)
from springmux.coordination.identifiers import GroupId, LogIndex, NodeId, ReplicaId, Term
from springmux.coordination.state_machine import Effect, Event, MessageReceived, PeerMessage, Send, Tick

State = list[tuple[int, bytes]]
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(functools.reduce(operator.or_, MESSAGES))
_STATE_DECODER = msgspec.msgpack.Decoder(State)
MAX_TICKS_WITHOUT_PROGRESS = 20
"""More successive ticks at one time mean that ``next_deadline`` returns a time that has passed."""


class Disk:
    """State that survives a crash: only batches whose write has ended."""

    def __init__(self, replica: str, first_start: bool | None = None) -> None:
        self.replica = ReplicaId(replica)
        self.first_start = first_start
        self.group: GroupId | None = None
        self.founding: GroupMembers | None = None
        self.hard_state = HardState(Term(0), None)
        self.entries: list[Entry] = []
        self.snapshot: SnapshotMeta | None = None
        self.data = b""
        self.committed = 0
        self.free_at = 0.0

    def write(self, batch: fx.Persist) -> None:
        if batch.founding is not None:
            self.group, self.founding = batch.founding
        self.hard_state = batch.hard_state or self.hard_state
        self.committed = max(self.committed, batch.committed)
        if batch.truncate_from is not None:
            self.entries = [entry for entry in self.entries if entry.index < batch.truncate_from]
        for entry in batch.entries:
            last = self.entries[-1].index if self.entries else self.snapshot.index if self.snapshot else 0
            assert entry.index == last + 1, "a batch leaves a gap on disk"
            self.entries.append(entry)

    def recover(self) -> RecoveredState:
        after = self.snapshot.index if self.snapshot else 0
        entries = tuple(entry for entry in self.entries if entry.index > after)
        return RecoveredState(
            self.replica,
            self.group,
            self.hard_state,
            self.snapshot,
            self.data,
            entries,
            self.founding,
            LogIndex(self.committed),
        )


class Machine:
    """One node: a disk that survives a crash, and a replica and state that don't."""

    def __init__(self, node: str, disk: Disk) -> None:
        self.node = NodeId(node)
        self.disk = disk
        self.boot = 0
        self.alive = False
        self.replica: Replica | None = None
        self.state: State = []
        self.applied = 0
        self.tick_at = float("inf")
        self.ticks_without_progress = 0
        self.full = self.stalled = False
        self.held_writes: list[Callable[[], None]] = []
        self.stop_reasons: list[str] = []

    @property
    def status(self) -> fx.ReplicaStatus:
        assert self.replica is not None
        return self.replica.status()


class Cluster:
    """Drives machines and checks every effect when it is emitted."""

    def __init__(
        self, seed: int, nodes: Iterable[str], settings: ConsensusSettings = ConsensusSettings()
    ) -> None:
        self.random = random.Random(seed)
        self.settings = settings
        self.first_start: bool | None = None
        """Whether replicas created from now on may found a group; by default as ``settings`` say."""
        self.known_nodes: Callable[[], frozenset[NodeId] | None] = lambda: frozenset(self.machines)  # type: ignore[arg-type]
        """The nodes that membership reports as all known ones."""
        self.now = 0.0
        self.loss = self.duplication = 0.0
        self.delay = (0.001, 0.01)
        self.fsync = (0.001, 0.004)
        self.cut_links: set[frozenset[str]] = set()
        self.machines: dict[str, Machine] = {}
        self.sent: list[tuple[float, str, str, PeerMessage]] = []
        self.keep_sent = False
        self.largest_message_bytes = 0
        self.committed: dict[int, Entry] = {}
        self.leaders: dict[tuple[str, int], str] = {}
        self.groups_with_commits: set[str] = set()
        self.acknowledged: dict[str, int] = {}
        self.dropped: dict[str, fx.ProposalDropped] = {}
        self.reads: dict[str, int | None] = {}
        self._read_floor: dict[str, int] = {}
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._identities = 0
        self._correlation_ids = 0
        for node in nodes:
            self.add(node)
        self._schedule(0.0, self._gossip)

    # Faults

    def add(self, node: str) -> Machine:
        """Start an empty machine at ``node``, in place of a former one and its disk."""
        if node in self.machines and self.machines[node].alive:
            self.crash(node)
        self._identities += 1
        machine = Machine(node, Disk(f"r{self._identities}", self.first_start))
        machine.boot = self.machines[node].boot + 1 if node in self.machines else 0
        self.machines[node] = machine
        self.restart(node)
        return machine

    wipe = add

    def move(self, node: str, new_node: str) -> None:
        """Restart the machine of ``node`` with the same disk under another node name."""
        self.crash(node)
        self.machines[new_node] = Machine(new_node, self.machines.pop(node).disk)
        self.restart(new_node)

    def crash(self, node: str) -> None:
        machine = self.machines[node]
        machine.alive = False
        machine.boot += 1
        machine.held_writes.clear()
        machine.disk.free_at = 0.0

    def restart(self, node: str) -> None:
        machine = self.machines[node]
        machine.boot += 1
        machine.alive = True
        machine.stalled = False
        recovered = machine.disk.recover()
        rng = random.Random(self.random.getrandbits(32))
        settings = self.settings
        if machine.disk.first_start is not None:
            settings = msgspec.structs.replace(settings, may_found=machine.disk.first_start)
        machine.replica = Replica(recovered, machine.node, rng, settings)
        machine.state = _STATE_DECODER.decode(recovered.snapshot_data) if recovered.snapshot else []
        machine.applied = recovered.snapshot.index if recovered.snapshot else 0
        machine.tick_at = float("inf")
        self._schedule_tick(machine)

    def isolate(self, node: str) -> None:
        self.cut_links |= {frozenset((node, other)) for other in self.machines if other != node}

    def heal(self) -> None:
        self.cut_links.clear()
        for machine in self.machines.values():
            machine.full = False
            self.unstall(machine.node)
            if not machine.alive:
                self.restart(machine.node)

    def unstall(self, node: str) -> None:
        machine = self.machines[node]
        machine.stalled = False
        held_writes, machine.held_writes = machine.held_writes, []
        for action in held_writes:
            action()

    # Driving

    def run(self, duration_s: float) -> None:
        self.run_until(lambda: False, duration_s, required=False)

    def run_until(self, done: Callable[[], bool], limit_s: float = 30.0, required: bool = True) -> None:
        end = self.now + limit_s
        while not done():
            if not self._queue or self._queue[0][0] > end:
                self.now = end
                assert not required, f"not reached within {limit_s} s of virtual time"
                return
            self.now, _, action = heapq.heappop(self._queue)
            action()

    def leader(self) -> Machine | None:
        leading = [m for m in self.machines.values() if m.alive and m.replica and m.replica.leading]
        return max(leading, key=lambda m: m.status.term, default=None)

    def await_leader(self, among: Iterable[str] = (), limit_s: float = 30.0) -> Machine:
        names = set(among)

        def found() -> bool:
            leader = self.leader()
            return leader is not None and (not names or leader.node in names)

        self.run_until(found, limit_s)
        leader = self.leader()
        assert leader is not None
        return leader

    def voters(self) -> set[str]:
        leader = self.leader()
        return {v.node for v in leader.status.members.voters()} if leader else set()

    def handle_event(self, node: str, event: Event) -> None:
        machine = self.machines[node]
        if machine.alive and machine.replica is not None:
            for effect in machine.replica.handle(event, self.now):
                self._execute(machine, effect)
            self._check_leader(machine)
            self._schedule_tick(machine)

    def propose(self, node: str, data: bytes) -> str:
        self._correlation_ids += 1
        correlation_id = f"p{self._correlation_ids}"
        self.handle_event(node, fx.Propose(correlation_id, data))
        return correlation_id

    def commit(self, data: bytes = b"x") -> str:
        """Propose a command at the leader and wait for its acknowledgement."""
        correlation_id = self.propose(self.await_leader().node, data)
        self.run_until(lambda: correlation_id in self.acknowledged or correlation_id in self.dropped)
        assert correlation_id in self.acknowledged, self.dropped[correlation_id].reason
        return correlation_id

    def read(self, node: str) -> str:
        self._correlation_ids += 1
        correlation_id = f"q{self._correlation_ids}"
        self._read_floor[correlation_id] = max(self.acknowledged.values(), default=0)
        self.handle_event(node, fx.ConfirmRead(correlation_id))
        return correlation_id

    def settle(self) -> None:
        """Remove all faults, run until the group is idle, and check that all acknowledged commands exist."""
        self.loss = self.duplication = 0.0
        self.heal()
        self.run_until(self._settled, 90.0)
        for machine in self.machines.values():
            applied_indexes = {index for index, _ in machine.state}
            assert set(self.acknowledged.values()) <= applied_indexes, (
                f"{machine.node} lacks acknowledged commands"
            )
        self.check_logs()

    def check_logs(self) -> None:
        """Check log matching (Raft, figure 3) between all disks."""
        seen: dict[tuple[str | None, int, int], tuple[Entry, Entry | None]] = {}
        for machine in self.machines.values():
            before: Entry | None = None
            for entry in machine.disk.entries:
                key = (machine.disk.group, entry.index, entry.term)
                known, known_before = seen.setdefault(key, (entry, before))
                assert known == entry, "two entries share index and term"
                assert None in (before, known_before) or before == known_before, "logs differ before a match"
                before = entry

    def _settled(self) -> bool:
        leader = self.leader()
        if leader is None or len(self.voters()) != min(len(self.machines), self.settings.voters_desired):
            return False
        done = leader.status.applied_index
        idle = leader.status.last_index == done
        return idle and all(
            m.alive and m.status.applied_index == done and m.status.leader == leader.disk.replica
            for m in self.machines.values()
        )

    # Virtual clock, network and disks

    def _schedule(self, time: float, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (time, self._sequence, action))

    def _schedule_for_machine(self, machine: Machine, time: float, action: Callable[[], None]) -> None:
        boot = machine.boot
        self._schedule(time, lambda: action() if machine.boot == boot and machine.alive else None)

    def _schedule_tick(self, machine: Machine) -> None:
        assert machine.replica is not None
        deadline = max(machine.replica.next_deadline(), self.now)
        if deadline < machine.tick_at:
            machine.ticks_without_progress = machine.ticks_without_progress + 1 if deadline == self.now else 0
            assert machine.ticks_without_progress < MAX_TICKS_WITHOUT_PROGRESS, (
                "next_deadline stays in the past"
            )
            machine.tick_at = deadline
            self._schedule_for_machine(machine, deadline, lambda: self._tick(machine, deadline))

    def _tick(self, machine: Machine, deadline: float) -> None:
        if machine.tick_at == deadline:
            machine.tick_at = float("inf")
            self.handle_event(machine.node, Tick())

    def _gossip(self) -> None:
        """Report to every machine the controllers that it can reach, as the membership protocol does."""
        self._schedule(self.now + 0.5, self._gossip)
        alive = [m for m in self.machines.values() if m.alive]
        for machine in alive:
            reachable = [m for m in alive if frozenset((m.node, machine.node)) not in self.cut_links]
            members = tuple(GroupMember(m.disk.replica, m.node, True) for m in reachable)
            established = any(m.status.commit_index > 0 for m in reachable)
            candidates = FoundingCandidates(members, established, known=self.known_nodes())
            self._schedule_for_machine(machine, self.now, self._event_action(machine, candidates))

    def _event_action(self, machine: Machine, event: Event) -> Callable[[], None]:
        return lambda: self.handle_event(machine.node, event)

    def _execute(self, machine: Machine, effect: Effect) -> None:
        match effect:
            case Send():
                self._transmit(machine, effect)
            case fx.Persist():
                self._write(machine, lambda: self._persist(machine, effect))
            case fx.Apply():
                self._apply(machine, effect.entries)
            case fx.TakeSnapshot():
                assert effect.index <= machine.applied
                data = _ENCODER.encode([pair for pair in machine.state if pair[0] <= effect.index])
                meta = SnapshotMeta(effect.index, effect.term, effect.members, len(data))
                self._write(machine, lambda: self._snapshot(machine, meta, data))
            case fx.CompactLog():
                kept = [entry for entry in machine.disk.entries if entry.index >= effect.first_kept]
                machine.disk.entries = kept
            case fx.InstallSnapshot():
                self._write(machine, lambda: self._install(machine, effect.meta, effect.data))
            case fx.ProposalCommitted():
                self.acknowledged[effect.correlation_id] = effect.index
                assert effect.index <= machine.applied, "reported as committed before it was applied"
            case fx.ProposalDropped():
                self.dropped[effect.correlation_id] = effect
            case fx.ReadConfirmed():
                self._check_read(machine, effect)
            case fx.ReplicaStopped():
                machine.stop_reasons.append(effect.reason)
                assert effect.restart_as_new == effect.reason.startswith(RESTART_AS_NEW)
                assert effect.restart_as_new or "disk" in effect.reason, effect.reason
                if effect.restart_as_new:
                    assert not machine.state, "a replica with applied commands gave up its state"
                    self._schedule_for_machine(machine, self.now + 0.3, lambda: self._restart_as_new(machine))

    def _restart_as_new(self, machine: Machine) -> None:
        self.wipe(machine.node).stop_reasons = machine.stop_reasons

    def _transmit(self, machine: Machine, send: Send) -> None:
        if self.keep_sent:
            self.sent.append((self.now, machine.node, send.to, send.message))
        if send.to not in self.machines or self.random.random() < self.loss:
            return
        encoded = _ENCODER.encode(send.message)
        self.largest_message_bytes = max(self.largest_message_bytes, len(encoded))
        for _ in range(1 + (self.random.random() < self.duplication)):
            arrival = self.now + self.random.uniform(*self.delay)
            self._schedule(arrival, lambda: self._deliver(machine.node, send.to, encoded))

    def _deliver(self, sender: NodeId, to: NodeId, encoded: bytes) -> None:
        # A machine that was renamed since the message was sent no longer exists under the old name.
        if to in self.machines and frozenset((sender, to)) not in self.cut_links:
            self.handle_event(to, MessageReceived(sender, _DECODER.decode(encoded)))

    def _write(self, machine: Machine, end: Callable[[], None]) -> None:
        machine.disk.free_at = max(machine.disk.free_at, self.now) + self.random.uniform(*self.fsync)

        def finish() -> None:
            if machine.stalled:
                machine.held_writes.append(end)
                self._schedule_for_machine(machine, self.now + 1.0, lambda: self._report_stall(machine))
            else:
                end()

        self._schedule_for_machine(machine, machine.disk.free_at, finish)

    def _report_stall(self, machine: Machine) -> None:
        if machine.stalled:
            self.handle_event(machine.node, fx.DiskStalled(1.0))

    def _persist(self, machine: Machine, batch: fx.Persist) -> None:
        if machine.full:
            self.handle_event(machine.node, fx.PersistFailed(batch.batch, True, "no space"))
            return
        machine.disk.write(batch)
        self.handle_event(machine.node, fx.Persisted(batch.batch))

    def _snapshot(self, machine: Machine, meta: SnapshotMeta, data: bytes) -> None:
        if machine.full:
            self.handle_event(machine.node, fx.SnapshotFailed(meta.index, "no space"))
            return
        if machine.disk.snapshot is None or meta.index > machine.disk.snapshot.index:
            machine.disk.snapshot, machine.disk.data = meta, data
        self.handle_event(machine.node, fx.SnapshotTaken(meta, data))

    def _install(self, machine: Machine, meta: SnapshotMeta, data: bytes) -> None:
        machine.disk.snapshot, machine.disk.data, machine.disk.entries = meta, data, []
        machine.state = _STATE_DECODER.decode(data)
        machine.applied = meta.index
        self.handle_event(machine.node, fx.SnapshotInstalled(meta))

    # Invariants

    def _apply(self, machine: Machine, entries: tuple[Entry, ...]) -> None:
        self.groups_with_commits.add(str(machine.status.group))
        assert len(self.groups_with_commits) == 1, "two groups committed entries"
        for entry in entries:
            assert entry.index == machine.applied + 1, "applied out of order"
            assert self.committed.setdefault(entry.index, entry) == entry, "state machines differ"
            machine.applied = entry.index
            if entry.kind is EntryKind.COMMAND:
                machine.state.append((entry.index, entry.data))

    def _check_leader(self, machine: Machine) -> None:
        status = machine.status
        if status.leader != status.replica:
            return
        key = (str(status.group), status.term)
        if key in self.leaders:
            assert self.leaders[key] == status.replica, "two leaders in one term"
            return
        self.leaders[key] = status.replica
        assert machine.replica is not None
        log = machine.replica._core.log
        for index, entry in self.committed.items():
            assert index <= log.base_index or log.term_at(entry.index) == entry.term, (
                "a leader lacks a committed entry"
            )

    def _check_read(self, machine: Machine, effect: fx.ReadConfirmed) -> None:
        self.reads[effect.correlation_id] = effect.index
        if effect.index is not None:
            assert effect.index >= self._read_floor[effect.correlation_id], "a stale read was confirmed"
            assert machine.applied >= effect.index
