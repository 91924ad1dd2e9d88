"""A tenant, a key's prompt prefix and all traffic swell: quotas, other tenants, retries and engines hold."""

from __future__ import annotations

import math
import time
from typing import Any

import pytest

from springmux.coordination.retry_budget import RetryBudget
from springmux.coordination.usage.bucket import Bucket
from springmux.coordination.usage.usage_exchange import UsageExchange
from springmux.gateway import placement
from springmux.gateway.placement_policy import PlacementPolicy
from springmux.node.gateway.admission import Admission
from springmux.simulation.placement.comparison import Result, compare
from springmux.simulation.placement.engine import EngineShape
from springmux.simulation.placement.trace import dossier_trace as trace
from springmux.simulation.placement.world import LoadExchange
from tests.unit.bad_days import gateway_rules as rules
from tests.unit.bad_days.gateway_fleet import SAFE, SETTLED_S, UNSAFE, GatewayFleet
from tests.unit.bad_days.model_engines import Behaviour
from tests.unit.node.gateway.scripted_engines import now, play
from tests.unit.node.gateway.stand_ins import tenant

RATE, BURST = 10_000.0, 12_000.0
"""Tokens a second, and tokens saved up."""
TOKENS = 500
USUAL_PER_S = 0.75 * RATE / TOKENS
HOT_FACTOR = 7.0
HOT = tenant("hot", "k1", counts_tokens=True, rate_per_s=RATE, burst=BURST)
CALM = tenant("calm", "k2", counts_tokens=True, rate_per_s=RATE, burst=BURST)
SWELL_AT, END = 6.0, 18.0
AFTER_TIMEOUT_S = 5.0
QUOTA_SLACK = 5_000.0
"""Ten requests."""


def hot_tenant(nodes_hit: int = 0) -> GatewayFleet:
    """One tenant asks for seven times its usual, at all nodes or at the first few."""
    fleets: list[GatewayFleet] = []

    async def story() -> None:
        fleet = GatewayFleet(5)
        fleets.append(fleet)
        fleet.configure(HOT, CALM)
        for key in ("k1", "k2"):
            fleet.press(SETTLED_S, SWELL_AT, USUAL_PER_S, key=key, tokens=TOKENS)
        fleet.press(SWELL_AT, END, USUAL_PER_S * HOT_FACTOR, key="k1", tokens=TOKENS, nodes=nodes_hit)
        fleet.press(SWELL_AT, END, USUAL_PER_S, key="k2", tokens=TOKENS)
        await fleet.run(END + AFTER_TIMEOUT_S)

    play(story())
    return fleets[0]


def served_tokens_per_s(fleet: GatewayFleet, key: str) -> float:
    found = [one for one in fleet.asked if one.key == key and one.at >= SWELL_AT and one.served]
    return sum(one.tokens for one in found) / (END - SWELL_AT)


@pytest.mark.parametrize("nodes_hit", [0, 1], ids=["at all nodes", "at one node"])
def test_a_hot_tenant_gets_its_limit_and_no_more_and_costs_the_other_nothing(nodes_hit: int) -> None:
    fleet = hot_tenant(nodes_hit)
    rules.check_safety(fleet)
    assert rules.quota_excess(fleet, "k1", RATE, BURST) <= QUOTA_SLACK
    assert served_tokens_per_s(fleet, "k1") >= 0.95 * RATE
    assert rules.served_share(fleet, SETTLED_S, END, "k2") > 0.98


def test_the_checker_sees_a_quota_that_is_not_asked(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Admission, "charge_quota", lambda *_: None)
    assert rules.quota_excess(hot_tenant(), "k1", RATE, BURST) > QUOTA_SLACK


def test_the_checker_sees_nodes_that_do_not_count_each_others_use(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Bucket, "apply_peer_usage", lambda *_: None)
    assert rules.quota_excess(hot_tenant(), "k1", RATE, BURST) > QUOTA_SLACK


CLOCK_STEP_S = 3600.0


def stepping_clock() -> float:
    """Return a wall time that jumps an hour ahead each second."""
    return now() + CLOCK_STEP_S * math.floor(now())


