"""The list of peers on disk: the newest or the one before comes back, a damaged one is passed over."""

from __future__ import annotations

import random

import pytest

from springmux.coordination.identifiers import Address, NodeId
from springmux.coordination.membership.remembered import RememberedPeer
from springmux.storage.disk import DiskFullError
from springmux.storage.memory_disk import MemoryDisk
from springmux.storage.peer_list import PEERS_NAME, PeerList
from tests.unit.storage.support import FOLDER


def peers(*names: str) -> tuple[RememberedPeer, ...]:
    return tuple(RememberedPeer(NodeId(name), Address(f"10.0.0.1:{7000 + len(name)}")) for name in names)


def test_the_newest_list_comes_back() -> None:
    disk = MemoryDisk()
    PeerList(disk, FOLDER).save(peers("a", "bb"))
    PeerList(disk, FOLDER).save(peers("a"))
    assert PeerList(disk, FOLDER).load() == peers("a")


def test_an_empty_disk_has_no_list_and_no_damage() -> None:
    found = PeerList(MemoryDisk(), FOLDER)
    assert (found.load(), found.corruption) == ((), "")


@pytest.mark.parametrize("seed", range(40))
def test_a_power_cut_leaves_the_old_list_or_the_new_one(seed: int) -> None:
    disk = MemoryDisk()
    PeerList(disk, FOLDER).save(peers("a"))
    PeerList(disk, FOLDER).save(peers("a", "bb"))
    disk.power_cut(random.Random(seed))
    assert PeerList(disk, FOLDER).load() == peers("a", "bb")


@pytest.mark.parametrize("offset", range(0, 40, 3))
def test_a_damaged_list_is_passed_over(offset: int) -> None:
    disk = MemoryDisk()
    PeerList(disk, FOLDER).save(peers("a", "bb", "ccc"))
    data = bytearray(disk.read(f"{FOLDER}/{PEERS_NAME}"))
    data[offset] ^= 0xFF
    disk.remove(f"{FOLDER}/{PEERS_NAME}")
    disk.open(f"{FOLDER}/{PEERS_NAME}").append(bytes(data))

    found = PeerList(disk, FOLDER)

    assert found.load() == ()
    assert found.corruption


def test_a_full_disk_keeps_the_older_list() -> None:
    disk = MemoryDisk()
    PeerList(disk, FOLDER).save(peers("a"))
    disk.capacity_bytes = 0
    with pytest.raises(DiskFullError):
        PeerList(disk, FOLDER).save(peers("a", "bb"))
    assert PeerList(disk, FOLDER).load() == peers("a")
