"""Reports of engines: a DELETE without a drain, late heartbeats, and isolated nodes.

The real endpoints pass events to a real directory, whose view the forwarders of a fleet use.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from springmux.agent.directory import engine_directory as directory_module
from springmux.agent.directory.engine_directory import EngineDirectory
from springmux.agent.directory.entry import DirectoryEntry, refresh_entry
from springmux.agent.readiness import CUT_OFF, JOINING, STARTING, STOPPING
from springmux.coordination.identifiers import NodeId
from springmux.coordination.state_machine import Event, Tick
from springmux.node.gateway import engine_endpoints
from springmux.node.gateway.engine_endpoints import EngineEndpoints, HeartbeatBody
from springmux.vocabulary.engines import EngineRecord, EngineStatus
from tests.unit.bad_days import gateway_rules as rules
from tests.unit.bad_days.gateway_fleet import SAFE, SETTLED_S, STREAM, TEXT, V1, GatewayFleet
from tests.unit.bad_days.model_engines import Behaviour, ModelEngine
from tests.unit.node.gateway.scripted_engines import now, play
from tests.unit.node.gateway.stand_ins import RecordingClient

LEAVES_AT, ENDS_AT, END = 4.0, 6.0, 8.0
HEARTBEAT_DELAY_S = 0.3
"""Time after the engine's departure at which a heartbeat that it sent earlier arrives."""
AFTER_TIMEOUT_S = 3.0
MONITOR_PERIOD_S = 0.1
REQUESTS_PER_S = 40.0
SERVICE_S = 0.2


class ReportingNode:
    """Stands in for the agent of the node to which engines report."""

    def __init__(self, reason: str = "") -> None:
        self.not_ready_reason = reason
        self.ready = not reason


class EngineReports:
    """Delivers reports of engines to the directory that the nodes of a fleet use."""

    def __init__(self, fleet: GatewayFleet, reason: str = "") -> None:
        self._fleet = fleet
        self.directory = EngineDirectory(NodeId("n0"), random.Random(1))
        self._endpoints = EngineEndpoints(ReportingNode(reason), self._handle_event)  # type: ignore[arg-type]

    async def put(self, engine: str, sequence: int, state: str = "ready") -> int:
        """Send a heartbeat and return the status of the response."""
        heartbeat = HeartbeatBody(TEXT, f"{engine}:80", V1, slots=32, state=state, sequence=sequence)  # type: ignore[arg-type]
        return (await self._endpoints.handle("PUT", engine, _request_with(heartbeat))).status

    async def delete(self, engine: str) -> int:
        """Send a DELETE and return the status of the response."""
        return (await self._endpoints.handle("DELETE", engine, RecordingClient(body=b""))).status

    async def monitor_heartbeats(self) -> None:
        """Let the directory notice missing heartbeats until the task is cancelled."""
        while True:
            await asyncio.sleep(MONITOR_PERIOD_S)
            self._handle_event(Tick())

    def _handle_event(self, event: Event) -> None:
        self.directory.handle(event, now())
        for node in self._fleet.nodes:
            node.core.update_engines(self.directory.view, now())


def _request_with(heartbeat: HeartbeatBody) -> RecordingClient:
    return RecordingClient(body=msgspec.json.encode(heartbeat))


def engine_leaves(drains_first: bool) -> GatewayFleet:
    """Let one of two engines leave under load; a heartbeat that it sent before arrives afterwards."""
    fleets: list[GatewayFleet] = []

    async def scenario() -> None:
        fleet = GatewayFleet(8, engines=0)
        fleets.append(fleet)
        reports = EngineReports(fleet)
        for name in ("e0", "e1"):
            fleet.engine_client.engines[name] = ModelEngine(name, Behaviour(service_s=SERVICE_S))
            assert await reports.put(name, 1) == 200
        fleet.generate_load(SETTLED_S, END, REQUESTS_PER_S, kinds=(SAFE, STREAM))
        fleet.schedule_coroutine(
            LEAVES_AT, lambda: reports.put("e0", 3, "draining") if drains_first else reports.delete("e0")
        )
        fleet.schedule_coroutine(LEAVES_AT + HEARTBEAT_DELAY_S, lambda: reports.put("e0", 2))
        fleet.schedule(ENDS_AT, fleet.engine_client.engines["e0"].crash)
        if drains_first:
            fleet.schedule_coroutine(ENDS_AT, lambda: reports.delete("e0"))
        await fleet.run(END + AFTER_TIMEOUT_S)

    play(scenario())
    return fleets[0]


