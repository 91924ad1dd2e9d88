"""This version opens a data folder that a node of an earlier version wrote, and reads its whole content."""

from __future__ import annotations

import io
import shutil
from pathlib import Path

import pytest

from springmux.control.state import ControlState
from springmux.coordination.claims.messages import ClaimState
from springmux.coordination.consensus.types import EntryKind
from springmux.coordination.identifiers import Revision
from springmux.node.logs import EventLog
from springmux.node.storage.opening import OpenedStorage, open_storage
from springmux.rollout.plan import RolloutPhase
from springmux.vocabulary.names import ServiceName

DATA = Path(__file__).with_name("data")
STATE_IMAGE = (DATA / "state.image").read_bytes()
"""The earlier version's snapshot of the control state in the folder."""
SNAPSHOT_INDEX = 16


def opened(folder: Path) -> OpenedStorage:
    """Open the folder as a node does when it starts."""
    storage = open_storage(folder, EventLog("n1", "info", "json", io.StringIO()))
    assert storage.store is not None, storage.reason
    storage.store.close()
    return storage


def replayed(storage: OpenedStorage) -> ControlState:
    """Return the control state after applying the committed commands of the log."""
    assert storage.recovered is not None
    state = ControlState()
    if storage.recovered.snapshot is not None:
        state.restore(storage.recovered.snapshot_data)
    for entry in storage.recovered.entries:
        if entry.kind is EntryKind.COMMAND and entry.index <= storage.recovered.committed:
            state.apply(Revision(entry.index), entry.data)
    return state


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    return Path(shutil.copytree(DATA / "folder", tmp_path / "node"))


@pytest.fixture
def log_only(folder: Path) -> Path:
    (folder / "replica" / f"snapshot-{SNAPSHOT_INDEX:020d}.snapshot").unlink()
    return folder


def test_replaying_the_log_gives_the_same_state_byte_for_byte(log_only: Path) -> None:
    storage = opened(log_only)
    assert storage.recovered is not None
    assert storage.recovered.snapshot is None
    assert storage.recovered.replica == "5d65f40c-e201-4c75-87ac-ec345a836337"
    assert (storage.recovered.committed, len(storage.recovered.entries)) == (
        SNAPSHOT_INDEX,
        SNAPSHOT_INDEX + 1,
    )
    assert replayed(storage).snapshot() == STATE_IMAGE


def test_the_snapshot_is_restored_and_written_again_byte_for_byte(folder: Path) -> None:
    storage = opened(folder)
    assert storage.recovered is not None
    assert storage.recovered.snapshot is not None
    assert storage.recovered.snapshot.index == SNAPSHOT_INDEX
    assert storage.recovered.snapshot_data == STATE_IMAGE
    assert replayed(storage).snapshot() == STATE_IMAGE


def test_configuration_tenants_keys_and_rollouts_are_recovered(log_only: Path) -> None:
    state = replayed(opened(log_only))
    view = state.view()
    assert sorted(view.configuration.routes) == ["approve", "hello"]
    assert sorted(view.tenants) == ["mill", "school"]
    assert {record.key: record.revoked for record in view.keys.values()} == {
        "school-a": False,
        "school-b": True,
    }
    rollout = view.rollouts[ServiceName("text")]
    assert (rollout.candidate, rollout.phase) == ("v2", RolloutPhase.PAUSED)
    (ended,) = state.ended_rollouts()
    assert (ended.record.candidate, ended.record.phase) == ("v3", RolloutPhase.ABORTED)


def test_claims_and_known_peers_are_recovered(folder: Path) -> None:
    storage = opened(folder)
    assert storage.claims is not None
    assert storage.claims.founded
    assert not storage.claims.damage
    assert [entry.record.state for entry in storage.claims.claims] == [ClaimState.FINISHED] * 3
    assert storage.claims.state is not None
    assert [ring.version for ring in storage.claims.state.rings] == [1]
    assert [peer.node for peer in storage.remembered] == ["north-1", "south-1"]
