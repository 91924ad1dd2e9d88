"""What a node tells of how a newer state came, and how long it knew that it was behind."""

from __future__ import annotations

import random

from springmux.control.commands import encode_command
from springmux.control.delivery.arrival import Arrival, DeliveryMethod
from springmux.control.delivery.events import CommandsCommitted, PeerRevisionObserved
from springmux.control.delivery.messages import DeliveredCommand, FetchState, PushCommands
from springmux.control.delivery.state_delivery import StateDelivery
from springmux.coordination.consensus.types import Entry, EntryKind
from springmux.coordination.identifiers import LogIndex, NodeId, Revision, Term
from springmux.coordination.state_machine import LogLine, MessageReceived, Send, Tick
from tests.unit.control.support import put_tenant

OWN, PEER, OTHER = NodeId("own"), NodeId("peer"), NodeId("other")
COMMAND = encode_command(put_tenant("order", "tenant"))


def part() -> StateDelivery:
    return StateDelivery(OWN, random.Random(1))


def delivered(previous: int, index: int) -> DeliveredCommand:
    return DeliveredCommand(Revision(previous), Revision(index), COMMAND)


def heard(revision: int) -> PeerRevisionObserved:
    return PeerRevisionObserved(PEER, Term(1), Revision(revision))


def test_a_push_that_nobody_announced_was_not_waited_for() -> None:
    node = part()
    node.handle(MessageReceived(PEER, PushCommands(Term(1), Revision(3), (delivered(0, 3),))), 5.0)
    assert node.newest_arrival == Arrival(DeliveryMethod.PUSH, 5.0)


def test_a_node_is_behind_from_the_first_word_of_a_newer_revision_on() -> None:
    node = part()
    node.handle(heard(3), 5.0)
    node.handle(heard(4), 6.0)
    node.handle(MessageReceived(PEER, PushCommands(Term(1), Revision(3), (delivered(0, 3),))), 7.0)
    assert node.newest_arrival == Arrival(DeliveryMethod.PUSH, 5.0)
    node.handle(MessageReceived(PEER, PushCommands(Term(1), Revision(4), (delivered(3, 4),))), 8.0)
    assert node.newest_arrival == Arrival(DeliveryMethod.PUSH, 7.0)


def test_the_own_replicas_commands_are_told_apart() -> None:
    node = part()
    node.handle(CommandsCommitted((Entry(LogIndex(2), Term(1), EntryKind.COMMAND, COMMAND),)), 5.0)
    assert node.newest_arrival == Arrival(DeliveryMethod.REPLICA, 5.0)


def test_a_peer_that_answers_no_fetch_is_named() -> None:
    node = part()
    node.handle(heard(3), 0.0)
    effects = []
    now = 0.0
    while not any(isinstance(effect, LogLine) for effect in effects):
        now = max(now, node.next_deadline())
        effects = node.handle(Tick(), now)
    notes = [effect for effect in effects if isinstance(effect, LogLine)]
    assert [(note.name, note.fields["peer"]) for note in notes] == [("transfer_given_up", PEER)]
    assert now < 1.0


def test_a_fetched_state_is_reported_as_such() -> None:
    ahead, behind = part(), StateDelivery(OTHER, random.Random(2))
    ahead.handle(MessageReceived(PEER, PushCommands(Term(1), Revision(3), (delivered(0, 3),))), 1.0)
    behind.handle(PeerRevisionObserved(OWN, Term(1), Revision(3)), 2.0)
    asked = behind.handle(Tick(), behind.next_deadline())
    fetches = [effect.message for effect in asked if isinstance(effect, Send)]
    assert [type(message) for message in fetches] == [FetchState]
    for answer in ahead.handle(MessageReceived(OTHER, fetches[0]), 2.5):
        assert isinstance(answer, Send)
        behind.handle(MessageReceived(OWN, answer.message), 2.6)
    assert behind.newest_arrival == Arrival(DeliveryMethod.TRANSFER, 2.0)
