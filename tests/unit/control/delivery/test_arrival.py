"""Tests how a node records the method of a newer state's arrival, and since when it was behind."""

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


def new_delivery() -> StateDelivery:
    return StateDelivery(OWN, random.Random(1))


def delivered(previous: int, index: int) -> DeliveredCommand:
    return DeliveredCommand(Revision(previous), Revision(index), COMMAND)


def revision_observed(revision: int) -> PeerRevisionObserved:
    return PeerRevisionObserved(PEER, Term(1), Revision(revision))


def test_a_node_was_not_behind_before_a_push_that_no_peer_announced() -> None:
    node = new_delivery()
    node.handle(MessageReceived(PEER, PushCommands(Term(1), Revision(3), (delivered(0, 3),))), 5.0)
    assert node.newest_arrival == Arrival(DeliveryMethod.PUSH, 5.0)


def test_a_node_is_behind_from_the_first_report_of_a_newer_revision() -> None:
    node = new_delivery()
    node.handle(revision_observed(3), 5.0)
    node.handle(revision_observed(4), 6.0)
    node.handle(MessageReceived(PEER, PushCommands(Term(1), Revision(3), (delivered(0, 3),))), 7.0)
    assert node.newest_arrival == Arrival(DeliveryMethod.PUSH, 5.0)
    node.handle(MessageReceived(PEER, PushCommands(Term(1), Revision(4), (delivered(3, 4),))), 8.0)
    assert node.newest_arrival == Arrival(DeliveryMethod.PUSH, 7.0)


def test_commands_of_the_own_replica_are_recorded_as_such() -> None:
    node = new_delivery()
    node.handle(CommandsCommitted((Entry(LogIndex(2), Term(1), EntryKind.COMMAND, COMMAND),)), 5.0)
    assert node.newest_arrival == Arrival(DeliveryMethod.REPLICA, 5.0)


def test_a_peer_that_does_not_reply_to_a_fetch_is_logged() -> None:
    node = new_delivery()
    node.handle(revision_observed(3), 0.0)
    effects = []
    now = 0.0
    while not any(isinstance(effect, LogLine) for effect in effects):
        now = max(now, node.next_deadline())
        effects = node.handle(Tick(), now)
    log_lines = [effect for effect in effects if isinstance(effect, LogLine)]
    assert [(log_line.name, log_line.fields["peer"]) for log_line in log_lines] == [
        ("transfer_given_up", PEER)
    ]
    assert now < 1.0


def test_a_fetched_state_is_recorded_as_a_transfer() -> None:
    ahead, behind = new_delivery(), StateDelivery(OTHER, random.Random(2))
    ahead.handle(MessageReceived(PEER, PushCommands(Term(1), Revision(3), (delivered(0, 3),))), 1.0)
    behind.handle(PeerRevisionObserved(OWN, Term(1), Revision(3)), 2.0)
    sent = behind.handle(Tick(), behind.next_deadline())
    fetches = [effect.message for effect in sent if isinstance(effect, Send)]
    assert [type(message) for message in fetches] == [FetchState]
    for reply in ahead.handle(MessageReceived(OTHER, fetches[0]), 2.5):
        assert isinstance(reply, Send)
        behind.handle(MessageReceived(OWN, reply.message), 2.6)
    assert behind.newest_arrival == Arrival(DeliveryMethod.TRANSFER, 2.0)
