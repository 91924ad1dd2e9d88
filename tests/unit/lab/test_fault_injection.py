"""The daemon's fault injection: a full disk, a stalled disk, a jump of the wall clock, a partition."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from springmux.node.fault_injection import FaultInjector, NodeFaults
from springmux.storage.disk import DiskFullError

JOIN_S = 10.0
"""Timeout of waits; only a failing test waits so long."""


@pytest.fixture
def injector() -> Iterator[FaultInjector]:
    fault_injector = FaultInjector()
    yield fault_injector
    fault_injector.set(NodeFaults())


def test_a_full_disk_rejects_appends_until_a_removed_file_frees_space(
    injector: FaultInjector, tmp_path: Path
) -> None:
    disk = injector.disk(tmp_path)
    old, new = disk.open("old"), disk.open("new")
    old.append(b"12345")
    injector.set(NodeFaults(disk_full=True))
    with pytest.raises(DiskFullError):
        new.append(b"1")
    assert disk.free_bytes("") == 0
    disk.remove("old")
    new.append(b"123")
    with pytest.raises(DiskFullError):
        new.append(b"456")
    injector.set(NodeFaults())
    new.append(b"456")
    assert disk.read("new") == b"123456"


def test_a_stalled_write_continues_when_the_fault_ends(injector: FaultInjector, tmp_path: Path) -> None:
    injector.set(NodeFaults(disk_delay_s=3600.0))
    file = injector.disk(tmp_path).open("log")
    entered = threading.Event()

    def write() -> None:
        entered.set()
        file.append(b"entry")

    writer = threading.Thread(target=write, daemon=True)
    writer.start()
    assert entered.wait(JOIN_S)
    assert (tmp_path / "log").read_bytes() == b""
    injector.set(NodeFaults())
    writer.join(JOIN_S)
    assert (tmp_path / "log").read_bytes() == b"entry"


def test_a_clock_offset_changes_only_the_wall_clock_and_can_be_removed(injector: FaultInjector) -> None:
    wall, monotonic = time.time(), time.monotonic()
    injector.set(NodeFaults(clock_offset_s=-3600.0))
    assert time.time() < wall - 3000.0
    assert time.monotonic() >= monotonic
    injector.set(NodeFaults())
    assert time.time() >= wall


def test_a_partition_lasts_until_the_fault_is_removed(injector: FaultInjector) -> None:
    injector.set(NodeFaults(cut=True))
    assert injector.partitioned()
    injector.set(NodeFaults(clock_offset_s=1.0))
    assert not injector.partitioned()
