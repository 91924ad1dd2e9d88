"""Many changes during overlapping stops, kills, partitions and freezes, in virtual time, for several seeds.

Guards against nodes that serve an outdated version, or revert to an older one, after a disturbance.
"""

from __future__ import annotations

import pytest

from springmux.control.delivery.fetching import StateFetcher
from unit.simulation.change_soak import ChangeSoak

DURATION_S = 45.0
MIN_CHANGES = 60


def run_soak(seed: int) -> ChangeSoak:
    return ChangeSoak(seed, per_zone=3 + seed % 3, controllers=3 + seed % 2).run(DURATION_S)


@pytest.mark.parametrize("seed", range(1, 7))
def test_every_change_is_in_force_in_time_and_none_is_reverted(seed: int) -> None:
    run = run_soak(seed)
    assert run.violations == []
    assert run.changes > MIN_CHANGES
    assert run.checks_while_stopping > 0


def test_the_check_fails_for_nodes_that_fetch_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(StateFetcher, "_choose_peer", lambda fetcher, own, now: None)
    assert run_soak(1).violations
