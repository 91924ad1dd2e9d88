"""A site in virtual time: machines start, fail and are replaced while an operator sends orders."""

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

MAX_START_DELAY_S = 0.3
LEAVE_BEFORE_END_S = 0.1
"""Seconds before its end at which a stopping process announces that it has left, as the daemon does."""
PROCESS_START_S = (0.5, 1.5)
"""Range of the seconds from the start of a process until it listens."""
ORDER_PERIOD_S = 0.1
MESSAGE_LOSS = 0.005

SITE_A = ({"z1": 3, "z2": 3, "z3": 3, "z4": 3}, 4, 1)
"""A kind of site: the number of nodes by zone, of nodes with a disk, and of tolerated losses."""
SITE_B = ({"z1": 3, "z2": 3, "z3": 3}, 3, 1)
FIVE_DISKS = ({f"z{number}": 21 - (number == 4) for number in range(1, 5)}, 5, 2)
SIX_DISKS = ({f"z{number}": 15 for number in range(1, 7)}, 6, 2)
SMALL_SIX = ({"z1": 3, "z2": 3, "z3": 3, "z4": 3}, 6, 2)
"""Six disks among twelve nodes, for tests to which the size of the fleet does not matter."""


class Site(FleetObserver):
    """Starts machines from time 0 on, and sends an order every 0.1 s once :meth:`start_orders` was called."""

    def __init__(self, kind: tuple[dict[str, int], int, int], seed: int, loss: float = MESSAGE_LOSS) -> None:
        zones, disks, tolerated = kind
        self.random = random.Random(f"site {seed}")
        self.places = places_by_zone(zones, disks)
        # Which nodes have disks, and the order of their names, are independent of the order of the starts.
        network = NetworkSettings(loss=loss)
        self.fleet = HollowFleet(self.places, seed, network, losses_tolerated=tolerated)
        self.world = self.fleet.world
        self.disks = [place.node for place in self.places if place.controller]
        self.last_start = 0.0
        self.removed: set[NodeId] = set()
        self.unavailable: set[NodeId] = set()
        """Nodes to which the operator sends no orders now."""
        self.pending_orders: dict[str, tuple[float, NodeId, TenantName]] = {}
        self.acknowledged: dict[TenantName, float] = {}
        self.slowest_reply_s = 0.0
        """Longest time until the reply to an order, except orders whose node became unavailable."""
        self.rejected = 0
        self._uncertain_orders: set[str] = set()
        self._orders_submitted = 0
        self._sending_orders = False
        self.fleet.observers.append(self)

    # Machines

    def start(self, max_start_delay_s: float = MAX_START_DELAY_S) -> None:
        for place in self.places:
            at = self.random.uniform(0.0, max_start_delay_s) + self.random.uniform(*PROCESS_START_S)
            self.last_start = max(self.last_start, at)
            self.at(at, Restart(at=at, node=place.node))

    def at(self, time: float, fault: AnyFault) -> None:
        self.world.scheduler.at(time, lambda: self.world.apply(fault))

    def run_until(self, condition: Callable[[], bool], within_s: float) -> bool:
        return self.fleet.run_until(condition, within_s, step_s=0.01)

    def start_and_elect_leader(self) -> float:
        """Start all machines; return the seconds from the last start until there is a leader."""
        self.start()
        assert self.run_until(lambda: self.fleet.leader() is not None, 15.0)
        time = self.world.now - self.last_start
        self.fleet.first_start = False
        return time

    def mark_unavailable(self, node: NodeId) -> None:
        """Send no orders to a node from now on; its pending orders may get no reply."""
        self.unavailable.add(node)
        self._uncertain_orders |= {
            correlation_id
            for correlation_id, (_, node_of_order, _) in self.pending_orders.items()
            if node_of_order == node
        }

    def kill(self, node: NodeId) -> None:
        self.mark_unavailable(node)
        self.world.apply(Kill(at=self.world.now, node=node))

    def power_cut(self, nodes: list[NodeId]) -> None:
        for node in nodes:
            self.mark_unavailable(node)
            self.world.apply(PowerCut(at=self.world.now, node=node))

    def wipe(self, node: NodeId) -> None:
        self.world.apply(Wipe(at=self.world.now, node=node))

    def restart_after(self, node: NodeId, after_s: float) -> None:
        """Restart a machine ``after_s`` seconds from now."""

        def restart() -> None:
            self.unavailable.discard(node)
            self.world.apply(Restart(at=self.world.now, node=node))

        self.world.scheduler.after(after_s, restart)

    def freeze(self, node: NodeId, for_s: float) -> None:
        self.mark_unavailable(node)
        self.world.apply(Freeze(at=self.world.now, node=node))

        def thaw() -> None:
            self.unavailable.discard(node)
            self.world.apply(Thaw(at=self.world.now, node=node))

        self.world.scheduler.after(for_s, thaw)

    def cut(self, node: NodeId, outward: bool = True, inward: bool = True) -> None:
        self.mark_unavailable(node)
        self.world.apply(CutNode(at=self.world.now, node=node, outward=outward, inward=inward))

    def heal_node(self, node: NodeId, outward: bool, inward: bool) -> None:
        """Heal one node's partition; other partitions remain."""
        self.unavailable.discard(node)
        self.world.network.partitions.partition_node(node, outward, inward, -1)

    def stall(self, node: NodeId, for_s: float) -> None:
        self.world.apply(StallDisk(at=self.world.now, node=node, stall_s=for_s))

    def heal(self) -> None:
        self.unavailable.clear()
        self.unavailable |= self.removed
        self.world.apply(Heal(at=self.world.now))

    def remove(self, node: NodeId) -> None:
        self.kill(node)
        self._forget(node)

    def decommission(self, node: NodeId) -> None:
        """Stop a node with SIGTERM; it does not come back."""
        self._forget(node)
        self.stop(node)

    def _forget(self, node: NodeId) -> None:
        self.removed.add(node)
        self.disks.remove(node)

    def add_replacement(self, node: NodeId, after_s: float, process_start_s: float | None = None) -> NodeId:
        """Start an empty machine with a new name ``after_s`` seconds from now; return its name.

        It listens ``process_start_s`` seconds after its start, by default a random time.
        """
        zone = next(place.zone for place in self.fleet.places() if place.node == node)
        new = NodeId(f"{node}x")
        self.fleet.add_machine(HollowPlace(new, ZoneName(zone), controller=True))
        self.unavailable.add(new)
        self.disks.append(new)
        self._update_seeds()
        start_s = self.random.uniform(*PROCESS_START_S) if process_start_s is None else process_start_s
        self.restart_after(new, after_s + start_s)
        return new

    def _update_seeds(self) -> None:
        """Set the seeds to three running machines, and deliver the change to all running nodes."""
        running = [node for node in self.world.nodes() if self.world.is_running(node)]
        chosen = self.random.sample(running, 3)
        self.fleet.seeds = tuple(self.fleet.addresses[node] for node in chosen)
        for node in running:
            self.world.deliver(node, SeedsChanged(self.fleet.seeds))

    def stop(self, node: NodeId, duration_s: float = 0.3) -> None:
        """Stop a node with SIGTERM: it announces the stop, and its process ends ``duration_s`` later."""
        self.mark_unavailable(node)
        self.world.deliver(node, StopBegun())
        self.world.scheduler.after(
            duration_s - LEAVE_BEFORE_END_S, lambda: self.world.deliver(node, StopFinished())
        )
        self.world.scheduler.after(duration_s, lambda: self.kill(node))

    def voters(self) -> set[NodeId]:
        """Return the voters according to the leader; empty without a leader."""
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

    def start_orders(self) -> None:
        """Start sending orders, each to a random running node that is not marked unavailable."""
        self._sending_orders = True
        self._send_next_order()

    def _send_next_order(self) -> None:
        if not self._sending_orders:
            return
        self.submit_order()
        self.world.scheduler.after(ORDER_PERIOD_S, self._send_next_order)

    def submit_order(self) -> str:
        nodes = [node for node in self.world.nodes() if self.world.is_running(node)]
        available = [node for node in nodes if node not in self.unavailable]
        if not available:
            return ""
        self._orders_submitted += 1
        name = TenantName(f"t{self._orders_submitted}")
        node = self.random.choice(available)
        correlation_id = self.fleet.next_correlation_id()
        self.pending_orders[correlation_id] = (self.world.now, node, name)
        order = PutTenant(order=OrderId(f"o{self._orders_submitted}"), tenant=Tenant(name, 1000.0, 1000.0))
        self.fleet.submit_as(correlation_id, node, order)
        return correlation_id

    def order_answered(self, node: NodeId, answer: OrderAnswered, now: float) -> None:
        asked_at, _, name = self.pending_orders.pop(answer.correlation_id)
        if answer.result is not None and answer.result.outcome is Outcome.ACCEPTED:
            self.acknowledged[name] = now
        elif answer.correlation_id not in self._uncertain_orders:
            self.rejected += 1
        if answer.correlation_id not in self._uncertain_orders:
            self.slowest_reply_s = max(self.slowest_reply_s, now - asked_at)

    def longest_pause_s(self, since: float) -> float:
        """Return the longest time in seconds without an acknowledgement, from ``since`` until now."""
        times = sorted(at for at in self.acknowledged.values() if at >= since)
        edges = [since, *times, self.world.now]
        return max(after - before for before, after in itertools.pairwise(edges))

    def check_recovered(self, within_s: float = 6.0) -> None:
        """Stop sending orders, and check that the site has recovered.

        Every available node must have all acknowledged orders, there must be one group, and it must accept
        a new order.
        """
        self._sending_orders = False
        available = [node for node in self.fleet.agents() if node not in self.unavailable]
        names = set(self.acknowledged)

        def is_complete() -> bool:
            agents = self.fleet.agents()
            return all(names <= set(agents[node].view.tenants) for node in available)

        if not self.run_until(is_complete, within_s):
            agents = self.fleet.agents()
            missing = {node: len(names - set(agents[node].view.tenants)) for node in available}
            raise AssertionError(f"acknowledged orders are missing: {missing}")
        assert len(self.groups()) == 1
        count = len(self.acknowledged)
        self.submit_order()
        assert self.run_until(lambda: len(self.acknowledged) > count, 4.0), "no quorum"
