"""A replica's folder under kills, power cuts, torn writes, corruption, and full, stalled or wiped disks."""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable

import msgspec
import pytest

from springmux.coordination.consensus.effects import Persist
from springmux.coordination.consensus.types import EntryKind, HardState
from springmux.coordination.identifiers import GroupId, LogIndex, ReplicaId, Term
from springmux.storage.disk import DiskFailedError, DiskFullError, FolderLockedError
from springmux.storage.errors import (
    FolderWipedError,
    LogCorruptError,
    SnapshotMissingError,
    StorageDamagedError,
)
from springmux.storage.memory_disk import MemoryDisk
from springmux.storage.replica_store import FIRST_START_NAME, ReplicaStore
from tests.unit.storage.support import FOLDER, MEMBERS, RESERVE_BYTES, batch_with, entry, meta, store_on


def open_store(disk: MemoryDisk) -> ReplicaStore:
    store = store_on(disk)
    store.open()
    return store


def store_with_entries(disk: MemoryDisk, count: int) -> ReplicaStore:
    store = open_store(disk)
    for index in range(1, count + 1):
        store.persist(batch_with(entry(index), term=1))
    return store


def segments(disk: MemoryDisk) -> list[str]:
    return [name for name in disk.list_folder(FOLDER) if name.endswith(".segment")]


def test_identity_created_at_the_first_start_is_kept_by_later_starts() -> None:
    disk = MemoryDisk()
    first = store_on(disk, seed=1)
    replica = first.open().replica
    assert first.recovery_report.new_replica
    disk.power_cut()
    again = store_on(disk, seed=2)
    assert again.open().replica == replica
    assert not again.recovery_report.new_replica


@pytest.mark.parametrize("calls", range(40))
def test_folder_opens_after_a_power_cut_at_any_call_of_the_first_start(calls: int) -> None:
    disk = MemoryDisk()
    disk.calls_until_failure = calls
    with contextlib.suppress(DiskFailedError):
        store_on(disk).open()
    disk.failing, disk.calls_until_failure = False, None
    disk.power_cut(random.Random(calls))
    store = store_on(disk, seed=8)
    assert store.open().entries == ()
    store.persist(batch_with(entry(1)))
    disk.power_cut()
    assert store_on(disk).open().entries == (entry(1),)


def end_after_calls(disk: MemoryDisk, calls: int, action: Callable[[], object]) -> None:
    """Let the disk fail after ``calls`` calls of ``action``, as if the process had ended there."""
    disk.calls_until_failure = calls
    with contextlib.suppress(DiskFailedError):
        action()
    disk.failing, disk.calls_until_failure = False, None


MARK_PATH = f"{FOLDER}/{FIRST_START_NAME}"
MOST_CALLS_BEFORE_THE_MARK = 15


@pytest.mark.parametrize("ends", ["kill", "power cut"])
@pytest.mark.parametrize("calls", range(40))
def test_replica_of_an_interrupted_first_start_keeps_the_mark(calls: int, ends: str) -> None:
    """Guards against a founder that only joins after a kill between two writes of its new folder."""
    disk = MemoryDisk()
    end_after_calls(disk, calls, lambda: store_on(disk, first_start=True).open())
    if ends == "kill":
        disk.process_killed()
    else:
        disk.power_cut(random.Random(calls))
    marked = disk.exists(MARK_PATH)
    assert marked or calls < MOST_CALLS_BEFORE_THE_MARK, "the mark is to be the first file"
    assert store_on(disk, seed=8).open().first_start == marked
    disk.power_cut()
    assert store_on(disk, seed=9).open().first_start == marked


