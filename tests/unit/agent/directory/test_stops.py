"""Drains, leaves and announcements that arrive late, early, or at a leaving node, with bounded memory."""

import random

import msgspec
import pytest

from springmux.agent.directory import messages as wire
from springmux.agent.directory.engine_directory import EngineDirectory
from springmux.agent.directory.entry import DirectoryEntry
from springmux.agent.directory.settings import DirectorySettings
from springmux.agent.events import EngineAnnounced, EngineDraining, EngineLeft
from springmux.coordination.membership.events import MembershipUpdated
from springmux.coordination.membership.relay import HASH_END
from springmux.coordination.membership.view import MembershipView, NodeStatus
from springmux.coordination.state_machine import MessageReceived, Send, Tick
from springmux.vocabulary.engines import EngineRecord, EngineStatus
from tests.support.gossip_harness import record_of

OWN = record_of(0, 1)
PEER, OTHER_PEER = record_of(1, 1), record_of(2, 1)
ENGINE = EngineRecord("engine", "text", "v1", "10.0.0.1:1", 8, incarnation=5)
DRAINED = DirectoryEntry(ENGINE, intent=1)
NEXT_INCARNATION = msgspec.structs.replace(ENGINE, incarnation=6)


def directory_of(own=OWN):
    directory = EngineDirectory(OWN.node, random.Random(1))
    for record in (OWN, own):
        nodes = {each.node: each for each in (record, PEER, OTHER_PEER)}
        directory.handle(MembershipUpdated(MembershipView(own=OWN.node, nodes=nodes)), 0.0)
    return directory


def status(directory):
    record = directory.view.engines.get(ENGINE.engine)
    return record.status if record else None


def test_announcement_buffered_at_a_paused_node_does_not_revert_a_later_drain():
    """The engine announced itself here, received no reply, switched to the next node and drained there."""
    directory = directory_of()
    directory.handle(EngineAnnounced(ENGINE), 1.0)
    directory.handle(MessageReceived(PEER.node, wire.DirectoryRelay((DRAINED,), 1)), 30.0)
    directory.handle(EngineAnnounced(ENGINE), 30.1)
    assert status(directory) is EngineStatus.DRAINING
    directory.handle(EngineAnnounced(ENGINE), 41.0)
    assert status(directory) is EngineStatus.READY, "a new announcement reverts the drain"


@pytest.mark.parametrize("stop", [EngineDraining, EngineLeft])
def test_late_stop_of_an_older_incarnation_does_not_affect_the_new_one(stop):
    directory = directory_of()
    directory.handle(EngineAnnounced(NEXT_INCARNATION), 1.0)
    directory.handle(stop(ENGINE.engine, ENGINE.incarnation), 1.1)
    assert status(directory) is EngineStatus.READY
    directory.handle(stop(ENGINE.engine, NEXT_INCARNATION.incarnation), 1.2)
    assert status(directory) is not EngineStatus.READY


def test_early_stop_applies_only_to_its_incarnation():
    directory = directory_of()
    directory.handle(EngineDraining(ENGINE.engine, ENGINE.incarnation), 1.0)
    directory.handle(EngineAnnounced(NEXT_INCARNATION), 1.1)
    assert status(directory) is EngineStatus.READY
    directory.handle(EngineDraining(ENGINE.engine, incarnation=7), 1.2)
    assert status(directory) is EngineStatus.READY
    directory.handle(EngineAnnounced(msgspec.structs.replace(ENGINE, incarnation=7)), 1.3)
    assert status(directory) is EngineStatus.DRAINING


def test_stops_of_unknown_engines_are_bounded_and_expire():
    directory = directory_of()
    for index in range(3000):
        directory.handle(EngineDraining(f"nobody-{index}"), 1.0)
    assert len(directory._stops) <= 1024
    directory.handle(Tick(), 7.0)
    assert len(directory._stops) == 0


def test_lost_engine_that_does_not_return_is_removed_and_may_announce_itself_again():
    directory, lost = directory_of(), DirectoryEntry(ENGINE, health=1)
    directory.handle(EngineAnnounced(ENGINE), 1.0)
    directory.handle(MessageReceived(PEER.node, wire.DirectoryRelay((lost,), 1)), 5.0)
    assert status(directory) is EngineStatus.LOST
    directory.handle(Tick(), 5.0 + DirectorySettings().forget_lost_s)
    directory.handle(MessageReceived(PEER.node, wire.DirectoryEntries((lost,))), 4000.0)
    assert status(directory) is None
    directory.handle(EngineAnnounced(ENGINE), 4001.0)
    directory.handle(MessageReceived(PEER.node, wire.DirectoryEntries((lost,))), 4001.1)
    directory.handle(EngineAnnounced(ENGINE), 4002.0)
    assert status(directory) is EngineStatus.READY, (
        "its next announcement must count although other nodes still have it as lost"
    )


def test_draining_engine_that_is_lost_is_not_taken_where_unknown_and_is_removed_in_time():
    """Guards against entries of engines that ended without a DELETE and would stay listed as draining."""
    directory, lost = directory_of(), DirectoryEntry(ENGINE, intent=1, health=1)
    directory.handle(MessageReceived(PEER.node, wire.DirectoryEntries((lost,))), 1.0)
    assert status(directory) is None
    empty_hash = directory._table.root_hash()
    directory.handle(MessageReceived(PEER.node, wire.DirectoryRelay((DRAINED,), 1)), 2.0)
    directory.handle(MessageReceived(PEER.node, wire.DirectoryRelay((lost,), 1)), 3.0)
    assert status(directory) is EngineStatus.DRAINING
    assert directory._table.root_hash() == empty_hash, "nodes that have removed it must not fetch it again"
    directory.handle(Tick(), 2.9 + DirectorySettings().forget_lost_s)
    assert status(directory) is EngineStatus.DRAINING
    directory.handle(Tick(), 4.0 + DirectorySettings().forget_lost_s)
    assert status(directory) is None


def test_leaving_node_still_relays_to_its_zone():
    directory = directory_of(own=msgspec.structs.replace(OWN, status=NodeStatus.LEFT))
    message = wire.DirectoryRelay((DRAINED,), 1, 0, HASH_END)
    effects = directory.handle(MessageReceived(PEER.node, message), 1.0)
    assert {e.to for e in effects if isinstance(e, Send)} == {PEER.node, OTHER_PEER.node}
