"""Most nodes without a disk are killed or frozen: the others still change, read and drain as before.

Guards against decisions that need, and relays and repairs that go through, nodes that are gone.
"""

from __future__ import annotations

import random

import pytest

from springmux.agent.effects import OrderAnswered
from springmux.agent.events import EngineLeft
from springmux.control.commands import PutTemplate
from springmux.control.freshness.events import ProofRequested
from springmux.coordination.identifiers import NodeId
from springmux.simulation.hollow_fleet import FleetObserver, HollowFleet, HollowPlace, places_by_zone
from springmux.simulation.world.faults import Freeze, Heal, Kill, Restart, Thaw
from springmux.vocabulary.engines import EngineStatus
from springmux.vocabulary.names import EngineId, OrderId
from tests.support.partitions import announce_engine, partition

CONTACT_S = 3.0
ACKNOWLEDGED_WITHIN_S = 4.0
IN_FORCE_WITHIN_S = 2.0
DRAINED_WITHIN_S = 2.0
GONE_SHARE = 0.6
DOWN_S = 5.0
LEAVING_ENGINES = 9
LEAVING_WITHIN_S = 1.2
SMALL = places_by_zone({"z1": 3, "z2": 3, "z3": 3, "z4": 3}, controllers=4)
LARGE = places_by_zone({"z1": 15, "z2": 15, "z3": 15, "z4": 15}, controllers=5)
SIZES = pytest.mark.parametrize("places", [SMALL, LARGE], ids=["12 nodes", "60 nodes"])
LOSSES = pytest.mark.parametrize("loss", [Kill, Freeze], ids=["killed", "frozen"])


class Answers(FleetObserver):
    """Records when orders are accepted."""

    def __init__(self) -> None:
        self.accepted_at: dict[str, float] = {}

    def order_answered(self, node: NodeId, answer: OrderAnswered, now: float) -> None:
        if answer.result is not None:
            self.accepted_at.setdefault(answer.correlation_id, now)


def ready_fleet(places: list[HollowPlace], seed: int) -> HollowFleet:
    fleet = HollowFleet(places, seed, losses_tolerated=1 if len(places) <= 24 else 2)
    fleet.world.start_all()
    assert fleet.run_until(fleet.all_ready, 30)
    fleet.world.run_for(CONTACT_S)
    return fleet


def lose_most(fleet: HollowFleet, loss: type[Kill | Freeze], seed: int) -> tuple[list[NodeId], list[NodeId]]:
    """Kill or freeze a share of the machines, none with a disk; return those gone and those that stay."""
    plain = [place.node for place in fleet.places() if not place.controller]
    gone = random.Random(seed).sample(plain, round(GONE_SHARE * len(fleet.places())))
    for node in gone:
        fleet.world.apply(loss(at=fleet.world.now, node=node))
    return gone, [place.node for place in fleet.places() if place.node not in gone]


@LOSSES
@SIZES
def test_changes_and_reads_go_on_while_most_nodes_without_a_disk_are_gone(
    places: list[HollowPlace], loss: type[Kill | Freeze]
) -> None:
    fleet = ready_fleet(places, seed=5)
    answers = Answers()
    fleet.observers.append(answers)
    _, staying = lose_most(fleet, loss, seed=5)
    agents = fleet.agents()
    for number in range(20):
        fleet.world.run_for(1)
        assert [node for node in staying if not agents[node].ready] == []
        node = staying[number % len(staying)]
        command = PutTemplate(order=OrderId(f"order-{number}"), name=f"template-{number}", document=b"{}")
        sent_at = fleet.world.now
        order = fleet.submit(node, command)
        assert fleet.run_until(lambda order=order: order in answers.accepted_at, ACKNOWLEDGED_WITHIN_S)
        fleet.world.run_for(max(0.0, answers.accepted_at[order] + IN_FORCE_WITHIN_S - fleet.world.now))
        late = [node for node in staying if f"template-{number}" not in agents[node].view.templates]
        assert late == []
        fleet.world.deliver(node, ProofRequested())
        fleet.world.run_for(0.5)
        assert agents[node].state_proof_age_s(fleet.world.now) <= fleet.world.now - sent_at


@LOSSES
@SIZES
@pytest.mark.parametrize("seed", range(8))
def test_departures_reach_every_node_in_time_right_after_most_nodes_are_gone(
    places: list[HollowPlace], loss: type[Kill | Freeze], seed: int
) -> None:
    fleet = ready_fleet(places, seed)
    source = random.Random(seed)
    engines = announce_engines(fleet)
    fleet.world.run_for(CONTACT_S)
    gone, staying = lose_most(fleet, loss, seed)
    departed_at: dict[EngineId, float] = {}
    for engine in engines:
        fleet.world.run_for(LEAVING_WITHIN_S / LEAVING_ENGINES)
        told = source.choice(staying)
        assert fleet.agents()[told].ready, "the node acknowledges the departure"
        fleet.world.deliver(told, EngineLeft(engine))
        departed_at[engine] = fleet.world.now
    for engine in engines:
        fleet.world.run_for(max(0.0, departed_at[engine] + DRAINED_WITHIN_S - fleet.world.now))
        assert nodes_listing_as_ready(fleet, engine, staying) == []
    fleet.world.run_for(DOWN_S - DRAINED_WITHIN_S)
    bring_back(fleet, loss, gone)
    fleet.world.run_for(CONTACT_S)
    assert [node for engine in engines for node in nodes_listing_as_ready(fleet, engine, gone)] == []


