"""What engines say of themselves: a DELETE without a drain, late heartbeats, nodes that hear nothing.

The real endpoints feed a real directory, whose view the forwarders of a fleet go by.
"""

from __future__ import annotations

import random
from typing import Any

import msgspec
import pytest

from springmux.agent.directory import engine_directory as directory_module
from springmux.agent.directory.engine_directory import EngineDirectory
from springmux.agent.directory.entry import DirectoryEntry, refresh_entry
from springmux.agent.readiness import CUT_OFF, JOINING, STARTING, STOPPING
from springmux.coordination.identifiers import NodeId
from springmux.coordination.state_machine import Event
from springmux.node.gateway import engine_endpoints
from springmux.node.gateway.engine_endpoints import EngineEndpoints, HeartbeatBody
from springmux.vocabulary.engines import EngineRecord, EngineStatus
from tests.unit.bad_days import gateway_rules as rules
from tests.unit.bad_days.gateway_fleet import SAFE, SETTLED_S, STREAM, TEXT, V1, GatewayFleet
from tests.unit.bad_days.model_engines import Behaviour, ModelEngine
from tests.unit.node.gateway.scripted_engines import now, play
from tests.unit.node.gateway.stand_ins import RecordingClient

LEAVES_AT, ENDS_AT, END = 4.0, 6.0, 8.0
LATE_S = 0.3
"""A heartbeat sent before the engine left arrives so much after."""
AFTER_TIMEOUT_S = 3.0
PER_S = 40.0
SERVICE_S = 0.2


class HearingNode:
    """Stands for the agent of the node that engines talk to."""

    def __init__(self, reason: str = "") -> None:
        self.not_ready_reason = reason
        self.ready = not reason


class Reports:
    """Engines' words, as they reach the directory that a fleet goes by."""

    def __init__(self, fleet: GatewayFleet, reason: str = "") -> None:
        self._fleet = fleet
        self.directory = EngineDirectory(NodeId("n0"), random.Random(1))
        self._endpoints = EngineEndpoints(HearingNode(reason), self._hear)  # type: ignore[arg-type]

    async def put(self, engine: str, sequence: int, state: str = "ready") -> int:
        """Deliver a heartbeat; return the status of its answer."""
        heartbeat = HeartbeatBody(TEXT, f"{engine}:80", V1, slots=32, state=state, sequence=sequence)  # type: ignore[arg-type]
        return (await self._endpoints.handle("PUT", engine, _said(heartbeat))).status

    async def delete(self, engine: str) -> int:
        """Deliver a DELETE; return the status of its answer."""
        return (await self._endpoints.handle("DELETE", engine, RecordingClient(body=b""))).status

    def _hear(self, event: Event) -> None:
        self.directory.handle(event, now())
        for node in self._fleet.nodes:
            node.core.update_engines(self.directory.view, now())


def _said(heartbeat: HeartbeatBody) -> RecordingClient:
    return RecordingClient(body=msgspec.json.encode(heartbeat))


def engine_leaves(drains_first: bool) -> GatewayFleet:
    """One of two engines leaves under load; a heartbeat that it sent before arrives after that."""
    fleets: list[GatewayFleet] = []

    async def story() -> None:
        fleet = GatewayFleet(8, engines=0)
        fleets.append(fleet)
        reports = Reports(fleet)
        for name in ("e0", "e1"):
            fleet.farm.engines[name] = ModelEngine(name, Behaviour(service_s=SERVICE_S))
            assert await reports.put(name, 1) == 200
        fleet.press(SETTLED_S, END, PER_S, kinds=(SAFE, STREAM))
        fleet.at_once(
            LEAVES_AT, lambda: reports.put("e0", 3, "draining") if drains_first else reports.delete("e0")
        )
        fleet.at_once(LEAVES_AT + LATE_S, lambda: reports.put("e0", 2))
        fleet.at(ENDS_AT, fleet.farm.engines["e0"].crash)
        if drains_first:
            fleet.at_once(ENDS_AT, lambda: reports.delete("e0"))
        await fleet.run(END + AFTER_TIMEOUT_S)

    play(story())
    return fleets[0]