@pytest.mark.parametrize("ends", ["kill", "power cut"])
@pytest.mark.parametrize("calls", range(40))
def test_replica_after_an_interrupted_set_aside_has_no_mark(calls: int, ends: str) -> None:
    """Guards against a mark of the first start on a machine that has lost the votes it gave since."""
    disk = MemoryDisk()
    used = store_on(disk, first_start=True)
    used.open()
    used.persist(batch_with(entry(1), term=3))
    used.close()
    end_after_calls(disk, calls, store_on(disk).set_aside)
    if ends == "kill":
        disk.process_killed()
    else:
        disk.power_cut(random.Random(calls))
    try:
        recovered = store_on(disk, seed=8).open()
    except StorageDamagedError:
        store_on(disk).set_aside()
        recovered = store_on(disk, seed=8).open()
    assert not recovered.first_start or recovered.entries == (entry(1),)


def test_wiped_disk_becomes_a_new_replica() -> None:
    disk = MemoryDisk()
    before = store_on(disk, seed=1).open().replica
    disk.wipe()
    recovered = store_on(disk, seed=2).open()
    assert recovered.replica != before
    assert recovered.hard_state == HardState(Term(0), None)


def test_hard_state_founding_and_entries_survive_a_power_cut() -> None:
    disk = MemoryDisk()
    store = open_store(disk)
    founding = (GroupId("g"), MEMBERS)
    store.persist(Persist(1, HardState(Term(3), ReplicaId("r2")), None, (entry(1, 3),), founding))
    disk.power_cut()
    recovered = store_on(disk).open()
    assert recovered.hard_state == HardState(Term(3), ReplicaId("r2"))
    assert (recovered.group, recovered.founding_members) == founding
    assert recovered.entries == (entry(1, 3),)


def test_newest_commit_index_survives_a_power_cut() -> None:
    disk = MemoryDisk()
    store = open_store(disk)
    for batch in (batch_with(entry(1)), batch_with(entry(2)), batch_with(entry(3))):
        store.persist(msgspec.structs.replace(batch, committed=LogIndex(batch.entries[0].index - 1)))
    store.persist(batch_with(term=4))
    disk.power_cut()
    assert store_on(disk).open().committed == 2


def test_one_batch_costs_one_sync() -> None:
    disk = MemoryDisk()
    store = open_store(disk)
    before = disk.sync_count
    store.persist(batch_with(entry(1), entry(2), entry(3), term=2))
    assert disk.sync_count == before + 1


def test_stall_is_reported_to_the_driver() -> None:
    disk = MemoryDisk()
    store = open_store(disk)
    disk.stall_s = 2.5
    store.persist(batch_with(entry(1)))
    assert disk.take_stalled_s() == 2.5


def test_overwritten_suffix_stays_overwritten_after_a_power_cut() -> None:
    disk = MemoryDisk()
    store = store_with_entries(disk, 20)
    store.persist(batch_with(entry(11, 2), truncate_from=11, term=2))
    disk.power_cut()
    recovered = store_on(disk).open()
    assert [e.index for e in recovered.entries] == list(range(1, 12))
    assert recovered.entries[-1].term == 2


def test_batch_that_leaves_a_gap_is_rejected() -> None:
    store = store_with_entries(MemoryDisk(), 3)
    with pytest.raises(ValueError, match="entry 5 does not follow 3"):
        store.persist(batch_with(entry(5)))


def test_torn_tail_is_truncated_and_the_log_accepts_entries() -> None:
    disk = MemoryDisk()
    store_with_entries(disk, 3).close()
    disk.open(f"{FOLDER}/{segments(disk)[-1]}").append(b"\xc5SM1\x02\x10\x00")
    store = store_on(disk)
    assert len(store.open().entries) == 3
    assert store.recovery_report.truncated_bytes == 7
    store.persist(batch_with(entry(4)))
    disk.power_cut()
    assert len(store_on(disk).open().entries) == 4


@pytest.mark.parametrize("segment", [0, -1])
def test_corruption_before_the_tail_is_reported_with_file_and_offset(segment: int) -> None:
    disk = MemoryDisk()
    store_with_entries(disk, 22).close()
    name = segments(disk)[segment]
    assert len(segments(disk)) > 2
    disk.corrupt(f"{FOLDER}/{name}", 30)
    with pytest.raises(LogCorruptError) as caught:
        store_on(disk).open()
    assert (caught.value.file, caught.value.offset) == (name, 0)


