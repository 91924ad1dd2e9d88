"""Metered fleets: counters of encoded bytes, delivery of changes to the last node, losses of the leader."""

from types import SimpleNamespace
from typing import Any

import pytest

from springmux.agent.effects import OrderAnswered
from springmux.coordination.identifiers import NodeId
from springmux.lab.bench.leader_loss import measure_leader_loss
from springmux.lab.bench.metered_fleet import DeliveryObserver, add_engines, make_fleet, schedule_changes

A, B = NodeId("a"), NodeId("b")


def agent_at_revision(revision: int) -> Any:
    return SimpleNamespace(view=SimpleNamespace(revision=revision))


def acknowledgement(revision: int) -> Any:
    return OrderAnswered("ticket", SimpleNamespace(revision=revision))  # type: ignore[arg-type]


def test_change_is_delivered_when_the_last_node_applies_it() -> None:
    observer = DeliveryObserver(2)
    observer.control_changed(A, agent_at_revision(5), 1.0)
    observer.order_answered(A, acknowledgement(5), 1.1)
    assert observer.undelivered_count == 1
    observer.control_changed(B, agent_at_revision(4), 1.2)
    assert observer.undelivered_count == 1
    observer.control_changed(B, agent_at_revision(6), 1.5)
    assert observer.delays_s == [pytest.approx(0.4)]
    assert observer.undelivered_count == 0


def test_change_applied_before_its_acknowledgement_has_zero_delay() -> None:
    observer = DeliveryObserver(1)
    observer.control_changed(A, agent_at_revision(5), 1.0)
    observer.order_answered(A, acknowledgement(5), 1.1)
    assert observer.delays_s == [0.0]


def test_refused_change_is_counted_without_a_delay() -> None:
    observer = DeliveryObserver(1)
    observer.order_answered(A, OrderAnswered("ticket", None), 1.0)
    assert (observer.refused, observer.delays_s) == (1, [])


def test_fleet_counts_messages_and_times_changes_and_the_loss_of_a_killed_leader() -> None:
    fleet = make_fleet(nodes=4, zones=4, controllers=3, seed=3)
    observer = DeliveryObserver(4)
    fleet.observers.append(observer)
    fleet.world.start_all()
    assert fleet.run_until(fleet.all_ready, 20.0)
    add_engines(fleet, 4)
    fleet.world.run_for(8.0)
    assert all(len(agent.engines.engines) == 4 for agent in fleet.agents().values())
    fleet.meter.clear()
    schedule_changes(fleet, 3, 0.5)
    fleet.world.run_for(4.0)
    assert len(observer.delays_s) == 3
    assert fleet.meter.messages["ContactBeat"] > 0
    assert fleet.meter.bytes.total() > 10 * fleet.meter.messages.total()
    assert fleet.meter.bytes.total() == sum(fleet.meter.bytes_of_node.values())
    loss = measure_leader_loss(fleet, "kill", 1)
    assert loss.failed == 0
    assert 0.0 < loss.gaps_s[0] < 5.0


def test_unknown_kind_of_leader_loss_is_rejected() -> None:
    with pytest.raises(ValueError, match="melt"):
        measure_leader_loss(make_fleet(nodes=4, zones=4, controllers=3, seed=3), "melt", 1)
