"""A node that isn't in contact with most controllers acknowledges no changes and marks no engine lost."""

from __future__ import annotations

from springmux.agent.effects import OrderAnswered
from springmux.agent.events import EngineAnnounced
from springmux.control.commands import PutTemplate
from springmux.control.freshness.events import ProofRequested
from springmux.coordination.identifiers import Address, NodeId, ZoneName
from springmux.simulation.hollow_fleet import FleetObserver, HollowFleet, HollowPlace
from springmux.simulation.world.faults import CutPair, Heal, Kill, Restart
from springmux.vocabulary.engines import EngineRecord, EngineStatus
from springmux.vocabulary.names import EngineId, OrderId, ServiceName, VersionName
from tests.support.partitions import partition

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


def test_change_on_the_side_of_most_controllers_reaches_all_nodes_in_contact_with_them() -> None:
    """Most nodes are on the other side: they acknowledge nothing, and prove no read of the older state."""
    recorder = AnswerRecorder()
    fleet = ready_fleet()
    fleet.observers.append(recorder)
    partition(fleet, "abv")
    cut_at = fleet.world.now
    assert fleet.run_until(lambda: fleet.leader() in ("a", "b"), 10)
    fleet.world.run_for(3)
    for node in "cwxyz":
        fleet.submit(NodeId(node), PutTemplate(order=OrderId(f"of-{node}"), name="other", document=b"{}"))
    fleet.submit(NodeId("v"), PutTemplate(order=OrderId("of-v"), name="late", document=b"{}"))
    assert fleet.run_until(lambda: any(answer.result for answer in recorder.all), 4)
    fleet.world.run_for(2)
    agents = fleet.agents()
    assert {name for name, agent in agents.items() if "late" in agent.view.templates} == set("abv")

    for node in "cwxyz":
        fleet.world.deliver(NodeId(node), ProofRequested())
    fleet.world.run_for(8)
    assert [answer.result is not None for answer in recorder.all].count(True) == 1
    assert all("other" not in agent.view.templates for agent in agents.values())
    now = fleet.world.now
    assert all(agents[NodeId(node)].state_proof_age_s(now) >= now - cut_at - 0.5 for node in "cwxyz")

    fleet.world.apply(Heal(at=fleet.world.now))
    assert fleet.run_until(fleet.all_ready, 10)
    fleet.world.run_for(2)
    assert all("late" in agent.view.templates for agent in agents.values())


def test_minority_of_the_controllers_acknowledges_nothing_while_it_reaches_all_other_nodes() -> None:
    """Guards against a core that is cut in two behind the back of nodes that reach both halves."""
    recorder = AnswerRecorder()
    fleet = ready_fleet()
    fleet.observers.append(recorder)
    for source, target in (("a", "b"), ("b", "a"), ("a", "c"), ("c", "a")):
        fleet.world.apply(CutPair(at=fleet.world.now, source=NodeId(source), target=NodeId(target)))
    cut_at = fleet.world.now
    assert fleet.run_until(lambda: fleet.leader() in ("b", "c"), 10)
    fleet.submit(NodeId("b"), PutTemplate(order=OrderId("of-b"), name="newest", document=b"{}"))
    assert fleet.run_until(lambda: any(answer.result for answer in recorder.all), 4)
    fleet.world.deliver(NodeId("a"), ProofRequested())
    fleet.world.run_for(2)
    agents = fleet.agents()
    is_behind = "newest" not in agents[NodeId("a")].view.templates
    proof_age_s = agents[NodeId("a")].state_proof_age_s(fleet.world.now)
    assert not is_behind or proof_age_s >= fleet.world.now - cut_at - 0.5


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
