"""Transcripts of one usage exchange."""

import random

import pytest

from springmux.coordination.identifiers import Address, NodeId, ZoneName
from springmux.coordination.membership.view import MembershipView, NodeRecord
from springmux.coordination.state_machine import MessageReceived, Send, Tick
from springmux.coordination.usage.events import AccountLimit, AccountLimitsChanged, UsageMembersChanged
from springmux.coordination.usage.messages import (
    AccountTotal,
    AccountUse,
    EngineLoad,
    UsageReport,
    UsageTotals,
)
from springmux.coordination.usage.usage_exchange import UsageExchange

A, B, C = NodeId("a"), NodeId("b"), NodeId("c")
AFTER_STARTUP = 1.5
"""Time (s) after a node's start, when its startup phase is over."""


def view(own: NodeId, *present: NodeId) -> MembershipView:
    where = Address("h:1")
    return MembershipView(
        own, {node: NodeRecord(node, ZoneName("z"), where, where, where) for node in present}
    )


class HighRandom(random.Random):
    """Random source whose draws are so high that only a probability of one admits a request."""

    def random(self) -> float:
        return 0.999999


def run_ticks(node: UsageExchange, until: float) -> list:
    """Send the node all ticks that are due until ``until``; return their effects."""
    effects = []
    while node.next_deadline() <= until:
        now = node.next_deadline()
        effects += node.handle(Tick(), now)
    return effects


def make_exchange(*present: NodeId, rate: float = 1000.0, burst: float = 1200.0) -> UsageExchange:
    node = UsageExchange(A, HighRandom(1))
    node.handle(UsageMembersChanged(view(A, *present)), 0.0)
    node.handle(AccountLimitsChanged({"t": AccountLimit(rate, burst)}), 0.0)
    return node


def reports(effects: list) -> list[tuple[NodeId, UsageReport]]:
    return [(e.to, e.message) for e in effects if isinstance(e, Send) and isinstance(e.message, UsageReport)]


def test_an_account_without_a_limit_is_always_admitted() -> None:
    node = make_exchange(A, rate=0.0)
    assert node.admit("t", 1e9, AFTER_STARTUP) is None
    assert node.admit("other", 1e9, AFTER_STARTUP) is None


def test_a_new_account_starts_with_a_full_bucket_which_refills_with_its_rate() -> None:
    node = make_exchange(A)
    assert node.admit("t", 1200.0, AFTER_STARTUP) is None
    wait = node.admit("t", 1000.0, AFTER_STARTUP)
    assert wait is not None
    assert wait >= 0.05
    run_ticks(node, AFTER_STARTUP + 1.0)
    assert node.admit("t", 1000.0, AFTER_STARTUP + 1.0) is None


def test_a_request_larger_than_the_burst_is_admitted_when_the_bucket_is_full() -> None:
    node = make_exchange(A)
    assert node.admit("t", 5000.0, AFTER_STARTUP) is None
    run_ticks(node, AFTER_STARTUP + 3.0)
    assert node.admit("t", 5000.0, AFTER_STARTUP + 3.0) is not None
    run_ticks(node, AFTER_STARTUP + 6.0)
    assert node.admit("t", 5000.0, AFTER_STARTUP + 6.0) is None


def retry_delay_with_demand_elsewhere(demand: int) -> float:
    """Return a small request's retry delay while another node, with ``demand`` tokens/s, has spent all."""
    node = make_exchange(A, B)
    use = AccountUse("t", 1500, demand, -300, 1500)
    node.handle(MessageReceived(B, UsageReport(5, 1, (use,))), AFTER_STARTUP)
    wait = node.admit("t", 10.0, AFTER_STARTUP + 0.05)
    assert wait is not None
    return wait


def test_retry_delay_grows_with_excess_demand_up_to_its_maximum() -> None:
    """At six times the rate the delay is 2.5 s, its maximum; slightly above the rate only the debt counts."""
    assert retry_delay_with_demand_elsewhere(6000) == pytest.approx(2.5, abs=0.02)
    assert retry_delay_with_demand_elsewhere(8000) == pytest.approx(2.5, abs=0.02)
    assert retry_delay_with_demand_elsewhere(3000) == pytest.approx(1.0, abs=0.02)
    assert retry_delay_with_demand_elsewhere(1100) <= 0.5


def test_retry_delays_of_rejected_clients_are_spread() -> None:
    node = UsageExchange(A, random.Random(1))
    node.handle(UsageMembersChanged(view(A, B)), 0.0)
    node.handle(AccountLimitsChanged({"t": AccountLimit(1000.0, 1200.0)}), 0.0)
    use = AccountUse("t", 1500, 6000, -300, 1500)
    node.handle(MessageReceived(B, UsageReport(5, 1, (use,))), AFTER_STARTUP)
    results = [node.admit("t", 10.0, AFTER_STARTUP + 0.05) for _ in range(50)]
    delays = [wait for wait in results if wait is not None]
    assert len(delays) >= 20
    assert all(1.25 <= wait <= 2.5 for wait in delays)
    assert max(delays) - min(delays) > 1.0


