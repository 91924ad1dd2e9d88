"""Quota allocators in the virtual world, clients with a chosen demand, and the record of admissions."""

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

Spread = Callable[[float, random.Random], NodeId]


class QuotaProcess:
    """One node: its quota allocator, with the accounts and members from its start."""

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
    """One reservation that was tried."""

    at: float
    node: NodeId
    amount: float
    admitted: bool


class QuotaFleet:
    """``count`` nodes in three zones."""

    def __init__(self, count: int = 12, network: NetworkSettings | None = None, seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.nodes = [NodeId(f"n{index:03}") for index in range(count)]
        self.known = list(self.nodes)
        self.world = World(seed, network)
        self.attempts: list[Attempt] = []
        for index, node in enumerate(self.nodes):
            self.world.add(
                node, ZoneName(f"z{index % 3}"), lambda boot, node=node: QuotaProcess(node, boot, self)
            )
        self.world.start_all()

    @property
    def owner(self) -> NodeId:
        return first_holders(ACCOUNT, self.known, 1)[0]

    def view(self) -> MembershipView:
        address = Address("127.0.0.1:1")
        records = {
            node: NodeRecord(node, ZoneName("z"), address, address, address, ready=True)
            for node in self.known
        }
        return MembershipView(self.nodes[0], records)

    def announce(self, known: list[NodeId]) -> None:
        """Tell every node who is present, each at another moment within a second."""
        self.known = known
        view = self.view()
        for node in known:
            delay_s = self.random.random()
            self.world.scheduler.after(
                delay_s, lambda node=node: self.world.give(node, QuotaMembersChanged(view))
            )

    def load(self, start: float, end: float, tokens_per_s: float, spread: Spread, error: float = 0.0) -> None:
        """Plan requests of random sizes; ``error``: the true count is off by up to this part of the size."""
        at = start
        while True:
            at += self.random.expovariate(tokens_per_s / MEAN_AMOUNT)
            if at >= end:
                return
            amount = self.random.uniform(0.2, 1.8) * MEAN_AMOUNT
            used = amount * (1.0 + error * self.random.uniform(-1.0, 1.0))
            node = spread(at, self.random)
            self.world.scheduler.at(
                at, lambda node=node, amount=amount, used=used: self._request(node, amount, used)
            )

    def admitted(self, start: float, end: float) -> float:
        return sum(each.amount for each in self.attempts if each.admitted and start <= each.at < end)

    def asked(self, start: float, end: float) -> float:
        return sum(each.amount for each in self.attempts if start <= each.at < end)

    def extremes(self, start: float, end: float, window_s: float) -> tuple[float, float]:
        """Return the least and the most admitted in any window (stepped by a fifth of it), by the quota."""
        figures = []
        at = start
        while at + window_s <= end + 1e-9:
            figures.append(self.admitted(at, at + window_s) / (RATE * window_s))
            at += window_s / 5
        return min(figures), max(figures)

    def _request(self, node: NodeId, amount: float, used: float) -> None:
        def reserve(process: Process) -> None:
            assert isinstance(process, QuotaProcess)
            now = self.world.now
            taken = process.allocator.reserve(ACCOUNT, amount, now)
            self.attempts.append(Attempt(now, node, used if taken else amount, taken))
            if taken:
                self.world.scheduler.after(0.3, lambda: self.world.call(node, settle))

        def settle(process: Process) -> None:
            assert isinstance(process, QuotaProcess)
            process.allocator.settle(ACCOUNT, amount, used, self.world.now)

        self.world.call(node, reserve)


def on_one(fleet: QuotaFleet) -> Spread:
    chosen = next(node for node in fleet.nodes if node != fleet.owner)
    return lambda at, source: chosen


def on_all(fleet: QuotaFleet) -> Spread:
    return lambda at, source: source.choice(fleet.nodes)


def moving(fleet: QuotaFleet) -> Spread:
    return lambda at, source: fleet.nodes[int(at) * 5 % len(fleet.nodes)]


def skewed(fleet: QuotaFleet) -> Spread:
    """Half of the load on one node, the rest on all."""
    return lambda at, source: fleet.nodes[0] if source.random() < 0.5 else source.choice(fleet.nodes)
