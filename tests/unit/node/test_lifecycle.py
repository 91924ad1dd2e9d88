"""How a node's process begins, begins anew and ends, whatever kind of node it is."""

from __future__ import annotations

import asyncio
import io
import json
from pathlib import Path
from typing import Any

import pytest

from springmux.agent.effects import OrderAnswered
from springmux.node.driver import AgentDriver, OrderCallback
from springmux.node.lifecycle import (
    EXIT_CANNOT_START,
    EXIT_CRASHED,
    EXIT_STOPPED,
    RESTART_AS_NEW,
    run_nodes,
    wait_for_end,
)
from springmux.node.logs import EventLog
from springmux.node.metrics.registry import NodeMetrics
from springmux.node.order_wait import wait_for_order
from springmux.node.storage.opening import OpenedStorage, open_storage
from tests.unit.node.support import FakeAgent, make_view


class ScriptedNode:
    """Ends as it is told, and closes its store as a node does."""

    def __init__(self, opened: OpenedStorage, ending: int, start_error: OSError | None = None) -> None:
        self.opened, self.closed = opened, False
        self._ending, self._start_error = ending, start_error

    async def start(self) -> None:
        if self._start_error is not None:
            raise self._start_error

    async def wait(self) -> int:
        await self.close()
        return self._ending

    async def close(self) -> None:
        self.closed = True
        if self.opened.store is not None:
            self.opened.store.close()


class Run:
    """Nodes made one after the other, and the log's lines."""

    def __init__(self, *endings: int, start_error: OSError | None = None) -> None:
        self._endings, self._start_error = list(endings), start_error
        self.nodes: list[ScriptedNode] = []
        self.written = io.StringIO()
        self.log = EventLog("n1", output=self.written)

    async def until_stopped(self, folder: Path | None) -> int:
        return await run_nodes(folder, self._make, self.log)

    def events(self) -> list[str]:
        return [json.loads(line)["event"] for line in self.written.getvalue().splitlines()]

    def _make(self, opened: OpenedStorage) -> ScriptedNode:
        self.nodes.append(ScriptedNode(opened, self._endings.pop(0), self._start_error))
        return self.nodes[-1]


async def test_a_node_that_begins_anew_gets_a_new_replica(tmp_path: Path) -> None:
    run = Run(RESTART_AS_NEW, RESTART_AS_NEW, EXIT_STOPPED)
    assert await run.until_stopped(tmp_path) == EXIT_STOPPED
    replicas = {node.opened.recovered.replica for node in run.nodes if node.opened.recovered is not None}
    assert len(replicas) == 3


async def test_a_node_without_a_folder_opens_none() -> None:
    run = Run(EXIT_CRASHED)
    assert await run.until_stopped(None) == EXIT_CRASHED
    assert run.nodes[0].opened == OpenedStorage(store=None, recovered=None)


async def test_an_address_in_use_closes_the_node_and_says_so() -> None:
    run = Run(EXIT_STOPPED, start_error=OSError("address in use"))
    assert await run.until_stopped(None) == EXIT_CANNOT_START
    assert run.nodes[0].closed
    assert run.events() == ["cannot_listen"]


async def test_a_folder_that_another_process_uses_makes_no_node(tmp_path: Path) -> None:
    other = open_storage(tmp_path, EventLog("other", output=io.StringIO()))
    assert other.store is not None
    run = Run(EXIT_STOPPED)
    assert await run.until_stopped(tmp_path) == EXIT_CANNOT_START
    assert (run.nodes, run.events()) == ([], ["data_folder_locked"])
    other.store.close()


@pytest.mark.parametrize(
    ("what", "ending"), [("stop", EXIT_STOPPED), ("given up", RESTART_AS_NEW), ("crash", EXIT_CRASHED)]
)
async def test_what_ends_a_node_decides_how(what: str, ending: int) -> None:
    driver, stop_requested = make_driver(), asyncio.Event()
    waiting = asyncio.ensure_future(wait_for_end(driver, stop_requested))
    await asyncio.sleep(0)
    assert not waiting.done()
    if what == "stop":
        stop_requested.set()
    elif what == "given up":
        driver.replica_abandoned.set()
    else:
        stop_requested.set()
        driver.crashed.set_result(ValueError("a fault"))
    assert await waiting == ending


def make_driver() -> AgentDriver:
    return AgentDriver(FakeAgent(make_view()), EventLog("n1", output=io.StringIO()), NodeMetrics())


async def test_an_order_is_answered_once_and_its_correlation_id_is_forgotten() -> None:
    driver, forgotten = make_driver(), []
    driver.forget_order = forgotten.append  # type: ignore[method-assign, assignment]
    answered = OrderAnswered("t", None)

    def submit(callback: OrderCallback) -> str:
        callback(answered)
        callback(OrderAnswered("t", None))
        return "t"

    assert await wait_for_order(driver, submit, 10.0) is answered
    assert forgotten == ["t"]


async def test_an_order_without_an_answer_in_time_has_none_and_a_late_one_is_nobodys() -> None:
    driver, late = make_driver(), []

    def submit(callback: OrderCallback) -> str:
        late.append(callback)
        return "t"

    assert await wait_for_order(driver, submit, 0.0) is None
    callback: Any = late[0]
    callback(OrderAnswered("t", None))
