"""The claim journal: synced entries are recovered, a torn tail is truncated, corruption counts as a wipe."""

from __future__ import annotations

import random
from pathlib import Path

import pytest

from springmux.coordination.claims.journal import ClaimEntry, ClaimReleased, ClaimStored, HolderState
from springmux.coordination.claims.messages import ClaimAttempt, ClaimRecord, ClaimState
from springmux.coordination.claims.ring import ClaimRing, RingMember
from springmux.coordination.identifiers import NodeId, ReplicaId, ZoneName
from springmux.storage import claim_journal_file
from springmux.storage.claim_journal import DAMAGED_NAME, ClaimJournal
from springmux.storage.claim_journal_file import JOURNAL_NAME
from springmux.storage.disk import Disk, DiskFailedError, DiskFullError
from springmux.storage.memory_disk import MemoryDisk
from springmux.storage.real_disk import RealDisk
from tests.unit.storage.support import FOLDER

REPLICA = ReplicaId("r1")
PATH = f"{FOLDER}/{JOURNAL_NAME}"
ATTEMPT = ClaimAttempt(NodeId("n1"), 7, "claim-1")
RING = ClaimRing(3, (RingMember(NodeId("n1"), ZoneName("z"), REPLICA),))
STATE = HolderState((RING,), ((NodeId("n2"), 3),))


def stored_claim(key: str, state: ClaimState = ClaimState.RUNNING, answer: bytes = b"") -> ClaimStored:
    granted = ATTEMPT if state is ClaimState.RUNNING else None
    return ClaimStored(ClaimRecord(key, (ATTEMPT,), state, answer), granted)


def journal_on(disk: Disk, replica: ReplicaId = REPLICA, rewrite_min_bytes: int = 1 << 20) -> ClaimJournal:
    return ClaimJournal(disk, FOLDER, replica, rewrite_min_bytes)


def disk_with_journal(*batches: list[ClaimEntry]) -> MemoryDisk:
    disk = MemoryDisk()
    journal = journal_on(disk)
    journal.open(new_replica=True)
    for batch in batches:
        journal.append(batch)
    return disk


def test_newest_entry_of_each_key_is_recovered_after_a_power_cut() -> None:
    disk = disk_with_journal(
        [stored_claim("a"), stored_claim("b")],
        [stored_claim("a", ClaimState.FINISHED, b"done"), STATE],
        [ClaimReleased("b")],
    )
    disk.power_cut()
    recovered = journal_on(disk).open(new_replica=False)
    assert recovered.claims == (stored_claim("a", ClaimState.FINISHED, b"done"),)
    assert (recovered.state, recovered.founded, recovered.damage) == (STATE, True, "")


@pytest.mark.parametrize("seed", range(20))
def test_torn_tail_is_truncated_and_the_journal_accepts_entries(seed: int) -> None:
    disk = disk_with_journal([stored_claim("a")])
    file = disk.open(PATH)
    file.append(disk.read(PATH)[-60:-3])
    disk.power_cut(random.Random(seed))
    journal = journal_on(disk)
    assert journal.open(new_replica=False).claims == (stored_claim("a"),)
    journal.append([stored_claim("b")])
    assert journal_on(disk).open(new_replica=False).claims == (stored_claim("a"), stored_claim("b"))


