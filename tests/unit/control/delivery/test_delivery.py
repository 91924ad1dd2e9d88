"""Tests state delivery over a lossy network.

Commands must arrive soon, states must never go back, and nodes must catch up after disconnections and kills.
"""

from __future__ import annotations

import random
import string
from typing import Union

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from springmux.control.commands import ApplyGateway, CommandResult, Outcome, PutTemplate, encode_command
from springmux.control.delivery.effects import ApplyCommands, ConfirmLeaderRevision, ProvideSnapshot
from springmux.control.delivery.events import (
    CommandsCommitted,
    ConfirmedRevision,
    PeerRevisionObserved,
    ReplicaRestored,
    SnapshotProvided,
)
from springmux.control.delivery.messages import (
    MESSAGES,
    DeliveredCommand,
    FetchState,
    NoNewerRevision,
    PushCommands,
    RevisionConfirmed,
    RevisionRequest,
    StateChunk,
    TransferKind,
)
from springmux.control.delivery.recent_log import RecentLog
from springmux.control.delivery.relay_tree import branches_of_leader, split_into_branches
from springmux.control.delivery.serving import transfer_checksum
from springmux.control.delivery.settings import DeliverySettings
from springmux.control.delivery.state_delivery import StateDelivery
from springmux.control.events import LeadershipKnown
from springmux.control.order_messages import MESSAGES as ORDER_MESSAGES
from springmux.control.order_messages import ForwardOrder, OrderDecided, OrderRejected
from springmux.coordination.consensus.types import Entry, EntryKind
from springmux.coordination.identifiers import LogIndex, NodeId, Revision, Term
from springmux.coordination.membership.view import NodeStatus
from springmux.coordination.state_machine import MessageReceived, PeerMessage, Send, Tick
from springmux.vocabulary.errors import ErrorCode
from springmux.vocabulary.names import OrderId
from tests.unit.control.delivery.support import LEADER, Fleet, member, view_of
from tests.unit.control.support import Log, put_tenant

SMALL_LIMITS = DeliverySettings(
    recent_commands=20, chunk_bytes=500, push_max_bytes=2000, delta_max_bytes=1500
)


def tenant_command(number: int) -> bytes:
    return encode_command(put_tenant(f"o{number}", f"t{number % 7}", float(number)))


def template_command(number: int, size_bytes: int) -> bytes:
    """Return a command whose document can't be compressed below three quarters of its size."""
    text = "".join(random.Random(number).choices(string.ascii_letters + string.digits, k=size_bytes))
    document = b'{"x":"' + text.encode() + b'"}'
    return encode_command(PutTemplate(order=OrderId(f"t{number}"), name="big", document=document))


def delivered(previous: int, index: int, data: bytes = b"d") -> DeliveredCommand:
    return DeliveredCommand(Revision(previous), Revision(index), data)


def push(*commands: DeliveredCommand) -> MessageReceived:
    return MessageReceived(LEADER, PushCommands(Term(3), commands[-1].index, commands))


def new_delivery(name: str = "n05") -> StateDelivery:
    return StateDelivery(NodeId(name), random.Random(1))


def test_a_push_reaches_36_nodes_without_fetches_and_with_bounded_fan_out() -> None:
    fleet = Fleet(36)
    fleet.run(2)
    fleet.sent.clear()
    fleet.commit(tenant_command(1))
    fleet.run(0.1)
    assert fleet.behind() == []
    pushes = [(sender, to) for sender, to, message in fleet.sent if isinstance(message, PushCommands)]
    assert len(pushes) == 35
    assert max(sum(sender == node for sender, _ in pushes) for node in fleet.nodes) <= 8 + 2
    assert not any(isinstance(message, FetchState) for _, _, message in fleet.sent)


def test_a_fleet_without_changes_sends_nothing() -> None:
    fleet = Fleet(12)
    fleet.commit(tenant_command(1))
    fleet.run(2)
    fleet.sent.clear()
    fleet.run(60)
    assert fleet.sent == []


