"""The policy against random and least-loaded choice, on one trace of site A's shape in virtual time."""

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
def test_more_prefix_hits_and_shorts_no_later(longs_per_s: float, shorts_per_s: float) -> None:
    results: dict[str, Result] = {}
    for policy in ("placement", "random", "least_loaded"):
        requests = trace(SEED, NODES, 40.0, longs_per_s, shorts_per_s)
        results[policy] = compare(policy, requests, NODES, ENGINES, SEED, EngineShape())
    ours = results["placement"]
    for other in ("random", "least_loaded"):
        assert ours.hit_share > 2.0 * results[other].hit_share
        assert ours.short_p95_s <= 1.1 * results[other].short_p95_s
        assert ours.long_p95_s <= 1.1 * results[other].long_p95_s
    assert ours.short_p95_s < 0.5


FULL_A = EngineShape(step_s=0.0055, piece_tokens=4096)
SITE_B = EngineShape(
    slots=16, step_s=0.0045, prefill_tokens_per_s=64_200.0, piece_tokens=4096, cache_tokens=410_364
)
GROWN_B = EngineShape(
    slots=12, step_s=0.0045, prefill_tokens_per_s=64_200.0, piece_tokens=4096, cache_tokens=387_365
)
DIRECT = LoadExchange(period_s=0.2, delay_s=0.02)
BY_COLLECTOR = LoadExchange(period_s=0.25, delay_s=0.3)


def test_news_of_others_load_that_is_old_makes_no_herd() -> None:
    """Were each of ninety nodes to take what looks best, a sixth of the shorts would take over 0.5 s."""
    requests = trace(SEED, 90, 25.0, 30.9, 310.0)
    ours = compare("placement", requests, 90, 30, SEED, GROWN_B, BY_COLLECTOR)
    assert ours.short_p95_s < 0.1
    assert ours.long_p95_s < 0.45
    assert ours.hit_share > 0.85


@pytest.mark.parametrize(
    ("nodes", "engines", "shape", "longs_per_s", "shorts_per_s", "least_hits"),
    [(9, 9, SITE_B, 19.1, 228.0, 0.75), (12, 6, FULL_A, 14.2, 205.0, 0.55)],
)
def test_twice_the_usual_load_drives_no_prefix_from_its_engine(
    nodes: int, engines: int, shape: EngineShape, longs_per_s: float, shorts_per_s: float, least_hits: float
) -> None:
    """Where all engines are full, a further engine is no way out: it would have to read the prefix anew."""
    requests = trace(SEED, nodes, 30.0, longs_per_s, shorts_per_s)
    ours = compare("placement", requests, nodes, engines, SEED, shape, DIRECT)
    assert ours.hit_share > least_hits
    assert ours.short_p95_s < 0.6
    assert ours.long_p95_s < 1.0


def test_a_hot_prefix_does_not_stay_at_an_engine_that_it_fills() -> None:
    requests = trace(SEED, 90, 25.0, 30.9, 310.0, hot_share=0.4)
    ours = compare("placement", requests, 90, 30, SEED, GROWN_B, BY_COLLECTOR)
    assert ours.long_p95_s < 0.8
    assert ours.short_p95_s < 0.15
