"""Start, restart and end of a node's process, for all kinds of nodes.

Guards against a restart that reuses an unusable replica, and against an exit code that hides a crash.
"""

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
    """A node that ends with a given exit code, and closes its store as a real node does."""

    def __init__(self, opened: OpenedStorage, exit_code: int, start_error: OSError | None = None) -> None:
        self.opened, self.closed = opened, False
        self._exit_code, self._start_error = exit_code, start_error

    async def start(self) -> None:
        if self._start_error is not None:
            raise self._start_error

    async def wait(self) -> int:
        await self.close()
        return self._exit_code

    async def close(self) -> None:
        self.closed = True
        if self.opened.store is not None:
            self.opened.store.close()


class NodeRuns:
    """Runs scripted nodes one after another, and collects the log lines."""

    def __init__(self, *exit_codes: int, start_error: OSError | None = None) -> None:
        self._exit_codes, self._start_error = list(exit_codes), start_error
        self.nodes: list[ScriptedNode] = []
        self.log_output = io.StringIO()
        self.log = EventLog("n1", output=self.log_output)

    async def until_stopped(self, folder: Path | None) -> int:
        return await run_nodes(folder, self._make, self.log)

    def events(self) -> list[str]:
        return [json.loads(line)["event"] for line in self.log_output.getvalue().splitlines()]

    def _make(self, opened: OpenedStorage) -> ScriptedNode:
        self.nodes.append(ScriptedNode(opened, self._exit_codes.pop(0), self._start_error))
        return self.nodes[-1]


async def test_a_node_that_restarts_as_new_gets_a_new_replica(tmp_path: Path) -> None:
    run = NodeRuns(RESTART_AS_NEW, RESTART_AS_NEW, EXIT_STOPPED)
    assert await run.until_stopped(tmp_path) == EXIT_STOPPED
    replicas = {node.opened.recovered.replica for node in run.nodes if node.opened.recovered is not None}
    assert len(replicas) == 3


async def test_a_node_without_a_data_folder_opens_no_storage() -> None:
    run = NodeRuns(EXIT_CRASHED)
    assert await run.until_stopped(None) == EXIT_CRASHED
    assert run.nodes[0].opened == OpenedStorage(store=None, recovered=None)


async def test_an_address_in_use_closes_the_node_and_is_logged() -> None:
    run = NodeRuns(EXIT_STOPPED, start_error=OSError("address in use"))
    assert await run.until_stopped(None) == EXIT_CANNOT_START
    assert run.nodes[0].closed
    assert run.events() == ["cannot_listen"]


async def test_no_node_is_created_if_another_process_uses_the_folder(tmp_path: Path) -> None:
    other = open_storage(tmp_path, EventLog("other", output=io.StringIO()))
    assert other.store is not None
    run = NodeRuns(EXIT_STOPPED)
    assert await run.until_stopped(tmp_path) == EXIT_CANNOT_START
    assert (run.nodes, run.events()) == ([], ["data_folder_locked"])
    other.store.close()


@pytest.mark.parametrize(
    ("cause", "exit_code"), [("stop", EXIT_STOPPED), ("abandoned", RESTART_AS_NEW), ("crash", EXIT_CRASHED)]
)
async def test_the_exit_code_depends_on_what_ended_the_node(cause: str, exit_code: int) -> None:
    driver, stop_requested = make_driver(), asyncio.Event()
    waiting = asyncio.ensure_future(wait_for_end(driver, stop_requested))
    await asyncio.sleep(0)
    assert not waiting.done()
    if cause == "stop":
        stop_requested.set()
    elif cause == "abandoned":
        driver.replica_abandoned.set()
    else:
        stop_requested.set()
        driver.crashed.set_result(ValueError("a fault"))
    assert await waiting == exit_code


def make_driver() -> AgentDriver:
    return AgentDriver(FakeAgent(make_view()), EventLog("n1", output=io.StringIO()), NodeMetrics())


async def test_an_order_has_one_result_and_its_correlation_id_is_forgotten() -> None:
    driver, forgotten = make_driver(), []
    driver.forget_order = forgotten.append  # type: ignore[method-assign, assignment]
    answered = OrderAnswered("t", None)

    def submit(callback: OrderCallback) -> str:
        callback(answered)
        callback(OrderAnswered("t", None))
        return "t"

    assert await wait_for_order(driver, submit, 10.0) is answered
    assert forgotten == ["t"]


async def test_an_order_without_a_result_in_time_returns_none_and_ignores_a_late_result() -> None:
    driver, late = make_driver(), []

    def submit(callback: OrderCallback) -> str:
        late.append(callback)
        return "t"

    assert await wait_for_order(driver, submit, 0.0) is None
    callback: Any = late[0]
    callback(OrderAnswered("t", None))
