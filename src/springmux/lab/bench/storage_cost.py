"""Throughput of the control log with fsync, and the recovery time of the fleet after a restart."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import aiohttp

from springmux.coordination.consensus.effects import Persist
from springmux.coordination.consensus.types import Entry, EntryKind
from springmux.coordination.identifiers import LogIndex, Term
from springmux.fleet.layout import FleetLayout, FleetOptions, NodeSpec, create_layout
from springmux.fleet.supervisor import Supervisor
from springmux.lab.bench.relay_deployment import BenchProcessError
from springmux.lab.bench.report import BenchResult, Table
from springmux.lab.bench.slopes import quantile
from springmux.storage.real_disk import RealDisk
from springmux.storage.replica_store import ReplicaStore

STORE_BATCHES = 1000
ENTRY_BYTES = 300
"""Approximate size of an encoded change of a tenant's quota."""
GROUPED_ENTRIES = 16
ADMIN_CHANGES = 1000
CLIENT_COUNTS = (1, 8, 32)
RECOVERY_BOUND_S = 12.0
"""Upper bound of the time until the fleet serves requests again after a restart."""
_READY_TIMEOUT_S = 60.0
_POLL_S = 0.05


def measure_storage_cost(folder: Path) -> BenchResult:
    """Measure the store of one replica, then a fleet of three nodes as processes."""
    folder.mkdir(parents=True, exist_ok=True)
    store = _measure_store(folder)
    changes, restart = asyncio.run(_measure_fleet(folder))
    return BenchResult(
        name="storage", command="springmux lab bench --only storage", tables=(store, changes, restart)
    )


def _measure_store(folder: Path) -> Table:
    rows = [_measure_appends(folder / f"store-{entries}", entries) for entries in (1, GROUPED_ENTRIES)]
    return Table(
        title="One replica's store, fsync before each acknowledgement",
        columns=(
            "entries a batch",
            "batches",
            "batches a second",
            "entries a second",
            "open again s",
        ),
        rows=tuple(rows),
    )


def _measure_appends(folder: Path, entries: int) -> tuple[int, int, float, float, float]:
    folder.mkdir()
    store = ReplicaStore(RealDisk(folder), "replica")
    store.open()
    index = 0
    began = time.perf_counter()
    for batch in range(1, STORE_BATCHES + 1):
        new_entries = tuple(
            Entry(LogIndex(index + number), Term(1), EntryKind.COMMAND, b"x" * ENTRY_BYTES)
            for number in range(1, entries + 1)
        )
        index += entries
        store.persist(Persist(batch=batch, entries=new_entries))
    seconds = time.perf_counter() - began
    store.close()
    began = time.perf_counter()
    reopened_store = ReplicaStore(RealDisk(folder), "replica")
    recovered = reopened_store.open()
    reopen_s = time.perf_counter() - began
    reopened_store.close()
    if len(recovered.entries) != index:
        raise BenchProcessError(
            f"{len(recovered.entries)} of {index} entries were recovered after reopening the store"
        )
    return (entries, STORE_BATCHES, STORE_BATCHES / seconds, index / seconds, reopen_s)


async def _measure_fleet(folder: Path) -> tuple[Table, Table]:
    specs = [NodeSpec(node=f"bench-{zone}", zone=zone, controller=True) for zone in ("a", "b", "c")]
    layout = create_layout(folder / "fleet", specs, FleetOptions(log_level="warning"))
    supervisor = Supervisor(layout)
    try:
        supervisor.start_all()
        async with aiohttp.ClientSession() as session:
            await _wait_until_all_ready(session, layout)
            rows = [await _measure_changes(session, layout, clients) for clients in CLIENT_COUNTS]
            restart = await _measure_restart(session, supervisor, layout)
    finally:
        supervisor.stop_all()
    changes = Table(
        title="Acknowledged changes over three nodes' admin interfaces on loopback, fsync on",
        columns=("clients", "changes", "failed", "a second", "p50 ms", "p99 ms"),
        rows=tuple(rows),
    )
    return changes, restart


async def _measure_changes(
    session: aiohttp.ClientSession, layout: FleetLayout, clients: int
) -> tuple[int, int, int, float, float, float]:
    count = ADMIN_CHANGES if clients > 1 else ADMIN_CHANGES // 4
    numbers = iter(range(count))
    response_times_ms: list[float] = []
    failed = 0

    async def run_client(client: int) -> None:
        nonlocal failed
        address = layout.nodes[client % len(layout.nodes)].admin_address
        for number in numbers:
            url = f"http://{address}/v1/tenants/bench-{number % 100}"
            body = {"tokens_per_s": 100.0 + number, "burst_tokens": 1000.0}
            began = time.perf_counter()
            async with session.put(url, json=body) as response:
                await response.read()
                failed += response.status != 200
            response_times_ms.append(1000 * (time.perf_counter() - began))

    began = time.perf_counter()
    await asyncio.gather(*(run_client(client) for client in range(clients)))
    seconds = time.perf_counter() - began
    return (
        clients,
        count,
        failed,
        count / seconds,
        quantile(response_times_ms, 0.5),
        quantile(response_times_ms, 0.99),
    )


async def _measure_restart(
    session: aiohttp.ClientSession, supervisor: Supervisor, layout: FleetLayout
) -> Table:
    revision = await _read_revision(session, layout)
    supervisor.kill_all()
    began = time.perf_counter()
    supervisor.start_all()
    await _wait_until_all_ready(session, layout)
    seconds = time.perf_counter() - began
    after = await _read_revision(session, layout)
    return Table(
        title="All three nodes killed at once and started again",
        columns=("changes made", "revision before", "revision after", "all ready after s", "promise s"),
        rows=((ADMIN_CHANGES * 2 + ADMIN_CHANGES // 4, revision, after, seconds, RECOVERY_BOUND_S),),
    )


async def _read_revision(session: aiohttp.ClientSession, layout: FleetLayout) -> int:
    async with session.get(f"http://{layout.nodes[0].admin_address}/v1/configuration") as response:
        configuration = await response.json()
        return int(configuration["revision"])


async def _wait_until_all_ready(session: aiohttp.ClientSession, layout: FleetLayout) -> None:
    deadline = time.monotonic() + _READY_TIMEOUT_S
    while True:
        if all([await _is_ready(session, node.admin_address) for node in layout.nodes]):
            return
        if time.monotonic() > deadline:
            raise BenchProcessError("not every node of the fleet became ready in time")
        await asyncio.sleep(_POLL_S)


async def _is_ready(session: aiohttp.ClientSession, address: str) -> bool:
    try:
        async with session.get(f"http://{address}/readyz") as response:
            return response.status == 200
    except aiohttp.ClientError:
        return False
