"""Transcripts of one quota allocator: idle accounts, requests, replies, settlement."""

from __future__ import annotations

import random

import pytest

from springmux.coordination.identifiers import Address, NodeId, ZoneName
from springmux.coordination.membership.view import MembershipView, NodeRecord
from springmux.coordination.quota.events import AccountRate, AccountsChanged, QuotaMembersChanged
from springmux.coordination.quota.messages import AccountDemand, AccountGrant, QuotaReply, QuotaRequest
from springmux.coordination.quota.owner import TAKEOVER_LEVEL_S
from springmux.coordination.quota.quota_allocator import QuotaAllocator
from springmux.coordination.rendezvous import first_holders
from springmux.coordination.state_machine import NEVER, Effect, MessageReceived, Send, Tick

NODES = (NodeId("a"), NodeId("b"))
OWNER = first_holders("tenant", NODES, 1)[0]
REQUESTER = next(node for node in NODES if node != OWNER)


def make_allocator(node: NodeId, nodes: tuple[NodeId, ...] = NODES) -> QuotaAllocator:
    allocator = QuotaAllocator(node, random.Random(1))
    address = Address("127.0.0.1:1")
    records = {name: NodeRecord(name, ZoneName("z"), address, address, address) for name in nodes}
    allocator.handle(AccountsChanged({"tenant": AccountRate(1000.0, 2000.0)}), 0.0)
    allocator.handle(QuotaMembersChanged(MembershipView(node, records)), 0.0)
    return allocator


def sent_request(effects: list[Effect]) -> QuotaRequest:
    (effect,) = effects
    assert isinstance(effect, Send)
    assert effect.to == OWNER
    assert isinstance(effect.message, QuotaRequest)
    return effect.message


def make_reply(request: QuotaRequest, limit: float, available: float = 0.0) -> MessageReceived:
    grant = AccountGrant("tenant", limit, rate=250.0, available=available)
    return MessageReceived(OWNER, QuotaReply(request.incarnation, request.sequence, (grant,)))


def make_request(spent: float, requested: float, sequence: int, incarnation: int = 7) -> MessageReceived:
    demand = AccountDemand("tenant", spent, requested, 100.0, spent)
    return MessageReceived(REQUESTER, QuotaRequest(incarnation, sequence, (demand,)))


def granted_limit(effects: list[Effect]) -> float:
    (effect,) = effects
    assert isinstance(effect, Send)
    assert isinstance(effect.message, QuotaReply)
    return effect.message.grants[0].limit


def test_idle_accounts_need_no_messages_and_no_ticks() -> None:
    allocator = make_allocator(REQUESTER)
    accounts = {f"account{index}": AccountRate(10.0, 10.0) for index in range(17_000)}
    assert allocator.handle(AccountsChanged(accounts), 1.0) == []
    assert allocator.next_deadline() == NEVER
    assert (allocator.active_accounts(), allocator.owned_accounts()) == (0, 0)


def test_a_reservation_triggers_a_request_and_an_idle_node_returns_its_share() -> None:
    allocator = make_allocator(REQUESTER)
    assert allocator.reserve("tenant", 300.0, 1.0)
    assert allocator.next_deadline() == 1.0
    request = sent_request(allocator.handle(Tick(), 1.0))
    assert request.demands[0].spent == 300.0
    assert allocator.handle(make_reply(request, 700.0), 1.01) == []
    request = sent_request(allocator.handle(Tick(), 2.5))
    assert (request.demands[0].requested, request.demands[0].unspent) == (0.0, 0.0)
    allocator.handle(make_reply(request, 300.0), 2.51)
    assert allocator.handle(Tick(), 2.8) == []
    assert allocator.next_deadline() == NEVER


def test_a_share_is_spent_up_to_its_limit_and_unused_tokens_are_refunded() -> None:
    allocator = make_allocator(REQUESTER)
    assert allocator.reserve("tenant", 300.0, 1.0)
    allocator.handle(make_reply(sent_request(allocator.handle(Tick(), 1.0)), 700.0), 1.01)
    assert allocator.reserve("tenant", 400.0, 1.02)
    assert not allocator.reserve("tenant", 1.0, 1.03)
    assert allocator.retry_after_s("tenant", 200.0, 1.03) == pytest.approx(0.8)
    allocator.settle("tenant", 400.0, 100.0, 1.04)
    assert allocator.reserve("tenant", 300.0, 1.05)


def test_tokens_used_beyond_the_reservation_are_charged_to_the_next_grant() -> None:
    allocator = make_allocator(REQUESTER)
    assert allocator.reserve("tenant", 300.0, 1.0)
    allocator.settle("tenant", 300.0, 900.0, 1.005)
    request = sent_request(allocator.handle(Tick(), 1.01))
    assert request.demands[0].spent == 900.0
    allocator.handle(make_reply(request, 900.0), 1.02)
    assert not allocator.reserve("tenant", 1.0, 1.03)


def test_available_tokens_may_be_used_once_before_the_owner_replies() -> None:
    allocator = make_allocator(REQUESTER)
    assert allocator.reserve("tenant", 300.0, 1.0)
    allocator.handle(make_reply(sent_request(allocator.handle(Tick(), 1.0)), 300.0, available=1000.0), 1.01)
    assert allocator.reserve("tenant", 450.0, 1.02)
    assert not allocator.reserve("tenant", 450.0, 1.03)


