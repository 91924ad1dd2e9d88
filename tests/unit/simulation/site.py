"""A site of the platform in virtual time: machines start, get lost, are replaced; an operator is busy."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable

from springmux.agent.effects import OrderAnswered
from springmux.agent.events import SeedsChanged, StopBegun, StopFinished
from springmux.control.commands import Outcome, PutTenant
from springmux.control.view import Tenant
from springmux.coordination.identifiers import NodeId, ZoneName
from springmux.simulation.hollow_fleet import FleetObserver, HollowFleet, HollowPlace, places_by_zone
from springmux.simulation.world.faults import (
    AnyFault,
    CutNode,
    Freeze,
    Heal,
    Kill,
    PowerCut,
    Restart,
    StallDisk,
    Thaw,
    Wipe,
)
from springmux.simulation.world.network import NetworkSettings
from springmux.vocabulary.names import OrderId, TenantName

STARTS_APART_S = 0.3
LEAVING_S = 0.1
"""A process says that it has left this long before it ends, as the daemons do."""
COMES_UP_S = (0.5, 1.5)
"""From the start of a process until it listens."""
WRITE_EVERY_S = 0.1
LOSS = 0.005

SITE_A = ({"z1": 3, "z2": 3, "z3": 3, "z4": 3}, 4, 1)
SITE_B = ({"z1": 3, "z2": 3, "z3": 3}, 3, 1)
FIVE_DISKS = ({f"z{number}": 21 - (number == 4) for number in range(1, 5)}, 5, 2)
SIX_DISKS = ({f"z{number}": 15 for number in range(1, 7)}, 6, 2)
SMALL_SIX = ({"z1": 3, "z2": 3, "z3": 3, "z4": 3}, 6, 2)
"""Six disks among twelve nodes, where the size doesn't matter."""


