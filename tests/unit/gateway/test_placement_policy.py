"""The policy against random and least-loaded choice, on one trace of site A's shape in virtual time."""

from __future__ import annotations

import pytest

from .engine_simulation import Result, compare, trace

NODES = 12
ENGINES = 12
SEED = 5


@pytest.mark.parametrize(("longs_per_s", "shorts_per_s"), [(8.0, 115.0), (16.0, 230.0)])
def test_more_prefix_hits_and_shorts_no_later(longs_per_s: float, shorts_per_s: float) -> None:
    results: dict[str, Result] = {}
    for policy in ("placement", "random", "least_loaded"):
        requests = trace(SEED, NODES, 40.0, longs_per_s, shorts_per_s)
        results[policy] = compare(policy, requests, NODES, ENGINES, SEED)
    ours = results["placement"]
    for other in ("random", "least_loaded"):
        assert ours.hit_share > 2.0 * results[other].hit_share
        assert ours.short_p95_s <= 1.1 * results[other].short_p95_s
        assert ours.long_p95_s <= 1.1 * results[other].long_p95_s
    assert ours.short_p95_s < 0.5
