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
WARM = 1.5
"""After a node's start."""


def view(own: NodeId, *present: NodeId) -> MembershipView:
    where = Address("h:1")
    return MembershipView(
        own, {node: NodeRecord(node, ZoneName("z"), where, where, where) for node in present}
    )


class Unlucky(random.Random):
    """Draws so high that only a probability of one admits."""

    def random(self) -> float:
        return 0.999999


def run(node: UsageExchange, until: float) -> list:
    """Give the ticks that are due."""
    effects = []
    while node.next_deadline() <= until:
        now = node.next_deadline()
        effects += node.handle(Tick(), now)
    return effects


def make_exchange(*present: NodeId, rate: float = 1000.0, burst: float = 1200.0) -> UsageExchange:
    made = UsageExchange(A, Unlucky(1))
    made.handle(UsageMembersChanged(view(A, *present)), 0.0)
    made.handle(AccountLimitsChanged({"t": AccountLimit(rate, burst)}), 0.0)
    return made


def reports(effects: list) -> list[tuple[NodeId, UsageReport]]:
    return [(e.to, e.message) for e in effects if isinstance(e, Send) and isinstance(e.message, UsageReport)]


def test_an_account_without_a_limit_is_always_admitted() -> None:
    node = make_exchange(A, rate=0.0)
    assert node.admit("t", 1e9, WARM) is None
    assert node.admit("other", 1e9, WARM) is None


def test_a_new_account_starts_with_a_full_bucket_which_refills_with_its_rate() -> None:
    node = make_exchange(A)
    assert node.admit("t", 1200.0, WARM) is None
    wait = node.admit("t", 1000.0, WARM)
    assert wait is not None
    assert wait >= 0.05
    run(node, WARM + 1.0)
    assert node.admit("t", 1000.0, WARM + 1.0) is None


def test_a_request_larger_than_the_burst_is_admitted_when_the_bucket_is_full() -> None:
    node = make_exchange(A)
    assert node.admit("t", 5000.0, WARM) is None
    run(node, WARM + 3.0)
    assert node.admit("t", 5000.0, WARM + 3.0) is not None
    run(node, WARM + 6.0)
    assert node.admit("t", 5000.0, WARM + 6.0) is None


def retry_delay_with_demand_elsewhere(demand: int) -> float:
    """Return the time told to a small request while another node has spent all and asks for ``demand``/s."""
    node = make_exchange(A, B)
    use = AccountUse("t", 1500, demand, -300, 1500)
    node.handle(MessageReceived(B, UsageReport(5, 1, (use,))), WARM)
    wait = node.admit("t", 10.0, WARM + 0.05)
    assert wait is not None
    return wait


def test_while_far_more_is_asked_for_clients_are_sent_away_until_the_excess_is_worked_off() -> None:
    """At six times the rate the last excess takes 2.5 s, the most; slightly above it only debt counts."""
    assert retry_delay_with_demand_elsewhere(6000) == pytest.approx(2.5, abs=0.02)
    assert retry_delay_with_demand_elsewhere(8000) == pytest.approx(2.5, abs=0.02)
    assert retry_delay_with_demand_elsewhere(3000) == pytest.approx(1.0, abs=0.02)
    assert retry_delay_with_demand_elsewhere(1100) <= 0.5


def test_clients_that_are_sent_away_come_back_spread_over_time() -> None:
    node = UsageExchange(A, random.Random(1))
    node.handle(UsageMembersChanged(view(A, B)), 0.0)
    node.handle(AccountLimitsChanged({"t": AccountLimit(1000.0, 1200.0)}), 0.0)
    use = AccountUse("t", 1500, 6000, -300, 1500)
    node.handle(MessageReceived(B, UsageReport(5, 1, (use,))), WARM)
    waits = [node.admit("t", 10.0, WARM + 0.05) for _ in range(50)]
    told = [wait for wait in waits if wait is not None]
    assert len(told) >= 20
    assert all(1.25 <= wait <= 2.5 for wait in told)
    assert max(told) - min(told) > 1.0