@pytest.mark.parametrize("segment", [0, -1])
def test_one_changed_byte_of_an_entry_is_reported(segment: int) -> None:
    disk = MemoryDisk()
    store_with_entries(disk, 24).close()
    path = f"{FOLDER}/{segments(disk)[segment]}"
    first_entry = disk.read(path).find(b"xxxx")
    record = disk.read(path).rfind(b"\xc5SM1", 0, first_entry)
    assert disk.read(path).find(b"\xc5SM1", first_entry) > first_entry
    disk.corrupt(path, first_entry + 7)
    with pytest.raises(LogCorruptError) as caught:
        store_on(disk).open()
    assert caught.value.offset == record


def test_corruption_of_the_last_batch_is_truncated_like_a_torn_write() -> None:
    disk = MemoryDisk()
    store_with_entries(disk, 24).close()
    path = f"{FOLDER}/{segments(disk)[-1]}"
    disk.corrupt(path, len(disk.read(path)) - 1)
    store = store_on(disk)
    assert [e.index for e in store.open().entries] == list(range(1, 24))
    assert store.recovery_report.truncated_bytes > 0


def test_missing_segment_is_reported() -> None:
    disk = MemoryDisk()
    store_with_entries(disk, 22).close()
    disk.remove(f"{FOLDER}/{segments(disk)[1]}")
    with pytest.raises(LogCorruptError, match="segment is missing"):
        store_on(disk).open()


def test_segment_truncated_at_a_record_boundary_is_reported() -> None:
    disk = MemoryDisk()
    store_with_entries(disk, 22).close()
    first = f"{FOLDER}/{segments(disk)[0]}"
    record_bytes = len(disk.read(first)) - disk.read(first).rfind(b"\xc5SM1")
    disk.open(first).truncate(len(disk.read(first)) - record_bytes)
    with pytest.raises(LogCorruptError, match="are missing before this segment"):
        store_on(disk).open()


def test_corrupt_replica_is_set_aside_and_restarts_as_a_new_one() -> None:
    disk = MemoryDisk()
    before = store_on(disk, 1).open().replica
    disk.process_killed()
    store_with_entries(disk, 22).close()
    disk.corrupt(f"{FOLDER}/{segments(disk)[0]}", 30)
    store = store_on(disk, 2)
    with pytest.raises(LogCorruptError):
        store.open()
    store.set_aside()
    recovered = store.open()
    assert recovered.replica != before
    assert recovered.entries == ()
    assert any(name.endswith(".segment.damaged") for name in disk.list_folder(FOLDER))


@pytest.mark.parametrize("lost", ["replica-id", "log", "in-use"])
def test_used_folder_with_a_missing_part_is_not_treated_as_new(lost: str) -> None:
    disk = MemoryDisk()
    store_with_entries(disk, 2).close()
    for name in segments(disk) if lost == "log" else [lost]:
        disk.remove(f"{FOLDER}/{name}")
    with pytest.raises(FolderWipedError):
        store_on(disk).open()


def test_two_processes_do_not_share_a_folder() -> None:
    disk = MemoryDisk()
    store = open_store(disk)
    with pytest.raises(FolderLockedError):
        store_on(disk).open()
    store.close()
    store_on(disk).open()


def test_snapshot_and_compaction_free_segments_and_are_recovered() -> None:
    disk = MemoryDisk()
    store = store_with_entries(disk, 40)
    before = len(segments(disk))
    store.take_snapshot(meta(20), b"state-20")
    store.take_snapshot(meta(30), b"state-30")
    store.compact(LogIndex(31))
    assert len(segments(disk)) < before
    disk.power_cut()
    recovered = store_on(disk).open()
    assert recovered.snapshot_data == b"state-30"
    assert recovered.snapshot is not None and recovered.snapshot.size_bytes == 8
    assert [e.index for e in recovered.entries] == list(range(31, 41))


