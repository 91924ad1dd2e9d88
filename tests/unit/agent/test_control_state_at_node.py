"""Interaction of consensus, delivery and control state at a node: founding, large commands, readiness."""

from __future__ import annotations

import json

from springmux.agent.effects import PrepareCommands
from springmux.agent.events import CommandsPrepared
from springmux.control.commands import ApplyConfiguration, PutTemplate
from springmux.coordination.identifiers import NodeId, ZoneName
from springmux.simulation.hollow_fleet import HollowFleet, HollowPlace
from springmux.simulation.world.faults import Heal, Kill, Restart, Wipe
from springmux.vocabulary.names import OrderId
from tests.support.partitions import partition

PARSE_S = 1.0
DISCOVERY_S = 0.7
"""Long enough for membership to discover all nodes, shorter than the delay before replicas found a group."""


class SlowlyParsingFleet(HollowFleet):
    """A fleet whose nodes take a second to parse a large command, as they do for 8 MiB."""

    def _prepare(self, node: NodeId, effect: PrepareCommands) -> None:
        agent = self.agent(node)

        def parsed() -> None:
            if agent is not None and agent is self.agent(node):
                for command in effect.commands:
                    agent.control.prepare(command)
                self.world.deliver(node, CommandsPrepared())

        self.world.scheduler.at(self.world.now + PARSE_S, parsed)


def fleet_of(controllers: str, routers: str = "") -> SlowlyParsingFleet:
    places = [HollowPlace(NodeId(name), ZoneName(f"z{name}"), True) for name in controllers]
    places += [HollowPlace(NodeId(name), ZoneName(f"z{name}"), False) for name in routers]
    fleet = SlowlyParsingFleet(places, seed=1)
    fleet.world.start_all()
    return fleet


def large_configuration() -> ApplyConfiguration:
    services = {f"service-{number}": {"stable": "v1"} for number in range(4000)}
    return ApplyConfiguration(
        order=OrderId("large"), version=1, document=json.dumps({"services": services}).encode()
    )


def test_all_nodes_stay_ready_while_a_large_configuration_is_parsed() -> None:
    fleet = fleet_of("abc", "xy")
    assert fleet.run_until(fleet.all_ready, 20)
    fleet.submit(NodeId("x"), large_configuration())

    def in_force() -> bool:
        assert fleet.all_ready()
        return all(agent.view.configuration.version == 1 for agent in fleet.agents().values())

    assert fleet.run_until(in_force, 5)


def test_starting_node_is_not_ready_before_the_newest_state_is_in_force() -> None:
    fleet = fleet_of("abc", "x")
    fleet.run_until(fleet.all_ready, 20)
    fleet.submit(NodeId("a"), large_configuration())
    fleet.world.run_for(3)
    fleet.world.apply(Kill(at=fleet.world.now, node=NodeId("x")))
    fleet.world.apply(Restart(at=fleet.world.now, node=NodeId("x")))

    def ready() -> bool:
        agent = fleet.agent(NodeId("x"))
        assert agent is not None
        assert not agent.ready or agent.view.configuration.version == 1
        return agent.ready

    assert fleet.run_until(ready, 12)


def groups(fleet: HollowFleet) -> set[str | None]:
    found = {agent.status().replica.group for agent in fleet.agents().values() if agent.status().replica}
    return found - {None}


def test_wiped_controller_partitioned_with_two_that_never_joined_founds_no_second_group() -> None:
    fleet = fleet_of("abcde", "xy")
    fleet.world.run_for(DISCOVERY_S)
    assert groups(fleet) == set()
    partition(fleet, "de", "abcxy")
    assert fleet.run_until(lambda: fleet.leader() is not None, 20)
    fleet.world.run_for(3)

    fleet.world.apply(Heal(at=fleet.world.now))
    partition(fleet, "cde", "abxy")
    for fault in (Kill, Wipe, Restart):
        fleet.world.apply(fault(at=fleet.world.now, node=NodeId("c")))
    fleet.world.run_for(30)

    assert fleet.agents()[NodeId("c")].membership.nodes.keys() >= {"c", "d", "e"}
    assert len(groups(fleet)) == 1
    fleet.world.apply(Heal(at=fleet.world.now))
    assert fleet.run_until(fleet.all_ready, 30)
    assert len(groups(fleet)) == 1


def test_node_is_not_ready_after_a_partition_before_it_has_the_missed_changes() -> None:
    fleet = fleet_of("abc", "xy")
    assert fleet.run_until(fleet.all_ready, 20)
    partition(fleet, "x", "abcy")
    fleet.world.run_for(5)
    fleet.submit(NodeId("a"), PutTemplate(order=OrderId("missed"), name="missed", document=b"{}"))
    fleet.world.run_for(5)
    fleet.world.apply(Heal(at=fleet.world.now))

    def ready() -> bool:
        agent = fleet.agents()[NodeId("x")]
        assert not agent.ready or "missed" in agent.view.templates
        return agent.ready

    assert fleet.run_until(ready, 5, step_s=0.005)


def test_node_after_a_partition_asks_the_leader_because_restarted_peers_do_not_know_the_change() -> None:
    fleet = fleet_of("abc", "x")
    assert fleet.run_until(fleet.all_ready, 20)
    partition(fleet, "x", "abc")
    fleet.world.run_for(5)
    fleet.submit(NodeId("a"), PutTemplate(order=OrderId("missed"), name="missed", document=b"{}"))
    fleet.world.run_for(1)
    for node in "abc":
        fleet.world.apply(Restart(at=fleet.world.now, node=NodeId(node)))
    fleet.world.apply(Heal(at=fleet.world.now))

    def ready() -> bool:
        agent = fleet.agents()[NodeId("x")]
        assert not agent.ready or "missed" in agent.view.templates
        return agent.ready

    assert fleet.run_until(ready, 5, step_s=0.005)
