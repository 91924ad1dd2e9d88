"""Admitted tokens are close to the quota in any ten seconds, from above and below, at any nodes."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from springmux.coordination.quota.owner import NodeAllocation, OwnedAccount
from springmux.simulation.world.faults import Kill, Restart
from springmux.simulation.world.network import NetworkSettings
from unit.quota.fleet import (
    BURST,
    RATE,
    NodeChooser,
    QuotaFleet,
    half_on_one_node,
    on_a_moving_node,
    on_all_nodes,
    on_one_node,
)

WINDOW_S = 10.0
TOLERANCE = 0.10
"""Largest relative deviation from the quota (requirement: about a tenth, above and below)."""

NODE_CHOOSERS = pytest.mark.parametrize(
    "node_chooser", [on_one_node, on_all_nodes, on_a_moving_node, half_on_one_node]
)


def run_load(
    fleet: QuotaFleet, load: float, node_chooser: Callable[[QuotaFleet], NodeChooser], end: float = 40.0
) -> None:
    fleet.add_load(0.0, end, load * RATE, node_chooser(fleet), error=0.3)
    fleet.world.run_until(end)


@NODE_CHOOSERS
@pytest.mark.parametrize("load", [1.5, 3.0])
def test_a_tenant_above_its_quota_gets_its_quota(
    node_chooser: Callable[[QuotaFleet], NodeChooser], load: float
) -> None:
    fleet = QuotaFleet()
    run_load(fleet, load, node_chooser)
    lowest, highest = fleet.window_extremes(5.0, 40.0, WINDOW_S)
    assert lowest >= 1.0 - TOLERANCE
    assert highest <= 1.0 + TOLERANCE
    assert fleet.admitted(0.0, WINDOW_S) <= (1.0 + TOLERANCE) * RATE * WINDOW_S + BURST


@NODE_CHOOSERS
def test_a_tenant_well_below_its_quota_is_not_rejected(
    node_chooser: Callable[[QuotaFleet], NodeChooser],
) -> None:
    fleet = QuotaFleet()
    run_load(fleet, 0.5, node_chooser)
    assert fleet.admitted(0.0, 40.0) >= 0.98 * fleet.requested(0.0, 40.0)


def test_the_first_request_at_every_node_is_admitted() -> None:
    fleet = QuotaFleet()
    for index, node in enumerate(fleet.nodes):
        fleet.add_load(index, index + 0.5, RATE * 0.6, lambda at, source, node=node: node)
    fleet.world.run_until(20.0)
    first = {attempt.node: attempt.admitted for attempt in reversed(fleet.attempts)}
    assert len(first) >= 10
    assert all(first.values())


def test_rising_demand_gets_the_burst_and_then_the_quota() -> None:
    fleet = QuotaFleet()
    fleet.add_load(0.0, 20.0, 0.3 * RATE, on_all_nodes(fleet))
    fleet.add_load(20.0, 50.0, 6.0 * RATE, on_all_nodes(fleet))
    fleet.world.run_until(50.0)
    assert fleet.admitted(0.0, 20.0) >= 0.95 * fleet.requested(0.0, 20.0)
    lowest, highest = fleet.window_extremes(20.0, 50.0, WINDOW_S)
    assert lowest >= 1.0 - TOLERANCE
    assert highest <= 1.0 + TOLERANCE + BURST / (RATE * WINDOW_S)


def test_lost_duplicated_and_reordered_messages_create_no_tokens() -> None:
    fleet = QuotaFleet(network=NetworkSettings(loss=0.1, duplication=0.1, reordering=0.2))
    run_load(fleet, 2.0, on_all_nodes)
    lowest, highest = fleet.window_extremes(5.0, 40.0, WINDOW_S)
    assert 1.0 - TOLERANCE <= lowest <= highest <= 1.0 + TOLERANCE


OWNER_RETURNS = pytest.mark.parametrize(
    "owner_returns", [True, False], ids=["owner restarts", "owner is replaced"]
)


def schedule_owner_loss(fleet: QuotaFleet, owner_returns: bool) -> None:
    """Kill the owner at 15 s; it restarts 3 s later, or the others drop it from membership 2 to 3 s later."""
    victim = fleet.owner
    others = [node for node in fleet.nodes if node != victim]
    fleet.world.scheduler.at(15.0, lambda: fleet.world.apply(Kill(at=15.0, node=victim)))
    if owner_returns:
        fleet.world.scheduler.at(18.0, lambda: fleet.world.apply(Restart(at=18.0, node=victim)))
    else:
        fleet.world.scheduler.at(17.0, lambda: fleet.announce_members(others))


@OWNER_RETURNS
@pytest.mark.parametrize("seed", [1, 2])
def test_the_quota_holds_when_its_owner_is_killed(owner_returns: bool, seed: int) -> None:
    fleet = QuotaFleet(seed=seed)
    schedule_owner_loss(fleet, owner_returns)
    run_load(fleet, 2.0, on_all_nodes)
    lowest, highest = fleet.window_extremes(5.0, 40.0, WINDOW_S)
    assert lowest >= 1.0 - TOLERANCE
    assert highest <= 1.0 + TOLERANCE


@OWNER_RETURNS
@pytest.mark.parametrize(("load", "min_admitted_share"), [(0.5, 0.94), (0.8, 0.88)])
def test_a_tenant_below_its_quota_is_rarely_rejected_when_the_owner_is_killed(
    owner_returns: bool, load: float, min_admitted_share: float
) -> None:
    """Each node gets less than one request per second, which its share must cover as a whole."""
    fleet = QuotaFleet(seed=6)
    schedule_owner_loss(fleet, owner_returns)
    run_load(fleet, load, on_all_nodes, end=25.0)
    assert fleet.admitted(15.0, 25.0) >= min_admitted_share * fleet.requested(15.0, 25.0)


def test_the_windows_detect_an_owner_that_ignores_outstanding_tokens(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without the count of outstanding tokens, far too many are admitted, and the check must show it."""
    monkeypatch.setattr(NodeAllocation, "outstanding", lambda allocation: 0.0)
    monkeypatch.setattr(
        OwnedAccount, "available", lambda owned: max(owned.level, owned.rate.burst_tokens / 2)
    )
    fleet = QuotaFleet()
    run_load(fleet, 3.0, on_all_nodes)
    assert fleet.window_extremes(5.0, 40.0, WINDOW_S)[1] > 1.0 + TOLERANCE
