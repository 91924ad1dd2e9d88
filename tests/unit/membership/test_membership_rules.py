"""Rules of one node's membership: the effects and the view that follow from given events."""

import random

import msgspec

from springmux.coordination.membership import messages as wire
from springmux.coordination.membership.effects import MembershipChanged, SendToAddress
from springmux.coordination.membership.events import LeaveBegun, OwnRecordChanged, PeerUnreachable
from springmux.coordination.membership.membership import Membership
from springmux.coordination.membership.settings import MembershipSettings
from springmux.coordination.membership.view import NodeStatus
from springmux.coordination.state_machine import LogLine, MessageReceived, Send, Tick
from tests.support.gossip_harness import record_of

OWN, PEER, OTHER = record_of(0, 2), record_of(1, 2), record_of(2, 2)
SETTINGS = MembershipSettings()


def membership_that_knows(*records):
    membership = Membership(OWN, (PEER.peer_address,), random.Random(1))
    membership.handle(Tick(), 0.0)
    membership.handle(MessageReceived(PEER.node, wire.MemberState((OWN, *records))), 0.1)
    return membership


def sent(effects, kind):
    return [effect for effect in effects if isinstance(effect, Send) and isinstance(effect.message, kind)]


def status_gossip(record, status, incarnation=0, accuser=OTHER.node):
    updates = wire.Piggyback(statuses=(wire.StatusUpdate(record.node, incarnation, status, accuser),))
    return MessageReceived(OTHER.node, wire.MemberGossip(updates))


def test_first_join_requests_go_to_all_seeds_except_the_own_address():
    membership = Membership(OWN, (OWN.peer_address, PEER.peer_address), random.Random(1))
    effects = membership.handle(Tick(), 0.0)
    assert [e for e in effects if isinstance(e, SendToAddress)] == [
        SendToAddress(PEER.peer_address, wire.MemberJoin(OWN))
    ]


def test_join_request_is_answered_with_all_records_at_the_address_in_its_record():
    membership = membership_that_knows(PEER)
    effects = membership.handle(MessageReceived(OTHER.node, wire.MemberJoin(OTHER)), 0.2)
    replies = [e for e in effects if isinstance(e, SendToAddress)]
    assert [a.address for a in replies] == [OTHER.peer_address]
    assert {r.node for r in replies[0].message.records} == {OWN.node, PEER.node, OTHER.node}


def test_record_of_an_earlier_process_is_superseded_by_a_higher_incarnation():
    membership = membership_that_knows(PEER)
    earlier_process = msgspec.structs.replace(
        OWN, incarnation=7, status=NodeStatus.DEAD, peer_address="10.1.1.1:7"
    )
    membership.handle(MessageReceived(PEER.node, wire.MemberState((earlier_process,))), 0.2)
    own = membership.view.nodes[OWN.node]
    assert (own.incarnation, own.status, own.peer_address) == (8, NodeStatus.ALIVE, OWN.peer_address)


def test_running_process_of_the_same_name_is_logged_but_an_earlier_one_is_not():
    membership = membership_that_knows(PEER)
    warnings = []
    for _ in range(4):
        own = membership.view.nodes[OWN.node]
        other_process = msgspec.structs.replace(
            OWN, incarnation=own.incarnation + 1, peer_address="10.1.1.1:7"
        )
        effects = membership.handle(MessageReceived(PEER.node, wire.MemberState((other_process,))), 0.2)
        warnings.append(any(isinstance(e, LogLine) and e.name == "membership_name_clash" for e in effects))
    assert warnings == [False, False, True, True]


def test_suspicion_of_the_own_node_is_refuted_by_a_higher_incarnation():
    membership = membership_that_knows(PEER)
    effects = membership.handle(status_gossip(OWN, NodeStatus.SUSPECT), 0.2)
    assert membership.view.nodes[OWN.node].incarnation == 1
    assert any(isinstance(e, LogLine) and e.name == "membership_refuted" for e in effects)


