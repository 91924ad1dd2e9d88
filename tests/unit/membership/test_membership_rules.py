"""Transcripts of one membership part: events in, effects and view out."""

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


def joined(*records):
    part = Membership(OWN, (PEER.peer_address,), random.Random(1))
    part.handle(Tick(), 0.0)
    part.handle(MessageReceived(PEER.node, wire.MemberState((OWN, *records))), 0.1)
    return part


def sent(effects, kind):
    return [effect for effect in effects if isinstance(effect, Send) and isinstance(effect.message, kind)]


def rumour(record, status, incarnation=0, accuser=OTHER.node):
    news = wire.Piggyback(statuses=(wire.StatusUpdate(record.node, incarnation, status, accuser),))
    return MessageReceived(OTHER.node, wire.MemberGossip(news))


def test_first_message_goes_to_seed_addresses_except_the_own():
    part = Membership(OWN, (OWN.peer_address, PEER.peer_address), random.Random(1))
    effects = part.handle(Tick(), 0.0)
    assert [e for e in effects if isinstance(e, SendToAddress)] == [
        SendToAddress(PEER.peer_address, wire.MemberJoin(OWN))
    ]


def test_join_is_answered_with_the_whole_state_at_the_address_given():
    part = joined(PEER)
    effects = part.handle(MessageReceived(OTHER.node, wire.MemberJoin(OTHER)), 0.2)
    answers = [e for e in effects if isinstance(e, SendToAddress)]
    assert [a.address for a in answers] == [OTHER.peer_address]
    assert {r.node for r in answers[0].message.records} == {OWN.node, PEER.node, OTHER.node}


def test_older_life_of_the_own_name_is_outbid():
    part = joined(PEER)
    old_life = msgspec.structs.replace(OWN, incarnation=7, status=NodeStatus.DEAD, peer_address="10.1.1.1:7")
    part.handle(MessageReceived(PEER.node, wire.MemberState((old_life,))), 0.2)
    own = part.view.nodes[OWN.node]
    assert (own.incarnation, own.status, own.peer_address) == (8, NodeStatus.ALIVE, OWN.peer_address)


def test_second_process_under_the_own_name_is_warned_of_but_not_an_older_life():
    part = joined(PEER)
    warned = []
    for _ in range(4):
        own = part.view.nodes[OWN.node]
        twin = msgspec.structs.replace(OWN, incarnation=own.incarnation + 1, peer_address="10.1.1.1:7")
        effects = part.handle(MessageReceived(PEER.node, wire.MemberState((twin,))), 0.2)
        warned.append(any(isinstance(e, LogLine) and e.name == "membership_name_clash" for e in effects))
    assert warned == [False, False, True, True]


def test_suspicion_of_the_own_node_is_refuted_by_a_higher_incarnation():
    part = joined(PEER)
    effects = part.handle(rumour(OWN, NodeStatus.SUSPECT), 0.2)
    assert part.view.nodes[OWN.node].incarnation == 1
    assert any(isinstance(e, LogLine) and e.name == "membership_refuted" for e in effects)


def test_dead_node_returns_at_another_address_only_with_a_higher_incarnation():
    part = joined(PEER, OTHER)
    part.handle(rumour(PEER, NodeStatus.DEAD), 0.2)
    moved = msgspec.structs.replace(PEER, peer_address="10.1.1.1:7000")
    part.handle(MessageReceived(OTHER.node, wire.MemberState((moved,))), 0.3)
    assert part.view.nodes[PEER.node].status is NodeStatus.DEAD
    newer = msgspec.structs.replace(moved, incarnation=1)
    part.handle(MessageReceived(OTHER.node, wire.MemberState((newer,))), 0.4)
    assert part.view.nodes[PEER.node] == newer


def test_forgotten_node_is_not_brought_back_by_an_old_rumour_but_by_itself():
    part = joined(PEER, OTHER)
    part.handle(rumour(PEER, NodeStatus.LEFT, incarnation=3), 0.2)
    part.handle(Tick(), 0.3)
    part.handle(Tick(), 100.0)
    assert PEER.node not in part.view.nodes
    zombie = msgspec.structs.replace(PEER, incarnation=3)
    part.handle(MessageReceived(OTHER.node, wire.MemberState((zombie,))), 100.1)
    assert PEER.node not in part.view.nodes
    part.handle(MessageReceived(PEER.node, wire.MemberJoin(PEER)), 100.2)
    assert PEER.node in part.view.nodes


def test_unreachable_peer_is_probed_soon_but_not_suspected():
    part = joined(PEER, OTHER)
    part.handle(Tick(), 0.2)
    probed = sent(part.handle(Tick(), 0.3), wire.MemberPing)
    assert probed == []
    effects = part.handle(PeerUnreachable(PEER.node), 0.35)
    assert not any(isinstance(e, MembershipChanged) for e in effects)
    assert part.view.nodes[PEER.node].status is NodeStatus.ALIVE


def test_silent_target_is_asked_for_through_helpers_and_then_suspected():
    part = joined(PEER, OTHER)
    ping = sent(part.handle(Tick(), 0.6), wire.MemberPing)[0]
    helper = ({PEER.node, OTHER.node} - {ping.to}).pop()
    asked = sent(part.handle(Tick(), 0.85), wire.MemberPingRequest)
    assert [(e.to, e.message.target) for e in asked] == [(helper, ping.to)]
    part.handle(Tick(), 1.15)
    assert part.view.nodes[ping.to].status is NodeStatus.SUSPECT