def test_steps_of_the_wall_clock_refill_no_quota(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(time, "time", stepping_clock)
    fleet = hot_tenant()
    rules.check_safety(fleet)
    assert rules.quota_excess(fleet, "k1", RATE, BURST) <= QUOTA_SLACK
    assert served_tokens_per_s(fleet, "k1") >= 0.95 * RATE


def test_the_checker_sees_a_quota_that_goes_by_the_wall_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    admit = Bucket.admit

    def admit_by_wall_clock(bucket: Bucket, tokens: float, *given: Any) -> float | None:
        return admit(bucket, tokens, *given[:-1], time.time())

    monkeypatch.setattr(time, "time", stepping_clock)
    monkeypatch.setattr(Bucket, "admit", admit_by_wall_clock)
    assert rules.quota_excess(hot_tenant(), "k1", RATE, BURST) > QUOTA_SLACK


FREE_AT = SWELL_AT + 3.0


def engines_full_for_a_while() -> GatewayFleet:
    """Engines decline all while the tenant's clients come back at once; then they take everything again."""
    fleets: list[GatewayFleet] = []

    async def story() -> None:
        fleet = GatewayFleet(6, engines=2)
        fleets.append(fleet)
        fleet.configure(CALM)
        for begin, end, factor in (
            (SETTLED_S, SWELL_AT, 0.75),
            (SWELL_AT, FREE_AT, 3.0),
            (FREE_AT, END, 1.2),
        ):
            fleet.press(begin, end, factor * RATE / TOKENS, (UNSAFE,), "k2", TOKENS)
        fleet.at(SWELL_AT, lambda: set_slots(fleet, 0))
        fleet.at(FREE_AT, lambda: set_slots(fleet, 32))
        await fleet.run(END + AFTER_TIMEOUT_S)

    play(story())
    return fleets[0]


def set_slots(fleet: GatewayFleet, slots: int) -> None:
    for engine in fleet.farm.engines.values():
        engine.behaviour = Behaviour(slots=slots)


def refused_below_the_rate(fleet: GatewayFleet) -> float:
    """Return the share of requests that got 429 in the two seconds after the engines take requests again."""
    found = [one for one in fleet.asked if FREE_AT <= one.at < FREE_AT + 2.0]
    return sum(one.caller.status == 429 for one in found) / len(found)


def test_what_full_engines_decline_uses_no_quota() -> None:
    fleet = engines_full_for_a_while()
    rules.check_safety(fleet)
    declined = [one for one in fleet.asked if SWELL_AT <= one.at < FREE_AT]
    assert all(one.caller.status in (429, 503) for one in declined[5:-5])
    assert refused_below_the_rate(fleet) < 0.02


def test_the_checker_sees_declined_requests_that_use_quota(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(UsageExchange, "refund", lambda *_: None)
    assert refused_below_the_rate(engines_full_for_a_while()) >= 0.02


BURST_PER_S = 300.0


def burst_of_failures() -> GatewayFleet:
    """A burst of repeatable requests meets engines of which most lose their answers."""
    fleets: list[GatewayFleet] = []

    async def story() -> None:
        fleet = GatewayFleet(7)
        fleets.append(fleet)
        for engine in fleet.farm.engines.values():
            engine.behaviour = Behaviour(losing=0.6)
        fleet.press(SETTLED_S, SETTLED_S + 5.0, BURST_PER_S, (SAFE,))
        await fleet.run(SETTLED_S + 5.0 + AFTER_TIMEOUT_S)

    play(story())
    return fleets[0]


def test_a_burst_of_failures_brings_no_storm_of_retries() -> None:
    fleet = burst_of_failures()
    rules.check_safety(fleet)
    assert sum(node.core.counters.retries for node in fleet.nodes) > 50
    assert rules.repeats_beyond_budget(fleet) <= 0.0


def test_the_checker_sees_a_storm_of_retries(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(RetryBudget, "try_acquire", lambda *_: True)
    assert rules.repeats_beyond_budget(burst_of_failures()) > 0.0


LONG_P95_S = 0.8
SHAPE = EngineShape(slots=12, prefill_tokens_per_s=64_200.0, chunk_tokens=4096, cache_tokens=387_365)


def hot_prefix() -> Result:
    """Three of five long prompts, at thirty nodes, begin with one dossier."""
    requests = trace(5, 30, 20.0, 20.0, 50.0, hot_share=0.6)
    return compare("placement", requests, 30, 12, 5, SHAPE, LoadExchange(period_s=0.25, delay_s=0.1))


def test_a_hot_prefix_leaves_the_engine_that_it_fills() -> None:
    assert hot_prefix().long_p95_s < LONG_P95_S


def test_the_checker_sees_a_hot_prefix_kept_at_one_engine(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(placement, "DEFAULT_POLICY", PlacementPolicy(bound_factor=math.inf))
    assert hot_prefix().long_p95_s >= LONG_P95_S