@LOSSES
@pytest.mark.parametrize("seed", range(8))
def test_departures_reach_the_nodes_that_just_came_back(loss: type[Kill | Freeze], seed: int) -> None:
    """Other nodes may not know yet that a node is back: their relays miss it, so it asks them itself."""
    fleet = ready_fleet(SMALL, seed)
    source = random.Random(seed)
    engines = announce_engines(fleet)
    fleet.world.run_for(CONTACT_S)
    gone, staying = lose_most(fleet, loss, seed)
    fleet.world.run_for(DOWN_S)
    bring_back(fleet, loss, gone)
    back_at = fleet.world.now
    for engine in engines:
        fleet.world.run_for(LEAVING_WITHIN_S / LEAVING_ENGINES)
        fleet.world.deliver(source.choice(staying), EngineLeft(engine))
    fleet.world.run_for(back_at + CONTACT_S + DRAINED_WITHIN_S - fleet.world.now)
    everyone = [place.node for place in fleet.places()]
    assert [node for engine in engines for node in nodes_listing_as_ready(fleet, engine, everyone)] == []


@LOSSES
@SIZES
def test_nodes_that_come_back_with_an_old_state_get_every_change_in_time(
    places: list[HollowPlace], loss: type[Kill | Freeze]
) -> None:
    fleet = ready_fleet(places, seed=6)
    answers = Answers()
    fleet.observers.append(answers)
    gone, staying = lose_most(fleet, loss, seed=6)
    for number in range(5):
        fleet.world.run_for(DOWN_S / 5)
        command = PutTemplate(order=OrderId(f"order-{number}"), name=f"template-{number}", document=b"{}")
        fleet.submit(staying[number % len(staying)], command)
    bring_back(fleet, loss, gone)
    fleet.world.run_for(CONTACT_S)
    assert len(answers.accepted_at) == 5
    names = {f"template-{number}" for number in range(5)}
    assert [node for node in gone if not names <= fleet.agents()[node].view.templates.keys()] == []


@LOSSES
@SIZES
def test_controllers_alone_and_one_of_them_down_decide_and_take_departures(
    places: list[HollowPlace], loss: type[Kill | Freeze]
) -> None:
    """All nodes without a disk are gone, and the loss of one with a disk must be borne beside it."""
    fleet = ready_fleet(places, seed=7)
    answers = Answers()
    fleet.observers.append(answers)
    engine = announce_engine(fleet, places[0].node, "engine")
    fleet.world.run_for(CONTACT_S)
    controllers = [place.node for place in places if place.controller]
    lost = [place.node for place in places if not place.controller] + [controllers[1]]
    for node in lost:
        fleet.world.apply(loss(at=fleet.world.now, node=node))
    fleet.world.run_for(CONTACT_S)
    staying = [node for node in controllers if node not in lost]
    assert [node for node in staying if not fleet.agents()[node].ready] == []
    order = fleet.submit(staying[0], PutTemplate(order=OrderId("order"), name="new", document=b"{}"))
    told_at = fleet.world.now
    fleet.world.deliver(staying[0], EngineLeft(engine))
    assert fleet.run_until(lambda: order in answers.accepted_at, ACKNOWLEDGED_WITHIN_S)
    assert fleet.agents()[staying[0]].stop_is_confirmed(engine, told_at, fleet.world.now)
    fleet.world.run_for(max(0.0, told_at + DRAINED_WITHIN_S - fleet.world.now))
    assert [node for node in staying if "new" not in fleet.agents()[node].view.templates] == []
    assert nodes_listing_as_ready(fleet, engine, staying) == []


def test_survivors_declare_the_others_dead_though_most_of_their_probes_fail() -> None:
    fleet = ready_fleet(SMALL, seed=3)
    gone, staying = lose_most(fleet, Kill, seed=3)

    def known_dead() -> bool:
        views = [fleet.agents()[node].membership for node in staying]
        return all(not {record.node for record in view.present()} & set(gone) for view in views)

    assert fleet.run_until(known_dead, 30)


def test_nodes_cut_off_together_declare_no_death_without_contact() -> None:
    """Without contact with the deciding side a node can't tell whether it or the others are cut off."""
    fleet = ready_fleet(SMALL, seed=4)
    cut_off = [place.node for place in SMALL if not place.controller][:3]
    others = [place.node for place in SMALL if place.node not in cut_off]
    partition(fleet, cut_off)
    fleet.world.run_for(20)
    for node in cut_off:
        view = fleet.agents()[node].membership
        assert set(others) <= {record.node for record in view.present()}
    fleet.world.apply(Heal(at=fleet.world.now))
    assert fleet.run_until(fleet.all_ready, 10)


def announce_engines(fleet: HollowFleet) -> list[EngineId]:
    node = fleet.places()[0].node
    return [announce_engine(fleet, node, f"engine-{number}") for number in range(LEAVING_ENGINES)]


def bring_back(fleet: HollowFleet, loss: type[Kill | Freeze], nodes: list[NodeId]) -> None:
    for node in nodes:
        repair = Restart if loss is Kill else Thaw
        fleet.world.apply(repair(at=fleet.world.now, node=node))


def nodes_listing_as_ready(fleet: HollowFleet, engine: EngineId, nodes: list[NodeId]) -> list[NodeId]:
    agents = fleet.agents()
    records = {node: agents[node].engines.engines.get(engine) for node in nodes if node in agents}
    return [n for n, record in records.items() if record is not None and record.status is EngineStatus.READY]