def test_confirmations_shorten_a_suspicion():
    def death_time(accusers):
        part = joined(PEER, *(record_of(i, 2) for i in range(2, 8)))
        for accuser in accusers:
            part.handle(rumour(PEER, NodeStatus.SUSPECT, accuser=accuser), 0.2)
        now = 0.2
        while part.view.nodes[PEER.node].status is not NodeStatus.DEAD and now < 5:
            now += 0.05
            for effect in part.handle(Tick(), now):
                if isinstance(effect, Send) and isinstance(effect.message, wire.MemberPing):
                    ack = wire.MemberAck(effect.message.sequence, 0)
                    part.handle(MessageReceived(effect.to, ack), now)
        return now - 0.2

    alone, confirmed = death_time(["a"]), death_time(["a", "b", "c", "d"])
    assert SETTINGS.suspicion_min_s <= confirmed < SETTINGS.suspicion_min_s + 0.15
    assert SETTINGS.suspicion_max_s <= alone < SETTINGS.suspicion_max_s + 0.15


def test_paused_process_restarts_its_suspicions_instead_of_declaring_deaths():
    part = joined(PEER, OTHER)
    part.handle(rumour(PEER, NodeStatus.SUSPECT), 0.2)
    effects = part.handle(Tick(), 60.0)
    ping = sent(effects, wire.MemberPing)[0]
    part.handle(MessageReceived(ping.to, wire.MemberAck(ping.message.sequence, 0)), 60.01)
    part.handle(Tick(), 60.05)
    assert part.view.nodes[PEER.node].status is NodeStatus.SUSPECT
    assert any(isinstance(e, LogLine) and e.name == "membership_paused" for e in effects)
    assert part.health_factor > 1


def test_view_is_published_only_when_something_changed():
    part = joined(PEER)
    assert not any(isinstance(e, MembershipChanged) for e in part.handle(Tick(), 0.2))
    effects = part.handle(OwnRecordChanged(msgspec.structs.replace(OWN, ready=True)), 0.3)
    assert [e.view.nodes[OWN.node].ready for e in effects if isinstance(e, MembershipChanged)] == [True]


def test_leaving_node_says_so_at_once_and_falls_silent():
    part = joined(PEER)
    effects = part.handle(LeaveBegun(), 0.2)
    news = [r for e in sent(effects, wire.MemberGossip) for r in e.message.updates.records]
    assert [r.status for r in news if r.node == OWN.node] == [NodeStatus.LEFT]
    now = 0.2
    while part.next_deadline() < float("inf") and now < 60:
        now = max(now, part.next_deadline())
        assert sent(part.handle(Tick(), now), wire.MemberPing) == []
    assert now < 60


def test_dead_node_is_pinged_now_and_then_and_told_that_it_is_dead():
    part = joined(PEER, OTHER)
    part.handle(rumour(PEER, NodeStatus.DEAD), 0.2)
    pings = []
    for step in range(60):
        effects = part.handle(Tick(), 0.3 + step / 2)
        pings += [e.message for e in sent(effects, wire.MemberPing) if e.to == PEER.node]
    assert 5 <= len(pings) <= 40, "one dead of three nodes: about each third probe period"
    assert {ping.updates.statuses[0].status for ping in pings} == {NodeStatus.DEAD}


def test_a_suspect_is_told_who_asks_since_it_may_be_a_new_process_that_knows_nobody():
    part = joined(PEER, OTHER)
    part.handle(rumour(PEER, NodeStatus.SUSPECT), 0.2)
    pings = {}
    now = 0.2
    while len(pings) < 2:
        now = max(now, part.next_deadline())
        for ping in sent(part.handle(Tick(), now), wire.MemberPing):
            pings[ping.to] = ping.message
            part.handle(MessageReceived(ping.to, wire.MemberAck(ping.message.sequence, 0)), now)
    own = part.view.nodes[OWN.node]
    assert own in pings[PEER.node].updates.records
    assert wire.StatusUpdate(PEER.node, 0, NodeStatus.SUSPECT, OWN.node) in pings[PEER.node].updates.statuses


def test_an_accused_node_is_told_who_accuses_it():
    part = joined(PEER, OTHER)
    told = []
    now = 0.2
    while not told:
        now = max(now, part.next_deadline())
        gossip = sent(part.handle(Tick(), now), wire.MemberGossip)
        told = [each for each in gossip if each.message.updates.statuses and each.message.updates.records]
    accused = told[0].message.updates.statuses[0].node
    assert told[0].to == accused
    assert told[0].message.updates.records == (part.view.nodes[OWN.node],)


def test_a_stranger_that_introduces_itself_is_answered_and_asked_for_the_fleet():
    part = Membership(OWN, (), random.Random(1))
    news = wire.Piggyback(records=(PEER,))
    effects = part.handle(MessageReceived(PEER.node, wire.MemberPing(5, PEER.incarnation, news)), 0.1)
    assert [ack.to for ack in sent(effects, wire.MemberAck)] == [PEER.node]
    assert [digest.to for digest in sent(effects, wire.MemberDigest)] == [PEER.node]
    again = part.handle(MessageReceived(PEER.node, wire.MemberPing(6, PEER.incarnation, news)), 0.2)
    assert not sent(again, wire.MemberDigest)
