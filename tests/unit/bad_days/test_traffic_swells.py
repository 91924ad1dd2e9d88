"""Load peaks of a tenant, of a prompt prefix and of all traffic.

Guards against exceeded quotas, effects on other tenants, retry storms and overloaded engines.
"""

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
from springmux.simulation.placement.trace import dossier_trace
from springmux.simulation.placement.world import LoadExchange
from tests.unit.bad_days import gateway_rules as rules
from tests.unit.bad_days.gateway_fleet import SAFE, SETTLED_S, UNSAFE, GatewayFleet
from tests.unit.bad_days.model_engines import Behaviour
from tests.unit.node.gateway.scripted_engines import now, play
from tests.unit.node.gateway.stand_ins import tenant

RATE, BURST = 10_000.0, 12_000.0
"""Tokens per second, and the tokens of a full bucket."""
TOKENS = 500
USUAL_PER_S = 0.75 * RATE / TOKENS
PEAK_FACTOR = 7.0
HOT = tenant("hot", "k1", counts_tokens=True, rate_per_s=RATE, burst=BURST)
CALM = tenant("calm", "k2", counts_tokens=True, rate_per_s=RATE, burst=BURST)
PEAK_AT, END = 6.0, 18.0
AFTER_TIMEOUT_S = 5.0
QUOTA_SLACK = 5_000.0
"""Tokens of ten requests."""


def fleet_with_hot_tenant(nodes_hit: int = 0) -> GatewayFleet:
    """Let one tenant send seven times its usual load, to all nodes or to the first ``nodes_hit``."""
    fleets: list[GatewayFleet] = []

    async def scenario() -> None:
        fleet = GatewayFleet(5)
        fleets.append(fleet)
        fleet.configure(HOT, CALM)
        for key in ("k1", "k2"):
            fleet.generate_load(SETTLED_S, PEAK_AT, USUAL_PER_S, key=key, tokens=TOKENS)
        fleet.generate_load(PEAK_AT, END, USUAL_PER_S * PEAK_FACTOR, key="k1", tokens=TOKENS, nodes=nodes_hit)
        fleet.generate_load(PEAK_AT, END, USUAL_PER_S, key="k2", tokens=TOKENS)
        await fleet.run(END + AFTER_TIMEOUT_S)

    play(scenario())
    return fleets[0]


def served_tokens_per_s(fleet: GatewayFleet, key: str) -> float:
    found = [
        request
        for request in fleet.requests
        if request.key == key and request.sent_at >= PEAK_AT and request.succeeded
    ]
    return sum(request.tokens for request in found) / (END - PEAK_AT)


@pytest.mark.parametrize("nodes_hit", [0, 1], ids=["at all nodes", "at one node"])
def test_a_hot_tenant_gets_no_more_than_its_limit_and_does_not_affect_the_other(nodes_hit: int) -> None:
    fleet = fleet_with_hot_tenant(nodes_hit)
    rules.check_safety(fleet)
    assert rules.quota_excess(fleet, "k1", RATE, BURST) <= QUOTA_SLACK
    assert served_tokens_per_s(fleet, "k1") >= 0.95 * RATE
    assert rules.success_share(fleet, SETTLED_S, END, "k2") > 0.98


def test_checker_detects_a_quota_that_is_not_charged(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Admission, "charge_quota", lambda *_: None)
    assert rules.quota_excess(fleet_with_hot_tenant(), "k1", RATE, BURST) > QUOTA_SLACK


def test_checker_detects_nodes_that_ignore_the_usage_of_peers(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Bucket, "apply_peer_usage", lambda *_: None)
    assert rules.quota_excess(fleet_with_hot_tenant(), "k1", RATE, BURST) > QUOTA_SLACK


CLOCK_STEP_S = 3600.0


def stepping_clock() -> float:
    """Return a wall clock time that jumps an hour ahead each second."""
    return now() + CLOCK_STEP_S * math.floor(now())