def test_dead_node_returns_at_another_address_only_with_a_higher_incarnation():
    membership = membership_that_knows(PEER, OTHER)
    membership.handle(status_gossip(PEER, NodeStatus.DEAD), 0.2)
    moved = msgspec.structs.replace(PEER, peer_address="10.1.1.1:7000")
    membership.handle(MessageReceived(OTHER.node, wire.MemberState((moved,))), 0.3)
    assert membership.view.nodes[PEER.node].status is NodeStatus.DEAD
    newer = msgspec.structs.replace(moved, incarnation=1)
    membership.handle(MessageReceived(OTHER.node, wire.MemberState((newer,))), 0.4)
    assert membership.view.nodes[PEER.node] == newer


def test_forgotten_node_is_restored_by_its_own_join_but_not_by_old_records():
    membership = membership_that_knows(PEER, OTHER)
    membership.handle(status_gossip(PEER, NodeStatus.LEFT, incarnation=3), 0.2)
    membership.handle(Tick(), 0.3)
    membership.handle(Tick(), 100.0)
    assert PEER.node not in membership.view.nodes
    old_record = msgspec.structs.replace(PEER, incarnation=3)
    membership.handle(MessageReceived(OTHER.node, wire.MemberState((old_record,))), 100.1)
    assert PEER.node not in membership.view.nodes
    membership.handle(MessageReceived(PEER.node, wire.MemberJoin(PEER)), 100.2)
    assert PEER.node in membership.view.nodes


def test_unreachable_peer_is_probed_soon_but_not_suspected():
    membership = membership_that_knows(PEER, OTHER)
    membership.handle(Tick(), 0.2)
    pings = sent(membership.handle(Tick(), 0.3), wire.MemberPing)
    assert pings == []
    effects = membership.handle(PeerUnreachable(PEER.node), 0.35)
    assert not any(isinstance(e, MembershipChanged) for e in effects)
    assert membership.view.nodes[PEER.node].status is NodeStatus.ALIVE


def test_unresponsive_target_is_probed_through_helpers_and_then_suspected():
    membership = membership_that_knows(PEER, OTHER)
    ping = sent(membership.handle(Tick(), 0.6), wire.MemberPing)[0]
    helper = ({PEER.node, OTHER.node} - {ping.to}).pop()
    ping_requests = sent(membership.handle(Tick(), 0.85), wire.MemberPingRequest)
    assert [(e.to, e.message.target) for e in ping_requests] == [(helper, ping.to)]
    membership.handle(Tick(), 1.15)
    assert membership.view.nodes[ping.to].status is NodeStatus.SUSPECT


def test_confirmations_shorten_a_suspicion():
    def death_time(accusers):
        membership = membership_that_knows(PEER, *(record_of(i, 2) for i in range(2, 8)))
        for accuser in accusers:
            membership.handle(status_gossip(PEER, NodeStatus.SUSPECT, accuser=accuser), 0.2)
        now = 0.2
        while membership.view.nodes[PEER.node].status is not NodeStatus.DEAD and now < 5:
            now += 0.05
            for effect in membership.handle(Tick(), now):
                if isinstance(effect, Send) and isinstance(effect.message, wire.MemberPing):
                    ack = wire.MemberAck(effect.message.sequence, 0)
                    membership.handle(MessageReceived(effect.to, ack), now)
        return now - 0.2

    unconfirmed, confirmed = death_time(["a"]), death_time(["a", "b", "c", "d"])
    assert SETTINGS.suspicion_min_s <= confirmed < SETTINGS.suspicion_min_s + 0.15
    assert SETTINGS.suspicion_max_s <= unconfirmed < SETTINGS.suspicion_max_s + 0.15


def test_paused_process_restarts_its_suspicions_instead_of_declaring_deaths():
    membership = membership_that_knows(PEER, OTHER)
    membership.handle(status_gossip(PEER, NodeStatus.SUSPECT), 0.2)
    effects = membership.handle(Tick(), 60.0)
    ping = sent(effects, wire.MemberPing)[0]
    membership.handle(MessageReceived(ping.to, wire.MemberAck(ping.message.sequence, 0)), 60.01)
    membership.handle(Tick(), 60.05)
    assert membership.view.nodes[PEER.node].status is NodeStatus.SUSPECT
    assert any(isinstance(e, LogLine) and e.name == "membership_paused" for e in effects)
    assert membership.health_factor > 1