def test_the_zone_of_a_killed_relay_has_a_change_within_two_seconds() -> None:
    fleet = Fleet(12)
    fleet.run(2)
    branches = branches_of_leader(view_of(LEADER, fleet.records), fleet.settings)
    relay = next(branch.to for branch in branches if branch.relay_to)
    fleet.down.add(relay)
    fleet.commit(tenant_command(1))
    fleet.run(0.1)
    assert fleet.behind() != []
    fleet.run(1.9)
    assert fleet.behind() == []


def test_a_disconnected_node_catches_up_by_a_delta() -> None:
    fleet = Fleet(9)
    fleet.run(1)
    fleet.down.add(NodeId("n04"))
    for number in range(50):
        fleet.commit(tenant_command(number))
        fleet.run(0.1)
    fleet.down.clear()
    fleet.run(2)
    node = fleet.nodes[NodeId("n04")]
    assert fleet.behind() == []
    assert node.replacement_count == 0


def test_a_node_too_far_behind_fetches_a_snapshot_in_chunks() -> None:
    fleet = Fleet(9, settings=SMALL_LIMITS)
    fleet.run(1)
    fleet.down.add(NodeId("n04"))
    for number in range(60):
        fleet.commit(tenant_command(number))
        fleet.run(0.1)
    fleet.down.clear()
    fleet.run(2)
    node = fleet.nodes[NodeId("n04")]
    assert fleet.behind() == []
    assert node.replacement_count == 1
    chunks = [m for _, to, m in fleet.sent if to == node.name and isinstance(m, StateChunk)]
    assert len(chunks) > 3
    assert all(len(chunk.data) <= SMALL_LIMITS.chunk_bytes for chunk in chunks)


def test_a_large_command_is_announced_and_fetched_in_chunks_within_two_seconds() -> None:
    fleet = Fleet(24, settings=SMALL_LIMITS)
    fleet.run(1)
    fleet.commit(template_command(1, 20_000))
    fleet.run(2)
    assert fleet.behind() == []
    assert all(node.replacement_count == 0 for node in fleet.nodes.values())
    assert all(not m.commands for _, _, m in fleet.sent if isinstance(m, PushCommands))


SLOW_LINK_BYTES_S = 625_000.0
FAST_LINK_BYTES_S = 12_500_000.0


def fleet_with_slow_links(seed: int) -> Fleet:
    """Return a fleet of ninety nodes, of which only the six controllers have links above 5 Mbit/s."""
    fleet = Fleet(90, zones=3, seed=seed, controllers=6)
    for number, record in enumerate(fleet.records):
        fleet.links[record.node] = FAST_LINK_BYTES_S if number < 6 else SLOW_LINK_BYTES_S
    return fleet


def gateway_command(count: int) -> bytes:
    """Return a gateway change with ``count`` routes, such as an operator's program generates."""
    rng = random.Random(count)

    def name() -> str:
        return "".join(rng.choices(string.ascii_lowercase + string.digits, k=8))

    routes = [
        {
            "name": f"r-{name()}",
            "host": "www.example",
            "path_prefix": f"/{name()}/",
            "kind": "stream",
            "timeout_ms": 4000,
            "target_ms": 500,
            "gap_target_ms": 400,
            "max_attempts": 2,
            "sticky": True,
            "resumable": True,
            "service": "text",
        }
        for _ in range(count)
    ]
    document = msgspec.json.encode(
        {"version": 1, "routes": routes, "services": [{"name": "text", "health_path": "/ok"}]}
    )
    return encode_command(ApplyGateway(order=OrderId(f"routes-{count}"), base_version=0, document=document))


@pytest.mark.parametrize("seed", range(3))
def test_two_thousand_routes_are_in_force_at_ninety_nodes_with_slow_links_within_a_second(seed: int) -> None:
    fleet = fleet_with_slow_links(seed)
    fleet.run(2)
    fleet.commit(gateway_command(2000))
    fleet.run(1)
    assert fleet.behind() == []
    assert fleet.nodes[LEADER].state.view().gateway.version == 1


