"""A draining engine whose heartbeats are late gets no request, whatever becomes of the other engines."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from springmux.agent.directory.entry import DirectoryEntry
from springmux.vocabulary.engines import EngineStatus
from tests.unit.bad_days import gateway_rules as rules
from tests.unit.bad_days.engine_reports import EngineReports, add_reporting_engines
from tests.unit.bad_days.gateway_fleet import SETTLED_S, GatewayFleet
from tests.unit.bad_days.model_engines import ModelEngine
from tests.unit.node.gateway.scripted_engines import play

LEAVES_AT = 4.0
AFTER_TIMEOUT_S = 3.0
REQUESTS_PER_S = 40.0
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
        add_reporting_engines(fleet)
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