@pytest.mark.parametrize("position", ["start", "middle", "sealed end"])
def test_corruption_makes_the_holder_count_as_wiped_permanently(position: str) -> None:
    disk = disk_with_journal([stored_claim("a")], [stored_claim("b")], [stored_claim("c")])
    if position == "sealed end":
        journal = journal_on(disk, rewrite_min_bytes=10)
        journal.open(new_replica=False)
        journal.append([stored_claim("d")])
    size_bytes = len(disk.read(PATH))
    disk.corrupt(PATH, {"start": 20, "middle": size_bytes // 2, "sealed end": size_bytes - 1}[position])
    recovered = journal_on(disk).open(new_replica=False)
    assert recovered.damage
    assert (recovered.founded, recovered.claims, recovered.state) == (False, (), None)
    assert disk.exists(f"{FOLDER}/{DAMAGED_NAME}")
    again = journal_on(disk).open(new_replica=False)
    assert (again.founded, again.damage) == (False, "")


def test_missing_journal_and_one_of_another_replica_count_as_lost() -> None:
    assert "missing" in journal_on(MemoryDisk()).open(new_replica=False).damage
    disk = disk_with_journal([stored_claim("a")])
    recovered = journal_on(disk, ReplicaId("r2")).open(new_replica=True)
    assert "another replica" in recovered.damage
    assert (recovered.founded, recovered.claims) == (False, ())


@pytest.mark.parametrize("real", [False, True])
def test_grown_journal_is_rewritten_with_the_same_content(real: bool, tmp_path: Path) -> None:
    disk: Disk = RealDisk(tmp_path) if real else MemoryDisk()
    disk.make_folder(FOLDER)
    journal = journal_on(disk, rewrite_min_bytes=2000)
    journal.open(new_replica=True)
    journal.append([STATE])
    for number in range(500):
        journal.append([stored_claim(f"key{number}"), ClaimReleased(f"key{number - 10}")])
    assert len(disk.read(PATH)) < 5000
    recovered = journal_on(disk).open(new_replica=False)
    assert recovered.claims == tuple(stored_claim(f"key{number}") for number in range(490, 500))
    assert (recovered.state, recovered.founded) == (STATE, True)


@pytest.mark.parametrize("seed", range(60))
def test_power_cut_during_a_sliced_rewrite_loses_no_acknowledged_entry(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(claim_journal_file, "SLICE_ENTRIES", 3)
    rng = random.Random(seed)
    disk = MemoryDisk()
    journal = journal_on(disk, rewrite_min_bytes=800)
    journal.open(new_replica=True)
    acknowledged: dict[str, ClaimStored] = {}
    disk.calls_until_failure = rng.randint(60, 250)
    try:
        for number in range(100):
            entry = stored_claim(f"key{number % 13}", ClaimState.FINISHED, b"%d" % number)
            journal.append([entry])
            acknowledged[entry.record.key] = entry
    except DiskFailedError:
        pass
    assert len(acknowledged) == 13
    disk.failing, disk.calls_until_failure = False, None
    disk.power_cut(rng)
    claims = journal_on(disk).open(new_replica=False).claims
    newer = {claim.record.key: int(claim.record.answer) for claim in claims}
    assert all(newer[key] >= int(claim.record.answer) for key, claim in acknowledged.items())
    assert sum(newer[key] > int(claim.record.answer) for key, claim in acknowledged.items()) <= 1


def test_rewrite_without_space_is_abandoned_and_the_journal_accepts_entries() -> None:
    disk = MemoryDisk()
    journal = journal_on(disk, rewrite_min_bytes=500)
    journal.open(new_replica=True)
    while len(disk.read(PATH)) < 450:
        journal.append([stored_claim("a")])
    disk.capacity_bytes = len(disk.read(PATH)) + 260  # not enough for a second file
    journal.append([stored_claim("b"), stored_claim("c")])
    journal.append([stored_claim("d")])
    assert len(disk.read(PATH)) > 500
    disk.power_cut()
    assert [claim.record.key for claim in journal_on(disk).open(False).claims] == ["a", "b", "c", "d"]


def test_append_to_a_full_disk_keeps_nothing_and_later_appends_succeed() -> None:
    disk = disk_with_journal([stored_claim("a")])
    journal = journal_on(disk)
    journal.open(new_replica=False)
    disk.capacity_bytes = len(disk.read(PATH)) + 20
    with pytest.raises(DiskFullError):
        journal.append([stored_claim("b")])
    disk.capacity_bytes = 1 << 40
    journal.append([stored_claim("c")])
    assert journal_on(disk).open(new_replica=False).claims == (stored_claim("a"), stored_claim("c"))


def test_journal_accepts_no_entries_after_a_disk_failure() -> None:
    disk = disk_with_journal()
    journal = journal_on(disk)
    journal.open(new_replica=False)
    disk.failing = True
    with pytest.raises(DiskFailedError):
        journal.append([stored_claim("a")])
    disk.failing = False
    with pytest.raises(DiskFailedError):
        journal.append([stored_claim("b")])