@pytest.mark.parametrize("seed", range(3))
def test_a_large_change_reaches_all_nodes_over_slow_links_with_few_duplicate_bytes(seed: int) -> None:
    """A change that can't be compressed is announced and fetched, with little more than one copy per node."""
    fleet = fleet_with_slow_links(seed)
    fleet.run(2)
    size_bytes = 400_000
    fleet.commit(template_command(1, size_bytes))
    fleet.run(20)
    assert fleet.behind() == []
    sent_bytes = sum(len(message.data) for _, _, message in fleet.sent if isinstance(message, StateChunk))
    assert sent_bytes < 1.5 * 90 * size_bytes


def test_the_controllers_of_a_zone_are_its_relays() -> None:
    records = [member("n00", "z0", replica=True)]
    records += [member(f"a{i:02}", "z1", replica=i in (7, 11)) for i in range(30)]
    branches = branches_of_leader(view_of("n00", records), DeliverySettings())
    assert {branch.to for branch in branches} == {"a07", "a11"}


@pytest.mark.parametrize("seed", range(8))
def test_with_a_tenth_of_the_messages_lost_each_change_is_in_force_within_two_seconds(seed: int) -> None:
    fleet = Fleet(12, seed=seed)
    fleet.loss = 0.1
    fleet.run(1)
    for number in range(20):
        fleet.commit(tenant_command(number))
        fleet.run(2)
        assert fleet.behind() == []


@settings(max_examples=15, derandomize=True, deadline=None)
@given(st.integers(0, 10_000), st.floats(0, 0.3))
def test_over_a_lossy_network_with_restarts_all_states_converge_and_none_goes_back(
    seed: int, loss: float
) -> None:
    fleet = Fleet(9, seed=seed, settings=SMALL_LIMITS)
    fleet.loss = loss
    rng = random.Random(seed)
    started = set(fleet.nodes.values())
    for number in range(40):
        fleet.commit(*(tenant_command(number * 3 + i) for i in range(rng.randint(1, 3))))
        fleet.run(rng.uniform(0, 0.3))
        victim = NodeId(f"n{rng.randint(1, 8):02}")
        if rng.random() < 0.2:
            fleet.down ^= {victim}
        elif rng.random() < 0.1:
            started.add(fleet.start(victim))
    fleet.down.clear()
    fleet.run(20)
    assert fleet.behind() == []
    for node in started:
        assert node.revisions == sorted(set(node.revisions))
    assert all(node.delivery.ready for node in fleet.nodes.values())


def test_a_restarted_node_is_ready_only_with_everything_acknowledged_before() -> None:
    fleet = Fleet(6)
    fleet.commit(*(tenant_command(number) for number in range(30)))
    fleet.run(1)
    acknowledged = fleet.nodes[LEADER].state.view().revision
    node = fleet.start(NodeId("n03"))
    assert not node.delivery.ready
    while not node.delivery.ready and fleet.now < 10:
        fleet.run(0.005)
    assert node.delivery.ready
    assert node.state.view().revision >= acknowledged


def test_without_a_leader_that_has_a_quorum_a_node_is_not_ready() -> None:
    delivery = new_delivery()
    effects = delivery.handle(LeadershipKnown(Term(3), LEADER), 0.0)
    assert [type(effect) for effect in effects] == [Send]
    delivery.handle(push(delivered(0, 4)), 0.1)
    assert (delivery.revision, delivery.ready) == (4, False)


def test_a_reply_to_an_earlier_process_does_not_make_a_node_ready() -> None:
    delivery = new_delivery()
    delivery.handle(LeadershipKnown(Term(3), LEADER), 0.0)
    delivery.handle(MessageReceived(LEADER, RevisionConfirmed(17, Revision(0))), 0.1)
    assert not delivery.ready


