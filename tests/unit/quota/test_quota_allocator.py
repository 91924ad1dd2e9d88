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
ASKER = next(node for node in NODES if node != OWNER)


def make(node: NodeId, nodes: tuple[NodeId, ...] = NODES) -> QuotaAllocator:
    allocator = QuotaAllocator(node, random.Random(1))
    address = Address("127.0.0.1:1")
    records = {name: NodeRecord(name, ZoneName("z"), address, address, address) for name in nodes}
    allocator.handle(AccountsChanged({"tenant": AccountRate(1000.0, 2000.0)}), 0.0)
    allocator.handle(QuotaMembersChanged(MembershipView(node, records)), 0.0)
    return allocator


def asked(effects: list[Effect]) -> QuotaRequest:
    (effect,) = effects
    assert isinstance(effect, Send)
    assert effect.to == OWNER
    assert isinstance(effect.message, QuotaRequest)
    return effect.message


def answer(ask: QuotaRequest, limit: float, spare: float = 0.0) -> MessageReceived:
    grant = AccountGrant("tenant", limit, rate=250.0, available=spare)
    return MessageReceived(OWNER, QuotaReply(ask.incarnation, ask.sequence, (grant,)))


def ask_of(spent: float, wanted: float, sequence: int, boot: int = 7) -> MessageReceived:
    demand = AccountDemand("tenant", spent, wanted, 100.0, spent)
    return MessageReceived(ASKER, QuotaRequest(boot, sequence, (demand,)))


def granted(effects: list[Effect]) -> float:
    (effect,) = effects
    assert isinstance(effect, Send)
    assert isinstance(effect.message, QuotaReply)
    return effect.message.grants[0].limit


def test_accounts_at_rest_cost_no_message_and_no_tick() -> None:
    allocator = make(ASKER)
    accounts = {f"account{index}": AccountRate(10.0, 10.0) for index in range(17_000)}
    assert allocator.handle(AccountsChanged(accounts), 1.0) == []
    assert allocator.next_deadline() == NEVER
    assert (allocator.active_accounts(), allocator.owned_accounts()) == (0, 0)


def test_a_reservation_asks_the_owner_at_once_and_idleness_gives_the_share_back() -> None:
    allocator = make(ASKER)
    assert allocator.reserve("tenant", 300.0, 1.0)
    assert allocator.next_deadline() == 1.0
    ask = asked(allocator.handle(Tick(), 1.0))
    assert ask.demands[0].spent == 300.0
    assert allocator.handle(answer(ask, 700.0), 1.01) == []
    ask = asked(allocator.handle(Tick(), 2.5))
    assert (ask.demands[0].requested, ask.demands[0].unspent) == (0.0, 0.0)
    allocator.handle(answer(ask, 300.0), 2.51)
    assert allocator.handle(Tick(), 2.8) == []
    assert allocator.next_deadline() == NEVER


def test_a_share_is_spent_to_its_limit_and_what_was_not_used_comes_back() -> None:
    allocator = make(ASKER)
    assert allocator.reserve("tenant", 300.0, 1.0)
    allocator.handle(answer(asked(allocator.handle(Tick(), 1.0)), 700.0), 1.01)
    assert allocator.reserve("tenant", 400.0, 1.02)
    assert not allocator.reserve("tenant", 1.0, 1.03)
    assert allocator.retry_after_s("tenant", 200.0, 1.03) == pytest.approx(0.8)
    allocator.settle("tenant", 400.0, 100.0, 1.04)
    assert allocator.reserve("tenant", 300.0, 1.05)


def test_an_overrun_is_paid_from_the_next_share() -> None:
    allocator = make(ASKER)
    assert allocator.reserve("tenant", 300.0, 1.0)
    allocator.settle("tenant", 300.0, 900.0, 1.005)
    ask = asked(allocator.handle(Tick(), 1.01))
    assert ask.demands[0].spent == 900.0
    allocator.handle(answer(ask, 900.0), 1.02)
    assert not allocator.reserve("tenant", 1.0, 1.03)


def test_spare_tokens_may_be_taken_ahead_of_the_answer_once() -> None:
    allocator = make(ASKER)
    assert allocator.reserve("tenant", 300.0, 1.0)
    allocator.handle(answer(asked(allocator.handle(Tick(), 1.0)), 300.0, spare=1000.0), 1.01)
    assert allocator.reserve("tenant", 450.0, 1.02)
    assert not allocator.reserve("tenant", 450.0, 1.03)


def test_an_account_without_a_quota_is_not_limited_and_a_removed_one_no_more() -> None:
    allocator = make(ASKER)
    assert allocator.reserve("unknown", 1e9, 1.0)
    assert not allocator.reserve("tenant", 1e9, 1.0)
    allocator.handle(AccountsChanged({}, ("tenant",)), 2.0)
    assert allocator.reserve("tenant", 1e9, 2.0)