def attempts_after_it_left(fleet: GatewayFleet) -> int:
    return sum(
        name == "e0" and at - fleet.started_at > LEAVES_AT for at, name in fleet.engine_client.attempts
    )


@pytest.mark.parametrize("drains_first", [True, False], ids=["draining first", "DELETE first"])
def test_an_engine_that_leaves_gets_no_new_request_and_finishes_its_active_ones(drains_first: bool) -> None:
    fleet = engine_leaves(drains_first)
    rules.check_safety(fleet)
    assert attempts_after_it_left(fleet) == 0
    assert rules.success_share(fleet, SETTLED_S, END) == 1.0
    begun = [
        run
        for run in fleet.engine_client.runs
        if run.engine == "e0" and run.started_at - fleet.started_at > LEAVES_AT - SERVICE_S
    ]
    assert begun, "nothing ran at the engine as it left"
    assert all(node.core.counters.retries == 0 for node in fleet.nodes)


def test_checker_detects_an_ignored_delete(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(directory_module, "stop_entry", lambda entry, left: entry)
    assert attempts_after_it_left(engine_leaves(drains_first=False)) > 0


def test_checker_detects_a_late_heartbeat_that_cancels_a_drain(monkeypatch: pytest.MonkeyPatch) -> None:
    def accept_late_heartbeat(
        known: DirectoryEntry, record: EngineRecord, draining: bool, announced: bool
    ) -> DirectoryEntry:
        return refresh_entry(known, record, draining, announced=True)

    monkeypatch.setattr(directory_module, "refresh_entry", accept_late_heartbeat)
    assert attempts_after_it_left(engine_leaves(drains_first=True)) > 0


DRAIN_S = 2.0
"""Time after the acknowledgement in which requests may still reach a draining engine."""
HEARTBEAT_S = 1.0
LATE_HEARTBEAT_AT = 9.5
OTHER_FAILS_AT = 7.5
LATE_END = 11.0
OTHER_FAULTS: dict[str, Callable[[ModelEngine], object]] = {
    "crashes": ModelEngine.crash,
    "stops responding": ModelEngine.stop_responding,
    "is full": lambda engine: setattr(engine.behaviour, "slots", 0),
    "fails requests": lambda engine: setattr(engine.behaviour, "failure_share", 1.0),
    "loses its address": lambda engine: setattr(engine, "identity", "page-1"),
}


def other_engine_fails_while_a_heartbeat_is_late(fault: str) -> GatewayFleet:
    """Let e0 drain and its next heartbeat be late; meanwhile e1, the only other engine, has a fault."""
    fleets: list[GatewayFleet] = []

    async def scenario() -> None:
        fleet = GatewayFleet(12, engines=0)
        fleets.append(fleet)
        reports = EngineReports(fleet)
        monitor = asyncio.create_task(reports.monitor_heartbeats())
        for name in ("e0", "e1"):
            fleet.engine_client.engines[name] = ModelEngine(name, Behaviour(service_s=SERVICE_S))
        for sequence in range(int(LATE_END / HEARTBEAT_S)):
            at = sequence * HEARTBEAT_S
            fleet.schedule_coroutine(at, lambda sequence=sequence: reports.put("e1", sequence))
            if at < LEAVES_AT:
                fleet.schedule_coroutine(at, lambda sequence=sequence: reports.put("e0", sequence))
        for sequence, at in ((20, LEAVES_AT), (21, LATE_HEARTBEAT_AT)):
            fleet.schedule_coroutine(at, lambda sequence=sequence: reports.put("e0", sequence, "draining"))
        fleet.generate_load(SETTLED_S, LATE_END, REQUESTS_PER_S)
        fleet.schedule(OTHER_FAILS_AT, lambda: OTHER_FAULTS[fault](fleet.engine_client.engines["e1"]))
        await fleet.run(LATE_END + AFTER_TIMEOUT_S)
        monitor.cancel()

    play(scenario())
    return fleets[0]


def attempts_after_its_drain(fleet: GatewayFleet) -> int:
    latest = LEAVES_AT + DRAIN_S
    return sum(name == "e0" and at - fleet.started_at > latest for at, name in fleet.engine_client.attempts)


@pytest.mark.parametrize("fault", OTHER_FAULTS)
def test_a_draining_engine_whose_heartbeat_is_late_is_no_last_resort(fault: str) -> None:
    """Guards against requests to a draining engine that is taken for lost, once no other is usable."""
    fleet = other_engine_fails_while_a_heartbeat_is_late(fault)
    rules.check_safety(fleet)
    assert attempts_after_its_drain(fleet) == 0
    assert rules.success_share(fleet, SETTLED_S, OTHER_FAILS_AT - 1.0) == 1.0
    assert rules.success_share(fleet, OTHER_FAILS_AT + 1.0, LATE_END) < 0.5, "e1 was to be unusable"


def test_checker_detects_a_drain_that_is_hidden_by_lost(monkeypatch: pytest.MonkeyPatch) -> None:
    def lost_first(entry: DirectoryEntry) -> EngineStatus:
        if entry.left:
            return EngineStatus.LEFT
        if entry.lost:
            return EngineStatus.LOST
        return EngineStatus.DRAINING if entry.draining else EngineStatus.READY

    monkeypatch.setattr(DirectoryEntry, "status", property(lost_first))
    assert attempts_after_its_drain(other_engine_fails_while_a_heartbeat_is_late("crashes")) > 0


def capacity_after_a_late_heartbeat() -> int:
    """Return the listed capacity after a heartbeat with 8 slots and an older, delayed one with 32."""
    capacities: list[int] = []

    async def scenario() -> None:
        reports = EngineReports(GatewayFleet(9, engines=0))
        for sequence, slots in ((1, 32), (3, 8), (2, 32)):
            heartbeat = HeartbeatBody(TEXT, "e0:80", V1, slots=slots, sequence=sequence)
            await reports._endpoints.handle("PUT", "e0", _request_with(heartbeat))
        capacities.extend(record.capacity for record in reports.directory.view.engines.values())

    play(scenario())
    return capacities[0]


def test_a_late_heartbeat_does_not_overwrite_newer_values() -> None:
    assert capacity_after_a_late_heartbeat() == 8


def test_checker_detects_a_late_heartbeat_accepted_as_the_newest(monkeypatch: pytest.MonkeyPatch) -> None:
    def accept_as_newest(
        known: DirectoryEntry, record: EngineRecord, draining: bool, announced: bool
    ) -> DirectoryEntry:
        newer = msgspec.structs.replace(record, sequence=known.record.sequence + 1)
        return refresh_entry(known, newer, draining, announced)

    monkeypatch.setattr(directory_module, "refresh_entry", accept_as_newest)
    assert capacity_after_a_late_heartbeat() != 8


def isolated_node_acknowledges(reason: str) -> bool:
    """Return whether a node that is not ready for ``reason`` acknowledges that an engine drains or leaves."""
    statuses: list[int] = []

    async def scenario() -> None:
        reports = EngineReports(GatewayFleet(10, engines=0), reason)
        statuses.append(await reports.put("e0", 1, "draining"))
        statuses.append(await reports.delete("e0"))

    play(scenario())
    assert set(statuses) <= {200, 503}
    return 200 in statuses


ISOLATED_NODE_REASONS = [STARTING, JOINING, CUT_OFF, STOPPING]


@pytest.mark.parametrize("reason", ISOLATED_NODE_REASONS)
def test_a_node_that_may_be_isolated_acknowledges_no_report(reason: str) -> None:
    assert not isolated_node_acknowledges(reason)


def test_checker_detects_an_acknowledgement_of_an_isolated_node(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(engine_endpoints, "ISOLATED_REASONS", frozenset[Any]())
    assert all(isolated_node_acknowledges(reason) for reason in ISOLATED_NODE_REASONS)


def test_an_engine_that_left_is_not_listed_as_lost() -> None:
    """After a DELETE the directory lists the engine as left, even if a late heartbeat arrives."""

    async def scenario() -> None:
        reports = EngineReports(GatewayFleet(11, engines=0))
        await reports.put("e0", 1)
        await reports.delete("e0")
        await reports.put("e0", 2)
        statuses = {record.status for record in reports.directory.view.engines.values()}
        assert statuses == {EngineStatus.LEFT}

    play(scenario())
