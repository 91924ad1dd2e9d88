"""Large directories relay and publish changes in batches."""

import random

from springmux.agent.directory.effects import EnginesChanged
from springmux.agent.directory.engine_directory import EngineDirectory
from springmux.agent.directory.settings import DirectorySettings
from springmux.agent.events import EngineAnnounced
from springmux.coordination.identifiers import Address, NodeId
from springmux.coordination.state_machine import Effect, Tick
from springmux.vocabulary.engines import EngineRecord
from springmux.vocabulary.names import EngineId, ServiceName, VersionName


def announced(number: int) -> EngineAnnounced:
    name = EngineId(f"engine-{number}")
    return EngineAnnounced(
        EngineRecord(name, ServiceName("text"), VersionName("v1"), Address("10.0.0.1:1"), 4, 1)
    )


def engine_counts(effects: list[Effect]) -> list[int]:
    return [len(effect.view.engines) for effect in effects if isinstance(effect, EnginesChanged)]


def test_small_directory_publishes_every_change_immediately() -> None:
    directory = EngineDirectory(NodeId("a"), random.Random(1))
    assert [engine_counts(directory.handle(announced(number), 1.0)) for number in range(3)] == [
        [1],
        [2],
        [3],
    ]


def test_large_directory_publishes_changes_within_a_batch_together() -> None:
    settings = DirectorySettings(batch_from_engines=2, batch_s_per_engine=0.1)
    directory = EngineDirectory(NodeId("a"), random.Random(1), settings)
    for number in range(3):
        directory.handle(announced(number), 1.0)
    assert engine_counts(directory.handle(announced(3), 1.1)) == []
    assert engine_counts(directory.handle(announced(4), 1.2)) == []
    assert directory.next_deadline() <= 1.31
    assert engine_counts(directory.handle(Tick(), 1.31)) == [5]
    assert engine_counts(directory.handle(Tick(), 1.32)) == []


def test_reading_the_view_before_a_batch_is_due_loses_no_change() -> None:
    settings = DirectorySettings(batch_from_engines=0, batch_s_per_engine=0.1)
    directory = EngineDirectory(NodeId("a"), random.Random(1), settings)
    directory.handle(announced(0), 1.0)
    directory.handle(announced(1), 1.01)
    assert len(directory.view.engines) == 2
    assert engine_counts(directory.handle(Tick(), 1.5)) == [2]