def test_the_leader_replies_only_after_a_confirmation_that_began_after_the_request() -> None:
    delivery = new_delivery("n00")
    (own,) = delivery.handle(LeadershipKnown(Term(3), LEADER, leading=True), 0.0)
    assert isinstance(own, ConfirmLeaderRevision)
    assert delivery.handle(MessageReceived(NodeId("n07"), RevisionRequest(5)), 0.0) == []
    (second,) = delivery.handle(ConfirmedRevision(own.correlation_id, LogIndex(0)), 0.1)
    assert isinstance(second, ConfirmLeaderRevision)
    assert delivery.ready
    delivery.handle(CommandsCommitted((Entry(LogIndex(1), Term(3), EntryKind.COMMAND, b"d"),)), 0.2)
    assert delivery.handle(ConfirmedRevision(own.correlation_id, LogIndex(1)), 0.2) == []
    assert delivery.handle(ConfirmedRevision(second.correlation_id, LogIndex(2)), 0.2) == []
    barrier = Entry(LogIndex(2), Term(3), EntryKind.BARRIER, b"")
    (answer,) = delivery.handle(CommandsCommitted((barrier,)), 0.3)
    assert answer == Send(NodeId("n07"), RevisionConfirmed(5, Revision(1)))


def test_a_gap_is_fetched_immediately_and_no_command_after_it_is_applied() -> None:
    delivery = new_delivery()
    delivery.handle(push(delivered(0, 2)), 0.0)
    effects = delivery.handle(push(delivered(4, 7)), 0.1)
    assert delivery.revision == 2
    (sent,) = [e for e in effects if isinstance(e, Send)]
    assert isinstance(sent.message, FetchState)
    assert sent.message.revision == 2


def test_older_and_duplicate_commands_are_dropped() -> None:
    delivery = new_delivery()
    delivery.handle(push(delivered(0, 2), delivered(2, 5)), 0.0)
    assert delivery.handle(push(delivered(0, 2)), 0.1) == []
    assert delivery.handle(push(delivered(2, 5), delivered(5, 6)), 0.2) == [ApplyCommands((delivered(5, 6),))]


def test_commands_from_the_replica_and_from_a_push_are_applied_once() -> None:
    entries = tuple(
        Entry(LogIndex(i), Term(3), EntryKind.BARRIER if i == 2 else EntryKind.COMMAND, b"d")
        for i in (1, 2, 3, 4)
    )
    delivery = new_delivery()
    delivery.handle(push(delivered(0, 1), delivered(1, 3)), 0.0)
    assert delivery.handle(CommandsCommitted(entries), 0.1) == [ApplyCommands((delivered(3, 4),))]
    assert delivery.handle(push(delivered(1, 3), delivered(3, 4)), 0.2) == []


def test_an_older_snapshot_of_the_replica_does_not_replace_a_newer_state() -> None:
    log = Log()
    log.run(put_tenant("a"))
    older, older_index = log.state.snapshot(), log.index
    log.run(put_tenant("b"))
    delivery = new_delivery()
    delivery.handle(ReplicaRestored(LogIndex(log.index), log.state.snapshot()), 0.0)
    assert delivery.handle(ReplicaRestored(LogIndex(older_index), older), 0.1) == []
    assert delivery.revision == log.index


def test_a_damaged_transfer_is_dropped_and_requested_from_another_peer() -> None:
    delivery = new_delivery()
    (sent,) = delivery.handle(push(delivered(4, 7)), 0.0)
    assert isinstance(sent, Send) and isinstance(sent.message, FetchState)
    delivery.handle(MessageReceived(NodeId("n02"), PushCommands(Term(3), Revision(7))), 0.0)
    chunk = StateChunk(sent.message.request, TransferKind.SNAPSHOT, Revision(7), 3, 12345, 0, b"abc", 3)
    assert delivery.handle(MessageReceived(LEADER, chunk), 0.1) == []
    (retry,) = delivery.handle(Tick(), delivery.next_deadline())
    assert delivery.next_deadline() < 1.0
    assert isinstance(retry, Send) and isinstance(retry.message, FetchState)
    assert (retry.to, retry.message.revision, retry.message.offset) == ("n02", 0, 0)


