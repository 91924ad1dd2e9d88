"""The driver and the storage worker: order of events and effects, timers, disk stalls, crashes.

Guards against effects that are executed out of order, against failed writes that are reported as durable, and
against a node that continues after its agent failed.
"""

import asyncio
import io
import json
import threading
from collections.abc import Callable

import pytest

from springmux.agent.effects import (
    ClaimAnswered,
    ControlChanged,
    OrderAnswered,
    PrepareCommands,
    WriteSnapshot,
)
from springmux.agent.events import CommandsPrepared
from springmux.control.commands import RevokeKey
from springmux.control.delivery.arrival import Arrival, DeliveryMethod
from springmux.coordination.claims.decision import ClaimDecision, ClaimVerdict
from springmux.coordination.consensus.effects import (
    CompactLog,
    DiskStalled,
    Persist,
    Persisted,
    PersistFailed,
    ReplicaStopped,
    SnapshotFailed,
    SnapshotTaken,
)
from springmux.coordination.consensus.types import GroupMembers, SnapshotMeta
from springmux.coordination.identifiers import LogIndex, Revision, Term
from springmux.coordination.state_machine import NEVER, Effect, Event, LogLine, Tick
from springmux.node.driver import AgentDriver
from springmux.node.logs import EventLog
from springmux.node.metrics.registry import NodeMetrics
from springmux.node.storage.worker import StorageWorker
from springmux.storage.disk import DiskFailedError, DiskFullError
from springmux.vocabulary.names import KeyId, OrderId
from tests.unit.node.support import until

META = SnapshotMeta(LogIndex(4), Term(1), GroupMembers(()))


class RecordingControl:
    """Records the prepared commands, and whether that happened in the main thread."""

    def __init__(self) -> None:
        self.prepared: list[tuple[bytes, bool]] = []

    def prepare(self, data: bytes) -> None:
        self.prepared.append((data, threading.current_thread() is threading.main_thread()))


class RecordingAgent:
    """Records events; ``respond`` returns the effects of an event."""

    def __init__(self, respond: Callable[[Event], list[Effect]] = lambda _: []) -> None:
        self.respond = respond
        self.events: list[Event] = []
        self.deadline = NEVER
        self.control = RecordingControl()

    def start(self, now: float) -> list[Effect]:
        return []

    def next_deadline(self) -> float:
        return self.deadline

    def handle(self, event: Event, now: float) -> list[Effect]:
        self.events.append(event)
        if isinstance(event, Tick):
            assert now >= self.deadline
            self.deadline = NEVER
        return self.respond(event)


