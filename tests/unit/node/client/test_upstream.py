"""Streams and calls through the client listener, with engines that respond correctly and faulty ones."""

import asyncio
import json

import pytest

from springmux.node.client.upstream import UpstreamClient
from tests.unit.node.support import (
    STREAM,
    TEST_TIMEOUT_S,
    EngineRequest,
    Script,
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


async def complete_stream(request: EngineRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(engine_head(request.request_id, STREAM))
    for event in stream_events(request.request_id):
        writer.write(chunk(event))
    writer.write(b"0\r\n\r\n")


def call_response(request_id: str, body: bytes, length: int | None = None) -> bytes:
    size = len(body) if length is None else length
    head = f"Content-Type: application/json\r\nContent-Length: {size}\r\n"
    return engine_head(request_id, head) + body


async def complete_call(request: EngineRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(call_response(request.request_id, b'{"done": 1}'))


async def never_respond(request: EngineRequest, writer: asyncio.StreamWriter) -> None:
    return None


async def test_complete_stream_reaches_the_client_unchanged() -> None:
    async with running_node() as node, scripted_engine(complete_stream) as engine:
        node.agent.add_engine(engine.address)
        response = await send_request(node, chat_request())
        request_id = engine.requests[0].request_id
        assert response.is_complete
        assert response.body == b"".join(stream_events(request_id))
        assert response.headers["x-request-id"] == request_id
        assert response.headers["x-engine"] == "e1"
        assert "authorization" not in engine.requests[0].headers


async def test_connections_are_reused_after_complete_responses_of_repeatable_routes_only() -> None:
    async with running_node() as node, scripted_engine(complete_stream) as engine:
        node.agent.add_engine(engine.address)
        for _ in range(3):
            assert (await send_request(node, chat_request())).is_complete
            await until(lambda: node.metrics.value("requests_in_flight") == 0)
        assert engine.connections == 1
    async with running_node() as node, scripted_engine(complete_call) as engine:
        node.agent.add_engine(engine.address)
        for _ in range(3):
            assert (await send_request(node, call_request())).is_complete
        assert engine.connections == 3


async def test_chunks_are_forwarded_before_the_stream_ends() -> None:
    resume = asyncio.Event()

    async def stream_in_two_parts(request: EngineRequest, writer: asyncio.StreamWriter) -> None:
        events = stream_events(request.request_id)
        writer.write(engine_head(request.request_id, STREAM) + chunk(events[0]))
        await resume.wait()
        writer.write(b"".join(chunk(event) for event in events[1:]) + b"0\r\n\r\n")

    async with running_node() as node, scripted_engine(stream_in_two_parts) as engine:
        node.agent.add_engine(engine.address)
        async with connect_raw_client(node.settings.client_address) as client:
            client.writer.write(chat_request())
            await client.read_head()
            first = await client.read_chunk()
            assert b'"seq": 0' in first
            resume.set()
            rest = b""
            while data := await client.read_chunk():
                rest += data
            assert rest.endswith(b"data: [DONE]\n\n")


async def test_call_is_claimed_runs_once_and_is_settled() -> None:
    async with running_node() as node, scripted_engine(complete_call) as engine:
        node.agent.add_engine(engine.address)
        response = await send_request(node, call_request(extra="Idempotency-Key: sale-1\r\n"))
        assert (response.status, json.loads(response.body)) == (200, {"done": 1})
        await until(lambda: bool(node.agent.settled()))
        assert [settled.ran for settled in node.agent.settled()] == [True]
        assert len(engine.requests) == 1


def faulty_call(kind: str) -> Script:
    """Return the script of an engine whose response to a call has one fault."""

    async def script(request: EngineRequest, writer: asyncio.StreamWriter) -> None:
        response = {
            "garbage": b"\x00\x01\x02 no http\r\n\r\n",
            "early close in head": b"HTTP/1.1 200 OK\r\nX-Req",
            "early close in body": call_response(request.request_id, b'{"do', length=11),
            "no answer": b"",
            "no length": engine_head(request.request_id, "") + b'{"done": 1}',
            "another's id": call_response("someone-else", b'{"done": 1}'),
            "not JSON": call_response(request.request_id, b"[[[["),
            "redirect": b"HTTP/1.1 302 Found\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n",
            "server error": b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
        }[kind]
        writer.write(response)
        writer.close()

    return script


@pytest.mark.parametrize(
    "kind",
    [
        "garbage", "early close in head", "early close in body", "no answer", "no length",
        "another's id", "not JSON", "redirect", "server error",
    ],
)  # fmt: skip
async def test_faulty_response_to_a_call_is_not_forwarded_and_the_call_is_not_retried(kind: str) -> None:
    async with running_node() as node, scripted_engine(faulty_call(kind)) as engine:
        node.agent.add_engine(engine.address)
        node.agent.add_engine(engine.address, "e2")
        response = await send_request(node, call_request())
        assert response.status == 502, response.body
        assert response.error["fate"] in ("unknown", "failed")
        assert b"done" not in response.body
        assert len(engine.requests) == 1


async def test_connection_is_not_reused_after_a_response_to_another_request() -> None:
    async def response_to_another_request(request: EngineRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(engine_head("someone-else", STREAM) + b"0\r\n\r\n")

    async with running_node() as node, scripted_engine(response_to_another_request) as engine:
        node.agent.add_engine(engine.address)
        for _ in range(2):
            assert (await send_request(node, chat_request())).error["code"] == "engine_protocol"
        assert engine.connections == 2


async def test_call_is_refused_if_the_engine_refuses_the_connection() -> None:
    async with running_node() as node:
        node.agent.add_engine(free_address())
        response = await send_request(node, call_request())
        assert response.error["fate"] == "refused", response.body
        await until(lambda: bool(node.agent.settled()))
        assert [settled.ran for settled in node.agent.settled()] == [False]


def faulty_stream(kind: str, resume: asyncio.Event) -> Script:
    """Return the script of an engine whose stream fails after its first chunk has reached the client."""

    async def script(request: EngineRequest, writer: asyncio.StreamWriter) -> None:
        events = stream_events(request.request_id, chunk_count=4)
        writer.write(engine_head(request.request_id, STREAM) + chunk(events[0]))
        await resume.wait()
        rest = {
            "cut": b"",
            "malformed chunk": b"zz\r\n",
            "skipped chunk": chunk(events[2]),
            "repeated chunk": chunk(events[0]),
            "another's chunk": chunk(stream_events("someone-else", 4)[1]),
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
        ("skipped chunk", "engine_protocol"),
        ("repeated chunk", "engine_protocol"),
        ("another's chunk", "engine_protocol"),
        ("early marker", "engine_protocol"),
        ("no marker", "engine_broke_off"),
        ("early end", "engine_broke_off"),
    ],
)
async def test_faulty_stream_ends_with_an_error_event_and_without_the_end_marker(
    kind: str, code: str
) -> None:
    resume = asyncio.Event()
    async with running_node() as node, scripted_engine(faulty_stream(kind, resume)) as engine:
        node.agent.add_engine(engine.address)
        async with connect_raw_client(node.settings.client_address) as client:
            client.writer.write(chat_request())
            await client.read_head()
            first = await client.read_chunk()
            resume.set()
            rest = await client.reader.read()
        assert b'"seq": 0' in first
        assert b'"seq": 0' not in rest
        assert b"[DONE]" not in rest
        assert b"event: error" in rest
        assert f'"code":"{code}"'.encode() in rest
        assert not rest.endswith(b"0\r\n\r\n")
        assert len(engine.requests) == 1


async def test_bytes_after_a_complete_response_are_not_forwarded() -> None:
    async def bytes_after_response(request: EngineRequest, writer: asyncio.StreamWriter) -> None:
        await complete_stream(request, writer)
        writer.write(call_response("late", b'{"late": 1}'))

    async with running_node() as node, scripted_engine(bytes_after_response) as engine:
        node.agent.add_engine(engine.address)
        for _ in range(3):
            response = await send_request(node, chat_request())
            assert b"late" not in response.body
            assert not response.is_complete or response.body.endswith(b"data: [DONE]\n\n")


async def test_route_timeout_ends_a_call_without_response_and_closes_its_connection() -> None:
    view = make_view(first_piece_timeout_s=0.05, deadline_s=0.2)
    async with running_node(view) as node, scripted_engine(never_respond) as engine:
        node.agent.add_engine(engine.address)
        response = await send_request(node, call_request())
        assert response.error["fate"] == "unknown"
        await engine.closed.wait()
        assert len(engine.requests) == 1


async def test_client_that_does_not_read_pauses_its_engine_instead_of_filling_memory() -> None:
    chunk_count, sent = 2000, 0

    async def long_stream(request: EngineRequest, writer: asyncio.StreamWriter) -> None:
        nonlocal sent
        writer.write(engine_head(request.request_id, STREAM))
        for event in stream_events(request.request_id, chunk_count, "a" * 8000):
            writer.write(chunk(event))
            await writer.drain()
            sent += 1
        writer.write(b"0\r\n\r\n")

    view = make_view(idle_timeout_s=300.0, deadline_s=300.0)
    async with running_node(view) as node, scripted_engine(long_stream) as engine:
        node.agent.add_engine(engine.address)
        async with connect_raw_client(node.settings.client_address) as client:
            client.writer.write(chat_request())
            await client.read_head()
            await until(lambda: node.listener.paused_requests() == 1)
            before = -1
            while sent != before:
                before = sent
                for _ in range(100):
                    await asyncio.sleep(0.001)
            assert sent < chunk_count
            size = 0
            while data := await client.read_chunk():
                size += len(data)
            assert size > chunk_count * 8000


async def test_client_disconnect_ends_the_exchange() -> None:
    long_timeouts = make_view(first_piece_timeout_s=300.0, deadline_s=300.0)
    async with running_node(long_timeouts) as node, scripted_engine(never_respond) as engine:
        node.agent.add_engine(engine.address)
        async with connect_raw_client(node.settings.client_address) as client:
            client.writer.write(chat_request())
            await until(lambda: bool(engine.requests))
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await engine.closed.wait()
        await until(lambda: node.metrics.value("requests_in_flight") == 0)


async def test_revoked_key_ends_a_running_stream_with_an_error_event() -> None:
    async def first_chunk_only(request: EngineRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(engine_head(request.request_id, STREAM) + chunk(stream_events(request.request_id)[0]))

    async with running_node() as node, scripted_engine(first_chunk_only) as engine:
        node.agent.add_engine(engine.address)
        async with connect_raw_client(node.settings.client_address) as client:
            client.writer.write(chat_request())
            await client.read_head()
            await client.read_chunk()
            node.agent.view = make_view(revision=2, revoked=True)
            flows = node.agent.router.update_control(node.agent.view, 0.0)
            node.listener.end_revoked(tuple(flow.request.request_id for flow in flows))
            assert b"revoked_key" in await client.read_chunk()
            assert await client.reader.read() == b""
        assert (await send_request(node, chat_request())).error["code"] == "revoked_key"


async def test_running_request_ends_with_an_error_after_the_stop_grace_period() -> None:
    async with running_node() as node, scripted_engine(never_respond) as engine:
        node.agent.add_engine(engine.address)
        async with connect_raw_client(node.settings.client_address) as client:
            client.writer.write(chat_request())
            await until(lambda: bool(engine.requests))
            node.listener.stop_accepting()
            await node.listener.finish(0.0)
            assert (await client.read_response()).error["code"] == "stopping"


async def test_crash_in_a_flow_responds_500_and_is_logged(monkeypatch: pytest.MonkeyPatch) -> None:
    def raise_error(*_: object) -> None:
        raise RuntimeError("broken on purpose")

    async with running_node() as node:
        node.agent.add_engine(free_address())
        monkeypatch.setattr(UpstreamClient, "begin", raise_error)
        response = await send_request(node, call_request())
        assert (response.status, response.error["code"], response.error["fate"]) == (
            500,
            "internal",
            "unknown",
        )
        assert "request_flow_crashed" in node.log_lines.getvalue()
