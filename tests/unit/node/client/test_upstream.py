"""Streams and calls through the listener against an engine that behaves, and against ones that don't."""

import asyncio
import json

import pytest

from springmux.node.client.upstream import UpstreamClient
from tests.unit.node.support import (
    LONG_S,
    STREAM,
    EngineRequest,
    Script,
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


async def whole_stream(request: EngineRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(engine_head(request.request_id, STREAM))
    for event in stream_events(request.request_id):
        writer.write(chunk(event))
    writer.write(b"0\r\n\r\n")


def call_answer(request_id: str, body: bytes, length: int | None = None) -> bytes:
    size = len(body) if length is None else length
    head = f"Content-Type: application/json\r\nContent-Length: {size}\r\n"
    return engine_head(request_id, head) + body


async def whole_call(request: EngineRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(call_answer(request.request_id, b'{"done": 1}'))


async def never_answers(request: EngineRequest, writer: asyncio.StreamWriter) -> None:
    return None


async def test_a_whole_stream_reaches_the_client_unchanged() -> None:
    async with running_node() as bench, scripted_engine(whole_stream) as engine:
        bench.agent.add_engine(engine.address)
        answer = await ask(bench, chat_request())
        request_id = engine.requests[0].request_id
        assert answer.whole
        assert answer.body == b"".join(stream_events(request_id))
        assert answer.headers["x-request-id"] == request_id
        assert answer.headers["x-engine"] == "e1"
        assert "authorization" not in engine.requests[0].headers


async def test_connections_are_kept_after_whole_answers_only_for_repeatable_routes() -> None:
    async with running_node() as bench, scripted_engine(whole_stream) as engine:
        bench.agent.add_engine(engine.address)
        for _ in range(3):
            assert (await ask(bench, chat_request())).whole
            await until(lambda: bench.metrics.value("requests_in_flight") == 0)
        assert engine.connections == 1
    async with running_node() as bench, scripted_engine(whole_call) as engine:
        bench.agent.add_engine(engine.address)
        for _ in range(3):
            assert (await ask(bench, call_request())).whole
        assert engine.connections == 3


async def test_pieces_pass_one_by_one_before_the_stream_ends() -> None:
    go_on = asyncio.Event()

    async def in_two_parts(request: EngineRequest, writer: asyncio.StreamWriter) -> None:
        events = stream_events(request.request_id)
        writer.write(engine_head(request.request_id, STREAM) + chunk(events[0]))
        await go_on.wait()
        writer.write(b"".join(chunk(event) for event in events[1:]) + b"0\r\n\r\n")

    async with running_node() as bench, scripted_engine(in_two_parts) as engine:
        bench.agent.add_engine(engine.address)
        async with caller_at(bench.settings.client_address) as caller:
            caller.writer.write(chat_request())
            await caller.read_head()
            first = await caller.read_chunk()
            assert b'"seq": 0' in first
            go_on.set()
            rest = b""
            while piece := await caller.read_chunk():
                rest += piece
            assert rest.endswith(b"data: [DONE]\n\n")


async def test_call_is_claimed_runs_once_and_is_settled() -> None:
    async with running_node() as bench, scripted_engine(whole_call) as engine:
        bench.agent.add_engine(engine.address)
        answer = await ask(bench, call_request(extra="Idempotency-Key: sale-1\r\n"))
        assert (answer.status, json.loads(answer.body)) == (200, {"done": 1})
        await until(lambda: bool(bench.agent.settled()))
        assert [settled.ran for settled in bench.agent.settled()] == [True]
        assert len(engine.requests) == 1


def breaking(kind: str) -> Script:
    """Return a call engine that answers wrongly in one way."""

    async def script(request: EngineRequest, writer: asyncio.StreamWriter) -> None:
        answer = {
            "garbage": b"\x00\x01\x02 no http\r\n\r\n",
            "early close in head": b"HTTP/1.1 200 OK\r\nX-Req",
            "early close in body": call_answer(request.request_id, b'{"do', length=11),
            "no answer": b"",
            "no length": engine_head(request.request_id, "") + b'{"done": 1}',
            "another's id": call_answer("someone-else", b'{"done": 1}'),
            "not JSON": call_answer(request.request_id, b"[[[["),
            "redirect": b"HTTP/1.1 302 Found\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n",
            "server error": b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
        }[kind]
        writer.write(answer)
        writer.close()

    return script


@pytest.mark.parametrize(
    "kind",
    [
        "garbage", "early close in head", "early close in body", "no answer", "no length",
        "another's id", "not JSON", "redirect", "server error",
    ],
)  # fmt: skip
async def test_wrong_answers_to_a_call_are_never_passed_on_nor_sent_again(kind: str) -> None:
    async with running_node() as bench, scripted_engine(breaking(kind)) as engine:
        bench.agent.add_engine(engine.address)
        bench.agent.add_engine(engine.address, "e2")
        answer = await ask(bench, call_request())
        assert answer.status == 502, answer.body
        assert answer.error["fate"] in ("unknown", "failed")
        assert b"done" not in answer.body
        assert len(engine.requests) == 1


async def test_a_complete_answer_for_another_request_costs_its_connection() -> None:
    async def of_another(request: EngineRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(engine_head("someone-else", STREAM) + b"0\r\n\r\n")

    async with running_node() as bench, scripted_engine(of_another) as engine:
        bench.agent.add_engine(engine.address)
        for _ in range(2):
            assert (await ask(bench, chat_request())).error["code"] == "engine_protocol"
        assert engine.connections == 2


async def test_refused_connections_leave_the_request_unsent() -> None:
    async with running_node() as bench:
        bench.agent.add_engine(free_address())
        answer = await ask(bench, call_request())
        assert answer.error["fate"] == "refused", answer.body
        await until(lambda: bool(bench.agent.settled()))
        assert [settled.ran for settled in bench.agent.settled()] == [False]


def breaking_stream(kind: str, go_on: asyncio.Event) -> Script:
    """Return a prompt engine whose stream breaks after its first piece has reached the client."""

    async def script(request: EngineRequest, writer: asyncio.StreamWriter) -> None:
        events = stream_events(request.request_id, pieces=4)
        writer.write(engine_head(request.request_id, STREAM) + chunk(events[0]))
        await go_on.wait()
        rest = {
            "cut": b"",
            "malformed chunk": b"zz\r\n",
            "skipped piece": chunk(events[2]),
            "repeated piece": chunk(events[0]),
            "another's piece": chunk(stream_events("someone-else", 4)[1]),
            "early marker": chunk(events[-1]) + b"0\r\n\r\n",
            "no marker": b"".join(chunk(e) for e in events[1:-1]) + b"0\r\n\r\n",
            "early end": chunk(events[1]) + b"0\r\n\r\n",
        }[kind]
        writer.write(rest)
        writer.close()

    return script


@pytest.mark.parametrize(
    ("kind", "code"),
    [
        ("cut", "engine_broke_off"),
        ("malformed chunk", "engine_protocol"),
        ("skipped piece", "engine_protocol"),
        ("repeated piece", "engine_protocol"),
        ("another's piece", "engine_protocol"),
        ("early marker", "engine_protocol"),
        ("no marker", "engine_broke_off"),
        ("early end", "engine_broke_off"),
    ],
)
async def test_a_broken_stream_ends_with_an_error_and_without_the_marker(kind: str, code: str) -> None:
    go_on = asyncio.Event()
    async with running_node() as bench, scripted_engine(breaking_stream(kind, go_on)) as engine:
        bench.agent.add_engine(engine.address)
        async with caller_at(bench.settings.client_address) as caller:
            caller.writer.write(chat_request())
            await caller.read_head()
            first = await caller.read_chunk()
            go_on.set()
            rest = await caller.reader.read()
        assert b'"seq": 0' in first
        assert b'"seq": 0' not in rest
        assert b"[DONE]" not in rest
        assert b"event: error" in rest
        assert f'"code":"{code}"'.encode() in rest
        assert not rest.endswith(b"0\r\n\r\n")
        assert len(engine.requests) == 1


async def test_bytes_after_a_whole_answer_reach_nobody() -> None:
    async def too_much(request: EngineRequest, writer: asyncio.StreamWriter) -> None:
        await whole_stream(request, writer)
        writer.write(call_answer("late", b'{"late": 1}'))

    async with running_node() as bench, scripted_engine(too_much) as engine:
        bench.agent.add_engine(engine.address)
        for _ in range(3):
            answer = await ask(bench, chat_request())
            assert b"late" not in answer.body
            assert not answer.whole or answer.body.endswith(b"data: [DONE]\n\n")


async def test_an_engine_that_never_answers_ends_by_the_routes_limit_and_loses_its_connection() -> None:
    view = make_view(first_piece_timeout_s=0.05, deadline_s=0.2)
    async with running_node(view) as bench, scripted_engine(never_answers) as engine:
        bench.agent.add_engine(engine.address)
        answer = await ask(bench, call_request())
        assert answer.error["fate"] == "unknown"
        await engine.closed.wait()
        assert len(engine.requests) == 1


async def test_a_client_that_does_not_read_holds_up_its_engine_not_the_nodes_memory() -> None:
    pieces, sent = 2000, 0

    async def long_stream(request: EngineRequest, writer: asyncio.StreamWriter) -> None:
        nonlocal sent
        writer.write(engine_head(request.request_id, STREAM))
        for event in stream_events(request.request_id, pieces, "a" * 8000):
            writer.write(chunk(event))
            await writer.drain()
            sent += 1
        writer.write(b"0\r\n\r\n")

    view = make_view(idle_timeout_s=300.0, deadline_s=300.0)
    async with running_node(view) as bench, scripted_engine(long_stream) as engine:
        bench.agent.add_engine(engine.address)
        async with caller_at(bench.settings.client_address) as caller:
            caller.writer.write(chat_request())
            await caller.read_head()
            await until(lambda: bench.listener.paused_requests() == 1)
            before = -1
            while sent != before:
                before = sent
                for _ in range(100):
                    await asyncio.sleep(0.001)
            assert sent < pieces
            size = 0
            while piece := await caller.read_chunk():
                size += len(piece)
            assert size > pieces * 8000


async def test_a_client_that_leaves_ends_the_exchange() -> None:
    patient = make_view(first_piece_timeout_s=300.0, deadline_s=300.0)
    async with running_node(patient) as bench, scripted_engine(never_answers) as engine:
        bench.agent.add_engine(engine.address)
        async with caller_at(bench.settings.client_address) as caller:
            caller.writer.write(chat_request())
            await until(lambda: bool(engine.requests))
        async with asyncio.timeout(LONG_S):
            await engine.closed.wait()
        await until(lambda: bench.metrics.value("requests_in_flight") == 0)


async def test_a_revoked_key_ends_a_running_stream_with_an_error_event() -> None:
    async def first_piece_only(request: EngineRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(engine_head(request.request_id, STREAM) + chunk(stream_events(request.request_id)[0]))

    async with running_node() as bench, scripted_engine(first_piece_only) as engine:
        bench.agent.add_engine(engine.address)
        async with caller_at(bench.settings.client_address) as caller:
            caller.writer.write(chat_request())
            await caller.read_head()
            await caller.read_chunk()
            bench.agent.view = make_view(revision=2, revoked=True)
            flows = bench.agent.router.update_control(bench.agent.view, 0.0)
            bench.listener.end_revoked(tuple(flow.request.request_id for flow in flows))
            assert b"revoked_key" in await caller.read_chunk()
            assert await caller.reader.read() == b""
        assert (await ask(bench, chat_request())).error["code"] == "revoked_key"


async def test_the_stop_grace_ends_running_streams_with_an_error() -> None:
    async with running_node() as bench, scripted_engine(never_answers) as engine:
        bench.agent.add_engine(engine.address)
        async with caller_at(bench.settings.client_address) as caller:
            caller.writer.write(chat_request())
            await until(lambda: bool(engine.requests))
            bench.listener.stop_accepting()
            await bench.listener.finish(0.0)
            assert (await caller.answer()).error["code"] == "stopping"


async def test_a_crash_in_a_flow_answers_500_and_logs_it(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(*_: object) -> None:
        raise RuntimeError("broken on purpose")

    async with running_node() as bench:
        bench.agent.add_engine(free_address())
        monkeypatch.setattr(UpstreamClient, "begin", broken)
        answer = await ask(bench, call_request())
        assert (answer.status, answer.error["code"], answer.error["fate"]) == (500, "internal", "unknown")
        assert "request_flow_crashed" in bench.log_lines.getvalue()
