"""The runner tells the flow what its client does; what a request holds is given back, also out of turn."""

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
    ask,
    call_request,
    caller_at,
    chat_request,
    chunk,
    engine_head,
    free_address,
    make_view,
    running_node,
    scripted_engine,
    stream_events,
    until,
)


class GoneConnection:
    transport = None
    writing_paused = False

    async def _drain_helper(self) -> None: ...


async def test_a_client_who_left_before_its_flow_began_leaves_nothing_behind() -> None:
    async with running_node() as bench:
        request = ClientRequest(RequestId("r1"), "POST", "/v1/chat/completions", {}, b"{}")
        writer = ResponseWriter(GoneConnection(), keep_alive=True, http_1_1=True, head_only=False)
        over: list[RequestRunner] = []
        runner = RequestRunner(bench.listener._services, request, writer, over.append)
        runner.abandon()

        assert over == [runner]
        assert not bench.agent.router._flows


@pytest.mark.parametrize("where", ["dispatch", "flow"])
async def test_a_crash_gives_slot_and_claim_back(where: str, monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(*_: object) -> None:
        raise RuntimeError("broken on purpose")

    async with running_node() as bench:
        bench.agent.add_engine(free_address())
        if where == "dispatch":
            monkeypatch.setattr(UpstreamClient, "begin", broken)
        else:
            monkeypatch.setattr(RequestFlow, "_handle_upstream", broken)
        for _ in range(2):
            answer = await ask(bench, call_request(extra="Idempotency-Key: a1\r\n"))
            assert (answer.status, answer.error["fate"]) == (500, "unknown")

        assert [settled.ran for settled in bench.agent.settled()] == [True, True]
        assert bench.agent.router.status().in_flight[TrafficClass.TRANSACTION] == 0
        assert not bench.agent.router._flows


async def test_a_share_that_ran_out_is_asked_for_at_once_and_pieces_cost_no_look() -> None:
    async def stream(request: EngineRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(engine_head(request.request_id, STREAM))
        for event in stream_events(request.request_id, 200):
            writer.write(chunk(event))
            await writer.drain()
            await asyncio.sleep(0)
        writer.write(b"0\r\n\r\n")

    async with running_node() as bench, scripted_engine(stream) as engine:
        bench.agent.add_engine(engine.address)

        def wants_tick_now() -> None:
            bench.agent.deadline = 0.0

        bench.agent.quota.on_reserve = wants_tick_now
        async with caller_at(bench.settings.client_address) as caller:
            caller.writer.write(chat_request())
            await caller.read_head()
            await until(lambda: Tick() in bench.agent.events)
            looks = bench.agent.deadline_reads
            while await caller.read_chunk():
                pass
            assert bench.agent.deadline_reads - looks < 10


async def test_while_the_client_does_not_read_only_the_deadline_counts() -> None:
    async def long_stream(request: EngineRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(engine_head(request.request_id, STREAM))
        for event in stream_events(request.request_id, 2000, "a" * 8000):
            writer.write(chunk(event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    view = make_view(idle_timeout_s=50.0, deadline_s=300.0)
    async with running_node(view) as bench, scripted_engine(long_stream) as engine:
        bench.agent.add_engine(engine.address)
        async with caller_at(bench.settings.client_address) as caller:
            caller.writer.write(chat_request())
            await caller.read_head()
            (flow,) = bench.agent.router._flows.values()
            now = asyncio.get_running_loop().time
            await until(lambda: bench.listener.paused_requests() == 1)
            await until(lambda: flow.next_deadline() > now() + 100.0)
            size = 0
            while piece := await caller.read_chunk():
                size += len(piece)
            assert size > 2000 * 8000
            assert not bench.agent.router._flows
