"""Reports of engines: a DELETE without a drain, late heartbeats, and isolated nodes."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from springmux.agent.directory import engine_directory as directory_module
from springmux.agent.directory.entry import DirectoryEntry, refresh_entry
from springmux.agent.readiness import CUT_OFF, JOINING, STARTING, STOPPING
from springmux.node.gateway import engine_endpoints
from springmux.node.gateway.engine_endpoints import HeartbeatBody
from springmux.vocabulary.engines import EngineRecord, EngineStatus
from tests.unit.bad_days import gateway_rules as rules
from tests.unit.bad_days.engine_reports import SERVICE_S, EngineReports, add_reporting_engines
from tests.unit.bad_days.gateway_fleet import SAFE, SETTLED_S, STREAM, TEXT, V1, GatewayFleet
from tests.unit.node.gateway.scripted_engines import play

LEAVES_AT, ENDS_AT, END = 4.0, 6.0, 8.0
HEARTBEAT_DELAY_S = 0.3
"""Time after the engine's departure at which a heartbeat that it sent earlier arrives."""
AFTER_TIMEOUT_S = 3.0
REQUESTS_PER_S = 40.0


def engine_leaves(drains_first: bool) -> GatewayFleet:
    """Let one of two engines leave under load; a heartbeat that it sent before arrives afterwards."""
    fleets: list[GatewayFleet] = []

    async def scenario() -> None:
        fleet = GatewayFleet(8, engines=0)
        fleets.append(fleet)
        reports = EngineReports(fleet)
        add_reporting_engines(fleet)
        for name in ("e0", "e1"):
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


def capacity_after_a_late_heartbeat() -> int:
    """Return the listed capacity after a heartbeat with 8 slots and an older, delayed one with 32."""
    capacities: list[int] = []

    async def scenario() -> None:
        reports = EngineReports(GatewayFleet(9, engines=0))
        for sequence, slots in ((1, 32), (3, 8), (2, 32)):
            heartbeat = HeartbeatBody(TEXT, "e0:80", V1, slots=slots, sequence=sequence)
            await reports.put_heartbeat("e0", heartbeat)
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
