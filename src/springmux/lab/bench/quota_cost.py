"""Message cost of fleet-wide quotas with the target's tenants and request rate, in virtual time."""

from __future__ import annotations

import random
import time
from collections import Counter

import msgspec
import numpy

from springmux.agent import wire
from springmux.coordination.identifiers import Address, NodeId, Revision, Term, ZoneName
from springmux.coordination.membership.view import MembershipView, NodeRecord
from springmux.coordination.quota.events import AccountRate, AccountsChanged, QuotaMembersChanged
from springmux.coordination.quota.quota_allocator import QuotaAllocator
from springmux.coordination.state_machine import Effect, Event, Send
from springmux.lab.bench.report import BenchResult, Table
from springmux.lab.bench.slopes import fit
from springmux.simulation.world.world import Process, World

TENANTS_PER_NODE = 17_000 / 360
REQUESTS_PER_NODE_S = 1_700 / 360
TOKENS_PER_REQUEST = 506.0
"""Mean size of a request: 860,000 tokens over 1,700 requests."""
ZIPF_EXPONENT = 1.0
SIZES = (12, 36, 120, 360)
WARM_UP_S, WINDOW_S = 5.0, 10.0
SEED = 1


class QuotaCost(msgspec.Struct, frozen=True):
    """Costs of quotas per node and second at one fleet size.

    ``busiest_bytes``: bytes per second of the node that sends most. ``refused_share``: fraction of requests.
    """

    nodes: int
    bytes: float
    messages: float
    busiest_bytes: float
    cpu_ms: float
    refused_share: float


class _QuotaProcess:
    """Runs the quota allocator of one node as a process of the simulated world."""

    def __init__(self, allocator: QuotaAllocator, counters: _Counters) -> None:
        self.allocator = allocator
        self._counters = counters

    def start(self, now: float) -> list[Effect]:
        return []

    def handle(self, event: Event, now: float) -> list[Effect]:
        began_ns = time.process_time_ns()
        effects = self.allocator.handle(event, now)
        self._counters.cpu_ns += time.process_time_ns() - began_ns
        return effects

    def next_deadline(self) -> float:
        return self.allocator.next_deadline()


class _Counters:
    def __init__(self) -> None:
        self.cpu_ns = 0
        self.messages: Counter[NodeId] = Counter()
        self.bytes: Counter[NodeId] = Counter()
        self.refused = 0
        self.requested = 0

    def count_message(self, sender: NodeId, effect: Send) -> None:
        data = wire.encode(Term(7), NodeId("zone-0-1"), Revision(100_000), effect.message)
        self.messages[sender] += 1
        self.bytes[sender] += len(data)


class _CountingWorld(World):
    """A simulated world that counts messages and their encoded bytes."""

    counters: _Counters

    def _execute(self, host, effects):  # type: ignore[no-untyped-def]
        for effect in effects:
            if isinstance(effect, Send):
                self.counters.count_message(host.node, effect)
        super()._execute(host, effects)


def measure_fleet_size(nodes: int) -> QuotaCost:
    """Measure one fleet size with numbers of tenants and requests in proportion to the target's."""
    counters = _Counters()
    world = _CountingWorld(SEED)
    world.counters = counters
    names = [NodeId(f"zone-{number % 10}-{number}") for number in range(nodes)]
    tenants = [f"tenant-{number}" for number in range(int(TENANTS_PER_NODE * nodes))]
    for name in names:
        world.add(name, ZoneName("z"), lambda _boot, name=name: _build_process(name, counters))  # type: ignore[misc]
    world.start_all()
    _announce_members_and_accounts(world, names, tenants)
    _schedule_requests(world, names, tenants, counters)
    world.run_for(WARM_UP_S)
    for counter in (counters.messages, counters.bytes):
        counter.clear()
    counters.cpu_ns = 0
    world.run_for(WINDOW_S)
    node_seconds = nodes * WINDOW_S
    return QuotaCost(
        nodes=nodes,
        bytes=counters.bytes.total() / node_seconds,
        messages=counters.messages.total() / node_seconds,
        busiest_bytes=max(counters.bytes.values(), default=0) / WINDOW_S,
        cpu_ms=counters.cpu_ns / 1e6 / node_seconds,
        refused_share=counters.refused / max(1, counters.requested),
    )


def _build_process(name: NodeId, counters: _Counters) -> Process:
    return _QuotaProcess(QuotaAllocator(name, random.Random(f"{SEED} {name}")), counters)


def _announce_members_and_accounts(world: World, names: list[NodeId], tenants: list[str]) -> None:
    address = Address("10.0.0.1:7000")
    records = {name: NodeRecord(name, ZoneName("z"), address, address, address) for name in names}
    rate = AccountRate(tokens_per_s=200_000.0, burst_tokens=400_000.0)
    accounts = AccountsChanged(dict.fromkeys(tenants, rate))
    for name in names:
        world.deliver(name, QuotaMembersChanged(MembershipView(own=name, nodes=records)))
        world.deliver(name, accounts)


def _schedule_requests(world: World, names: list[NodeId], tenants: list[str], counters: _Counters) -> None:
    source = random.Random(f"requests {SEED}")
    weights = list(numpy.cumsum(numpy.arange(1, len(tenants) + 1, dtype=float) ** -ZIPF_EXPONENT))

    def request(name: NodeId) -> None:
        tenant = source.choices(tenants, cum_weights=weights)[0]
        world.call(name, lambda process: _reserve(process, tenant, world.now, counters))
        world.scheduler.at(world.now + source.expovariate(REQUESTS_PER_NODE_S), lambda: request(name))

    for name in names:
        world.scheduler.at(source.random(), lambda name=name: request(name))  # type: ignore[misc]


def _reserve(process: Process, tenant: str, now: float, counters: _Counters) -> None:
    assert isinstance(process, _QuotaProcess)
    counters.requested += 1
    counters.refused += not process.allocator.reserve(tenant, TOKENS_PER_REQUEST, now)


def measure_quota_cost(nodes_max: int = 360) -> BenchResult:
    """Measure all fleet sizes up to ``nodes_max``."""
    costs = [measure_fleet_size(nodes) for nodes in SIZES if nodes <= nodes_max]
    rows = tuple(
        (
            cost.nodes,
            int(TENANTS_PER_NODE * cost.nodes),
            cost.bytes,
            cost.busiest_bytes,
            cost.messages,
            cost.cpu_ms,
            cost.refused_share,
        )
        for cost in costs
    )
    tables = [
        Table(
            title="Quota messages, a node a second (virtual time)",
            columns=("nodes", "tenants", "bytes", "busiest", "messages", "CPU ms", "refused share"),
            rows=rows,
            notes=(
                f"{REQUESTS_PER_NODE_S:.1f} requests per node and second of {TOKENS_PER_REQUEST:.0f} tokens, "
                "tenants drawn by Zipf's law at every node, no tenant over its quota. "
                "Bytes include the envelope.",
            ),
        )
    ]
    if len(costs) > 1:
        slope = fit([float(cost.nodes) for cost in costs], [cost.bytes for cost in costs])
        row = (slope.base, slope.per_unit, slope.at(360.0), slope.largest_residual)
        tables.append(
            Table(
                title="Slope of the bytes",
                columns=("base", "for each node", "at 360", "residual"),
                rows=(row,),
            )
        )
    return BenchResult(
        name="quota",
        command=f"springmux lab bench --only quota --nodes-max {nodes_max}",
        tables=tuple(tables),
    )
