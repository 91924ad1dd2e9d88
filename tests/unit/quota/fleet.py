"""Simulated fleet of quota allocators with a given demand, which records every reservation."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from springmux.coordination.identifiers import Address, NodeId, ZoneName
from springmux.coordination.membership.view import MembershipView, NodeRecord
from springmux.coordination.quota.events import AccountRate, AccountsChanged, QuotaMembersChanged
from springmux.coordination.quota.quota_allocator import QuotaAllocator
from springmux.coordination.rendezvous import first_holders
from springmux.coordination.state_machine import Effect, Event
from springmux.simulation.world.network import NetworkSettings
from springmux.simulation.world.world import Process, World

ACCOUNT = "tenant"
RATE = 5000.0
BURST = 5000.0
MEAN_AMOUNT = 500.0

NodeChooser = Callable[[float, random.Random], NodeId]


class QuotaProcess:
    """One node with its quota allocator, which knows the accounts and members from its start."""

    def __init__(self, node: NodeId, boot: int, fleet: QuotaFleet) -> None:
        self.allocator = QuotaAllocator(node, random.Random(f"{node} {boot}"))
        self._fleet = fleet

    def start(self, now: float) -> list[Effect]:
        self.allocator.handle(AccountsChanged({ACCOUNT: AccountRate(RATE, BURST)}), now)
        self.allocator.handle(QuotaMembersChanged(self._fleet.view()), now)
        return []

    def handle(self, event: Event, now: float) -> list[Effect]:
        return self.allocator.handle(event, now)

    def next_deadline(self) -> float:
        return self.allocator.next_deadline()


class Attempt(msgspec.Struct, frozen=True):
    """One attempted reservation."""

    at: float
    node: NodeId
    amount: float
    admitted: bool


class QuotaFleet:
    """``count`` nodes in three zones."""

    def __init__(self, count: int = 12, network: NetworkSettings | None = None, seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.nodes = [NodeId(f"n{index:03}") for index in range(count)]
        self.present = list(self.nodes)
        self.world = World(seed, network)
        self.attempts: list[Attempt] = []
        for index, node in enumerate(self.nodes):
            self.world.add(
                node, ZoneName(f"z{index % 3}"), lambda boot, node=node: QuotaProcess(node, boot, self)
            )
        self.world.start_all()

    @property
    def owner(self) -> NodeId:
        return first_holders(ACCOUNT, self.present, 1)[0]

    def view(self) -> MembershipView:
        address = Address("127.0.0.1:1")
        records = {
            node: NodeRecord(node, ZoneName("z"), address, address, address, ready=True)
            for node in self.present
        }
        return MembershipView(self.nodes[0], records)

    def announce_members(self, present: list[NodeId]) -> None:
        """Send every node the present members, each at a random time within a second."""
        self.present = present
        view = self.view()
        for node in present:
            delay_s = self.random.random()
            self.world.scheduler.after(
                delay_s, lambda node=node: self.world.deliver(node, QuotaMembersChanged(view))
            )

    def add_load(
        self, start: float, end: float, tokens_per_s: float, choose_node: NodeChooser, error: float = 0.0
    ) -> None:
        """Schedule requests of random sizes; ``error``: largest relative error of the reserved tokens."""
        at = start
        while True:
            at += self.random.expovariate(tokens_per_s / MEAN_AMOUNT)
            if at >= end:
                return
            amount = self.random.uniform(0.2, 1.8) * MEAN_AMOUNT
            used = amount * (1.0 + error * self.random.uniform(-1.0, 1.0))
            node = choose_node(at, self.random)
            self.world.scheduler.at(
                at, lambda node=node, amount=amount, used=used: self._request(node, amount, used)
            )

    def admitted(self, start: float, end: float) -> float:
        return sum(
            attempt.amount for attempt in self.attempts if attempt.admitted and start <= attempt.at < end
        )

    def requested(self, start: float, end: float) -> float:
        return sum(attempt.amount for attempt in self.attempts if start <= attempt.at < end)

    def window_extremes(self, start: float, end: float, window_s: float) -> tuple[float, float]:
        """Return the least and the most admitted in any window, as fractions of the quota.

        The windows are spaced by a fifth of their length.
        """
        ratios = []
        at = start
        while at + window_s <= end + 1e-9:
            ratios.append(self.admitted(at, at + window_s) / (RATE * window_s))
            at += window_s / 5
        return min(ratios), max(ratios)

    def _request(self, node: NodeId, amount: float, used: float) -> None:
        def reserve(process: Process) -> None:
            assert isinstance(process, QuotaProcess)
            now = self.world.now
            is_reserved = process.allocator.reserve(ACCOUNT, amount, now)
            self.attempts.append(Attempt(now, node, used if is_reserved else amount, is_reserved))
            if is_reserved:
                self.world.scheduler.after(0.3, lambda: self.world.call(node, settle))

        def settle(process: Process) -> None:
            assert isinstance(process, QuotaProcess)
            process.allocator.settle(ACCOUNT, amount, used, self.world.now)

        self.world.call(node, reserve)


def on_one_node(fleet: QuotaFleet) -> NodeChooser:
    chosen = next(node for node in fleet.nodes if node != fleet.owner)
    return lambda at, source: chosen


def on_all_nodes(fleet: QuotaFleet) -> NodeChooser:
    return lambda at, source: source.choice(fleet.nodes)


def on_a_moving_node(fleet: QuotaFleet) -> NodeChooser:
    return lambda at, source: fleet.nodes[int(at) * 5 % len(fleet.nodes)]


def half_on_one_node(fleet: QuotaFleet) -> NodeChooser:
    """Send half of the load to one node, and spread the rest over all nodes."""
    return lambda at, source: fleet.nodes[0] if source.random() < 0.5 else source.choice(fleet.nodes)