def test_steps_of_the_wall_clock_do_not_refill_the_quota(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(time, "time", stepping_clock)
    fleet = fleet_with_hot_tenant()
    rules.check_safety(fleet)
    assert rules.quota_excess(fleet, "k1", RATE, BURST) <= QUOTA_SLACK
    assert served_tokens_per_s(fleet, "k1") >= 0.95 * RATE


def test_checker_detects_a_quota_based_on_the_wall_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    admit = Bucket.admit

    def admit_by_wall_clock(bucket: Bucket, tokens: float, *arguments: Any) -> float | None:
        return admit(bucket, tokens, *arguments[:-1], time.time())

    monkeypatch.setattr(time, "time", stepping_clock)
    monkeypatch.setattr(Bucket, "admit", admit_by_wall_clock)
    assert rules.quota_excess(fleet_with_hot_tenant(), "k1", RATE, BURST) > QUOTA_SLACK


FREE_AT = PEAK_AT + 3.0


def engines_full_for_a_while() -> GatewayFleet:
    """Let engines decline every request of a peak of retrying clients, and accept requests again after it."""
    fleets: list[GatewayFleet] = []

    async def scenario() -> None:
        fleet = GatewayFleet(6, engines=2)
        fleets.append(fleet)
        fleet.configure(CALM)
        for begin, end, factor in (
            (SETTLED_S, PEAK_AT, 0.75),
            (PEAK_AT, FREE_AT, 3.0),
            (FREE_AT, END, 1.2),
        ):
            fleet.generate_load(begin, end, factor * RATE / TOKENS, (UNSAFE,), "k2", TOKENS)
        fleet.schedule(PEAK_AT, lambda: set_slots(fleet, 0))
        fleet.schedule(FREE_AT, lambda: set_slots(fleet, 32))
        await fleet.run(END + AFTER_TIMEOUT_S)

    play(scenario())
    return fleets[0]


def set_slots(fleet: GatewayFleet, slots: int) -> None:
    for engine in fleet.engine_client.engines.values():
        engine.behaviour = Behaviour(slots=slots)


def rate_limited_share(fleet: GatewayFleet) -> float:
    """Return the share of requests with status 429 in the two seconds after engines accept requests again."""
    found = [request for request in fleet.requests if FREE_AT <= request.sent_at < FREE_AT + 2.0]
    return sum(request.client.status == 429 for request in found) / len(found)


def test_requests_declined_by_full_engines_use_no_quota() -> None:
    fleet = engines_full_for_a_while()
    rules.check_safety(fleet)
    declined = [request for request in fleet.requests if PEAK_AT <= request.sent_at < FREE_AT]
    assert all(request.client.status in (429, 503) for request in declined[5:-5])
    assert rate_limited_share(fleet) < 0.02


def test_checker_detects_declined_requests_that_use_quota(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(UsageExchange, "refund", lambda *_: None)
    assert rate_limited_share(engines_full_for_a_while()) >= 0.02


BURST_PER_S = 300.0


def burst_of_failures() -> GatewayFleet:
    """Send a burst of idempotent requests to engines that lose most of their responses."""
    fleets: list[GatewayFleet] = []

    async def scenario() -> None:
        fleet = GatewayFleet(7)
        fleets.append(fleet)
        for engine in fleet.engine_client.engines.values():
            engine.behaviour = Behaviour(lost_response_share=0.6)
        fleet.generate_load(SETTLED_S, SETTLED_S + 5.0, BURST_PER_S, (SAFE,))
        await fleet.run(SETTLED_S + 5.0 + AFTER_TIMEOUT_S)

    play(scenario())
    return fleets[0]


def test_a_burst_of_failures_causes_no_retry_storm() -> None:
    fleet = burst_of_failures()
    rules.check_safety(fleet)
    assert sum(node.core.counters.retries for node in fleet.nodes) > 50
    assert rules.repeats_beyond_budget(fleet) <= 0.0


def test_checker_detects_a_retry_storm(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(RetryBudget, "try_acquire", lambda *_: True)
    assert rules.repeats_beyond_budget(burst_of_failures()) > 0.0


LONG_P95_S = 0.8
SHAPE = EngineShape(slots=12, prefill_tokens_per_s=64_200.0, chunk_tokens=4096, cache_tokens=387_365)


def hot_prefix() -> Result:
    """Simulate thirty nodes at which three of five long prompts begin with the same prefix."""
    requests = dossier_trace(5, 30, 20.0, 20.0, 50.0, hot_share=0.6)
    return compare("placement", requests, 30, 12, 5, SHAPE, LoadExchange(period_s=0.25, delay_s=0.1))


def test_a_hot_prefix_spills_over_to_other_engines() -> None:
    assert hot_prefix().long_p95_s < LONG_P95_S


def test_checker_detects_a_hot_prefix_bound_to_one_engine(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(placement, "DEFAULT_POLICY", PlacementPolicy(bound_factor=math.inf))
    assert hot_prefix().long_p95_s >= LONG_P95_S