def test_view_is_published_only_after_a_change():
    membership = membership_that_knows(PEER)
    assert not any(isinstance(e, MembershipChanged) for e in membership.handle(Tick(), 0.2))
    effects = membership.handle(OwnRecordChanged(msgspec.structs.replace(OWN, ready=True)), 0.3)
    assert [e.view.nodes[OWN.node].ready for e in effects if isinstance(e, MembershipChanged)] == [True]


def test_leaving_node_announces_it_immediately_and_stops_probing():
    membership = membership_that_knows(PEER)
    effects = membership.handle(LeaveBegun(), 0.2)
    updates = [r for e in sent(effects, wire.MemberGossip) for r in e.message.updates.records]
    assert [r.status for r in updates if r.node == OWN.node] == [NodeStatus.LEFT]
    now = 0.2
    while membership.next_deadline() < float("inf") and now < 60:
        now = max(now, membership.next_deadline())
        assert sent(membership.handle(Tick(), now), wire.MemberPing) == []
    assert now < 60


def test_dead_node_is_pinged_periodically_and_notified_of_its_status():
    membership = membership_that_knows(PEER, OTHER)
    membership.handle(status_gossip(PEER, NodeStatus.DEAD), 0.2)
    pings = []
    for step in range(60):
        effects = membership.handle(Tick(), 0.3 + step / 2)
        pings += [e.message for e in sent(effects, wire.MemberPing) if e.to == PEER.node]
    assert 5 <= len(pings) <= 40, "with one dead node of three, about one ping in three probe periods"
    assert {ping.updates.statuses[0].status for ping in pings} == {NodeStatus.DEAD}


def test_ping_to_a_suspect_carries_the_record_of_the_sender():
    """The suspect may be a new process that knows no node and needs the sender's address to reply."""
    membership = membership_that_knows(PEER, OTHER)
    membership.handle(status_gossip(PEER, NodeStatus.SUSPECT), 0.2)
    pings = {}
    now = 0.2
    while len(pings) < 2:
        now = max(now, membership.next_deadline())
        for ping in sent(membership.handle(Tick(), now), wire.MemberPing):
            pings[ping.to] = ping.message
            membership.handle(MessageReceived(ping.to, wire.MemberAck(ping.message.sequence, 0)), now)
    own = membership.view.nodes[OWN.node]
    assert own in pings[PEER.node].updates.records
    assert wire.StatusUpdate(PEER.node, 0, NodeStatus.SUSPECT, OWN.node) in pings[PEER.node].updates.statuses


def test_notification_of_a_suspect_carries_the_record_of_the_accuser():
    membership = membership_that_knows(PEER, OTHER)
    notifications = []
    now = 0.2
    while not notifications:
        now = max(now, membership.next_deadline())
        gossip = sent(membership.handle(Tick(), now), wire.MemberGossip)
        notifications = [
            each for each in gossip if each.message.updates.statuses and each.message.updates.records
        ]
    suspect = notifications[0].message.updates.statuses[0].node
    assert notifications[0].to == suspect
    assert notifications[0].message.updates.records == (membership.view.nodes[OWN.node],)


def test_ping_of_an_unknown_node_is_acknowledged_and_starts_an_exchange():
    membership = Membership(OWN, (), random.Random(1))
    updates = wire.Piggyback(records=(PEER,))
    effects = membership.handle(
        MessageReceived(PEER.node, wire.MemberPing(5, PEER.incarnation, updates)), 0.1
    )
    assert [ack.to for ack in sent(effects, wire.MemberAck)] == [PEER.node]
    assert [digest.to for digest in sent(effects, wire.MemberDigest)] == [PEER.node]
    again = membership.handle(MessageReceived(PEER.node, wire.MemberPing(6, PEER.incarnation, updates)), 0.2)
    assert not sent(again, wire.MemberDigest)