def test_what_never_ran_is_given_back() -> None:
    node = make_exchange(A)
    assert node.admit("t", 1200.0, WARM) is None
    node.refund("t", 1200.0, WARM)
    assert node.admit("t", 1200.0, WARM) is None


def test_a_report_goes_to_each_present_node_and_holds_what_changed() -> None:
    node = make_exchange(A, B, C)
    node.admit("t", 100.0, WARM)
    assert node.next_deadline() == WARM
    sent = reports(node.handle(Tick(), WARM))
    assert [to for to, _ in sent] == [B, C]
    assert [(use.account, use.admitted) for use in sent[0][1].accounts] == [("t", 100)]
    assert node.next_deadline() == WARM + 0.2
    assert reports(node.handle(Tick(), WARM + 0.2)) == []


def test_the_end_of_a_use_is_told_once_more_and_then_nothing() -> None:
    node = make_exchange(A, B)
    node.admit("t", 100.0, WARM)
    now, sent = WARM, []
    while node.next_deadline() < 1e9:
        now = node.next_deadline()
        sent += reports(node.handle(Tick(), now))
    assert [(m.accounts[0].admitted, m.accounts[0].demand > 0) for _, m in sent] == [
        (100, True),
        (100, False),
    ]
    assert now < WARM + 2.0


def test_what_others_admitted_drains_the_bucket() -> None:
    node = make_exchange(A, B)
    use = AccountUse("t", 1100, 0, 100, 1100)
    node.handle(MessageReceived(B, UsageReport(5, 1, (use,))), WARM)
    assert node.admit("t", 1100.0, WARM) is not None
    run(node, WARM + 1.0)
    assert node.admit("t", 1000.0, WARM + 1.0) is None


def test_a_report_is_answered_so_that_the_sender_knows_that_it_was_heard() -> None:
    node = make_exchange(A, B)
    use = AccountUse("t", 10, 20, 1190, 10)
    answers = reports(node.handle(MessageReceived(B, UsageReport(5, 1, (use,))), WARM))
    assert [(to, message.accounts) for to, message in answers] == [(B, ())]
    empty = MessageReceived(B, UsageReport(5, 1))
    assert node.handle(empty, WARM + 0.5) == []


def test_a_restarted_peer_counts_from_zero_and_what_it_spent_stays() -> None:
    node = make_exchange(A, B)
    node.handle(MessageReceived(B, UsageReport(5, 9, (AccountUse("t", 600, 0, 600, 600),))), WARM)
    node.handle(MessageReceived(B, UsageReport(6, 1, (AccountUse("t", 500, 0, 100, 500),))), WARM)
    assert node.admit("t", 1200.0, WARM) is not None


def test_a_node_that_nobody_answers_keeps_to_its_equal_share() -> None:
    present = [NodeId(f"n{index}") for index in range(9)]
    node = make_exchange(A, *present)
    now, admitted = WARM, 0.0
    node.handle(MessageReceived(present[0], UsageReport(1, 1)), WARM)
    while now < WARM + 20.0:
        if node.admit("t", 10.0, now) is None and now > WARM + 4.0:
            admitted += 10.0
        if node.next_deadline() <= now:
            node.handle(Tick(), now)
        now += 0.01
    assert 0.9 * 1600.0 <= admitted <= 1.1 * 1600.0


def test_a_restarted_node_begins_with_its_share_until_it_heard_a_majority() -> None:
    node = make_exchange(A, B, C)
    assert node.admit("t", 1000.0, 0.01) is not None
    use = AccountUse("t", 9999, 0, 900)
    for peer in (B, C):
        node.handle(MessageReceived(peer, UsageReport(5, 1, (use,))), 0.02)
    assert node.admit("t", 850.0, 0.05) is None


def test_a_lowered_limit_cuts_what_is_saved_up() -> None:
    node = make_exchange(A)
    node.admit("t", 1.0, WARM)
    node.handle(AccountLimitsChanged({"t": AccountLimit(100.0, 120.0)}), WARM)
    assert node.admit("t", 120.0, WARM) is None
    assert node.admit("t", 120.0, WARM) is not None


