"""A node's disk in virtual time: executes storage effects in order, each with the delay of a sync."""

from __future__ import annotations

import random
from collections.abc import Callable

from springmux.agent.effects import WriteSnapshot
from springmux.agent.storage_effects import StorageEffect
from springmux.coordination.claims.events import ClaimsPersisted, ClaimsPersistFailed, PersistClaims
from springmux.coordination.claims.journal import RecoveredClaims
from springmux.coordination.consensus.effects import (
    CompactLog,
    DiskStalled,
    InstallSnapshot,
    Persist,
    Persisted,
    PersistFailed,
    SnapshotFailed,
    SnapshotInstalled,
    SnapshotTaken,
)
from springmux.coordination.consensus.types import RecoveredState
from springmux.coordination.membership.remembered import RememberedPeer, RememberPeers
from springmux.coordination.state_machine import Event
from springmux.simulation.world.scheduler import Scheduler
from springmux.storage.claim_journal import ClaimJournal
from springmux.storage.disk import DiskError, DiskFullError
from springmux.storage.errors import StorageDamagedError
from springmux.storage.memory_disk import MemoryDisk
from springmux.storage.peer_list import PeerList
from springmux.storage.replica_store import ReplicaStore

USUAL_SYNC_S = 0.002
"""Usual duration of a sync in seconds (docs/CAPACITY.md)."""
STALL_REPORT_PERIOD_S = 0.25
"""Seconds between reports of a stall, as ``node.storage_worker.STALL_AFTER_S``."""
SMALL_RESERVE_BYTES = 64 * 1024
SEGMENT_BYTES = 256 * 1024


class HollowDisk:
    """The disk of one machine, across its boots.

    :param deliver: delivers an event to the node's running process.
    """

    def __init__(
        self, scheduler: Scheduler, now: Callable[[], float], deliver: Callable[[Event], None], seed: str
    ) -> None:
        self.disk = MemoryDisk()
        self.sync_s = USUAL_SYNC_S
        self.stalled_until = 0.0
        self._scheduler = scheduler
        self._now = now
        self._deliver = deliver
        self._random = random.Random(seed)
        self._store: ReplicaStore | None = None
        self._journal: ClaimJournal | None = None
        self.claims: RecoveredClaims | None = None
        """Claims that the journal contained at the last :meth:`open`."""
        self._peer_list = PeerList(self.disk, "fleet")
        self.remembered: tuple[RememberedPeer, ...] = ()
        """Peers that the peer list contained at the last :meth:`open`."""
        self.first_start = False
        """Whether the replica last opened was created at the first start of the whole system."""
        self._free_at = 0.0
        self._boot = 0

    def open(self, first_start: bool = False) -> RecoveredState | None:
        """Open the replica for a new boot; return its state, or ``None`` if the disk fails.

        A damaged replica is set aside, as in the daemon.
        """
        self._boot += 1
        self._free_at = self._now()
        self.disk.process_killed()
        for _ in range(2):
            store = ReplicaStore(
                self.disk, "replica", self._random, SEGMENT_BYTES, SMALL_RESERVE_BYTES, first_start
            )
            try:
                recovered = store.open()
                self._journal = ClaimJournal(self.disk, "replica", recovered.replica)
                self.claims = self._journal.open(store.recovery_report.new_replica)
                self.remembered = self._peer_list.load()
                self.first_start = recovered.first_start
                self._store = store
                return recovered
            except StorageDamagedError:
                store.set_aside()
                first_start = False
            except DiskError:
                break
        self._store = None
        self.claims = None
        self.remembered = ()
        return None

    def stop(self) -> None:
        """Handle the end of the process: its queued effects are discarded."""
        self._boot += 1
        self._store = None

    def power_cut(self) -> None:
        """Handle a power loss: a random part of the data that was not synced survives."""
        self.stop()
        self.disk.power_cut(self._random)

    def wipe(self) -> None:
        """Replace the disk by an empty one."""
        self.stop()
        self.disk.wipe()

    def fill(self, full: bool) -> None:
        """Make the disk full, or free its space again."""
        self.disk.capacity_bytes = 0 if full else 1 << 40

    def stall(self, seconds: float) -> None:
        """Delay the end of every sync until ``seconds`` have passed."""
        self.stalled_until = self._now() + seconds
        self._report_stall()

    def submit(self, effect: StorageEffect) -> None:
        """Queue ``effect``: it is written halfway through its sync, and its result reported at the end."""
        begin = max(self._now(), self._free_at)
        end = max(begin + self.sync_s, self.stalled_until)
        self._free_at = end
        boot = self._boot
        results: list[Event] = []
        written_at = begin + (end - begin) / 2

        def write() -> None:
            if boot == self._boot and self._store is not None:
                event = self._carry_out(self._store, effect)
                if event is not None:
                    results.append(event)

        def report() -> None:
            if boot == self._boot:
                for event in results:
                    self._deliver(event)

        self._scheduler.at(written_at, write)
        self._scheduler.at(end, report)

    def _report_stall(self) -> None:
        if self._now() >= self.stalled_until:
            return
        waiting = self._free_at > self._now()
        if waiting and self._store is not None:
            self._deliver(DiskStalled(STALL_REPORT_PERIOD_S))
        self._scheduler.after(STALL_REPORT_PERIOD_S, self._report_stall)

    def _carry_out(self, store: ReplicaStore, effect: StorageEffect) -> Event | None:
        try:
            if isinstance(effect, PersistClaims):
                assert self._journal is not None
                self._journal.append(effect.records)
                return ClaimsPersisted(effect.batch)
            if isinstance(effect, RememberPeers):
                self._peer_list.save(effect.peers)
                return None
            return _apply(store, effect)
        except DiskError as error:
            return _failure(effect, error)


def _apply(
    store: ReplicaStore, effect: Persist | WriteSnapshot | InstallSnapshot | CompactLog
) -> Event | None:
    if isinstance(effect, Persist):
        store.persist(effect)
        return Persisted(effect.batch)
    if isinstance(effect, WriteSnapshot):
        return SnapshotTaken(store.take_snapshot(effect.meta, effect.data), effect.data)
    if isinstance(effect, InstallSnapshot):
        store.install_snapshot(effect.meta, effect.data)
        return SnapshotInstalled(effect.meta)
    store.compact(effect.first_kept)
    return None


def _failure(effect: StorageEffect, error: DiskError) -> Event | None:
    if isinstance(effect, Persist):
        return PersistFailed(effect.batch, isinstance(error, DiskFullError), str(error))
    if isinstance(effect, PersistClaims):
        return ClaimsPersistFailed(effect.batch, isinstance(error, DiskFullError), str(error))
    if isinstance(effect, CompactLog | RememberPeers):
        return None
    return SnapshotFailed(effect.meta.index, str(error))