class Site(FleetObserver):
    """Starts the machines at time 0 and gives an order every 0.1 s from :meth:`write` on."""

    def __init__(self, kind: tuple[dict[str, int], int, int], seed: int, loss: float = LOSS) -> None:
        zones, disks, tolerated = kind
        self.random = random.Random(f"site {seed}")
        self.places = places_by_zone(zones, disks)
        # Which machines have disks and which names are low has nothing to do with the order of the starts.
        network = NetworkSettings(loss=loss)
        self.fleet = HollowFleet(self.places, seed, network, losses_tolerated=tolerated)
        self.world = self.fleet.world
        self.disks = [place.node for place in self.places if place.controller]
        self.last_start = 0.0
        self.gone: set[NodeId] = set()
        self.troubled: set[NodeId] = set()
        """Nodes that an operator can't talk to now."""
        self.asked: dict[str, tuple[float, NodeId, TenantName]] = {}
        self.acknowledged: dict[TenantName, float] = {}
        self.slowest_s = 0.0
        """The longest wait for an answer of an order that was taken."""
        self.refused = 0
        self._spoilt: set[str] = set()
        self._numbers = 0
        self._writing = False
        self.fleet.observers.append(self)

    # Machines

    def start(self, between_starts_s: float = STARTS_APART_S) -> None:
        for place in self.places:
            at = self.random.uniform(0.0, between_starts_s) + self.random.uniform(*COMES_UP_S)
            self.last_start = max(self.last_start, at)
            self.at(at, Restart(at=at, node=place.node))

    def at(self, time: float, fault: AnyFault) -> None:
        self.world.scheduler.at(time, lambda: self.world.apply(fault))

    def run_until(self, condition: Callable[[], bool], within_s: float) -> bool:
        return self.fleet.run_until(condition, within_s, step_s=0.01)

    def found(self) -> float:
        """Run until a leader leads and nodes are in contact; return the time since the last start."""
        self.start()
        assert self.run_until(lambda: self.fleet.leader() is not None, 15.0)
        time = self.world.now - self.last_start
        self.fleet.first_start = False
        return time

    def trouble(self, node: NodeId) -> None:
        """Give no orders to a node from now on; those that it has may stay unanswered."""
        self.troubled.add(node)
        self._spoilt |= {
            correlation_id for correlation_id, (_, asked, _) in self.asked.items() if asked == node
        }

    def kill(self, node: NodeId) -> None:
        self.trouble(node)
        self.world.apply(Kill(at=self.world.now, node=node))

    def power_cut(self, nodes: list[NodeId]) -> None:
        for node in nodes:
            self.trouble(node)
            self.world.apply(PowerCut(at=self.world.now, node=node))

    def wipe(self, node: NodeId) -> None:
        self.world.apply(Wipe(at=self.world.now, node=node))

    def back(self, node: NodeId, after_s: float) -> None:
        """Have a machine up again ``after_s`` from now."""

        def restart() -> None:
            self.troubled.discard(node)
            self.world.apply(Restart(at=self.world.now, node=node))

        self.world.scheduler.after(after_s, restart)

    def freeze(self, node: NodeId, for_s: float) -> None:
        self.trouble(node)
        self.world.apply(Freeze(at=self.world.now, node=node))

        def thaw() -> None:
            self.troubled.discard(node)
            self.world.apply(Thaw(at=self.world.now, node=node))

        self.world.scheduler.after(for_s, thaw)

    def cut(self, node: NodeId, outward: bool = True, inward: bool = True) -> None:
        self.trouble(node)
        self.world.apply(CutNode(at=self.world.now, node=node, outward=outward, inward=inward))

    def heal_node(self, node: NodeId, outward: bool, inward: bool) -> None:
        """End one node's cut; others go on."""
        self.troubled.discard(node)
        self.world.network.partitions.partition_node(node, outward, inward, -1)

    def stall(self, node: NodeId, for_s: float) -> None:
        self.world.apply(StallDisk(at=self.world.now, node=node, stall_s=for_s))

    def heal(self) -> None:
        self.troubled.clear()
        self.troubled |= self.gone
        self.world.apply(Heal(at=self.world.now))

    def remove(self, node: NodeId) -> None:
        self.kill(node)
        self._forget(node)

    def retire(self, node: NodeId) -> None:
        """SIGTERM, for good."""
        self._forget(node)
        self.stop(node)

    def _forget(self, node: NodeId) -> None:
        self.gone.add(node)
        self.disks.remove(node)

    def successor(self, node: NodeId, after_s: float, comes_up_s: float | None = None) -> NodeId:
        """Start an empty machine with a new name ``after_s`` from now; it is up some time later."""
        zone = next(place.zone for place in self.fleet.places() if place.node == node)
        new = NodeId(f"{node}x")
        self.fleet.add_machine(HollowPlace(new, ZoneName(zone), controller=True))
        self.troubled.add(new)
        self.disks.append(new)
        self._exchange_seeds()
        up_s = self.random.uniform(*COMES_UP_S) if comes_up_s is None else comes_up_s
        self.back(new, after_s + up_s)
        return new

    def _exchange_seeds(self) -> None:
        """The settings name machines that are there now; who runs hears of it."""
        running = [node for node in self.world.nodes() if self.world.is_running(node)]
        chosen = self.random.sample(running, 3)
        self.fleet.seeds = tuple(self.fleet.addresses[node] for node in chosen)
        for node in running:
            self.world.deliver(node, SeedsChanged(self.fleet.seeds))

    def stop(self, node: NodeId, takes_s: float = 0.3) -> None:
        """SIGTERM: the process says so, and ends a little later."""
        self.trouble(node)
        self.world.deliver(node, StopBegun())
        self.world.scheduler.after(takes_s - LEAVING_S, lambda: self.world.deliver(node, StopFinished()))
        self.world.scheduler.after(takes_s, lambda: self.kill(node))

    def voters(self) -> set[NodeId]:
        """The voters as the leader has them."""
        leader = self.fleet.leader()
        if leader is None:
            return set()
        replica = self.fleet.agents()[leader].status().replica
        assert replica is not None
        return {NodeId(member.node) for member in replica.members.voters()}

    def groups(self) -> set[str]:
        statuses = [agent.status().replica for agent in self.fleet.agents().values()]
        return {str(status.group) for status in statuses if status is not None and status.group is not None}

    # Orders

    def write(self) -> None:
        """Begin to give orders, each to a node that runs and isn't troubled."""
        self._writing = True
        self._write_one()

    def _write_one(self) -> None:
        if not self._writing:
            return
        self.give_order()
        self.world.scheduler.after(WRITE_EVERY_S, self._write_one)

    def give_order(self) -> str:
        nodes = [node for node in self.world.nodes() if self.world.is_running(node)]
        sound = [node for node in nodes if node not in self.troubled]
        if not sound:
            return ""
        self._numbers += 1
        name = TenantName(f"t{self._numbers}")
        node = self.random.choice(sound)
        correlation_id = self.fleet.next_correlation_id()
        self.asked[correlation_id] = (self.world.now, node, name)
        order = PutTenant(order=OrderId(f"o{self._numbers}"), tenant=Tenant(name, 1000.0, 1000.0))
        self.fleet.submit_as(correlation_id, node, order)
        return correlation_id

    def order_answered(self, node: NodeId, answer: OrderAnswered, now: float) -> None:
        asked_at, _, name = self.asked.pop(answer.correlation_id)
        if answer.result is not None and answer.result.outcome is Outcome.ACCEPTED:
            self.acknowledged[name] = now
        elif answer.correlation_id not in self._spoilt:
            self.refused += 1
        if answer.correlation_id not in self._spoilt:
            self.slowest_s = max(self.slowest_s, now - asked_at)

    def longest_gap_s(self, since: float) -> float:
        """The longest time without any acknowledgement from ``since`` until now."""
        times = sorted(at for at in self.acknowledged.values() if at >= since)
        edges = [since, *times, self.world.now]
        return max(after - before for before, after in itertools.pairwise(edges))

    def check_whole(self, within_s: float = 6.0) -> None:
        """Stop writing; everything acknowledged is in force at every sound node, and a new order is taken."""
        self._writing = False
        sound = [node for node in self.fleet.agents() if node not in self.troubled]
        names = set(self.acknowledged)

        def have() -> bool:
            agents = self.fleet.agents()
            return all(names <= set(agents[node].view.tenants) for node in sound)

        if not self.run_until(have, within_s):
            agents = self.fleet.agents()
            lacking = {node: len(names - set(agents[node].view.tenants)) for node in sound}
            raise AssertionError(f"acknowledged orders are missing: {lacking}")
        assert len(self.groups()) == 1
        count = len(self.acknowledged)
        self.give_order()
        assert self.run_until(lambda: len(self.acknowledged) > count, 4.0), "no quorum"
