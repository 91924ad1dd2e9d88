"""A node out of contact with most others acknowledges no changes and marks no engine lost."""

from __future__ import annotations

from springmux.agent.effects import OrderAnswered
from springmux.agent.events import EngineAnnounced
from springmux.control.commands import PutTemplate
from springmux.coordination.identifiers import Address, NodeId, ZoneName
from springmux.simulation.hollow_fleet import FleetObserver, HollowFleet, HollowPlace
from springmux.simulation.world.faults import CutPair, Heal, Kill, Restart
from springmux.vocabulary.engines import EngineRecord, EngineStatus
from springmux.vocabulary.names import EngineId, OrderId, ServiceName, VersionName

CONTROLLERS, ROUTERS = "abc", "vwxyz"
ENGINE = EngineRecord(
    EngineId("engine"), ServiceName("text"), VersionName("v1"), Address("127.0.0.1:9"), 8, incarnation=1
)


class AnswerRecorder(FleetObserver):
    """Records the replies to operators' orders."""

    def __init__(self) -> None:
        self.all: list[OrderAnswered] = []

    def order_answered(self, node: NodeId, answer: OrderAnswered, now: float) -> None:
        self.all.append(answer)


def ready_fleet() -> HollowFleet:
    places = [HollowPlace(NodeId(name), ZoneName(f"z{name}"), True) for name in CONTROLLERS]
    places += [HollowPlace(NodeId(name), ZoneName(f"z{name}"), False) for name in ROUTERS]
    fleet = HollowFleet(places, seed=1)
    fleet.world.start_all()
    assert fleet.run_until(fleet.all_ready, 20)
    return fleet


def partition(fleet: HollowFleet, inside: str) -> None:
    outside = [name for name in CONTROLLERS + ROUTERS if name not in inside]
    for one in inside:
        for other in outside:
            for source, target in ((one, other), (other, one)):
                fleet.world.apply(CutPair(at=fleet.world.now, source=NodeId(source), target=NodeId(target)))


def test_leader_whose_quorum_is_in_a_minority_of_the_nodes_acknowledges_nothing() -> None:
    """The other nodes keep serving the last state: changes that can't reach them must not be acknowledged."""
    recorder = AnswerRecorder()
    fleet = ready_fleet()
    fleet.observers.append(recorder)
    partition(fleet, "ab")
    assert fleet.run_until(lambda: fleet.leader() in ("a", "b"), 10)
    fleet.world.run_for(3)
    for node in "ab":
        fleet.submit(NodeId(node), PutTemplate(order=OrderId(f"of-{node}"), name="late", document=b"{}"))
    fleet.world.run_for(8)
    assert [answer.result for answer in recorder.all] == [None, None]
    assert all("late" not in agent.view.templates for agent in fleet.agents().values())
    assert fleet.agents()[NodeId("x")].ready, "the majority serves the state that is still the newest"

    fleet.world.apply(Heal(at=fleet.world.now))
    fleet.run_until(fleet.all_ready, 10)
    fleet.submit(NodeId("a"), PutTemplate(order=OrderId("again"), name="late", document=b"{}"))
    fleet.world.run_for(2)
    assert all("late" in agent.view.templates for agent in fleet.agents().values())


def test_node_that_has_not_joined_the_fleet_marks_no_engine_lost() -> None:
    fleet = ready_fleet()
    fleet.world.apply(Kill(at=fleet.world.now, node=NodeId("x")))
    partition(fleet, "x")
    fleet.world.apply(Restart(at=fleet.world.now, node=NodeId("x")))
    fleet.world.run_for(1)
    fleet.world.deliver(NodeId("x"), EngineAnnounced(ENGINE))
    fleet.world.run_for(8)
    engines = fleet.agents()[NodeId("x")].engines.engines
    assert engines[ENGINE.engine].status is EngineStatus.READY
