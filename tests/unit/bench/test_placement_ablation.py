"""Ablation of the placement policy: runs are reproducible, and a disabled rule changes the results."""

from __future__ import annotations

import msgspec

from springmux.gateway.placement_policy import PlacementPolicy
from springmux.lab.bench.placement_ablation import SMALL_BATCHES, VARIANTS, run_case, run_placement_ablation

TRACE_S = 18.0


def test_run_is_reproducible_and_disabling_hashed_long_prefixes_lowers_cache_hits() -> None:
    """Runs of one seed and policy have equal results; unless hashed, long prompts hit the cache less."""
    full_policy_result = run_case(SMALL_BATCHES, 1.0, 1, PlacementPolicy(), TRACE_S)
    assert full_policy_result == run_case(SMALL_BATCHES, 1.0, 1, PlacementPolicy(), TRACE_S)
    reduced_policy_result = run_case(
        SMALL_BATCHES, 1.0, 1, PlacementPolicy(hash_long_prefixes=False), TRACE_S
    )
    assert reduced_policy_result.kinds[0].kept < full_policy_result.kinds[0].kept - 0.1
    assert reduced_policy_result.kinds[0].p95_s > full_policy_result.kinds[0].p95_s


def test_hashed_engines_raise_the_cache_hits_of_short_prompts() -> None:
    """With engines chosen by hash, more of the shared tokens of short prompts are in the cache."""
    full_policy_result = run_case(SMALL_BATCHES, 1.0, 1, PlacementPolicy(), TRACE_S)
    reduced_policy_result = run_case(SMALL_BATCHES, 1.0, 1, PlacementPolicy(hashed_engines=0), TRACE_S)
    assert full_policy_result.kinds[1].kept > reduced_policy_result.kinds[1].kept + 0.05


def test_table_has_a_row_for_each_variant_with_its_standard_error() -> None:
    """Every variant has a row; the reference variant has no difference from itself and no standard error."""
    case = msgspec.structs.replace(SMALL_BATCHES, nodes=3)
    result = run_placement_ablation((case,), (1, 2), TRACE_S)
    assert len(result.tables) == 2
    for table in result.tables:
        assert [row[0] for row in table.rows] == list(VARIANTS)
        assert table.rows[0][2] == 0.0 and table.rows[0][3] == 0.0
        assert all(len(row) == len(table.columns) for row in table.rows)
