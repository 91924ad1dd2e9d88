"""The disk of the operating system follows the same contract as the disk in memory."""

from __future__ import annotations

import errno
import os
from pathlib import Path

import pytest

from springmux.coordination.identifiers import LogIndex
from springmux.storage.disk import DiskFailedError, DiskFullError, FolderLockedError, write_atomically
from springmux.storage.real_disk import RealDisk, RealFile
from springmux.storage.replica_store import ReplicaStore
from tests.unit.storage.support import SMALL_SEGMENT_BYTES, batch_with, entry, meta


def store_in(folder: Path) -> ReplicaStore:
    return ReplicaStore(RealDisk(folder), "data", segment_bytes=SMALL_SEGMENT_BYTES, reserve_bytes=1 << 16)


def test_replica_is_recovered_after_a_restart(tmp_path: Path) -> None:
    store = store_in(tmp_path)
    replica = store.open().replica
    for index in range(1, 41):
        store.persist(batch_with(entry(index), term=2))
    store.take_snapshot(meta(20), b"state-20")
    store.take_snapshot(meta(30), b"state-30")
    store.compact(LogIndex(31))
    store.close()
    segments = list((tmp_path / "data").glob("*.segment"))
    recovered = store_in(tmp_path).open()
    assert recovered.replica == replica
    assert recovered.snapshot_data == b"state-30"
    assert [e.index for e in recovered.entries] == list(range(31, 41))
    assert len(segments) < 40
    assert (tmp_path / "data" / "reserve").stat().st_blocks * 512 >= 1 << 16


def test_new_replicas_have_different_identities(tmp_path: Path) -> None:
    assert store_in(tmp_path / "a").open().replica != store_in(tmp_path / "b").open().replica


def test_folder_can_be_opened_by_one_store_at_a_time(tmp_path: Path) -> None:
    store = store_in(tmp_path)
    store.open()
    with pytest.raises(FolderLockedError):
        store_in(tmp_path).open()
    store.close()
    store_in(tmp_path).open()


def test_full_device_raises_disk_full_error() -> None:
    file = RealFile("full", os.open("/dev/full", os.O_WRONLY))
    with pytest.raises(DiskFullError):
        file.append(b"x")
    file.close()


def test_other_errors_raise_disk_failed_error_with_the_path(tmp_path: Path) -> None:
    with pytest.raises(DiskFailedError, match="missing/file"):
        RealDisk(tmp_path).open("missing/file")


def test_preallocation_without_space_leaves_no_file(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def no_room(descriptor: int, offset: int, size_bytes: int) -> None:
        raise OSError(errno.ENOSPC, "No space left on device")

    monkeypatch.setattr(os, "posix_fallocate", no_room)
    disk = RealDisk(tmp_path)
    with pytest.raises(DiskFullError):
        disk.preallocate("reserve", 1 << 20)
    assert disk.list_folder("") == []


def test_atomic_write_replaces_the_file_and_leaves_no_temporary_file(tmp_path: Path) -> None:
    disk = RealDisk(tmp_path)
    disk.make_folder("d")
    write_atomically(disk, "d", "name", b"old")
    write_atomically(disk, "d", "name", b"new")
    assert disk.list_folder("d") == ["name"]
    assert disk.read("d/name") == b"new"
    assert disk.free_bytes("d") > 0
