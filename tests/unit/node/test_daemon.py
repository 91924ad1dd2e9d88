"""A complete node process in one event loop: start, orders, a stream, graceful stop, restart.

Guards against streams that a stop breaks off, against control state that is lost in a restart, and against a
crash or an unusable replica that leaves the process running without a working node.
"""

import asyncio
import hashlib
import io
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import aiohttp
import pytest

from springmux.coordination.consensus.effects import ReplicaStopped
from springmux.node import daemon
from springmux.node.daemon import NodeProcess
from springmux.node.lifecycle import EXIT_CRASHED, EXIT_STOPPED
from springmux.node.logs import EventLog
from springmux.node.settings import NodeSettings
from springmux.node.storage.opening import open_storage
from tests.unit.node.support import (
    KEY,
    TEST_TIMEOUT_S,
    EngineRequest,
    chat_request,
    chunk,
    connect_raw_client,
    engine_head,
    make_settings,
    scripted_engine,
    stream_events,
    until,
)

CONFIGURATION = {
    "services": {"text": {"stable": "v1"}},
    "routes": {"chat": {"kind": "prompt", "service": "text", "class": "interactive"}},
}


def single_controller_settings(folder: Path) -> NodeSettings:
    return make_settings(data_folder=folder, controllers_expected=1, stop_delay_s=0.0, stop_grace_s=5.0)


@asynccontextmanager
async def node_process(settings: NodeSettings) -> AsyncIterator[tuple[NodeProcess, io.StringIO]]:
    lines = io.StringIO()
    log = EventLog(settings.node, output=lines)
    assert settings.data_folder is not None
    process = NodeProcess(settings, await asyncio.to_thread(open_storage, settings.data_folder, log), log)
    await process.start()
    await until(lambda: process.agent.ready)
    yield process, lines


async def send_order(settings: NodeSettings, method: str, path: str, body: Any) -> int:
    url = f"http://{settings.admin_address}{path}"
    async with aiohttp.ClientSession() as session, session.request(method, url, json=body) as response:
        assert response.status < 300, await response.text()
        return response.status


async def configure(settings: NodeSettings, engine_address: str) -> None:
    await send_order(settings, "PUT", "/v1/configuration?version=1", CONFIGURATION)
    await send_order(settings, "PUT", "/v1/tenants/t1", {"tokens_per_s": 1e6, "burst_tokens": 1e6})
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    await send_order(settings, "PUT", "/v1/keys/k1", {"tenant": "t1", "digest": digest})
    engine = {
        "engine": "e1", "service": "text", "version": "v1", "address": engine_address,
        "capacity": 4, "incarnation": 1,
    }  # fmt: skip
    await send_order(settings, "POST", "/v1/engines/announce", engine)


async def test_a_single_controller_serves_stops_gracefully_and_recovers_its_state(tmp_path: Path) -> None:
    running, continue_stream = asyncio.Event(), asyncio.Event()

    async def slow_stream(request: EngineRequest, writer: asyncio.StreamWriter) -> None:
        events = stream_events(request.request_id)
        head = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        writer.write(engine_head(request.request_id, head) + chunk(events[0]))
        running.set()
        await continue_stream.wait()
        writer.write(b"".join(chunk(event) for event in events[1:]) + b"0\r\n\r\n")

    settings = single_controller_settings(tmp_path)
    async with scripted_engine(slow_stream) as engine, node_process(settings) as (process, lines):
        await configure(settings, engine.address)
        async with connect_raw_client(settings.client_address) as client:
            stream = asyncio.ensure_future(client.send_request(chat_request()))
            await running.wait()
            ended = asyncio.ensure_future(process.wait())
            process.stop_requested.set()
            await until(lambda: not process.agent.ready)
            assert not stream.done()
            continue_stream.set()
            response = await stream
            assert response.is_complete
            assert response.body.endswith(b"data: [DONE]\n\n")
        async with asyncio.timeout(TEST_TIMEOUT_S):
            assert await ended == EXIT_STOPPED
        assert KEY not in lines.getvalue()
    async with node_process(settings) as (restarted, _):
        assert restarted.agent.view.configuration.version == 1
        assert json.loads(restarted.agent.control.configuration_document() or b"")["routes"]
        assert len(restarted.agent.view.keys) == 1
        await restarted.close()


async def test_a_crashed_agent_ends_the_process_with_exit_crashed(tmp_path: Path) -> None:
    async with node_process(single_controller_settings(tmp_path)) as (process, lines):
        process.agent.handle = lambda event, now: 1 / 0  # type: ignore[method-assign, assignment, return-value]
        async with asyncio.timeout(TEST_TIMEOUT_S):
            assert await process.wait() == EXIT_CRASHED
        assert "agent_crashed" in lines.getvalue()
        await process.close()


async def test_a_replica_without_a_group_restarts_as_new_in_the_same_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    started: list[NodeProcess] = []

    class RecordedNode(NodeProcess):
        def __init__(self, *arguments: Any) -> None:
            super().__init__(*arguments)
            started.append(self)

    monkeypatch.setattr(daemon, "NodeProcess", RecordedNode)
    settings, stop_requested = single_controller_settings(tmp_path), asyncio.Event()
    log = EventLog("n1", output=io.StringIO())
    running = asyncio.ensure_future(daemon.run_until_stopped(settings, log, stop_requested))
    await until(lambda: len(started) == 1 and started[0].agent.ready)
    first = started[0].agent.status().replica
    await send_order(settings, "PUT", "/v1/configuration?version=1", CONFIGURATION)

    started[0].agent.handle = lambda event, now: [ReplicaStopped("no group", restart_as_new=True)]  # type: ignore[method-assign]
    await until(lambda: len(started) == 2 and started[1].agent.ready)

    second = started[1].agent.status().replica
    assert first is not None
    assert second is not None
    assert first.replica != second.replica
    assert started[1].agent.view.configuration.version == 0
    stop_requested.set()
    async with asyncio.timeout(TEST_TIMEOUT_S):
        assert await running == EXIT_STOPPED


async def test_a_damaged_replica_is_set_aside_and_replaced_by_a_new_one(tmp_path: Path) -> None:
    lines = io.StringIO()
    log = EventLog("n1", output=lines)
    first = open_storage(tmp_path, log)
    assert first.store is not None
    assert first.recovered is not None
    first.store.close()
    (tmp_path / "replica" / "replica-id").unlink()
    second = open_storage(tmp_path, log)
    assert second.recovered is not None
    assert second.recovered.replica != first.recovered.replica
    assert "replica_damaged" in lines.getvalue()
