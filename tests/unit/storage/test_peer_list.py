"""The list of peers on disk: a saved list survives power cuts, a corrupt list is ignored and reported."""

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


def test_newest_list_is_loaded() -> None:
    disk = MemoryDisk()
    PeerList(disk, FOLDER).save(peers("a", "bb"))
    PeerList(disk, FOLDER).save(peers("a"))
    assert PeerList(disk, FOLDER).load() == peers("a")


def test_empty_disk_has_no_list_and_no_corruption() -> None:
    found = PeerList(MemoryDisk(), FOLDER)
    assert (found.load(), found.corruption) == ((), "")


@pytest.mark.parametrize("seed", range(40))
def test_saved_list_survives_a_power_cut(seed: int) -> None:
    disk = MemoryDisk()
    PeerList(disk, FOLDER).save(peers("a"))
    PeerList(disk, FOLDER).save(peers("a", "bb"))
    disk.power_cut(random.Random(seed))
    assert PeerList(disk, FOLDER).load() == peers("a", "bb")


@pytest.mark.parametrize("offset", range(0, 40, 3))
def test_corrupt_list_is_ignored_and_reported(offset: int) -> None:
    disk = MemoryDisk()
    PeerList(disk, FOLDER).save(peers("a", "bb", "ccc"))
    data = bytearray(disk.read(f"{FOLDER}/{PEERS_NAME}"))
    data[offset] ^= 0xFF
    disk.remove(f"{FOLDER}/{PEERS_NAME}")
    disk.open(f"{FOLDER}/{PEERS_NAME}").append(bytes(data))

    found = PeerList(disk, FOLDER)

    assert found.load() == ()
    assert found.corruption


def test_full_disk_keeps_the_older_list() -> None:
    disk = MemoryDisk()
    PeerList(disk, FOLDER).save(peers("a"))
    disk.capacity_bytes = 0
    with pytest.raises(DiskFullError):
        PeerList(disk, FOLDER).save(peers("a", "bb"))
    assert PeerList(disk, FOLDER).load() == peers("a")
