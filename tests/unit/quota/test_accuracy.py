"""Admitted tokens against the quota over ten seconds, from both sides, wherever the load is."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from springmux.coordination.quota.owner import NodeAllocation, OwnedAccount
from springmux.simulation.world.faults import Kill, Restart
from springmux.simulation.world.network import NetworkSettings
from unit.quota.fleet import BURST, RATE, QuotaFleet, Spread, moving, on_all, on_one, skewed

WINDOW_S = 10.0
TOLERANCE = 0.10
"""Brief of the design: within about a tenth of the quota from both sides."""

SPREADS = pytest.mark.parametrize("spread", [on_one, on_all, moving, skewed])


def run(fleet: QuotaFleet, load: float, spread: Callable[[QuotaFleet], Spread], end: float = 40.0) -> None:
    fleet.load(0.0, end, load * RATE, spread(fleet), error=0.3)
    fleet.world.run_until(end)


@SPREADS
@pytest.mark.parametrize("load", [1.5, 3.0])
def test_a_tenant_above_its_quota_gets_its_quota(spread: Callable[[QuotaFleet], Spread], load: float) -> None:
    fleet = QuotaFleet()
    run(fleet, load, spread)
    least, most = fleet.extremes(5.0, 40.0, WINDOW_S)
    assert least >= 1.0 - TOLERANCE
    assert most <= 1.0 + TOLERANCE
    assert fleet.admitted(0.0, WINDOW_S) <= (1.0 + TOLERANCE) * RATE * WINDOW_S + BURST


@SPREADS
def test_a_tenant_well_below_its_quota_is_not_refused(spread: Callable[[QuotaFleet], Spread]) -> None:
    fleet = QuotaFleet()
    run(fleet, 0.5, spread)
    assert fleet.admitted(0.0, 40.0) >= 0.98 * fleet.asked(0.0, 40.0)


def test_the_first_request_on_every_cold_node_is_admitted() -> None:
    fleet = QuotaFleet()
    for index, node in enumerate(fleet.nodes):
        fleet.load(index, index + 0.5, RATE * 0.6, lambda at, source, node=node: node)
    fleet.world.run_until(20.0)
    first = {each.node: each.admitted for each in reversed(fleet.attempts)}
    assert len(first) >= 10
    assert all(first.values())


def test_a_swell_after_quiet_gets_the_burst_and_then_the_quota() -> None:
    fleet = QuotaFleet()
    fleet.load(0.0, 20.0, 0.3 * RATE, on_all(fleet))
    fleet.load(20.0, 50.0, 6.0 * RATE, on_all(fleet))
    fleet.world.run_until(50.0)
    assert fleet.admitted(0.0, 20.0) >= 0.95 * fleet.asked(0.0, 20.0)
    least, most = fleet.extremes(20.0, 50.0, WINDOW_S)
    assert least >= 1.0 - TOLERANCE
    assert most <= 1.0 + TOLERANCE + BURST / (RATE * WINDOW_S)


def test_loss_and_doubling_of_messages_make_no_tokens() -> None:
    fleet = QuotaFleet(network=NetworkSettings(loss=0.1, duplication=0.1, reordering=0.2))
    run(fleet, 2.0, on_all)
    least, most = fleet.extremes(5.0, 40.0, WINDOW_S)
    assert 1.0 - TOLERANCE <= least <= most <= 1.0 + TOLERANCE


RETURNS = pytest.mark.parametrize("returns", [True, False], ids=["owner restarts", "owner is replaced"])


def lose_owner(fleet: QuotaFleet, returns: bool) -> None:
    """Kill the owner at 15 s; it restarts 3 s later, or the others agree 2 to 3 s later that it is gone."""
    victim = fleet.owner
    others = [node for node in fleet.nodes if node != victim]
    fleet.world.scheduler.at(15.0, lambda: fleet.world.apply(Kill(at=15.0, node=victim)))
    if returns:
        fleet.world.scheduler.at(18.0, lambda: fleet.world.apply(Restart(at=18.0, node=victim)))
    else:
        fleet.world.scheduler.at(17.0, lambda: fleet.announce(others))


@RETURNS
@pytest.mark.parametrize("seed", [1, 2])
def test_an_owners_death_keeps_the_quota_whole(returns: bool, seed: int) -> None:
    fleet = QuotaFleet(seed=seed)
    lose_owner(fleet, returns)
    run(fleet, 2.0, on_all)
    least, most = fleet.extremes(5.0, 40.0, WINDOW_S)
    assert least >= 1.0 - TOLERANCE
    assert most <= 1.0 + TOLERANCE


@RETURNS
@pytest.mark.parametrize(("load", "least"), [(0.5, 0.94), (0.8, 0.88)])
def test_a_tenant_below_its_quota_is_hardly_refused_around_an_owners_death(
    returns: bool, load: float, least: float
) -> None:
    """Fewer than one request a second a node: each is a lump that its node's part must cover."""
    fleet = QuotaFleet(seed=6)
    lose_owner(fleet, returns)
    run(fleet, load, on_all, end=25.0)
    assert fleet.admitted(15.0, 25.0) >= least * fleet.asked(15.0, 25.0)


def test_counting_spent_tokens_is_what_bounds_the_fleet(monkeypatch: pytest.MonkeyPatch) -> None:
    """The checks above can fail: without the count of what is outstanding far too much is admitted."""
    monkeypatch.setattr(NodeAllocation, "outstanding", lambda ledger: 0.0)
    monkeypatch.setattr(
        OwnedAccount, "available", lambda owned: max(owned.level, owned.rate.burst_tokens / 2)
    )
    fleet = QuotaFleet()
    run(fleet, 3.0, on_all)
    assert fleet.extremes(5.0, 40.0, WINDOW_S)[1] > 1.0 + TOLERANCE