def test_nodes_that_start_together_share_one_snapshot() -> None:
    log = Log()
    log.run(put_tenant("a"))
    delivery = new_delivery()
    delivery.handle(ReplicaRestored(LogIndex(log.index), log.state.snapshot()), 0.0)
    fetch = FetchState(1, Revision(0))
    (provide,) = delivery.handle(MessageReceived(NodeId("n01"), fetch), 0.0)
    assert isinstance(provide, ProvideSnapshot)
    assert delivery.handle(MessageReceived(NodeId("n02"), fetch), 0.1) == []
    provided = SnapshotProvided(Revision(log.index), log.state.snapshot())
    served = delivery.handle(provided, 0.2) + delivery.handle(MessageReceived(NodeId("n03"), fetch), 0.3)
    assert [effect.to for effect in served if isinstance(effect, Send)] == ["n01", "n02", "n03"]
    delivery.handle(Tick(), delivery.next_deadline())
    assert delivery.handle(MessageReceived(NodeId("n04"), fetch), 99.0) == [ProvideSnapshot()]


def test_a_snapshot_that_the_agent_never_provides_is_requested_again() -> None:
    delivery = new_delivery()
    log = Log()
    log.run(put_tenant("a"))
    delivery.handle(ReplicaRestored(LogIndex(log.index), log.state.snapshot()), 0.0)
    fetch = MessageReceived(NodeId("n01"), FetchState(1, Revision(0)))
    assert delivery.handle(fetch, 0.0) == [ProvideSnapshot()]
    assert delivery.handle(fetch, 1.0) == []
    assert delivery.handle(fetch, 6.0) == [ProvideSnapshot()]


def test_a_transfer_without_progress_is_not_requested_again_immediately() -> None:
    delivery = new_delivery()
    (sent,) = delivery.handle(push(delivered(4, 7)), 0.0)
    assert isinstance(sent, Send) and isinstance(sent.message, FetchState)
    content = msgspec.msgpack.encode((delivered(4, 7),))
    chunk = StateChunk(
        sent.message.request,
        TransferKind.DELTA,
        Revision(7),
        len(content),
        transfer_checksum(content),
        0,
        content,
        len(content),
    )
    assert delivery.handle(MessageReceived(LEADER, chunk), 0.1) == []
    assert delivery.next_deadline() == pytest.approx(0.5)


def test_messages_survive_encoding_and_decoding() -> None:
    result = CommandResult(OrderId("o"), Outcome.CONFLICT, Revision(3), winner={"version": 2})
    examples: list[PeerMessage] = [
        PushCommands(Term(3), Revision(7), (delivered(4, 7),), (NodeId("n1"),)),
        FetchState(1, Revision(0), TransferKind.SNAPSHOT, Revision(7), 500),
        StateChunk(1, TransferKind.DELTA, Revision(7), 9, 2**62, 0, b"abc", 3),
        NoNewerRevision(1, Revision(7)),
        RevisionRequest(2**48),
        RevisionConfirmed(2**48, Revision(7)),
        ForwardOrder("k", b"data"),
        OrderDecided("k", result),
        OrderRejected("k", ErrorCode.STORAGE_FULL),
    ]
    known = MESSAGES + ORDER_MESSAGES
    assert {type(example) for example in examples} == set(known)
    for example in examples:
        data = msgspec.msgpack.encode(example)
        assert msgspec.msgpack.decode(data, type=Union[known]) == example  # noqa: UP007


@pytest.mark.parametrize("seed", range(10))
def test_a_peer_that_does_not_reply_is_abandoned_for_another(seed: int) -> None:
    delivery = StateDelivery(NodeId("n05"), random.Random(seed))
    delivery.handle(push(delivered(4, 7)), 0.0)
    delivery.handle(MessageReceived(NodeId("n02"), PushCommands(Term(3), Revision(7))), 0.0)
    sent: list[NodeId] = []
    for _ in range(3):
        now = delivery.next_deadline()
        sent += [effect.to for effect in delivery.handle(Tick(), now) if isinstance(effect, Send)]
    assert sent == [LEADER, NodeId("n02"), NodeId("n02")]


