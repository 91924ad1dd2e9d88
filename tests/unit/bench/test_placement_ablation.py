"""The table of what each part of the engine choice is worth."""

from __future__ import annotations

import msgspec

from springmux.gateway.placement_policy import PlacementPolicy
from springmux.lab.bench.placement_ablation import SMALL_BATCHES, VARIANTS, placement_ablation, run_case

TRACE_S = 18.0


def test_a_run_repeats_itself_and_a_policy_that_is_off_does_not_act() -> None:
    """Given one seed, the same policy gives the same figures, and another one others."""
    complete = run_case(SMALL_BATCHES, 1.0, 1, PlacementPolicy(), TRACE_S)
    assert complete == run_case(SMALL_BATCHES, 1.0, 1, PlacementPolicy(), TRACE_S)
    without = run_case(SMALL_BATCHES, 1.0, 1, PlacementPolicy(hash_long_prefixes=False), TRACE_S)
    assert without.kinds[0].kept < complete.kinds[0].kept - 0.1
    assert without.kinds[0].p95_s > complete.kinds[0].p95_s


def test_short_prompts_find_their_shared_parts_kept() -> None:
    """Given engines of their own, short prompts read fewer shared tokens again."""
    complete = run_case(SMALL_BATCHES, 1.0, 1, PlacementPolicy(), TRACE_S)
    without = run_case(SMALL_BATCHES, 1.0, 1, PlacementPolicy(hashed_engines=0), TRACE_S)
    assert complete.kinds[1].kept > without.kinds[1].kept + 0.05


def test_the_table_has_a_row_for_each_part_with_its_error() -> None:
    """Given two seeds, every variant has a row, and the first differs from itself by nothing."""
    case = msgspec.structs.replace(SMALL_BATCHES, nodes=3)
    result = placement_ablation((case,), (1, 2), TRACE_S)
    assert len(result.tables) == 2
    for table in result.tables:
        assert [row[0] for row in table.rows] == list(VARIANTS)
        assert table.rows[0][2] == 0.0 and table.rows[0][3] == 0.0
        assert all(len(row) == len(table.columns) for row in table.rows)