class FakeStore:
    """Store whose calls can be blocked and can fail."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.gate = threading.Event()
        self.gate.set()
        self.error: Exception | None = None

    def _call(self, name: str) -> None:
        self.gate.wait(30)
        self.calls.append(name)
        if self.error is not None:
            raise self.error

    def persist(self, batch: Persist) -> None:
        self._call(f"persist {batch.batch}")

    def take_snapshot(self, meta: SnapshotMeta, data: bytes) -> SnapshotMeta:
        self._call("snapshot")
        return meta

    def install_snapshot(self, meta: SnapshotMeta, data: bytes) -> None:
        self._call("install")

    def compact(self, first_kept: LogIndex) -> None:
        self._call("compact")

    def close(self) -> None:
        self._call("close")


def make_driver(agent: RecordingAgent) -> tuple[AgentDriver, io.StringIO]:
    lines = io.StringIO()
    return AgentDriver(agent, EventLog("n1", output=lines), NodeMetrics()), lines


async def test_one_tick_arrives_at_the_deadline() -> None:
    agent = RecordingAgent()
    driver, _ = make_driver(agent)
    agent.deadline = asyncio.get_running_loop().time() + 0.02
    driver.start()
    await until(lambda: bool(agent.events))
    assert agent.events == [Tick()]
    driver.stop()


async def test_events_submitted_by_effects_are_handled_after_the_current_event() -> None:
    order: list[str] = []

    def respond(event: Event) -> list[Effect]:
        order.append(type(event).__name__)
        if isinstance(event, Tick):
            return [Persist(batch=1), LogLine(name="after")]
        assert '"after"' in lines.getvalue()
        return []

    agent = RecordingAgent(respond)
    agent.deadline = 0.0
    driver, lines = make_driver(agent)
    driver.submit(Tick())
    # Without a store the batch fails immediately, but the event is handled after the effects of Tick.
    assert order == ["Tick", "PersistFailed"]
    assert not driver.crashed.done()
    driver.stop()


async def test_a_result_is_delivered_once_and_not_after_its_order_is_forgotten() -> None:
    agent = RecordingAgent()
    driver, _ = make_driver(agent)
    received: list[object] = []
    correlation_id = driver.submit_order(RevokeKey(order=OrderId("o"), key=KeyId("k")), received.append)
    forgotten = driver.submit_order(RevokeKey(order=OrderId("p"), key=KeyId("k")), received.append)
    claim = driver.request_claim("c", received.append)
    driver.forget_order(forgotten)
    decision = ClaimDecision(ClaimVerdict.GRANTED)
    order = OrderAnswered(correlation_id, None)
    agent.respond = lambda _: [
        order, order, OrderAnswered(forgotten, None), ClaimAnswered(claim, decision)
    ]  # fmt: skip
    driver.submit(Persisted(1))
    assert received == [order, decision]
    driver.stop()


async def test_large_commands_are_parsed_in_another_thread() -> None:
    agent = RecordingAgent(lambda e: [PrepareCommands((b"a", b"b"))] if isinstance(e, Persisted) else [])
    driver, _ = make_driver(agent)
    driver.submit(Persisted(1))
    await until(lambda: CommandsPrepared() in agent.events)
    assert agent.control.prepared == [(b"a", False), (b"b", False)]
    driver.stop()


async def test_an_exception_in_the_agent_stops_the_driver_and_is_logged() -> None:
    def respond(event: Event) -> list[Effect]:
        raise RuntimeError("broken on purpose")

    agent = RecordingAgent(respond)
    driver, lines = make_driver(agent)
    driver.submit(Persisted(1))
    driver.submit(Persisted(2))
    assert isinstance(await driver.crashed, RuntimeError)
    assert agent.events == [Persisted(1)]
    assert "agent_crashed" in lines.getvalue()


async def test_an_effect_without_a_handler_is_a_crash() -> None:
    class Unknown(Effect, frozen=True):
        pass

    driver, _ = make_driver(RecordingAgent(lambda _: [Unknown()]))
    driver.submit(Persisted(1))
    assert isinstance(await driver.crashed, TypeError)


async def test_a_stopped_replica_is_logged_as_an_error_and_the_node_continues() -> None:
    driver, lines = make_driver(RecordingAgent(lambda _: [ReplicaStopped("corrupt log")]))
    driver.submit(Persisted(1))
    assert driver.replica_stopped_reason == "corrupt log"
    assert '"level": "error"' in lines.getvalue()
    assert not driver.crashed.done()
    driver.stop()


async def test_a_replica_that_may_restart_as_new_is_abandoned() -> None:
    driver, _ = make_driver(RecordingAgent(lambda _: [ReplicaStopped("no group", restart_as_new=True)]))
    driver.submit(Persisted(1))
    assert driver.replica_abandoned.is_set()
    assert not driver.crashed.done()
    driver.stop()


async def test_an_exception_in_the_deadline_is_a_crash() -> None:
    agent = RecordingAgent()
    driver, _ = make_driver(agent)
    driver.start()
    agent.next_deadline = lambda: 1 / 0  # type: ignore[method-assign]
    driver.refresh_timer()
    assert isinstance(await driver.crashed, ZeroDivisionError)


async def test_an_unwritable_log_does_not_crash_the_driver() -> None:
    class FullDisk(io.StringIO):
        def write(self, text: str) -> int:
            raise OSError(28, "no space left")

    agent = RecordingAgent(lambda _: [LogLine("something")])
    driver = AgentDriver(agent, EventLog("n1", output=FullDisk()), NodeMetrics())
    driver.submit(Persisted(1))
    assert not driver.crashed.done()
    driver.stop()


async def test_storage_effects_are_executed_in_order_and_each_batch_is_reported() -> None:
    received: list[Event] = []
    store = FakeStore()
    worker = StorageWorker(store, received.append, NodeMetrics())
    for effect in (Persist(1), WriteSnapshot(META, b"s"), CompactLog(LogIndex(3)), Persist(2)):
        worker.submit(effect)
    await until(lambda: len(received) == 3)
    assert store.calls == ["persist 1", "snapshot", "compact", "persist 2"]
    assert received == [Persisted(1), SnapshotTaken(META, b"s"), Persisted(2)]
    await asyncio.to_thread(worker.stop, 30)
    assert store.calls[-1] == "close"


@pytest.mark.parametrize(
    ("error", "full"),
    [
        (DiskFullError("log", "no space"), True),
        (DiskFailedError("log", "io"), False),
        (ValueError("bug"), False),
    ],
)
async def test_a_failed_write_is_reported_as_failed(error: Exception, full: bool) -> None:
    received: list[Event] = []
    store = FakeStore()
    store.error = error
    worker = StorageWorker(store, received.append, NodeMetrics())
    worker.submit(Persist(1))
    worker.submit(WriteSnapshot(META, b""))
    await until(lambda: len(received) == 2)
    failed, snapshot = received
    assert isinstance(failed, PersistFailed)
    assert (failed.batch, failed.full) == (1, full)
    assert isinstance(snapshot, SnapshotFailed)
    await asyncio.to_thread(worker.stop, 30)


async def test_a_stalled_disk_is_reported_while_the_write_is_pending() -> None:
    agent = RecordingAgent()
    driver, _ = make_driver(agent)
    store = FakeStore()
    store.gate.clear()
    worker = StorageWorker(store, driver.submit, NodeMetrics())
    driver.attach(None, worker)  # type: ignore[arg-type]
    driver.start()
    worker.submit(Persist(1))
    await until(lambda: any(isinstance(event, DiskStalled) for event in agent.events))
    assert Persisted(1) not in agent.events
    store.gate.set()
    await until(lambda: Persisted(1) in agent.events)
    assert worker.oldest_wait_s() == 0.0
    driver.stop()
    await asyncio.to_thread(worker.stop, 30)


def test_log_lines_contain_no_key_and_no_prompt() -> None:
    lines = io.StringIO()
    EventLog("n1", output=lines).write("something", key="hidden", body="hidden", prompt="hidden", size=3)
    assert "hidden" not in lines.getvalue()
    assert '"size": 3' in lines.getvalue()


def test_log_lines_below_the_level_are_dropped() -> None:
    lines = io.StringIO()
    log = EventLog("n1", level="warning", output=lines)
    log.write_line(LogLine(name="quiet"))
    assert lines.getvalue() == ""


def test_a_log_line_about_another_node_contains_both_names() -> None:
    lines = io.StringIO()
    EventLog("n1", output=lines).write_line(LogLine(name="membership_status", fields={"node": "n2"}))
    line = json.loads(lines.getvalue())
    assert (line["event"], line["node"], line["about_node"]) == ("membership_status", "n1", "n2")


async def test_a_newer_control_state_is_logged_with_its_delivery_method_and_delay() -> None:
    metrics = NodeMetrics()
    lines = io.StringIO()
    arrival = Arrival(DeliveryMethod.TRANSFER, asyncio.get_running_loop().time() - 3.0)
    agent = RecordingAgent(lambda _: [ControlChanged(Revision(7), 5, arrival)])
    driver = AgentDriver(agent, EventLog("n1", output=lines), metrics)
    driver.submit(CommandsPrepared())
    line = json.loads(lines.getvalue())
    assert (line["event"], line["revision"], line["gateway_version"]) == ("control_in_force", 7, 5)
    assert line["way"] == "transfer" and 3000 <= line["behind_ms"] < 4000
    assert b'springmux_control_changes_total{way="transfer"} 1' in metrics.exposition()
    assert b"springmux_control_behind_seconds_count 1" in metrics.exposition()
    driver.stop()