def test_an_announcement_is_forwarded_once_the_node_has_the_announced_revision() -> None:
    delivery = new_delivery()
    announcement = PushCommands(Term(3), Revision(4), (), (NodeId("n07"), NodeId("n08")))
    (sent,) = delivery.handle(MessageReceived(LEADER, announcement), 0.0)
    assert isinstance(sent, Send) and isinstance(sent.message, FetchState)
    content = msgspec.msgpack.encode((delivered(0, 4),))
    chunk = StateChunk(
        sent.message.request,
        TransferKind.DELTA,
        Revision(4),
        len(content),
        transfer_checksum(content),
        0,
        content,
        len(content),
    )
    assert delivery.handle(MessageReceived(LEADER, chunk), 0.1) == [
        ApplyCommands((delivered(0, 4),)),
        Send(NodeId("n07"), PushCommands(Term(3), Revision(4))),
        Send(NodeId("n08"), PushCommands(Term(3), Revision(4))),
    ]


@pytest.mark.parametrize(("zone_size", "relays"), [(12, 1), (13, 2), (90, 2)])
def test_a_zone_of_more_than_twelve_nodes_has_two_relays_that_are_alive(zone_size: int, relays: int) -> None:
    records = [member("n00", "z0")]
    records += [
        member(f"a{i:02}", "z1", NodeStatus.SUSPECT if i < 5 else NodeStatus.ALIVE) for i in range(zone_size)
    ]
    branches = branches_of_leader(view_of("n00", records), DeliverySettings())
    assert len(branches) == relays
    assert all(branch.to not in {"a00", "a01", "a02", "a03", "a04"} for branch in branches)
    reached = [node for branch in branches for node in (branch.to, *branch.relay_to)]
    assert sorted(reached) == [record.node for record in records[1:]]


def test_splitting_reaches_each_node_once() -> None:
    nodes = tuple(NodeId(f"n{i}") for i in range(21))
    branches = split_into_branches(nodes, 8)
    assert len(branches) == 8
    assert sorted(n for b in branches for n in (b.to, *b.relay_to)) == sorted(nodes)
    assert split_into_branches((), 8) == []


def test_the_recent_log_is_bounded_and_returns_none_before_its_start() -> None:
    recent = RecentLog(max_commands=3, max_bytes=10)
    recent.extend([delivered(0, 2), delivered(2, 3), delivered(3, 7), delivered(7, 8)])
    assert recent.after(Revision(0), 100) is None
    assert recent.after(Revision(2), 100) == (delivered(2, 3), delivered(3, 7), delivered(7, 8))
    assert recent.after(Revision(3), 1) == (delivered(3, 7),)
    recent.extend([delivered(8, 9, b"x" * 50)])
    assert recent.after(Revision(7), 100) is None
    assert recent.after(Revision(8), 1) == (delivered(8, 9, b"x" * 50),)


def test_a_peers_higher_term_without_a_leader_does_not_hide_the_leader() -> None:
    delivery = StateDelivery(NodeId("n01"), random.Random(1))
    delivery.handle(PeerRevisionObserved(NodeId("n02"), Term(9), Revision(0)), 0.0)
    (request,) = delivery.handle(LeadershipKnown(Term(1), LEADER), 0.1)
    assert isinstance(request, Send) and request.to == LEADER


def test_a_leaving_node_receives_pushes_but_forwards_none() -> None:
    records = [member(f"n{number:02}", "north" if number < 4 else "south") for number in range(9)]
    leaving = {"n04", "n05"}
    records = [msgspec.structs.replace(record, leaving=record.node in leaving) for record in records]
    branches = branches_of_leader(view_of("n00", records), DeliverySettings())
    reached = [branch.to for branch in branches] + [node for branch in branches for node in branch.relay_to]
    assert sorted(reached) == sorted(record.node for record in records[1:])
    assert {branch.to for branch in branches}.isdisjoint(leaving)
