"""The request runner reports the client's state to the flow; an abnormal end releases slot and claim."""

from __future__ import annotations

import asyncio

import pytest

from springmux.control.view import TrafficClass
from springmux.coordination.state_machine import Tick
from springmux.node.client.request_runner import RequestRunner
from springmux.node.client.response_writer import ResponseWriter
from springmux.node.client.upstream import UpstreamClient
from springmux.router.events import ClientRequest
from springmux.router.flow import RequestFlow
from springmux.vocabulary.names import RequestId
from tests.unit.node.support import (
    STREAM,
    EngineRequest,
    call_request,
    chat_request,
    chunk,
    connect_raw_client,
    engine_head,
    free_address,
    make_view,
    running_node,
    scripted_engine,
    send_request,
    stream_events,
    until,
)


class ClosedConnection:
    transport = None
    writing_paused = False

    async def _drain_helper(self) -> None: ...


async def test_flow_abandoned_before_it_began_is_removed() -> None:
    async with running_node() as node:
        request = ClientRequest(RequestId("r1"), "POST", "/v1/chat/completions", {}, b"{}")
        writer = ResponseWriter(ClosedConnection(), keep_alive=True, http_1_1=True, head_only=False)
        finished: list[RequestRunner] = []
        runner = RequestRunner(node.listener._services, request, writer, finished.append)
        runner.abandon()

        assert finished == [runner]
        assert not node.agent.router._flows


@pytest.mark.parametrize("where", ["dispatch", "flow"])
async def test_crash_releases_slot_and_claim(where: str, monkeypatch: pytest.MonkeyPatch) -> None:
    def raise_error(*_: object) -> None:
        raise RuntimeError("broken on purpose")

    async with running_node() as node:
        node.agent.add_engine(free_address())
        if where == "dispatch":
            monkeypatch.setattr(UpstreamClient, "begin", raise_error)
        else:
            monkeypatch.setattr(RequestFlow, "_handle_upstream", raise_error)
        for _ in range(2):
            response = await send_request(node, call_request(extra="Idempotency-Key: a1\r\n"))
            assert (response.status, response.error["fate"]) == (500, "unknown")

        assert [settled.ran for settled in node.agent.settled()] == [True, True]
        assert node.agent.router.status().in_flight[TrafficClass.TRANSACTION] == 0
        assert not node.agent.router._flows


async def test_agent_timer_is_refreshed_after_a_reservation_but_not_for_each_chunk() -> None:
    """Guards against a late request for quota after a reservation, and against a timer check per chunk."""

    async def stream(request: EngineRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(engine_head(request.request_id, STREAM))
        for event in stream_events(request.request_id, 200):
            writer.write(chunk(event))
            await writer.drain()
            await asyncio.sleep(0)
        writer.write(b"0\r\n\r\n")

    async with running_node() as node, scripted_engine(stream) as engine:
        node.agent.add_engine(engine.address)

        def request_immediate_tick() -> None:
            node.agent.deadline = 0.0

        node.agent.quota.on_reserve = request_immediate_tick
        async with connect_raw_client(node.settings.client_address) as client:
            client.writer.write(chat_request())
            await client.read_head()
            await until(lambda: Tick() in node.agent.events)
            deadline_reads = node.agent.deadline_reads
            while await client.read_chunk():
                pass
            assert node.agent.deadline_reads - deadline_reads < 10


async def test_only_the_deadline_applies_while_the_client_does_not_read() -> None:
    async def long_stream(request: EngineRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(engine_head(request.request_id, STREAM))
        for event in stream_events(request.request_id, 2000, "a" * 8000):
            writer.write(chunk(event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    view = make_view(idle_timeout_s=50.0, deadline_s=300.0)
    async with running_node(view) as node, scripted_engine(long_stream) as engine:
        node.agent.add_engine(engine.address)
        async with connect_raw_client(node.settings.client_address) as client:
            client.writer.write(chat_request())
            await client.read_head()
            (flow,) = node.agent.router._flows.values()
            now = asyncio.get_running_loop().time
            await until(lambda: node.listener.paused_requests() == 1)
            await until(lambda: flow.next_deadline() > now() + 100.0)
            size = 0
            while data := await client.read_chunk():
                size += len(data)
            assert size > 2000 * 8000
            assert not node.agent.router._flows
