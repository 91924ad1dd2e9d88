"""Timeouts and votes at one owner node, and the restart of timeouts after a pause or partition."""

import random

import msgspec

from springmux.agent.directory import messages as wire
from springmux.agent.directory.engine_directory import EngineDirectory
from springmux.agent.directory.entry import DirectoryEntry
from springmux.agent.directory.heartbeat_tracker import HeartbeatTracker
from springmux.agent.directory.settings import DirectorySettings
from springmux.coordination.membership.events import ContactChanged, MembershipUpdated
from springmux.coordination.membership.view import MembershipView
from springmux.coordination.state_machine import MessageReceived, Send, Tick
from springmux.vocabulary.engines import EngineRecord, EngineStatus
from tests.support.gossip_harness import record_of

RECORDS = [record_of(index, 3) for index in range(3)]
OWN, SECOND, THIRD = (record.node for record in RECORDS)
ENGINE = EngineRecord("engine", "text", "v1", "10.0.0.1:1", 8, incarnation=5)
INCARNATION = wire.EngineIncarnation(ENGINE.engine, ENGINE.incarnation)
VOTE = wire.EngineTimeoutVote((INCARNATION,))


def owner_directory(last_heartbeat_at=1.0):
    """Return the directory of one of three owners; its last heartbeat arrived at ``last_heartbeat_at``."""
    directory = EngineDirectory(OWN, random.Random(1))
    view = MembershipView(own=OWN, nodes={record.node: record for record in RECORDS})
    directory.handle(MembershipUpdated(view), last_heartbeat_at)
    directory.handle(
        MessageReceived(SECOND, wire.DirectoryRelay((DirectoryEntry(ENGINE),), 1)), last_heartbeat_at
    )
    directory.handle(MessageReceived(SECOND, wire.EngineHeartbeatsRelay((INCARNATION,))), last_heartbeat_at)
    return directory


def run(directory, start, end):
    effects = []
    for step in range(int((end - start) * 10) + 1):
        effects += directory.handle(Tick(), start + step / 10)
    return [(e.to, e.message) for e in effects if isinstance(e, Send)]


def status(directory):
    return directory.view.engines[ENGINE.engine].status


def test_one_owner_votes_but_does_not_mark_an_engine_lost_until_another_agrees():
    directory = owner_directory()
    assert VOTE not in [message for _, message in run(directory, 1.1, 3.9)]
    assert {to for to, message in run(directory, 4.0, 9.0) if message == VOTE} == {SECOND, THIRD}
    assert status(directory) is EngineStatus.READY
    directory.handle(MessageReceived(THIRD, VOTE), 9.1)
    assert status(directory) is EngineStatus.LOST


def test_owner_replies_to_a_vote_only_if_the_last_heartbeat_is_recent():
    directory = owner_directory()
    effects = directory.handle(MessageReceived(SECOND, VOTE), 1.5)
    assert effects == [Send(SECOND, wire.EngineHeartbeatsRelay((INCARNATION,)))]
    assert directory.handle(MessageReceived(SECOND, VOTE), 2.5) == [], (
        "otherwise two owners could keep the engine alive in turn"
    )


def test_votes_expire_and_votes_about_an_older_incarnation_are_ignored():
    directory = owner_directory()
    run(directory, 1.1, 3.9)
    other_incarnation = wire.EngineIncarnation(ENGINE.engine, incarnation=4)
    directory.handle(MessageReceived(THIRD, wire.EngineTimeoutVote((other_incarnation,))), 5.0)
    assert status(directory) is EngineStatus.READY, "a vote about an older incarnation must not count"
    tracker = HeartbeatTracker(DirectorySettings())
    assert tracker.add_vote(SECOND, INCARNATION, 1.0) == 1
    assert tracker.add_vote(THIRD, INCARNATION, 2.0) == 2
    assert tracker.add_vote(THIRD, INCARNATION, 3.0) == 1


def test_paused_owner_restarts_the_timeout():
    directory = owner_directory()
    directory.handle(Tick(), 1.1)
    directory.handle(MessageReceived(THIRD, VOTE), 20.0)
    run(directory, 20.0, 20.2)
    directory.handle(MessageReceived(THIRD, VOTE), 20.3)
    assert status(directory) is EngineStatus.READY
    run(directory, 20.3, 23.2)
    directory.handle(MessageReceived(THIRD, VOTE), 23.3)
    assert status(directory) is EngineStatus.LOST


def test_owner_without_contact_neither_votes_nor_marks_engines_lost():
    connected_again_at = 8.0
    directory = owner_directory()
    directory.handle(ContactChanged(connected=False), 1.1)
    assert VOTE not in [message for _, message in run(directory, 1.2, connected_again_at)]
    directory.handle(MessageReceived(THIRD, VOTE), connected_again_at)
    assert status(directory) is EngineStatus.READY
    directory.handle(ContactChanged(connected=True), connected_again_at + 0.1)
    assert VOTE not in [message for _, message in run(directory, connected_again_at + 0.2, 11.0)]
    assert VOTE in [message for _, message in run(directory, 11.1, 12.0)]


def test_any_heartbeat_of_a_lost_engine_makes_it_ready():
    directory = owner_directory()
    run(directory, 1.1, 5.0)
    directory.handle(MessageReceived(THIRD, VOTE), 5.1)
    before = directory.view.engines[ENGINE.engine]
    directory.handle(MessageReceived(SECOND, wire.EngineHeartbeatsRelay((INCARNATION,))), 6.0)
    after = directory.view.engines[ENGINE.engine]
    assert (before.status, after.status) == (EngineStatus.LOST, EngineStatus.READY)
    assert after.age_key > before.age_key


def test_tombstone_of_an_unknown_engine_is_ignored_so_that_it_disappears():
    directory = owner_directory()
    gone = DirectoryEntry(msgspec.structs.replace(ENGINE, engine="gone"), intent=1, left=True)
    directory.handle(MessageReceived(SECOND, wire.DirectoryEntries((gone,))), 1.1)
    assert "gone" not in directory.view.engines
