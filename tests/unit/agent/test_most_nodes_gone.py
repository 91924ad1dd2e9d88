"""Most nodes without a disk are killed or frozen: the others still change and read as before.

Guards against decisions that need nodes that are gone.
"""

from __future__ import annotations

import random

import pytest

from springmux.agent.effects import OrderAnswered
from springmux.control.commands import PutTemplate
from springmux.control.freshness.events import ProofRequested
from springmux.coordination.identifiers import NodeId
from springmux.simulation.hollow_fleet import FleetObserver, HollowFleet, HollowPlace, places_by_zone
from springmux.simulation.world.faults import Freeze, Kill
from springmux.vocabulary.names import OrderId

CONTACT_S = 3.0
ACKNOWLEDGED_WITHIN_S = 4.0
IN_FORCE_WITHIN_S = 2.0
GONE_SHARE = 0.6
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