@pytest.mark.parametrize("damaged_byte", [3, 25, -1])
def test_recovery_uses_the_older_snapshot_if_the_newest_is_corrupt(damaged_byte: int) -> None:
    disk = MemoryDisk()
    store = store_with_entries(disk, 40)
    store.take_snapshot(meta(20), b"state-20")
    store.take_snapshot(meta(30), b"state-30")
    store.compact(LogIndex(31))
    store.close()
    disk.corrupt(f"{FOLDER}/snapshot-{30:020d}.snapshot", damaged_byte)
    again = store_on(disk)
    recovered = again.open()
    assert recovered.snapshot_data == b"state-20"
    assert [e.index for e in recovered.entries] == list(range(21, 41))
    assert again.recovery_report.damaged_snapshots == (f"snapshot-{30:020d}.snapshot",)


def test_missing_snapshot_before_the_log_is_reported() -> None:
    disk = MemoryDisk()
    store = open_store(disk)
    store.install_snapshot(meta(50), b"state-50")
    store.close()
    disk.corrupt(f"{FOLDER}/snapshot-{50:020d}.snapshot", 25)
    with pytest.raises(SnapshotMissingError):
        store_on(disk).open()


def test_installed_snapshot_replaces_the_log() -> None:
    disk = MemoryDisk()
    store = store_with_entries(disk, 10)
    store.install_snapshot(meta(50, 4), b"state-50")
    store.persist(batch_with(entry(51, 4)))
    disk.power_cut()
    recovered = store_on(disk).open()
    assert recovered.snapshot_data == b"state-50"
    assert recovered.entries == (entry(51, 4),)
    assert recovered.hard_state.term == 1


@pytest.mark.parametrize("index", [50, 8])
def test_snapshot_installation_interrupted_by_a_power_cut_is_completed_at_start(index: int) -> None:
    disk = MemoryDisk()
    store = store_with_entries(disk, 10)
    store.take_snapshot(meta(index, 4), b"installed")
    disk.power_cut()
    store = store_on(disk)
    recovered = store.open()
    assert (recovered.snapshot_data, recovered.entries) == (b"installed", ())
    store.persist(batch_with(entry(index + 1, 4)))
    disk.power_cut()
    assert store_on(disk).open().entries == (entry(index + 1, 4),)


def test_full_disk_rejects_commands_stores_votes_and_recovers_without_a_restart() -> None:
    disk = MemoryDisk()
    store = store_with_entries(disk, 3)
    capacity = disk.capacity_bytes
    disk.capacity_bytes = capacity - disk.free_bytes(FOLDER) + 20
    with pytest.raises(DiskFullError):
        store.persist(batch_with(entry(4), term=2))
    store.persist(batch_with(entry(4, 5, b"", EntryKind.BARRIER), term=5))
    assert not store.accepts_commands()
    with pytest.raises(DiskFullError):
        store.persist(batch_with(entry(5, 5)))
    disk.capacity_bytes += 2 * RESERVE_BYTES
    assert store.accepts_commands()
    store.persist(batch_with(entry(5, 5)))
    disk.power_cut()
    recovered = store_on(disk).open()
    assert [e.index for e in recovered.entries] == [1, 2, 3, 4, 5]
    assert recovered.hard_state.term == 5


def test_full_disk_stores_the_snapshot_that_frees_space() -> None:
    disk = MemoryDisk()
    store = store_with_entries(disk, 60)
    disk.capacity_bytes -= disk.free_bytes(FOLDER)
    store.take_snapshot(meta(55), b"s" * 200)
    store.compact(LogIndex(56))
    assert disk.free_bytes(FOLDER) > 0
    disk.power_cut()
    assert [e.index for e in store_on(disk).open().entries] == [56, 57, 58, 59, 60]


def test_no_write_succeeds_after_a_disk_failure() -> None:
    disk = MemoryDisk()
    store = store_with_entries(disk, 3)
    disk.failing = True
    with pytest.raises(DiskFailedError):
        store.persist(batch_with(entry(4)))
    disk.failing = False
    with pytest.raises(DiskFailedError):
        store.persist(batch_with(entry(4)))
    disk.power_cut()
    assert len(store_on(disk).open().entries) == 3
