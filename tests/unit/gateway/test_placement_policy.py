"""The policy compared with random and least-loaded choice, on traces of two sites' shapes in virtual time."""

from __future__ import annotations

import pytest

from springmux.simulation.placement.comparison import Result, compare
from springmux.simulation.placement.engine import EngineShape
from springmux.simulation.placement.trace import dossier_trace as trace
from springmux.simulation.placement.world import LoadExchange

NODES = 12
ENGINES = 12
SEED = 5


@pytest.mark.parametrize(("longs_per_s", "shorts_per_s"), [(8.0, 115.0), (16.0, 230.0)])
def test_the_policy_has_more_prefix_hits_and_no_slower_short_prompts(
    longs_per_s: float, shorts_per_s: float
) -> None:
    results: dict[str, Result] = {}
    for policy in ("placement", "random", "least_loaded"):
        requests = trace(SEED, NODES, 40.0, longs_per_s, shorts_per_s)
        results[policy] = compare(policy, requests, NODES, ENGINES, SEED, EngineShape())
    policy_result = results["placement"]
    for other in ("random", "least_loaded"):
        assert policy_result.hit_share > 2.0 * results[other].hit_share
        assert policy_result.short_p95_s <= 1.1 * results[other].short_p95_s
        assert policy_result.long_p95_s <= 1.1 * results[other].long_p95_s
    assert policy_result.short_p95_s < 0.5


FULL_A = EngineShape(step_s=0.0055, chunk_tokens=4096)
SITE_B = EngineShape(
    slots=16, step_s=0.0045, prefill_tokens_per_s=64_200.0, chunk_tokens=4096, cache_tokens=410_364
)
GROWN_B = EngineShape(
    slots=12, step_s=0.0045, prefill_tokens_per_s=64_200.0, chunk_tokens=4096, cache_tokens=387_365
)
DIRECT = LoadExchange(period_s=0.2, delay_s=0.02)
BY_COLLECTOR = LoadExchange(period_s=0.25, delay_s=0.3)


def test_delayed_load_reports_cause_no_herd_behaviour() -> None:
    """If every node chose the engine that looks best, a sixth of short prompts would take over 0.5 s."""
    requests = trace(SEED, 90, 25.0, 30.9, 310.0)
    policy_result = compare("placement", requests, 90, 30, SEED, GROWN_B, BY_COLLECTOR)
    assert policy_result.short_p95_s < 0.1
    assert policy_result.long_p95_s < 0.45
    assert policy_result.hit_share > 0.85


@pytest.mark.parametrize(
    ("nodes", "engines", "shape", "longs_per_s", "shorts_per_s", "least_hits"),
    [(9, 9, SITE_B, 19.1, 228.0, 0.75), (12, 6, FULL_A, 14.2, 205.0, 0.55)],
)
def test_prefixes_stay_at_their_engines_at_twice_the_usual_load(
    nodes: int, engines: int, shape: EngineShape, longs_per_s: float, shorts_per_s: float, least_hits: float
) -> None:
    """If all engines are full, moving a prefix to another engine doesn't help: it would prefill it again."""
    requests = trace(SEED, nodes, 30.0, longs_per_s, shorts_per_s)
    policy_result = compare("placement", requests, nodes, engines, SEED, shape, DIRECT)
    assert policy_result.hit_share > least_hits
    assert policy_result.short_p95_s < 0.6
    assert policy_result.long_p95_s < 1.0


def test_a_frequent_prefix_spreads_beyond_an_engine_that_it_fills() -> None:
    requests = trace(SEED, 90, 25.0, 30.9, 310.0, hot_share=0.4)
    policy_result = compare("placement", requests, 90, 30, SEED, GROWN_B, BY_COLLECTOR)
    assert policy_result.long_p95_s < 0.8
    assert policy_result.short_p95_s < 0.15