def test_tokens_of_a_request_that_was_not_executed_are_refunded() -> None:
    node = make_exchange(A)
    assert node.admit("t", 1200.0, AFTER_STARTUP) is None
    node.refund("t", 1200.0, AFTER_STARTUP)
    assert node.admit("t", 1200.0, AFTER_STARTUP) is None


def test_a_report_with_the_changes_goes_to_each_present_node() -> None:
    node = make_exchange(A, B, C)
    node.admit("t", 100.0, AFTER_STARTUP)
    assert node.next_deadline() == AFTER_STARTUP
    sent = reports(node.handle(Tick(), AFTER_STARTUP))
    assert [to for to, _ in sent] == [B, C]
    assert [(use.account, use.admitted) for use in sent[0][1].accounts] == [("t", 100)]
    assert node.next_deadline() == AFTER_STARTUP + 0.2
    assert reports(node.handle(Tick(), AFTER_STARTUP + 0.2)) == []


def test_an_idle_account_is_reported_once_more_without_demand_and_then_no_longer() -> None:
    node = make_exchange(A, B)
    node.admit("t", 100.0, AFTER_STARTUP)
    now, sent = AFTER_STARTUP, []
    while node.next_deadline() < 1e9:
        now = node.next_deadline()
        sent += reports(node.handle(Tick(), now))
    assert [(m.accounts[0].admitted, m.accounts[0].demand > 0) for _, m in sent] == [
        (100, True),
        (100, False),
    ]
    assert now < AFTER_STARTUP + 2.0


def test_tokens_admitted_by_peers_drain_the_bucket() -> None:
    node = make_exchange(A, B)
    use = AccountUse("t", 1100, 0, 100, 1100)
    node.handle(MessageReceived(B, UsageReport(5, 1, (use,))), AFTER_STARTUP)
    assert node.admit("t", 1100.0, AFTER_STARTUP) is not None
    run_ticks(node, AFTER_STARTUP + 1.0)
    assert node.admit("t", 1000.0, AFTER_STARTUP + 1.0) is None


def test_a_report_gets_an_empty_reply_as_acknowledgement() -> None:
    node = make_exchange(A, B)
    use = AccountUse("t", 10, 20, 1190, 10)
    replies = reports(node.handle(MessageReceived(B, UsageReport(5, 1, (use,))), AFTER_STARTUP))
    assert [(to, message.accounts) for to, message in replies] == [(B, ())]
    empty = MessageReceived(B, UsageReport(5, 1))
    assert node.handle(empty, AFTER_STARTUP + 0.5) == []


def test_counters_of_a_restarted_peer_begin_at_zero_and_its_past_tokens_stay_charged() -> None:
    node = make_exchange(A, B)
    node.handle(MessageReceived(B, UsageReport(5, 9, (AccountUse("t", 600, 0, 600, 600),))), AFTER_STARTUP)
    node.handle(MessageReceived(B, UsageReport(6, 1, (AccountUse("t", 500, 0, 100, 500),))), AFTER_STARTUP)
    assert node.admit("t", 1200.0, AFTER_STARTUP) is not None


def test_a_node_without_replies_admits_only_its_equal_share() -> None:
    present = [NodeId(f"n{index}") for index in range(9)]
    node = make_exchange(A, *present)
    now, admitted = AFTER_STARTUP, 0.0
    node.handle(MessageReceived(present[0], UsageReport(1, 1)), AFTER_STARTUP)
    while now < AFTER_STARTUP + 20.0:
        if node.admit("t", 10.0, now) is None and now > AFTER_STARTUP + 4.0:
            admitted += 10.0
        if node.next_deadline() <= now:
            node.handle(Tick(), now)
        now += 0.01
    assert 0.9 * 1600.0 <= admitted <= 1.1 * 1600.0


def test_a_restarted_node_uses_its_equal_share_until_a_majority_has_reported() -> None:
    node = make_exchange(A, B, C)
    assert node.admit("t", 1000.0, 0.01) is not None
    use = AccountUse("t", 9999, 0, 900)
    for peer in (B, C):
        node.handle(MessageReceived(peer, UsageReport(5, 1, (use,))), 0.02)
    assert node.admit("t", 850.0, 0.05) is None


def test_a_lowered_limit_caps_the_level_of_the_bucket() -> None:
    node = make_exchange(A)
    node.admit("t", 1.0, AFTER_STARTUP)
    node.handle(AccountLimitsChanged({"t": AccountLimit(100.0, 120.0)}), AFTER_STARTUP)
    assert node.admit("t", 120.0, AFTER_STARTUP) is None
    assert node.admit("t", 120.0, AFTER_STARTUP) is not None


