"""Drains, leaves and announcements that come late, early, or at a node that is leaving; bounded memory."""

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
MATE, OTHER = record_of(1, 1), record_of(2, 1)
ENGINE = EngineRecord("engine", "text", "v1", "10.0.0.1:1", 8, incarnation=5)
DRAINED = DirectoryEntry(ENGINE, intent=1)
NEXT_LIFE = msgspec.structs.replace(ENGINE, incarnation=6)


def node(own=OWN):
    part = EngineDirectory(OWN.node, random.Random(1))
    for record in (OWN, own):
        nodes = {each.node: each for each in (record, MATE, OTHER)}
        part.handle(MembershipUpdated(MembershipView(own=OWN.node, nodes=nodes)), 0.0)
    return part


def status(part):
    record = part.view.engines.get(ENGINE.engine)
    return record.status if record else None


def test_announcement_out_of_a_frozen_nodes_buffer_takes_no_drain_back():
    """The engine announced here, got no answer, went to the next node, and drained there later."""
    part = node()
    part.handle(EngineAnnounced(ENGINE), 1.0)
    part.handle(MessageReceived(MATE.node, wire.DirectoryRelay((DRAINED,), 1)), 30.0)
    part.handle(EngineAnnounced(ENGINE), 30.1)
    assert status(part) is EngineStatus.DRAINING
    part.handle(EngineAnnounced(ENGINE), 41.0)
    assert status(part) is EngineStatus.READY, "the engine changed its mind"


@pytest.mark.parametrize("stop", [EngineDraining, EngineLeft])
def test_late_stop_of_an_older_life_spares_the_new_one(stop):
    part = node()
    part.handle(EngineAnnounced(NEXT_LIFE), 1.0)
    part.handle(stop(ENGINE.engine, ENGINE.incarnation), 1.1)
    assert status(part) is EngineStatus.READY
    part.handle(stop(ENGINE.engine, NEXT_LIFE.incarnation), 1.2)
    assert status(part) is not EngineStatus.READY


def test_early_stop_waits_for_its_life_only():
    part = node()
    part.handle(EngineDraining(ENGINE.engine, ENGINE.incarnation), 1.0)
    part.handle(EngineAnnounced(NEXT_LIFE), 1.1)
    assert status(part) is EngineStatus.READY
    part.handle(EngineDraining(ENGINE.engine, incarnation=7), 1.2)
    assert status(part) is EngineStatus.READY
    part.handle(EngineAnnounced(msgspec.structs.replace(ENGINE, incarnation=7)), 1.3)
    assert status(part) is EngineStatus.DRAINING


def test_stops_of_made_up_engines_are_forgotten():
    part = node()
    for index in range(3000):
        part.handle(EngineDraining(f"nobody-{index}"), 1.0)
    assert len(part._stops) <= 1024
    part.handle(Tick(), 7.0)
    assert len(part._stops) == 0


def test_lost_engine_that_never_returns_is_forgotten_and_dies_out():
    part, lost = node(), DirectoryEntry(ENGINE, health=1)
    part.handle(EngineAnnounced(ENGINE), 1.0)
    part.handle(MessageReceived(MATE.node, wire.DirectoryRelay((lost,), 1)), 5.0)
    assert status(part) is EngineStatus.LOST
    part.handle(Tick(), 5.0 + DirectorySettings().forget_lost_s)
    part.handle(MessageReceived(MATE.node, wire.DirectoryEntries((lost,))), 4000.0)
    assert status(part) is None
    part.handle(EngineAnnounced(ENGINE), 4001.0)
    part.handle(MessageReceived(MATE.node, wire.DirectoryEntries((lost,))), 4001.1)
    part.handle(EngineAnnounced(ENGINE), 4002.0)
    assert status(part) is EngineStatus.READY, "where others still hold it as lost its next word counts"


def test_leaving_node_still_relays_to_its_zone():
    part = node(own=msgspec.structs.replace(OWN, status=NodeStatus.LEFT))
    message = wire.DirectoryRelay((DRAINED,), 1, 0, HASH_END)
    effects = part.handle(MessageReceived(MATE.node, message), 1.0)
    assert {e.to for e in effects if isinstance(e, Send)} == {MATE.node, OTHER.node}
