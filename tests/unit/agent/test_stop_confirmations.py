"""A stop is confirmed once most controllers have it, or this node has proof of contact since.

Guards against a node that was just cut off and acknowledges a stop of which nobody else hears.
"""

from __future__ import annotations

import msgspec
import pytest

from springmux.agent.directory.entry import DirectoryEntry
from springmux.agent.directory.messages import EngineStopReceipt
from springmux.agent.directory.stop_confirmations import MAX_STOPS, StopConfirmations
from springmux.agent.events import EngineLeft
from springmux.coordination.identifiers import Address, NodeId
from springmux.coordination.membership.view import MembershipView
from springmux.simulation.hollow_fleet import HollowFleet, places_by_zone
from springmux.simulation.world.faults import CutNode, Heal, Kill
from springmux.vocabulary.engines import EngineRecord, EngineStatus
from springmux.vocabulary.names import EngineId, ServiceName, VersionName
from tests.support.partitions import announce_engine, partition

ENGINE = EngineId("engine")
RECORD = EngineRecord(ENGINE, ServiceName("text"), VersionName("v1"), Address("engine:80"), 8, incarnation=1)
ZONES = {"z1": 3, "z2": 3, "z3": 3}
PLAIN = NodeId("z3-3")
CONTROLLERS = [NodeId("z1-1"), NodeId("z2-1"), NodeId("z3-1")]
TIMEOUT_S = 0.9


def fleet_with_engine(zones: dict[str, int]) -> HollowFleet:
    fleet = HollowFleet(places_by_zone(zones, controllers=3), seed=2, losses_tolerated=1)
    fleet.world.start_all()
    assert fleet.run_until(fleet.all_ready, 30)
    announce_engine(fleet, CONTROLLERS[0], ENGINE)
    fleet.world.run_for(3)
    return fleet


def seconds_to_confirm(fleet: HollowFleet, node: NodeId) -> float:
    """Tell ``node`` that the engine has left; return how long the confirmation takes."""
    since = fleet.world.now
    fleet.world.deliver(node, EngineLeft(ENGINE, 1))
    agent = fleet.agents()[node]
    confirmed = fleet.run_until(
        lambda: agent.stop_is_confirmed(ENGINE, since, fleet.world.now), TIMEOUT_S, step_s=0.005
    )
    return fleet.world.now - since if confirmed else float("inf")


@pytest.mark.parametrize("zones", [ZONES, {"z1": 14, "z2": 14, "z3": 14}], ids=["9 nodes", "42 nodes"])
@pytest.mark.parametrize("node", [PLAIN, CONTROLLERS[1]])
def test_stop_is_confirmed_within_a_round_trip(zones: dict[str, int], node: NodeId) -> None:
    assert seconds_to_confirm(fleet_with_engine(zones), node) < 0.1


@pytest.mark.parametrize("node", [PLAIN, CONTROLLERS[1]])
def test_node_that_was_just_cut_off_confirms_no_stop_until_it_is_back(node: NodeId) -> None:
    fleet = fleet_with_engine(ZONES)
    fleet.world.apply(CutNode(at=fleet.world.now, node=node))
    fleet.world.run_for(0.3)
    assert fleet.agents()[node].ready, "it hasn't noticed yet"
    assert seconds_to_confirm(fleet, node) > TIMEOUT_S
    fleet.world.apply(Heal(at=fleet.world.now))
    fleet.world.run_for(2)
    assert seconds_to_confirm(fleet, node) < 0.1


def test_zone_that_was_just_cut_off_together_confirms_no_stop() -> None:
    """Its nodes hear each other, and relay the stop among themselves."""
    fleet = fleet_with_engine(ZONES)
    partition(fleet, [place.node for place in fleet.places() if place.zone == "z3"])
    fleet.world.run_for(0.1)
    assert seconds_to_confirm(fleet, PLAIN) > TIMEOUT_S


def test_stop_is_confirmed_by_most_nodes_while_the_controllers_are_gone() -> None:
    fleet = fleet_with_engine(ZONES)
    for node in CONTROLLERS:
        fleet.world.apply(Kill(at=fleet.world.now, node=node))
    fleet.world.run_for(1.0)
    assert seconds_to_confirm(fleet, PLAIN) <= TIMEOUT_S


def test_controllers_spread_a_stop_whose_node_dies_after_the_acknowledgement() -> None:
    """Its relays are lost with it: they were sent to nodes that had died."""
    fleet = fleet_with_engine(ZONES)
    gone = [place.node for place in fleet.places() if place.node not in (*CONTROLLERS, PLAIN, "z1-2", "z2-2")]
    for node in gone:
        fleet.world.apply(Kill(at=fleet.world.now, node=node))
    assert seconds_to_confirm(fleet, PLAIN) < 0.1
    fleet.world.apply(Kill(at=fleet.world.now, node=PLAIN))
    fleet.world.run_for(2.0)
    staying = [*CONTROLLERS, NodeId("z1-2"), NodeId("z2-2")]
    listed = {fleet.agents()[node].engines.engines[ENGINE].status for node in staying}
    assert listed == {EngineStatus.LEFT}


def test_second_drain_is_not_confirmed_by_the_receipts_of_the_first() -> None:
    """An engine drains, is ready again, and drains again at a node that was cut off meanwhile."""
    confirmations = StopConfirmations(PLAIN, keep_s=60.0)
    confirmations.update_view(MembershipView(PLAIN, {}))
    for intent in (1, 3):
        entry = DirectoryEntry(RECORD, intent=intent)
        confirmations.request(entry, 0.0)
        assert confirmations.holders(ENGINE) == {PLAIN}
        for node in CONTROLLERS:
            confirmations.record(node, EngineStopReceipt(ENGINE, left=False))
        assert confirmations.holders(ENGINE) == {PLAIN, *CONTROLLERS}
        confirmations.request(entry, 1.0)
        assert confirmations.holders(ENGINE) == {PLAIN, *CONTROLLERS}, "the same drain was reported again"


def test_departure_is_not_confirmed_by_receipts_for_the_drain() -> None:
    confirmations = StopConfirmations(PLAIN, keep_s=60.0)
    confirmations.request(DirectoryEntry(RECORD, intent=1), 0.0)
    confirmations.request(DirectoryEntry(RECORD, intent=1, left=True), 0.1)
    confirmations.record(CONTROLLERS[0], EngineStopReceipt(ENGINE, left=False))
    assert confirmations.holders(ENGINE) == {PLAIN}


def test_receipts_are_forgotten_and_bounded() -> None:
    confirmations = StopConfirmations(PLAIN, keep_s=60.0)
    for number in range(MAX_STOPS + 100):
        record = msgspec.structs.replace(RECORD, engine=EngineId(f"engine-{number}"))
        confirmations.request(DirectoryEntry(record, intent=1), float(number))
    assert len(confirmations) == MAX_STOPS
    confirmations.expire(MAX_STOPS + 100.0)
    assert len(confirmations) == 59
