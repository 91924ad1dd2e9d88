"""The daemon's fault injection: a full, a stalled and a whole disk, and the wall clock."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from springmux.node.fault_injection import FaultInjector, NodeFaults
from springmux.storage.disk import DiskFullError

JOIN_S = 10.0
"""Only a broken test waits so long."""


@pytest.fixture
def injector() -> Iterator[FaultInjector]:
    made = FaultInjector()
    yield made
    made.set(NodeFaults())


def test_a_full_disk_refuses_and_a_removed_file_leaves_its_room(
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


def test_a_stalled_write_goes_on_once_the_disk_is_whole(injector: FaultInjector, tmp_path: Path) -> None:
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


def test_the_wall_clock_jumps_and_comes_back_while_the_monotonic_one_stays(injector: FaultInjector) -> None:
    wall, monotonic = time.time(), time.monotonic()
    injector.set(NodeFaults(clock_offset_s=-3600.0))
    assert time.time() < wall - 3000.0
    assert time.monotonic() >= monotonic
    injector.set(NodeFaults())
    assert time.time() >= wall


def test_cut_holds_until_it_is_taken_back(injector: FaultInjector) -> None:
    injector.set(NodeFaults(cut=True))
    assert injector.partitioned()
    injector.set(NodeFaults(clock_offset_s=1.0))
    assert not injector.partitioned()
