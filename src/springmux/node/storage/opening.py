"""Open a node's data folder, and handle a damaged replica, a wiped folder and a failing disk."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import msgspec

from springmux.coordination.claims.journal import RecoveredClaims
from springmux.coordination.consensus.types import RecoveredState
from springmux.coordination.membership.remembered import RememberedPeer
from springmux.coordination.state_machine import LogLevel
from springmux.node.logs import EventLog
from springmux.storage.claim_journal import ClaimJournal
from springmux.storage.disk import Disk, DiskError, FolderLockedError
from springmux.storage.errors import StorageDamagedError
from springmux.storage.peer_list import PeerList
from springmux.storage.real_disk import RealDisk
from springmux.storage.replica_store import ReplicaStore

REPLICA_FOLDER = "replica"
FLEET_FOLDER = "fleet"
"""Folder of the files that a node keeps even if its replica is set aside."""


class OpenedStorage(msgspec.Struct, frozen=True):
    """A usable store and the state recovered from it, or the reason why there is no store."""

    store: ReplicaStore | None
    recovered: RecoveredState | None
    reason: str = ""
    journal: ClaimJournal | None = None
    claims: RecoveredClaims | None = None
    peer_list: PeerList | None = None
    remembered: tuple[RememberedPeer, ...] = ()


def open_storage(
    data_folder: Path,
    log: EventLog,
    make_disk: Callable[[Path], Disk] = RealDisk,
    first_start: bool = False,
) -> OpenedStorage:
    """Open the replica in ``data_folder`` (blocking).

    A damaged or wiped replica is set aside and replaced by one with a new identity. With a failing disk the
    node routes without a replica.

    :param make_disk: returns the disk whose root is the data folder.
    :param first_start: whether this is the first start of the whole fleet; matters for a new replica.
    :raises FolderLockedError: if another process uses the folder.
    """
    disk = make_disk(data_folder)
    store = ReplicaStore(disk, REPLICA_FOLDER, first_start=first_start)
    try:
        return _opened(disk, store, log)
    except StorageDamagedError as damage:
        log.write(
            "replica_damaged",
            LogLevel.ERROR,
            reason=str(damage),
            action="its files are kept with the suffix .damaged; the node rejoins as a new replica",
        )
    except FolderLockedError:
        raise
    except DiskError as error:
        return _unusable(error, log)
    try:
        store.set_aside()
        # This does not count as a first start: entries that the damaged replica acknowledged are lost.
        return _opened(disk, ReplicaStore(disk, REPLICA_FOLDER), log)
    except (StorageDamagedError, DiskError) as error:
        return _unusable(error, log)


def set_aside_replica(data_folder: Path, log: EventLog, make_disk: Callable[[Path], Disk] = RealDisk) -> None:
    """Set the files of a closed replica aside (blocking), so that the next opening creates a new replica.

    A disk error is only logged: the replica will be asked again to restart as a new one.

    :raises FolderLockedError: if the folder is still in use.
    """
    try:
        ReplicaStore(make_disk(data_folder), REPLICA_FOLDER).set_aside()
    except FolderLockedError:
        raise
    except DiskError as error:
        log.write(
            "replica_not_set_aside", LogLevel.ERROR, reason=str(error), action="repair or replace the disk"
        )


def _opened(disk: Disk, store: ReplicaStore, log: EventLog) -> OpenedStorage:
    recovered = store.open()
    report = store.recovery_report
    log.write(
        "replica_opened",
        replica=recovered.replica,
        new=report.new_replica,
        cut_bytes=report.truncated_bytes,
        damaged_snapshots=len(report.damaged_snapshots),
        entries=len(recovered.entries),
    )
    journal = ClaimJournal(disk, REPLICA_FOLDER, recovered.replica)
    claims = _open_claims(journal, report.new_replica, log)
    peer_list = PeerList(disk, FLEET_FOLDER)
    return OpenedStorage(
        store=store,
        recovered=recovered,
        journal=journal if claims is not None else None,
        claims=claims,
        peer_list=peer_list,
        remembered=_load_peers(peer_list, log),
    )


def _load_peers(peer_list: PeerList, log: EventLog) -> tuple[RememberedPeer, ...]:
    """Return the peers known before the restart. Without them the node has only its seeds."""
    try:
        peers = peer_list.load()
    except DiskError as error:
        log.write("peer_list_unusable", LogLevel.ERROR, reason=str(error))
        return ()
    level = LogLevel.ERROR if peer_list.corruption else LogLevel.INFO
    log.write("peer_list_opened", level, peers=len(peers), damage=peer_list.corruption)
    return peers


def _open_claims(journal: ClaimJournal, new_replica: bool, log: EventLog) -> RecoveredClaims | None:
    """Open the claim journal. Without it (``None``) the node keeps claims in memory only."""
    try:
        claims = journal.open(new_replica)
    except DiskError as error:
        log.write("claim_journal_unusable", LogLevel.ERROR, reason=str(error))
        return None
    log.write(
        "claim_journal_opened",
        LogLevel.ERROR if claims.damage else LogLevel.INFO,
        claims=len(claims.claims),
        cut_bytes=journal.truncated_bytes,
        damage=claims.damage,
    )
    return claims


def _unusable(error: Exception, log: EventLog) -> OpenedStorage:
    log.write(
        "replica_unusable",
        LogLevel.ERROR,
        reason=str(error),
        action="the node routes without a replica; repair or replace the disk and restart the node",
    )
    return OpenedStorage(store=None, recovered=None, reason=str(error))
