"""A thread that executes storage effects in order, off the event loop.

Each result is delivered on the event loop as an event.
"""

from __future__ import annotations

import asyncio
import queue
import threading
from collections import deque
from collections.abc import Callable
from typing import Protocol

from springmux.agent.effects import WriteSnapshot
from springmux.agent.storage_effects import StorageEffect
from springmux.coordination.claims.events import ClaimsPersisted, ClaimsPersistFailed, PersistClaims
from springmux.coordination.consensus.effects import (
    CompactLog,
    InstallSnapshot,
    Persist,
    Persisted,
    PersistFailed,
    SnapshotFailed,
    SnapshotInstalled,
    SnapshotTaken,
)
from springmux.coordination.consensus.types import SnapshotMeta
from springmux.coordination.identifiers import LogIndex
from springmux.coordination.membership.remembered import RememberPeers
from springmux.coordination.state_machine import Event
from springmux.node.metrics.registry import NodeMetrics
from springmux.storage.claim_journal import ClaimJournal
from springmux.storage.disk import DiskFullError
from springmux.storage.peer_list import PeerList

STALL_AFTER_S = 0.25
"""Age from which an unfinished operation counts as a disk stall.

It is well below an election timeout, so that a leader can transfer its leadership first.
"""

FAILURE_KINDS: dict[type[Event], str] = {
    PersistFailed: "PersistFailed",
    SnapshotFailed: "SnapshotFailed",
    ClaimsPersistFailed: "ClaimsPersistFailed",
}
"""Values of the metric label of failures, by the event that reports the failure."""


class Store(Protocol):
    """Interface to the blocking store :class:`springmux.storage.replica_store.ReplicaStore`."""

    def persist(self, batch: Persist) -> None:
        """Write a batch and sync it to disk."""

    def take_snapshot(self, meta: SnapshotMeta, data: bytes) -> SnapshotMeta:
        """Write a snapshot durably; return its metadata with the size."""

    def install_snapshot(self, meta: SnapshotMeta, data: bytes) -> None:
        """Replace the snapshot and the log durably."""

    def compact(self, first_kept: LogIndex) -> None:
        """Drop the log entries before ``first_kept``."""

    def close(self) -> None:
        """Close the files and release the folder."""


class StorageWorker:
    """Owns the store, the claim journal and the peer list. Nothing else may use them while it runs.

    :param deliver: called on the event loop with the event of each result.
    """

    def __init__(
        self,
        store: Store,
        deliver: Callable[[Event], None],
        metrics: NodeMetrics,
        journal: ClaimJournal | None = None,
        peer_list: PeerList | None = None,
    ) -> None:
        self._store = store
        self._peer_list = peer_list
        self._journal = journal
        self._deliver = deliver
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._work: queue.SimpleQueue[StorageEffect | None] = queue.SimpleQueue()
        self._waiting_since: deque[float] = deque()
        # A daemon thread, so that a stalled disk does not keep a stopped process alive.
        self._thread = threading.Thread(target=self._run, name="storage", daemon=True)
        self._thread.start()

    def submit(self, effect: StorageEffect) -> None:
        """Queue an effect for the thread. Must be called on the event loop."""
        self._waiting_since.append(self._loop.time())
        self._work.put(effect)

    def oldest_wait_s(self) -> float:
        """Return the age of the oldest unfinished operation in seconds; 0 if there is none."""
        return self._loop.time() - self._waiting_since[0] if self._waiting_since else 0.0

    def stop(self, timeout_s: float) -> None:
        """Execute the queued effects, close the store, and block until then or for ``timeout_s``."""
        self._work.put(None)
        self._thread.join(timeout_s)

    def _run(self) -> None:
        while (effect := self._work.get()) is not None:
            event = self._execute(effect)
            try:
                self._loop.call_soon_threadsafe(self._finished, event)
            except RuntimeError:
                break  # the loop is closed: the process is ending
        try:
            if self._journal is not None:
                self._journal.close()
            self._store.close()
        except Exception:  # noqa: BLE001 - all acknowledged data is already durable
            self._metrics.count("storage_failures_total", "close")

    def _finished(self, event: Event | None) -> None:
        waited_s = self._loop.time() - self._waiting_since.popleft()
        self._metrics.observe("storage_write_seconds", waited_s)
        if isinstance(event, PersistFailed | SnapshotFailed | ClaimsPersistFailed):
            self._metrics.count("storage_failures_total", FAILURE_KINDS[type(event)])
        if event is not None:
            self._deliver(event)

    def _execute(self, effect: StorageEffect) -> Event | None:
        if isinstance(effect, Persist):
            return self._persist(effect)
        if isinstance(effect, WriteSnapshot):
            return self._take_snapshot(effect)
        if isinstance(effect, InstallSnapshot):
            return self._install_snapshot(effect)
        if isinstance(effect, PersistClaims):
            return self._persist_claims(effect)
        if isinstance(effect, RememberPeers):
            self._remember(effect)
            return None
        return self._compact(effect)

    def _persist(self, effect: Persist) -> Event:
        try:
            self._store.persist(effect)
        except DiskFullError as error:
            return PersistFailed(batch=effect.batch, full=True, reason=str(error))
        except Exception as error:  # noqa: BLE001 - after any error the batch may not be durable
            return PersistFailed(batch=effect.batch, full=False, reason=_describe(error))
        return Persisted(batch=effect.batch)

    def _persist_claims(self, effect: PersistClaims) -> Event:
        try:
            if self._journal is None:
                raise RuntimeError("this node has no claim journal")
            self._journal.append(effect.records)
        except DiskFullError as error:
            return ClaimsPersistFailed(batch=effect.batch, full=True, reason=str(error))
        except Exception as error:  # noqa: BLE001 - after any error the batch may not be durable
            return ClaimsPersistFailed(batch=effect.batch, full=False, reason=_describe(error))
        return ClaimsPersisted(batch=effect.batch)

    def _take_snapshot(self, effect: WriteSnapshot) -> Event:
        try:
            meta = self._store.take_snapshot(effect.meta, effect.data)
        except Exception as error:  # noqa: BLE001 - after any error the snapshot may not be durable
            return SnapshotFailed(index=effect.meta.index, reason=_describe(error))
        return SnapshotTaken(meta=meta, data=effect.data)

    def _install_snapshot(self, effect: InstallSnapshot) -> Event:
        try:
            self._store.install_snapshot(effect.meta, effect.data)
        except Exception as error:  # noqa: BLE001 - after any error the snapshot may not be durable
            return SnapshotFailed(index=effect.meta.index, reason=_describe(error))
        return SnapshotInstalled(meta=effect.meta)

    def _remember(self, effect: RememberPeers) -> None:
        try:
            if self._peer_list is not None:
                self._peer_list.save(effect.peers)
        except Exception:  # noqa: BLE001
            # After any error the previous list remains. A disk failure is reported by the next batch.
            self._metrics.count("storage_failures_total", "peer_list")

    def _compact(self, effect: CompactLog) -> Event | None:
        try:
            self._store.compact(effect.first_kept)
        except Exception:  # noqa: BLE001
            # Any error costs only disk space, and the next snapshot compacts again. A disk failure is
            # reported by the next batch.
            self._metrics.count("storage_failures_total", "compaction")
        return None


def _describe(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"
