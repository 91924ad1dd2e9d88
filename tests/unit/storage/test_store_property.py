"""After any sequence of faults a restart recovers all acknowledged writes and nothing that wasn't written."""

from __future__ import annotations

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from springmux.coordination.consensus.types import Entry, HardState, RecoveredState, SnapshotMeta
from springmux.coordination.identifiers import LogIndex, ReplicaId, Term
from springmux.storage.disk import DiskFailedError, DiskFullError
from springmux.storage.memory_disk import MemoryDisk
from tests.unit.storage.support import batch_with, entry, meta, store_on

seeds = st.integers(0, 2**32 - 1)


class StoreMachine(RuleBasedStateMachine):
    """Compares the store with a model of the acknowledged state: entries, hard state, newest snapshot."""

    @initialize()
    def begin(self) -> None:
        self.disk = MemoryDisk()
        self.store = store_on(self.disk)
        self.replica = self.store.open().replica
        self.entries: list[Entry] = []
        self.hard_state = HardState(Term(0), None)
        self.snapshot: SnapshotMeta | None = None
        self.term = 1
        self.state_if_not_applied: tuple[list[Entry], HardState, SnapshotMeta | None] | None = None

    def last_index(self) -> int:
        if self.entries:
            return self.entries[-1].index
        return self.snapshot.index if self.snapshot else 0

    @rule(count=st.integers(1, 8), size_bytes=st.integers(0, 400), back=st.integers(0, 5))
    def persist(self, count: int, size_bytes: int, back: int) -> None:
        floor = self.snapshot.index if self.snapshot else 0
        truncate_from = max(floor + 1, self.last_index() + 1 - back) if back else None
        first = truncate_from if truncate_from is not None else self.last_index() + 1
        self.term += 1
        new = [entry(first + i, self.term, b"d" * size_bytes) for i in range(count)]
        try:
            self.store.persist(batch_with(*new, truncate_from=truncate_from, term=self.term))
        except DiskFullError:
            return
        self.entries = [e for e in self.entries if e.index < first] + new
        self.hard_state = HardState(Term(self.term), ReplicaId("r1"))

    @rule(share=st.floats(0, 1), keep=st.integers(0, 3))
    def snapshot_and_compact(self, share: float, keep: int) -> None:
        floor = self.snapshot.index if self.snapshot else 0
        later = [e for e in self.entries if e.index > floor]
        if not later:
            return
        at = later[int(share * (len(later) - 1))]
        snapshot = meta(at.index, at.term)
        try:
            self.snapshot = self.store.take_snapshot(snapshot, f"state-{at.index}".encode())
        except DiskFullError:
            return
        self.store.compact(LogIndex(at.index + 1 - keep))

    @rule(ahead=st.integers(1, 30))
    def install(self, ahead: int) -> None:
        snapshot = meta(self.last_index() + ahead, self.term)
        try:
            self.store.install_snapshot(snapshot, f"state-{snapshot.index}".encode())
        except DiskFullError:
            self.state_if_not_applied = (self.entries, self.hard_state, self.snapshot)
            self.snapshot, self.entries = snapshot, []
            self.restart()
            return
        self.snapshot, self.entries = snapshot, []

    @rule(room_bytes=st.integers(0, 3000))
    def fill_disk(self, room_bytes: int) -> None:
        self.disk.capacity_bytes -= self.disk.free_bytes("") - room_bytes

    @rule()
    def free_disk(self) -> None:
        self.disk.capacity_bytes = 1 << 40

    @rule(seed=seeds, torn=st.booleans())
    def power_cut(self, seed: int, torn: bool) -> None:
        self.disk.power_cut(random.Random(seed) if torn else None)
        self.restart()

    @rule()
    def kill(self) -> None:
        self.disk.process_killed()
        self.restart()

    @rule(calls=st.integers(0, 12), seed=seeds, action=st.sampled_from(["persist", "snapshot", "install"]))
    def power_cut_within(self, calls: int, seed: int, action: str) -> None:
        """Cut the power during an action, which must then have taken effect completely or not at all."""
        before = (self.entries, self.hard_state, self.snapshot)
        self.disk.calls_until_failure = calls
        try:
            if action == "persist":
                self.persist(3, 250, 2)
            elif action == "snapshot":
                self.snapshot_and_compact(0.7, 0)
            else:
                self.install(5)
        except DiskFailedError:
            if self.snapshot is before[2]:
                self.state_if_not_applied = before
                self.expect_after(action)
        self.disk.failing, self.disk.calls_until_failure = False, None
        self.disk.power_cut(random.Random(seed))
        self.restart()

    def expect_after(self, action: str) -> None:
        """Set the model to the state in which the interrupted action took effect."""
        floor = self.snapshot.index if self.snapshot else 0
        if action == "persist":
            first = max(floor + 1, self.last_index() - 1)
            new = [entry(first + i, self.term, b"d" * 250) for i in range(3)]
            self.entries = [e for e in self.entries if e.index < first] + new
            self.hard_state = HardState(Term(self.term), ReplicaId("r1"))
        elif action == "install":
            self.snapshot, self.entries = meta(self.last_index() + 5, self.term), []
        else:
            later = [e for e in self.entries if e.index > floor]
            at = later[int(0.7 * (len(later) - 1))]
            self.snapshot = meta(at.index, at.term)

    def restart(self) -> None:
        self.disk.capacity_bytes = 1 << 40
        self.store.close()
        self.store = store_on(self.disk, 99)
        recovered = self.store.open()
        assert recovered.replica == self.replica
        if self.state_if_not_applied is not None and not self.matches(recovered):
            self.entries, self.hard_state, self.snapshot = self.state_if_not_applied
        self.state_if_not_applied = None
        assert self.matches(recovered)

    def matches(self, recovered: RecoveredState) -> bool:
        floor = self.snapshot.index if self.snapshot else 0
        data = f"state-{floor}".encode() if floor else b""
        return (
            recovered.hard_state == self.hard_state
            and (recovered.snapshot.index if recovered.snapshot else 0) == floor
            and recovered.snapshot_data == data
            and list(recovered.entries) == [e for e in self.entries if e.index > floor]
        )


TestStore = StoreMachine.TestCase
TestStore.settings = settings(max_examples=100, stateful_step_count=30, derandomize=True, deadline=None)
