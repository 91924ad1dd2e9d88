"""The exposure ledger: the bound on credits, order and weights of zones, and the allocation to writers."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from springmux.coordination.identifiers import ZoneName
from springmux.rollout.ledger import CreditDemand, allocate_credits, credit_pool, zone_order, zone_weights
from springmux.rollout.plan import RolloutPhase
from springmux.rollout.token import Account, AccountTotals
from tests.unit.rollout.virtual_fleet import PLAN

LOW_TRAFFIC, HIGH_TRAFFIC, LEAST_TRAFFIC = ZoneName("quiet"), ZoneName("busy"), ZoneName("night")


def test_pool_is_the_target_share_plus_the_allowance_minus_committed_credits() -> None:
    totals = AccountTotals(prompts=1000, granted=50, spent=30, expired=5, given_back=1)
    assert credit_pool(PLAN, RolloutPhase.SHIFTING, totals, allowance=10) == 80 + 10 - 44


def test_canary_saves_credit_for_the_steps() -> None:
    totals = AccountTotals(prompts=1000)
    assert credit_pool(PLAN, RolloutPhase.CANARY, totals, allowance=0) == 50


def test_pool_is_never_negative() -> None:
    assert credit_pool(PLAN, RolloutPhase.CANARY, AccountTotals(prompts=10, granted=99), 10) == 0


def test_zones_with_least_traffic_come_first_unless_the_plan_names_others() -> None:
    rates = {HIGH_TRAFFIC: 90.0, LOW_TRAFFIC: 3.0, LEAST_TRAFFIC: 1.0}
    assert zone_order(rates, ()) == (LEAST_TRAFFIC, LOW_TRAFFIC, HIGH_TRAFFIC)
    assert zone_order(rates, (HIGH_TRAFFIC,)) == (HIGH_TRAFFIC, LEAST_TRAFFIC, LOW_TRAFFIC)


def test_weight_fills_zones_by_ascending_traffic_until_all_have_it() -> None:
    rates = {LOW_TRAFFIC: 20.0, HIGH_TRAFFIC: 80.0}
    order = (LOW_TRAFFIC, HIGH_TRAFFIC)
    canary = zone_weights(order, rates, 0.04)
    assert canary[LOW_TRAFFIC] == 0.16
    assert abs(canary[HIGH_TRAFFIC] * 80 - (4 - 3.2)) < 1e-9
    quarter = zone_weights(order, rates, 0.25)
    assert quarter[LOW_TRAFFIC] == 1.0
    assert zone_weights(order, rates, 1.0) == {LOW_TRAFFIC: 1.0, HIGH_TRAFFIC: 1.0}


@settings(derandomize=True, max_examples=200)
@given(
    st.lists(st.tuples(st.floats(0, 50), st.floats(0, 1), st.integers(0, 20)), max_size=12),
    st.integers(0, 60),
)
def test_grants_never_exceed_the_pool(rows: list[tuple[float, float, int]], pool: int) -> None:
    accounts = {n: Account(n, 0, granted=out) for n, (_, _, out) in enumerate(rows)}
    demands = [CreditDemand(n, rate, weight) for n, (rate, weight, _) in enumerate(rows)]
    grants = allocate_credits(demands, accounts, pool, 1.0)
    assert sum(grants.values()) <= pool
    assert all(credits > 0 for credits in grants.values())


def test_a_small_pool_goes_to_the_first_writer_without_outstanding_credits() -> None:
    accounts = {1: Account(1, 0, granted=1), 2: Account(2, 0), 3: Account(3, 0)}
    demands = [CreditDemand(1, 0.1, 0.1), CreditDemand(2, 0.1, 0.1), CreditDemand(3, 0.1, 0.1)]
    assert allocate_credits(demands, accounts, 1, 1.0) == {2: 1}