def tried_after_it_left(fleet: GatewayFleet) -> int:
    return sum(name == "e0" and at - fleet.began > LEAVES_AT for at, name in fleet.farm.tries)


@pytest.mark.parametrize("drains_first", [True, False], ids=["draining first", "DELETE first"])
def test_an_engine_that_leaves_gets_nothing_new_and_finishes_what_it_has(drains_first: bool) -> None:
    fleet = engine_leaves(drains_first)
    rules.check_safety(fleet)
    assert tried_after_it_left(fleet) == 0
    assert rules.served_share(fleet, SETTLED_S, END) == 1.0
    begun = [
        run for run in fleet.farm.runs if run.engine == "e0" and run.at - fleet.began > LEAVES_AT - SERVICE_S
    ]
    assert begun, "nothing ran at the engine as it left"
    assert all(node.core.counters.retries == 0 for node in fleet.nodes)


def test_the_checker_sees_a_delete_that_is_not_heard(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(directory_module, "stop_entry", lambda entry, left: entry)
    assert tried_after_it_left(engine_leaves(drains_first=False)) > 0


def test_the_checker_sees_a_late_heartbeat_that_takes_a_drain_back(monkeypatch: pytest.MonkeyPatch) -> None:
    def believe(
        known: DirectoryEntry, record: EngineRecord, draining: bool, announced: bool
    ) -> DirectoryEntry:
        return refresh_entry(known, record, draining, announced=True)

    monkeypatch.setattr(directory_module, "refresh_entry", believe)
    assert tried_after_it_left(engine_leaves(drains_first=True)) > 0


def capacity_after_a_late_heartbeat() -> int:
    """The newest heartbeat says 8 slots; one sent before it, which says 32, arrives last."""
    found: list[int] = []

    async def story() -> None:
        reports = Reports(GatewayFleet(9, engines=0))
        for sequence, slots in ((1, 32), (3, 8), (2, 32)):
            heartbeat = HeartbeatBody(TEXT, "e0:80", V1, slots=slots, sequence=sequence)
            await reports._endpoints.handle("PUT", "e0", _said(heartbeat))
        found.extend(record.capacity for record in reports.directory.view.engines.values())

    play(story())
    return found[0]


def test_a_late_heartbeat_does_not_change_newer_facts_back() -> None:
    assert capacity_after_a_late_heartbeat() == 8


def test_the_checker_sees_a_late_heartbeat_taken_as_the_newest(monkeypatch: pytest.MonkeyPatch) -> None:
    def newest(
        known: DirectoryEntry, record: EngineRecord, draining: bool, announced: bool
    ) -> DirectoryEntry:
        newer = msgspec.structs.replace(record, sequence=known.record.sequence + 1)
        return refresh_entry(known, newer, draining, announced)

    monkeypatch.setattr(directory_module, "refresh_entry", newest)
    assert capacity_after_a_late_heartbeat() != 8


def acknowledged_in_vain(reason: str) -> bool:
    """Say whether a node that nobody may hear acknowledges that an engine leaves."""
    answers: list[int] = []

    async def story() -> None:
        reports = Reports(GatewayFleet(10, engines=0), reason)
        answers.append(await reports.put("e0", 1, "draining"))
        answers.append(await reports.delete("e0"))

    play(story())
    assert set(answers) <= {200, 503}
    return 200 in answers


DEAF = [STARTING, JOINING, CUT_OFF, STOPPING]


@pytest.mark.parametrize("reason", DEAF)
def test_a_node_that_nobody_may_hear_acknowledges_nothing(reason: str) -> None:
    assert not acknowledged_in_vain(reason)


def test_the_checker_sees_an_acknowledgement_in_vain(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(engine_endpoints, "ISOLATED_REASONS", frozenset[Any]())
    assert all(acknowledged_in_vain(reason) for reason in DEAF)


def test_lost_and_left_are_told_apart() -> None:
    """Given a DELETE, the directory lists the engine as gone for good, not as silent."""

    async def story() -> None:
        reports = Reports(GatewayFleet(11, engines=0))
        await reports.put("e0", 1)
        await reports.delete("e0")
        await reports.put("e0", 2)
        statuses = {record.status for record in reports.directory.view.engines.values()}
        assert statuses == {EngineStatus.LEFT}

    play(story())
