"""Hundreds of changes among overlapping stops, kills, cuts and freezes, in virtual time over some seeds."""

from __future__ import annotations

import pytest

from springmux.control.delivery.fetching import StateFetcher
from unit.simulation.change_soak import ChangeSoak

SECONDS = 45.0
LEAST_CHANGES = 60


def run_of(seed: int) -> ChangeSoak:
    return ChangeSoak(seed, per_zone=3 + seed % 3, controllers=3 + seed % 2).run(SECONDS)


@pytest.mark.parametrize("seed", range(1, 7))
def test_every_change_is_in_force_in_time_and_none_goes_back(seed: int) -> None:
    run = run_of(seed)
    assert run.found == []
    assert run.changes > LEAST_CHANGES
    assert run.checks_while_stopping > 0


def test_the_check_sees_nodes_that_fetch_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(StateFetcher, "_choose_peer", lambda fetcher, own, now: None)
    assert run_of(1).found