def test_accounts_without_a_quota_and_removed_ones_are_not_limited() -> None:
    allocator = make_allocator(REQUESTER)
    assert allocator.reserve("unknown", 1e9, 1.0)
    assert not allocator.reserve("tenant", 1e9, 1.0)
    allocator.handle(AccountsChanged({}, ("tenant",)), 2.0)
    assert allocator.reserve("tenant", 1e9, 2.0)


def test_the_owner_grants_at_most_its_level_and_refills_at_the_rate() -> None:
    owner = make_allocator(OWNER)
    assert granted_limit(owner.handle(make_request(0.0, 5000.0, 1), 20.0)) == pytest.approx(2000.0)
    assert granted_limit(owner.handle(make_request(2000.0, 5000.0, 2), 20.5)) == pytest.approx(2500.0)


def test_duplicate_and_older_requests_are_ignored() -> None:
    owner = make_allocator(OWNER)
    assert granted_limit(owner.handle(make_request(0.0, 1000.0, 2), 20.0)) == 1000.0
    assert owner.handle(make_request(0.0, 1500.0, 2), 20.0) == []
    assert owner.handle(make_request(0.0, 1500.0, 1), 20.0) == []
    assert granted_limit(owner.handle(make_request(500.0, 500.0, 3), 20.0)) == 1000.0


def test_a_share_with_an_expired_lease_returns_to_the_bucket() -> None:
    owner = make_allocator(OWNER)
    owner.handle(make_request(0.0, 2000.0, 1), 20.0)
    for now in (22.0, 24.0, 26.0):
        owner.handle(Tick(), now)
    assert owner.owned_accounts() == 0


def test_a_new_owner_starts_almost_empty_and_charges_unacknowledged_tokens() -> None:
    owner = make_allocator(OWNER)
    demand = AccountDemand("tenant", 1000.0, 5000.0, 100.0, acknowledged=900.0, self_granted=60.0)
    limit = granted_limit(owner.handle(MessageReceived(REQUESTER, QuotaRequest(7, 1, (demand,))), 1.0))
    assert limit == pytest.approx(1000.0 + TAKEOVER_LEVEL_S * 1000.0 - 40.0)


def test_a_node_without_its_owner_continues_at_its_last_rate_and_later_at_an_equal_share() -> None:
    allocator = make_allocator(REQUESTER)
    allocator.reserve("tenant", 100.0, 1.0)
    allocator.handle(make_reply(sent_request(allocator.handle(Tick(), 1.0)), 100.0), 1.0)
    admitted = {"first": 0.0, "later": 0.0}
    for step in range(1, 3000):
        now = 1.0 + step * 0.01
        if allocator.next_deadline() <= now:
            allocator.handle(Tick(), now)
        if allocator.reserve("tenant", 50.0, now):
            admitted["first" if now < 11.2 else "later"] += 50.0
    assert admitted["first"] / 10.2 == pytest.approx(250.0, rel=0.05)
    assert admitted["later"] / 19.8 == pytest.approx(500.0, rel=0.05)


def test_a_failed_reservation_awaits_the_owner_whose_reply_is_final() -> None:
    allocator = make_allocator(REQUESTER)
    allocator.reserve("tenant", 10.0, 1.0)
    allocator.handle(make_reply(sent_request(allocator.handle(Tick(), 1.0)), 20.0), 1.01)

    assert not allocator.reserve("tenant", 300.0, 1.1)
    assert allocator.awaits_owner("tenant")
    request = sent_request(allocator.handle(Tick(), allocator.next_deadline()))
    assert request.demands[0].minimum >= 300.0
    allocator.handle(make_reply(request, 20.0), 1.15)

    assert not allocator.reserve("tenant", 300.0, 1.15, again=True)
    assert not allocator.awaits_owner("tenant")


def test_a_repeated_reservation_adds_no_demand() -> None:
    requested_tokens = []
    for again in (True, False):
        allocator = make_allocator(REQUESTER)
        allocator.reserve("tenant", 10.0, 1.0)
        allocator.handle(make_reply(sent_request(allocator.handle(Tick(), 1.0)), 20.0), 1.01)
        allocator.reserve("tenant", 300.0, 1.1)
        for number in range(10):
            allocator.reserve("tenant", 300.0, 1.1 + number / 1000, again=again)
        requested_tokens.append(
            sent_request(allocator.handle(Tick(), allocator.next_deadline())).demands[0].requested
        )

    assert requested_tokens[0] < requested_tokens[1]


def test_the_owner_reclaims_unspent_shares_for_a_waiting_request() -> None:
    owner = make_allocator(OWNER)
    holder, requester = NodeId("h"), REQUESTER

    def request(sender: NodeId, sequence: int, requested: float, rejected: float) -> MessageReceived:
        demand = AccountDemand("tenant", 0.0, requested, rejected, rejected=rejected)
        return MessageReceived(sender, QuotaRequest(7, sequence, (demand,)))

    assert granted_limit(owner.handle(request(holder, 1, 1500.0, 0.0), 21.0)) == 1500.0
    assert granted_limit(owner.handle(request(requester, 1, 900.0, 900.0), 21.01)) == 0.0
    assert granted_limit(owner.handle(request(holder, 2, 1500.0, 0.0), 21.05)) == 0.0
    assert granted_limit(owner.handle(request(requester, 2, 900.0, 900.0), 21.06)) >= 900.0