def test_engine_loads_are_reported_and_summed_until_they_expire() -> None:
    node = make_exchange(A, B, C)
    node.note_engine_load("e1", 2.0, 300.0)
    assert node.next_deadline() <= AFTER_STARTUP
    sent = reports(node.handle(Tick(), AFTER_STARTUP))
    assert [message.engines for _, message in sent] == [(EngineLoad("e1", 2.0, 300.0),)] * 2
    node.handle(MessageReceived(B, UsageReport(5, 1, (), (EngineLoad("e1", 1.0, 10.0),))), AFTER_STARTUP)
    node.handle(MessageReceived(C, UsageReport(6, 1, (), (EngineLoad("e1", 3.0, 5.0),))), AFTER_STARTUP + 1.0)
    assert node.other_engine_loads() == {"e1": (4.0, 15.0)}
    node.handle(Tick(), AFTER_STARTUP + 2.0)
    assert node.other_engine_loads() == {"e1": (3.0, 5.0)}


def test_an_unchanged_engine_load_is_reported_again_before_it_expires() -> None:
    node = make_exchange(A, B)
    node.note_engine_load("e1", 2.0, 300.0)
    node.handle(Tick(), AFTER_STARTUP)
    now, sent = AFTER_STARTUP, []
    while now < AFTER_STARTUP + 1.5:
        now = node.next_deadline()
        sent += reports(node.handle(Tick(), now))
    assert sent[0][1].engines == (EngineLoad("e1", 2.0, 300.0),)


def test_the_bucket_is_not_refilled_for_the_time_of_a_stall() -> None:
    node = make_exchange(A, B)
    node.handle(MessageReceived(B, UsageReport(5, 1)), AFTER_STARTUP)
    assert node.admit("t", 1200.0, AFTER_STARTUP) is None
    node.handle(Tick(), AFTER_STARTUP)
    assert node.admit("t", 1000.0, AFTER_STARTUP + 3.0) is not None


def make_exchange_with_collectors() -> tuple[UsageExchange, tuple[NodeId, ...]]:
    present = tuple(NodeId(f"n{index:02}") for index in range(29))
    node = make_exchange(A, *present)
    collectors = node._peer_tracker.collectors
    assert A not in collectors
    return node, collectors


def make_totals(
    collector: NodeId,
    number: int,
    included: int = 0,
    accounts: tuple[AccountTotal, ...] = (),
    engines: tuple[EngineLoad, ...] = (),
) -> UsageTotals:
    return UsageTotals(included, accounts, engines, collector, 7, number)


def test_above_24_nodes_reports_go_to_two_collectors() -> None:
    node, collectors = make_exchange_with_collectors()
    node.handle(MessageReceived(collectors[0], make_totals(collectors[0], 1)), AFTER_STARTUP)
    node.admit("t", 100.0, AFTER_STARTUP)
    assert [to for to, _ in reports(node.handle(Tick(), AFTER_STARTUP))] == list(collectors)


def test_totals_set_the_level_less_the_tokens_not_included_yet() -> None:
    node, collectors = make_exchange_with_collectors()
    node.handle(MessageReceived(collectors[0], make_totals(collectors[0], 1)), AFTER_STARTUP)
    node.admit("t", 100.0, AFTER_STARTUP)
    node.handle(Tick(), AFTER_STARTUP)
    node.admit("t", 50.0, AFTER_STARTUP + 0.1)
    total = AccountTotal("t", 400, 0)
    node.handle(
        MessageReceived(collectors[0], make_totals(collectors[0], 2, 1, (total,))), AFTER_STARTUP + 0.1
    )
    assert node.admit("t", 349.0, AFTER_STARTUP + 0.1) is None
    unknown_collector = NodeId("n99")
    node.handle(
        MessageReceived(
            unknown_collector, make_totals(unknown_collector, 3, 1, (AccountTotal("t", 1200, 0),))
        ),
        AFTER_STARTUP + 0.1,
    )
    assert node.admit("t", 1100.0, AFTER_STARTUP + 0.1) is not None


def test_own_loads_are_subtracted_from_a_collectors_sums() -> None:
    node, collectors = make_exchange_with_collectors()
    node.note_engine_load("e1", 2.0, 300.0)
    node.handle(Tick(), AFTER_STARTUP)
    sums = (EngineLoad("e1", 5.0, 700.0), EngineLoad("e2", 1.0, 9.0))
    node.handle(MessageReceived(collectors[0], make_totals(collectors[0], 1, 1, (), sums)), AFTER_STARTUP)
    assert node.other_engine_loads() == {"e1": (3.0, 400.0), "e2": (1.0, 9.0)}