def test_the_owner_grants_no_more_than_it_has_and_refills_by_the_rate() -> None:
    owner = make(OWNER)
    assert granted(owner.handle(ask_of(0.0, 5000.0, 1), 20.0)) == pytest.approx(2000.0)
    assert granted(owner.handle(ask_of(2000.0, 5000.0, 2), 20.5)) == pytest.approx(2500.0)


def test_a_doubled_or_overtaken_ask_changes_nothing() -> None:
    owner = make(OWNER)
    assert granted(owner.handle(ask_of(0.0, 1000.0, 2), 20.0)) == 1000.0
    assert owner.handle(ask_of(0.0, 1500.0, 2), 20.0) == []
    assert owner.handle(ask_of(0.0, 1500.0, 1), 20.0) == []
    assert granted(owner.handle(ask_of(500.0, 500.0, 3), 20.0)) == 1000.0


def test_a_lapsed_share_returns_to_the_bucket() -> None:
    owner = make(OWNER)
    owner.handle(ask_of(0.0, 2000.0, 1), 20.0)
    for now in (22.0, 24.0, 26.0):
        owner.handle(Tick(), now)
    assert owner.owned_accounts() == 0


def test_a_new_owner_begins_with_little_and_charges_what_none_has_answered() -> None:
    owner = make(OWNER)
    demand = AccountDemand("tenant", 1000.0, 5000.0, 100.0, acknowledged=900.0, self_granted=60.0)
    limit = granted(owner.handle(MessageReceived(ASKER, QuotaRequest(7, 1, (demand,))), 1.0))
    assert limit == pytest.approx(1000.0 + TAKEOVER_LEVEL_S * 1000.0 - 40.0)


def test_a_node_without_its_owner_goes_on_at_its_last_rate_and_then_at_an_equal_part() -> None:
    allocator = make(ASKER)
    allocator.reserve("tenant", 100.0, 1.0)
    allocator.handle(answer(asked(allocator.handle(Tick(), 1.0)), 100.0), 1.0)
    admitted = {"first": 0.0, "later": 0.0}
    for step in range(1, 3000):
        now = 1.0 + step * 0.01
        if allocator.next_deadline() <= now:
            allocator.handle(Tick(), now)
        if allocator.reserve("tenant", 50.0, now):
            admitted["first" if now < 11.2 else "later"] += 50.0
    assert admitted["first"] / 10.2 == pytest.approx(250.0, rel=0.05)
    assert admitted["later"] / 19.8 == pytest.approx(500.0, rel=0.05)


def test_a_refusal_waits_for_the_owners_word_and_its_no_is_final() -> None:
    allocator = make(ASKER)
    allocator.reserve("tenant", 10.0, 1.0)
    allocator.handle(answer(asked(allocator.handle(Tick(), 1.0)), 20.0), 1.01)

    assert not allocator.reserve("tenant", 300.0, 1.1)
    assert allocator.awaits_owner("tenant")
    ask = asked(allocator.handle(Tick(), allocator.next_deadline()))
    assert ask.demands[0].minimum >= 300.0
    allocator.handle(answer(ask, 20.0), 1.15)

    assert not allocator.reserve("tenant", 300.0, 1.15, again=True)
    assert not allocator.awaits_owner("tenant")


def test_trying_again_counts_no_demand_twice() -> None:
    figures = []
    for again in (True, False):
        allocator = make(ASKER)
        allocator.reserve("tenant", 10.0, 1.0)
        allocator.handle(answer(asked(allocator.handle(Tick(), 1.0)), 20.0), 1.01)
        allocator.reserve("tenant", 300.0, 1.1)
        for number in range(10):
            allocator.reserve("tenant", 300.0, 1.1 + number / 1000, again=again)
        figures.append(asked(allocator.handle(Tick(), allocator.next_deadline())).demands[0].requested)

    assert figures[0] < figures[1]


def test_a_waiting_request_makes_the_owner_take_idle_shares_back() -> None:
    owner = make(OWNER)
    holder, asker = NodeId("h"), ASKER

    def ask(sender: NodeId, sequence: int, wanted: float, refused: float) -> MessageReceived:
        demand = AccountDemand("tenant", 0.0, wanted, refused, rejected=refused)
        return MessageReceived(sender, QuotaRequest(7, sequence, (demand,)))

    assert granted(owner.handle(ask(holder, 1, 1500.0, 0.0), 21.0)) == 1500.0
    assert granted(owner.handle(ask(asker, 1, 900.0, 900.0), 21.01)) == 0.0
    assert granted(owner.handle(ask(holder, 2, 1500.0, 0.0), 21.05)) == 0.0
    assert granted(owner.handle(ask(asker, 2, 900.0, 900.0), 21.06)) >= 900.0
