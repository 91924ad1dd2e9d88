"""A whole node process in one loop: start, orders, a stream, stop, restart."""

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
    LONG_S,
    EngineRequest,
    caller_at,
    chat_request,
    chunk,
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


def lone_controller(folder: Path) -> NodeSettings:
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


async def order(settings: NodeSettings, method: str, path: str, body: Any) -> int:
    url = f"http://{settings.admin_address}{path}"
    async with aiohttp.ClientSession() as session, session.request(method, url, json=body) as answer:
        assert answer.status < 300, await answer.text()
        return answer.status


async def set_up(settings: NodeSettings, engine_address: str) -> None:
    await order(settings, "PUT", "/v1/configuration?version=1", CONFIGURATION)
    await order(settings, "PUT", "/v1/tenants/t1", {"tokens_per_s": 1e6, "burst_tokens": 1e6})
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    await order(settings, "PUT", "/v1/keys/k1", {"tenant": "t1", "digest": digest})
    engine = {
        "engine": "e1", "service": "text", "version": "v1", "address": engine_address,
        "capacity": 4, "incarnation": 1,
    }  # fmt: skip
    await order(settings, "POST", "/v1/engines/announce", engine)


async def test_a_lone_controller_serves_stops_in_order_and_remembers(tmp_path: Path) -> None:
    running, go_on = asyncio.Event(), asyncio.Event()

    async def slow_stream(request: EngineRequest, writer: asyncio.StreamWriter) -> None:
        events = stream_events(request.request_id)
        head = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        writer.write(engine_head(request.request_id, head) + chunk(events[0]))
        running.set()
        await go_on.wait()
        writer.write(b"".join(chunk(event) for event in events[1:]) + b"0\r\n\r\n")

    settings = lone_controller(tmp_path)
    async with scripted_engine(slow_stream) as engine, node_process(settings) as (process, lines):
        await set_up(settings, engine.address)
        async with caller_at(settings.client_address) as caller:
            stream = asyncio.ensure_future(caller.ask(chat_request()))
            await running.wait()
            ended = asyncio.ensure_future(process.wait())
            process.stop_requested.set()
            await until(lambda: not process.agent.ready)
            assert not stream.done()
            go_on.set()
            answer = await stream
            assert answer.whole
            assert answer.body.endswith(b"data: [DONE]\n\n")
        async with asyncio.timeout(LONG_S):
            assert await ended == EXIT_STOPPED
        assert KEY not in lines.getvalue()
    async with node_process(settings) as (again, _):
        assert again.agent.view.configuration.version == 1
        assert json.loads(again.agent.control.configuration_document() or b"")["routes"]
        assert len(again.agent.view.keys) == 1
        await again.close()


async def test_a_crashed_agent_ends_the_process_with_its_code(tmp_path: Path) -> None:
    async with node_process(lone_controller(tmp_path)) as (process, lines):
        process.agent.handle = lambda event, now: 1 / 0  # type: ignore[method-assign, assignment, return-value]
        async with asyncio.timeout(LONG_S):
            assert await process.wait() == EXIT_CRASHED
        assert "agent_crashed" in lines.getvalue()
        await process.close()


async def test_a_replica_without_a_group_begins_anew_in_the_same_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    begun: list[NodeProcess] = []

    class Recorded(NodeProcess):
        def __init__(self, *arguments: Any) -> None:
            super().__init__(*arguments)
            begun.append(self)

    monkeypatch.setattr(daemon, "NodeProcess", Recorded)
    settings, stop_requested = lone_controller(tmp_path), asyncio.Event()
    log = EventLog("n1", output=io.StringIO())
    running = asyncio.ensure_future(daemon.run_until_stopped(settings, log, stop_requested))
    await until(lambda: len(begun) == 1 and begun[0].agent.ready)
    first = begun[0].agent.status().replica
    await order(settings, "PUT", "/v1/configuration?version=1", CONFIGURATION)

    begun[0].agent.handle = lambda event, now: [ReplicaStopped("no group", restart_as_new=True)]  # type: ignore[method-assign]
    await until(lambda: len(begun) == 2 and begun[1].agent.ready)

    second = begun[1].agent.status().replica
    assert first is not None
    assert second is not None
    assert first.replica != second.replica
    assert begun[1].agent.view.configuration.version == 0
    stop_requested.set()
    async with asyncio.timeout(LONG_S):
        assert await running == EXIT_STOPPED


async def test_a_damaged_folder_is_set_aside_and_rejoins_as_another_replica(tmp_path: Path) -> None:
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