def test_engine_loads_are_reported_and_summed_until_they_are_old() -> None:
    node = make_exchange(A, B, C)
    node.note_engine_load("e1", 2.0, 300.0)
    assert node.next_deadline() <= WARM
    sent = reports(node.handle(Tick(), WARM))
    assert [message.engines for _, message in sent] == [(EngineLoad("e1", 2.0, 300.0),)] * 2
    node.handle(MessageReceived(B, UsageReport(5, 1, (), (EngineLoad("e1", 1.0, 10.0),))), WARM)
    node.handle(MessageReceived(C, UsageReport(6, 1, (), (EngineLoad("e1", 3.0, 5.0),))), WARM + 1.0)
    assert node.other_engine_loads() == {"e1": (4.0, 15.0)}
    node.handle(Tick(), WARM + 2.0)
    assert node.other_engine_loads() == {"e1": (3.0, 5.0)}


def test_an_unchanged_engine_load_is_reported_again_before_it_is_forgotten() -> None:
    node = make_exchange(A, B)
    node.note_engine_load("e1", 2.0, 300.0)
    node.handle(Tick(), WARM)
    now, sent = WARM, []
    while now < WARM + 1.5:
        now = node.next_deadline()
        sent += reports(node.handle(Tick(), now))
    assert sent[0][1].engines == (EngineLoad("e1", 2.0, 300.0),)


def test_a_stalled_node_does_not_take_the_time_it_stood_still_for_refill() -> None:
    node = make_exchange(A, B)
    node.handle(MessageReceived(B, UsageReport(5, 1)), WARM)
    assert node.admit("t", 1200.0, WARM) is None
    node.handle(Tick(), WARM)
    assert node.admit("t", 1000.0, WARM + 3.0) is not None


def collecting_exchange() -> tuple[UsageExchange, tuple[NodeId, ...]]:
    present = tuple(NodeId(f"n{index:02}") for index in range(29))
    node = make_exchange(A, *present)
    collectors = node._peer_tracker.collectors
    assert A not in collectors
    return node, collectors


def totals_of(
    collector: NodeId,
    number: int,
    included: int = 0,
    accounts: tuple[AccountTotal, ...] = (),
    engines: tuple[EngineLoad, ...] = (),
) -> UsageTotals:
    return UsageTotals(included, accounts, engines, collector, 7, number)


def test_above_24_nodes_reports_go_to_two_collectors() -> None:
    node, collectors = collecting_exchange()
    node.handle(MessageReceived(collectors[0], totals_of(collectors[0], 1)), WARM)
    node.admit("t", 100.0, WARM)
    assert [to for to, _ in reports(node.handle(Tick(), WARM))] == list(collectors)


def test_totals_set_the_level_less_what_they_do_not_hold_yet() -> None:
    node, collectors = collecting_exchange()
    node.handle(MessageReceived(collectors[0], totals_of(collectors[0], 1)), WARM)
    node.admit("t", 100.0, WARM)
    node.handle(Tick(), WARM)
    node.admit("t", 50.0, WARM + 0.1)
    total = AccountTotal("t", 400, 0)
    node.handle(MessageReceived(collectors[0], totals_of(collectors[0], 2, 1, (total,))), WARM + 0.1)
    assert node.admit("t", 349.0, WARM + 0.1) is None
    stranger = NodeId("n99")
    node.handle(
        MessageReceived(stranger, totals_of(stranger, 3, 1, (AccountTotal("t", 1200, 0),))), WARM + 0.1
    )
    assert node.admit("t", 1100.0, WARM + 0.1) is not None


def test_a_collectors_sums_count_without_the_own_part() -> None:
    node, collectors = collecting_exchange()
    node.note_engine_load("e1", 2.0, 300.0)
    node.handle(Tick(), WARM)
    sums = (EngineLoad("e1", 5.0, 700.0), EngineLoad("e2", 1.0, 9.0))
    node.handle(MessageReceived(collectors[0], totals_of(collectors[0], 1, 1, (), sums)), WARM)
    assert node.other_engine_loads() == {"e1": (3.0, 400.0), "e2": (1.0, 9.0)}
