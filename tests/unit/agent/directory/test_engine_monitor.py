"""Transcripts of one owner node: timeouts, votes, grace."""

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


def owner(heard_at=1.0):
    """Return one of three owners, whose last heartbeat of the engine came at ``heard_at``."""
    part = EngineDirectory(OWN, random.Random(1))
    view = MembershipView(own=OWN, nodes={record.node: record for record in RECORDS})
    part.handle(MembershipUpdated(view), heard_at)
    part.handle(MessageReceived(SECOND, wire.DirectoryRelay((DirectoryEntry(ENGINE),), 1)), heard_at)
    part.handle(MessageReceived(SECOND, wire.EngineHeartbeatsRelay((INCARNATION,))), heard_at)
    return part


def run(part, start, end):
    effects = []
    for step in range(int((end - start) * 10) + 1):
        effects += part.handle(Tick(), start + step / 10)
    return [(e.to, e.message) for e in effects if isinstance(e, Send)]


def status(part):
    return part.view.engines[ENGINE.engine].status


def test_one_owner_alone_votes_but_marks_nothing_until_another_agrees():
    part = owner()
    assert VOTE not in [message for _, message in run(part, 1.1, 3.9)]
    assert {to for to, message in run(part, 4.0, 9.0) if message == VOTE} == {SECOND, THIRD}
    assert status(part) is EngineStatus.READY
    part.handle(MessageReceived(THIRD, VOTE), 9.1)
    assert status(part) is EngineStatus.LOST


def test_vote_about_an_engine_that_was_just_heard_is_answered():
    part = owner()
    effects = part.handle(MessageReceived(SECOND, VOTE), 1.5)
    assert effects == [Send(SECOND, wire.EngineHeartbeatsRelay((INCARNATION,)))]
    assert part.handle(MessageReceived(SECOND, VOTE), 2.5) == [], (
        "else two owners could keep it alive in turn"
    )


def test_old_votes_lapse():
    part = owner()
    run(part, 1.1, 3.9)
    other_incarnation = wire.EngineIncarnation(ENGINE.engine, incarnation=4)
    part.handle(MessageReceived(THIRD, wire.EngineTimeoutVote((other_incarnation,))), 5.0)
    assert status(part) is EngineStatus.READY, "a vote about an older incarnation is none"
    tracker = HeartbeatTracker(DirectorySettings())
    assert tracker.add_vote(SECOND, INCARNATION, 1.0) == 1
    assert tracker.add_vote(THIRD, INCARNATION, 2.0) == 2
    assert tracker.add_vote(THIRD, INCARNATION, 3.0) == 1


def test_paused_owner_restarts_the_timeout():
    part = owner()
    part.handle(Tick(), 1.1)
    part.handle(MessageReceived(THIRD, VOTE), 20.0)
    run(part, 20.0, 20.2)
    part.handle(MessageReceived(THIRD, VOTE), 20.3)
    assert status(part) is EngineStatus.READY
    run(part, 20.3, 23.2)
    part.handle(MessageReceived(THIRD, VOTE), 23.3)
    assert status(part) is EngineStatus.LOST


def test_owner_without_contact_neither_votes_nor_marks():
    connected_again_at = 8.0
    part = owner()
    part.handle(ContactChanged(connected=False), 1.1)
    assert VOTE not in [message for _, message in run(part, 1.2, connected_again_at)]
    part.handle(MessageReceived(THIRD, VOTE), connected_again_at)
    assert status(part) is EngineStatus.READY
    part.handle(ContactChanged(connected=True), connected_again_at + 0.1)
    assert VOTE not in [message for _, message in run(part, connected_again_at + 0.2, 11.0)]
    assert VOTE in [message for _, message in run(part, 11.1, 12.0)]


def test_any_heartbeat_of_a_lost_engine_makes_it_ready():
    part = owner()
    run(part, 1.1, 5.0)
    part.handle(MessageReceived(THIRD, VOTE), 5.1)
    before = part.view.engines[ENGINE.engine]
    part.handle(MessageReceived(SECOND, wire.EngineHeartbeatsRelay((INCARNATION,))), 6.0)
    after = part.view.engines[ENGINE.engine]
    assert (before.status, after.status) == (EngineStatus.LOST, EngineStatus.READY)
    assert after.age_key > before.age_key


def test_tombstone_of_an_unknown_engine_is_not_taken_and_so_dies_out():
    part = owner()
    gone = DirectoryEntry(msgspec.structs.replace(ENGINE, engine="gone"), intent=1, left=True)
    part.handle(MessageReceived(SECOND, wire.DirectoryEntries((gone,))), 1.1)
    assert "gone" not in part.view.engines
