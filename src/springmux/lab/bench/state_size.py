"""Memory of each kind of state in one node, each measured separately at several sizes (tracemalloc)."""

from __future__ import annotations

import gc
import random
import time
import tracemalloc
from collections.abc import Callable

from springmux.agent.directory.engine_directory import EngineDirectory
from springmux.agent.events import EngineAnnounced
from springmux.control.commands import PutKey, PutTenant, encode_command
from springmux.control.state import ControlState
from springmux.control.view import Tenant
from springmux.coordination.identifiers import Address, NodeId, Revision, ZoneName
from springmux.coordination.membership.membership import Membership
from springmux.coordination.membership.messages import MemberState
from springmux.coordination.membership.view import NodeRecord
from springmux.coordination.quota.events import AccountRate, AccountsChanged
from springmux.coordination.quota.quota_allocator import QuotaAllocator
from springmux.coordination.state_machine import MessageReceived
from springmux.lab.bench.report import BenchResult, Table
from springmux.lab.bench.slopes import fit
from springmux.router.engine_table import EngineTable
from springmux.router.prefix_index import PrefixIndex, PromptPrefix
from springmux.vocabulary.engines import EngineRecord
from springmux.vocabulary.names import (
    EngineId,
    KeyDigest,
    KeyId,
    OrderId,
    ServiceName,
    TenantName,
    VersionName,
)

StateBuilder = Callable[[int], object]
TARGET_FRACTIONS = (0.1, 0.4, 1.0)
"""Fractions of the target's number of items at which memory is measured."""


def measure_state_size() -> BenchResult:
    """Measure the memory of each kind of state, and a control-state snapshot at the target size."""
    rows = []
    for name, target, build in STATE_KINDS:
        counts = [int(target * fraction) for fraction in TARGET_FRACTIONS]
        memory_bytes = [_measure_state_bytes(build, count) for count in counts]
        slope = fit([float(count) for count in counts], memory_bytes)
        rows.append((name, target, slope.per_unit, slope.at(float(target)) / 2**20, memory_bytes[-1] / 2**20))
    table = Table(
        title="Memory of one node's state",
        columns=("state", "at the target", "bytes for each", "MiB by the slope", "MiB held at the target"),
        rows=tuple(rows),
    )
    command = "springmux lab bench --only state"
    return BenchResult(name="state", command=command, tables=(table, _snapshot_table()))


def _measure_state_bytes(build: StateBuilder, count: int) -> float:
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    state = build(count)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert state is not None
    return float(after - before)


def _build_control_state(tenants: int) -> ControlState:
    """Return a control state with ``tenants`` tenants, each of which has one key."""
    state = ControlState()
    for number in range(tenants):
        tenant = Tenant(TenantName(f"tenant-{number}"), 100.0, 1000.0)
        put = PutTenant(order=OrderId(f"tenant-order-{number}"), tenant=tenant)
        state.apply(Revision(2 * number + 1), encode_command(put))
        key = PutKey(
            order=OrderId(f"key-order-{number}"),
            key=KeyId(f"key-{number}"),
            digest=KeyDigest(f"{number:064x}"),
            tenant=tenant.name,
        )
        state.apply(Revision(2 * number + 2), encode_command(key))
    return state


def _build_quota_allocator(tenants: int) -> QuotaAllocator:
    allocator = QuotaAllocator(NodeId("a"), random.Random(1))
    rates = {f"tenant-{number}": AccountRate(100.0, 1000.0) for number in range(tenants)}
    allocator.handle(AccountsChanged(rates), 1.0)
    return allocator


def _engine_record(number: int) -> EngineRecord:
    return EngineRecord(
        engine=EngineId(f"engine-{number}"),
        service=ServiceName(f"model-{number % 14}"),
        version=VersionName("v1"),
        address=Address(f"10.1.{number // 250}.{number % 250}:8000"),
        capacity=16,
        incarnation=number,
        zone=ZoneName(f"zone-{number % 10}"),
    )


def _build_engine_state(count: int) -> object:
    directory = EngineDirectory(NodeId("a"), random.Random(1))
    for number in range(count):
        directory.handle(EngineAnnounced(_engine_record(number)), 1.0)
    table = EngineTable()
    table.update(directory.view)
    return directory, table


def _build_prefix_index(blocks: int) -> PrefixIndex:
    index = PrefixIndex()
    table = EngineTable()
    directory = EngineDirectory(NodeId("a"), random.Random(1))
    for number in range(8):
        directory.handle(EngineAnnounced(_engine_record(number)), 1.0)
    table.update(directory.view)
    slots = list(table.slots.values())
    source = random.Random(1)
    for number in range(blocks):
        index.record(PromptPrefix(number, (source.getrandbits(64),)), slots[number % 8])
    return index


def _build_membership(nodes: int) -> Membership:
    address = Address("10.0.0.1:7000")
    own = NodeRecord(NodeId("own"), ZoneName("zone-0"), address, address, address)
    membership = Membership(own, (), random.Random(1))
    records = tuple(
        NodeRecord(
            NodeId(f"node-{number}"),
            ZoneName(f"zone-{number % 10}"),
            Address(f"10.0.{number // 250}.{number % 250}:7000"),
            Address(f"10.0.{number // 250}.{number % 250}:7001"),
            Address(f"10.0.{number // 250}.{number % 250}:7002"),
        )
        for number in range(nodes)
    )
    membership.handle(MessageReceived(NodeId("node-0"), MemberState(records)), 1.0)
    return membership


STATE_KINDS: tuple[tuple[str, int, StateBuilder], ...] = (
    ("tenants with one key each (control state)", 17_000, _build_control_state),
    ("tenants' rates (quota)", 17_000, _build_quota_allocator),
    ("engines (directory and router's table)", 2_900, _build_engine_state),
    ("prefix blocks (index, its bound)", 65_536, _build_prefix_index),
    ("nodes (membership)", 360, _build_membership),
)


def _snapshot_table() -> Table:
    state = _build_control_state(17_000)
    began = time.perf_counter()
    snapshot_data = state.snapshot()
    snapshot_s = time.perf_counter() - began
    began = time.perf_counter()
    ControlState().restore(snapshot_data)
    restore_s = time.perf_counter() - began
    return Table(
        title="Image of the control state with 17,000 tenants",
        columns=("MiB", "made in s", "restored in s"),
        rows=((len(snapshot_data) / 2**20, snapshot_s, restore_s),),
        notes=("The snapshot is made on the event loop.",),
    )
